"""What each thing that the proxy holds costs in memory: RSS before and after, over their number.

The figures stand in `firvane/proxy/limits/memory_costs.py`, rounded up. A run grows one kind of thing on a
proxy of its own, from none over 100, 500 and 1,000 to 2,000, after a warm-up in which every path runs.
Nothing is given back meanwhile. What the start has left free is used first, so the last step tells best what
one more costs. What the kernel holds for sockets is not in it.
"""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from benchmarks.rig.answers import Answer, Answers
from benchmarks.rig.procs import Child, Cores, Usage
from benchmarks.rig.proxy import Limits, Proxy, name_of

NUMBERS = (100, 500, 1000, 2000)
BEHIND = 10  # requests that wait behind the one that is out, on each connection
AIM_MS, GIVE_UP_MS, HELD_MS = 50_000, 60_000, 40_000  # of the class; for which a box holds an answer
AT_ONCE = 20  # requests written before the boxes are asked how many have come
SETTLE = 0.3  # s until what was begun stands
REPORT = 11.0  # s in which a line of figures comes: the second one takes longest
HELD = re.compile(r"\bheld (\d+(?:\.\d+)?) MB|\bheld_mb[\"']?[=:] ?(\d+(?:\.\d+)?)")


class Client:
    """One connection that asks when told to."""

    serial = int(time.time()) << 24

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @classmethod
    async def make(cls, port: int) -> Client:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    def ask(self, url: str) -> None:
        Client.serial += 1
        fields = f"Host: a\r\nX-Call-Id: {Client.serial:016x}\r\nX-Budget-Ms: {GIVE_UP_MS}\r\n"
        self.writer.write(f"GET {url} HTTP/1.1\r\n{fields}\r\n".encode())

    async def answer(self) -> Answer:
        """The next answer, whole; `OSError` where the connection ends before."""
        answers = Answers()
        while not (whole := answers.feed(data := await self.reader.read(1 << 16))):
            if not data:
                raise ConnectionError("closed by the proxy")
        return whole[0]


class Bench:
    """One proxy with its boxes, and the connections to it."""

    def __init__(self, proxy: Proxy, boxes: Child, discovery: Child) -> None:
        self.proxy, self.boxes, self.discovery = proxy, boxes, discovery
        self.clients: list[Client] = []

    async def connect(self, number: int) -> None:
        """As many connections, each of which has asked once."""
        while len(self.clients) < number:
            self.clients.append(await Client.make(self.proxy.port))
            self.clients[-1].ask("/up")
            await self.clients[-1].answer()

    async def warm_up(self) -> None:
        """Have every path run, so that what is made only once is there, and wait until the proxy has given
        back what it took: where it is late with that, what comes next seems to cost less than nothing."""
        before = self.descriptors() - await self.count("connections")
        some = [await Client.make(self.proxy.port) for _ in range(20)]
        for _ in range(5):
            for client in some:
                client.ask("/read/x?wait=20")
            for client in some:
                await client.answer()
        for client in some:
            client.writer.close()
        while self.descriptors() > before + await self.count("connections"):
            await asyncio.sleep(0.005)

    async def count(self, what: str) -> int:
        """`connections` to the boxes, or `open` requests there."""
        return int((await self.boxes.ask(do="count"))[what])

    async def send_out(self, begin: int, end: int) -> None:
        """A request from each of these clients, until all of them stand at boxes."""
        for at in range(begin, end, AT_ONCE):
            for client in self.clients[at : min(at + AT_ONCE, end)]:
                client.ask(f"/read/x?wait={HELD_MS}")
            while await self.count("open") < min(at + AT_ONCE, end):
                await asyncio.sleep(0.005)

    def descriptors(self) -> int:
        return Usage.of(self.proxy.pid).descriptors

    def rss(self) -> float:
        return Usage.of(self.proxy.pid).rss

    async def held(self) -> float | None:
        """MB that the next line of figures says are held; None where they say nothing of it."""
        at, end = len(self.proxy.log), time.monotonic() + REPORT
        while time.monotonic() < end:
            for line in self.proxy.log[at:]:
                at += 1
                if match := HELD.search(line):
                    return float(match[1] or match[2])
            await asyncio.sleep(0.05)
        return None


