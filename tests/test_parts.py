"""The choice of the owner at which a task requests credit."""

from collections import Counter

from pulleydeal import constants as c
from pulleydeal.membership.messages import CreditTotal
from pulleydeal.placement.owner_selection import OwnerSelector, choose_gang_zone
from pulleydeal.placement.pending import PendingRequest
from pulleydeal.store import records as r

ZONES = ["east"]


def spec(priority: int, gpus: float = 1.0, spot: bool = True) -> r.JobSpec:
    return r.JobSpec(
        "j-1", "c", "core", "array", priority, 4, 1.0, gpus, 1.0, "img", 9.0, spot=spot
    )


def total(gpus: float, spot: bool = False, **overrides: object) -> CreditTotal:
    return CreditTotal("t4", "east", spot, 8.0, gpus, 8.0, 8.0, gpus, **overrides)  # type: ignore[arg-type]


def choose(spec_: r.JobSpec, *totals: CreditTotal, current: PendingRequest | None = None) -> str:
    totals_by_owner = {f"winch-{i}": [t] for i, t in enumerate(totals)}
    return OwnerSelector(totals_by_owner, 100.0).choose(spec_, 0, ZONES, current)


def test_most_room_wins_and_the_image_counts_more() -> None:
    assert choose(spec(1), total(1.0), total(3.0)) == "winch-1"
    with_image = {"img": (4.0, 1.0)}
    assert choose(spec(1), total(1.0, images=with_image), total(3.0)) == "winch-0"
    # A machine with the image but without room for the task does not count.
    assert choose(spec(1, gpus=2.0), total(2.0, images=with_image), total(3.0)) == "winch-1"


def test_work_that_can_wait_goes_where_spot_room_is_before_where_the_image_is() -> None:
    with_image = {"img": (4.0, 4.0)}
    on_demand, spot_machines = total(4.0, images=with_image), total(1.0, spot=True)
    assert choose(spec(1), on_demand, spot_machines) == "winch-1"
    assert choose(spec(2), on_demand, spot_machines) == "winch-0"
    assert choose(spec(1, spot=False), on_demand, spot_machines) == "winch-0"


def test_high_priorities_go_where_room_can_be_made_on_a_machine_with_the_image() -> None:
    busy = total(0.0, stoppable={"img": (8.0, 4.0)})
    assert choose(spec(2, gpus=4.0), total(0.0), busy) == "winch-1"
    assert choose(spec(2, gpus=4.0), total(4.0), busy) == "winch-1"
    with_image = total(4.0, images={"img": (8.0, 4.0)})
    assert choose(spec(2, gpus=4.0), with_image, busy) == "winch-0"
    assert choose(spec(1, gpus=4.0), total(4.0), busy) == "winch-0"


def test_an_owner_that_grants_nothing_is_left_after_a_while() -> None:
    current_request = PendingRequest(
        "winch-1", 99.5, 90.0, ZONES, owner_since=100.0 - c.ASK_MOVE_AFTER_S / 2
    )
    assert choose(spec(1), total(2.0), total(3.0), current=current_request) == "winch-1"
    current_request.owner_since = 100.0 - c.ASK_MOVE_AFTER_S
    assert choose(spec(1), total(2.0), total(3.0), current=current_request) == "winch-0"
    assert choose(spec(1), total(0.0), total(3.0), current=current_request) == "winch-1"


def test_a_gang_leaves_its_zone_early_only_if_another_has_room_for_all_of_it() -> None:
    gang = r.JobSpec("j-1", "c", "core", "gang", 2, 2, 1.0, 4.0, 1.0, "img", 9.0, one_zone=True)
    zones = ["east", "west", "north"]

    def zone_after(room: dict[str, int], tried_s: float, zone: str = "east") -> str:
        return choose_gang_zone(gang, zone, tried_s, zones, Counter(room))

    assert zone_after({"west": 802}, 0.0, zone="") == "west"
    assert zone_after({"west": 802}, c.ZONE_TRY_S - 1) == "east"
    assert zone_after({"west": 802}, c.ZONE_TRY_S) == "west"
    assert zone_after({"west": 801}, c.ZONE_TRY_S) == "east"  # one less than both of its tasks need
    assert (
        zone_after({"west": 801}, c.ASK_MOVE_AFTER_S) == "west"
    )  # tried in vain: the gang moves on
