"""Months of a table under leaders that are lost, outages and answers that never come."""

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
    entries, faults = crontab.read(text)
    assert faults == []
    aligned = first - first % 60 - DAY
    years = {zone: cron_expected.Year(zone, aligned, last) for zone in ZONES}
    return {
        entry.id: [x for x in years[entry.zone].firings(entry.schedule) if first < x <= last]
        for entry in entries
    }


@pytest.mark.parametrize("seed", range(3))
def test_every_instant_of_spring_fires_once_whatever_fails(seed: int) -> None:
    """Over the days on which clocks change in all three zones' own ways."""
    begin = int(datetime(2027, 3, 20, tzinfo=UTC).timestamp()) + 30
    end = begin + 20 * DAY
    text = table(30, seed)

    async def run() -> World:
        world = World(seed, begin)
        # Clocks apart by more than a second, as two leaders' may be.
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
    assert due - set(world.accepted) == set()  # none is missing
    assert set(world.accepted) - late == set()  # none is invented
    assert set(world.accepted.values()) == {1}  # none twice


def test_all_nodes_down_over_days_follow_each_line_s_rule() -> None:
    begin = int(datetime(2027, 6, 1, tzinfo=UTC).timestamp()) + 30
    text = b"0 * * * * skips\n# pulleydeal: missed=once\n0 * * * * once\n"

    async def run() -> tuple[World, Node]:
        world = World(1, begin)
        node = Node("a", world, 0.0)
        await bring_in(node, "office", text, MAPPING)
        await live(world, [node], begin + 2 * 3600, trouble=False)
        world.now += 3 * DAY + 1800
        node = Node("a", world, 0.0)  # they come back with nothing
        await live(world, [node], world.now + 3600, trouble=False)
        return world, node

    world, node = asyncio.run(run())
    entries, _ = crontab.read(text)
    counts = [node.recurring.mark("office", entry.id) for entry in entries]
    # Two before, one after for the first; and one made up for, for the second.
    assert [mark.count for mark in counts if mark] == [3, 4]
    entry = node.recurring.records.get(st.entry_name("office", 2), st.Entry)
    assert entry is not None and "line 1 miss since" in entry.why
    assert set(world.accepted.values()) == {1}


def test_the_same_table_twice_at_once_comes_in_once_and_a_moved_one_is_told() -> None:
    async def run() -> None:
        world = World(1, 1_800_000_030.0)
        a, b = Node("a", world, 0.0), Node("b", world, 0.0)
        text = b"0 * * * * x\n"
        for node in (a, b):
            node.follow()
            node.recurring.interface.imports.upload("office", 0, text)
        plans = [await n.recurring.interface.imports.plan("office", MAPPING) for n in (a, b)]
        assert plans[0].version == plans[1].version
        await a.recurring.interface.imports.carry_out("office", plans[0])
        with pytest.raises(ApiError) as caught:
            # It read before the other wrote: nothing is half taken.
            await b.recurring.interface.imports.carry_out("office", plans[1])
        assert caught.value.code == "moved"
        b.follow()
        table = await b.recurring.interface.imports.carry_out("office", plans[1])
        assert table.version == plans[0].version and table.entries == 1

    asyncio.run(run())


def test_a_table_of_ten_thousand_lines_is_refused_for_one() -> None:
    lines = [f"{i % 60} {i % 24} * * * job {i}" for i in range(10_000)]
    lines[7_770] = "0 0 31 2 * never"

    async def run() -> None:
        world = World(1, 1_800_000_000.0)
        node = Node("a", world, 0.0)
        node.follow()
        before = world.revision
        node.recurring.interface.imports.upload("big", 0, ("\n".join(lines) + "\n").encode())
        with pytest.raises(ApiError) as caught:
            await node.recurring.interface.imports.plan("big", MAPPING)
        assert caught.value.status == 422 and caught.value.message.startswith("7771:1: ")
        assert len(caught.value.message.splitlines()) == 1
        assert world.revision == before  # nothing was written

    asyncio.run(run())


def test_an_old_version_s_pieces_are_dropped_and_never_those_in_force() -> None:
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
            world.now += kc.SWEEP_S + 1
            await node.look()
        records = node.recurring.records
        table = node.recurring.table("office")
        assert table is not None
        left = [*records.names("p/office/"), *records.names("m/office/")]
        assert len(left) == table.parts + table.mapping_parts
        assert all(f"/{table.version}/" in name for name in left)

    asyncio.run(run())
