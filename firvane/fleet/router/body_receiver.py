"""A connection that reads a long body on only once there is memory for all of it."""

from __future__ import annotations

import asyncio

from firvane.core.net.http_message import Message
from firvane.core.net.http_reader import BoundedReadProtocol, MessageReader
from firvane.fleet.router.client_context import ClientContext

LONG_BODY_BYTES = 64 * 1024  # shorter bodies never wait
MAX_MEMORY_WAIT_S = 2.0


class BodyReceiver(BoundedReadProtocol):
    """The part of a client's connection that bounds what long bodies hold together.

    A long body needs a lease (`firvane.core.body_leases`) until its request has ended. Without one the
    connection is not read, so that the client is held up; the most urgent route goes on first.

    Attributes:
        memory_timer: Ends the wait for memory; None where there is no wait.
        reading_paused: Whether the transport's reading is paused.
        closing: Whether the connection is being closed.
    """

    def __init__(self, context: ClientContext, reader: MessageReader) -> None:
        self.context, self.reader = context, reader
        self.memory_timer: asyncio.TimerHandle | None = None
        self.reading_paused = False
        self.closing = False
        self.transport: asyncio.Transport

    def on_body_admitted(self, message: Message) -> None:
        """The body of a request that has begun may come."""
        raise NotImplementedError

    def on_memory_granted(self) -> None:
        """A body that waited may be read on."""
        raise NotImplementedError

    def on_memory_denied(self) -> None:
        """A body finds no memory in time, or is longer than all of it."""
        raise NotImplementedError

    def has_memory(self) -> bool:
        """Return whether the request that is being received may be read on; else the connection waits."""
        message = self.reader.message
        if message is None or self.reader.in_head:
            return True
        length = message.content_length()
        is_long = message.size > LONG_BODY_BYTES or (length is not None and length > LONG_BODY_BYTES)
        if is_long and not self._lease(message, length):
            return False
        self.on_body_admitted(message)
        return True

    def _lease(self, message: Message, length: int | None) -> bool:
        """Return whether there is memory for a long body; one in chunks may become as long as any."""
        leases = self.context.leases
        if self in leases.holders:
            return True
        size = self.reader.body_limit if length is None else length
        if size > leases.total:
            self.on_memory_denied()
            return False
        if leases.request(self, self._schedule_grant, size, self._priority(message)):
            return True
        self.context.on_body_waits()
        self.pause_reading()
        self.memory_timer = self.context.loop.call_later(MAX_MEMORY_WAIT_S, self.on_memory_denied)
        return False

    def _priority(self, message: Message) -> int:
        routes = self.context.routes
        route = routes.find(message.fields.get(b"host", b""), message.url) if routes else None
        return route.priority if route else 0

    def _schedule_grant(self) -> None:
        """Go on in a turn of its own: the lease comes from another connection's end."""
        self.context.loop.call_soon(self._on_grant)

    def _on_grant(self) -> None:
        if self.memory_timer is None or self.closing:
            return
        self._end_wait()
        self.resume_reading()
        self.on_memory_granted()

    def _end_wait(self) -> None:
        if self.memory_timer:
            self.memory_timer.cancel()
            self.memory_timer = None

    def release_memory(self) -> None:
        """Return the memory of a body, or give up the wait for it."""
        self._end_wait()
        self.context.leases.release(self)

    def pause_reading(self) -> None:
        """Read nothing until `resume_reading`."""
        if not self.reading_paused and not self.closing:
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again, where reading is paused."""
        if self.reading_paused and not self.closing:
            self.reading_paused = False
            self.transport.resume_reading()
