"""The decisions: who may keep a lease, when silence proves something, when a cancel may be told.

Plain functions of state and time. The argument for each condition is in docs/notes/zones.md, and
tests/model explores them together; one taken out is a broken rule there.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from pulleydeal import constants as c
from pulleydeal.zones import constants as z


@dataclass(slots=True)
class Self:
    """How this node stands by its own steady clock and its last current copy of the state."""

    zone: str
    epoch: int  # of the view in that copy
    member: bool  # that view has this very start of the node
    all_on: bool  # that copy shows every node with this feature
    blind_s: float  # since the copy was last proved current
    unheard_s: float  # since a node was heard that knows more: of another zone, or served


@dataclass(slots=True)
class Contact:
    """What a node knows of one sibling. Times are the knower's own steady clock."""

    zone: str
    since: float  # in contact without a break from here on
    answered: float  # stamp of ours that the sibling was last known to have heard
    revision: int = 0  # the sibling's copy is at least as new as this
    epoch: int = 0  # of the last view that was looked at here
    gone_epoch: int | None = None  # first epoch in which it was missing from the view; None: there
    gone_at: float = 0.0  # when it was first seen missing

    def heard(self, stamp: float, now: float) -> None:
        """The sibling shows that it heard what was sent at `stamp`."""
        if stamp <= self.answered:
            return
        if now - self.answered > z.CONTACT_S:
            # It may have kept machines until the moment it heard us again: at the latest, now.
            self.since = now
        self.answered = stamp

    def view(self, member: bool, epoch: int, now: float) -> None:
        """What a new view says of it."""
        skipped, self.epoch = epoch > self.epoch + 1, epoch
        if member:
            self.gone_epoch = None
        elif self.gone_epoch is None or skipped:
            # In a view that was never looked at here it may have been a member again.
            self.gone_epoch, self.gone_at = epoch, now


def fits(lease_s: float, cancel_s: float) -> bool:
    """Whether what was kept until the cancellation was heard of is gone in time after it."""
    return lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S < cancel_s * (1 - c.CLOCK_DRIFT)


def knows_too_little(me: Self) -> str:
    """Why this node, when blind, may renew nothing in its zone, or nothing."""
    if not me.member:
        return "not a member when last current"
    if not me.all_on:
        return "not every node keeps to this"
    return ""


def keeps_nothing(me: Self) -> str:
    """Why this node keeps no machine but its own, or nothing. There is no end to it by time: a
    cancellation is told only when it can be kept, so a cut may last for an hour."""
    if me.blind_s <= z.KEEP_AFTER_S or me.unheard_s <= z.KEEP_AFTER_S:
        return "somebody who knows more is in reach"
    return knows_too_little(me)


def refuses_to_keep(
    me: Self, zone: str, token_epoch: int, jobs: Iterable[str], cancelled: set[str]
) -> str:
    """Why a machine that is not this node's own is not kept, or nothing: its lease is renewed.

    `token_epoch`: of the token that the machine reports; `jobs`: of the tasks that it reports;
    `cancelled`: jobs that this node knows to be cancelled.
    """
    if why := keeps_nothing(me):
        return why
    if zone != me.zone:
        return "in another zone"
    if token_epoch > me.epoch:
        return "commanded by somebody newer"
    if not cancelled.isdisjoint(jobs):
        return "has a task of a cancelled job"
    return ""


def lease_proves(
    neighbours: Iterable[Contact],
    my_zone: str,
    unserved_at: float,
    token_epoch: int,
    lease_s: float,
    now: float,
) -> bool:
    """Whether nobody else can have renewed a lease within the last `lease_s`.

    `neighbours`: the other nodes of the machine's zone; `unserved_at`: when the state service last
    did not answer this node; `token_epoch`: of the token that the machine last reported. It has
    held that for a whole lease, as else its lease does not count as over (`station.lease_over`).
    """
    for k in neighbours:
        if k.gone_epoch is not None and token_epoch >= k.gone_epoch:
            # Its copy is older than the machine's token: it has refused the machine ever since.
            continue
        since = max(k.since, unserved_at) if k.zone == my_zone else k.since
        if now - k.answered > z.CONTACT_S or now - since <= lease_s:
            return False
    return True


def may_tell(neighbours: Iterable[Contact], mark: int) -> bool:
    """Whether a cancellation can be kept, whoever may renew for the job's machines.

    `neighbours`: the other nodes of the zones in which tasks of the job are not proved gone;
    `mark`: the revision of the cancellation. No passing of time stands for a node's own word.
    """
    return all(k.revision >= mark for k in neighbours)
