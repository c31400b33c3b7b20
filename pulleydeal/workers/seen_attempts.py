"""Attempts of tasks that a machine has reported, for as long as that can matter."""

from collections.abc import Iterable

from pulleydeal import constants as c

AttemptId = tuple[str, int, int]  # job, index, attempt


class SeenAttempts:
    """Forgets an attempt some time after it was last reported and bound.

    An attempt that was seen and is absent from a report has ended, and must not be started again.
    That is asked of bound attempts only, but bindings may show for a while after their end, in an
    older copy of the stored state.
    """

    def __init__(self) -> None:
        self._lately: set[AttemptId] = set()  # seen since the last round of forgetting, or carried
        self._earlier: set[AttemptId] = set()  # between that round and the one before
        self._round_at: float | None = None  # steady time

    def __contains__(self, attempt_id: AttemptId) -> bool:
        return attempt_id in self._lately or attempt_id in self._earlier

    def __len__(self) -> int:
        return len(self._lately | self._earlier)

    def add(self, attempt_id: AttemptId) -> None:
        self._lately.add(attempt_id)

    def is_round_due(self, now: float) -> bool:
        if self._round_at is None:
            self._round_at = now
        return now - self._round_at >= c.SEEN_ATTEMPT_KEPT_S

    def forget_old(self, current: Iterable[AttemptId], now: float) -> None:
        """One round. `current`: attempts that are reported or bound now; these are kept if seen."""
        carried = {attempt_id for attempt_id in current if attempt_id in self}
        self._lately, self._earlier = carried, self._lately
        self._round_at = now
