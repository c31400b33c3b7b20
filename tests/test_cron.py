"""Cron tables: parsing and its faults, firing times, outcomes of instants, the command line."""

import random
from datetime import UTC, datetime, timedelta
from pathlib import Path
from zoneinfo import ZoneInfo

import msgspec
import pytest

from pulleydeal.cli import main
from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import crontab, decide, mapping, schedule
from pulleydeal.recurring import state as st
from pulleydeal.recurring.crontab import split_percent
from pulleydeal.recurring.decide import DueLine, JumpFilteredClock, Line
from standins import cron_expected

TABLE = Path(__file__).parent / "traces" / "crontab.txt"
MAPPING = """
timezone = "Europe/Bratislava"
[default]
team = "core"
class = "cron"
image = "cron-1"
cpus = 1.0
memory_gb = 1.0
run_s = 20.0
"""


# --- parsing ---------------------------------------------------------------------------------
def test_table_is_parsed_as_cron_parses_it() -> None:
    entries, faults = crontab.parse(TABLE.read_bytes())
    assert faults == []
    by_command = {entry.command: entry for entry in entries}
    nightly = by_command["/usr/local/bin/rescore --all > /var/log/rescore 2>&1"]
    assert (nightly.schedule, nightly.zone) == ("30 2 * * *", "")
    assert nightly.env == {"SHELL": "/bin/bash", "PATH": "/usr/local/bin:/usr/bin", "MAILTO": ""}
    assert by_command["gate --offer"].zone == "Africa/Nairobi"
    assert by_command["gate --offer"].overrides == {"priority": "high", "overlap": "skip"}
    assert by_command["mail -s 100% inspectors"].stdin == "Dear all,\nthe report.\n"
    assert by_command["start"].schedule == "@reboot"
    assert by_command["sweep"].schedule == "0 * * * *"


@pytest.mark.parametrize(
    ("line", "column", "message"),
    [
        ("60 * * * * x", 1, "minute: 60 is not from 0 to 59"),
        ("* 24 * * * x", 3, "hour: 24 is not from 0 to 23"),
        ("* * 0 * * x", 5, "day of month: 0 is not from 1 to 31"),
        ("* * * 13 * x", 7, "month: 13 is not from 1 to 12"),
        ("* * * * 8 x", 9, "day of week: 8 is not from 0 to 7"),
        ("1,2,x * * * * x", 5, "minute: 'x' is no number"),
        ("5-1 * * * * x", 1, "minute: the range 5-1 goes backwards"),
        ("5/10 * * * * x", 1, "minute: a step needs a range"),
        ("*/0 * * * * x", 1, "minute: the step '0' is no number above 0"),
        ("1,,2 * * * * x", 3, "minute: an empty item"),
        ("0~30 * * * * x", 1, "minute: random ranges (~)"),
        ("* * L * * x", 5, "day of month: 'L' is no number"),
        ("* * * * mon#2 x", 9, "day of week: 'mon#2' is no number or name"),
        ("* * * * *", 10, "no command"),
        ("* * * x", 8, "4 fields"),
        ("@noon x", 1, "'@noon' is none of"),
        ("  @daily", 9, "no command"),
        ("* * * * * x\r", 12, "a carriage return"),
        ("* * * * * " + "x" * 1000, 1001, "longer than"),
    ],
)
def test_invalid_lines_are_rejected_with_line_and_column(
    line: str, column: int, message: str
) -> None:
    entries, faults = crontab.parse(f"# first\n\n{line}\n* * * * * good\n".encode())
    assert [(f.line, f.column) for f in faults] == [(3, column)]
    assert faults[0].text.startswith(message)
    assert entries  # parsing goes on after a fault, so that all are reported at once


def test_all_faults_are_reported_at_once_including_invalid_utf_8() -> None:
    raw = b"61 * * * * a\n* 25 * * * b\n\xff\xfe\n# pulleydeal: priority\n* * * * * c"
    _, faults = crontab.parse(raw)
    assert [f.line for f in faults] == [1, 2, 3, 4, 5]
    assert "does not end" in faults[4].text and "not UTF-8" in faults[2].text


def test_system_table_lines_name_a_user() -> None:
    entries, faults = crontab.parse(b"17 * * * * root run-parts /etc/cron.hourly\n", system=True)
    assert faults == [] and (entries[0].user, entries[0].command) == (
        "root",
        "run-parts /etc/cron.hourly",
    )
    assert crontab.parse(b"17 * * * *\n", system=True)[1][0].text.startswith("a system table")


