"""The discovery agent on the proxy's own machine, in a process of its own, with greed on order.

    python -m benchmarks.rig.discovery '{"ports": [9001, 9002]}'

It serves one list at two addresses, so that a proxy may be told to move. Orders:

- `{"do": "bulk", "entries": N, "lines": N}` tells of that many more entries, in so many lines;
- `{"do": "endless"}` begins a line that never ends;
- `{"do": "flap", "every_ms": N}` drains, removes and brings back boxes in turn;
- `{"do": "churn", "every_ms": N}` replaces boxes in turn by new ones;
- `{"do": "calm"}` ends all of that.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import uvloop

from benchmarks.rig.procs import orders, say

HOST = "127.0.0.1"
HEARTBEAT = 2.0  # s


class Agent:
    """Tells of the whole list at first, then of the changes as they come."""

    def __init__(self, ports: list[int]) -> None:
        self.index, self.ports, self.endless = 1, ports, False
        self.boxes = [self._entry(f"box-{i}", port) for i, port in enumerate(ports)]
        self.whole = self._whole(0, 1)  # the list in lines, made once: it is told again and again
        self.watchers: set[asyncio.StreamWriter] = set()
        self.changing: asyncio.Task[None] | None = None

    @staticmethod
    def _entry(name: str, port: int, status: str = "up") -> dict[str, Any]:
        where = {"name": name, "address": f"{HOST}:{port}", "zone": "a", "type": "big", "group": 0}
        return {**where, "status": status, "weight": 1.0, "since_ms": 0}

    @staticmethod
    def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def _line(self, entries: list[dict[str, Any]], whole: bool) -> bytes:
        return json.dumps({"index": self.index, "snapshot": whole, "endpoints": entries}).encode() + b"\n"

    def _whole(self, more: int, lines: int) -> list[bytes]:
        """The list in lines: the boxes first, then as many more entries, which lead to the boxes too."""
        many = [self._entry(f"more-{i}", self.ports[i % len(self.ports)]) for i in range(more)]
        if lines == 1:
            return [self._line(self.boxes + many, True)]
        step = -(-len(many) // lines)
        parts = [many[i : i + step] for i in range(0, len(many), step)]
        return [self._line(self.boxes, True), *(self._line(part, False) for part in parts)]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while self.endless:
                self._write(writer, b"{" + b" " * 65536)
                await writer.drain()
            for line in self.whole:
                self._write(writer, line)
                await writer.drain()
            self.watchers.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(HEARTBEAT)
                self._write(writer, b"\n")
                await writer.drain()
        except (OSError, RuntimeError, asyncio.IncompleteReadError):
            pass  # the loop has either name for a connection that has ended
        finally:
            self.watchers.discard(writer)
            writer.close()

    def change(self, *entries: dict[str, Any]) -> None:
        self.index += 1
        line = self._line(list(entries), False)
        for writer in self.watchers:
            if not writer.is_closing():
                self._write(writer, line)

    async def flap(self, every: float) -> None:
        """Drain a box, remove it and bring it back, the next one each time: never two at once."""
        turn = 0
        while True:
            box = self.boxes[turn % len(self.boxes)]
            for status in ("draining", "removed", "up"):
                self.change({**box, "status": status})
                await asyncio.sleep(every / 3)
            turn += 1

    async def churn(self, every: float) -> None:
        """Replace a box by one with a new name at the same address, the next one each time."""
        turn = 0
        while True:
            await asyncio.sleep(every)
            place = turn % len(self.boxes)
            old, new = self.boxes[place], {**self.boxes[place], "name": f"box-{place}-{turn}"}
            self.change({**old, "status": "removed"}, new)
            self.boxes[place] = new
            self.whole = self._whole(0, 1)
            turn += 1

    def order(self, order: dict[str, Any]) -> None:
        match order["do"]:
            case "flap" | "churn" as what:
                change = self.flap if what == "flap" else self.churn
                self.changing = asyncio.get_running_loop().create_task(change(order["every_ms"] / 1000))
                return
            case "bulk":
                self.whole = self._whole(order["entries"], order["lines"])
            case "endless":
                self.endless = True
            case "calm":
                self.whole, self.endless = self._whole(0, 1), False
                if self.changing:
                    self.changing.cancel()
        # The proxy is to hear it at once: every watch is taken up anew.
        self.index += 1
        for writer in list(self.watchers):
            writer.close()
        self.watchers.clear()


async def main(spec: dict[str, Any]) -> None:
    agent = Agent(spec["ports"])
    servers = [await asyncio.start_server(agent.serve, HOST, 0) for _ in range(2)]
    say(ports=[server.sockets[0].getsockname()[1] for server in servers])
    await orders(agent.order)


if __name__ == "__main__":
    uvloop.run(main(json.loads(sys.argv[1])))
