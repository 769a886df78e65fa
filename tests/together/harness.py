"""Several processes of the program on loopback, faults between them by name, and waits for what they tell.

It is the live run's own parts (boxes, discovery, the relay, members, the proxies' processes) on the test's
loop. Nothing here waits for seconds: `until` looks for an event in a log, a word at a door or an answer at a
member, and gives a test up after `DEADLINE`.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import socket
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any, TypeVar

from firvane.cli.admin_connection import call
from firvane.proxy.snapshots.file import read
from firvane.simulation.emulation.network import seats
from firvane.simulation.emulation.records import Answered, Arrived, BoxState, Record, Told
from firvane.simulation.emulation.scenario import Boxes, Kind, Load, Network, Proxies, Retries, Scenario
from firvane.simulation.emulation.timeline import Action, Step
from firvane.simulation.runner.client_load import Members
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.emulated_fleet import Fleet
from firvane.simulation.runner.listeners import socket_doors
from firvane.simulation.runner.machines import Machines
from firvane.simulation.runner.plan import Plan, claim_net
from firvane.simulation.runner.tier import Tier

DEADLINE = 40.0  # s after which what a test waits for will not come
LOOK = 0.02  # s from one look to the next
CLAIMS: list[socket.socket] = []


def small(proxies: int = 3, boxes: int = 6, **more: Any) -> Scenario:
    """A fleet that warms up within seconds, at a load that is nothing to this machine."""
    return Scenario(
        name="together", seconds=3600.0, warm_up_s=0.0,
        boxes=Boxes(count=boxes, warm_s=4.0, kinds=(Kind(name="box", share=1.0, cores=2, speed=(1.0, 1.0)),)),
        load=Load(rate=60.0, keys=100, body_bytes=100, work_ms=(15.0, 25.0), retries=Retries(most=1)),
        network=Network(peer_loss=0.0, peer_delay_ms=(0.5, 2.0), discovery_late_s=(0.1, 0.3)),
        proxies=Proxies(**{"count": proxies, "back_s": 3600.0, "recovery": True, "snapshots": True, **more}),
    )  # fmt: skip


class Together:
    """The whole, up and asked; proxies and boxes go by their numbers."""

    def __init__(
        self, scenario: Scenario, folder: Path, net: int, knows: bool, changes: dict[str, Any]
    ) -> None:
        loop = asyncio.get_running_loop()
        self.scenario, self.folder, self.knows, self.changes = scenario, folder, knows, changes
        self.clock = Clock(loop, time.monotonic, time.time)
        self.plan = Plan(net, scenario.proxies.count)
        self.names = [seat.name for seat in seats(scenario.network, scenario.proxies)]
        self.answers: Counter[tuple[str, int]] = Counter()  # by proxy and status
        self.boxes: dict[str, str] = {}  # their last states
        self.arrived: Counter[str] = Counter()  # attempts by box, those that it turned away as well
        self.told: dict[tuple[str, str], str] = {}  # a box's state by proxy, as discovery told it last
        self.fleet = Fleet(self.clock, socket_doors(loop), self.plan, scenario, 1, self._see)
        names, limits = tuple(self.names), scenario.proxies
        self.machines = Machines(self.clock, folder, names, limits, self._ended, self._see)
        self.members = Members(
            self.clock, self.plan, scenario, 1, self._see, lambda name: self.tier.is_ready(name),
            resets_tell=True,
        )  # fmt: skip
        self.tier = Tier(
            self.clock, self.plan, scenario, 1, self, self.members.clients.front,
            lambda name, answer: answer(self.fleet.known(name)), self._see,
        )  # fmt: skip
        self.exits: dict[int, int] = {}
        self.read = dict.fromkeys(range(len(self.names)), 0)  # of each log, up to the last start

    def _see(self, record: Record) -> None:
        if isinstance(record, Answered):
            self.answers[record.proxy, record.status] += 1
        elif isinstance(record, BoxState):
            self.boxes[record.box] = record.state
        elif isinstance(record, Arrived):
            self.arrived[record.box] += 1
        elif isinstance(record, Told):
            self.told[record.proxy, record.box] = record.state

    def _ended(self, number: int, code: int) -> None:
        self.exits[number] = code
        self.tier.ended(number, code)

    # What the tier asks of whoever has the processes

    def launch(self, number: int, told: dict[str, Any]) -> None:
        log = self.folder / f"{self.names[number]}.log"
        self.read[number] = log.stat().st_size if log.exists() else 0
        self.exits.pop(number, None)
        self.machines.launch(number, self.configured(number, told))

    def configured(self, number: int, told: dict[str, Any]) -> dict[str, Any]:
        """What the platform tells it at its start."""
        known = {} if self.knows else {"known": None}
        if "snapshot" in told.get("recovery", {}):
            told["recovery"]["snapshot_every"] = 0.1
        return {**told, **known, **self.changes}

    def kill(self, number: int) -> None:
        self.machines.kill(number)

    def end(self, number: int) -> None:
        self.machines.end(number)

    def spoil(self, number: int, memory: str) -> None:
        self.machines.spoil(number, memory)

    def stall(self, number: int) -> None:
        self.machines.stall(number)

    def go_on(self, number: int) -> None:
        self.machines.go_on(number)

    def step_clock(self, number: int, seconds: float) -> None: ...

    def reload(self, number: int, told: dict[str, Any]) -> None: ...

    # Faults by name

    def off(self, *proxies: int, boxes: bool = False, memory: str = "kept") -> None:
        """Power goes from these proxies, or from all boxes, or both. Boxes that drain keep theirs: who
        still sends to them is seen there."""
        for number in proxies:
            self.tier.strike(Step(0.0, Action.KILL, proxy=self.names[number], memory=memory))
        if boxes:
            for name in self.powered():
                self.fleet.strike(Step(0.0, Action.SILENCE, name))

    def powered(self) -> list[str]:
        return [name for name, host in self.fleet.hosts.items() if not host.box.draining]

    def boxes_back(self) -> None:
        """Power returns to the boxes, which are cold."""
        for name in self.powered():
            self.fleet.strike(Step(0.0, Action.RESTART, name))

    def back(self, *proxies: int) -> None:
        for number in proxies:
            self.tier.strike(Step(0.0, Action.LAUNCH, proxy=self.names[number]))

    def links(self, number: int, lost: bool, way: str = "both") -> None:
        """All datagrams of a proxy are lost from now on, on their way "out", "in" or both; or come again."""
        until = self.clock.now() + 3600.0 if lost else 0.0
        for name in self.names:
            pairs = {"out": [(self.names[number], name)], "in": [(name, self.names[number])]}
            for a, b in pairs.get(way, pairs["out"] + pairs["in"]):
                self.fleet.relay.strike(a, b, until, 0.0)

    def discovery(self, away: bool, older: bool = False) -> None:
        for agent in self.fleet.agents.values():
            if away:
                agent.silence()
            else:
                agent.speak(older)

    async def drain(self, box: str) -> None:
        """It drains, and all proxies know it, on their disks as well."""
        self.fleet.strike(Step(0.0, Action.DRAIN, box))

        def known() -> bool:
            files = [self.folder / f"{name}.snapshot" for name in self.names]
            told = all(self.told.get((name, box)) == "draining" for name in self.names)
            return told and all("draining" in str(read(f).listed) for f in files if f.exists())

        await self.until(f"the drain of {box} everywhere", known)
        await self.serves(*range(len(self.names)))  # they have read it, too

    def terminate(self, *proxies: int) -> None:
        for number in proxies:
            self.machines.processes[number].send_signal(signal.SIGTERM)

    # What is waited for

    def door(self, number: int) -> tuple[str, int]:
        return self.plan.ops(number)

    async def ask(self, number: int, line: str = "recovery") -> str:
        """What its door says; "" where it says nothing."""
        try:
            return await asyncio.to_thread(call, self.door(number), line)
        except OSError:
            return ""

    async def status(self, number: int) -> dict[str, str]:
        """Where it is on its course."""
        lines = (line.partition(" ") for line in (await self.ask(number)).splitlines())
        return {name: value for name, _, value in lines}

    def log(self, number: int) -> str:
        """What it has said since its last start."""
        path = self.folder / f"{self.names[number]}.log"
        return path.read_bytes()[self.read[number] :].decode() if path.exists() else ""

    async def until(self, what: str, found: Callable[[], Any]) -> Any:
        """What `found` gives once that is true; `AssertionError` with all logs where it never is."""
        end = time.monotonic() + DEADLINE
        while True:
            got = found()
            got = await got if asyncio.iscoroutine(got) else got
            if got:
                return got
            if time.monotonic() > end:
                logs = "\n".join(f"--- {n}\n{self.log(n)[-1500:]}" for n in range(len(self.names)))
                raise AssertionError(f"waited in vain for {what}; boxes {self.boxes}\n{logs}")
            await asyncio.sleep(LOOK)

    async def said(self, number: int, *words: str) -> str:
        """The first line of its log since its last start that has all of these words."""

        def found() -> str:
            lines = self.log(number).splitlines()
            return next((line for line in lines if all(word in line for word in words)), "")

        return str(await self.until(f"{words} in the log of {self.names[number]}", found))

    async def reaches(self, state: str, *proxies: int) -> None:
        """Each of them has been in that state since its last start."""
        for number in proxies:
            await self.said(number, "event=recovery", f"now={state}")

    async def in_state(self, state: str, number: int) -> dict[str, str]:
        """Its status, once its door says that it is in that state."""

        async def found() -> dict[str, str]:
            status = await self.status(number)
            return status if status.get("state") == state else {}

        return dict(await self.until(f"{state} at {self.names[number]}", found))

    async def serves(self, *proxies: int, more: int = 5) -> None:
        """Each of them answers so many more requests with their answers."""
        wanted = {n: self.answers[self.names[n], 200] + more for n in proxies}
        for number, count in wanted.items():
            name = self.names[number]
            await self.until(f"{more} answers from {name}", lambda n=name, c=count: self.answers[n, 200] >= c)

    async def written(self, number: int) -> Path:
        """Its snapshot, once there is a new one."""
        path = self.folder / f"{self.names[number]}.snapshot"
        before = path.stat().st_mtime_ns if path.exists() else 0
        await self.until(f"{path.name}", lambda: path.exists() and path.stat().st_mtime_ns > before)
        return path

    async def gone(self, *proxies: int) -> list[int]:
        """Their exit codes, once they have ended."""
        await self.until("their ends", lambda: all(n in self.exits for n in proxies))
        return [self.exits[n] for n in proxies]

    def states(self, number: int) -> list[str]:
        """The states that it has said since its last start that it came to."""
        return re.findall(r"event=recovery .*?now=(\w+)", self.log(number))


T = TypeVar("T", bound=Together)


@contextlib.asynccontextmanager
async def together(
    folder: Path,
    scenario: Scenario | None = None,
    knows: bool = True,
    kind: Callable[..., T] = Together,  # type: ignore[assignment]
    **changes: Any,
) -> AsyncIterator[T]:
    """All of it, until the test is over; `knows`: proxies are told the list as last known when they start,
    `changes` go into each proxy's configuration. `kind` is made with what `Together` is made with."""
    net, claim = claim_net()
    CLAIMS.append(claim)  # kept: the next test has a net of its own, whatever this one's sockets still do
    whole = kind(scenario or small(), folder, net, knows, changes)
    try:
        await whole.fleet.open()
        whole.clock.begin(time.monotonic())
        whole.tier.open()
        whole.members.begin()
        yield whole
    finally:
        whole.tier.close()
        whole.machines.close()
        whole.members.clients.close()
        whole.fleet.close()
        await asyncio.sleep(0)


def enough_descriptors() -> None:
    """For a small fleet in this process."""
    import resource

    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 1 << 16), hard))


def run(work: Any) -> None:
    """On the loop that a test is given, with descriptors for a small fleet."""
    enough_descriptors()
    asyncio.run(work)
