"""What a service's leader does next: a plain function of the record and of what it sees.

One decision is one transaction. Every way to stop a copy goes through `_removable`, which keeps
the floor; every way to start one through `_start`, which keeps to the surge.
"""

from collections import Counter

from pulleydeal.rollouts import constants as rc
from pulleydeal.rollouts.constants import HEALTHY, QUEUED, STARTING, UNHEALTHY, UNKNOWN
from pulleydeal.rollouts.description import Description
from pulleydeal.rollouts.look import Look
from pulleydeal.rollouts.seen import (
    Decision,
    Seen,
    World,
    line_of,
    named,
    version_of,
)
from pulleydeal.rollouts.state import Service, Slot

# Who goes first when copies are to go: those that serve least.
RANK = {UNHEALTHY: 0, QUEUED: 1, STARTING: 2, UNKNOWN: 3, HEALTHY: 4}


def decide(service: Service, descriptions: dict[int, Description], world: World) -> Decision | None:
    """The next step, or None when there is nothing to do but wait."""
    current = service.rollout.to if service.rollout else service.good
    if current not in descriptions:
        return None  # nothing was ever good here, or its description is still on its way
    return _Steps(service, descriptions, world).next()


class _Steps(Look):
    """Chooses one step of those that are due."""

    def next(self) -> Decision | None:
        found = self._forget() or self._leave() or self._against() or self._passed_deadline()
        if found is not None:
            return found
        if self.stands:
            return self._refill() if len(self.present) < self.least() else None
        change = None if self.r and self.r.paused else self._change
        return (
            self._refill()
            or self._move_queued()
            or (change() if change else None)
            or self._forward()
            or self._hold()
        )

    def _forget(self) -> Decision | None:
        """Copies whose jobs are over: ended by us, or by a user who cancelled one."""
        over = [x for x in self.world.copies if x.over]
        if not over:
            return None
        gone = {x.slot.serial for x in over}
        self.s.slots = [x for x in self.s.slots if x.serial not in gone]
        lines = [f"copy {x.slot.serial} ({version_of(x.slot)}): {x.why}" for x in over]
        return Decision(self.s, f"{len(over)} copies are gone", "their jobs were ended", lines)

    def _leave(self) -> Decision | None:
        """Copies out of the endpoints are stopped when their requests are over, or time is."""
        ready = []
        for slot in self.s.slots:
            seen = self.by_serial.get(slot.serial)
            if not slot.leaving or seen is None:
                continue
            out_s = self.now - slot.leaving
            idle = seen.idle and out_s >= rc.EMPTY_LEAVE_S
            if idle or out_s >= self.d.leave_s or seen.state in (QUEUED, UNHEALTHY):
                ready.append(slot)
        ready = ready[: rc.AT_ONCE]
        if not ready:
            return None
        gone = {x.serial for x in ready}
        self.s.slots = [x for x in self.s.slots if x.serial not in gone]
        return Decision(self.s, f"stopped {named(ready)}", stop=ready, told=False)

    def _against(self) -> Decision | None:
        """Evidence against the new version returns the roll-out; against both it holds."""
        r = self.r
        if r is None or r.phase == "returning":
            return None
        bad = [x for x in self.of(r.to) if x.state == UNHEALTHY]
        if not bad:
            return None
        old = self.others(r.to)
        old_bad = [x for x in old if x.state == UNHEALTHY]
        share = len(bad) / max(1, len(self.of(r.to)))
        if old and len(old_bad) / len(old) >= 0.5 * share:
            why = (
                f"both versions fail ({len(bad)} new and {len(old_bad)} old copies): something"
                " that they share, so neither is judged by it"
            )
            self.stands = True
            return self._held(why, bad + old_bad)
        return self._return(f"{len(bad)} copies of version {r.to} are unhealthy", bad)

    def _passed_deadline(self) -> Decision | None:
        r = self.r
        if r is None or r.paused or r.phase != "advancing" or not self.d.deadline_s:
            return None
        for_s = self.now - r.since
        if for_s <= self.d.deadline_s:
            return None
        why = f"no step forward for {for_s:.0f} s" + (f": {r.hold}" if r.hold else "")
        if self.d.late == "hold":
            self.stands = True
            return self._held("its deadline has passed without a step forward", [])
        return self._return(why, [x for x in self.of(r.to) if x.state != HEALTHY])

    def _return(self, why: str, against: list[Seen]) -> Decision:
        assert self.r is not None
        self.r.phase, self.r.hold, self.r.since = "returning", "", self.now
        self.r.paused = False
        back = f"version {self.s.good}" if self.s.good else "nothing, as no version was good yet"
        return Decision(self.s, f"returns to {back}", why, [line_of(x) for x in against])

    def _refill(self) -> Decision | None:
        """Copies that are lost or ended are replaced before anything advances."""
        if self.s.removed:
            return None
        short = self.d.copies - len(self.present)
        if short <= 0:
            return None
        version = self.main
        if self.r and self.r.phase in ("advancing", "baking") and self.s.good:
            old_short = (self.d.copies - self.want()) - len(self.others(self.r.to))
            if old_short > 0:
                version, short = self.s.good, min(short, old_short)
        if not version:
            return None
        missing = [f"copy {x.slot.serial} in {x.slot.zone or '?'}: {x.why}" for x in self.lost]
        return self._start(version, short, "refills" if self.s.good else "starts", missing)

    def _move_queued(self) -> Decision | None:
        """A copy that waits for room in its zone is placed in another, if there is one."""
        stuck = [x for x in self.present if x.slot.zone and self.is_stuck(x)]
        if not stuck or len(self.zones_open(self.d)) == 0:
            return None
        moved = stuck[: rc.AT_ONCE]
        full = {x.slot.zone for x in moved}
        if not set(self.zones_open(self.d)) - full:
            return None
        for x in moved:
            self.slot_of(x).leaving = self.now
        self.present = [x for x in self.present if x not in moved]
        lines = [line_of(x) for x in moved]
        return Decision(self.s, f"places {len(moved)} copies in other zones", "no room", lines)

    def _change(self) -> Decision | None:
        """One batch towards what the step asks for: start what is missing, stop what is over."""
        want = self.want()
        mine = self.of(self.main) if self.main else []
        if len(mine) < want:
            room = self.d.copies + self.d.surge - len(self.present)
            if room > 0:
                return self._start(self.main, min(want - len(mine), room), "starts", [])
        rest = self.others(self.main)
        if self.r and self.r.phase == "returning":
            # What does not serve is no use while it goes back, and stands in the way.
            useless = [x for x in rest if x.state != HEALTHY]
            if useless:
                return self._stop(useless, len(useless))
        over = len(self.present) - (self.d.copies if want else 0)
        if rest and len(mine) < want and over <= 0 and self.d.surge == 0:
            over = 1  # without a surge an old copy goes before a new one comes
        if over > 0 and (rest or mine):
            return self._stop(rest or mine, over)
        if self.r is None or self.r.phase == "returning":
            return self._replace(mine) or self._stop_unseen(mine, want)
        return self._stop_unseen(mine, want)

    def _replace(self, mine: list[Seen]) -> Decision | None:
        """A copy that stays unhealthy is replaced, one at a time, while most are well: where half
        of them fail, new ones would too."""
        sick = [x for x in mine if x.state == UNHEALTHY and x.for_s > rc.REPLACE_S]
        coming = any(x.state in (QUEUED, STARTING) for x in self.present)
        unhealthy = sum(x.state == UNHEALTHY for x in self.present)
        if not sick or coming or 2 * unhealthy >= len(self.present):
            return None
        if self.d.surge:
            return self._start(self.main, 1, "replaces", [line_of(sick[0])])
        return self._stop(sick, 1)

    def _stop_unseen(self, mine: list[Seen], want: int) -> Decision | None:
        """Copies of another version that are out of sight go when nothing else is to be done."""
        unseen = [x for x in self.lost if x.slot.version != self.main]
        if unseen and len(mine) == want and want in (0, self.d.copies):
            return self._stop(unseen, len(unseen))
        return None

    def _start(self, version: int, count: int, verb: str, lines: list[str]) -> Decision | None:
        d = self.descriptions.get(version)
        if d is None:
            return None
        # Unseen copies may be there all the same; the limit counts them, the refill does not.
        most = rc.MOST_COPIES + rc.MOST_SURGE - len(self.s.slots)
        slots = []
        for _ in range(min(count, rc.AT_ONCE, most)):
            self.s.serial += 1
            slot = Slot(self.s.serial, version, self.next_zone(d), self.now)
            self.s.slots.append(slot)
            self.present.append(Seen(slot, QUEUED))
            slots.append(slot)
        if not slots:
            return None
        if self.r:
            self.r.hold = ""
        what = f"{verb} {len(slots)} of version {version}"
        return Decision(self.s, what, "", lines, start=slots, told=bool(lines) or verb != "refills")

    def _stop(self, candidates: list[Seen], count: int) -> Decision | None:
        """Takes copies out of the endpoints, as many as the floor allows."""
        going = self._removable(candidates, min(count, rc.AT_ONCE))
        if not going:
            return None
        if self.r and self.r.phase == "advancing":
            self.r.since = self.now  # new copies proved healthy: a step forward
        if self.r:
            self.r.hold = ""
        for x in going:
            self.slot_of(x).leaving = self.now
        slots = [x.slot for x in going]
        return Decision(self.s, f"takes out {named(slots)}", f"{self.healthy} are healthy")

    def _removable(self, candidates: list[Seen], count: int) -> list[Seen]:
        """Those that serve least first, then those where most copies are; never under the floor.

        A copy that is unknown may be healthy: it is taken for healthy when it goes, and for
        nothing when others go.
        """
        crowd = Counter(x.slot.zone for x in self.present)
        order = sorted(
            candidates, key=lambda x: (RANK[x.state], -crowd[x.slot.zone], x.slot.serial)
        )
        going: list[Seen] = []
        left = self.healthy
        least = self.least()
        if self.d.surge and least and any(x.state != HEALTHY for x in self.of(self.main)):
            # Those that come may still fail: until they are healthy none that serves goes for
            # them, though the floor would allow it.
            least = max(least, self.d.copies)
        for x in order:
            if len(going) == count:
                break
            if left < least and x.slot.version == self.s.good and x.state != UNHEALTHY:
                # Under the floor already, for what happened outside: whatever of the good
                # version is on its way is needed. (After all nodes had been lost, copies that
                # started again were taken out one by one, with none healthy.)
                continue
            counts = x.state in (HEALTHY, UNKNOWN)
            if counts and left - 1 < least:
                continue
            left -= counts
            going.append(x)
        return going

    def _forward(self) -> Decision | None:
        """From step to step, once all copies are there and have been healthy for long enough."""
        r = self.r
        if r is None or r.paused:
            return None
        if r.phase == "returning":
            return self._returned()
        mine = self.of(r.to)
        complete = (
            not self.is_short()
            and all(x.state == HEALTHY for x in mine)
            and not any(x.leaving for x in self.s.slots)
        )
        if r.phase == "advancing":
            if not complete:
                return None
            r.phase, r.since, r.hold = "baking", self.now, ""
            return Decision(self.s, f"bakes step {r.step + 1}", f"{len(mine)} new are healthy")
        if not complete:
            if not any(x.state in (QUEUED, UNHEALTHY) for x in mine) and not self.is_short():
                return None  # merely not seen for a moment: `steady_s` begins again by itself
            r.phase, r.since = "advancing", self.now
            lines = [line_of(x) for x in mine if x.state != HEALTHY]
            return Decision(self.s, "goes back to the step", "not all copies are healthy", lines)
        healthy_s = min(self.now - r.since, self.world.steady_s)
        if r.phase == "baking":
            return self._baked() if healthy_s >= self.d.bake_s else None
        if healthy_s < self.d.watch_s:
            return None
        self.s.good, self.s.rollout = r.to, None
        return Decision(self.s, f"done: version {r.to} is good", "healthy to the end")

    def _baked(self) -> Decision:
        """The step's copies have been healthy for long enough."""
        r = self.r
        assert r is not None
        if self.s.good and r.step + 1 < len(self.d.wanted):
            r.phase, r.step, r.since = "advancing", r.step + 1, self.now
            want = self.d.wanted[r.step]
            return Decision(self.s, f"step {r.step + 1}: {want} new copies", "baked")
        r.phase, r.since = "watching", self.now
        return Decision(self.s, "watches", f"all copies are of version {r.to}")

    def _returned(self) -> Decision | None:
        good = self.of(self.s.good) if self.s.good else []
        rest = self.others(self.s.good)
        if rest or any(x.leaving for x in self.s.slots) or len(good) < self.copies_back():
            return None
        if any(x.state != HEALTHY for x in good):
            return None
        self.s.rollout = None
        to = f"version {self.s.good} serves" if self.s.good else "no version serves"
        return Decision(self.s, f"returned: {to}", f"{len(good)} healthy copies")

    # --- holding ----------------------------------------------------------------------------
    def _hold(self) -> Decision | None:
        """Says why it does not go on, when that has changed."""
        r = self.r
        if r is None or r.phase in ("baking", "watching"):
            return None
        version = r.to if r.phase == "advancing" else self.s.good
        not_yet = [x for x in self.of(version) if x.state != HEALTHY]
        why = ""
        if r.paused:
            why = "paused by an operator"
        elif not_yet:
            first = not_yet[0]
            why = f"{len(not_yet)} copies of version {version} are not healthy yet"
            if first.state in (QUEUED, UNHEALTHY):
                why += f", the first is {first.state}: {first.why}"
        elif self.healthy < self.least():
            why = f"{self.healthy} copies are healthy, of a floor of {self.least()}"
        return self._held(why, [])

    def _held(self, why: str, evidence: list[Seen]) -> Decision | None:
        r = self.r
        assert r is not None
        if r.hold == why[: 2 * rc.EVIDENCE_CHARS]:
            return None
        r.hold = why[: 2 * rc.EVIDENCE_CHARS]
        lines = [line_of(x) for x in evidence]
        return Decision(self.s, "holds", why, lines, told=bool(evidence))
