"""What the lines of a scenario may say; `standins/scenario.py` plays them.

A scenario is a text file, one event a line: a time in seconds, a verb, its words.
  submit JOB KIND TASKS RUN_S [name=value ...]   a user submits (and repeats until answered);
                                                 waits_on=j-1,j-2: after those are accepted
  cancel JOB          | poll JOB                  | resubmit JOB
  crash NODE [FOR_S]  | crash all [FOR_S]         | state down|up | state refuse NODE [NODE]|none
  repeat SHARE                                   of that part of commits a copy comes again later
  state late SHARE [at_once]   that part of commits gets no answer and is carried out 2 to 12 s
                      later, or at once
  state slow SECONDS  its answers take up to so long | state watches end|wait   of a refused node
  late_reports SHARE [next]    of that part of check-ins a copy comes again, 2 to 25 s later, or
                      to every node when the next leader begins
  mute NODE NODE      what the first says to the second is held back until `heal`
  mute BLOCK|ZONE|all [SHARE]   these machines reach no node, while direct orders reach them
  hang BLOCK|ZONE|all SECONDS [SHARE]   they stand still while their clocks run on, then go on
  link GB_PER_S       how fast images are fetched from now on
  apart NODE          from the other nodes, both ways | shun NODE   from state service and cloud
  answer_wrongly BLOCK|ZONE|all SHARE [PART [WAY ...]]   that part of these machines answers that
                      share of orders in one of these ways (standins/wrong_answers.py); 0: none
  unreached BLOCK|ZONE [SHARE]   its reports arrive; answers and orders to it are lost
  hold BLOCK|ZONE SECONDS        answers and orders to it are held back so long
  answers             every node knows whatever was accepted, within the time for `forgotten`
  cloud down|up       | cut ZONE ZONE | cut BLOCK | heal | lose SHARE
  cut ZONE                                       that zone from everything
  freeze NODE FOR_S                              it stands still while its clocks run on
  reboot BLOCK|ZONE AFTER_S afresh|on [SHARE]    machines end and are back so soon, without tasks:
                                                 session, count and token begin again, or go on
  late BLOCK SECONDS                             its last check-in comes to all nodes again so late
  again JOB submit|cancel                        a late copy of what its user sent, to each node
  deafen NODE                                    that node from all workers, both ways
  die BLOCK|ZONE [SHARE] (that part of its machines) | sick BLOCK | notice BLOCK SECONDS
  state limits VALUE_KB TXN_OPS WRITE_RPS        the state service's limits from now on
  load FILE   (only as the first event)          goes on from records that another version left
                                                 behind; its machines are up, and their tasks lost
  boots FACTOR                                   machines rented from now on take that many times
                                                 as long to come up; 0: they never do
  capacity COUNT                                 machines to be had of each kind in each zone
  crowd JOB COUNT KIND TASKS RUN_S [name=value ...]   COUNT users submit at once, from JOB on
  features on [NODE ...]   (among the first events)   nodes have all features on, or only these
  journal on [NODE ...]    nodes that start from then on have the journal on, or only these; at 0:
                                                 all that start
  describe SERVICE [name=value ...]              how its next versions are described
  behave IMAGE [name=value ...]                  how copies of an image behave (copies.Behaviour)
  roll SERVICE IMAGE                             an operator starts a roll-out of that image
  operator SERVICE pause|resume|abort|remove
  promise SERVICE FLOOR                          from now on that many copies are truly healthy
  cron TABLE FILE [name=value ...]               a cron table is brought in (tests/traces/FILE)
  table TABLE pause|resume|remove | fired COUNT  jobs of recurring lines so far
  flow FIRST RATE FOR_S CANCELLED KIND TASKS RUN_S [name=value ...]   so many jobs a second, of
                                                 which that share is called off within 8 s
  cancel_now COUNT [HANG_S]   users call off so many jobs with long to go, within 0.2 s; with
                      HANG_S, up to eight of their machines hang that long
  cancel_at_end SHARE   from now on, of the jobs that end, just before, with or after the report
  close_looks SHARE|off   from now on users ask at all nodes, and repeat the submission, every few
                      milliseconds after an acceptance or an end; SHARE of them cancel at once
  polls FIRST COUNT FOR_S   their users poll, each about every 5 s, at whatever node
  odd_requests        users repeat what is accepted, also without a field, cancel what is done, and
                      send what can't be taken (standins/odd.py)
  expect service SERVICE STATE GOOD COPIES
  expect JOB STATE[|STATE] [COUNT] | expect machines COUNT[+] | expect starts COUNT[+]
  expect NODE UP
  expect condemned COUNT   machines taken for sick so far
  expect kept BLOCK   it was not given back
  expect fleet known  what is rented, and nothing else, has a record
  expect deaf NODE|none   by the view, some zone's machines are handed over
  expect lost COUNT   tasks that workers gave up as nobody renewed their lease
"""

import asyncio
import json
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from standins.net import Network, VirtualLoop


class LoopClock:
    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        return self._loop.time()

    def wall(self) -> float:
        return 1.7e9 + self._loop.time()


class ScenarioError(Exception):
    """A line that is no event; the text names its place."""


@dataclass(frozen=True)
class Event:
    line: int  # of its file
    text: str
    at: float
    verb: str
    words: list[str]

    def wrong(self, why: object) -> ScenarioError:
        return ScenarioError(f"line {self.line}: {self.text!r}: {why}")


def events(text: str) -> list[Event]:
    """What the lines of a scenario say; `#` begins a remark."""
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
    """Jobs with ids in a row, from `first` on."""
    start = int(first.rpartition("-")[2])
    return [f"j-{start + i}" for i in range(int(count))]


def left_behind(path: Path) -> dict[str, Any]:
    """The records of a kept trace; a line: key, then JSON."""
    lines = [line.partition(" ") for line in path.read_text().splitlines()]
    return {key: json.loads(value) for key, _, value in lines if key.startswith("p/")}


def virtually(work: Callable[[LoopClock], Coroutine[Any, Any, None]]) -> None:
    """Runs one coroutine by a virtual clock, without a world around it."""
    loop = VirtualLoop(Network(1))
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(work(LoopClock(loop)))
    finally:
        asyncio.set_event_loop(None)
