"""Detects silent machines and unreachable zones, and which machines to return for that."""

from collections.abc import Sequence

from pulleydeal import constants as c
from pulleydeal.workers.tracked_machine import TrackedMachine


def silent_s(s: TrackedMachine, now: float) -> float:
    """Seconds since the last report of any kind, or since the takeover if that is later."""
    return now - max(s.since, s.last_report_at if s.last_report_at is not None else s.since)


def without_checkin_s(s: TrackedMachine, now: float) -> float:
    """Seconds since the last check-in, or since the takeover if that is later.

    Answers to orders do not count, as only the answer to a check-in renews the lease. A machine
    that could reach no node still answered orders and gave credit, so tasks were started there and
    lost with each lease.
    """
    return now - max(s.since, s.last_checkin_at if s.last_checkin_at is not None else s.since)


SilenceCounts = dict[str, tuple[int, int]]  # zone -> silent and known machines


def count_silent(machines: list[TrackedMachine], now: float, report_s: float) -> SilenceCounts:
    """Counts the silent and the known machines of each zone.

    Silent here means long enough to be probed, well before a machine is returned. A machine that
    was taken over a moment ago and has not reported yet is not counted.
    """
    quiet_since = now - c.PROBE_REPORTS * report_s
    found: SilenceCounts = {}
    for s in machines:
        silent = (
            max(s.since, s.last_report_at if s.last_report_at is not None else s.since)
            < quiet_since
        )
        if silent or s.last_report_at is not None:
            quiet, known = found.get(s.zone, (0, 0))
            found[s.zone] = (quiet + silent, known + 1)
    return found


def silent_zones(
    machines: list[TrackedMachine],
    now: float,
    report_s: float,
    others: Sequence[SilenceCounts] = (),
) -> set[str]:
    """Zones taken for cut off, as more machines are silent at once than fail independently.

    The limit is on machines silent long enough to be probed. Machines fall silent one after the
    other, so when the first was due to be returned only few others were due, and whole zones behind
    a network partition were returned. `others`: the counts of other owners; an owner of two
    machines in a zone cannot tell a partition from two dead machines.
    """
    mine = count_silent(machines, now, report_s)
    found = set()
    for zone in set(mine).union(*others):
        pairs = [counted.get(zone, (0, 0)) for counted in (mine, *others)]
        quiet, known = sum(q for q, _ in pairs), sum(k for _, k in pairs)
        if quiet > max(c.ZONE_SILENT_FEW, known * c.ZONE_SILENT_SHARE):
            found.add(zone)
    return found


def unreachable_zones(
    machines: list[TrackedMachine],
    now: float,
    report_s: float,
    others: Sequence[SilenceCounts] = (),
) -> set[str]:
    """Like `silent_zones`, but empty if it is all zones: then this node itself is cut off.

    A node that owns no machines uses the zones that other owners know.
    """
    zones = silent_zones(machines, now, report_s, others)
    known = {s.zone for s in machines} or set[str]().union(*others)
    return zones if known - zones else set()


def silent_too_long(
    machines: list[TrackedMachine],
    now: float,
    report_s: float,
    lease_s: float,
    silent_zone_at: dict[str, float],
    others: Sequence[SilenceCounts] = (),
    fleet_leader_decides: bool = False,
) -> list[TrackedMachine]:
    """Machines to be returned for their silence.

    `silent_zone_at`: zone -> when it was last silent (see `silent_zones`); updated here. From then
    on each of its machines gets the full time again, as they report one after the other.
    `fleet_leader_decides`: the fleet leader, which knows what every owner sees, decides about
    machines of silent zones, so none of them is included here.
    """
    zones = silent_zones(machines, now, report_s, others)
    long_s = c.SILENT_RETURN_REPORTS * report_s
    quiet_s = c.PROBE_REPORTS * report_s
    if all(s.zone in zones for s in machines):
        # All machines are in silent zones, so this node itself is cut off. Keeping the machines for
        # long left them unused, and fewer services were up (0.76 instead of 0.87 in a run with such
        # a partition). The share below counts only machines silent for `long_s` here: work on those
        # returned before the share is reached starts elsewhere sooner.
        zones, quiet_s = set(), long_s
    silent_zone_at |= dict.fromkeys(zones, now)
    quiet = sum(silent_s(s, now) > quiet_s for s in machines)
    # Many silent machines suggest a fault of this node: then the limit is the lease time.
    suspect = quiet > max(c.SILENT_FEW, len(machines) * c.SILENT_SHARE)
    usual = lease_s if suspect else long_s
    found = []
    for s in machines:
        silence = silent_s(s, now)
        if s.zone in zones:
            late = silence > c.UNSEEN_KEEP_S and not fleet_leader_decides
        else:
            late = min(silence, now - silent_zone_at.get(s.zone, -1e9)) > usual
        if late:
            found.append(s)
    return found


def one_way_too_long(
    machines: list[TrackedMachine], now: float, report_s: float, lease_s: float
) -> list[str]:
    """Machines to be returned as they are reachable in one direction only.

    Deaf machines check in, but no order or answer reaches them; mute ones answer orders, but reach
    no controller. No task survives there, as their leases are not renewed. That cannot be concluded
    of a deaf machine without the current owner's token, so its tasks stayed bound all the time;
    mute ones were paid for and counted as capacity.

    Kept longer are deaf machines that hold the token; many deaf ones at once, which suggest a
    passing fault of this node; and more than a few mute ones, which suggest a network fault, after
    which they still have their images.
    """
    quiet_s = c.PROBE_REPORTS * report_s
    deaf = [
        s
        for s in machines
        if s.unanswered_since is not None
        and s.last_report_at is not None
        and silent_s(s, now) <= quiet_s
    ]
    mute = [
        s
        for s in machines
        if s.no_checkin_since is not None
        and without_checkin_s(s, now) > c.SILENT_REPORTS * report_s
    ]
    many_deaf = len(deaf) > max(c.SILENT_FEW, len(machines) * c.SILENT_SHARE)
    many_mute = len(mute) > c.SILENT_FEW
    limit_s = lease_s * (1 + c.CLOCK_DRIFT) + c.LEASE_MARGIN_S + report_s
    since = [(s.id, s.unanswered_since or now, many_deaf or s.trusted) for s in deaf]
    since += [(s.id, s.no_checkin_since or now, many_mute) for s in mute]
    return [
        machine
        for machine, at, keep_longer in since
        if now - at > (c.UNSEEN_KEEP_S if keep_longer else limit_s)
    ]
