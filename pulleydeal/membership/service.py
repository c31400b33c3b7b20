"""Cluster membership: joins the view, renews the member lease, removes dead members, records cuts.

A cut is a (member, zone) pair in the view: that member and that zone can't reach each other.
"""

import asyncio
import logging
import random
from collections.abc import Callable

from pulleydeal import __version__, rules
from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.membership import freshness
from pulleydeal.membership import view as views
from pulleydeal.membership.messages import (
    HEARTBEAT,
    CreditTotal,
    FreshnessProof,
    Heartbeat,
    pack_heartbeat,
    unpack_heartbeat,
)
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
        self._limited_teams = {
            name for name, team in settings.teams.items() if rules.has_limit(team)
        }
        self._store = store
        self._replica: Replica = store.replica
        self._siblings = siblings
        self._clock = clock
        self.incarnation = f"{rng.getrandbits(48):012x}"
        self._lease: int | None = None
        self._incarnation_checked = False  # whether it differs from those stored for this node
        self._rng = rng
        self._renewed_at = -1e9
        self._heartbeats: dict[str, tuple[float, Heartbeat]] = {}
        # Sibling -> incarnation and timestamp of its last heartbeat, sent back to it with the next.
        self._echoes: dict[str, tuple[str, float]] = {}
        # Jobs that heartbeats named as cancelled and that the replica does not show as over yet.
        # A cancellation is final, so what a sibling said stays true after that sibling restarts.
        self._relayed_cancellations: set[str] = set()
        # Machine -> its zone, and its owner in the view, which is replaced and never changed.
        self._owners: dict[str, tuple[str, str]] = {}
        self._owners_view: r.View | None = None
        self._reported_epochs: dict[str, int] = {}  # sibling -> newest epoch in its heartbeats
        # Epoch of the last view that was examined, and whether this node was a member in it.
        self._examined_view: tuple[int, bool] = (0, False)
        self._member_since_epoch = 0  # first epoch of this process's unbroken membership
        self._written_at_last_beat = 0  # the client's count of changes at the last heartbeat
        self._write_rate = 0.0  # changes per second to the state service, smoothed
        self.serves: dict[str, int] = {}  # feature enabled on this node -> its record format
        self.totals: Callable[[], list[CreditTotal]] = list
        siblings.on(HEARTBEAT, self._on_heartbeat)
        self._replica.add_listener(self._on_change)

    # --- queries --------------------------------------------------------------------------
    @property
    def view(self) -> r.View:
        return self._replica.view

    @property
    def epoch(self) -> int:
        return self._replica.view.epoch

    @property
    def is_member(self) -> bool:
        return self._incarnation_checked and self.view.members.get(self.me) == self.incarnation

    def owner(self, machine: str, zone: str) -> str:
        """The member that owns a machine. Cached for the machines that have a record."""
        if self._owners_view is not self.view:
            self._owners, self._owners_view = {}, self.view
        known_zone, known_owner = self._owners.get(machine, ("", ""))
        if known_owner and known_zone == zone:
            return known_owner
        owner = views.owner(self.view, machine, zone)
        if machine in self._replica.machines:
            self._owners[machine] = (zone, owner)
        return owner

    def owns(self, machine: str, zone: str) -> bool:
        return self.is_member and self.owner(machine, zone) == self.me

    def all_support(self, format_: int) -> bool:
        """Whether every configured node has durably announced that it supports this format.

        The software records cover nodes that are down, as they may come back with an older version.
        The member records cover running nodes, as they may have been rolled back to one.
        """
        return all(
            self._replica.node_formats.get(node, 0) >= format_ for node in self.nodes()
        ) and all(
            self._replica.member_formats.get(member, 0) >= format_
            for member in self._replica.members
        )

    def all_enable(self, feature: str, format_: int) -> bool:
        """Whether every configured node has durably announced that the feature is enabled on it.

        Only then can the feature's records be relied on, whichever node becomes the leader.
        """
        return self.all_support(c.FORMAT_FEATURES) and all(
            self._replica.node_features.get(node, {}).get(feature, 0) >= format_
            for node in self.nodes()
        )

    def leads_job(self, spec: r.JobSpec) -> bool:
        """Whether this node leads the job.

        All jobs of a team with a limit have the same leader, which accounts for the whole limit.
        """
        limited = spec.team in self._limited_teams
        return self.leads(f"team {spec.team}" if limited else f"job {spec.id}")

    def leads_fleet(self) -> bool:
        return self.leads("fleet")

    def leads(self, subject: str) -> bool:
        """Whether this node decides about `subject` in the current view."""
        return self.is_member and self.leader(subject) == self.me

    def leader(self, subject: str) -> str:
        """The member that decides about `subject`; empty if the view has no members."""
        return views.pick(list(self.view.members), subject)

    def nodes(self) -> list[str]:
        """All configured nodes, whether they are members or not."""
        return [self.me, *(s.node_name for s in self._settings.siblings)]

    def zone_of(self, node: str) -> str:
        return self._settings.zone_of(node)

    def parts(self) -> dict[str, list[CreditTotal]]:
        """Published credit totals by owner: members heard within CUT_AFTER_S, and this one."""
        now = self._clock.now()
        known = {
            name: heartbeat.totals
            for name, (at, heartbeat) in self._heartbeats.items()
            if name in self.view.members and now - at < c.CUT_AFTER_S
        }
        if self.is_member:
            known[self.me] = self.totals()
        return known

    def relayed_cancellations(self) -> set[str]:
        """Jobs that siblings named as cancelled and that the replica does not show as over yet."""
        return self._relayed_cancellations

    def cancellations_known_at(self) -> float:
        """Time up to which the members' heartbeats cover cancellations missing from the replica."""
        if not self.all_support(c.FORMAT_FRESHNESS):
            return freshness.NEVER  # an older version may confirm what no heartbeat announces
        heartbeats = {name: heartbeat for name, (_, heartbeat) in self._heartbeats.items()}
        view, revision = self.view, self._replica.revision
        now = self._clock.now()
        return freshness.cancellations_known_at(
            view, self.me, self.incarnation, revision, heartbeats, now
        )

    def known_as_member(self) -> bool:
        """Whether this node may confirm cancellations whose tasks are not proved gone."""
        others = [node for node in self.nodes() if node != self.me]
        return self.is_member and freshness.known_as_member(
            self._member_since_epoch, self._reported_epochs, others
        )

    def _on_change(self, kind: str, name: str) -> None:
        if kind == "machine" and name not in self._replica.machines:
            self._owners.pop(name, None)
        if kind != "view":
            return
        epoch, was_member = self._examined_view
        self._examined_view = (self.epoch, self.is_member)
        # This node may not have been a member in a view that it never saw.
        if self.is_member and (not was_member or self.epoch > epoch + 1):
            self._member_since_epoch = self.epoch

    def shut_out(self) -> bool:
        """Whether the state service answers a sibling but not this node, so users should go there.

        False in an outage that affects all nodes: some must stay to tell users when to retry.
        """
        now = self._clock.now()
        return self._store.client.failing_s() >= c.SHUT_OUT_S and any(
            heartbeat.served and now - at < c.HEARD_NOW_S
            for at, heartbeat in self._heartbeats.values()
        )

    # --- loops ----------------------------------------------------------------------------
    async def maintain_membership(self) -> None:
        """One round of joining the view or renewing the member lease; run in a loop."""
        if not self._replica.loaded:
            await asyncio.sleep(0.02)
            return
        if not self._incarnation_checked:
            self.ensure_new_incarnation()
        alive = self._replica.members.get(self.me) == self.incarnation
        if not self.is_member or not alive or self._lease is None:
            await self._join()
        elif self._clock.now() - self._renewed_at >= c.MEMBER_RENEW_S:
            await self._renew()
        else:
            await asyncio.sleep(0.1)

    def ensure_new_incarnation(self) -> None:
        """Draws a new incarnation if this process's is stored for the node; run before joining.

        Incarnations are random, so one stored by an earlier process may be the same. Taken for its
        own, this process would act as a member in that process's epoch, with its fencing tokens.
        """
        stored = {self._replica.members.get(self.me), self.view.members.get(self.me)}
        while self.incarnation in stored:
            self.incarnation = f"{self._rng.getrandbits(48):012x}"
        self._incarnation_checked = True

    async def _join(self) -> None:
        if self._lease is None:
            self._lease = await self._store.client.grant(c.MEMBER_TTL_MS)
        view = self.view
        if view.members.get(self.me) not in (None, self.incarnation):
            log.info("replacing the membership of an earlier process of this node")
        member = r.member_key(self.me)
        puts: dict[str, object] = {member: r.Member(self.incarnation, c.FORMAT)}
        announced = (
            self._replica.node_formats.get(self.me),
            self._replica.node_features.get(self.me),
        )
        if announced != (c.FORMAT, self.serves):
            software = r.Software(c.FORMAT, __version__, self.serves)
            puts[r.software_key(self.me)] = software
        if not self.is_member:
            puts[r.VIEW_KEY] = views.joined(view, self.me, self.incarnation)
        try:
            ok = await self._store.commit(
                {r.VIEW_KEY: self._replica.view_version}, puts, lease={member: self._lease}
            )
        except LeaseLost:
            self._lease = None
            return
        if ok:
            self._renewed_at = self._clock.now()
            log.info(
                "joined the view in epoch %d, members: %s",
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
            log.info("member lease expired; joining again")
            self._lease = None

    async def maintain_view(self) -> None:
        """One round of removing dead members and recording cuts; run in a loop."""
        await asyncio.sleep(0.1)
        if not self.is_member:
            return
        gone = [m for m in views.dead(self.view, self._replica.members) if m != self.me]
        conditions = {r.VIEW_KEY: self._replica.view_version}
        if gone:
            # Also conditional on the lease keys' absence, so that a member that came back stays.
            vanished = [m for m in gone if m not in self._replica.members]
            conditions |= {r.member_key(m): 0 for m in vanished}
            if vanished and await self._store.commit(
                conditions, {r.VIEW_KEY: views.without(self.view, vanished)}
            ):
                log.info(
                    "epoch %d: removed %s, whose member lease expired",
                    self.epoch,
                    vanished,
                    extra={"epoch": self.epoch},
                )
            return
        zones = {m: self._settings.zone_of(m) for m in self.view.members}
        changed = views.with_cuts(
            self.view,
            self.me,
            zones,
            self._siblings.silence_s(),
            self._siblings.steady_s(),
            {
                name
                for name, (_, heartbeat) in self._heartbeats.items()
                if self.me in heartbeat.hears
            },
        )
        if changed is not None and await self._store.commit(conditions, {r.VIEW_KEY: changed}):
            log.info(
                "epoch %d: cut pairs: %s", self.epoch, self.view.cut, extra={"epoch": self.epoch}
            )

    async def record_deaf_zones(self, zones: set[str]) -> bool:
        """Records in the view the zones whose machines this node does not hear.

        Returns whether the view states exactly these zones.
        """
        changed = views.with_deaf(self.view, self.me, zones)
        if changed is None or not self.is_member:
            return changed is None
        ok = await self._store.commit(
            {r.VIEW_KEY: self._replica.view_version}, {r.VIEW_KEY: changed}
        )
        if ok:
            log.info(
                "epoch %d: zones whose machines %s does not hear: %s",
                self.epoch,
                self.me,
                sorted(zones) or "none",
                extra={"epoch": self.epoch},
            )
        return ok

    async def heartbeat(self) -> None:
        """One round: sends a heartbeat and takes up the write rate that siblings don't use."""
        written = self._store.client.written
        self._write_rate = (
            0.5 * self._write_rate + 0.5 * (written - self._written_at_last_beat) / c.HEARTBEAT_S
        )
        self._written_at_last_beat = written
        self.send_heartbeat()
        now = self._clock.now()
        others: list[float | None] = []
        for sibling in self._settings.siblings:
            at, heartbeat = self._heartbeats.get(sibling.node_name, (-1e9, None))
            heard = heartbeat is not None and now - at < c.HEARD_NOW_S
            others.append(heartbeat.writes if heartbeat is not None and heard else None)
        self._store.client.adjust_write_rate(others)
        await asyncio.sleep(c.HEARTBEAT_S)

    def send_heartbeat(self) -> None:
        cancelled, complete_from = freshness.announced_cancellations(
            map(self._replica.jobs.__getitem__, self._replica.cancelled_jobs),
            self._replica.loaded,
        )
        totals = self.totals() if self.is_member else []
        hears = [
            name for name, age_s in self._siblings.silence_s().items() if age_s < c.HEARD_NOW_S
        ]
        served = self._store.client.failing_s() < c.SHUT_OUT_S
        proof = FreshnessProof(self.incarnation, self._clock.now(), complete_from, self._echoes)
        heartbeat = Heartbeat(self.epoch, totals, cancelled, hears, self._write_rate, served, proof)
        self._siblings.broadcast(HEARTBEAT, pack_heartbeat(heartbeat))

    def _on_heartbeat(self, sender: str, payload: bytes) -> None:
        heartbeat = unpack_heartbeat(payload)
        self._heartbeats[sender] = (self._clock.now(), heartbeat)
        freshness.update_echo(sender, heartbeat.proof, self._echoes)
        self._reported_epochs[sender] = max(heartbeat.epoch, self._reported_epochs.get(sender, 0))
        if heartbeat.cancelled or self._relayed_cancellations:
            jobs = self._replica.jobs
            self._relayed_cancellations = {
                name
                for name in self._relayed_cancellations.union(heartbeat.cancelled)
                if (job := jobs.get(name)) is None or not job.is_over
            }
