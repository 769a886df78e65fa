"""Greedy clients, each in a process of its own and each by its name.

    python -m benchmarks.rig.abusive_clients \
        '{"greed": "pipe5", "port": 8080, "begin": 2, "end": 7, "seed": 1}'

`begin` and `end` count from the instant that it is told to begin at. What is greedy about a target, discovery
or a peer is asked for here as well: `Greed.orders` are for discovery, and `peer` is a peer's own port.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import socket
import sys
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import uvloop

from benchmarks.rig.answers import Answers
from benchmarks.rig.procs import say, told_to_begin

BATCH = 500  # requests that a pipelining client writes at once
WINDOW = 4096  # bytes of a small receive buffer; the kernel doubles it
BIG = 65_000  # bytes of a large answer: just below the most that a body may hold


class Crowd:
    """What the clients of one greed share: the way to the proxy, their ids and what they count."""

    def __init__(self, spec: dict[str, Any]) -> None:
        self.loop, self.port = asyncio.get_running_loop(), int(spec["port"])
        self.own_peer, self.peer = int(spec["peer_listen"]), int(spec["peer"])
        self.end = float(spec["end"])
        self.random = random.Random(spec["seed"])
        self.counts: Counter[str] = Counter()
        self.serial = itertools.count(self.random.getrandbits(31) << 32)

    @property
    def on(self) -> bool:
        return time.monotonic() < self.end

    def request(
        self, url: bytes = b"/read/x", more: bytes = b"", method: bytes = b"GET", budget: int = 2000
    ) -> bytes:
        self.counts["requests"] += 1
        own = (next(self.serial), budget, self.random.randrange(500))
        fields = b"Host: a\r\nX-Call-Id: %016x\r\nX-Budget-Ms: %d\r\nX-Route-Hash: %08x\r\n" % own
        return b"%s %s HTTP/1.1\r\n%s%s\r\n" % (method, url, fields, more)

    async def dial(self, window: int = 0) -> socket.socket:
        """A connection; one that is refused is tried again while the greed lasts."""
        while True:
            sock = socket.socket()
            sock.setblocking(False)
            if window:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
            try:
                await self.loop.sock_connect(sock, ("127.0.0.1", self.port))
            except OSError:
                sock.close()
                self.counts["connects refused"] += 1
                await asyncio.sleep(0.05)
                continue
            self.counts["connects"] += 1
            return sock

    async def many(self, number: int, client: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """As many clients at once; each begins anew when its connection has ended."""

        async def again() -> None:
            while self.on:
                with contextlib.suppress(OSError, ValueError):
                    await client()
                self.counts["ended"] += 1
                await asyncio.sleep(0.005)

        await asyncio.gather(*(again() for _ in range(number)))

    async def read(self, sock: socket.socket) -> None:
        """Read and count what comes, to the end of the connection."""
        answers = Answers()
        while data := await self.loop.sock_recv(sock, 1 << 16):
            for answer in answers.feed(data):
                self.counts[str(answer.status)] += 1

    async def blast(self, make: Callable[[], bytes], reads: bool, window: int = 0) -> None:
        """Write without a pause, reading beside it or never; the end of the reader is the end of it all."""
        with await self.dial(window) as sock:
            reader = self.loop.create_task(self.read(sock)) if reads else None
            try:
                while self.on and not (reader and reader.done()):
                    data = make()
                    await self.loop.sock_sendall(sock, data)
                    self.counts["bytes"] += len(data)
            finally:
                if reader:
                    reader.cancel()

    # Greedy clients

    async def burst(self) -> None:
        """One connection with 10,000 requests in one segment, read to the end."""

        async def client() -> None:
            with await self.dial() as sock:
                reader = self.loop.create_task(self.read(sock))
                await self.loop.sock_sendall(sock, b"".join(self.request() for _ in range(10_000)))
                await reader

        await self.many(1, client)

    async def pipe(self, number: int, reads: bool) -> None:
        """Requests in batches of 500 that follow each other without a pause."""

        def batch() -> bytes:
            return b"".join(self.request() for _ in range(BATCH))

        await self.many(number, lambda: self.blast(batch, reads))

    async def slow(self) -> None:
        """300 connections that send a byte a second."""

        async def client() -> None:
            with await self.dial() as sock:
                reader = self.loop.create_task(self.read(sock))
                try:
                    for byte in self.request():
                        await self.loop.sock_sendall(sock, bytes((byte,)))
                        await asyncio.wait((reader,), timeout=1.0)
                        if reader.done() or not self.on:
                            break
                finally:
                    reader.cancel()

        await self.many(300, client)

    async def window(self) -> None:
        """100 connections with a window of 4 kB that ask on for answers of 64 KiB and never read."""
        url = b"/read/x?size=%d" % BIG

        def few() -> bytes:
            return b"".join(self.request(url) for _ in range(20))

        await self.many(100, lambda: self.blast(few, False, WINDOW))

    async def just(self) -> None:
        """100 connections that read answers of 64 KiB just fast enough to stay: each finds that speed."""
        url = b"/read/x?size=%d" % BIG

        async def client() -> None:
            patience = 3.0  # s for one answer
            while self.on:
                with await self.dial(WINDOW) as sock:
                    try:
                        while self.on:
                            await self.loop.sock_sendall(sock, self.request(url))
                            answers = Answers()
                            while not (whole := answers.feed(data := await self.loop.sock_recv(sock, 4096))):
                                if not data:
                                    raise ConnectionError
                                await asyncio.sleep(patience * len(data) / BIG)
                            self.counts[str(whole[0].status)] += 1
                            if whole[0].close:
                                break
                            patience *= 1.02
                    except OSError:
                        self.counts["cut"] += 1
                        patience *= 0.8

        await self.many(100, client)

    async def expect(self) -> None:
        """20 connections with POSTs that expect a 100, in series and without a pause."""
        body, more = b"x" * 1000, b"Expect: 100-continue\r\nContent-Length: 1000\r\n"

        def series() -> bytes:
            return b"".join(self.request(b"/pay/x", more, b"POST") + body for _ in range(50))

        await self.many(20, lambda: self.blast(series, True))

    async def chunks(self) -> None:
        """5 connections with bodies of 60,000 bytes in chunks of one byte."""
        body = b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n"
        await self._posts(body)

    async def extensions(self) -> None:
        """5 connections with chunks of one byte that bring 16 kB of extension each."""
        body = (b"1;" + b"e" * 16_384 + b"\r\nx\r\n") * 64 + b"0\r\n\r\n"
        await self._posts(body)

    async def _posts(self, body: bytes) -> None:
        more = b"Transfer-Encoding: chunked\r\n"
        await self.many(5, lambda: self.blast(lambda: self.request(b"/pay/x", more, b"POST") + body, True))

    async def silent(self) -> None:
        """600 connections that say nothing, and each anew as soon as it is closed."""

        async def client() -> None:
            with await self.dial() as sock:
                async with asyncio.timeout_at(self.loop.time() + self.end - time.monotonic()):
                    await self.loop.sock_recv(sock, 100)

        await self.many(600, client)

    # Greedy targets

    async def drip(self) -> None:
        """Targets that send a byte at a time to clients that are gone: 20 such requests at any time."""

        async def client() -> None:
            with await self.dial() as sock:
                await self.loop.sock_sendall(sock, self.request(b"/read/x?do=drip"))
                await asyncio.sleep(0.05)

        await self.many(20, client)

    async def _asks(self, url: bytes) -> None:
        async def client() -> None:
            with await self.dial() as sock:
                answers = Answers()
                while self.on:
                    await self.loop.sock_sendall(sock, self.request(url, budget=500))
                    while not (whole := answers.feed(data := await self.loop.sock_recv(sock, 1 << 16))):
                        if not data:
                            return
                    self.counts[str(whole[0].status)] += 1

        await self.many(20, client)

    async def interim(self) -> None:
        """Targets that send 1xx answers without end, for 20 requests at any time."""
        await self._asks(b"/read/x?do=interim")

    async def trailers(self) -> None:
        """Targets that send trailers without end, for 20 requests at any time."""
        await self._asks(b"/read/x?do=trailers")

    # A greedy peer

    async def datagrams(self) -> None:
        """Datagrams from a peer's address at any rate: noise, and rows that the proxy itself has sent."""
        rows = [b""]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.bind(("127.0.0.1", self.peer))
            sock.setblocking(False)
            while self.on:
                with contextlib.suppress(OSError):
                    rows = [*rows[-3:], sock.recv(512)]
                    self.counts["rows heard"] += 1
                for _ in range(200):
                    row = self.random.choice(rows)
                    noise = self.random.randbytes(self.random.randrange(257))
                    # Byte 1 of a row are its flags, 3 to 10 its sequence: later each time, so that it counts,
                    # and now and then one that asks for an answer.
                    flags, sequence = bytes((self.random.randrange(4),)), time.time_ns().to_bytes(8, "little")
                    told = row[:1] + flags + row[2:3] + sequence + row[11:] if row else noise
                    data = told if self.random.random() < 0.5 else noise
                    try:
                        sock.sendto(data, ("127.0.0.1", self.own_peer))
                        self.counts["datagrams"] += 1
                    except OSError:
                        self.counts["not sent"] += 1
                await asyncio.sleep(0)

    async def nothing(self) -> None:
        """Nothing of a client's own: the greed is in the orders."""


