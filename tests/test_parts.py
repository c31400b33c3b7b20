"""Where a task asks for credit, given what the parts have published."""

from collections import Counter

from pulleydeal import constants as c
from pulleydeal.membership.messages import Total
from pulleydeal.placement.parts import Parts, gathers_in
from pulleydeal.placement.pending import Pending
from pulleydeal.store import records as r

ZONES = ["east"]


def spec(priority: int, gpus: float = 1.0, spot: bool = True) -> r.JobSpec:
    return r.JobSpec(
        "j-1", "c", "core", "array", priority, 4, 1.0, gpus, 1.0, "img", 9.0, spot=spot
    )


def total(gpus: float, spot: bool = False, **more: object) -> Total:
    return Total("t4", "east", spot, 8.0, gpus, 8.0, 8.0, gpus, **more)  # type: ignore[arg-type]


def choose(spec_: r.JobSpec, *totals: Total, pending: Pending | None = None) -> str:
    published = {f"winch-{i}": [t] for i, t in enumerate(totals)}
    return Parts(published, 100.0).choose(spec_, 0, ZONES, pending)


def test_most_room_wins_and_the_image_counts_more() -> None:
    assert choose(spec(1), total(1.0), total(3.0)) == "winch-1"
    there = {"img": (4.0, 1.0)}
    assert choose(spec(1), total(1.0, images=there), total(3.0)) == "winch-0"
    # A machine that has the image, but no room for the task, does not count.
    assert choose(spec(1, gpus=2.0), total(2.0, images=there), total(3.0)) == "winch-1"


def test_work_that_can_wait_goes_where_spot_room_is_before_where_the_image_is() -> None:
    there = {"img": (4.0, 4.0)}
    dear, cheap = total(4.0, images=there), total(1.0, spot=True)
    assert choose(spec(1), dear, cheap) == "winch-1"
    assert choose(spec(2), dear, cheap) == "winch-0"
    assert choose(spec(1, spot=False), dear, cheap) == "winch-0"


def test_high_priorities_go_where_room_can_be_made_on_a_machine_with_the_image() -> None:
    full = total(0.0, stoppable={"img": (8.0, 4.0)})
    assert choose(spec(2, gpus=4.0), total(0.0), full) == "winch-1"
    assert choose(spec(2, gpus=4.0), total(4.0), full) == "winch-1"
    there = total(4.0, images={"img": (8.0, 4.0)})
    assert choose(spec(2, gpus=4.0), there, full) == "winch-0"
    assert choose(spec(1, gpus=4.0), total(4.0), full) == "winch-0"


def test_a_part_that_seems_to_have_room_is_left_after_a_while_in_vain() -> None:
    waits = Pending("winch-1", 99.5, 90.0, ZONES, came_at=100.0 - c.ASK_STAY_S / 2)
    assert choose(spec(1), total(2.0), total(3.0), pending=waits) == "winch-1"
    waits.came_at = 100.0 - c.ASK_STAY_S
    assert choose(spec(1), total(2.0), total(3.0), pending=waits) == "winch-0"
    assert choose(spec(1), total(0.0), total(3.0), pending=waits) == "winch-1"


def test_a_gang_leaves_a_zone_soon_for_room_elsewhere_and_else_gives_room_time() -> None:
    gang = r.JobSpec("j-1", "c", "core", "gang", 2, 2, 1.0, 4.0, 1.0, "img", 9.0, one_zone=True)
    zones = ["east", "west", "north"]

    def moves(room: dict[str, int], for_s: float, zone: str = "east") -> str:
        return gathers_in(gang, zone, for_s, zones, Counter(room))

    assert moves({"west": 802}, 0.0, zone="") == "west"
    assert moves({"west": 802}, c.ZONE_TRY_S - 1) == "east"
    assert moves({"west": 802}, c.ZONE_TRY_S) == "west"
    assert moves({"west": 801}, c.ZONE_TRY_S) == "east"  # not for both of its tasks
    assert moves({"west": 801}, c.ASK_STAY_S) == "west"  # in vain: the next has its turn
