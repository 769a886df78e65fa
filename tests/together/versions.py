"""Versions of the program with a set fault: `python -m tests.together.versions FAULT`.

"none" is the program as it is. Where the program has no door call `measures`, its counts are told from here.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import socket
import sys
import time
from itertools import count
from typing import Any

BEGUN = time.monotonic()


def mute(answers: bool) -> None:
    """Says that it is ready; takes connections and `answers` none, or takes none at all."""

    async def door(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(b"+OK ready\n")
        writer.close()

    async def drop(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(1)
        writer.close()

    async def work() -> None:
        host, port = os.environ["NODE_OPS"].split(":")
        await asyncio.start_server(door, host, int(port))
        if not answers:
            held = socket.socket(fileno=int(os.environ["NODE_SOCKET_FD"]))
            await asyncio.start_server(drop, sock=held)
        await asyncio.Event().wait()

    asyncio.run(work())


def refuses() -> None:
    """Every second request is refused, as if too many were open."""
    from firvane.engine import Engine

    take, numbers = Engine.take, count()

    def half(self: Any, flow: Any, request: Any) -> None:
        owed = self.owed
        self.owed = 1 << 40 if next(numbers) % 2 else owed
        try:
            take(self, flow, request)
        finally:
            if self.owed >= 1 << 40:
                self.owed = owed

    Engine.take = half  # type: ignore[method-assign]


def measures() -> None:
    from firvane import proxy
    from firvane.ops import calls

    if hasattr(calls.Call, "MEASURES"):
        return
    asked, answer = calls.asked, proxy.Proxy._answer

    def asked_too(line: bytes) -> Any:
        return calls.Asked(calls.Call.SHOW_STAT, ("measures",)) if line == b"measures" else asked(line)

    def answer_too(self: Any, said: Any) -> bytes:
        if said.words != ("measures",):
            return answer(self, said)
        classes = {}
        for name, counts in self.figures().handled.items():
            taken = counts.passed + counts.dropped + counts.bad_gateway
            classes[name] = {
                "taken": taken, "in_time": counts.passed, "late": 0, "refused": counts.dropped,
                "failed": counts.bad_gateway, "attempts": counts.upstream_tries, "latency": {},
            }  # fmt: skip
        used = resource.getrusage(resource.RUSAGE_SELF)
        told = {
            "pid": os.getpid(), "uptime_s": time.monotonic() - BEGUN, "classes": classes, "tenants": {},
            "cpu_s": used.ru_utime + used.ru_stime, "rss_mb": used.ru_maxrss / 1024, "descriptors": 20,
            "errors": 0,
        }  # fmt: skip
        return calls.lines(json.dumps(told))

    calls.asked = asked_too  # type: ignore[assignment]
    proxy.Proxy._answer = answer_too  # type: ignore[method-assign]


def main(fault: str) -> int:
    if fault == "dies":
        return 3
    if fault == "late":
        time.sleep(3600)
    if fault in ("mute", "breaks"):
        mute(fault == "mute")
    if fault == "refuses":
        refuses()
    measures()
    from firvane.__main__ import main as program

    return program()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
