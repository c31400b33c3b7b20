"""Submissions that must be rejected, each with the reason and the statuses of PROTOCOL."""

from typing import Any

REQUIRED = (
    "rig", "crew", "haul", "urgency", "lifts", "vcpus", "accelerators", "ram_gb", "tackle",
    "pull_gb", "same_place", "spread", "loaners", "haul_s", "belay_s", "stow_s",
)  # fmt: skip
AMOUNTS = ("vcpus", "accelerators", "ram_gb", "pull_gb", "haul_s", "belay_s", "stow_s")
FLAGS = ("same_place", "spread", "loaners")
NAMES = ("rig", "crew", "haul", "urgency", "tackle")
MALFORMED = (400,)
UNPROCESSABLE = (422,)
MALFORMED_OR_UNPROCESSABLE = (400, 422)
InvalidSubmission = tuple[str, dict[str, Any], tuple[int, ...]]


def submissions(valid: dict[str, Any]) -> list[InvalidSubmission]:
    """Variants of a valid submission; most differ from it in one field."""
    variants: list[InvalidSubmission] = []

    def add_variant(why: str, status: tuple[int, ...], **fields: object) -> None:
        variants.append((why, valid | fields, status))

    for name in REQUIRED:
        variants.append((f"no {name}", {k: v for k, v in valid.items() if k != name}, MALFORMED))
        add_variant(f"{name} is null", MALFORMED, **{name: None})
        add_variant(f"{name} is a list", MALFORMED, **{name: []})
    for name in AMOUNTS:
        add_variant(f"{name} is text", MALFORMED, **{name: "4"})
        add_variant(f"{name} is negative", MALFORMED, **{name: -1.0})
        add_variant(f"{name} is NaN in quotes", MALFORMED, **{name: "NaN"})
    for name in ("vcpus", "accelerators", "ram_gb"):
        add_variant(f"{name} fits no machine", UNPROCESSABLE, **{name: 1e6})
        add_variant(f"{name} is enormous", MALFORMED_OR_UNPROCESSABLE, **{name: 1e300})
    for name in FLAGS:
        add_variant(f"{name} is text", MALFORMED, **{name: "true"})
        add_variant(f"{name} is a number", MALFORMED, **{name: 1})
    for name in NAMES:
        add_variant(f"{name} is a number", MALFORMED, **{name: 7})
    add_variant("no such kind", MALFORMED, haul="swarm")
    add_variant("no such priority", MALFORMED, urgency="utmost")
    add_variant("unknown team", UNPROCESSABLE, crew="nobody")
    for count in (0, -1, 100_001, 2.5, "3", 1e30):
        add_variant(f"{count!r} tasks", MALFORMED, lifts=count)
    add_variant("no type of that name", UNPROCESSABLE, rig_models=["t9"])
    add_variant("types are text", MALFORMED, rig_models="t4")
    add_variant("a zone that there is not", UNPROCESSABLE, yard="south")
    add_variant("the zone is a number", MALFORMED, yard=3)
    add_variant("a gang over its team's limit", UNPROCESSABLE, crew="small", haul="gang", lifts=9)
    add_variant("the deadline is text", MALFORMED, due_s="soon")
    add_variant("waits on a job that nobody submitted", UNPROCESSABLE, waits_on=["j-699999"])
    add_variant("waits on text", MALFORMED, waits_on="j-1")
    return variants


def with_id(body: dict[str, Any], job: str) -> dict[str, Any]:
    return body | {"name_id": job}
