"""Registrations of a service's copies with its leader: each copy renews its address by a lease.

Kept in memory only: a new leader learns of every copy within REGISTRATION_RENEW_S, as a copy that
registers with another node is redirected to the leader.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from pulleydeal.rollouts.health import RegisteredCopy, is_registered

Count = Annotated[int, Meta(ge=0)]


class Registration(Struct):
    """The request body that a copy sends every REGISTRATION_RENEW_S."""

    service: Annotated[str, Meta(max_length=40)]
    job: Annotated[str, Meta(max_length=40)]
    attempt: Count
    address: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
    busy: Count | None = None  # number of requests being served


REGISTRATION = msgspec.json.Decoder(Registration)


class Registry:
    """One service's registered copies, by job id."""

    def __init__(self) -> None:
        self.copies: dict[str, RegisteredCopy] = {}

    def register(self, registration: Registration, zone: str, now: float) -> None:
        """Adds or renews a copy. Another attempt or address is a different copy, which starts
        without the evidence collected about the previous one."""
        copy = self.copies.get(registration.job)
        if copy is None or (copy.attempt, copy.address) != (
            registration.attempt,
            registration.address,
        ):
            copy = RegisteredCopy(
                registration.job, registration.attempt, registration.address, zone, now, now
            )
            self.copies[registration.job] = copy
        copy.renewed_at = now
        copy.active_requests = registration.busy

    def remove_unlisted(self, now: float, jobs: set[str]) -> None:
        """Removes copies whose jobs are not in `jobs`. Expired registrations are kept, because the
        state of a copy in an unreachable zone is unknown; the copy has not necessarily ended."""
        for job in [job for job in self.copies if job not in jobs]:
            del self.copies[job]

    def live(self, now: float) -> list[RegisteredCopy]:
        """Copies whose registration has not expired."""
        return [copy for copy in self.copies.values() if is_registered(copy, now)]
