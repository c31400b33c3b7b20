"""Durable records of features: keys below p/f/<feature>/, read from the replica.

All features follow the same rules: every commit is conditional on the view and on the versions of
the records it read, the leader of a thing follows from its name, and records are not relied on
before every node has durably published that the feature is on and that it knows the record format
(`p/s/`).
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
    """The records of one feature. Names must match `r.FEATURE_NAME`, which allows slashes."""

    def __init__(self, feature: str, format_: int, membership: Membership, store: Store) -> None:
        self.feature = feature
        self.format = format_
        self._membership = membership
        self._store = store
        membership.serves[feature] = format_
        self._records = store.replica.track_feature(feature)

    def key(self, name: str) -> str:
        return r.feature_key(self.feature, name)

    @property
    def ready(self) -> bool:
        """Whether records may be relied on: the replica is loaded, this node is a member, and every
        node supports the feature."""
        return (
            self._store.replica.loaded
            and self._membership.is_member
            and self._membership.all_enable(self.feature, self.format)
        )

    def leads(self, name: str) -> bool:
        """Whether this node leads the named thing in the current view."""
        return self._membership.leads(f"{self.feature} {name}")

    def leader(self, name: str) -> str:
        """The node that leads the named thing, or an empty string if none does."""
        return self._membership.leader(f"{self.feature} {name}")

    def names(self, prefix: str = "") -> Iterator[str]:
        return (name for name in self._records if name.startswith(prefix))

    def version(self, name: str) -> int:
        """The record's version, for use as a commit condition; 0 if the record does not exist."""
        record = self._records.get(name)
        return record[1] if record else 0

    def get(self, name: str, type_: type[T]) -> T | None:
        record = self._records.get(name)
        return msgspec.json.decode(record[0], type=type_) if record else None

    async def commit(
        self,
        read_versions: dict[str, int],
        puts: dict[str, object],
        deletes: list[str] | None = None,
        other_puts: dict[str, object] | None = None,
        other_versions: dict[str, int] | None = None,
        priority: WritePriority = WritePriority.NORMAL,
    ) -> bool:
        """Commits one transaction: own records by name, `other_puts` (such as a job's) by key.

        Returns True once it is applied and visible in the replica, False if the view or a version
        had changed and nothing was written. Raises the same errors as `Store.commit`.
        """
        conditions = {r.VIEW_KEY: self._store.replica.view_version}
        conditions |= {self.key(name): version for name, version in read_versions.items()}
        conditions |= other_versions or {}
        written: dict[str, Any] = {self.key(name): value for name, value in puts.items()}
        written |= other_puts or {}
        deleted_keys = [self.key(name) for name in deletes or []]
        return await self._store.commit(conditions, written, deleted_keys, priority=priority)
