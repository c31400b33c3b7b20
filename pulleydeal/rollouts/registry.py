"""Which copies are known to a service's leader: they register where they listen, by a lease.

In memory only: a new leader hears of every copy within RENEW_S, as copies go where they are sent.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from pulleydeal.rollouts.health import Copy, registered

Count = Annotated[int, Meta(ge=0)]


class Registration(Struct):
    """What a copy says, every RENEW_S."""

    service: Annotated[str, Meta(max_length=40)]
    job: Annotated[str, Meta(max_length=40)]
    attempt: Count
    address: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
    busy: Count | None = None  # requests that it serves now


REGISTRATION = msgspec.json.Decoder(Registration)


class Registry:
    """One service's copies, by job."""

    def __init__(self) -> None:
        self.copies: dict[str, Copy] = {}

    def take(self, said: Registration, zone: str, now: float) -> None:
        """A later attempt, or another address, is another copy: nothing known of the one before
        speaks for or against it."""
        copy = self.copies.get(said.job)
        if copy is None or (copy.attempt, copy.address) != (said.attempt, said.address):
            copy = Copy(said.job, said.attempt, said.address, zone, now, now)
            self.copies[said.job] = copy
        copy.renewed = now
        copy.busy = said.busy

    def drop_old(self, now: float, jobs: set[str]) -> None:
        """Forgets what is no copy any more. A registration that has run out stays while its zone
        is out of sight, as its state is then unknown, not gone."""
        for job in [job for job in self.copies if job not in jobs]:
            del self.copies[job]

    def live(self, now: float) -> list[Copy]:
        return [copy for copy in self.copies.values() if registered(copy, now)]
