"""Decides from the task failures on a machine whether the machine itself causes them."""

from collections import Counter
from collections.abc import Callable
from typing import Literal

from pulleydeal import constants as c
from pulleydeal.workers.tracked_machine import TrackedMachine

FailureCause = Literal["job", "machine", "open"]  # of task failures; "open": not known


def is_sick(s: TrackedMachine, now: float, cause_of: Callable[[str, int], FailureCause]) -> bool:
    """Whether the machine caused the task failures seen on it lately.

    `cause_of`: called with a job and how often it failed here. Jobs whose cause is open count too,
    but unless the failures of some job are known to be the machine's fault, one more job must have
    failed. Otherwise two faulty jobs, which fail on every machine, would get healthy machines
    drained one after the other. Drops failures older than `SICK_WINDOW_S` from the state.
    """
    if not s.errors:
        return False
    s.errors = [(at, attempt_id) for at, attempt_id in s.errors if now - at < c.SICK_WINDOW_S]
    failed = Counter(attempt_id[0] for _, attempt_id in s.errors)
    if failed.total() < c.SICK_ERRORS or len(failed) < c.SICK_JOBS:
        return False
    causes = {job: cause_of(job, n) for job, n in failed.items()}
    jobs_by_cause = Counter(causes.values())
    suspect_jobs = jobs_by_cause["machine"] + jobs_by_cause["open"]
    enough_jobs = suspect_jobs >= (c.SICK_JOBS if jobs_by_cause["machine"] else c.SICK_JOBS + 1)
    return (
        enough_jobs and sum(n for job, n in failed.items() if causes[job] != "job") >= c.SICK_ERRORS
    )
