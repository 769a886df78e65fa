"""One run of a scenario, in virtual time or live, judged by its records.

A virtual run is a function of the program, the scenario and the seed: two of them are alike to the last bit
of each record.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import tempfile
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

from firvane.core import logs
from firvane.proxy.config.platform import read_config
from firvane.simulation.emulation.network import Links, seats
from firvane.simulation.emulation.records import Record, Used
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.runner.client_load import Members
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.emulated_fleet import Fleet
from firvane.simulation.runner.listeners import Address
from firvane.simulation.runner.live import NoVerdict, excuse, live
from firvane.simulation.runner.machines import spoil
from firvane.simulation.runner.plan import Plan
from firvane.simulation.runner.result import ClockName, Result, Witness
from firvane.simulation.runner.rolling import Rolling
from firvane.simulation.runner.tier import Tier
from firvane.simulation.runner.virtual import VirtualLoop
from firvane.simulation.runner.virtual_proxy import VirtualProxy
from firvane.simulation.runner.zones import Zones

WALL = 1_800_000_000.0  # Unix time at which virtual time begins
READY_S = 30.0  # s for which clients wait for all proxies at the start
AFTER_S = 1.0  # s after the last try's end in which something may still come
LOOK_S = 0.25  # s from one look whether all has ended to the next
SAMPLE_S = 0.5  # s from one look at what a proxy holds to the next
WATCH_S = 1.0  # s of the run from one word of how it stands to the next
NET = 20
YOUNG = 100_000  # objects made before a collection

Sink = Callable[[Record], None]
Watch = Callable[[Witness], None]


def rehearse(
    scenario: Scenario,
    seed: int,
    clock: ClockName = "virtual",
    *,
    replay: str = "",
    strict: bool | None = None,
    watch: Watch | None = None,
    folder: Path | None = None,
) -> Result:
    """One run and its verdict.

    `replay` is the command that plays it again, `strict` how it is judged (see `Witness`). `watch` is called
    about once a second of the run's time. A live run keeps the proxies' configurations and logs in `folder`.
    `ValueError` for a scenario that cannot be played, `OSError` where there is no room for a live run.
    """
    witness = Witness(scenario, seed, clock, replay=replay, strict=strict)
    sink = watched(witness, watch) if watch else witness.see
    if scenario.roll and clock != "virtual":
        raise ValueError("a roll is played in virtual time: live proxies are rolled by `firvane rollout`")
    if clock == "virtual":
        play_virtual(scenario, seed, sink)
        return witness.result()
    try:
        return witness.result(excuse(live(scenario, seed, sink, folder)))
    except NoVerdict as error:
        return witness.result(str(error))


def watched(witness: Witness, watch: Watch) -> Sink:
    """Shows what it sees to a witness, and the witness to who watches."""
    due = 0.0

    def see(record: Record) -> None:
        nonlocal due
        if record.at >= due:
            due = record.at + WATCH_S
            watch(witness)
        witness.see(record)

    return see


class VirtualMachines:
    """The proxies of a virtual run. `on_ended` hears of each that has ended and was not killed from here."""

    def __init__(
        self, loop: VirtualLoop, names: tuple[str, ...], folder: Path, on_ended: Callable[[int, int], None]
    ) -> None:
        self.loop, self.names, self.folder, self.on_ended = loop, names, folder, on_ended
        self.steps = [0.0] * len(names)  # of the proxies' wall clocks, in s
        self.proxies = [
            VirtualProxy(loop, wall := partial(self._wall, n), self._hears(n), logs.make("error", wall=wall))
            for n in range(len(names))
        ]

    def _wall(self, number: int) -> float:
        return WALL + self.loop.time() + self.steps[number]

    def _hears(self, number: int) -> Callable[[str, int], None]:
        def hear(state: str, code: int) -> None:
            if state == "ended":
                self.on_ended(number, code)

        return hear

    def launch(self, number: int, told: dict[str, Any]) -> None:
        # By way of the file, so that what is read there is what a process would read.
        path = self.folder / f"{self.names[number]}.json"
        path.write_text(json.dumps(told))
        self.proxies[number].start(read_config({"NODE_CONFIG": str(path)}), told.get("policy_epoch", 0))

    def reload(self, number: int, told: dict[str, Any]) -> None:
        path = self.folder / f"{self.names[number]}.json"
        path.write_text(json.dumps(told))
        read = partial(read_config, {"NODE_CONFIG": str(path)}, again=True)
        self.proxies[number].reload(read, told["policy_epoch"])

    def kill(self, number: int) -> None:
        self.proxies[number].kill()

    def end(self, number: int) -> None:
        self.proxies[number].end()

    def spoil(self, number: int, memory: str) -> None:
        spoil(self.folder / f"{self.names[number]}.snapshot", memory)

    def stall(self, number: int) -> None:
        self.proxies[number].stall(True)

    def go_on(self, number: int) -> None:
        self.proxies[number].stall(False)

    def step_clock(self, number: int, seconds: float) -> None:
        self.steps[number] += seconds


class VirtualRun:
    """One run in virtual time; its records go to `sink` as they are made."""

    def __init__(
        self, loop: VirtualLoop, zones: Zones, hosts: dict[str, str], scenario: Scenario, seed: int,
        sink: Sink, folder: Path,
    ) -> None:  # fmt: skip
        """`hosts` is what `zones` knows of the hosts' zones; boxes and proxies are entered here."""
        self.loop, self.scenario, self.sink, self.hosts = loop, scenario, sink, hosts
        self.clock = clock = Clock(loop, loop.time, lambda: WALL + loop.time())
        plan = Plan(NET, scenario.proxies.count)
        bank = seats(scenario.network, scenario.proxies)
        self.names = tuple(seat.name for seat in bank)
        for number, seat in enumerate(bank):
            hosts[plan.listen(number)[0]] = hosts[plan.agent(number)[0]] = seat.zone
        door = loop.memory.door
        self.fleet = Fleet(clock, door, plan, scenario, seed, sink, on_box=self._place)
        self.members = Members(clock, plan, scenario, seed, sink, self._ready)
        self.machines = VirtualMachines(loop, self.names, folder, self._ended)
        self.tier = Tier(
            clock, plan, scenario, seed, self.machines, self.members.clients.front, self._ask_known, sink
        )
        self.all_ready = loop.create_future()
        self.rolling: Rolling | None = None
        if scenario.roll:
            machines = self.machines.proxies
            self.rolling = Rolling(clock, scenario, scenario.roll, self.tier, machines, sink, self._rolled)

    def _place(self, addresses: list[Address], zone: str) -> None:
        for host, _ in addresses:
            self.hosts[host] = zone

    def _ready(self, proxy: str) -> None:
        self.tier.is_ready(proxy)
        if self.rolling:
            self.rolling.ready(proxy)
        if len(self.tier.ready) == len(self.names) and not self.all_ready.done():
            self.all_ready.set_result(None)

    def _ended(self, number: int, code: int) -> None:
        self.tier.ended(number, code)
        if self.rolling:
            self.rolling.ended(self.names[number], code)

    def _rolled(self, now: float) -> None:
        assert self.scenario.roll
        clients = self.members.clients
        clients.until = min(clients.until, now + self.scenario.roll.then_s)

    def _ask_known(self, proxy: str, answer: Callable[[dict[str, Any]], None]) -> None:
        answer(self.fleet.known(proxy))

    async def play(self) -> None:
        """From the proxies' start to the last record."""
        await self.fleet.open()
        self.tier.open()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_S):
                await self.all_ready
        self.clock.begin(self.loop.time())
        self.members.begin()
        if self.rolling:
            self.rolling.begin()
        self.clock.call_at(SAMPLE_S, self._sample)
        while not self.members.clients.is_done:
            await asyncio.sleep(LOOK_S)
        await asyncio.sleep(AFTER_S)

    def _sample(self, now: float) -> None:
        for name, machine in zip(self.names, self.machines.proxies, strict=True):
            if machine.process:
                self.sink(Used(now, name, 0.0, 0, machine.sockets, machine.flows))
        self.clock.call_at(now + SAMPLE_S, self._sample)

    def close(self) -> None:
        self.tier.close()
        self.members.clients.close()
        self.fleet.close()


@contextlib.contextmanager
def few_collections() -> Iterator[None]:
    """A run makes few cycles, and to look for them costs more than they."""
    thresholds = gc.get_threshold()
    gc.set_threshold(YOUNG, *thresholds[1:])
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)


def play_virtual(scenario: Scenario, seed: int, sink: Sink) -> None:
    """One run in virtual time; its records go to `sink` in the order of their times."""
    hosts: dict[str, str] = {}
    zones = Zones(Links(scenario.network, seed), hosts, relayed=True)
    loop = VirtualLoop(zones)

    async def play(folder: Path) -> None:
        run = VirtualRun(loop, zones, hosts, scenario, seed, sink, folder)
        try:
            await run.play()
        finally:
            run.close()

    with (
        few_collections(),
        tempfile.TemporaryDirectory(prefix="firvane-") as folder,
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        runner.run(play(Path(folder)))
