"""How fresh a blind node's knowledge of cancellations is by other members' word.

Plain functions. The argument, with each term's source, is in docs/design.md (`ran_cancelled`);
`tests/model/blind_owner.py` explores it.
"""

from collections.abc import Iterable, Mapping

from pulleydeal import constants as c
from pulleydeal.membership.messages import Beat, Vouch
from pulleydeal.store.job import Job
from pulleydeal.store.records import View

NEVER = -1e9  # steady time before anything


def named(cancelled: Iterable[Job], loaded: bool) -> tuple[list[str], int]:
    """The cancellations that a beat names, and the revision after which it names all that its
    sender knows: the newest go first, as a blind node lacks just those.

    A start that has read nothing yet knows less than its earlier starts have told: its empty
    list vouches for nothing.
    """
    newest = sorted(cancelled, key=lambda job: (-job.version, job.id))
    names = [job.id for job in newest[: c.RELAYED_CANCELS]]
    if not loaded:
        return names, c.NOTHING_COMPLETE
    left = newest[c.RELAYED_CANCELS :]
    return names, left[0].version if left else 0


def vouched_at(
    view: View,
    me: str,
    incarnation: str,
    revision: int,
    beats: Mapping[str, Beat],
    now: float,
) -> float:
    """The moment up to which every cancellation that was told is known to this node, by its own
    steady clock: the oldest of its stamps that the other members sent back. When a beat arrived
    says nothing: it may have been held for minutes.

    `revision`: of this node's copy. A member that is of another epoch, or that did not name all
    cancellations newer than the copy, vouches for nothing.
    """
    at = now
    for member in view.members:
        if member == me:
            continue
        beat = beats.get(member)
        if beat is None or beat.vouch is None or beat.epoch != view.epoch:
            return NEVER
        start, stamp = beat.vouch.echoes.get(me, ("", NEVER))
        if start != incarnation or stamp > now or beat.vouch.complete_from > revision:
            return NEVER
        at = min(at, stamp)
    return at


def may_renew(knows_at: float, limit_s: float, now: float) -> bool:
    """Whether a node may answer machines' reports: any cancellation that it does not know was told
    less than `limit_s` ago, and what it renews now is over a lease later at the latest.

    `knows_at`: when its copy was current or the others were asked, whichever is later; not when an
    answer arrived (docs/incidents/blind-owners.md).
    """
    return now - knows_at < limit_s


def known_as_member(member_from: int, shown_epochs: Mapping[str, int], others: list[str]) -> bool:
    """Whether every other node has shown a view in which this start is a member.

    Two nodes that are blind in an older one vouch for each other without this node's word, which
    they don't ask for; so it tells a cancellation only on proof until they have seen it.
    """
    return all(shown_epochs.get(node, 0) >= member_from for node in others)


def heard_from(sender: str, vouch: Vouch | None, stamps: dict[str, tuple[str, float]]) -> None:
    """What is sent back to a sender with the next beat: the last that was heard of it."""
    if vouch is None:
        stamps.pop(sender, None)
    else:
        stamps[sender] = (vouch.incarnation, vouch.stamp)
