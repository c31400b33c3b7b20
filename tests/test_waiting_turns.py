"""Back-off after failures, and the queue order of waiting jobs and tasks."""

import msgspec

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.credits.queue import WaitingRequest, request_order
from pulleydeal.credits.requests import make_credit_request
from pulleydeal.placement.failures import FailureBackoff
from pulleydeal.placement.pending import PendingRequest, PendingRequests
from pulleydeal.settings import Objective
from pulleydeal.store import records as r
from pulleydeal.store.job import Job


def test_a_failed_task_backs_off_and_its_job_avoids_the_machine_for_a_while() -> None:
    """Avoiding the only machine with capacity for good would keep a job waiting for ever."""
    backoff = FailureBackoff()
    key = ("j-1", 0)
    backoff.record_machine(key, "vm-1")
    assert backoff.may_retry(key, 0, 10.0) and backoff.avoided_machines("j-1", 10.0) == []
    assert not backoff.may_retry(key, 1, 10.0)
    assert backoff.may_retry(key, 1, 10.0 + c.ERROR_BACKOFF_S)
    assert (
        backoff.avoided_machines("j-1", 54.0) == ["vm-1"]
        and backoff.avoided_machines("j-2", 54.0) == []
    )
    assert backoff.avoided_machines("j-1", 56.0) == []
    backoff.retain_jobs({"j-2"}, 20.0)
    assert backoff.avoided_machines("j-1", 20.0) == []


def test_a_request_names_the_machines_with_the_latest_failures() -> None:
    backoff = FailureBackoff()
    for i in range(c.AVOID_MOST + 5):
        backoff.record_machine(("j-1", i), f"vm-{i:03d}")
        backoff.may_retry(("j-1", i), 1, float(i) / 10)
    assert backoff.avoided_machines("j-1", 6.0) == [
        f"vm-{i:03d}" for i in range(5, c.AVOID_MOST + 5)
    ]


def test_an_array_without_any_start_goes_first_after_a_while() -> None:
    """Ordering by the shortest job alone could leave the longest without a single start."""
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 40, 1.0, 1.0, 1.0, "img", 1.0)
    spec = msgspec.structs.replace(spec, estimate_s=300.0)

    def job_rank(waited_s: float, **tasks: object) -> tuple[int, float]:
        record = r.JobRecord("open", 40, 0.0, spec)
        job = Job("j-1", 1, record, spec, **tasks)  # type: ignore[arg-type]
        objectives = [Objective("finished", "c", within_s=450.0)]
        return rules.job_rank(job, objectives, waited_s)

    short_job_work = 15.0  # waiting work of a short job
    assert job_rank(c.ARRAY_FIRST_START_S) == (0, 12000.0)
    assert job_rank(c.ARRAY_FIRST_START_S + 1) < (0, short_job_work)
    assert job_rank(300.0) < (0, short_job_work)  # also after its own objective is missed
    assert job_rank(300.0, bound_tasks={0: r.Task("vm-1", 1)}) == (1, 39 * 300.0)
    # It had started and was preempted.
    assert job_rank(300.0, last_stop_reason="m") == (1, 40 * 300.0)
    assert (
        rules.job_rank(Job("j-1", 1, r.JobRecord("open", 40, 0.0, spec), spec), [], 300.0)[1]
        > short_job_work
    )


def requests_of(job: str, copies: int, running: int, at: float) -> list[WaitingRequest]:
    """The requests that one leader sends in one round."""
    spec = r.JobSpec(job, "c", "core", "service", 3, copies, 1.0, 1.0, 1.0, "img", 1.0)
    job_rank = rules.QueueRank(0, running / copies, at)
    return [
        WaitingRequest(
            make_credit_request(
                spec, index, 3, False, rules.task_rank(spec, job_rank, index), ["east"], []
            ),
            "winch-0",
            1.0,
            9.0,
            0.0,
        )
        for index in range(running, copies)
    ]


def test_each_waiting_service_gets_a_copy_before_one_gets_its_second() -> None:
    waiting_requests = [
        *requests_of("j-1", 6, 0, 1.0),
        *requests_of("j-2", 6, 0, 2.0),
        *requests_of("j-3", 3, 1, 0.5),
    ]
    served = [
        (waiting.request.job, waiting.request.index)
        for waiting in sorted(waiting_requests, key=request_order)
    ]
    # j-3 has a third of its copies, so it follows when the others have two of their six.
    assert served[:5] == [("j-1", 0), ("j-2", 0), ("j-1", 1), ("j-2", 1), ("j-3", 1)]


def test_a_task_of_an_array_has_the_rank_of_its_job() -> None:
    spec = r.JobSpec("j-1", "c", "core", "array", 1, 6, 1.0, 1.0, 1.0, "img", 1.0)
    assert rules.task_rank(spec, rules.QueueRank(1, 30.0, 2.0), 4) == (1, 30.0, 2.0)


def test_requests_with_capacity_or_being_bound_count_as_granted() -> None:
    requests = PendingRequests()
    for index in range(4):
        requests.put(("j-1", index), PendingRequest("winch-0", 1.0, 1.0, ["east"]))
    requests.for_job("j-1")[1].machine = "vm-1"
    requests.for_job("j-1")[2].machine = "vm-2"
    requests.mark_writing(("j-1", 2))
    spec = r.JobSpec("j-1", "c", "core", "service", 3, 4, 1.0, 1.0, 1.0, "img", 1.0)
    record = r.JobRecord("open", 4, 0.0, spec)
    assert requests.count_granted(Job("j-1", 1, record, spec)) == 2
    bound_job = Job("j-1", 1, record, spec, bound_tasks={2: r.Task("vm-2", 1)})
    assert requests.count_granted(bound_job) == 1  # it already counts as bound
