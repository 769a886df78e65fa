"""What the stand-ins cost a request, in us: `python -m benchmarks.standins`. No proxy, no sockets."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from firvane.simulation.emulation.backend import EmulatedBackend
from firvane.simulation.emulation.clients import ClientPopulation, Try
from firvane.simulation.emulation.scenario import Boxes, Scenario
from firvane.simulation.runner.backends import Connection as ToBox
from firvane.simulation.runner.backends import Host
from firvane.simulation.runner.clients import Clients
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.connections import Connection as ToProxy
from firvane.simulation.runner.steps import seals
from firvane.simulation.runner.wire import quick_answer, quick_ask

REQUESTS, REPEATS = 20_000, 3
PROXY = "proxy-0"


class Wire:
    """A transport that keeps what was written last."""

    def __init__(self) -> None:
        self.data = b""

    def write(self, data: bytes) -> None:
        self.data = data

    def is_closing(self) -> bool:
        return False

    def get_extra_info(self, name: str) -> None: ...

    def close(self) -> None: ...

    abort = close


class Closed:
    """A door that nobody comes through."""

    def accept(self) -> None: ...

    refuse = hang = accept


class Bench:
    """One box and one proxy's clients on a loop that does not run: its clock is moved by hand."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.now = 0.0
        scenario = Scenario(name="bench", boxes=Boxes(connect_s=0.0))  # no timer runs here
        load = scenario.load
        clock = Clock(loop, lambda: self.now, lambda: self.now)
        clock.begin(0.0)
        self.records: list[Any] = []
        sealed = seals(scenario, 1)
        kind = scenario.boxes.kinds[0]
        box = EmulatedBackend("box", kind, scenario.boxes, "ikeja", 1, 0.0, True)
        self.host = Host(
            clock, lambda address, factory: Closed(), box, {PROXY: ("", 0)}, sealed, self.records.append
        )
        population = ClientPopulation(load, scenario.network, scenario.proxies, 1)
        places = {f"proxy-{n}": ("ikeja", ("", 0)) for n in range(scenario.proxies.count)}
        self.clients = Clients(clock, population, places, sealed, 1, self.records.append, lambda proxy: None)
        self.tries = population.tries()
        self.to_box, self.to_proxy = ToBox(self.host.ways[PROXY]), ToProxy(self.clients.banks[PROXY])
        self.box_wire, self.client_wire = Wire(), Wire()
        self.to_box.connection_made(self.box_wire)  # type: ignore[arg-type]
        self.to_proxy.connection_made(self.client_wire)  # type: ignore[arg-type]

    def ask(self, try_: Try) -> bytes:
        """A try leaves its client; what it wrote."""
        self.clients.banks[PROXY].idle = [self.to_proxy]
        self.now = max(self.now, try_.at)
        self.clients._ask(self.now, try_._replace(proxy=PROXY))
        return self.client_wire.data

    def serve(self, data: bytes) -> bytes:
        """A box gets it and answers."""
        self.to_box.data_received(data)
        self.now = max(self.now, self.host.box.next_at())
        self.host.settle(self.now)
        return self.box_wire.data


def best(work: Callable[[], Any], count: int) -> float:
    """us for one of so many, in the best of some repeats."""
    times = []
    for _ in range(REPEATS):
        begun = time.process_time()
        work()
        times.append((time.process_time() - begun) / count * 1e6)
    return min(times)


def main() -> None:
    loop = asyncio.new_event_loop()
    bench = Bench(loop)
    tries = [next(bench.tries) for _ in range(REQUESTS)]
    asked = bench.ask(tries[0])
    answered = bench.serve(asked)
    bench.to_proxy.data_received(answered)

    def parse() -> None:
        for _ in tries:
            quick_ask(asked)
            quick_answer(answered)

    def whole() -> None:
        bench.records.clear()
        for try_ in tries:
            bench.to_proxy.data_received(bench.serve(bench.ask(try_)))

    def draw() -> None:
        for _ in tries:
            next(bench.tries)

    print(f"parsing a request and an answer  {best(parse, REQUESTS):6.1f} us")
    print(f"box, client and their records    {best(whole, REQUESTS):6.1f} us")
    print(f"drawing a try                    {best(draw, REQUESTS):6.1f} us")
    loop.close()


if __name__ == "__main__":
    main()