async def idle_clients(bench: Bench) -> AsyncIterator[int]:
    """A client connection that has asked once and stands idle."""
    yield 0
    for number in NUMBERS:
        await bench.connect(number)
        yield number


async def open_flows(bench: Bench) -> AsyncIterator[int]:
    """A request that is out at a box, with its connection there; its client's stood before."""
    await bench.connect(NUMBERS[-1])
    yield 0
    out = 0
    for number in NUMBERS:
        await bench.send_out(out, number)
        out = number
        yield number


async def waiting_requests(bench: Bench) -> AsyncIterator[int]:
    """A request behind one that is out, ten to a connection, with its bytes; all else stood before."""
    await bench.connect(NUMBERS[-1] // BEHIND)
    await bench.send_out(0, len(bench.clients))
    yield 0
    at = 0
    for number in NUMBERS:
        for client in bench.clients[at : number // BEHIND]:
            for _ in range(BEHIND):
                client.ask("/read/x")
        at = number // BEHIND
        yield number


async def idle_targets(bench: Bench) -> AsyncIterator[int]:
    """A connection to a box that has answered and stands idle."""
    few = [await Client.make(bench.proxy.port) for _ in range(4)]

    async def once(at: int) -> None:
        few[at].ask("/read/x?wait=1")
        try:
            ended = (await few[at].answer()).close
        except OSError:
            ended = True
        if ended:
            few[at] = await Client.make(bench.proxy.port)

    begin = await bench.count("connections")
    yield 0
    for number in NUMBERS[:-1]:  # that many requests take long beside a long list
        while (stand := await bench.count("connections") - begin) < number:
            # Requests go to boxes by chance: fewer and fewer find one that has no connection yet.
            await asyncio.gather(*map(once, range(len(few))))
        yield stand


async def listed_boxes(bench: Bench) -> AsyncIterator[int]:
    """An entry of discovery's list, with what the decisions keep of it."""
    yield 0
    for number in NUMBERS:
        bench.discovery.tell(do="bulk", entries=number, lines=1)
        await asyncio.sleep(1.5)  # the watch is taken up anew
        yield number


# With the boxes that each needs, and no more: a list leaves free pages behind. Flows and connections to
# targets may have a box of their own.
KINDS: dict[str, tuple[Callable[[Bench], AsyncIterator[int]], int]] = {
    "idle-client": (idle_clients, 8),
    "waiting": (waiting_requests, 300),
    "flow": (open_flows, 2000),
    "idle-target": (idle_targets, 1250),
    "box": (listed_boxes, 8),
}


async def measure(root: Path, kind: str, limits: Limits, cores: Cores) -> dict[str, Any]:
    """One kind of thing: its number, and the proxy's RSS and own account in MB, at each step."""
    async with AsyncExitStack() as stack:
        run, number = KINDS[kind]
        boxes = await Child.start(
            "backends", {"boxes": number, "size": 200, "wait_ms": 1, "seed": 1}, cores.rest
        )
        stack.push_async_callback(boxes.stop)
        discovery = await Child.start("discovery", {"ports": boxes.ready["ports"]}, cores.rest)
        stack.push_async_callback(discovery.stop)
        proxy = await Proxy.start(root, limits, cores, discovery.ready["ports"], AIM_MS, GIVE_UP_MS)
        stack.push_async_callback(proxy.stop)
        bench = Bench(proxy, boxes, discovery)
        await bench.warm_up()
        steps, held = list[tuple[int, float]](), list[float | None]()
        async for number in run(bench):
            await asyncio.sleep(SETTLE)
            steps.append((number, bench.rss()))
            if number == 0:
                held.append(await bench.held())
        held.append(await bench.held())
        (_, nothing), *rest = steps
        before, after = held
        (first, low), (last, high) = steps[-2:]
        return {
            "root": name_of(root),
            "kind": kind,
            "limits": {"memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "nothing_mb": nothing,
            "more": (high - low) * (1 << 20) / (last - first),
            "bytes": {str(number): (rss - nothing) * (1 << 20) / number for number, rss in rest},
            "accounted": None
            if before is None or after is None
            else (after - before) * (1 << 20) / rest[-1][0],
        }
