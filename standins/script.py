"""The scenario file format and its parser; `standins/scenario.py` runs the events.

A scenario is a text file with one event a line: time in seconds, verb, arguments. BLOCK is a
machine, ZONE a zone, SHARE a fraction; SHARE of machines defaults to all.
  submit JOB KIND TASKS RUN_S [name=value ...]   a user submits, and retries until answered;
                                                 waits_on=j-1,j-2: once those are accepted
  cancel JOB          | poll JOB                  | resubmit JOB
  crash NODE [FOR_S]  | crash all [FOR_S]         | state down|up | state refuse NODE [NODE]|none
  repeat SHARE        share of commits that are applied a second time later
  state late SHARE [at_once]   share of commits that get no answer and are applied 2 to 12 s
                      later, or at once
  state slow SECONDS  maximum delay of its answers
  state watches end|wait       whether watches of a refused node end empty, or wait
  late_reports SHARE [next]    share of check-ins that are sent again 2 to 25 s later, or to every
                      node when the next leader takes over
  late_orders SHARE [next|reboot]   share of answered orders with a start that reach their machine
                      again 2 to 16 s later, or when the next leader takes over, or when the
                      machine has rebooted
  mute NODE NODE      messages from the first to the second are held back until `heal`
  mute BLOCK|ZONE|all [SHARE]   these machines reach no node, while direct orders reach them
  hang BLOCK|ZONE|all SECONDS [SHARE]   these machines freeze while their clocks keep running
  link GB_PER_S       fetch rate of images from now on
  apart NODE          partitions it from the other nodes | shun NODE   from state service and cloud
  answer_wrongly BLOCK|ZONE|all SHARE [PART [WAY ...]]   a part of these machines answers a share
                      of orders in one of these ways (standins/wrong_answers.py); 0: none
  unreached BLOCK|ZONE [SHARE]   reports arrive, but answers and orders to the machines are lost
  hold BLOCK|ZONE SECONDS        answers and orders to the machines are held back so long
  answers             checks that every node knows each accepted job within FORGOTTEN_AFTER_S
  cloud down|up       | cut ZONE ZONE | cut BLOCK | heal | lose SHARE
  cut ZONE                                       isolates the zone
  freeze NODE FOR_S                              the node freezes while its clock keeps running
  reboot BLOCK|ZONE AFTER_S afresh|on [SHARE]    machines lose their tasks and restart; session,
                                                 sequence number and token are reset, or kept
  late BLOCK SECONDS                             a new check-in reaches all nodes so much later
  keep_attempts [ORDER]   machines that boot from now on report each attempt until it is cleared, in
                      this order, or each in one of its own (standins/attempts.py)
  again JOB submit|cancel                        repeats a request of its user at each node
  deafen NODE                                    partitions the node from all workers
  die BLOCK|ZONE [SHARE] (that part of its machines) | sick BLOCK|ZONE [SHARE]
  notice BLOCK SECONDS
  state limits VALUE_KB TXN_OPS WRITE_RPS        limits of the state service from now on
  load FILE   (only as the first event)          starts from the records of another version; its
                                                 machines are up, but their tasks are lost
  boots FACTOR                                   multiplies the boot time of machines rented from
                                                 now on; 0: they never come up
  capacity COUNT                                 available machines per zone, spot and on-demand
  crowd JOB COUNT KIND TASKS RUN_S [name=value ...]   COUNT users submit at once, from JOB on
  features on [NODE ...]   (among the first events)   all nodes have all features on, or only these
  journal on [NODE ...]    nodes that start from then on have the journal on, or only these; at 0:
                                                 all that start
  describe SERVICE [name=value ...]              description of its next versions
  behave IMAGE [name=value ...]                  behaviour of an image's copies (copies.Behaviour)
  roll SERVICE IMAGE                             an operator starts a roll-out of the image
  operator SERVICE pause|resume|abort|remove
  promise SERVICE FLOOR                          from now on at least FLOOR copies must be healthy
  cron TABLE FILE [name=value ...]               imports a cron table (tests/traces/FILE)
  table TABLE pause|resume|remove | fired COUNT  expected number of jobs of recurring lines so far
  flow FIRST RATE FOR_S CANCELLED KIND TASKS RUN_S [name=value ...]   submits RATE jobs a second;
                                                 the share CANCELLED is cancelled within 8 s
  cancel_now COUNT [HANG_S]   users cancel COUNT jobs with long tasks within 0.2 s; with HANG_S,
                      up to eight of their machines freeze that long
  cancel_at_end SHARE   from now on cancels a share of ending jobs before, at or after the report
  close_looks SHARE|off   from now on users ask all nodes, and repeat the submission, every few
                      milliseconds after an acceptance or an end; SHARE of them cancel at once
  polls FIRST COUNT FOR_S   their users poll random nodes, each about every 5 s
  odd_requests        users repeat accepted submissions, some with a field missing, cancel jobs that
                      are done, and send submissions that must be rejected (standins/odd.py)
  expect service SERVICE STATE GOOD COPIES
  expect JOB STATE[|STATE] [COUNT] | expect machines COUNT[+] | expect starts COUNT[+]
  expect NODE UP
  expect condemned COUNT   machines condemned as sick so far
  expect kept BLOCK   the machine was not returned
  expect fleet known  exactly the rented machines have a record
  expect deaf NODE|none   the only node that the view marks as deaf (to a zone), or none
  expect late_orders COUNT+         copies that named a start which the machine had been told to
                      clear by then; started_again: which it carried out all the
                      same; late_orders_reboot: which it had lost in a reboot
  expect lost COUNT   tasks that workers ended because their lease was not renewed
"""

import asyncio
import json
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.net import Network, VirtualLoop


class LoopClock:
    """A `Clock` that reads the time of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        return self._loop.time()

    def wall(self) -> float:
        return 1.7e9 + self._loop.time()


class ScenarioError(Exception):
    """A line of a scenario is invalid; the message gives its number and text."""


@dataclass(frozen=True)
class Event:
    line: int  # line number in the file
    text: str
    at: float
    verb: str
    words: list[str]

    def wrong(self, why: object) -> ScenarioError:
        return ScenarioError(f"line {self.line}: {self.text!r}: {why}")


def events(text: str) -> list[Event]:
    """Parses the lines of a scenario; `#` starts a comment."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        words = line.partition("#")[0].split()
        if not words:
            continue
        try:
            found.append(Event(number, line.strip(), float(words[0]), words[1], words[2:]))
        except (ValueError, IndexError) as error:
            raise ScenarioError(f"line {number}: {line.strip()!r} is no event") from error
    return found


def row(first: str, count: str) -> list[str]:
    """`count` consecutive job ids from `first` on."""
    start = int(first.rpartition("-")[2])
    return [f"j-{start + i}" for i in range(int(count))]


def left_behind(path: Path) -> dict[str, Any]:
    """Reads the records of a stored trace, one line each: key, then JSON."""
    lines = [line.partition(" ") for line in path.read_text().splitlines()]
    return {key: json.loads(value) for key, _, value in lines if key.startswith("p/")}


def virtually(work: Callable[[LoopClock], Coroutine[Any, Any, None]]) -> None:
    """Runs one coroutine on a virtual clock, without a simulated cluster."""
    loop = VirtualLoop(Network(1))
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(work(LoopClock(loop)))
    finally:
        asyncio.set_event_loop(None)
