"""Memory bounds for long request bodies: a body is read only after memory for all of it is leased."""

from __future__ import annotations

import asyncio

from firvane.core.net.http_message import Message
from firvane.core.net.http_reader import BoundedReadProtocol, MessageReader
from firvane.fleet.router.client_context import ClientContext

LONG_BODY_BYTES = 64 * 1024  # shorter bodies never wait
CHUNKED_LEASE_BYTES = 4 * 1024 * 1024  # first lease of a body of unknown length, which is doubled as it grows
MAX_MEMORY_WAIT_S = 2.0


class BodyReceiver(BoundedReadProtocol):
    """The part of a client's connection that bounds the total memory of long request bodies.

    A long body needs a lease (`firvane.core.body_leases`) until its request has ended. Without a lease the
    connection is not read, so that TCP flow control stops the client. The most urgent route is served first.
    The lease of a body in chunks is extended as it grows; if there is no memory then, the body is rejected.

    Attributes:
        memory_timer: Ends the wait for memory; None if the connection does not wait.
        reading_paused: Whether the transport's reading is paused.
        closing: Whether the connection is being closed.
    """

    def __init__(self, context: ClientContext, reader: MessageReader) -> None:
        self.context, self.reader = context, reader
        self.memory_timer: asyncio.TimerHandle | None = None
        self.reading_paused = False
        self.closing = False
        self.transport: asyncio.Transport

    def on_body_allowed(self, message: Message) -> None:
        """Allow the client to send the body of the current request."""
        raise NotImplementedError

    def on_memory_granted(self) -> None:
        """Continue reading a body that waited for memory."""
        raise NotImplementedError

    def on_memory_denied(self) -> None:
        """Reject a body that got no memory in time, or that exceeds the total memory."""
        raise NotImplementedError

    def has_memory(self) -> bool:
        """Return whether the current request may be read further; if not, the connection waits for memory."""
        message = self.reader.message
        if message is None or self.reader.in_head:
            return True
        length = message.content_length()
        is_long = message.size > LONG_BODY_BYTES or (length is not None and length > LONG_BODY_BYTES)
        if is_long and not self._lease(message, length):
            return False
        self.on_body_allowed(message)
        return True

    def _lease(self, message: Message, length: int | None) -> bool:
        """Return whether memory for a long body is leased."""
        leases = self.context.leases
        if self in leases.holders:
            return self._extend_lease(message)
        size = min(self.reader.body_limit, CHUNKED_LEASE_BYTES, leases.total) if length is None else length
        if size > leases.total:
            self.on_memory_denied()
            return False
        if leases.request(self, self._schedule_grant, size, self._priority(message)):
            return True
        self.context.on_memory_wait()
        self.pause_reading()
        self.memory_timer = self.context.loop.call_later(MAX_MEMORY_WAIT_S, self.on_memory_denied)
        return False

    def _extend_lease(self, message: Message) -> bool:
        """Return whether the lease covers the received part of the body, and extend it if it does not."""
        leases = self.context.leases
        leased = leases.holders[self]
        if message.size <= leased:
            return True
        size = min(max(2 * leased, message.size), self.reader.body_limit, leases.total)
        if size < message.size or not leases.extend(self, size):
            self.on_memory_denied()
            return False
        return True

    def _priority(self, message: Message) -> int:
        routes = self.context.routes
        route = routes.find(message.fields.get(b"host", b""), message.url) if routes else None
        return route.priority if route else 0

    def _schedule_grant(self) -> None:
        """Continue in the next turn of the loop, since the lease is granted while another request ends."""
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
        """Release the lease of a body, or cancel the wait for one."""
        self._end_wait()
        self.context.leases.release(self)

    def pause_reading(self) -> None:
        """Pause the transport's reading."""
        if not self.reading_paused and not self.closing:
            self.reading_paused = True
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume the transport's reading if it is paused."""
        if self.reading_paused and not self.closing:
            self.reading_paused = False
            self.transport.resume_reading()
