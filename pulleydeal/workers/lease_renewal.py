"""Decides whether a node knows enough about cancellations to renew leases."""

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.membership import freshness
from pulleydeal.membership.service import Membership
from pulleydeal.settings import WorkerTimings
from pulleydeal.store.service import Store
from pulleydeal.workers.partition_policy import PartitionPolicy


class LeaseRenewal:
    """Permits renewals while the node's knowledge of cancellations is recent enough.

    A node that is cut off from the state service must stop renewing early enough that leases expire
    within `cancel_s`.
    """

    def __init__(
        self,
        membership: Membership,
        store: Store,
        times: WorkerTimings,
        clock: Clock,
        partition_policy: PartitionPolicy,
    ) -> None:
        self._membership = membership
        self._store = store
        self._clock = clock
        self._partition_policy = partition_policy
        after_lease_s = (times.cancel_s - times.lease_s) * (1 - c.CLOCK_DRIFT)
        self._max_staleness_s = max(2.0, after_lease_s - c.RENEW_MARGIN_S)

    def is_allowed(self, zone: str) -> bool:
        """Whether leases of machines in the zone may be renewed.

        Otherwise a renewal might keep a cancelled task alive. What counts is when the state copy
        was current or when the other members were asked, not when their answers arrived.
        """
        limit_s, now = self._max_staleness_s, self._clock.now()
        return (
            freshness.may_renew(self._store.fresh_as_of, limit_s, now)
            or freshness.may_renew(self._membership.cancellations_known_at(), limit_s, now)
            or self._partition_policy.may_renew_while_stale(zone)
        )
