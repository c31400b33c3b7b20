"""Where features keep what must last: keys below p/f/<feature>/, read from the replica.

One place and one way for all of them: every commit is conditional on the view and on the marks
it read, who leads a thing follows from its name, and nothing is relied on before every node has
durably shown that it has the feature on and knows its records (`p/s/`).
"""

from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from pulleydeal.membership.service import Membership
from pulleydeal.store import records as r
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.service import Store

T = TypeVar("T")


class Records:
    """One feature's own keys. Names must keep to `r.FEATURE_NAME` and may hold slashes."""

    def __init__(self, feature: str, format_: int, membership: Membership, store: Store) -> None:
        self.feature = feature
        self.format = format_
        self._membership = membership
        self._store = store
        membership.serves[feature] = format_
        self._kept = store.replica.track_feature(feature)

    def key(self, name: str) -> str:
        return r.feature_key(self.feature, name)

    @property
    def ready(self) -> bool:
        """Records may be relied on: this node is a member and every node knows them."""
        return (
            self._store.replica.loaded
            and self._membership.is_member
            and self._membership.all_enable(self.feature, self.format)
        )

    def leads(self, name: str) -> bool:
        """Whether this node decides about the named thing, in the present view."""
        return self._membership.leads(f"{self.feature} {name}")

    def leader(self, name: str) -> str:
        """The node that decides about the named thing; empty: nobody at present."""
        return self._membership.leader(f"{self.feature} {name}")

    def names(self, prefix: str = "") -> Iterator[str]:
        return (name for name in self._kept if name.startswith(prefix))

    def mark(self, name: str) -> int:
        """The version that a commit that read this record is conditional on; 0: it is absent."""
        kept = self._kept.get(name)
        return kept[1] if kept else 0

    def get(self, name: str, type_: type[T]) -> T | None:
        kept = self._kept.get(name)
        return msgspec.json.decode(kept[0], type=type_) if kept else None

    async def commit(
        self,
        read: dict[str, int],
        puts: dict[str, object],
        drops: list[str] | None = None,
        also: dict[str, object] | None = None,
        also_read: dict[str, int] | None = None,
        priority: WritePriority = WritePriority.NORMAL,
    ) -> bool:
        """One transaction: own records by name, others (`also`, a job's say) by key.

        True: done and shown in the replica. False: the view or a mark moved, and nothing was
        done. Raises what `Store.commit` does.
        """
        conditions = {r.VIEW_KEY: self._store.replica.view_version}
        conditions |= {self.key(name): mark for name, mark in read.items()}
        conditions |= also_read or {}
        written: dict[str, Any] = {self.key(name): value for name, value in puts.items()}
        written |= also or {}
        gone = [self.key(name) for name in drops or []]
        return await self._store.commit(conditions, written, gone, priority=priority)
