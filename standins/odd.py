"""Submissions that can't be taken, each with why and the status that PROTOCOL gives it."""

from typing import Any

REQUIRED = (
    "rig", "crew", "haul", "urgency", "lifts", "vcpus", "accelerators", "ram_gb", "tackle",
    "pull_gb", "same_place", "spread", "loaners", "haul_s", "belay_s", "stow_s",
)  # fmt: skip
AMOUNTS = ("vcpus", "accelerators", "ram_gb", "pull_gb", "haul_s", "belay_s", "stow_s")
FLAGS = ("same_place", "spread", "loaners")
NAMES = ("rig", "crew", "haul", "urgency", "tackle")
MALFORMED = (400,)
NEVER = (422,)
EITHER = (400, 422)
Odd = tuple[str, dict[str, Any], tuple[int, ...]]


def submissions(whole: dict[str, Any]) -> list[Odd]:
    """`whole`: one that would be taken; each of these differs from it in one field."""
    found: list[Odd] = []

    def with_(why: str, status: tuple[int, ...], **fields: object) -> None:
        found.append((why, whole | fields, status))

    for name in REQUIRED:
        found.append((f"no {name}", {k: v for k, v in whole.items() if k != name}, MALFORMED))
        with_(f"{name} is null", MALFORMED, **{name: None})
        with_(f"{name} is a list", MALFORMED, **{name: []})
    for name in AMOUNTS:
        with_(f"{name} is text", MALFORMED, **{name: "4"})
        with_(f"{name} is negative", MALFORMED, **{name: -1.0})
        with_(f"{name} is NaN in quotes", MALFORMED, **{name: "NaN"})
    for name in ("vcpus", "accelerators", "ram_gb"):
        with_(f"{name} fits no machine", NEVER, **{name: 1e6})
        with_(f"{name} is enormous", EITHER, **{name: 1e300})
    for name in FLAGS:
        with_(f"{name} is text", MALFORMED, **{name: "true"})
        with_(f"{name} is a number", MALFORMED, **{name: 1})
    for name in NAMES:
        with_(f"{name} is a number", MALFORMED, **{name: 7})
    with_("no such kind", MALFORMED, haul="swarm")
    with_("no such priority", MALFORMED, urgency="utmost")
    with_("unknown team", NEVER, crew="nobody")
    for count in (0, -1, 100_001, 2.5, "3", 1e30):
        with_(f"{count!r} tasks", MALFORMED, lifts=count)
    with_("no type of that name", NEVER, rig_models=["t9"])
    with_("types are text", MALFORMED, rig_models="t4")
    with_("a zone that there is not", NEVER, yard="south")
    with_("the zone is a number", MALFORMED, yard=3)
    with_("a gang over its team's limit", NEVER, crew="small", haul="gang", lifts=9)
    with_("the deadline is text", MALFORMED, due_s="soon")
    with_("waits on a job that nobody submitted", NEVER, waits_on=["j-699999"])
    with_("waits on text", MALFORMED, waits_on="j-1")
    return found


def named(body: dict[str, Any], job: str) -> dict[str, Any]:
    return body | {"name_id": job}
