"""How current a node's knowledge of cancellations is, as proved by the other members' heartbeats.

A blind node, one that can't reach the state service, learns of cancellations from heartbeats. Each
heartbeat returns the last timestamp that its sender got from the receiver, which shows how old the
heartbeat is at most, by the receiver's own clock.

Pure functions. The correctness argument is in docs/design.md (`ran_cancelled`);
`tests/model/blind_owner.py` checks it by exhaustive exploration.
"""

from collections.abc import Iterable, Mapping

from pulleydeal import constants as c
from pulleydeal.membership.messages import FreshnessProof, Heartbeat
from pulleydeal.store.job import Job
from pulleydeal.store.records import View

NEVER = -1e9  # before any time of the steady clock


def announced_cancellations(cancelled: Iterable[Job], loaded: bool) -> tuple[list[str], int]:
    """The cancelled jobs that a heartbeat names, and the revision after which the list is complete.

    The newest are named first, as those are what a blind node lacks. A process that has not loaded
    its replica may know less than an earlier process of the node has confirmed, so its list is
    complete from no revision on.
    """
    newest = sorted(cancelled, key=lambda job: (-job.version, job.id))
    names = [job.id for job in newest[: c.RELAYED_CANCELS]]
    if not loaded:
        return names, c.NEVER_COMPLETE
    omitted = newest[c.RELAYED_CANCELS :]
    return names, omitted[0].version if omitted else 0


def cancellations_known_at(
    view: View,
    me: str,
    incarnation: str,
    revision: int,
    heartbeats: Mapping[str, Heartbeat],
    now: float,
) -> float:
    """Time up to which this node knows all confirmed cancellations, by its own steady clock.

    This is the oldest of its own stamps that the other members sent back. The arrival of a
    heartbeat proves nothing, as it may have been delayed for minutes.

    `revision`: of this node's replica. The result is NEVER if a member reports another epoch or
    omitted a cancellation newer than the replica.
    """
    at = now
    for member in view.members:
        if member == me:
            continue
        heartbeat = heartbeats.get(member)
        if heartbeat is None or heartbeat.proof is None or heartbeat.epoch != view.epoch:
            return NEVER
        sent_by, stamp = heartbeat.proof.echoes.get(me, ("", NEVER))
        if sent_by != incarnation or stamp > now or heartbeat.proof.complete_from > revision:
            return NEVER
        at = min(at, stamp)
    return at


def may_renew(known_at: float, limit_s: float, now: float) -> bool:
    """Whether a node may answer machines' reports, which renews their leases.

    Any cancellation that it does not know was confirmed less than `limit_s` ago, and a lease that
    it renews now ends one lease period later at the latest.

    `known_at`: a time up to which it knows all confirmed cancellations, taken from when its replica
    or the other members were asked, and not from when an answer arrived
    (docs/incidents/blind-owners.md).
    """
    return now - known_at < limit_s


def known_as_member(
    member_since_epoch: int, reported_epochs: Mapping[str, int], others: list[str]
) -> bool:
    """Whether every other node has reported a view in which this process is a member.

    Two blind nodes with an older view accept each other's heartbeats without asking for this
    node's. Until they have seen the newer view, it confirms a cancellation only once the tasks are
    proved gone.
    """
    return all(reported_epochs.get(node, 0) >= member_since_epoch for node in others)


def update_echo(
    sender: str, proof: FreshnessProof | None, echoes: dict[str, tuple[str, float]]
) -> None:
    """Stores a sender's latest stamp, which the next heartbeat sends back to it."""
    if proof is None:
        echoes.pop(sender, None)
    else:
        echoes[sender] = (proof.incarnation, proof.stamp)
