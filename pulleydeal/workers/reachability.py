"""Which machines, and zones, an owner hears nothing of, and what it gives back for that."""

from collections.abc import Sequence

from pulleydeal import constants as c
from pulleydeal.workers.station import Station


def silent_s(s: Station, now: float) -> float:
    return now - max(s.since, s.heard_at if s.heard_at is not None else s.since)


def unsignalled_s(s: Station, now: float) -> float:
    """For how long its own check-ins stay out, whether or not it answers when it is asked.

    Only a check-in's answer renews a lease. A machine that reaches nobody answered orders, gave
    credit, and lost what was started there with each lease.
    """
    return now - max(s.since, s.checkin_at if s.checkin_at is not None else s.since)


Seen = dict[str, tuple[int, int]]  # zone -> how many of one's machines are quiet, and known


def seen(stations: list[Station], now: float, report_s: float) -> Seen:
    """Quiet is who has to be asked directly, well before anything is given back.

    Of a machine that was taken over a moment ago nothing is known yet.
    """
    quiet_since = now - c.PROBE_REPORTS * report_s
    found: Seen = {}
    for s in stations:
        silent = max(s.since, s.heard_at if s.heard_at is not None else s.since) < quiet_since
        if silent or s.heard_at is not None:
            quiet, known = found.get(s.zone, (0, 0))
            found[s.zone] = (quiet + silent, known + 1)
    return found


def unseen_zones(
    stations: list[Station], now: float, report_s: float, others: Sequence[Seen] = ()
) -> set[str]:
    """Zones most of whose machines are quiet at once: cut off, as machines die one by one.

    Silence comes machine by machine: by the time that the first was given back the share of those
    to be given back was still small, so cut zones were thrown away. `others`: what other owners
    see; an owner of two machines of a zone can't tell a cut from two dead machines alone.
    """
    mine = seen(stations, now, report_s)
    found = set()
    for zone in set(mine).union(*others):
        pairs = [counted.get(zone, (0, 0)) for counted in (mine, *others)]
        quiet, known = sum(q for q, _ in pairs), sum(k for _, k in pairs)
        if quiet > max(c.ZONE_SILENT_FEW, known * c.ZONE_SILENT_SHARE):
            found.add(zone)
    return found


def out_of_sight(
    stations: list[Station], now: float, report_s: float, others: Sequence[Seen] = ()
) -> set[str]:
    """The same, but none when it is all of them: that is trouble of our own, and others see.

    Who owns no machine, as it handed them over, goes by the others.
    """
    unseen = unseen_zones(stations, now, report_s, others)
    known = {s.zone for s in stations} or set[str]().union(*others)
    return unseen if known - unseen else set()


def silent_for_long(
    stations: list[Station],
    now: float,
    report_s: float,
    lease_s: float,
    unseen_at: dict[str, float],
    others: Sequence[Seen] = (),
    watched_over: bool = False,
) -> list[Station]:
    """Machines to be given back for their silence.

    `unseen_at`: zone -> when it was last out of sight; kept here. When a zone comes back, its
    machines are heard one by one, and each has its full time again from then on. `watched_over`:
    what becomes of the others is the fleet lead's to decide, who knows what each owner sees.
    """
    unseen = unseen_zones(stations, now, report_s, others)
    long_s = c.SILENT_RETURN_REPORTS * report_s
    quiet_s = c.PROBE_REPORTS * report_s
    if all(s.zone in unseen for s in stations):
        # Nothing is seen at all: it is we who are cut off. Kept for long, these machines were
        # nobody's meanwhile, and fewer services were up (0.87 to 0.76 on a day with such a cut);
        # nor is the share asked of those that are merely quiet, as what goes back before it is
        # reached starts elsewhere the sooner.
        unseen, quiet_s = set(), long_s
    unseen_at |= dict.fromkeys(unseen, now)
    quiet = sum(silent_s(s, now) > quiet_s for s in stations)
    # Many at once look like trouble of our own: then only the lease decides.
    suspect = quiet > max(c.SILENT_FEW, len(stations) * c.SILENT_SHARE)
    usual = lease_s if suspect else long_s
    found = []
    for s in stations:
        silence = silent_s(s, now)
        if s.zone in unseen:
            late = silence > c.UNSEEN_KEEP_S and not watched_over
        else:
            late = min(silence, now - unseen_at.get(s.zone, -1e9)) > usual
        if late:
            found.append(s)
    return found


def one_way_for_long(
    stations: list[Station], now: float, report_s: float, lease_s: float
) -> list[str]:
    """Machines to be given back as they report, but no order reaches them, or answer orders, but
    reach no controller.

    Nothing lives on them, as no answer renews their leases; but after a change of owners deaf ones
    never hold the token that would prove it, and their tasks were bound for as long as they heard
    nothing; mute ones were paid for and counted as room. Many at once look like trouble of our
    own, which passes; more than a few mute ones like trouble of the network's, after which they
    still have their images.
    """
    quiet_s = c.PROBE_REPORTS * report_s
    deaf = [
        s
        for s in stations
        if s.unanswered_since is not None and s.heard_at is not None and silent_s(s, now) <= quiet_s
    ]
    mute = [
        s
        for s in stations
        if s.mute_since is not None and unsignalled_s(s, now) > c.SILENT_REPORTS * report_s
    ]
    many = len(deaf) > max(c.SILENT_FEW, len(stations) * c.SILENT_SHARE)
    several = len(mute) > c.SILENT_FEW
    over = lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S + report_s
    since = [(s.id, s.unanswered_since or now, many or s.trusted) for s in deaf]
    since += [(s.id, s.mute_since or now, several) for s in mute]
    return [
        machine
        for machine, at, patient in since
        if now - at > (c.UNSEEN_KEEP_S if patient else over)
    ]