def test_percent_signs_are_handled_as_in_cron() -> None:
    assert split_percent("a b") == ("a b", None)
    assert split_percent(r"date +\%F") == ("date +%F", None)
    assert split_percent("cat%one%two") == ("cat", "one\ntwo\n")


def test_ids_are_stable_for_unchanged_lines_and_differ_for_equal_lines() -> None:
    before, _ = crontab.parse(b"0 1 * * * a\n0 2 * * * b\n0 2 * * * b\n")
    after, _ = crontab.parse(b"# moved\n0 2 * * * b\nX=1\n0 3 * * * c\n0 2 * * * b\n0 1 * * * a\n")
    assert len({e.id for e in before}) == 3
    assert {e.id for e in before} < {e.id for e in after}
    other, _ = crontab.parse(b"CRON_TZ=UTC\n0 1 * * * a\n")
    assert other[0].id != before[0].id


@pytest.mark.parametrize("seed", range(5))
def test_chunks_fit_into_a_value_and_join_to_the_text(seed: int) -> None:
    rng = random.Random(seed)
    text = "".join(rng.choice('ab"\\\n\t\x01žš€🎣 ') for _ in range(9_000))
    chunks = st.split_chunks(text)
    assert "".join(chunks) == text
    assert all(len(msgspec.json.encode(chunk)) < 1_900 for chunk in chunks)
    assert st.split_chunks("") == [""]


# --- mapping to jobs ------------------------------------------------------------------------
def test_job_settings_come_from_defaults_user_and_preceding_comment() -> None:
    raw = MAPPING + "[user.ml]\nkind = 'gang'\ntasks = 4\n"
    rules = mapping.parse("system = true\n" + raw)
    table = b"# pulleydeal: tasks=2 priority=high types=t4+t8\n0 1 * * * ml train\n0 2 * * * ml x\n"
    entries, _ = crontab.parse(table, True)
    jobs = [mapping.job_of(rules, entry) for entry in entries]
    assert [(j.kind, j.tasks, j.priority, j.types) for j in jobs] == [
        ("gang", 2, "high", ["t4", "t8"]),
        ("gang", 4, "normal", None),
    ]
    spec = jobs[0].spec("j-8")
    assert (spec.kind, spec.priority, spec.team) == ("gang", 2, "core")


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[default]\nteam = 'core'\ncolour = 1\n", "default.colour: no such field"),
        ("timezone = 'Mars/One'\n[default]\n", "timezone: 'Mars/One' is no time zone"),
        ("[users.x]\n[default]\n", "unknown field `users`"),
        ("[default\n", "line 1, column 9"),
    ],
)
def test_invalid_mapping_is_reported_with_its_location(text: str, message: str) -> None:
    with pytest.raises(mapping.MappingError, match=message):
        mapping.parse(text, "map.toml")


def test_line_that_never_fires_or_has_an_invalid_override_is_a_fault() -> None:
    rules = mapping.parse(MAPPING)
    table = (
        b"0 0 30 2 * x\n# pulleydeal: colour=red\n0 0 * * * y\n# pulleydeal: tasks=0\n0 0 * * * z\n"
    )
    entries, _ = crontab.parse(table)
    faults_by_line = [mapping.check(rules, entry, 1_800_000_000)[1] for entry in entries]
    assert [len(faults) for faults in faults_by_line] == [1, 1, 1]
    assert "colour" in faults_by_line[1][0].text and "tasks" in faults_by_line[2][0].text


# --- firing times ----------------------------------------------------------------------------
def local(instants: list[int], zone: str) -> list[str]:
    tz = ZoneInfo(zone)
    return [
        datetime.fromtimestamp(i, UTC).astimezone(tz).strftime("%m-%d %H:%M%z") for i in instants
    ]


def next_firings(expression: str, zone: str, start: str, count: int) -> list[int]:
    at = int(datetime.fromisoformat(start).replace(tzinfo=UTC).timestamp())
    found = []
    for _ in range(count):
        instant = schedule.next_after(expression, zone, at)
        assert instant is not None
        found.append(instant)
        at = instant
    return found


