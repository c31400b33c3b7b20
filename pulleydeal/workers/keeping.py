"""Policy: who may renew leases, what silence proves, and when a cancellation may be confirmed.

Each node is built with one instance. In this default only the owner renews a machine's lease, and
an owner with a stale copy of the state stops in time. The `zones` feature overrides it.
"""

from pulleydeal.store.job import Job
from pulleydeal.workers import messages as m
from pulleydeal.workers.reachability import Seen
from pulleydeal.workers.station import Station

# Reasons for returning machines of unreachable zones, with all that is on them.
UNTOLD = "kept a cancelled job"
DARK = "its zone is dark"
EVACUATED = "its zone is cut off for long"
OUT_OF_SIGHT = (UNTOLD, DARK, EVACUATED)


class Keeping:
    """The default policy; see the module."""

    def keeps(self, report: m.Report) -> bool:
        """Whether to renew the lease of a machine that another node owns, without commands."""
        return False

    def bears_blindness(self, zone: str) -> bool:
        """Whether this node may renew its machines' leases in the zone with a stale state copy."""
        return False

    def alone(self, station: Station) -> bool:
        """Whether no other node can have renewed the lease, so that its expiry is a proof."""
        return True

    def others_see(self) -> list[Seen]:
        """Recent counts of silent machines per zone, one item for each other owner."""
        return []

    def watched_over(self) -> bool:
        """Whether the fleet leader decides what happens to machines of unreachable zones."""
        return False

    def holds_back(self) -> bool:
        """Whether cancellations are stored first and confirmed only when they are sure to hold."""
        return False

    def may_tell(self, job: Job) -> bool:
        """Whether a stored cancellation is sure to hold, whichever node renews leases."""
        return False

    async def comes_to_be_told(self, job: Job) -> bool:
        """Like `may_tell`, after giving the other nodes a moment to answer."""
        return False

    def owed(self) -> dict[str, str]:
        """Unreachable machines that are to be returned, each with the reason."""
        return {}

    def distrusted(self) -> set[str]:
        """Zones that became reachable so recently that nothing is rented there yet."""
        return set()
