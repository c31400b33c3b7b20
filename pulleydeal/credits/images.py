"""Which images the machines hold, as far as bindings tell; nodes that start anew are told."""

from collections.abc import Callable

from pulleydeal import constants as c
from pulleydeal.clock import Clock
from pulleydeal.credits.messages import Cached, pack_cached, unpack_cached
from pulleydeal.membership.messages import IMAGES
from pulleydeal.membership.service import Membership
from pulleydeal.membership.siblings import Siblings
from pulleydeal.store.replica import Replica


class ImagesHeld:
    """Nothing but the choice among credits depends on it."""

    def __init__(
        self,
        membership: Membership,
        siblings: Siblings,
        replica: Replica,
        clock: Clock,
        changed: Callable[[str], None],
    ) -> None:
        self._membership = membership
        self._siblings = siblings
        self._replica = replica
        self._clock = clock
        self._changed = changed  # called with a machine of which more was learned
        self._held: Cached = {}
        self._known: dict[str, str] = {}  # members of the last view, with incarnation
        self._to_tell: dict[str, float] = {}  # members that started anew, and when to tell them
        siblings.on(IMAGES, self._on_images)

    def of(self, machine: str) -> frozenset[str]:
        return frozenset(self._held.get(machine, ()))

    def note(self, machine: str) -> None:
        """Every binding tells every node which image its machine now has."""
        images = self._held.setdefault(machine, {})
        for job_id, _ in self._replica.bound.get(machine, ()):
            spec = self._replica.jobs[job_id].spec
            if spec is not None:
                images.pop(spec.image, None)
                images[spec.image] = spec.image_gb
        self._trim(machine)

    def forget(self, machine: str) -> None:
        self._held.pop(machine, None)

    def _trim(self, machine: str) -> None:
        """A machine keeps the images used last, as many as its cache holds."""
        images = self._held[machine]
        record = self._replica.machines.get(machine)
        type_ = self._replica.types.get(record.record.type) if record else None
        while type_ and len(images) > 1 and sum(images.values()) > type_.cache_gb:
            del images[next(iter(images))]

    def greet(self) -> None:
        """A node that starts anew has seen no bindings but those that stand: it will be told."""
        members = dict(self._replica.view.members)
        if self._known.get(self._membership.me) == members.get(self._membership.me):
            at = self._clock.now() + c.TELL_IMAGES_S
            for name, incarnation in members.items():
                if name != self._membership.me and self._known.get(name) != incarnation:
                    self._to_tell[name] = at
        self._known = members

    def tell(self, now: float) -> None:
        for name in [name for name, at in self._to_tell.items() if at <= now]:
            del self._to_tell[name]
            machines = list(self._held)
            for start in range(0, len(machines), c.TELL_AT_ONCE):
                piece = {m: self._held[m] for m in machines[start : start + c.TELL_AT_ONCE]}
                self._siblings.send(name, IMAGES, pack_cached(piece))

    def _on_images(self, _sender: str, payload: bytes) -> None:
        for machine, older in unpack_cached(payload).items():
            if machine in self._replica.machines:
                # What was seen here is newer than what was seen before this node started.
                newer = self._held.get(machine, {})
                self._held[machine] = {k: v for k, v in older.items() if k not in newer} | newer
                self._trim(machine)
                self._changed(machine)
