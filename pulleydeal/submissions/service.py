"""The user API: accepts, shows and cancels jobs.

Answers contain only what is durable and up to date.
"""

import asyncio
import logging
import re
from collections.abc import Callable, Coroutine

import msgspec

from pulleydeal import constants as c
from pulleydeal import rules
from pulleydeal.clock import Clock
from pulleydeal.credits.messages import Resources
from pulleydeal.credits.queue import FreeCapacity
from pulleydeal.decisions import Action, Decision, DecisionLog
from pulleydeal.http import DECODE_ERRORS, Request, Response, json_response
from pulleydeal.membership.service import Membership
from pulleydeal.metrics import Metrics
from pulleydeal.settings import Team
from pulleydeal.store import records as r
from pulleydeal.store.client import OutcomeUnknown, Unavailable
from pulleydeal.store.draft import Draft
from pulleydeal.store.job import Job
from pulleydeal.store.rate import WritePriority
from pulleydeal.store.reasons import reason_text
from pulleydeal.store.service import Store
from pulleydeal.submissions import messages as m
from pulleydeal.submissions.admission import Admission
from pulleydeal.workers.partition_policy import PartitionPolicy

log = logging.getLogger("pulleydeal.submissions")
JOB_ID = re.compile(m.JOB_ID)


def rejection_reason(
    spec: r.JobSpec, teams: dict[str, Team], types: dict[str, r.MachineType], zones: list[str]
) -> str:
    """Why the job can never run; empty if it can."""
    team = teams.get(spec.team)
    if team is None:
        return f"unknown team {spec.team!r}"
    need = Resources(spec.cpus, spec.gpus, spec.memory)
    usable = [
        t
        for t in types.values()
        if (spec.types is None or t.name in spec.types)
        and (spec.zone is None or spec.zone in t.zones)
        and FreeCapacity(t.cpus, t.gpus, t.memory).fits(need)
    ]
    if not usable:
        return "a task fits no allowed machine type"
    if spec.zone is not None and spec.zone not in zones:
        return f"unknown zone {spec.zone!r}"
    # Tasks of an array may run one after the other; all others must run at the same time.
    count = 1 if spec.kind == "array" else spec.tasks
    if not rules.within_limit(team, (spec.cpus * count, spec.gpus * count)):
        return "needs more than its team's limit"
    return ""


