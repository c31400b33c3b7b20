"""Credit totals that an owner publishes: sums per machine kind, and maximum capacity per image."""

from collections.abc import Iterable, Mapping

from pulleydeal import constants as c
from pulleydeal.credits.messages import Resources
from pulleydeal.credits.queue import Credit, TaskId
from pulleydeal.membership.messages import CreditTotal, Images


def totals(
    credits: Iterable[Credit], reserved_needs: Mapping[TaskId, Resources]
) -> list[CreditTotal]:
    """Sums credits by machine type, zone and spot.

    `reserved_needs`: resources of the tasks that wait here and for which machines are being
    emptied.
    """
    by_kind: dict[tuple[str, str, bool], CreditTotal] = {}
    for credit in credits:
        kind = (credit.type, credit.zone, credit.spot)
        total = by_kind.setdefault(kind, CreditTotal(*kind))
        if credit.reserved is not None:
            # While a machine is emptied for a waiting task, what that task needs stays published as
            # stoppable. Otherwise the task's leader moved its request to another owner, and the
            # emptied machine was filled again.
            need = reserved_needs.get(credit.reserved)
            if need is not None:
                _raise_maximum(total.stoppable, credit.images, need.cpus, need.gpus)
            continue
        cpus, gpus = max(0.0, credit.room.cpus), max(0.0, credit.room.gpus)
        total.cpus += cpus
        total.gpus += gpus
        total.memory += max(0.0, credit.room.memory)
        total.largest_cpus = max(total.largest_cpus, cpus)
        total.largest_gpus = max(total.largest_gpus, gpus)
        _raise_maximum(total.images, credit.images, cpus, gpus)
        more_cpus, more_gpus = credit.stoppable
        _raise_maximum(total.stoppable, credit.images, cpus + more_cpus, gpus + more_gpus)
    return list(by_kind.values())


def _raise_maximum(maximum: Images, images: frozenset[str], cpus: float, gpus: float) -> None:
    """Updates the maximum capacity known per image; machines without free capacity are skipped."""
    if cpus <= 0 and gpus <= 0:
        return
    for image in images:
        known = maximum.get(image)
        if known is None:
            if len(maximum) < c.PUBLISHED_IMAGES:
                maximum[image] = (cpus, gpus)
        elif known[0] < cpus or known[1] < gpus:
            maximum[image] = (max(known[0], cpus), max(known[1], gpus))
