"""Stand-in boxes, in a process of their own.

A request says in its query how its box is to behave, so that greedy answers come to greedy clients alone and
all else that the usual clients feel is the proxy's doing: `size=BYTES`, `wait=MS`, `do=drip` (a byte at a
time), `do=interim` (1xx answers without end), `do=trailers` (trailers without end).

    python -m benchmarks.rig.backends '{"boxes": 8, "size": 2000, "wait_ms": 5, "seed": 1}'

An order `{"do": "count"}` is answered with the connections that stand, the requests that are open, and those
that have come.
"""

from __future__ import annotations

import asyncio
import json
import random
import re
import sys
from typing import Any, cast

import uvloop

from benchmarks.rig.procs import orders, say

HOST = "127.0.0.1"
QUERY = re.compile(rb"[?&](size|wait|do)=(\w+)")
LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
DRIP = 0.01  # s from one byte to the next
FLOOD = b"HTTP/1.1 102 Processing\r\nX-More: %s\r\n\r\n" % (b"m" * 200)
TRAILER = b"X-More: %s\r\n" % (b"m" * 1000)
BURST = 16 * 1024  # bytes of what has no end written at once


class Fleet:
    """What all boxes share: the plain answer, and the draws of how long one takes."""

    def __init__(self, size: int, wait: float, seed: int) -> None:
        self.size, self.wait, self.random = size, wait, random.Random(seed)
        self.plain = self.answer(size)
        self.connections = self.open = self.requests = 0

    @staticmethod
    def answer(size: int) -> bytes:
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n"
        return head % size + b"x" * size


class Box(asyncio.Protocol):
    """One connection: one request at a time, answered after its time unless the other side has hung up."""

    def __init__(self, fleet: Fleet, loop: asyncio.AbstractEventLoop) -> None:
        self.fleet, self.loop = fleet, loop
        self.rest, self.timer = b"", cast(asyncio.TimerHandle | None, None)
        self.full = self.busy = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.fleet.connections += 1

    def connection_lost(self, error: Exception | None) -> None:
        self.fleet.connections -= 1
        if self.timer:
            self.timer.cancel()
        self.fleet.open -= self.busy

    def pause_writing(self) -> None:
        self.full = True

    def resume_writing(self) -> None:
        self.full = False

    def data_received(self, data: bytes) -> None:
        data = self.rest + data if self.rest else data
        head = data.find(b"\r\n\r\n")
        length = LENGTH.search(data, 0, head) if head >= 0 else None
        end = head + 4 + (int(length[1]) if length else 0)
        if head < 0 or len(data) < end:
            self.rest = data
            return
        self.rest = data[end:]
        self.fleet.requests += 1
        self.fleet.open += not self.busy
        self.busy = True
        asked = dict(QUERY.findall(data, 0, data.find(b" HTTP/1.1")))
        wait = int(asked[b"wait"]) / 1000 if b"wait" in asked else self.fleet.wait
        wait *= self.fleet.random.uniform(0.5, 1.5) if b"wait" not in asked else 1.0
        self.timer = self.loop.call_later(wait, self._answer, asked)

    def _answer(self, asked: dict[bytes, bytes]) -> None:
        self.timer = None
        size = int(asked.get(b"size", -1))
        match asked.get(b"do"):
            case b"drip":
                self._drip(Fleet.answer(max(size, 2000)))
            case b"interim":
                self._flood(b"", FLOOD)
            case b"trailers":
                head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
                self._flood(head, TRAILER)
            case _:
                self.fleet.open -= 1
                self.busy = False
                self.transport.write(self.fleet.plain if size < 0 else Fleet.answer(size))

    def _drip(self, left: bytes) -> None:
        if left and not self.transport.is_closing():
            self.transport.write(left[:1])
            self.timer = self.loop.call_later(DRIP, self._drip, left[1:])
        else:
            self.timer = None

    def _flood(self, first: bytes, more: bytes) -> None:
        """Go on for as long as the other side takes it."""
        if not self.transport.is_closing():
            if not self.full:
                self.transport.write(first + more * (BURST // len(more)))
            self.timer = self.loop.call_later(0.001, self._flood, b"", more)


async def main(spec: dict[str, Any]) -> None:
    loop = asyncio.get_running_loop()
    fleet = Fleet(spec["size"], spec["wait_ms"] / 1000, spec["seed"])
    servers = [
        await loop.create_server(lambda: Box(fleet, loop), HOST, 0, backlog=1024)
        for _ in range(spec["boxes"])
    ]

    def take(order: dict[str, Any]) -> None:
        say(connections=fleet.connections, open=fleet.open, requests=fleet.requests)

    say(ports=[server.sockets[0].getsockname()[1] for server in servers])
    await orders(take)


if __name__ == "__main__":
    uvloop.run(main(json.loads(sys.argv[1])))