@dataclass(frozen=True)
class Greed:
    """One greed: what its clients do, and what the boxes' process and the operator do beside them."""

    text: str
    run: Callable[[Crowd], Coroutine[Any, Any, None]] = Crowd.nothing
    orders: tuple[dict[str, Any], ...] = ()
    reloads: bool = False  # SIGHUP with discovery at another address, every 0.3 s


MANY = {"entries": 100_000}
GREEDS: dict[str, Greed] = {
    "burst": Greed("one connection, 10,000 requests in one segment", Crowd.burst),
    "pipe1": Greed("1 connection pipelines as fast as it can, reading", lambda crowd: crowd.pipe(1, True)),
    "pipe5": Greed("5 connections pipeline as fast as they can, reading", lambda crowd: crowd.pipe(5, True)),
    "blind1": Greed("1 connection pipelines and never reads", lambda crowd: crowd.pipe(1, False)),
    "blind5": Greed("5 connections pipeline and never read", lambda crowd: crowd.pipe(5, False)),
    "slow": Greed("300 connections send a byte a second", Crowd.slow),
    "window": Greed("100 ask for 64 KiB with a window of 4 kB, never read", Crowd.window),
    "just": Greed("100 read 64 KiB just fast enough to stay", Crowd.just),
    "expect": Greed("20 send POSTs with Expect in series", Crowd.expect),
    "chunks": Greed("5 send bodies in chunks of one byte", Crowd.chunks),
    "extensions": Greed("5 send chunks with 16 kB of extension", Crowd.extensions),
    "silent": Greed("600 connect and say nothing", Crowd.silent),
    "drip": Greed("targets send a byte at a time, clients gone", Crowd.drip),
    "interim": Greed("targets send 1xx without end", Crowd.interim),
    "trailers": Greed("targets send trailers without end", Crowd.trailers),
    "list": Greed("discovery: 100,000 entries in a line", orders=({"do": "bulk", **MANY, "lines": 1},)),
    "lines": Greed("discovery: 100,000 entries in 20 lines", orders=({"do": "bulk", **MANY, "lines": 20},)),
    "endless": Greed("discovery: a line without end", orders=({"do": "endless"},)),
    "datagrams": Greed("datagrams at any rate from a peer's address", Crowd.datagrams),
    "changes": Greed(
        "a list change every 30 ms, SIGHUP every 0.3 s",
        orders=({"do": "flap", "every_ms": 90},),
        reloads=True,
    ),
}
# The greeds that go on together: all but those that leave the proxy no list to change.
ALL = tuple(name for name in GREEDS if name not in ("list", "lines", "endless"))


async def main(spec: dict[str, Any]) -> None:
    crowd = Crowd(spec)
    begin = await told_to_begin()
    crowd.end += begin
    await asyncio.sleep(max(0.0, begin + spec["begin"] - time.monotonic()))
    try:
        async with asyncio.timeout(max(0.0, crowd.end - time.monotonic()) + 0.2):
            await GREEDS[spec["greed"]].run(crowd)
    except TimeoutError:
        pass
    say(counts=dict(crowd.counts), cpu=time.process_time())
    os._exit(0)  # without waiting for what hangs on the proxy


if __name__ == "__main__":
    uvloop.run(main(json.loads(sys.argv[1])))
