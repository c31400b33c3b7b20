"""Simulated users: they submit, poll and cancel jobs, and retry until they are answered."""

import asyncio
import json
from typing import TYPE_CHECKING, Any

from pulleydeal.http import Client, NoResponse
from standins import odd
from standins.net import on_host
from standins.script import row

if TYPE_CHECKING:
    from standins.scenario import Scenario


CLOSE_CHECKS = 12  # rounds of requests to all nodes after one answer
CLOSE_CHECK_GAP_S = (0.001, 0.03)
LONG_TASK_S = 20.0  # remaining run time from which a task counts as long
MAX_FROZEN = 8  # machines frozen by one `cancel_now` event


class Users:
    """Mixin of `Scenario`: events that are requests of users."""

    async def _ask(self: "Scenario", method: str, job: str, path: str, body: object = None) -> str:
        """Asks the nodes in turn until one gives a final answer; returns the state it reports."""
        for turn in range(30):
            name = sorted(self._nodes)[turn % len(self._nodes)]
            if state := await self._ask_node(method, job, path, body, name):
                return state
            await asyncio.sleep(1.0)
        return "no answer"

    async def _ask_node(
        self: "Scenario", method: str, job: str, path: str, body: object, node: str
    ) -> str:
        """Sends one request to a node; returns the state or status, or "" if it must be retried."""
        sent_at = self._clock.now()
        known_before = (self.rules.accepted(job), self.rules.heard_over(job))
        client = Client(f"{self._nodes[node]}:8080", self._clock)
        try:
            status, reply = await client.request(method, path, body, 5.0)
        except NoResponse:
            status, reply = 0, b""
        client.close()
        state = json.loads(reply).get("tension", "") if reply else ""
        if state == "cancelled" and path.endswith("/cancel"):
            self.rules.asked_cancel(job, told=True)
        self.rules.told(job, status, state, self._world.results, sent_at)
        if method == "GET":
            self.rules.polled(job, status in (200, 404))
        if self.looks and known_before != (self.rules.accepted(job), self.rules.heard_over(job)):
            on_host(self._user_host, self._check_closely(job))
        return state or str(status) if status in (200, 201, 400, 404, 422) else ""

    def _submission(
        self: "Scenario", job: str, kind: str, tasks: str, run_s: str, options: list[str]
    ) -> Any:
        body = {
            "name_id": job,
            "rig": f"{kind}s",
            "crew": "core",
            "haul": kind,
            "urgency": {"standing": "prod", "gang": "high"}.get(kind, "standard"),
            "lifts": int(tasks),
            "vcpus": 4.0,
            "accelerators": 1.0,
            "ram_gb": 8.0,
            "tackle": "img-1",
            "pull_gb": 1.0,
            "rig_models": None,
            "yard": None,
            "same_place": kind == "gang",
            "spread": kind == "standing",
            "loaners": kind != "standing",
            "haul_s": float(run_s),
            "belay_s": 5.0,
            "stow_s": 1.0,
            "due_s": None,
            "_run_s": float(run_s),
        }
        for word in options:
            name, _, value = word.partition("=")
            if name == "waits_on":
                body[name] = value.split(",")
            else:
                body[name] = json.loads(value) if value[:1] in "0123456789tfn" else value
        return body

    def do_submit(
        self: "Scenario", job: str, kind: str, tasks: str, run_s: str, *options: str
    ) -> None:
        body = self._submission(job, kind, tasks, run_s, list(options))
        self.rules.uploads[job] = body
        on_host(self._user_host, self._submit(job, body))

    async def _submit(self: "Scenario", job: str, body: dict[str, Any]) -> None:
        while any(not self.rules.accepted(needed) for needed in body.get("waits_on") or ()):
            await asyncio.sleep(0.05)
        await self._ask("POST", job, "/submissions", body)

    # --- requests at critical moments -------------------------------------------------------
    def do_close_looks(self: "Scenario", cancelled: str) -> None:
        self.looks = cancelled != "off"
        self.look_cancels = float(cancelled) if self.looks else 0.0

    async def _check_closely(self: "Scenario", job: str) -> None:
        """Sends requests to all nodes right after the user learned of an acceptance or an end."""
        path = f"/submissions/{job}"
        if not self.rules.heard_over(job) and self.rng.random() < self.look_cancels:
            await asyncio.sleep(self.rng.choice([0.0, 0.01, 0.3]))
            self.do_cancel(job)
        for _ in range(CLOSE_CHECKS):
            for node in self._nodes:
                again = self.rng.random() < 0.3
                call = ("POST", job, "/submissions", self.rules.uploads[job])
                call = call if again else ("GET", job, path, None)
                on_host(self._user_host, self._ask_node(*call, node))
                self.close_looks += 1
            await asyncio.sleep(self.rng.uniform(*CLOSE_CHECK_GAP_S))

    def do_cancel_now(self: "Scenario", count: str, hang_s: str = "0") -> None:
        """Cancels `count` jobs with long tasks or replicas within 0.2 s."""
        machines: dict[str, set[str]] = {}
        for machine, worker in self._workers.items():
            for task, running in worker.tasks.items():
                is_long = running.remaining_s > LONG_TASK_S or running.job.get("haul") == "standing"
                if running.state == "running" and is_long:
                    machines.setdefault(task.rpartition("/")[0], set()).add(machine)
        jobs = [job for job in sorted(machines) if not self.rules.asked_to_cancel(job)]
        chosen = self.rng.sample(jobs, min(int(count), len(jobs)))
        for job in chosen:
            self._loop.call_later(self.rng.uniform(0.0, 0.2), self.do_cancel, job)
            self.called_off += 1
        if float(hang_s):
            found = sorted(set().union(*(machines[job] for job in chosen)))
            for machine in found[:MAX_FROZEN]:
                self._freeze_machine(machine, float(hang_s))

    def do_cancel_at_end(self: "Scenario", share: str) -> None:
        def on_task_completed(task: str) -> None:
            job = task.rpartition("/")[0]
            if self.rules.done(job, self._world.results) and self.rng.random() < float(share):
                # The machine reports the end within 0.5 s: cancels before, at and after that.
                after_s = self.rng.choice([0.0, 0.002, 0.1, 0.3, 0.5, 0.6, 1.0])
                self._loop.call_later(after_s, self.do_cancel, job)
                self.called_off += 1

        self._world.on_task_completed = on_task_completed if float(share) else lambda _: None

    def do_flow(
        self: "Scenario", first: str, rate: str, for_s: str, cancelled: str, *words: str
    ) -> None:
        """Submits jobs at a constant rate and cancels a share of them soon after."""
        for number, job in enumerate(row(first, str(int(float(rate) * float(for_s))))):
            at = number / float(rate)
            self._loop.call_later(at, self.do_submit, job, *words)
            if self.rng.random() < float(cancelled):
                after = at + self.rng.choice([0.0, 0.05, 0.5, 2.0, 5.0, 8.0])
                self._loop.call_later(after, self.do_cancel, job)

    # --- malformed and repeated requests ----------------------------------------------------
    def do_odd_requests(self: "Scenario") -> None:
        """Repeats accepted submissions, some incomplete, and sends ones that must be rejected."""
        for job in list(self.rules.uploads):
            if self.rules.accepted(job):
                on_host(self._user_host, self._resubmit_malformed(job, self.rules.uploads[job]))
        valid_body = self._submission("j-x", "batch", "1", "5", [])
        for number, (why, body, status) in enumerate(odd.submissions(valid_body)):
            job = f"j-7{number:05d}"
            self.rules.unfit[job] = why
            on_host(
                self._user_host, self._submit_malformed(job, why, odd.with_id(body, job), status)
            )

    async def _resubmit_malformed(self: "Scenario", job: str, body: dict[str, Any]) -> None:
        """A repeated submission of an accepted job gets its state, even if a field is missing."""
        incomplete = {
            k: v for k, v in body.items() if k != self.rng.choice(sorted(set(body) - {"name_id"}))
        }
        for node in self._nodes:
            await self._ask_node("POST", job, "/submissions", body, node)
            await self._ask_node("POST", job, "/submissions", incomplete, node)
        if self.rules.heard_over(job) and not self.rules.asked_to_cancel(job):
            state = await self._ask("POST", job, f"/submissions/{job}/cancel")
            self._expect(
                f"cancelling {job}, which is done: {state}",
                f"cancelling {job}, which is done: done",
            )

    async def _submit_malformed(
        self: "Scenario", job: str, why: str, body: object, allowed_statuses: tuple[int, ...]
    ) -> None:
        for node in self._nodes:
            client = Client(f"{self._nodes[node]}:8080", self._clock)
            try:
                status, _ = await client.request("POST", "/submissions", body, 5.0)
            except NoResponse:
                status = 0
            client.close()
            self.rules.told(job, status, "queued", self._world.results)
            if status not in (0, 503, *allowed_statuses):
                self._expect(f"{why}: {status} of {node}", f"{why}: {allowed_statuses} of {node}")

    def do_crowd(self: "Scenario", first: str, count: str, *words: str) -> None:
        for job in row(first, count):
            self.do_submit(job, *words)

    def do_resubmit(self: "Scenario", job: str) -> None:
        body = self.rules.uploads[job]
        on_host(self._user_host, self._ask("POST", job, "/submissions", body))

    def do_poll(self: "Scenario", job: str) -> None:
        on_host(self._user_host, self._ask("GET", job, f"/submissions/{job}"))

    def do_polls(self: "Scenario", first: str, count: str, for_s: str) -> None:
        """The users of consecutive jobs poll random nodes, each about every five seconds."""
        for job in row(first, count):
            on_host(self._user_host, self._poll(job, self._loop.time() + float(for_s)))

    async def _poll(self: "Scenario", job: str, until: float) -> None:
        while self._loop.time() < until:
            node = self.rng.choice(sorted(self._nodes))
            await self._ask_node("GET", job, f"/submissions/{job}", None, node)
            await asyncio.sleep(self.rng.uniform(4.0, 6.0))

    def do_cancel(self: "Scenario", job: str) -> None:
        self.rules.asked_cancel(job, told=False)
        on_host(self._user_host, self._ask("POST", job, f"/submissions/{job}/cancel"))
