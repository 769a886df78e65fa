"""One process of stand-ins in a live run: `python -m firvane.simulation.runner.child FD`, from `live.py`.

It is told over the socket FD what it is, and ends when that socket does: no run leaves it behind.
"""

from __future__ import annotations

import asyncio
import gc
import socket
import sys
import time
from typing import Any

import msgspec
import uvloop

from firvane.simulation.emulation.records import Record
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.runner.client_load import Members
from firvane.simulation.runner.clock import UVLOOP, Clock
from firvane.simulation.runner.emulated_fleet import Fleet
from firvane.simulation.runner.listeners import socket_doors
from firvane.simulation.runner.pipe import BATCH_S, Pipe, pack
from firvane.simulation.runner.plan import Plan


class Child:
    """The fleet, or a part of the members."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.clock = Clock(loop, time.monotonic, time.time, UVLOOP)
        self.over = loop.create_future()
        self.pipe = Pipe(self._said, self._end)
        self.batch: list[Record] = []
        self.fleet: Fleet | None = None
        self.members: Members | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def _end(self) -> None:
        if not self.over.done():
            self.over.set_result(None)

    def _said(self, word: str, *more: Any) -> None:
        if word == "be":
            task = self.loop.create_task(self._be(*more))
            self.tasks.add(task)
            task.add_done_callback(self._is)
        elif word == "begin":
            self.clock.begin(more[0])
            if self.members:
                self.members.begin()
        elif word == "known" and self.fleet:
            self.pipe.say("known", more[0], self.fleet.known(more[0]))
        elif word in ("started", "ending", "dead") and self.members:
            getattr(self.members.clients.front, word)(more[0])

    async def _be(self, role: str, raw: Any, seed: int, net: int, part: int, parts: int) -> None:
        scenario = msgspec.convert(raw, Scenario)
        plan = Plan(net, scenario.proxies.count)
        if role == "fleet":
            doors = socket_doors(self.loop)
            self.fleet = Fleet(self.clock, doors, plan, scenario, seed, self.batch.append, has_lag=True)
            await self.fleet.open()
        else:
            self.members = Members(
                self.clock, plan, scenario, seed, self._sink, self._ready, part, parts, resets_tell=True
            )
        # What lives as long as the run need not be looked at in each collection.
        gc.collect()
        gc.freeze()
        self.pipe.say("open")
        self._flush()

    def _is(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()):
            self.pipe.say("failed", f"{type(error).__name__}: {error}")

    def _sink(self, record: Record) -> None:
        self.batch.append(record)

    def _ready(self, proxy: str) -> None:
        self.pipe.say("ready", proxy)

    def _flush(self) -> None:
        """Tell what has been seen, and how the process itself fares."""
        clock = self.clock
        batch, now = pack(self.batch), clock.now()
        self.batch.clear()
        is_done = bool(self.members and self.members.clients.is_done and now > 0.0)
        fired, late, latest = clock.fired, clock.late, clock.latest
        self.pipe.say("records", now, batch, is_done, time.process_time(), fired, late, latest)
        self.loop.call_later(BATCH_S, self._flush)


async def run(fd: int) -> None:
    loop = asyncio.get_running_loop()
    child = Child(loop)
    await loop.create_connection(lambda: child.pipe, sock=socket.socket(fileno=fd))
    await child.over


def main() -> int:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run(int(sys.argv[1])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
