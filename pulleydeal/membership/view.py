"""Pure functions on the view: who owns and leads what, and how the view changes."""

import hashlib

import msgspec

from pulleydeal import constants as c
from pulleydeal.store.records import View


def _weight(member: str, subject: str) -> bytes:
    return hashlib.blake2b(f"{member}\0{subject}".encode(), digest_size=8).digest()


def pick(members: list[str], subject: str) -> str:
    """Rendezvous hashing: a change of members moves only what the changed members held."""
    return max(members, key=lambda member: (_weight(member, subject), member), default="")


def owner(view: View, machine: str, zone: str) -> str:
    """The member that owns a machine, chosen among those that can reach its zone.

    A member that does not hear the zone's machines (`deaf`) is chosen only if no other is left,
    but before one that is cut off from it: it may hear them again, the other won't.
    """
    reaching = [m for m in view.members if (m, zone) not in view.cut]
    hearing = [m for m in reaching if (m, zone) not in view.deaf]
    return pick(hearing or reaching or list(view.members), machine)


def token(epoch: int, fence: int) -> int:
    """The fencing token: the epoch, followed by EPOCH_SHIFT bits of the machine's fence counter.

    The value after the last one of an epoch is the next epoch's first: a proof to wait for, and
    never a token to send.
    """
    return (epoch << c.EPOCH_SHIFT) + fence


def joined(view: View, member: str, incarnation: str) -> View:
    """The next view, with `member` added and no cut or deaf pairs of it."""
    members = {**view.members, member: incarnation}
    cut = [pair for pair in view.cut if pair[0] != member]
    return View(view.epoch + 1, members, cut, [pair for pair in view.deaf if pair[0] != member])


def without(view: View, gone: list[str]) -> View:
    """The next view, with these members and their pairs removed."""
    members = {m: i for m, i in view.members.items() if m not in gone}
    cut, deaf = ([p for p in pairs if p[0] in members] for pairs in (view.cut, view.deaf))
    return View(view.epoch + 1, members, cut, deaf)


def with_deaf(view: View, member: str, zones: set[str]) -> View | None:
    """The next view, with `member` deaf to exactly these zones; None if it is so already."""
    deaf = {p for p in view.deaf if p[0] != member} | {(member, zone) for zone in zones}
    if deaf == set(view.deaf):
        return None
    return msgspec.structs.replace(view, epoch=view.epoch + 1, deaf=sorted(deaf))


def dead(view: View, alive: dict[str, str]) -> list[str]:
    """Members whose lease key is missing or belongs to another incarnation."""
    return [m for m, incarnation in view.members.items() if alive.get(m) != incarnation]


def with_cuts(
    view: View,
    me: str,
    zones: dict[str, str],
    silence_s: dict[str, float],
    steady_s: dict[str, float],
    hears_me: set[str],
) -> View | None:
    """The next view, with the cuts that `me` detects; None if nothing changes.

    `silence_s`: seconds since each sibling was last heard; `steady_s`: seconds since its last long
    silence ended; `hears_me`: siblings that report hearing this node. A single lost heartbeat
    changes nothing, and a link that flaps or works in one direction only stays cut. Siblings of one
    zone share the pair (me, zone): the last of them in `view.members` that is silent or fit to heal
    decides whether it is cut.
    """
    cut = set(view.cut)
    for sibling in view.members:
        if sibling == me or zones[sibling] == zones[me]:
            continue
        pairs = {(me, zones[sibling]), (sibling, zones[me])}
        if silence_s.get(sibling, 0.0) > c.CUT_AFTER_S:
            cut |= pairs
        elif (
            # Both ends must hear each other now, or one end would undo the cut that the other
            # has just recorded.
            sibling in hears_me
            and silence_s.get(sibling, 0.0) < c.HEARD_NOW_S
            and steady_s.get(sibling, 0.0) > c.HEAL_AFTER_S
        ):
            cut -= pairs
    if cut == set(view.cut):
        return None
    return msgspec.structs.replace(view, epoch=view.epoch + 1, cut=sorted(cut))
