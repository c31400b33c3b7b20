"""Room made by stopping tasks goes to whom it was made for, image or not."""

from pulleydeal import constants as c
from pulleydeal.store import records as r
from standins.owner import Owner, spec


def test_made_room_is_taken_though_the_image_is_missing() -> None:
    owner = Owner(machines={"vm-1": "east"}, gpus=1.0)
    owner.bind("vm-1", spec("j-low", priority=0))
    owner.ask(spec("j-prod", priority=3, image="other"))
    owner.round()
    owner.pass_time(c.PREEMPT_AFTER_S + 0.1)
    owner.round()
    assert owner.stopped == ["j-low/0"]
    assert owner.held == {}
    owner.unbind("vm-1", "j-low")
    owner.round()
    assert owner.held == {"j-prod/0": "vm-1"}


def test_room_made_where_the_task_may_no_longer_run_is_given_up() -> None:
    owner = Owner(machines={"vm-1": "east", "vm-2": "west"}, gpus=1.0)
    owner.bind("vm-1", spec("j-low", priority=0))
    owner.bind("vm-2", spec("j-high", priority=2))
    owner.ask(spec("j-prod", priority=3), zones=["east"])
    owner.pass_time(c.PREEMPT_AFTER_S + 0.1)
    owner.round()
    assert owner.stopped == ["j-low/0"]
    owner.unbind("vm-2", "j-high")
    owner.ask(spec("j-prod", priority=3), zones=["west"])
    owner.round()
    assert owner.held == {"j-prod/0": "vm-2"}


def test_the_same_credit_is_spent_once() -> None:
    owner = Owner(machines={"vm-1": "east"}, gpus=1.0)
    owner.ask(spec("j-a"))
    owner.ask(spec("j-b"))
    owner.round()
    assert owner.held == {"j-a/0": "vm-1"}
    owner.pass_time(c.HOLD_S + 0.1)
    owner.ask(spec("j-b"))
    owner.round()
    assert owner.held["j-b/0"] == "vm-1"  # the binding never came: the room is free again


def test_a_machine_that_is_to_go_gives_no_credit() -> None:
    owner = Owner(machines={"vm-1": "east"}, gpus=1.0)
    owner.set_state("vm-1", "drain")
    owner.ask(spec("j-a"))
    owner.round()
    assert owner.held == {}
    assert isinstance(owner.replica.machines["vm-1"].record, r.MachineRecord)


def test_an_ask_that_found_nothing_finds_the_credit_that_changes_later() -> None:
    owner = Owner(machines={"vm-1": "east", "vm-2": "west"}, gpus=1.0)
    owner.bind("vm-1", spec("j-a"))
    owner.bind("vm-2", spec("j-b"))
    owner.ask(spec("j-c"))
    owner.ask(spec("j-d"))
    owner.round()
    assert owner.held == {}
    owner.unbind("vm-2", "j-b")
    owner.round()
    assert owner.held == {"j-c/0": "vm-2"}  # whoever waits longest; the other finds nothing


def test_a_team_over_its_guarantee_gives_room_though_no_credit_changed() -> None:
    owner = Owner(machines={"vm-1": "east"}, gpus=1.0, guarantee=1.0)
    owner.bind("vm-1", spec("j-own"))
    owner.ask(spec("j-owed", team="other"), guaranteed=True)
    owner.pass_time(c.PREEMPT_AFTER_S + 0.1)
    owner.round()
    assert owner.stopped == []
    owner.bind("vm-9", spec("j-more"))  # elsewhere: the team now uses more than it is owed
    owner.pass_time(c.LOOK_AGAIN_S + 0.1)
    owner.ask(spec("j-owed", team="other"), guaranteed=True)
    owner.round()
    assert owner.stopped == ["j-own/0"]


def test_a_node_that_starts_anew_is_told_which_machines_have_which_images() -> None:
    owner = Owner(machines={"vm-1": "east"}, gpus=1.0)
    owner.join("winch-1", "first")
    owner.bind("vm-1", spec("j-a", image="seen"))
    owner.pass_time(c.TELL_IMAGES_S + 0.1)
    owner.round()
    owner.told.clear()
    owner.join("winch-2", "first")
    owner.round()
    assert owner.told == {}  # its links may not be up yet
    owner.pass_time(c.TELL_IMAGES_S + 0.1)
    owner.round()
    assert owner.told == {"winch-2": {"vm-1": {"seen": 50.0}}}


def test_what_siblings_saw_counts_and_own_sight_is_newer() -> None:
    owner = Owner(machines={"vm-1": "east", "vm-2": "east"}, gpus=2.0)
    owner.bind("vm-1", spec("j-a", image="new"))
    owner.hear_images({"vm-1": {"old": 40.0}, "vm-2": {"img": 1.0}, "vm-9": {"img": 1.0}})
    owner.ask(spec("j-b", image="img"))
    owner.round()
    assert owner.held == {"j-b/0": "vm-2"}
    owner.hear_images({"vm-1": {"older": 30.0, "old": 40.0}})  # the cache holds 100 GB
    owner.ask(spec("j-c", image="old"))
    owner.round()
    assert owner.held["j-c/0"] == "vm-1"