class Submissions:
    """Handles the requests of the user API. `waiting_reason`: by job id, why the job waits."""

    def __init__(
        self,
        membership: Membership,
        store: Store,
        teams: dict[str, Team],
        zones: list[str],
        clock: Clock,
        metrics: Metrics,
        waiting_reason: Callable[[str], str],
        partition_policy: PartitionPolicy,
    ) -> None:
        self._membership = membership
        self._store = store
        self._replica = store.replica
        self._teams = teams
        self._zones = zones
        self._clock = clock
        self._metrics = metrics
        self._decisions = DecisionLog(membership, store, clock, metrics)
        self._waiting_reason = waiting_reason
        self._admission = Admission()
        self._partition_policy = partition_policy

    @property
    def ready(self) -> bool:
        """Whether this node can accept jobs."""
        return (
            self._replica.loaded
            and self._membership.is_member
            and bool(self._replica.types)
            and not self._membership.shut_out()
        )

    async def handle(self, request: Request) -> Response:
        path = request.path.partition("?")[0].strip("/").split("/")
        if len(path) == 1:
            return await self._run_handler("POST", request, self.submit(request.body))
        if len(path) == 2:
            return await self._run_handler("GET", request, self.show(path[1]))
        if len(path) == 3 and path[2] == "cancel":
            return await self._run_handler("POST", request, self.cancel(path[1]))
        return json_response(404, {"error": "no such path"})

    async def _run_handler(
        self, method: str, request: Request, coroutine: Coroutine[None, None, Response]
    ) -> Response:
        """Answers 405 to another method, and 503 if the state service fails or takes too long."""
        if request.method != method:
            coroutine.close()
            reply = json_response(405, {"error": f"only {method}"})
            reply.headers.append(("Allow", method))
            return reply
        try:
            async with asyncio.timeout(c.COMMIT_WAIT_S):
                response = await coroutine
        except (Unavailable, OutcomeUnknown, TimeoutError) as error:
            log.debug("%s %s: %s", request.method, request.path, error)
            response = json_response(
                503, {"error": "the state service can't be asked"}, c.RETRY_AFTER_S
            )
        if response.status == 503 and self._membership.shut_out():
            # The load balancer then sends the client's retry to a node that can answer.
            response.headers.append(("Connection", "close"))
        if response.status >= 400:
            self._metrics.refused_submissions.labels(str(response.status)).inc()
        return response

    def _overload_answer(self) -> Response | None:
        """The 503 answer if a write would not be made in time; None if it would."""
        client = self._store.client
        wait_s, writes_per_s = client.urgent_wait_s(), client.writes_per_s
        retry_s = self._admission.retry_after_s(self._clock.now(), wait_s, writes_per_s)
        if retry_s is None:
            return None
        return json_response(503, {"error": "more comes than can be written"}, retry_s)

    # --- submit -----------------------------------------------------------------------------
    async def submit(self, body: bytes) -> Response:
        try:
            spec = m.SUBMISSION.decode(body).spec()
        except DECODE_ERRORS as error:
            return await self._reject_malformed(body, str(error))
        existing = self._replica.jobs.get(spec.id)
        if existing is not None and existing.record is not None:
            return await self.show(spec.id)
        if not self.ready:
            return json_response(503, {"error": "not ready yet"}, c.RETRY_AFTER_S)
        reason = rejection_reason(spec, self._teams, self._replica.types, self._zones)
        if reason:
            return await self._reject(spec.id, 422, reason)
        if spec.waits_on and (reply := await self._dependency_error(spec)) is not None:
            return reply
        if (reply := self._overload_answer()) is not None:
            return reply
        status = r.stored_status("open", self._store.should_journal(spec))
        record = r.JobRecord(status, spec.tasks, self._clock.wall(), spec)
        reason = self._size_error(record)
        if reason:
            return await self._reject(spec.id, 422, reason)
        key = r.job_key(spec.id)
        for _ in range(c.MAX_COMMIT_TRIES):
            conditions = {key: 0, r.VIEW_KEY: self._replica.view_version}
            if await self._store.commit(conditions, {key: record}):
                self._metrics.accepted.inc()
                log.info(
                    "job %s accepted: %s of %d tasks, class %s, team %s, %s priority%s%s",
                    spec.id,
                    spec.kind,
                    spec.tasks,
                    spec.klass,
                    spec.team,
                    r.PRIORITIES[spec.priority],
                    f", due in {spec.deadline_s:.0f} s" if spec.deadline_s else "",
                    f", waits on {' '.join(spec.waits_on[:5])}" if spec.waits_on else "",
                    extra={"job": spec.id},
                )
                # Its present status: another node may have cancelled it before this answer.
                return self._state_answer(
                    201, self._state(self._replica.jobs[spec.id]), logging.INFO
                )
            if spec.id in self._replica.jobs:
                return await self.show(spec.id)
        return json_response(503, {"error": "the view keeps changing"}, c.RETRY_AFTER_S)

    async def _dependency_error(self, spec: r.JobSpec) -> Response | None:
        """The error answer if a job can't be accepted because of its dependencies; else None."""
        if not self._membership.all_support(c.FORMAT_WAITS):
            # A node with an older release would start the tasks at once as the job's leader.
            return json_response(503, {"error": "an older version still serves"}, c.RETRY_AFTER_S)
        jobs = self._replica.jobs
        if any(name not in jobs for name in spec.waits_on):
            await self._store.ensure_fresh()  # another node may have accepted one a moment ago
        for name in spec.waits_on:
            job = jobs.get(name)
            if job is None or job.record is None:
                return await self._reject(spec.id, 422, f"waits on {name}, which nobody submitted")
            if job.is_open and job.spec is not None and job.spec.kind == "service":
                reason = f"waits on {name}, a service, which is never done"
                return await self._reject(spec.id, 422, reason)
        return None

    def _size_error(self, record: r.JobRecord) -> str:
        """Why the record would not fit into a state service value; empty if it does.

        Checked with the longest status and an end time, as the record is longest then.
        """
        status = r.stored_status("cancelled", record.is_journaled)
        longest = msgspec.structs.replace(record, status=status, ended=record.at)
        size = len(msgspec.json.encode(longest))
        limit = self._store.limits.value_b
        if size <= limit:
            return ""
        return f"its description takes {size} B, of {limit} B at most: fewer or shorter names"

    async def _reject(self, job: str, status: int, reason: str) -> Response:
        """The error answer; a repeated submission of an accepted job gets its status instead."""
        await self._store.ensure_fresh()
        if job in self._replica.jobs:
            return await self.show(job)
        return json_response(status, {"error": reason})

    async def _reject_malformed(self, body: bytes, reason: str) -> Response:
        try:
            parsed = msgspec.json.decode(body)
        except DECODE_ERRORS:
            return json_response(400, {"error": reason})
        # "name_id" is the field with the job's id.
        job = parsed.get("name_id") if isinstance(parsed, dict) else None
        if isinstance(job, str) and JOB_ID.match(job):
            return await self._reject(job, 400, reason)
        return json_response(400, {"error": reason})

    async def _current_job(self, job_id: str) -> Job | None:
        """The job, up to date: the replica is refreshed unless the job's status is final."""
        if not JOB_ID.match(job_id):
            return None
        if not self._is_final(self._replica.jobs.get(job_id)):
            await self._store.ensure_fresh()
        return self._replica.jobs.get(job_id)

    # --- show -------------------------------------------------------------------------------
    async def show(self, job_id: str) -> Response:
        job = await self._current_job(job_id)
        if job is None or job.record is None:
            return json_response(404, {"error": "no such job"})
        if self._cancel_unconfirmed(job) and self._partition_policy.may_confirm_cancel(job):
            await self._confirm_cancellation(job)
            job = self._replica.jobs.get(job_id, job)  # the replica may have been reloaded
        # A node with an older release would show the job as cancelled at once, so while there may
        # be one, this node answers 503 and not that the job runs. Otherwise every node shows the
        # job as running or queued until the cancellation is confirmed: answering 503 for so long
        # could exceed the time within which users must get an answer.
        if self._cancel_unconfirmed(job) and not self._membership.all_support(c.FORMAT_FRESHNESS):
            return json_response(503, {"error": "its cancellation is under way"}, c.RETRY_AFTER_S)
        if job.status == "done":
            job = await self._store.with_stored_record(job)
        return self._state_answer(200, self._state(job), logging.DEBUG)

    def _state_answer(self, status: int, state: m.State, level: int) -> Response:
        """The answer with a job's status, which is also written to the decision log."""
        reason = f"{status} {state.state}"
        self._decisions.write(Decision(Action.ANSWER, reason, state.id), level)
        return json_response(status, state)

    def _cancel_unconfirmed(self, job: Job) -> bool:
        """Whether the job is cancelled but must not be shown as cancelled yet.

        An unreachable node may still keep one of its tasks running. The job may be shown as
        cancelled once that is durably confirmed (`untold` is False), or once all its tasks are
        proved gone in a replica that is at least as new as the cancellation.
        """
        return job.untold and (job.bound > 0 or self._replica.revision < job.version)

    async def _confirm_cancellation(self, job: Job) -> None:
        """Durably records that the cancellation may be shown; from then on every node shows it."""

        def confirm(draft: Draft) -> None:
            if self._partition_policy.may_confirm_cancel(draft.job):
                draft.untold = False

        # Shielded: a timeout of the request must not abort the write.
        await asyncio.shield(self._store.change_job(job.id, confirm, priority=WritePriority.URGENT))

    def _is_final(self, job: Job | None) -> bool:
        """Whether the job has ended and its status may be shown."""
        return job is not None and job.is_over and not self._cancel_unconfirmed(job)

    def _state(self, job: Job) -> m.State:
        assert job.record is not None
        if job.record.state == "done":
            return m.State(job.id, "done", job.record.tasks if job.is_record_kept else None, 0)
        if job.is_cancelled and not self._cancel_unconfirmed(job):
            return m.State(job.id, "cancelled", job.done, 0)
        state = "running" if job.bound else "queued"
        return m.State(job.id, state, job.done, job.bound, self._state_note(job))

    def _state_note(self, job: Job) -> str:
        assert job.record is not None
        waiting = ""
        if job.is_cancelled:
            waiting = "is cancelled as soon as its machines out of sight can be told, or are gone"
        elif job.blockers:
            named = sorted(job.blockers)[: c.NAMED_IN_NOTE]
            more = len(job.blockers) - len(named)
            waiting = f"waits for {', '.join(named)}" + (f" and {more} more" if more else "")
        elif job.done + job.bound < job.record.tasks:
            waiting = f"waits for {self._waiting_reason(job.id) or 'credit'}"
        stopped = job.last_stop_reason and f"last stop: {reason_text(job.last_stop_reason)}"
        return "; ".join(part for part in (waiting, stopped) if part)

    # --- cancel -----------------------------------------------------------------------------
    async def cancel(self, job_id: str) -> Response:
        job = await self._current_job(job_id)
        if job is None or job.record is None:
            return json_response(404, {"error": "no such job"})
        if job.is_open:
            if (reply := self._overload_answer()) is not None:
                return reply
            await asyncio.shield(
                self._store.change_job(job_id, self._mark_cancelled, priority=WritePriority.URGENT)
            )
            log.info("job %s: cancellation requested by its user", job_id, extra={"job": job_id})
        if self._cancel_unconfirmed(job) and await self._partition_policy.wait_until_confirmable(
            job
        ):
            await self._confirm_cancellation(job)
        if not self._is_final(job):
            return json_response(503, {"error": "try again"}, c.RETRY_AFTER_S)
        state = "cancelled" if job.is_cancelled else "done"
        return self._state_answer(200, m.State(job_id, state), logging.INFO)

    def _mark_cancelled(self, draft: Draft) -> None:
        if draft.status == "open":
            draft.status = "cancelled"
            # A node that was cut off from the state service before its view contained this node
            # renews leases without this node's heartbeat. While there may be one, this node
            # confirms the cancellation only once the job's tasks are proved gone.
            known = self._membership.known_as_member()
            draft.untold = self._partition_policy.defers_cancellations() or not known
