"""Firing of tables over simulated weeks with leader changes, outages and lost answers."""

import asyncio
import random
from datetime import UTC, datetime

import pytest

from pulleydeal.features.routes import ApiError
from pulleydeal.recurring import constants as kc
from pulleydeal.recurring import crontab
from pulleydeal.recurring import state as st
from standins import cron_expected
from standins.cron_engine import Node, World, bring_in, live, wanted

ZONES = ["Europe/Bratislava", "Africa/Nairobi", "America/Santiago"]
MAPPING = """
timezone = "UTC"
[default]
team = "core"
class = "cron"
image = "cron-1"
cpus = 1.0
memory_gb = 1.0
"""
DAY = 86_400


def table(lines: int, seed: int) -> bytes:
    rng = random.Random(seed)
    rows = []
    for number in range(lines):
        if number % (lines // 3 or 1) == 0:
            rows.append(f"CRON_TZ={ZONES[min(2, number // (lines // 3 or 1))]}")
        rows.append(f"{cron_expected.random_expression(rng)} job {number}")
    return ("\n".join(rows) + "\n").encode()


def expected(text: bytes, first: int, last: int) -> dict[str, list[int]]:
    entries, faults = crontab.parse(text)
    assert faults == []
    aligned = first - first % 60 - DAY
    years = {zone: cron_expected.Year(zone, aligned, last) for zone in ZONES}
    return {
        entry.id: [x for x in years[entry.zone].firings(entry.schedule) if first < x <= last]
        for entry in entries
    }


@pytest.mark.parametrize("seed", range(3))
def test_each_instant_fires_exactly_once_across_failures_and_clock_changes(seed: int) -> None:
    """Twenty days with clock changes in two zones; no firing is lost, doubled or invented."""
    begin = int(datetime(2027, 3, 20, tzinfo=UTC).timestamp()) + 30
    end = begin + 20 * DAY
    text = table(30, seed)

    async def run() -> World:
        world = World(seed, begin)
        # The clocks of two leaders may differ by more than a second.
        nodes = [Node("a", world, -0.6), Node("b", world, 0.7)]
        await bring_in(nodes[0], "office", text, MAPPING)
        world.trouble = 0.05
        await live(world, nodes, end - 120.0, trouble=True)
        world.trouble = 0.0
        world.down_until = 0.0
        await live(world, nodes, end, trouble=False)
        return world

    world = asyncio.run(run())
    due = wanted("office", expected(text, begin, end - 130))
    late = wanted("office", expected(text, begin, end + 2))
    assert len(due) > 300
    assert due - set(world.accepted) == set()  # none was missed
    assert set(world.accepted) - late == set()  # none was fired without an instant
    assert set(world.accepted.values()) == {1}  # none was fired twice


def test_instants_missed_while_all_nodes_are_down_follow_each_line_s_rule() -> None:
    begin = int(datetime(2027, 6, 1, tzinfo=UTC).timestamp()) + 30
    text = b"0 * * * * skips\n# pulleydeal: missed=once\n0 * * * * once\n"

    async def run() -> tuple[World, Node]:
        world = World(1, begin)
        node = Node("a", world, 0.0)
        await bring_in(node, "office", text, MAPPING)
        await live(world, [node], begin + 2 * 3600, trouble=False)
        world.now += 3 * DAY + 1800
        node = Node("a", world, 0.0)  # restarts without any state in memory
        await live(world, [node], world.now + 3600, trouble=False)
        return world, node

    world, node = asyncio.run(run())
    entries, _ = crontab.parse(text)
    progress_by_line = [node.recurring.progress("office", entry.id) for entry in entries]
    # Two before and one after the outage; the second line also fires its latest missed instant.
    assert [progress.job_count for progress in progress_by_line if progress] == [3, 4]
    entry = node.recurring.records.get(st.history_record_name("office", 2), st.HistoryEntry)
    assert entry is not None and "line 1 miss since" in entry.why
    assert set(world.accepted.values()) == {1}


def test_concurrent_import_of_one_table_conflicts_and_succeeds_on_retry() -> None:
    async def run() -> None:
        world = World(1, 1_800_000_030.0)
        a, b = Node("a", world, 0.0), Node("b", world, 0.0)
        text = b"0 * * * * x\n"
        for node in (a, b):
            node.follow()
            node.recurring.interface.importer.upload("office", 0, text)
        plans = [await n.recurring.interface.importer.plan("office", MAPPING) for n in (a, b)]
        assert plans[0].version == plans[1].version
        await a.recurring.interface.importer.apply("office", plans[0])
        with pytest.raises(ApiError) as caught:
            # It read before the other import was written: nothing is imported.
            await b.recurring.interface.importer.apply("office", plans[1])
        assert caught.value.code == "moved"
        b.follow()
        table = await b.recurring.interface.importer.apply("office", plans[1])
        assert table.version == plans[0].version and table.entries == 1

    asyncio.run(run())


def test_one_invalid_line_in_ten_thousand_rejects_the_table() -> None:
    lines = [f"{i % 60} {i % 24} * * * job {i}" for i in range(10_000)]
    lines[7_770] = "0 0 31 2 * never"

    async def run() -> None:
        world = World(1, 1_800_000_000.0)
        node = Node("a", world, 0.0)
        node.follow()
        before = world.revision
        node.recurring.interface.importer.upload("big", 0, ("\n".join(lines) + "\n").encode())
        with pytest.raises(ApiError) as caught:
            await node.recurring.interface.importer.plan("big", MAPPING)
        assert caught.value.status == 422 and caught.value.message.startswith("7771:1: ")
        assert len(caught.value.message.splitlines()) == 1
        assert world.revision == before  # nothing was written

    asyncio.run(run())


def test_sweep_deletes_chunks_of_old_versions_and_keeps_those_in_force() -> None:
    async def run() -> None:
        world = World(1, 1_800_000_030.0)
        node = Node("a", world, 0.0)
        texts = [
            b"".join(b"%d * * * * job %d of %d\n" % (i % 60, i, n) for i in range(200))
            for n in (1, 2)
        ]
        for text in texts:
            await bring_in(node, "office", text, MAPPING)
        for _ in range(60):
            world.now += kc.SWEEP_INTERVAL_S + 1
            await node.look()
        records = node.recurring.records
        table = node.recurring.table("office")
        assert table is not None
        left = [*records.names("p/office/"), *records.names("m/office/")]
        assert len(left) == table.parts + table.mapping_parts
        assert all(f"/{table.version}/" in name for name in left)

    asyncio.run(run())
