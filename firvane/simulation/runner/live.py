"""One rehearsal on loopback: real proxies as processes, stand-ins in others, all over when this returns.

A machine that is too busy makes proxies look bad. So the stand-ins measure how late they are themselves, and
where that is too much there is no verdict.
"""

from __future__ import annotations

import asyncio
import contextlib
import resource
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import uvloop

from firvane.simulation.emulation.network import seats
from firvane.simulation.emulation.records import Record
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.runner.clock import LATE_S, UVLOOP, Clock
from firvane.simulation.runner.machines import Machines, environment, with_parent
from firvane.simulation.runner.pipe import Merger, Pipe, unpack
from firvane.simulation.runner.plan import Plan, claim_net
from firvane.simulation.runner.tier import Tier

READY_S = 30.0  # s for which clients wait for all proxies at the start
LEAD_S = 0.2  # s from the word that the clients begin to their first try
AFTER_S = 1.0  # s after the last try's end in which something may still come
RATE = 2000.0  # first tries a second that one process of clients is given
MOST_LATE = 0.01  # part of what falls due that may be late
MOST_BUSY = 0.9  # of a core, that a process of stand-ins may use
ENDS_S = 3.0  # s for a process of stand-ins to end by itself


class NoVerdict(RuntimeError):  # noqa: N818 - says what there is not
    """The machine was too busy, or the rehearsal itself failed: nothing is said of the proxies."""


class Health(NamedTuple):
    """How a process of stand-ins fared."""

    name: str
    busy: float  # of a core, from beginning to end
    late: float  # part of what fell due that was more than `LATE_S` late
    latest: float  # s


class Helper:
    """A process of stand-ins, as this one sees it."""

    def __init__(self, run: LiveRun, number: int, role: str) -> None:
        self.run, self.number, self.role = run, number, role
        self.pipe = Pipe(self._said, self._end)
        self.opened = run.loop.create_future()
        self.done = run.loop.create_future()
        self.began: tuple[float, float, int, int] | None = None  # time and the figures when the clients began
        self.now: tuple[float, float, int, int] = (0.0, 0.0, 0, 0)
        self.latest = 0.0
        ours, theirs = socket.socketpair()
        with theirs:
            command = [sys.executable, "-m", "firvane.simulation.runner.child", str(theirs.fileno())]
            self.process = subprocess.Popen(
                command,
                env=environment(),
                stdin=subprocess.DEVNULL,
                pass_fds=[theirs.fileno()],
                start_new_session=True,  # Ctrl-C is for the run, which ends all in order
                preexec_fn=with_parent(0),
            )
        self.socket = ours

    async def open(self, *about: object) -> None:
        """Tell it what it is; returns once it is up, `NoVerdict` where it cannot be."""
        await self.run.loop.create_connection(lambda: self.pipe, sock=self.socket)
        self.pipe.say("be", self.role, *about)
        await self.opened

    def _said(self, word: str, *more: Any) -> None:
        if word == "records":
            through, batch, is_done, cpu, fired, late, latest = more
            self.now = (time.monotonic(), cpu, fired, late)
            self.latest = latest
            if through > 0.0 and self.began is None:
                self.began = self.now
            self.run.merger.add(self.number, through, unpack(batch))
            if is_done and not self.done.done():
                self.done.set_result(None)
        elif word == "open":
            self.opened.set_result(None)
        elif word == "failed":
            self._fail(f"the {self.role} stand-ins cannot run: {more[0]}")
        elif word == "known":
            self.run.known(*more)
        elif word == "ready" and self.number == 1:
            self.run.ready(*more)

    def _end(self) -> None:
        self._fail(f"the {self.role} stand-ins have ended before the run")

    def _fail(self, why: str) -> None:
        for future in (self.opened, self.done):
            if not future.done():
                future.set_exception(NoVerdict(why))
                future.exception()  # who waits for the other one need not ask for this one

    def health(self) -> Health:
        span = self.now[0] - self.began[0] if self.began else 0.0
        if not self.began or span <= 0.0:
            return Health(self.role, 0.0, 0.0, self.latest)
        cpu, fired, late = (self.now[i] - self.began[i] for i in (1, 2, 3))
        return Health(self.role, cpu / span, late / max(1, fired), self.latest)

    def close(self) -> None:
        """Let it end, which it does once its socket does."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    def wait(self) -> None:
        try:
            self.process.wait(ENDS_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class LiveRun:
    """One run and all its processes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        scenario: Scenario,
        seed: int,
        sink: Callable[[Record], None],
        folder: Path,
        net: int,
    ) -> None:
        self.loop, self.scenario, self.seed = loop, scenario, seed
        self.net, self.plan = net, Plan(net, scenario.proxies.count)
        self.clock = Clock(loop, time.monotonic, time.time, UVLOOP)
        parts = max(1, round(scenario.load.rate / RATE + 0.49))
        self.merger = Merger(1 + 1 + parts, sink)
        self.batch: list[Record] = []
        self.helpers: list[Helper] = []
        self.parts = parts
        self.all_ready = loop.create_future()
        self.asked_known: dict[str, list[Callable[[dict[str, Any]], None]]] = {}
        names = tuple(seat.name for seat in seats(scenario.network, scenario.proxies))
        self.machines = Machines(self.clock, folder, names, scenario.proxies, self._ended, self.batch.append)
        self.tier = Tier(
            self.clock, self.plan, scenario, seed, self.machines, self, self._ask_known, self.batch.append
        )

    async def play(self) -> None:
        """From the first process to the last record; `NoVerdict` where the rehearsal itself fails."""
        self.helpers.append(Helper(self, 0, "fleet"))
        self.helpers += [Helper(self, 1 + part, "members") for part in range(self.parts)]
        about = msgspec.to_builtins(self.scenario)
        await asyncio.gather(
            *(
                helper.open(about, self.seed, self.net, max(0, helper.number - 1), self.parts)
                for helper in self.helpers
            )
        )
        self.tier.open()
        self.machines.sample()
        self._flush()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_S):
                await self.all_ready
        start = time.monotonic() + LEAD_S
        for helper in self.helpers:
            helper.pipe.say("begin", start)
        self.clock.begin(start)
        await asyncio.gather(*(helper.done for helper in self.helpers[1:]))
        await asyncio.sleep(AFTER_S)
        self.merger.end()

    def close(self) -> None:
        """End every process of the run."""
        self.tier.close()
        self.machines.close()
        for helper in self.helpers:
            helper.close()
        for helper in self.helpers:
            helper.wait()

    # The proxies' lives

    def _ended(self, number: int, code: int) -> None:
        self.tier.ended(number, code)

    def _ask_known(self, proxy: str, answer: Callable[[dict[str, Any]], None]) -> None:
        self.asked_known.setdefault(proxy, []).append(answer)
        self.helpers[0].pipe.say("known", proxy)

    def known(self, proxy: str, listed: dict[str, Any]) -> None:
        self.asked_known[proxy].pop(0)(listed)

    def ready(self, proxy: str) -> None:
        self.tier.is_ready(proxy)
        if len(self.tier.ready) == len(self.tier.seats) and not self.all_ready.done():
            self.all_ready.set_result(None)

    def started(self, proxy: str) -> None:
        self._tell("started", proxy)

    def ending(self, proxy: str) -> None:
        self._tell("ending", proxy)

    def dead(self, proxy: str) -> None:
        self._tell("dead", proxy)

    def _tell(self, word: str, proxy: str) -> None:
        for helper in self.helpers[1:]:
            helper.pipe.say(word, proxy)

    def _flush(self) -> None:
        batch, self.batch[:] = list(self.batch), []
        self.merger.add(len(self.helpers), self.clock.now(), batch)
        self.loop.call_later(0.1, self._flush)


