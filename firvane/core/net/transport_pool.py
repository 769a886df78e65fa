"""Makes transports for connected sockets: accepted ones and successful dials.

Making a transport is a coroutine that takes an iteration of the event loop. No task is started per request or
connection; a few workers that live as long as the process make all transports. With a single worker, a loop
at its limit would accept one connection per iteration, and clients would time out before they are served.
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
        """Return the protocol of the connection, or None if the connection is no longer needed."""

    def made(self, protocol: Any) -> None:
        """Handle that the transport of the connection was made."""

    def failed(self) -> None:
        """Handle that no transport could be made; the socket is closed."""


class TransportPool:
    """Workers that make transports, and their queue of sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.queue: asyncio.Queue[PendingSocket] = asyncio.Queue()
        self.tasks: list[asyncio.Task[None]] = []
        self.in_progress = 0  # sockets whose transport is being made

    def has_work(self) -> bool:
        """Return whether sockets wait for their transports."""
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
        """Make the next transport; a separate coroutine, so that a waiting worker keeps no old socket."""
        pending = await self.queue.get()
        self.in_progress += 1
        try:
            await self._make(pending)
        except Exception as error:
            # An error in a callback must not end the worker: without workers no connection would be served.
            self.loop.call_exception_handler(
                {"message": "error in the callback of a new transport", "exception": error}
            )
        finally:
            self.in_progress -= 1

    async def _make(self, pending: PendingSocket) -> None:
        try:
            protocol = pending.make_protocol()
            if protocol is not None:
                await self.loop.connect_accepted_socket(partial(_identity, protocol), pending.sock)
        except (
            Exception
        ) as error:  # including errors of the protocol's own code: the socket is closed in any case
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


def _identity(protocol: asyncio.BaseProtocol) -> asyncio.BaseProtocol:
    return protocol
