"""Builds the credit requests that leaders of jobs send to owners of machines."""

from pulleydeal.credits.messages import CreditRequest, Resources
from pulleydeal.rules import QueueRank
from pulleydeal.store import records as r


def resources_needed(spec: r.JobSpec) -> Resources:
    return Resources(spec.cpus, spec.gpus, spec.memory)


def make_credit_request(
    spec: r.JobSpec,
    index: int,
    epoch: int,
    guaranteed: bool,
    rank: QueueRank,
    zones: list[str],
    avoid: list[str],
) -> CreditRequest:
    return CreditRequest(
        epoch,
        spec.id,
        index,
        resources_needed(spec),
        spec.priority,
        guaranteed,
        *rank,
        spec.kind == "gang",
        spec.spot,
        spec.team,
        spec.image,
        spec.types or [],
        zones,
        avoid,
    )
