"""Decisions on proxy renewal, on lease expiry by silence, and on confirming cancellations.

Plain functions of state and time. docs/notes/zones.md gives the argument for each condition.
tests/model explores them together; removing any one of them violates an invariant there.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from pulleydeal import constants as c
from pulleydeal.zones import constants as z


@dataclass(slots=True)
class LocalNode:
    """This node's state by its own monotonic clock and its last current copy of the store."""

    zone: str
    epoch: int  # of the view in that copy
    is_member: bool  # that view contains this incarnation of the node
    all_enabled: bool  # that copy shows this feature enabled on every node
    stale_s: float  # since the copy was last proved current
    peer_silence_s: float  # since a better informed peer was heard: of another zone, or served


@dataclass(slots=True)
class Contact:
    """What this node knows of one peer. Times are this node's monotonic clock."""

    zone: str
    since: float  # start of the present uninterrupted contact
    acked_at: float  # latest of this node's stamps that the peer is known to have received
    revision: int = 0  # the peer's copy is at least as new as this
    epoch: int = 0  # of the last view evaluated here
    removed_epoch: int | None = None  # first epoch without the peer; None: it is a member
    removed_at: float = 0.0  # when it was first seen missing

    def acknowledge(self, stamp: float, now: float) -> None:
        """Records that the peer received what was sent at `stamp`."""
        if stamp <= self.acked_at:
            return
        if now - self.acked_at > z.CONTACT_TIMEOUT_S:
            # It may have renewed leases until it heard this node again, at the latest now.
            self.since = now
        self.acked_at = stamp

    def apply_view(self, member: bool, epoch: int, now: float) -> None:
        """Records whether the peer is a member in a new view."""
        skipped, self.epoch = epoch > self.epoch + 1, epoch
        if member:
            self.removed_epoch = None
        elif self.removed_epoch is None or skipped:
            # It may have been a member again in a view that was never evaluated here.
            self.removed_epoch, self.removed_at = epoch, now


def lease_fits_cancel(lease_s: float, cancel_s: float) -> bool:
    """Whether a lease renewed just before a cancellation was seen ends within `cancel_s` of it."""
    return lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S < cancel_s * (1 - c.CLOCK_DRIFT)


def state_refusal(me: LocalNode) -> str:
    """Why this node's copy does not allow it to renew leases while isolated; empty: it does."""
    if not me.is_member:
        return "not a member when last current"
    if not me.all_enabled:
        return "not every node keeps to this"
    return ""


def proxy_refusal(me: LocalNode) -> str:
    """Why this node may not renew leases of machines that others own; empty: it may.

    There is no limit in time: a cancellation is confirmed only once it is sure to take effect, so
    a partition may last for an hour.
    """
    if me.stale_s <= z.PROXY_RENEWAL_AFTER_S or me.peer_silence_s <= z.PROXY_RENEWAL_AFTER_S:
        return "somebody who knows more is in reach"
    return state_refusal(me)


def renewal_refusal(
    me: LocalNode, zone: str, token_epoch: int, jobs: Iterable[str], cancelled: set[str]
) -> str:
    """Why the lease of a machine that another node owns is not renewed; empty: it is renewed.

    `token_epoch`: epoch of the token that the machine reports; `jobs`: jobs of the tasks that it
    reports; `cancelled`: jobs that this node knows to be cancelled.
    """
    if why := proxy_refusal(me):
        return why
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
    unserved_at: float,
    token_epoch: int,
    lease_s: float,
    now: float,
) -> bool:
    """Whether no other node can have renewed a machine's lease within the last `lease_s`.

    `peers`: the other nodes of the machine's zone; `unserved_at`: when the state service last did
    not answer this node; `token_epoch`: epoch of the token that the machine last reported. It has
    held that for a whole lease, as otherwise its lease does not count as over
    (`lease_over`).
    """
    for peer in peers:
        if peer.removed_epoch is not None and token_epoch >= peer.removed_epoch:
            # The peer's copy is older than the machine's token, so it refuses to renew.
            continue
        since = max(peer.since, unserved_at) if peer.zone == my_zone else peer.since
        if now - peer.acked_at > z.CONTACT_TIMEOUT_S or now - since <= lease_s:
            return False
    return True


def may_confirm_cancel(peers: Iterable[Contact], revision: int) -> bool:
    """Whether a cancellation holds for every node that may renew leases of the job's machines.

    `peers`: the other nodes of the zones in which tasks of the job are not proved gone;
    `revision`: that of the cancellation. Each peer must report it; elapsed time is no substitute.
    """
    return all(peer.revision >= revision for peer in peers)
