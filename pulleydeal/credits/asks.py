"""What a leader asks an owner for: a task's need, its turn, and where it may run."""

from pulleydeal.credits.messages import Ask, Need
from pulleydeal.rules import Turn
from pulleydeal.store import records as r


def need_of(spec: r.JobSpec) -> Need:
    return Need(spec.cpus, spec.gpus, spec.memory)


def ask_for(
    spec: r.JobSpec,
    index: int,
    epoch: int,
    guaranteed: bool,
    turn: Turn,
    zones: list[str],
    avoid: list[str],
) -> Ask:
    return Ask(
        epoch,
        spec.id,
        index,
        need_of(spec),
        spec.priority,
        guaranteed,
        *turn,
        spec.kind == "gang",
        spec.spot,
        spec.team,
        spec.image,
        spec.types or [],
        zones,
        avoid,
    )
