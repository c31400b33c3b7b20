"""Grants of credit by one owner: reservations after preemption, holds, and known images."""

from pulleydeal import constants as c
from pulleydeal.store import records as r
from standins.owner import Owner, spec


def test_capacity_freed_by_preemption_is_used_without_the_image() -> None:
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


def test_a_reservation_in_a_zone_that_is_no_longer_allowed_is_cancelled() -> None:
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


def test_a_credit_is_granted_once() -> None:
    owner = Owner(machines={"vm-1": "east"}, gpus=1.0)
    owner.ask(spec("j-a"))
    owner.ask(spec("j-b"))
    owner.round()
    assert owner.held == {"j-a/0": "vm-1"}
    owner.pass_time(c.HOLD_S + 0.1)
    owner.ask(spec("j-b"))
    owner.round()
    assert owner.held["j-b/0"] == "vm-1"  # the binding was never written: it is free again


def test_a_draining_machine_offers_no_credit() -> None:
    owner = Owner(machines={"vm-1": "east"}, gpus=1.0)
    owner.set_state("vm-1", "drain")
    owner.ask(spec("j-a"))
    owner.round()
    assert owner.held == {}
    assert isinstance(owner.replica.machines["vm-1"].record, r.MachineRecord)


def test_a_waiting_request_gets_a_credit_that_changes_later() -> None:
    owner = Owner(machines={"vm-1": "east", "vm-2": "west"}, gpus=1.0)
    owner.bind("vm-1", spec("j-a"))
    owner.bind("vm-2", spec("j-b"))
    owner.ask(spec("j-c"))
    owner.ask(spec("j-d"))
    owner.round()
    assert owner.held == {}
    owner.unbind("vm-2", "j-b")
    owner.round()
    assert owner.held == {"j-c/0": "vm-2"}  # the longest waiting one; the other finds nothing


def test_a_team_over_its_guarantee_is_preempted_without_a_credit_change() -> None:
    owner = Owner(machines={"vm-1": "east"}, gpus=1.0, guarantee=1.0)
    owner.bind("vm-1", spec("j-own"))
    owner.ask(spec("j-owed", team="other"), guaranteed=True)
    owner.pass_time(c.PREEMPT_AFTER_S + 0.1)
    owner.round()
    assert owner.stopped == []
    owner.bind("vm-9", spec("j-more"))  # elsewhere: the team now uses more than its guarantee
    owner.pass_time(c.FULL_RESCAN_S + 0.1)
    owner.ask(spec("j-owed", team="other"), guaranteed=True)
    owner.round()
    assert owner.stopped == ["j-own/0"]


def test_a_restarted_member_is_sent_the_known_images() -> None:
    owner = Owner(machines={"vm-1": "east"}, gpus=1.0)
    owner.join("winch-1", "first")
    owner.bind("vm-1", spec("j-a", image="seen"))
    owner.pass_time(c.IMAGES_SEND_DELAY_S + 0.1)
    owner.round()
    owner.told.clear()
    owner.join("winch-2", "first")
    owner.round()
    assert owner.told == {}  # its connections may not be up yet
    owner.pass_time(c.IMAGES_SEND_DELAY_S + 0.1)
    owner.round()
    assert owner.told == {"winch-2": {"vm-1": {"seen": 50.0}}}


def test_images_reported_by_siblings_count_as_older_than_own_ones() -> None:
    owner = Owner(machines={"vm-1": "east", "vm-2": "east"}, gpus=2.0)
    owner.bind("vm-1", spec("j-a", image="new"))
    owner.hear_images({"vm-1": {"old": 40.0}, "vm-2": {"img": 1.0}, "vm-9": {"img": 1.0}})
    owner.ask(spec("j-b", image="img"))
    owner.round()
    assert owner.held == {"j-b/0": "vm-2"}
    owner.hear_images({"vm-1": {"older": 30.0, "old": 40.0}})  # the machine's cache holds 100 GB
    owner.ask(spec("j-c", image="old"))
    owner.round()
    assert owner.held["j-c/0"] == "vm-1"
