"""Decides on proxy renewal, on concluding that leases expired, and on confirming cancellations.

Proxy renewal: a node renews the lease of a machine that another node owns, while their zone is cut
off from the state service. A lease counts as expired only if no other node can have renewed it.

Functions of state and time only. docs/notes/zones.md says why each condition is needed.
tests/model checks the functions together; without any one of the conditions an invariant fails.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from pulleydeal import constants as c
from pulleydeal.zones import constants as z


@dataclass(slots=True)
class LocalNode:
    """This node's state, by its own monotonic clock and its replica as last proved up to date."""

    zone: str
    epoch: int  # of the view in the replica
    is_member: bool  # that view contains this incarnation of the node
    all_enabled: bool  # the replica shows proxy renewal enabled on every node
    replica_age_s: float  # since the replica was last proved up to date
    # Since hearing a peer of another zone, or one that the state service answers
    informed_peer_silence_s: float


@dataclass(slots=True)
class Contact:
    """What this node knows of one peer. Times are this node's monotonic clock."""

    zone: str
    since: float  # start of the present uninterrupted contact
    acked_at: float  # latest of this node's timestamps that the peer is known to have received
    revision: int = 0  # the peer's replica is at least as new as this
    epoch: int = 0  # of the last view that this node applied to this record
    removed_epoch: int | None = None  # first epoch without the peer; None: it is a member
    removed_at: float = 0.0  # when it was first seen missing; read by ZoneMonitor

    def acknowledge(self, stamp: float, now: float) -> None:
        """Records that the peer received what was sent at `stamp`."""
        if stamp <= self.acked_at:
            return
        if now - self.acked_at > z.CONTACT_TIMEOUT_S:
            # Contact was lost: the peer may have renewed leases until contact resumed, at the
            # latest now.
            self.since = now
        self.acked_at = stamp

    def apply_view(self, member: bool, epoch: int, now: float) -> None:
        """Records whether the peer is a member in a new view."""
        skipped, self.epoch = epoch > self.epoch + 1, epoch
        if member:
            self.removed_epoch = None
        elif self.removed_epoch is None or skipped:
            # The peer may have been a member again in a view that this node skipped.
            self.removed_epoch, self.removed_at = epoch, now


def lease_fits_cancel(lease_s: float, cancel_s: float) -> bool:
    """Whether a lease renewed just before a cancellation was seen ends within `cancel_s` of that.

    `cancel_s`: time limit for stopping the tasks of a cancelled job.
    """
    return lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S < cancel_s * (1 - c.CLOCK_DRIFT)


def stale_renewal_refusal(me: LocalNode) -> str:
    """Why this node may not renew leases with a stale replica, by that replica; empty if it may."""
    if not me.is_member:
        return "not a member when last current"
    if not me.all_enabled:
        return "not every node keeps to this"
    return ""


def proxy_refusal(me: LocalNode) -> str:
    """Why this node may not renew leases of machines that others own; empty if it may.

    Proxy renewal may go on for as long as a partition lasts, as a cancellation is confirmed only
    once every node that may renew knows it or the tasks are proved gone.
    """
    if (
        me.replica_age_s <= z.PROXY_RENEWAL_AFTER_S
        or me.informed_peer_silence_s <= z.PROXY_RENEWAL_AFTER_S
    ):
        return "somebody who knows more is in reach"
    return stale_renewal_refusal(me)


def renewal_refusal(
    me: LocalNode, zone: str, token_epoch: int, jobs: Iterable[str], cancelled: set[str]
) -> str:
    """Why the lease of a machine that another node owns is not renewed; empty if it is renewed.

    `token_epoch`: epoch of the fencing token that the machine reports; `jobs`: jobs of the tasks
    that it reports; `cancelled`: jobs that this node knows to be cancelled.
    """
    if refusal := proxy_refusal(me):
        return refusal
    if zone != me.zone:
        return "in another zone"
    if token_epoch > me.epoch:
        return "commanded by somebody newer"
    if not cancelled.isdisjoint(jobs):
        return "has a task of a cancelled job"
    return ""


def no_peer_renewed(
    peers: Iterable[Contact],
    my_zone: str,
    last_unanswered_at: float,
    token_epoch: int,
    lease_s: float,
    now: float,
) -> bool:
    """Whether no other node can have renewed a machine's lease within the last `lease_s`.

    `peers`: the other nodes of the machine's zone; `last_unanswered_at`: latest time at which
    the state service was found not to answer this node; `token_epoch`: epoch of the fencing token
    that the machine last reported. The caller has checked that the machine has reported this epoch
    for a whole lease (`lease_over` in workers/tracked_machine.py).
    """
    for peer in peers:
        if peer.removed_epoch is not None and token_epoch >= peer.removed_epoch:
            # The peer's last view as a member is older than the machine's token, so it refuses to
            # renew (`renewal_refusal`).
            continue
        # A peer of another zone refuses while it hears this node; a peer of this node's own zone
        # refuses only while it hears that the state service answers this node.
        quiet_from = max(peer.since, last_unanswered_at) if peer.zone == my_zone else peer.since
        if now - peer.acked_at > z.CONTACT_TIMEOUT_S or now - quiet_from <= lease_s:
            return False
    return True


def may_confirm_cancel(peers: Iterable[Contact], revision: int) -> bool:
    """Whether a cancellation holds for every node that may renew leases of the job's machines.

    `peers`: the other nodes of the zones in which tasks of the job are not proved gone (see
    `Replica.usage`); `revision`: that of the cancellation. Each peer must have reported this
    revision or a later one; elapsed time is no substitute for its report.
    """
    return all(peer.revision >= revision for peer in peers)
