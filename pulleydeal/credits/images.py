"""Tracks which images each machine has cached, inferred from bindings.

A node that restarts has seen no earlier bindings, so other members send it what they know.
"""

from collections.abc import Callable

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.credits.messages import CachedImages, pack_cached_images, unpack_cached_images
from pulleydeal.membership.messages import IMAGES
from pulleydeal.membership.service import Membership
from pulleydeal.membership.siblings import Siblings
from pulleydeal.store.replica import Replica


class ImageLocations:
    """Images cached per machine; used only to choose among credits, never for correctness."""

    def __init__(
        self,
        membership: Membership,
        siblings: Siblings,
        replica: Replica,
        clock: Clock,
        on_change: Callable[[str], None],
    ) -> None:
        self._membership = membership
        self._siblings = siblings
        self._replica = replica
        self._clock = clock
        self._on_change = on_change  # called with a machine whose known images changed
        self._images: CachedImages = {}
        self._known_members: dict[str, str] = {}  # incarnations of the last view's members
        self._sync_at: dict[str, float] = {}  # new or restarted member -> when to sync it
        siblings.on(IMAGES, self._on_images)

    def cached_on(self, machine: str) -> frozenset[str]:
        return frozenset(self._images.get(machine, ()))

    def record_bindings(self, machine: str) -> None:
        """Records the images of all tasks that are bound to the machine, most recent last."""
        images = self._images.setdefault(machine, {})
        for job_id, _ in self._replica.tasks_by_machine.get(machine, ()):
            spec = self._replica.jobs[job_id].spec
            if spec is not None:
                images.pop(spec.image, None)
                images[spec.image] = spec.image_gb
        self._evict(machine)

    def forget(self, machine: str) -> None:
        self._images.pop(machine, None)

    def _forget_gone(self) -> None:
        """Forgets machines without a record: a load reports no changes of single machines."""
        known = self._replica.machines
        self._images = {machine: held for machine, held in self._images.items() if machine in known}

    def _evict(self, machine: str) -> None:
        """Drops the least recently bound images beyond the cache size of the machine's type."""
        images = self._images[machine]
        record = self._replica.machines.get(machine)
        type_ = self._replica.types.get(record.record.type) if record else None
        while type_ and len(images) > 1 and sum(images.values()) > type_.cache_gb:
            del images[next(iter(images))]

    def schedule_syncs(self) -> None:
        """Schedules a sync to each member that started or restarted since the last view.

        Such a member knows only the bindings that still exist. A node that is itself new in
        this view sends nothing.
        """
        self._forget_gone()
        members = dict(self._replica.view.members)
        if self._known_members.get(self._membership.me) == members.get(self._membership.me):
            at = self._clock.now() + c.IMAGES_SEND_DELAY_S
            for name, incarnation in members.items():
                if name != self._membership.me and self._known_members.get(name) != incarnation:
                    self._sync_at[name] = at
        self._known_members = members

    def send_due_syncs(self, now: float) -> None:
        for name in [name for name, at in self._sync_at.items() if at <= now]:
            del self._sync_at[name]
            machines = list(self._images)
            for start in range(0, len(machines), c.MACHINES_PER_IMAGES_MESSAGE):
                batch = {
                    m: self._images[m]
                    for m in machines[start : start + c.MACHINES_PER_IMAGES_MESSAGE]
                }
                self._siblings.send(name, IMAGES, pack_cached_images(batch))

    def _on_images(self, _sender: str, payload: bytes) -> None:
        for machine, older in unpack_cached_images(payload).items():
            if machine in self._replica.machines:
                # Bindings seen by this node are more recent than those seen before it started.
                newer = self._images.get(machine, {})
                self._images[machine] = {k: v for k, v in older.items() if k not in newer} | newer
                self._evict(machine)
                self._on_change(machine)
