"""Decides the next step for a service: a pure function of its record and one observation.

Each decision is carried out in one transaction. Copies that may be healthy are taken out only
through `_removable`, which keeps the floor, and copies are started only through `_start`, which
bounds their number.
"""

from collections import Counter

from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts.constants import HEALTHY, QUEUED, STARTING, UNHEALTHY, UNKNOWN
from pulleydeal.rollouts.description import Description
from pulleydeal.rollouts.model import (
    CopyStatus,
    Decision,
    Observation,
    evidence_line,
    slots_text,
    version_and_zone,
)
from pulleydeal.rollouts.service_view import ServiceView
from pulleydeal.rollouts.state import Service, Slot

# Removal order by state: the least useful copies go first.
REMOVAL_RANK = {UNHEALTHY: 0, QUEUED: 1, STARTING: 2, UNKNOWN: 3, HEALTHY: 4}


def decide(
    service: Service, descriptions: dict[int, Description], observation: Observation
) -> Decision | None:
    """The next step, or None when there is nothing to do but wait."""
    current = service.rollout.to if service.rollout else service.good
    if current not in descriptions:
        return None  # no version was ever good, or its description has not been read yet
    return _Planner(service, descriptions, observation).next_step()


class _Planner(ServiceView):
    """Selects the first step that is due, in a fixed order of precedence."""

    def next_step(self) -> Decision | None:
        found = (
            self._remove_ended()
            or self._stop_drained()
            or self._check_failures()
            or self._check_deadline()
        )
        if found is not None:
            return found
        if self.on_hold:
            return self._refill() if len(self.present) < self.min_healthy() else None
        change = None if self.rollout and self.rollout.paused else self._change_copies
        return (
            self._refill()
            or self._move_queued()
            or (change() if change else None)
            or self._advance()
            or self._report_hold()
        )

    def _remove_ended(self) -> Decision | None:
        """Drops the slots of copies whose jobs have ended, for instance cancelled by a user."""
        ended = [x for x in self.observation.copies if x.job_ended]
        if not ended:
            return None
        gone = {x.slot.serial for x in ended}
        self.service.slots = [x for x in self.service.slots if x.serial not in gone]
        lines = [f"copy {x.slot.serial} ({version_and_zone(x.slot)}): {x.reason}" for x in ended]
        return Decision(
            self.service, f"{len(ended)} copies are gone", "their jobs were ended", lines
        )

    def _stop_drained(self) -> Decision | None:
        """Stops copies taken out of the endpoints once they are idle, failed or out of time."""
        ready = []
        for slot in self.service.slots:
            status = self.by_serial.get(slot.serial)
            if not slot.leaving or status is None:
                continue
            draining_s = self.now - slot.leaving
            idle = status.idle and draining_s >= rc.IDLE_DRAIN_S
            if idle or draining_s >= self.spec.leave_s or status.state in (QUEUED, UNHEALTHY):
                ready.append(slot)
        ready = ready[: rc.MAX_BATCH_COPIES]
        if not ready:
            return None
        gone = {x.serial for x in ready}
        self.service.slots = [x for x in self.service.slots if x.serial not in gone]
        return Decision(self.service, f"stopped {slots_text(ready)}", stop=ready, in_history=False)

    def _check_failures(self) -> Decision | None:
        """Rolls back when new copies are unhealthy, but holds when the old ones fail at half
        the new ones' rate or more, as that suggests a common cause."""
        rollout = self.rollout
        if rollout is None or rollout.phase == "returning":
            return None
        bad = [x for x in self.of_version(rollout.to) if x.state == UNHEALTHY]
        if not bad:
            return None
        old = self.other_versions(rollout.to)
        old_bad = [x for x in old if x.state == UNHEALTHY]
        share = len(bad) / max(1, len(self.of_version(rollout.to)))
        if old and len(old_bad) / len(old) >= 0.5 * share:
            reason = (
                f"both versions fail ({len(bad)} new and {len(old_bad)} old copies): something"
                " that they share, so neither is judged by it"
            )
            self.on_hold = True
            return self._set_hold(reason, bad + old_bad)
        return self._roll_back(f"{len(bad)} copies of version {rollout.to} are unhealthy", bad)

    def _check_deadline(self) -> Decision | None:
        """Rolls back or holds, as `late` says, after no progress within `deadline_s`."""
        rollout = self.rollout
        if (
            rollout is None
            or rollout.paused
            or rollout.phase != "advancing"
            or not self.spec.deadline_s
        ):
            return None
        stalled_s = self.now - rollout.since
        if stalled_s <= self.spec.deadline_s:
            return None
        reason = f"no step forward for {stalled_s:.0f} s" + (
            f": {rollout.hold}" if rollout.hold else ""
        )
        if self.spec.late == "hold":
            self.on_hold = True
            return self._set_hold("its deadline has passed without a step forward", [])
        return self._roll_back(
            reason, [x for x in self.of_version(rollout.to) if x.state != HEALTHY]
        )

    def _roll_back(self, reason: str, against: list[CopyStatus]) -> Decision:
        assert self.rollout is not None
        self.rollout.phase, self.rollout.hold, self.rollout.since = "returning", "", self.now
        self.rollout.paused = False
        back = (
            f"version {self.service.good}"
            if self.service.good
            else "nothing, as no version was good yet"
        )
        return Decision(
            self.service, f"returns to {back}", reason, [evidence_line(x) for x in against]
        )

    def _refill(self) -> Decision | None:
        """Replaces lost and ended copies before the roll-out advances."""
        if self.service.removed:
            return None
        short = self.spec.copies - len(self.present)
        if short <= 0:
            return None
        version = self.target
        if self.rollout and self.rollout.phase in ("advancing", "baking") and self.service.good:
            old_short = (self.spec.copies - self.target_copies()) - len(
                self.other_versions(self.rollout.to)
            )
            if old_short > 0:
                version, short = self.service.good, min(short, old_short)
        if not version:
            return None
        missing = [f"copy {x.slot.serial} in {x.slot.zone or '?'}: {x.reason}" for x in self.lost]
        return self._start(version, short, "refills" if self.service.good else "starts", missing)

    def _move_queued(self) -> Decision | None:
        """Takes out copies that wait in vain for room in their zone, if another zone is open; the
        next refill starts replacements there."""
        stuck = [x for x in self.present if x.slot.zone and self.is_stuck(x)]
        if not stuck or len(self.open_zones(self.spec)) == 0:
            return None
        moved = stuck[: rc.MAX_BATCH_COPIES]
        full = {x.slot.zone for x in moved}
        if not set(self.open_zones(self.spec)) - full:
            return None
        for x in moved:
            self.slot_of(x).leaving = self.now
        self.present = [x for x in self.present if x not in moved]
        lines = [evidence_line(x) for x in moved]
        return Decision(
            self.service, f"places {len(moved)} copies in other zones", "no room", lines
        )

    def _change_copies(self) -> Decision | None:
        """One batch towards the step's target: starts missing copies or takes out excess ones."""
        wanted = self.target_copies()
        current = self.of_version(self.target) if self.target else []
        if len(current) < wanted:
            room = self.spec.copies + self.spec.surge - len(self.present)
            if room > 0:
                return self._start(self.target, min(wanted - len(current), room), "starts", [])
        rest = self.other_versions(self.target)
        if self.rollout and self.rollout.phase == "returning":
            # During a roll-back, copies of the failed version that do not serve only take up room.
            useless = [x for x in rest if x.state != HEALTHY]
            if useless:
                return self._take_out(useless, len(useless))
        excess = len(self.present) - (self.spec.copies if wanted else 0)
        if rest and len(current) < wanted and excess <= 0 and self.spec.surge == 0:
            excess = 1  # without a surge an old copy must go before a new one can start
        if excess > 0 and (rest or current):
            return self._take_out(rest or current, excess)
        if self.rollout is None or self.rollout.phase == "returning":
            return self._replace_unhealthy(current) or self._take_out_lost(current, wanted)
        return self._take_out_lost(current, wanted)

    def _replace_unhealthy(self, current: list[CopyStatus]) -> Decision | None:
        """Replaces copies that stay unhealthy, one at a time; none if at least half of all copies
        are unhealthy, as new ones would fail too."""
        failed = [x for x in current if x.state == UNHEALTHY and x.in_state_s > rc.REPLACE_AFTER_S]
        coming = any(x.state in (QUEUED, STARTING) for x in self.present)
        unhealthy = sum(x.state == UNHEALTHY for x in self.present)
        if not failed or coming or 2 * unhealthy >= len(self.present):
            return None
        if self.spec.surge:
            return self._start(self.target, 1, "replaces", [evidence_line(failed[0])])
        return self._take_out(failed, 1)

    def _take_out_lost(self, current: list[CopyStatus], wanted: int) -> Decision | None:
        """Takes out lost copies of other versions once the target version is complete."""
        lost = [x for x in self.lost if x.slot.version != self.target]
        if lost and len(current) == wanted and wanted in (0, self.spec.copies):
            return self._take_out(lost, len(lost))
        return None

    def _start(self, version: int, count: int, verb: str, lines: list[str]) -> Decision | None:
        description = self.descriptions.get(version)
        if description is None:
            return None
        # Lost copies may still run, so this limit counts them, although the refill does not.
        room = rc.MAX_COPIES + rc.MAX_SURGE - len(self.service.slots)
        slots = []
        for _ in range(min(count, rc.MAX_BATCH_COPIES, room)):
            self.service.serial += 1
            slot = Slot(self.service.serial, version, self.next_zone(description), self.now)
            self.service.slots.append(slot)
            self.present.append(CopyStatus(slot, QUEUED))
            slots.append(slot)
        if not slots:
            return None
        if self.rollout:
            self.rollout.hold = ""
        action = f"{verb} {len(slots)} of version {version}"
        return Decision(
            self.service,
            action,
            "",
            lines,
            start=slots,
            in_history=bool(lines) or verb != "refills",
        )

    def _take_out(self, candidates: list[CopyStatus], count: int) -> Decision | None:
        """Takes copies out of the endpoints, as many as the floor allows."""
        going = self._removable(candidates, min(count, rc.MAX_BATCH_COPIES))
        if not going:
            return None
        if self.rollout and self.rollout.phase == "advancing":
            self.rollout.since = self.now  # new copies are healthy: counts as progress
        if self.rollout:
            self.rollout.hold = ""
        for x in going:
            self.slot_of(x).leaving = self.now
        slots = [x.slot for x in going]
        return Decision(
            self.service, f"takes out {slots_text(slots)}", f"{self.healthy} are healthy"
        )

    def _removable(self, candidates: list[CopyStatus], count: int) -> list[CopyStatus]:
        """Up to `count` candidates whose removal keeps the floor: the least useful states first,
        then the zones with the most copies.

        A copy in unknown state may be healthy, so its removal counts as that of a healthy copy,
        but it does not count towards the floor when others are removed.
        """
        copies_in = Counter(x.slot.zone for x in self.present)
        order = sorted(
            candidates,
            key=lambda x: (REMOVAL_RANK[x.state], -copies_in[x.slot.zone], x.slot.serial),
        )
        going: list[CopyStatus] = []
        left = self.healthy
        floor = self.min_healthy()
        if (
            self.spec.surge
            and floor
            and any(x.state != HEALTHY for x in self.of_version(self.target))
        ):
            # Copies of the target version may still fail. Until all of them are healthy, no
            # healthy copy is removed in their favour, even if the floor would allow it.
            floor = max(floor, self.spec.copies)
        for x in order:
            if len(going) == count:
                break
            if left < floor and x.slot.version == self.service.good and x.state != UNHEALTHY:
                # Already under the floor because of an external failure: every copy of the good
                # version that may become healthy is needed. Without this rule, copies that
                # restarted after a loss of all nodes were taken out one by one with none healthy.
                continue
            counts = x.state in (HEALTHY, UNKNOWN)
            if counts and left - 1 < floor:
                continue
            left -= counts
            going.append(x)
        return going

    def _advance(self) -> Decision | None:
        """Moves to the next phase or step once all copies have been healthy for long enough."""
        rollout = self.rollout
        if rollout is None or rollout.paused:
            return None
        if rollout.phase == "returning":
            return self._finish_rollback()
        new = self.of_version(rollout.to)
        complete = (
            not self.is_incomplete()
            and all(x.state == HEALTHY for x in new)
            and not any(x.leaving for x in self.service.slots)
        )
        if rollout.phase == "advancing":
            if not complete:
                return None
            rollout.phase, rollout.since, rollout.hold = "baking", self.now, ""
            return Decision(
                self.service, f"bakes step {rollout.step + 1}", f"{len(new)} new are healthy"
            )
        if not complete:
            if not any(x.state in (QUEUED, UNHEALTHY) for x in new) and not self.is_incomplete():
                return None  # a short gap in the evidence, which restarts `all_healthy_s` anyway
            rollout.phase, rollout.since = "advancing", self.now
            lines = [evidence_line(x) for x in new if x.state != HEALTHY]
            return Decision(
                self.service, "goes back to the step", "not all copies are healthy", lines
            )
        healthy_s = min(self.now - rollout.since, self.observation.all_healthy_s)
        if rollout.phase == "baking":
            return self._finish_bake() if healthy_s >= self.spec.bake_s else None
        if healthy_s < self.spec.watch_s:
            return None
        self.service.good, self.service.rollout = rollout.to, None
        return Decision(self.service, f"done: version {rollout.to} is good", "healthy to the end")

    def _finish_bake(self) -> Decision:
        """Goes on to the next step, or to watching after the last one."""
        rollout = self.rollout
        assert rollout is not None
        if self.service.good and rollout.step + 1 < len(self.spec.step_targets):
            rollout.phase, rollout.step, rollout.since = "advancing", rollout.step + 1, self.now
            wanted = self.spec.step_targets[rollout.step]
            return Decision(self.service, f"step {rollout.step + 1}: {wanted} new copies", "baked")
        rollout.phase, rollout.since = "watching", self.now
        return Decision(self.service, "watches", f"all copies are of version {rollout.to}")

    def _finish_rollback(self) -> Decision | None:
        """Ends the roll-back once only healthy copies of the good version are left."""
        good = self.of_version(self.service.good) if self.service.good else []
        rest = self.other_versions(self.service.good)
        if (
            rest
            or any(x.leaving for x in self.service.slots)
            or len(good) < self.copies_after_rollback()
        ):
            return None
        if any(x.state != HEALTHY for x in good):
            return None
        self.service.rollout = None
        to = f"version {self.service.good} serves" if self.service.good else "no version serves"
        return Decision(self.service, f"returned: {to}", f"{len(good)} healthy copies")

    # --- holding ----------------------------------------------------------------------------
    def _report_hold(self) -> Decision | None:
        """Records why the roll-out does not proceed, when the reason has changed."""
        rollout = self.rollout
        if rollout is None or rollout.phase in ("baking", "watching"):
            return None
        version = rollout.to if rollout.phase == "advancing" else self.service.good
        not_healthy = [x for x in self.of_version(version) if x.state != HEALTHY]
        reason = ""
        if rollout.paused:
            reason = "paused by an operator"
        elif not_healthy:
            first = not_healthy[0]
            reason = f"{len(not_healthy)} copies of version {version} are not healthy yet"
            if first.state in (QUEUED, UNHEALTHY):
                reason += f", the first is {first.state}: {first.reason}"
        elif self.healthy < self.min_healthy():
            reason = f"{self.healthy} copies are healthy, of a floor of {self.min_healthy()}"
        return self._set_hold(reason, [])

    def _set_hold(self, reason: str, evidence: list[CopyStatus]) -> Decision | None:
        rollout = self.rollout
        assert rollout is not None
        if rollout.hold == reason[: 2 * rc.MAX_EVIDENCE_CHARS]:
            return None
        rollout.hold = reason[: 2 * rc.MAX_EVIDENCE_CHARS]
        lines = [evidence_line(x) for x in evidence]
        return Decision(self.service, "holds", reason, lines, in_history=bool(evidence))
