"""Policy: who may renew leases, what silence proves, and when a cancellation may be confirmed.

Each node is built with one instance. In this default only the owner renews a machine's lease, and
an owner with a stale copy of the state stops in time. The `zones` feature overrides it.
"""

from pulleydeal.store.job import Job
from pulleydeal.workers import messages as m
from pulleydeal.workers.reachability import SilenceCounts
from pulleydeal.workers.tracked_machine import TrackedMachine

# Reasons for returning machines of unreachable zones, with all that is on them. The zones feature
# decides when they apply (zones/losses.py). Dark: the zone is out of sight, and when that began no
# node in it could be renewing leases; machines with tasks are returned once their leases are over,
# the others after EVACUATE_AFTER_BOOTS boot times. Evacuated: there may be such a node, and the
# zone has been out of sight for longer than that; its machines are returned in small batches.
KEPT_CANCELLED_JOB = "kept a cancelled job"
ZONE_DARK = "its zone is dark"
ZONE_EVACUATED = "its zone is cut off for long"
UNREACHABLE_REASONS = (KEPT_CANCELLED_JOB, ZONE_DARK, ZONE_EVACUATED)


class PartitionPolicy:
    """The default policy; see the module."""

    def renews_for_owner(self, report: m.Report) -> bool:
        """Whether to renew the lease of a machine that another node owns, without commands."""
        return False

    def may_renew_while_stale(self, zone: str) -> bool:
        """Whether this node may renew its machines' leases in the zone with a stale state copy."""
        return False

    def no_peer_renewed(self, tracked: TrackedMachine) -> bool:
        """Whether no other node can have renewed the lease, so that its expiry is a proof."""
        return True

    def peer_observations(self) -> list[SilenceCounts]:
        """Recent counts of silent machines per zone, one item for each other owner."""
        return []

    def fleet_leader_decides(self) -> bool:
        """Whether the fleet leader decides what happens to machines of unreachable zones."""
        return False

    def defers_cancellations(self) -> bool:
        """Whether cancellations are stored first and confirmed only when they are sure to hold."""
        return False

    def may_confirm_cancel(self, job: Job) -> bool:
        """Whether a stored cancellation is sure to hold, whichever node renews leases."""
        return False

    async def wait_until_confirmable(self, job: Job) -> bool:
        """Like `may_confirm_cancel`, after giving the other nodes a moment to answer."""
        return False

    def machines_to_return(self) -> dict[str, str]:
        """Unreachable machines that are to be returned, each with the reason."""
        return {}

    def excluded_zones(self) -> set[str]:
        """Zones that are unreachable or only recently back, where nothing is rented yet."""
        return set()
