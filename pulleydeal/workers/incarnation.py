"""A machine that ended and is back, perhaps within a moment, without its tasks.

PROTOCOL doesn't say whether it then counts its reports on or begins at 1 with no token. Within one
life session, tally and token only grow, so a report that is older than what is known is a late
copy, or the first of a new life; which of the two, no report tells. An answer to an order does: its
tally is larger than that of every report made before the order was sent, unless the machine began
anew.
"""

from dataclasses import dataclass

from pulleydeal import constants as c
from pulleydeal.workers import messages as m
from pulleydeal.workers.station import Station


@dataclass(frozen=True, slots=True)
class Known:
    """The newest that was known of a machine when it was asked directly."""

    session: int
    seq: int
    token: int


def known(s: Station) -> Known | None:
    return None if s.heard_at is None else Known(s.session, s.seq, s.seen_token)


def doubtful(s: Station, report: m.Report, now: float) -> bool:
    """A check-in that no present life of the machine may have made: it is asked directly, and
    neither believed nor given commands.

    A check-in that an order's answer has just overtaken is older too, and means nothing.
    """
    if s.heard_at is None:
        return False
    older = (report.session, report.seq) <= (s.session, s.seq)
    return report.token < s.seen_token or (older and now - s.heard_at > c.OVERTAKEN_S)


def begins_anew(before: Known | None, report: m.Report) -> bool:
    """Whether a direct answer comes from a later life than what was known when it was asked for.

    Such machines were taken for silent, as all they said was older than their life before, and
    were given back (docs/incidents/machine-back-at-once.md).
    """
    if before is None:
        return False
    older = (report.session, report.seq) <= (before.session, before.seq)
    return older or report.token < before.token


def next_life(s: Station, inherited: set[tuple[str, int, int]], token: int, now: float) -> Station:
    """As after a takeover: nothing counts before the machine holds a token above all that the
    life before was given, so no order that is still under way can be executed after that."""
    new = Station(s.id, s.type, s.zone, s.spot, now, token, inherited)
    new.addr, new.fence, new.errors = s.addr, s.fence + 1, s.errors
    return new
