"""Memory bounds for long requests: they are read only with a lease of memory for what has been received."""

from __future__ import annotations

import asyncio

from firvane.core.net.http_message import Message
from firvane.core.net.http_reader import BoundedReadProtocol, MessageReader
from firvane.fleet.router.client_context import ClientContext

LONG_BODY_BYTES = 64 * 1024  # shorter bodies never wait
LONG_HEAD_BYTES = 48 * 1024  # heads that take less memory never wait
FIELD_BYTES = 256  # memory of a parsed header field, beside its text
CHUNKED_LEASE_BYTES = 4 * 1024 * 1024  # first lease of a body of unknown length, which is doubled as it grows
MAX_MEMORY_WAIT_S = 2.0


class LeasedReceiver(BoundedReadProtocol):
    """The part of a client's connection that bounds the total memory of long heads and bodies.

    A long request needs a lease (`firvane.core.body_leases`) until it has ended. Without a lease the
    connection is not read, so that TCP flow control stops the client. The most urgent route is served first.
    The lease of a head, and of a body in chunks, is extended as it grows; if there is no memory then, the
    request is rejected.

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
        """Continue reading a request that waited for memory."""
        raise NotImplementedError

    def on_memory_denied(self) -> None:
        """Reject a request that got no memory in time, or that exceeds the total memory."""
        raise NotImplementedError

    def has_memory(self) -> bool:
        """Return whether the current request may be read further; if not, the connection waits for memory."""
        completed = self.reader.completed
        message = completed[0] if completed else self.reader.message
        if message is None:
            return True
        needed = self._head_memory(message) + self._body_memory(message)
        if needed and not self._lease(message, needed):
            return False
        if not completed:
            self.on_body_allowed(message)
        return True

    def _head_memory(self, message: Message) -> int:
        """Return the bytes that the received part of a head needs; 0 if it is not long."""
        size = message.head_size or self.reader.raw_size
        memory = size + FIELD_BYTES * len(message.headers)
        return memory if memory > LONG_HEAD_BYTES else 0

    def _body_memory(self, message: Message) -> int:
        """Return the bytes that a body of known length needs, or the received part; 0 if it is not long."""
        if message is self.reader.message and self.reader.in_head:
            return 0
        size = max(message.size, message.content_length() or 0)
        return size if size > LONG_BODY_BYTES else 0

    def _lease(self, message: Message, needed: int) -> bool:
        """Return whether enough memory is leased to the request."""
        leases = self.context.leases
        leased = leases.holders.get(self)
        if leased is not None and needed <= leased:
            return True
        if needed > leases.total:
            self.on_memory_denied()
            return False
        size = min(max(needed, self._expected_memory(message, leased or 0)), leases.total)
        if leased is not None:
            return self._extend_lease(size)
        if leases.request(self, self._schedule_grant, size, self._priority(message)):
            return True
        self.context.on_memory_wait()
        self.pause_reading()
        self.memory_timer = self.context.loop.call_later(MAX_MEMORY_WAIT_S, self.on_memory_denied)
        return False

    def _expected_memory(self, message: Message, leased: int) -> int:
        """Return the bytes that a request of unknown size is expected to need; 0 if the size is known."""
        if self.reader.in_head:
            return 2 * max(leased, LONG_HEAD_BYTES)
        if message.complete or message.content_length() is not None:
            return 0
        return min(self.reader.body_limit, max(CHUNKED_LEASE_BYTES, 2 * leased))

    def _extend_lease(self, size: int) -> bool:
        """Return whether the lease could be extended, which never waits."""
        if self.context.leases.extend(self, size):
            return True
        self.on_memory_denied()
        return False

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
        """Release the lease of a request, or cancel the wait for one."""
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
