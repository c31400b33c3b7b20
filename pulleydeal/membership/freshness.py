"""How up to date a node's knowledge of cancellations is, as proved by other members' heartbeats.

A node that is cut off from the state service ("blind") learns of cancellations from heartbeats.
Each heartbeat from A to B echoes the last timestamp that A received from B, which bounds the age of
the heartbeat by B's own clock.

The functions keep no state of their own. The correctness argument is in docs/design.md (invariant
`ran_cancelled`); `tests/model/blind_owner.py` checks it by exhaustive exploration.
"""

from collections.abc import Iterable, Mapping

from pulleydeal import constants as c
from pulleydeal.membership.messages import FreshnessProof, Heartbeat
from pulleydeal.store.job import Job
from pulleydeal.store.records import View

NEVER = -1e9  # earlier than any time of the monotonic clock


def announced_cancellations(cancelled: Iterable[Job], loaded: bool) -> tuple[list[str], int]:
    """The cancelled jobs that a heartbeat announces, and the revision after which none is omitted.

    The newest come first, as a node that is cut off from the state service most likely lacks those.
    Until the replica is loaded, the list may lack cancellations that an earlier process of this
    node confirmed, so no revision is given as complete (`NEVER_COMPLETE`).
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
    """Time up to which this node knows all confirmed cancellations, by its own monotonic clock.

    This is the oldest of the timestamps that the other members echoed in their latest heartbeats.
    The arrival of a heartbeat proves nothing, as it may have been delayed for minutes.

    `revision`: of this node's replica. The result is NEVER unless the latest heartbeat of every
    other member is of this view's epoch and has a proof that echoes a timestamp of this
    incarnation, not in the future, and omits no cancellation newer than the replica.
    """
    known_at = now
    for member in view.members:
        if member == me:
            continue
        heartbeat = heartbeats.get(member)
        if heartbeat is None or heartbeat.proof is None or heartbeat.epoch != view.epoch:
            return NEVER
        echoed_incarnation, stamp = heartbeat.proof.echoes.get(me, ("", NEVER))
        if (
            echoed_incarnation != incarnation
            or stamp > now
            or heartbeat.proof.complete_from > revision
        ):
            return NEVER
        known_at = min(known_at, stamp)
    return known_at


def may_renew(known_at: float, limit_s: float, now: float) -> bool:
    """Whether a node may answer reports of its own machines, which renews their leases.

    If it may, every cancellation that it does not know was confirmed less than `limit_s` ago, and a
    lease that it renews now ends one lease period later at the latest. So a cancelled task stops
    within `limit_s` plus one lease period after its cancellation was confirmed.

    `known_at`: a time up to which the node knows all confirmed cancellations. It must be the time
    at which the state service or the other members were asked, not the arrival of the answer, which
    may be delayed (docs/incidents/blind-owners.md).
    """
    return now - known_at < limit_s


def known_as_member(
    member_since_epoch: int, reported_epochs: Mapping[str, int], others: list[str]
) -> bool:
    """Whether every other node has reported a view in which this process is a member.

    Nodes that are cut off from the state service with an older view, which lacks this process, take
    their knowledge of cancellations for complete without its heartbeat. Until all other nodes have
    reported a view with it, this node confirms a cancellation only once the job's tasks are proved
    gone.

    `member_since_epoch`: epoch since which this process is a member; `others`: the other configured
    nodes, members or not.
    """
    return all(reported_epochs.get(node, 0) >= member_since_epoch for node in others)


def update_echo(
    sender: str, proof: FreshnessProof | None, echoes: dict[str, tuple[str, float]]
) -> None:
    """Stores a sender's latest timestamp, which the next heartbeat echoes to it."""
    if proof is None:
        echoes.pop(sender, None)
    else:
        echoes[sender] = (proof.incarnation, proof.stamp)
