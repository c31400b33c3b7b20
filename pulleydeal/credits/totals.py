"""What an owner publishes of its credit: sums by kind, and where images have most room."""

from collections.abc import Iterable, Mapping

from pulleydeal import constants as c
from pulleydeal.credits.messages import Need
from pulleydeal.credits.queue import Credit, TaskId
from pulleydeal.membership.messages import Images, Total


def totals(credits: Iterable[Credit], needs: Mapping[TaskId, Need]) -> list[Total]:
    """`needs`: of the tasks that wait here."""
    found: dict[tuple[str, str, bool], Total] = {}
    for credit in credits:
        kind = (credit.type, credit.zone, credit.spot)
        total = found.setdefault(kind, Total(*kind))
        if credit.reserved is not None:
            # Room that is being made goes on being shown as such to whom it is made for: who saw it
            # go left for a part that had not begun, and what was emptied filled again.
            need = needs.get(credit.reserved)
            if need is not None:
                _note_most(total.stoppable, credit.images, need.cpus, need.gpus)
            continue
        cpus, gpus = max(0.0, credit.room.cpus), max(0.0, credit.room.gpus)
        total.cpus += cpus
        total.gpus += gpus
        total.memory += max(0.0, credit.room.memory)
        total.largest_cpus = max(total.largest_cpus, cpus)
        total.largest_gpus = max(total.largest_gpus, gpus)
        _note_most(total.images, credit.images, cpus, gpus)
        more_cpus, more_gpus = credit.stoppable
        _note_most(total.stoppable, credit.images, cpus + more_cpus, gpus + more_gpus)
    return list(found.values())


def _note_most(most: Images, images: frozenset[str], cpus: float, gpus: float) -> None:
    """Raises the most room known for each image; a full machine raises nothing."""
    if cpus <= 0 and gpus <= 0:
        return
    for image in images:
        old = most.get(image)
        if old is None:
            if len(most) < c.PUBLISHED_IMAGES:
                most[image] = (cpus, gpus)
        elif old[0] < cpus or old[1] < gpus:
            most[image] = (max(old[0], cpus), max(old[1], gpus))
