"""Proxy lease renewal in a zone that is cut off: decisions, status messages and the model."""

from pathlib import Path

import pytest

from pulleydeal import constants as c
from pulleydeal.frames import BadFrame
from pulleydeal.workers.messages import Report
from pulleydeal.workers.tracked_machine import TrackedMachine, apply_report, lease_over
from pulleydeal.zones import constants as z
from pulleydeal.zones import decide
from pulleydeal.zones.messages import NodeStatus, pack, unpack
from tests.model.cut_zone import GUARDS, explore, replay, replay_without

TRACE = Path(__file__).parent / "traces" / "cut_zone_model.txt"
LEASE_S = 14.0


def local_node(**more: object) -> decide.LocalNode:
    values: dict[str, object] = {
        "zone": "east",
        "epoch": 7,
        "is_member": True,
        "all_enabled": True,
        "replica_age_s": 10.0,
        "informed_peer_silence_s": 10.0,
    }
    return decide.LocalNode(**(values | more))  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("me", "machine", "why"),
    [
        ({}, {}, ""),
        ({"replica_age_s": 3.0}, {}, "in reach"),
        ({"informed_peer_silence_s": 3.0}, {}, "in reach"),
        ({"is_member": False}, {}, "not a member"),
        ({"all_enabled": False}, {}, "not every node"),
        # No limit in time.
        ({"replica_age_s": 86_400.0, "informed_peer_silence_s": 86_400.0}, {}, ""),
        ({}, {"zone": "west"}, "another zone"),
        ({}, {"token_epoch": 8}, "somebody newer"),
        ({}, {"token_epoch": 2}, ""),
        ({}, {"cancelled": {"j-2"}}, "cancelled job"),
        ({}, {"cancelled": {"j-9"}}, ""),
    ],
)
def test_when_a_lease_is_renewed_by_proxy(
    me: dict[str, object], machine: dict[str, object], why: str
) -> None:
    values: dict[str, object] = {
        "zone": "east",
        "token_epoch": 7,
        "jobs": ["j-1", "j-2"],
        "cancelled": set(),
    }
    found = decide.renewal_refusal(local_node(**me), **(values | machine))  # type: ignore[arg-type]
    assert why in found
    assert bool(why) == bool(found)


def unrenewed(peer: decide.Contact, now: float, epoch: int = 7) -> bool:
    return decide.no_peer_renewed([peer], "west", -1e9, epoch, LEASE_S, now)


def acknowledge_each_half_second(peer: decide.Contact, first: float, last: float) -> None:
    tenths = range(int(first * 10), int(last * 10) + 1, 5)
    for tenth in tenths:
        peer.acknowledge(tenth / 10, tenth / 10 + 0.01)


def test_silence_is_proof_only_after_a_whole_lease_of_contact() -> None:
    peer = decide.Contact("east", 0.0, -1e9)
    acknowledge_each_half_second(peer, 0.0, 100.0)
    assert unrenewed(peer, 100.5)
    assert not unrenewed(peer, 100.0 + z.CONTACT_TIMEOUT_S + 0.1)
    # Contact resumes after a gap: the peer may have renewed leases until now.
    acknowledge_each_half_second(peer, 105.0, 119.0)
    assert not unrenewed(peer, 119.0)
    acknowledge_each_half_second(peer, 119.5, 119.5)
    assert unrenewed(peer, 119.5)


def test_a_delayed_acknowledgement_is_no_contact() -> None:
    peer = decide.Contact("east", 0.0, -1e9)
    acknowledge_each_half_second(peer, 0.0, 50.0)
    for late in range(100, 120):
        peer.acknowledge(50.1, float(late))  # sent before the cut, delivered repeatedly
    assert not unrenewed(peer, 119.0)


def test_a_token_newer_than_a_removed_peer_excludes_its_renewals() -> None:
    peer = decide.Contact("east", 0.0, -1e9)
    peer.apply_view(member=True, epoch=7, now=0.0)
    peer.apply_view(member=False, epoch=8, now=0.0)
    assert not unrenewed(peer, 100.0, epoch=7)
    assert unrenewed(peer, 100.0, epoch=8)
    # It may have been a member again in a view that was never evaluated here.
    peer.apply_view(member=False, epoch=10, now=0.0)
    assert not unrenewed(peer, 100.0, epoch=8)