def excuse(health: list[Health]) -> str:
    """Why there can be no verdict; "" where the stand-ins kept up."""
    for one in health:
        if one.late > MOST_LATE or one.busy > MOST_BUSY:
            return (
                f"no verdict: the {one.name} stand-ins ran short of CPU ({one.busy:.0%} of a core used, "
                f"{one.late:.1%} of their work over {1000 * LATE_S:.0f} ms late, {one.latest:.2f} s at worst)"
            )
    return ""


async def play_live(
    scenario: Scenario, seed: int, sink: Callable[[Record], None], folder: Path
) -> list[Health]:
    """One live run; its records go to `sink` in the order of their times. How the stand-ins fared.

    `folder` gets the proxies' configurations and logs. `NoVerdict` where a stand-in fails, `OSError` where
    there is no room for a run.
    """
    net, claim = claim_net()
    run = LiveRun(asyncio.get_running_loop(), scenario, seed, sink, folder, net)
    try:
        await run.play()
        return [helper.health() for helper in run.helpers]
    finally:
        run.close()
        claim.close()


def check(scenario: Scenario) -> None:
    """`ValueError` for a scenario that is too large to be played live on this system."""
    proxies, boxes = scenario.proxies.count, scenario.boxes.count
    if any(trouble.kind == "clock" for trouble in scenario.troubles):
        raise ValueError("the clock of one process cannot step alone: play it in virtual time")
    if scenario.proxies.change_by == "files":
        raise ValueError("a file's policy cannot be told from outside of a process: play it in virtual time")
    doors, most = proxies * boxes, resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    if 2 * doors > most:  # as many again for what comes in by them
        raise ValueError(
            f"{boxes} boxes before {proxies} proxies take {doors} listening sockets live, of {most} "
            "descriptors that a process may have: play it in virtual time"
        )


def live(
    scenario: Scenario, seed: int, sink: Callable[[Record], None], folder: Path | None = None
) -> list[Health]:
    """`play_live` on a loop of its own, in a folder that goes with it where none is given.

    `ValueError` for a scenario that is too large for it.
    """
    check(scenario)
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="firvane-")))
        folder.mkdir(parents=True, exist_ok=True)
        runner = stack.enter_context(asyncio.Runner(loop_factory=uvloop.new_event_loop))
        return runner.run(play_live(scenario, seed, sink, folder))
