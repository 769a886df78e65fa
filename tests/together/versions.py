"""Versions of the program with a set fault: `python -m tests.together.versions FAULT`.

"none" is the program as it is.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import time
from itertools import count
from typing import Any


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
    from firvane.core.engine import Engine

    take, numbers = Engine.accept_request, count()

    def half(self: Any, flow: Any, request: Any) -> None:
        unanswered = self.unanswered
        self.unanswered = 1 << 40 if next(numbers) % 2 else unanswered
        try:
            take(self, flow, request)
        finally:
            if self.unanswered >= 1 << 40:
                self.unanswered = unanswered

    Engine.accept_request = half  # type: ignore[method-assign]


def main(fault: str) -> int:
    if fault == "dies":
        return 3
    if fault == "late":
        time.sleep(3600)
    if fault in ("mute", "breaks"):
        mute(fault == "mute")
    if fault == "refuses":
        refuses()
    from firvane.__main__ import main as program

    return program()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