# Expression, zone, start (UTC), the next two firings in local time.
HARD_EXPRESSIONS = """
30 2 * * *    | Europe/Bratislava | 2027-03-27T12:00 | 03-28 03:00+0200 | 03-29 02:30+0200
15,45 2 * * * | Europe/Bratislava | 2027-03-27T12:00 | 03-28 03:00+0200 | 03-29 02:15+0200
*/30 * * * *  | Europe/Bratislava | 2027-03-28T00:01 | 03-28 01:30+0100 | 03-28 03:00+0200
*/15 2 * * *  | Europe/Bratislava | 2027-03-28T00:01 | 03-29 02:00+0200 | 03-29 02:15+0200
30 2 * * *    | Europe/Bratislava | 2027-10-30T12:00 | 10-31 02:30+0200 | 11-01 02:30+0100
30 * * * *    | Europe/Bratislava | 2027-10-31T00:00 | 10-31 02:30+0200 | 10-31 02:30+0100
30 0 * * *    | America/Santiago  | 2027-09-04T12:00 | 09-05 01:00-0300 | 09-06 00:30-0300
*/30 */6 * * * | America/Santiago | 2027-09-04T23:00 | 09-05 06:00-0300 | 09-05 06:30-0300
0 0 29 2 *    | Africa/Nairobi    | 2027-01-01T00:00 | 02-29 00:00+0300 | 02-29 00:00+0300
0 0 13 * 5    | UTC               | 2027-01-01T01:00 | 01-08 00:00+0000 | 01-13 00:00+0000
0 0 */2 * 1   | UTC               | 2027-01-01T01:00 | 01-11 00:00+0000 | 01-25 00:00+0000
0 0 * * 7     | UTC               | 2027-01-01T01:00 | 01-03 00:00+0000 | 01-10 00:00+0000
"""
CASES = [[x.strip() for x in row.split("|")] for row in HARD_EXPRESSIONS.strip().splitlines()]


@pytest.mark.parametrize("case", CASES, ids=[f"{c[0]} {c[1]}" for c in CASES])
def test_hard_expressions_fire_as_in_debian_cron(case: list[str]) -> None:
    expression, zone, start, *expected = case
    assert local(next_firings(expression, zone, start, 2), zone) == expected


@pytest.mark.parametrize("zone", ["Europe/Bratislava", "Africa/Nairobi", "America/Santiago"])
def test_a_year_of_random_expressions_equals_a_minute_by_minute_search(zone: str) -> None:
    rng = random.Random(zone)
    begin = datetime(2027, 1, 1, tzinfo=UTC)
    first, last = int(begin.timestamp()), int((begin + timedelta(days=365)).timestamp())
    year = cron_expected.Year(zone, first, last)
    for _ in range(60):
        expression = cron_expected.random_expression(rng)
        expected = year.firings(expression)
        at, found = first - 1, []
        while (instant := schedule.next_after(expression, zone, at)) is not None and instant < last:
            found.append(instant)
            at = instant
            if len(found) > len(expected) + 3:
                break
        assert found == expected, expression


# --- outcomes of instants ----------------------------------------------------------------------
def line(expression: str = "0 * * * *", **rules: object) -> Line:
    job = mapping.job_of(mapping.parse(MAPPING), crontab.parse(b"0 0 * * * x\n")[0][0])
    changed = msgspec.structs.replace(job, **rules)
    return Line("0" * 16, 1, expression, "UTC", changed)


HOUR = 1_800_000_000 - 1_800_000_000 % 3600


def test_line_starts_when_its_version_takes_effect_and_keeps_its_progress() -> None:
    one = line()
    new = st.LineProgress(HOUR - 100, 0, 0, "v1")
    assert decide.next_instant(one, new, "v1", HOUR + 10) == HOUR + 3600
    assert decide.next_instant(one, new, "v2", HOUR + 9_000) == HOUR  # not added in version 2
    fired = st.LineProgress(HOUR, 1, HOUR, "v1")
    assert decide.next_instant(one, fired, "v2", HOUR + 9_000) == HOUR + 3600
    assert decide.next_instant(one, fired, "v1", HOUR, HOUR + 4_000) == HOUR + 7200  # resumed later
    boot = line("@reboot")
    assert decide.next_instant(boot, new, "v1", HOUR) == HOUR
    assert decide.next_instant(boot, st.LineProgress(HOUR, 1, HOUR, "v1"), "v1", HOUR) is None
    assert decide.next_instant(boot, new, "v2", HOUR) is None


