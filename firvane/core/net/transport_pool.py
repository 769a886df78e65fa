"""Transports for sockets that are connected already: accepted ones, and dials that have come up.

Making a transport is a coroutine that takes a turn of the event loop, and no task is started for a request or
a connection: a few workers that live as long as the process serve all of them. With a single one, a loop at
its limit would take in one connection a turn, and clients would time out before they are served.
"""

from __future__ import annotations

import asyncio
import socket
from functools import partial
from typing import Any, Protocol

TRANSPORT_WORKERS = 16  # tasks, each of which makes one transport at a time


class PendingSocket(Protocol):
    """A connected socket that waits for its transport."""

    sock: socket.socket

    def make_protocol(self) -> asyncio.BaseProtocol | None:
        """The protocol of the connection, or None where it is no longer needed."""

    def made(self, protocol: Any) -> None:
        """The connection has its transport."""

    def failed(self) -> None:
        """No transport could be made; the socket is closed."""


class TransportPool:
    """The workers that make transports, and the queue of sockets before them."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.queue: asyncio.Queue[PendingSocket] = asyncio.Queue()
        self.tasks: list[asyncio.Task[None]] = []
        self.in_progress = 0  # sockets whose transport is being made

    def has_work(self) -> bool:
        """Whether sockets wait for their transports."""
        return self.in_progress > 0 or not self.queue.empty()

    def start(self) -> None:
        """Start the workers."""
        self.tasks = [self.loop.create_task(self._work()) for _ in range(TRANSPORT_WORKERS)]

    def submit(self, pending: PendingSocket) -> None:
        """Queue a socket for its transport."""
        self.queue.put_nowait(pending)

    def close(self) -> None:
        """Cancel the workers."""
        for task in self.tasks:
            task.cancel()

    async def _work(self) -> None:
        while True:
            await self._make_next()

    async def _make_next(self) -> None:
        """Make the next transport; a worker that waits keeps nothing of the last one."""
        pending = await self.queue.get()
        self.in_progress += 1
        try:
            await self._make(pending)
        except Exception as error:
            # A fault in a callback must not end the worker: without workers nobody could connect.
            self.loop.call_exception_handler({"message": "a socket is lost", "exception": error})
        finally:
            self.in_progress -= 1

    async def _make(self, pending: PendingSocket) -> None:
        try:
            protocol = pending.make_protocol()
            if protocol is not None:
                await self.loop.connect_accepted_socket(partial(_itself, protocol), pending.sock)
        except Exception as error:  # by a protocol's own code, too: its socket is closed in any case
            pending.sock.close()
            pending.failed()
            if not isinstance(error, OSError):
                raise
            return
        if protocol is None:
            pending.sock.close()
            pending.failed()
        else:
            pending.made(protocol)


def _itself(protocol: asyncio.BaseProtocol) -> asyncio.BaseProtocol:
    return protocol
