"""Transports for sockets that stand already: accepted ones, and dials that have come up.

Making a transport is a coroutine that takes a turn of the loop, and none may be started for a request or a
connection: a few that live as long as the proxy serve all of them. With one alone, a loop at its limit would
take in one connection a turn, and all others would wait until their clients have left.
"""

from __future__ import annotations

import asyncio
import socket
from functools import partial
from typing import Any, Protocol

TRANSPORT_WORKERS = 16  # coroutines, each of which makes one transport at a time


class PendingSocket(Protocol):
    """Who has a socket that stands."""

    sock: socket.socket

    def wanted(self) -> asyncio.BaseProtocol | None:
        """The protocol that it is for, or None where nobody wants it any more."""

    def made(self, protocol: Any) -> None:
        """It has its transport."""

    def unmade(self) -> None:
        """It has none, and is closed."""


class TransportPool:
    """The coroutines that make transports, and the line of sockets before them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.line: asyncio.Queue[PendingSocket] = asyncio.Queue()
        self.tasks: list[asyncio.Task[None]] = []
        self.busy = 0  # sockets whose transport is being made

    def has_work(self) -> bool:
        return self.busy > 0 or not self.line.empty()

    def start(self) -> None:
        self.tasks = [self.loop.create_task(self._work()) for _ in range(TRANSPORT_WORKERS)]

    def give(self, standing: PendingSocket) -> None:
        self.line.put_nowait(standing)

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()

    async def _work(self) -> None:
        while True:
            standing = await self.line.get()
            self.busy += 1
            try:
                await self._make(standing)
            except Exception as error:
                # A fault of whoever is told must not cost a coroutine: without any, nobody would come in.
                self.loop.call_exception_handler({"message": "a socket is lost", "exception": error})
            finally:
                self.busy -= 1

    async def _make(self, standing: PendingSocket) -> None:
        try:
            protocol = standing.wanted()
            if protocol is None:
                raise OSError("given up meanwhile")
            await self.loop.connect_accepted_socket(partial(_itself, protocol), standing.sock)
        except Exception as error:
            standing.sock.close()
            standing.unmade()
            if not isinstance(error, OSError):
                raise
        else:
            standing.made(protocol)


def _itself(protocol: asyncio.BaseProtocol) -> asyncio.BaseProtocol:
    return protocol