def test_a_lease_counts_from_when_the_machine_held_the_owners_token() -> None:
    """The owner's first answer was lost, and an earlier owner with an older copy renewed later."""
    s = TrackedMachine("vm-1", "t4", "east", False, 0.0, 7 << c.EPOCH_SHIFT, set())
    s.last_report_at, s.checkin_answered_at, s.seen_token = 30.0, 10.0, 6 << c.EPOCH_SHIFT
    assert not lease_over(s, 100.0, LEASE_S)
    s.seen_token, s.token_at = 7 << c.EPOCH_SHIFT, 30.0
    assert not lease_over(s, 30.0 + LEASE_S, LEASE_S)
    assert lease_over(s, 32.0 + LEASE_S, LEASE_S)


def test_a_new_session_starts_with_a_whole_lease() -> None:
    """Answers to the previous session ended the lease of tasks that an order had started in it."""
    s = TrackedMachine("vm-1", "t4", "east", False, 0.0, 7 << c.EPOCH_SHIFT, set())
    for session, at in ((1, 10.0), (2, 100.0)):
        report = Report(
            "vm-1", "a:1", "t4", "east", False, session, 1, 7 << c.EPOCH_SHIFT, None, []
        )
        assert apply_report(s, report, at, checkin=False)
        s.checkin_answered_at = 10.0
    assert not lease_over(s, 100.0 + LEASE_S, LEASE_S)
    assert lease_over(s, 101.1 + LEASE_S, LEASE_S)


def test_peers_of_the_own_zone_are_proof_only_while_this_node_is_served() -> None:
    peer = decide.Contact("east", 0.0, -1e9)
    acknowledge_each_half_second(peer, 0.0, 100.0)
    for unserved_at, expected in ((100.0, False), (100.0 - LEASE_S - 1, True)):
        found = decide.no_peer_renewed([peer], "east", unserved_at, 7, LEASE_S, 100.5)
        assert found is expected


def test_a_cancellation_is_confirmed_only_when_every_peer_reports_its_revision() -> None:
    peer = decide.Contact("east", 0.0, 0.0, revision=411)
    assert not decide.may_confirm_cancel([peer], 412)
    peer.apply_view(member=False, epoch=1, now=0.0)
    assert not decide.may_confirm_cancel([peer], 412)
    peer.revision = 412
    assert decide.may_confirm_cancel([peer], 412)
    assert decide.may_confirm_cancel([], 412)


def test_leases_longer_than_the_cancellation_limit_do_not_fit() -> None:
    assert decide.lease_fits_cancel(14.0, 34.0)
    assert not decide.lease_fits_cancel(14.0, 15.0)


def test_status_messages_round_trip() -> None:
    status = NodeStatus(12.5, 2**40, True, {"winch-1": 3.25}, {"east": (3, 70_000)})
    assert unpack(pack(status)) == status
    for cut in range(len(pack(status))):
        with pytest.raises(BadFrame):
            unpack(pack(status)[:cut])


# --- the model -------------------------------------------------------------------------------
def test_no_order_of_events_violates_an_invariant() -> None:
    states, trace = explore(1, 3, crash=True)
    assert trace == []
    assert states > 5_000  # fewer would mean that events no longer occur


def stored_traces() -> dict[str, list[str]]:
    found: dict[str, list[str]] = {}
    for line in TRACE.read_text().splitlines():
        if line.startswith("["):
            found[line.strip("[]")] = trace = []
        elif line and not line.startswith("#"):
            trace.append(line)
    return found


@pytest.mark.parametrize("guard", GUARDS)
def test_removing_a_guard_violates_its_invariant_as_in_the_stored_trace(guard: str) -> None:
    trace = stored_traces()[guard]
    invariant = GUARDS[guard][3]
    assert trace[-1].startswith(f"broken: {invariant}")
    assert replay_without(guard, trace) == trace[-1].removeprefix("broken: ")
    assert replay(trace) == ""
