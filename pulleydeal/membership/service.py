"""Joins the view, keeps the lease, removes dead members and records cuts."""

import asyncio
import logging
import random
from collections.abc import Callable

from pulleydeal import __version__, rules
from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.membership import view as decide
from pulleydeal.membership import vouching
from pulleydeal.membership.messages import BEAT, Beat, Total, Vouch, pack_beat, unpack_beat
from pulleydeal.membership.siblings import Siblings
from pulleydeal.settings import Settings
from pulleydeal.store import records as r
from pulleydeal.store.client import LeaseLost
from pulleydeal.store.replica import Replica
from pulleydeal.store.service import Store

log = logging.getLogger("pulleydeal.membership")


class Membership:
    def __init__(
        self,
        settings: Settings,
        store: Store,
        siblings: Siblings,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.me = settings.node_name
        self._settings = settings
        self._limited = {name for name, team in settings.teams.items() if rules.limited(team)}
        self._store = store
        self._replica: Replica = store.replica
        self._siblings = siblings
        self._clock = clock
        self.incarnation = f"{rng.getrandbits(48):012x}"
        self._lease: int | None = None
        self._entered = False  # whether what shows this start's name can be its own
        self._rng = rng
        self._renewed_at = -1e9
        self._beats: dict[str, tuple[float, Beat]] = {}
        self._stamps: dict[str, tuple[str, float]] = {}  # sibling -> what is sent back to it
        # Relayed in beats and not yet shown by the replica. A cancellation never turns back, so
        # what an earlier start of a sibling said stays true after that start.
        self._relayed: set[str] = set()
        self._shown_epochs: dict[str, int] = {}  # sibling -> newest view that it has shown
        self._looked: tuple[int, bool] = (0, False)  # the last view looked at, and if a member
        self._member_from = 0  # epoch from which on this start was a member without a break
        self._written = 0  # changes sent by the last heartbeat
        self._writes = 0.0  # and lately, a second
        self.serves: dict[str, int] = {}  # feature that is on here -> the format of its records
        self.totals: Callable[[], list[Total]] = list
        siblings.on(BEAT, self._on_beat)
        self._replica.listen(self._on_change)

    # --- what the others ask --------------------------------------------------------------
    @property
    def view(self) -> r.View:
        return self._replica.view

    @property
    def epoch(self) -> int:
        return self._replica.view.epoch

    @property
    def is_member(self) -> bool:
        return self._entered and self.view.members.get(self.me) == self.incarnation

    def owner(self, machine: str, zone: str) -> str:
        return decide.owner(self.view, machine, zone)

    def owns(self, machine: str, zone: str) -> bool:
        return self.is_member and self.owner(machine, zone) == self.me

    def all_keep(self, format_: int) -> bool:
        """Every node of the settings has durably shown that it keeps such records.

        One that is merely away may come back with an older version, and one that serves may have
        been put back to it: neither counts as having shown it.
        """
        return all(self._replica.software.get(node, 0) >= format_ for node in self.nodes()) and all(
            self._replica.formats.get(member, 0) >= format_ for member in self._replica.members
        )

    def all_serve(self, feature: str, format_: int) -> bool:
        """Every node of the settings has durably shown that it has the feature on, so that its
        records may be relied on, whichever node comes to lead."""
        return self.all_keep(c.FORMAT_FEATURES) and all(
            self._replica.shown.get(node, {}).get(feature, 0) >= format_ for node in self.nodes()
        )

    def leads_job(self, spec: r.JobSpec) -> bool:
        """A limited team's jobs have one leader, which so holds the team's whole allowance."""
        limited = spec.team in self._limited
        return self.leads(f"team {spec.team}" if limited else f"job {spec.id}")

    def leads_fleet(self) -> bool:
        return self.leads("fleet")

    def leads(self, thing: str) -> bool:
        """Whether this node decides about the named thing, in the present view."""
        return self.is_member and self.leader(thing) == self.me

    def leader(self, thing: str) -> str:
        """The member that decides about the named thing; empty: there is none."""
        return decide.pick(list(self.view.members), thing)

    def nodes(self) -> list[str]:
        """All nodes of the settings, whether they are members or not."""
        return [self.me, *(s.node_name for s in self._settings.siblings)]

    def zone_of(self, node: str) -> str:
        return self._settings.zone_of(node)

    def parts(self) -> dict[str, list[Total]]:
        """The parts that can be asked now, with the credit each one published."""
        now = self._clock.now()
        known = {
            name: beat.totals
            for name, (at, beat) in self._beats.items()
            if name in self.view.members and now - at < c.CUT_AFTER_S
        }
        if self.is_member:
            known[self.me] = self.totals()
        return known

    def relayed_cancels(self) -> set[str]:
        return self._relayed

    def vouched_at(self) -> float:
        """The moment up to which the other members' word covers what this node's copy lacks."""
        if not self.all_keep(c.FORMAT_VOUCHES):
            return vouching.NEVER  # one of an older version might tell what nobody here hears of
        beats = {name: beat for name, (_, beat) in self._beats.items()}
        view, revision = self.view, self._replica.revision
        now = self._clock.now()
        return vouching.vouched_at(view, self.me, self.incarnation, revision, beats, now)

    def known_as_member(self) -> bool:
        """Whether it may tell cancellations whose tasks are not proved gone."""
        others = [node for node in self.nodes() if node != self.me]
        return self.is_member and vouching.known_as_member(
            self._member_from, self._shown_epochs, others
        )

    def _on_change(self, kind: str, _name: str) -> None:
        if kind != "view":
            return
        epoch, was = self._looked
        self._looked = (self.epoch, self.is_member)
        # In a view that was never looked at here it may not have been a member.
        if self.is_member and (not was or self.epoch > epoch + 1):
            self._member_from = self.epoch

    def shut_out(self) -> bool:
        """The state service answers a sibling, but not this node: users are better off there.

        In an outage for all it is False: no node would be left for users to hear "later" from.
        """
        now = self._clock.now()
        return self._store.client.failing_s() >= c.SHUT_OUT_S and any(
            beat.served and now - at < c.HEARD_NOW_S for at, beat in self._beats.values()
        )

    # --- loops ----------------------------------------------------------------------------
    async def keep(self) -> None:
        """One round of keeping the membership; run for ever."""
        if not self._replica.loaded:
            await asyncio.sleep(0.02)
            return
        if not self._entered:
            self.enter()
        alive = self._replica.members.get(self.me) == self.incarnation
        if not self.is_member or not alive or self._lease is None:
            await self._join()
        elif self._clock.now() - self._renewed_at >= c.MEMBER_RENEW_S:
            await self._renew()
        else:
            await asyncio.sleep(0.1)

    def enter(self) -> None:
        """Before this start's first try to join, what shows its name is an earlier start's.

        Taken for a member, it would act on that start's epoch, with its tokens.
        """
        shown = {self._replica.members.get(self.me), self.view.members.get(self.me)}
        while self.incarnation in shown:
            self.incarnation = f"{self._rng.getrandbits(48):012x}"
        self._entered = True

    async def _join(self) -> None:
        if self._lease is None:
            self._lease = await self._store.client.grant(c.MEMBER_TTL_MS)
        view = self.view
        if view.members.get(self.me) not in (None, self.incarnation):
            log.info("replaces an earlier start of this node")
        member = r.member_key(self.me)
        puts: dict[str, object] = {member: r.Member(self.incarnation, c.FORMAT)}
        shown = (self._replica.software.get(self.me), self._replica.shown.get(self.me))
        if shown != (c.FORMAT, self.serves):
            software = r.Software(c.FORMAT, __version__, self.serves)
            puts[r.software_key(self.me)] = software
        if not self.is_member:
            puts[r.VIEW] = decide.joined(view, self.me, self.incarnation)
        try:
            ok = await self._store.commit(
                {r.VIEW: self._replica.view_version}, puts, lease={member: self._lease}
            )
        except LeaseLost:
            self._lease = None
            return
        if ok:
            self._renewed_at = self._clock.now()
            log.info(
                "member in epoch %d: %s",
                self.epoch,
                sorted(self.view.members),
                extra={"epoch": self.epoch},
            )

    async def _renew(self) -> None:
        assert self._lease is not None
        sent_at = self._clock.now()
        try:
            await self._store.client.renew(self._lease)
            self._renewed_at = sent_at
        except LeaseLost:
            log.info("member lease lost")
            self._lease = None

    async def tend(self) -> None:
        """One round of removing dead members and recording cuts; run for ever."""
        await asyncio.sleep(0.1)
        if not self.is_member:
            return
        gone = [m for m in decide.dead(self.view, self._replica.members) if m != self.me]
        conditions = {r.VIEW: self._replica.view_version}
        if gone:
            # Conditional on the lease key's absence too: a member that came back stays.
            vanished = [m for m in gone if m not in self._replica.members]
            conditions |= {r.member_key(m): 0 for m in vanished}
            if vanished and await self._store.commit(
                conditions, {r.VIEW: decide.without(self.view, vanished)}
            ):
                log.info(
                    "epoch %d: without %s, whose lease ended",
                    self.epoch,
                    vanished,
                    extra={"epoch": self.epoch},
                )
            return
        zones = {m: self._settings.zone_of(m) for m in self.view.members}
        changed = decide.with_cuts(
            self.view,
            self.me,
            zones,
            self._siblings.heard_s(),
            self._siblings.steady_s(),
            {name for name, (_, beat) in self._beats.items() if self.me in beat.hears},
        )
        if changed is not None and await self._store.commit(conditions, {r.VIEW: changed}):
            log.info(
                "epoch %d: cut pairs now %s", self.epoch, self.view.cut, extra={"epoch": self.epoch}
            )

    async def say_deaf(self, zones: set[str]) -> bool:
        """Makes durable to which zones this node is deaf; true: the view says so."""
        changed = decide.with_deaf(self.view, self.me, zones)
        if changed is None or not self.is_member:
            return changed is None
        ok = await self._store.commit({r.VIEW: self._replica.view_version}, {r.VIEW: changed})
        if ok:
            log.info(
                "epoch %d: %s is deaf to %s",
                self.epoch,
                self.me,
                sorted(zones) or "no zone any more",
                extra={"epoch": self.epoch},
            )
        return ok

    async def beat(self) -> None:
        written = self._store.client.written
        self._writes = 0.5 * self._writes + 0.5 * (written - self._written) / c.BEAT_S
        self._written = written
        self.send_beat()
        now = self._clock.now()
        others: list[float | None] = []
        for sibling in self._settings.siblings:
            at, beat = self._beats.get(sibling.node_name, (-1e9, None))
            heard = beat is not None and now - at < c.HEARD_NOW_S
            others.append(beat.writes if beat is not None and heard else None)
        self._store.client.share_writes(others)
        await asyncio.sleep(c.BEAT_S)

    def send_beat(self) -> None:
        cancelled, complete_from = vouching.named(
            map(self._replica.jobs.__getitem__, self._replica.cancelled_jobs),
            self._replica.loaded,
        )
        totals = self.totals() if self.is_member else []
        hears = [name for name, s in self._siblings.heard_s().items() if s < c.HEARD_NOW_S]
        served = self._store.client.failing_s() < c.SHUT_OUT_S
        vouch = Vouch(self.incarnation, self._clock.now(), complete_from, self._stamps)
        beat = Beat(self.epoch, totals, cancelled, hears, self._writes, served, vouch)
        self._siblings.broadcast(BEAT, pack_beat(beat))

    def _on_beat(self, sender: str, payload: bytes) -> None:
        beat = unpack_beat(payload)
        self._beats[sender] = (self._clock.now(), beat)
        vouching.heard_from(sender, beat.vouch, self._stamps)
        self._shown_epochs[sender] = max(beat.epoch, self._shown_epochs.get(sender, 0))
        if beat.cancelled or self._relayed:
            jobs = self._replica.jobs
            self._relayed = {
                name
                for name in self._relayed.union(beat.cancelled)
                if (job := jobs.get(name)) is None or not job.is_over
            }
