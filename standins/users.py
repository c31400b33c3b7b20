"""A scenario's users: they submit, ask, cancel, and repeat until they are answered."""

import asyncio
import json
from typing import TYPE_CHECKING, Any

from pulleydeal.http import Client, NoResponse
from standins import odd
from standins.net import on_host
from standins.script import row

if TYPE_CHECKING:
    from standins.scenario import Scenario


LOOKS = 12  # looks at each node after one answer
BETWEEN_LOOKS_S = (0.001, 0.03)
LONG_S = 20.0  # a task that has so long to go, or a replica, has long to go
MOST_HUNG = 8  # machines that hang with one lot of cancellations


class Users:
    """Mixed into the scenario."""

    async def _ask(self: "Scenario", method: str, job: str, path: str, body: object = None) -> str:
        """Asks one node after the other until one decides; returns the state it told."""
        for turn in range(30):
            name = sorted(self._nodes)[turn % len(self._nodes)]
            if told := await self._once(method, job, path, body, name):
                return told
            await asyncio.sleep(1.0)
        return "no answer"

    async def _once(
        self: "Scenario", method: str, job: str, path: str, body: object, node: str
    ) -> str:
        """What that node tells, or nothing."""
        began = self._clock.now()
        heard = (self.rules.accepted(job), self.rules.heard_over(job))
        client = Client(f"{self._nodes[node]}:8080", self._clock)
        try:
            status, reply = await client.request(method, path, body, 5.0)
        except NoResponse:
            status, reply = 0, b""
        client.close()
        state = json.loads(reply).get("tension", "") if reply else ""
        if state == "cancelled" and path.endswith("/cancel"):
            self.rules.asked_cancel(job, told=True)
        self.rules.told(job, status, state, self._world.results, began)
        if method == "GET":
            self.rules.polled(job, status in (200, 404))
        if self.looks and heard != (self.rules.accepted(job), self.rules.heard_over(job)):
            on_host(self._users, self._look_closely(job))
        return state or str(status) if status in (200, 201, 400, 404, 422) else ""

    def _submission(
        self: "Scenario", job: str, kind: str, tasks: str, run_s: str, more: list[str]
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
        for word in more:
            name, _, value = word.partition("=")
            if name == "waits_on":
                body[name] = value.split(",")
            else:
                body[name] = json.loads(value) if value[:1] in "0123456789tfn" else value
        return body

    def do_submit(
        self: "Scenario", job: str, kind: str, tasks: str, run_s: str, *more: str
    ) -> None:
        body = self._submission(job, kind, tasks, run_s, list(more))
        self.rules.uploads[job] = body
        on_host(self._users, self._submit(job, body))

    async def _submit(self: "Scenario", job: str, body: dict[str, Any]) -> None:
        while any(not self.rules.accepted(needed) for needed in body.get("waits_on") or ()):
            await asyncio.sleep(0.05)
        await self._ask("POST", job, "/submissions", body)

    # --- in the seconds that matter ---------------------------------------------------------
    def do_close_looks(self: "Scenario", cancelled: str) -> None:
        self.looks = cancelled != "off"
        self.look_cancels = float(cancelled) if self.looks else 0.0

    async def _look_closely(self: "Scenario", job: str) -> None:
        """The same user at all nodes, right after it heard of an acceptance or an end."""
        path = f"/submissions/{job}"
        if not self.rules.heard_over(job) and self.rng.random() < self.look_cancels:
            await asyncio.sleep(self.rng.choice([0.0, 0.01, 0.3]))
            self.do_cancel(job)
        for _ in range(LOOKS):
            for node in self._nodes:
                again = self.rng.random() < 0.3
                call = ("POST", job, "/submissions", self.rules.uploads[job])
                call = call if again else ("GET", job, path, None)
                on_host(self._users, self._once(*call, node))
                self.close_looks += 1
            await asyncio.sleep(self.rng.uniform(*BETWEEN_LOOKS_S))

    def do_cancel_now(self: "Scenario", count: str, hang_s: str = "0") -> None:
        """Users call off so many jobs that have long to go, within a fifth of a second."""
        blocks: dict[str, set[str]] = {}
        for block, worker in self._workers.items():
            for lift, running in worker.lifts.items():
                long = running.left_s > LONG_S or running.job.get("haul") == "standing"
                if running.tension == "running" and long:
                    blocks.setdefault(lift.rpartition("/")[0], set()).add(block)
        jobs = [job for job in sorted(blocks) if not self.rules.asked_to_cancel(job)]
        chosen = self.rng.sample(jobs, min(int(count), len(jobs)))
        for job in chosen:
            self._loop.call_later(self.rng.uniform(0.0, 0.2), self.do_cancel, job)
            self.called_off += 1
        if float(hang_s):
            found = sorted(set().union(*(blocks[job] for job in chosen)))
            for block in found[:MOST_HUNG]:
                self._hang(block, float(hang_s))

    def do_cancel_at_end(self: "Scenario", share: str) -> None:
        def ended(lift: str) -> None:
            job = lift.rpartition("/")[0]
            if self.rules.done(job, self._world.results) and self.rng.random() < float(share):
                # Its machine reports the end within half a second: before, with and after that.
                after_s = self.rng.choice([0.0, 0.002, 0.1, 0.3, 0.5, 0.6, 1.0])
                self._loop.call_later(after_s, self.do_cancel, job)
                self.called_off += 1

        self._world.ended = ended if float(share) else lambda _: None

    def do_flow(
        self: "Scenario", first: str, rate: str, for_s: str, cancelled: str, *words: str
    ) -> None:
        """Jobs that come at that rate, a share of them called off soon after."""
        for number, job in enumerate(row(first, str(int(float(rate) * float(for_s))))):
            at = number / float(rate)
            self._loop.call_later(at, self.do_submit, job, *words)
            if self.rng.random() < float(cancelled):
                after = at + self.rng.choice([0.0, 0.05, 0.5, 2.0, 5.0, 8.0])
                self._loop.call_later(after, self.do_cancel, job)

    # --- odd requests -----------------------------------------------------------------------
    def do_odd_requests(self: "Scenario") -> None:
        """Repeats of what is accepted, whatever they look like, and what can never be taken."""
        for job in list(self.rules.uploads):
            if self.rules.accepted(job):
                on_host(self._users, self._repeat_oddly(job, self.rules.uploads[job]))
        whole = self._submission("j-x", "batch", "1", "5", [])
        for number, (why, body, status) in enumerate(odd.submissions(whole)):
            job = f"j-7{number:05d}"
            self.rules.unfit[job] = why
            on_host(self._users, self._oddly(job, why, odd.named(body, job), status))

    async def _repeat_oddly(self: "Scenario", job: str, body: dict[str, Any]) -> None:
        """A repeat of an accepted job is answered with its state, also if a field went astray."""
        less = {
            k: v for k, v in body.items() if k != self.rng.choice(sorted(set(body) - {"name_id"}))
        }
        for node in self._nodes:
            await self._once("POST", job, "/submissions", body, node)
            await self._once("POST", job, "/submissions", less, node)
        if self.rules.heard_over(job) and not self.rules.asked_to_cancel(job):
            told = await self._ask("POST", job, f"/submissions/{job}/cancel")
            self._expect(
                f"cancelling {job}, which is done: {told}", f"cancelling {job}, which is done: done"
            )

    async def _oddly(
        self: "Scenario", job: str, why: str, body: object, wanted: tuple[int, ...]
    ) -> None:
        for node in self._nodes:
            client = Client(f"{self._nodes[node]}:8080", self._clock)
            try:
                status, _ = await client.request("POST", "/submissions", body, 5.0)
            except NoResponse:
                status = 0
            client.close()
            self.rules.told(job, status, "queued", self._world.results)
            if status not in (0, 503, *wanted):
                self._expect(f"{why}: {status} of {node}", f"{why}: {wanted} of {node}")

    def do_crowd(self: "Scenario", first: str, count: str, *words: str) -> None:
        for job in row(first, count):
            self.do_submit(job, *words)

    def do_resubmit(self: "Scenario", job: str) -> None:
        body = self.rules.uploads[job]
        on_host(self._users, self._ask("POST", job, "/submissions", body))

    def do_poll(self: "Scenario", job: str) -> None:
        on_host(self._users, self._ask("GET", job, f"/submissions/{job}"))

    def do_polls(self: "Scenario", first: str, count: str, for_s: str) -> None:
        """Users of jobs in a row poll, each about every five seconds, at whatever node."""
        for job in row(first, count):
            on_host(self._users, self._poll(job, self._loop.time() + float(for_s)))

    async def _poll(self: "Scenario", job: str, until: float) -> None:
        while self._loop.time() < until:
            node = self.rng.choice(sorted(self._nodes))
            await self._once("GET", job, f"/submissions/{job}", None, node)
            await asyncio.sleep(self.rng.uniform(4.0, 6.0))

    def do_cancel(self: "Scenario", job: str) -> None:
        self.rules.asked_cancel(job, told=False)
        on_host(self._users, self._ask("POST", job, f"/submissions/{job}/cancel"))
