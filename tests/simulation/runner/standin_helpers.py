"""What the tests of the stand-ins share: a clock on a virtual loop, one box, and proxies written by hand."""

from __future__ import annotations

import asyncio
import functools
import inspect
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from firvane.simulation.emulation.backend import EmulatedBackend
from firvane.simulation.emulation.clients import ClientPopulation
from firvane.simulation.emulation.records import Record
from firvane.simulation.emulation.scenario import Boxes, Kind, Load, Network, Proxies, Retries
from firvane.simulation.runner.backends import Host
from firvane.simulation.runner.clients import Clients
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.virtual import VirtualLoop
from firvane.simulation.runner.wire import Seals
from tests.simulation.runner.virtual_helpers import CLIENT, Net, Noted, virtual

R = TypeVar("R")
SEALS = Seals(1, "view", 100)
KIND = Kind(name="plain", share=1.0, cores=1, speed=(1.0, 1.0))
BOXES = Boxes(kinds=(KIND,), connect_work_ms=0.0, connect_s=0.0, remembers_s=(1e-9, 1e-9), warm_s=10.0)
BOX = {"n0": ("10.0.0.1", 80), "n1": ("10.0.0.1", 81)}
NO_RETRIES = Retries(how="none")


def request(call: str = "c1", work: float = 0.1, path: bytes = b"") -> bytes:
    path = path or SEALS.path(call.encode(), "k", work)
    return b"GET %s HTTP/1.1\r\nHost: b\r\nX-Call-Id: %s\r\n\r\n" % (path, call.encode())


class Bench:
    """A virtual loop with a clock that runs, and what the stand-ins have recorded."""

    def __init__(self, loop: VirtualLoop, net: Net) -> None:
        self.loop, self.net = loop, net
        self.clock = Clock(loop, loop.time, loop.time)
        self.clock.begin(0.0)
        self.records: list[Record] = []
        self.ready: list[str] = []  # the proxies, as the front found them so

    def of(self, kind: type[R]) -> list[R]:
        return [record for record in self.records if isinstance(record, kind)]

    def host(self, boxes: Boxes = BOXES, warm: bool = True) -> Host:
        box = EmulatedBackend("b1", KIND, boxes, "a", 1, 0.0, warm)
        host = Host(self.clock, self.loop.memory.door, box, BOX, SEALS, self.records.append)
        host.open()
        return host

    async def dial(self, proxy: str = "n0") -> Noted:
        _, made = await self.loop.create_connection(Noted, *BOX[proxy], local_addr=(CLIENT, 0))
        return made

    async def hangs(self, proxy: str = "n0") -> bool:
        """Whether a dial is neither taken nor refused for 2 s."""
        try:
            async with asyncio.timeout(2.0):
                await self.dial(proxy)
        except TimeoutError:
            return True
        except OSError:
            pass
        return False

    def clients(self, load: Load, proxies: int = 1, **more: Any) -> Clients:
        """The members of a load, with proxies at 10.1.0.N:80 in one zone."""
        network = Network(zones=("a",))
        population = ClientPopulation(load, network, Proxies(count=proxies), 1)
        places = {f"proxy-{n}": ("a", (f"10.1.0.{n}", 80)) for n in range(proxies)}
        return Clients(
            self.clock, population, places, SEALS, 1, self.records.append, self.ready.append, **more
        )


class HandProxy(asyncio.Protocol):
    """A proxy on one connection: it says that it is up, notes what else it is asked, and answers as told."""

    def __init__(self, log: list[tuple[HandProxy, str]], answers: Callable[[HandProxy, str], None]) -> None:
        self.log, self.answers = log, answers
        self.transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        if data.startswith(b"GET /up "):
            self.say(200, b"up")
            return
        call = data.partition(b"X-Call-Id: ")[2].partition(b"\r\n")[0].decode()
        self.log.append((self, call))
        self.answers(self, call)

    def say(self, status: int, body: bytes, more: bytes = b"") -> None:
        head = b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, more, len(body))
        self.transport.write(head + body)


def serve(proxy: HandProxy, call: str) -> None:
    proxy.say(200, SEALS.body(call.encode()))


def benched(seconds: float = 0.01) -> Callable[[Callable[..., Coroutine[Any, Any, None]]], Any]:
    """Runs a test in virtual time, with hosts so many seconds apart; it is handed a bench first."""

    def decorate(work: Callable[..., Coroutine[Any, Any, None]]) -> Any:
        @virtual
        @functools.wraps(work)
        async def within(loop: VirtualLoop, net: Net, *args: Any, **more: Any) -> None:
            net.seconds = seconds
            await work(Bench(loop, net), *args, **more)

        parameters = [*inspect.signature(work).parameters.values()][1:]
        within.__signature__ = inspect.Signature(parameters)
        return within

    return decorate
