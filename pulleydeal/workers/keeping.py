"""Who may renew a machine's lease, what silence proves, and when a cancellation may be told.

The node is built with one of these. This is the plain form: only its owner renews a machine's
lease, and a blind owner stops in time. `zones` puts its own in its place.
"""

from pulleydeal.store.job import Job
from pulleydeal.workers import messages as m
from pulleydeal.workers.reachability import Seen
from pulleydeal.workers.station import Station

# Why machines out of sight are given back, with all that is on them.
UNTOLD = "kept a cancelled job"
DARK = "its zone is dark"
EVACUATED = "its zone is cut off for long"
OUT_OF_SIGHT = (UNTOLD, DARK, EVACUATED)


class Keeping:
    def keeps(self, report: m.Report) -> bool:
        """Whether the lease of a machine that is another's is renewed, without a command."""
        return False

    def bears_blindness(self, zone: str) -> bool:
        """Whether this node, though blind, may answer machines of that zone that it owns."""
        return False

    def alone(self, station: Station) -> bool:
        """Whether nobody else can have renewed the machine's lease since it was last over."""
        return True

    def others_see(self) -> list[Seen]:
        """What the other owners see of the zones' machines, where it is not old."""
        return []

    def watched_over(self) -> bool:
        """Whether the fleet's lead decides what becomes of a zone that is out of sight."""
        return False

    def holds_back(self) -> bool:
        """Whether a cancellation is first written down, and told when it can be kept."""
        return False

    def may_tell(self, job: Job) -> bool:
        """Whether a cancellation that was written down can be kept, whoever renews leases."""
        return False

    async def comes_to_be_told(self, job: Job) -> bool:
        """The same, after a moment in which the other nodes may answer."""
        return False

    def owed(self) -> dict[str, str]:
        """Machines out of sight that are to be given back, each with the reason."""
        return {}

    def distrusted(self) -> set[str]:
        """Zones that came back so lately that nothing is rented there yet."""
        return set()