def test_slightly_late_instant_fires_and_missed_one_follows_its_rule() -> None:
    soon = HOUR + int(kc.MISSED_AFTER_S)
    assert decide.evaluate(line(), None, HOUR, soon, False, "").action == "fire"
    missed = decide.evaluate(line(), None, HOUR, HOUR + 3 * 3600 + 1000, False, "")
    assert (missed.action, missed.instant, missed.missed_since) == ("miss", HOUR + 3 * 3600, HOUR)
    once = decide.evaluate(line(missed="once"), None, HOUR, HOUR + 3 * 3600 + 1000, False, "")
    assert (once.action, once.instant, once.missed_since) == ("fire", HOUR + 3 * 3600, HOUR)
    # The last instant is not missed: it fires after the missed ones are settled.
    partly = decide.evaluate(line(), None, HOUR, HOUR + 3 * 3600 + 10, False, "")
    assert (partly.action, partly.instant) == ("miss", HOUR + 2 * 3600)


def test_overlap_rules_and_lowered_limits() -> None:
    for overlap, action, replace in (
        ("allow", "fire", False),
        ("skip", "skip", False),
        ("replace", "fire", True),
    ):
        found = decide.evaluate(line(overlap=overlap), None, HOUR, HOUR, True, "")
        assert (found.action, found.replace) == (action, replace)
        assert decide.evaluate(line(overlap=overlap), None, HOUR, HOUR, False, "").action == "fire"
    refused = decide.evaluate(line(), None, HOUR, HOUR, False, "needs more than its team's limit")
    assert refused.action == "refuse"
    progress = decide.updated_progress(st.LineProgress(1, 7, 1, "v"), refused, "w")
    assert (
        progress.settled_until,
        progress.job_count,
        progress.last_job_at,
        progress.added_in,
    ) == (HOUR, 7, 1, "v")
    assert progress.note.startswith("refuse: needs more")


def test_due_lines_are_sorted_by_priority_then_lateness() -> None:
    due = [
        DueLine(line(priority="normal"), 10),
        DueLine(line(priority="high"), 20),
        DueLine(line(priority="normal"), 5),
    ]
    due.sort(key=DueLine.sort_key)
    assert [(d.line.job.priority, d.instant) for d in due] == [
        ("high", 20),
        ("normal", 5),
        ("normal", 10),
    ]


def test_clock_jump_is_accepted_only_after_it_has_persisted() -> None:
    wall = JumpFilteredClock()
    assert wall.now(0.0, 1000.0) == 1000.0
    assert wall.now(10.0, 1010.3) == 1010.3  # drift within CLOCK_JUMP_S
    assert wall.now(11.0, 4611.0) == pytest.approx(1011.3)  # set an hour forward
    assert wall.now(40.0, 4640.0) == pytest.approx(1040.3)
    assert wall.now(41.0, 1041.0) == 1041.0  # set back again: no jump is left
    assert wall.now(50.0, -2550.0) == pytest.approx(1050.0)  # set an hour back
    for second in range(51, 110):
        assert wall.now(second, second - 2600.0) == pytest.approx(1000.0 + second)
    assert wall.now(111.0, -2489.0) == -2489.0  # accepted after it has persisted


# --- the command line --------------------------------------------------------------------------
def test_check_and_dry_run_work_without_a_node(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    folder = tmp_path / "cron.d"
    folder.mkdir()
    (folder / "a").write_text("0 1 * * * root one\n")
    (folder / "b").write_text("# a comment\n0 25 * * * root two\n0 2 * * * root\n")
    (folder / "c.disabled").write_text("nonsense\n")  # cron ignores names with dots
    rules = tmp_path / "map.toml"
    rules.write_text("system = true\n" + MAPPING)
    assert main(["cron", "check", str(folder), "--map", str(rules)]) == 2
    errors = capsys.readouterr().err.splitlines()
    assert [line.removeprefix(f"pulleydeal: {folder}/") for line in errors] == [
        "b:2:3: hour: 25 is not from 0 to 23",
        "b:3:15: no command",
    ]
    (folder / "b").write_text("0 2 * * * root two\n")
    assert main(["cron", "check", str(folder), "--map", str(rules)]) == 0
    arguments = ["cron", "import", "office", str(folder), "--map", str(rules), "--dry-run"]
    assert main(arguments) == 0
    output = capsys.readouterr().out
    assert output.count("array of 1, class cron, team core") == 2
    assert (
        output.count(" 01:00+0") == kc.DRY_RUN_FIRINGS
        and output.count(" 02:00+0") + output.count(" 03:00+0") == kc.DRY_RUN_FIRINGS
    )
    assert main(["cron", "check", str(tmp_path / "none"), "--map", str(rules)]) == 2
    assert main([*arguments[:-1], "--operators", "127.0.0.1:1"]) == 1
