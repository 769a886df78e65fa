"""Boxes and discovery alone, on addresses of one's choosing, to point one's own client or proxy at."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable

import msgspec
import uvloop

from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.runner.backends import Sink
from firvane.simulation.runner.clock import UVLOOP, Clock
from firvane.simulation.runner.emulated_fleet import Fleet
from firvane.simulation.runner.listeners import Address, socket_doors
from firvane.simulation.runner.plan import Plan
from firvane.simulation.runner.wire import AnyJobs


class OwnPlan(Plan):
    """Box number N at the first box's port and N; discovery where it is wanted."""

    def __init__(self, boxes: Address, discovery: Address) -> None:
        super().__init__(0, 1)
        self.first, self.discovery = boxes, discovery

    def agent(self, proxy: int) -> Address:
        return self.discovery

    def box(self, proxy: int, number: int) -> Address:
        return self.first[0], self.first[1] + number


async def serve_stand_ins(
    scenario: Scenario,
    seed: int,
    boxes: Address,
    discovery: Address,
    sink: Sink,
    on_up: Callable[[Fleet], None],
) -> None:
    """Serve them until cancelled. Of the scenario, the boxes and what befalls them, discovery and cuts count.

    `OSError` where an address cannot be had.
    """
    loop = asyncio.get_running_loop()
    proxies = msgspec.structs.replace(scenario.proxies, count=1)
    network = msgspec.structs.replace(scenario.network, peers=False)
    ours = ("kill", "herd", "restart")
    troubles = tuple(trouble for trouble in scenario.troubles if trouble.kind not in ours)
    alone = msgspec.structs.replace(scenario, proxies=proxies, network=network, troubles=troubles)
    clock = Clock(loop, time.monotonic, time.time, UVLOOP)
    low, high = (ms / 1e3 for ms in scenario.load.work_ms)
    jobs = AnyJobs(low, high, scenario.load.body_bytes)
    fleet = Fleet(clock, socket_doors(loop), OwnPlan(boxes, discovery), alone, seed, sink, jobs=jobs)
    try:
        await fleet.open()
        clock.begin(time.monotonic())
        on_up(fleet)
        await loop.create_future()
    finally:
        fleet.close()


def run_stand_ins(
    scenario: Scenario,
    seed: int,
    boxes: Address,
    discovery: Address,
    sink: Sink,
    on_up: Callable[[Fleet], None],
) -> None:
    """The same on a loop of its own, until SIGINT or SIGTERM."""

    async def work() -> None:
        loop = asyncio.get_running_loop()
        standing = loop.create_task(serve_stand_ins(scenario, seed, boxes, discovery, sink, on_up))
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, standing.cancel)
        await asyncio.wait([standing])
        if not standing.cancelled():
            standing.result()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work())
