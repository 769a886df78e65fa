"""Connection pools for the targets, with one exchange at a time on a connection.

Invariants of a run (an exchange on the network) and its connection:

1. A run ends once. A cancelled run reports no end and writes nothing more: its dial is cancelled, or its
   connection is closed with the part of the request that the kernel has not accepted.
2. Before the first byte of a run is written, to an idle connection or a new one,
   `UpstreamPools._reason_not_to_send` checks that the drain grace of its target, its deadline and its latest
   start time have not passed, and that its client is still connected as far as the kernel knows. A run that
   fails this check has not been executed.
3. A request is written when the kernel has accepted its last byte. If the connection breaks earlier, it
   was not executed; if it breaks later, or at an unknown time, it may have been executed.
4. A connection is not reused for `REUSE_DELAY_S` after a response: an unsolicited second response would
   arrive within milliseconds, and responses do not name their requests. Until then runs dial new connections.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Final, TypeAlias, cast

import httptools

from firvane.core.engine_protocols import Exchange
from firvane.core.interface import Limits, Rules
from firvane.core.net.connection_checks import NoInputCheck
from firvane.core.net.dialer import Dialer
from firvane.core.net.http_message import BytesLike, HttpError, Message, Stream
from firvane.core.net.http_reader import BoundedReadProtocol, MessageReader
from firvane.core.net.http_writer import LAST_CHUNK, format_request_head, frame_chunk
from firvane.core.net.upstream_exchange import UpstreamRun, close_idle
from firvane.core.terminations import Termination
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.limits.memory_account import MAX_UNLEASED_BODY_BYTES, MemoryUse
from firvane.proxy.limits.memory_costs import IDLE_TARGET_BYTES, STREAM_WINDOW_BYTES
from firvane.proxy.net.resource_monitor import ResourceMonitor

IDLE_TIMEOUT_FRACTION = 0.5  # of the idle timeout in the settings, by which targets may close connections
STREAM_TIMEOUT_S = 10.0  # without a byte of a streamed response while reading is not paused
BUFFERING_S = 0.2  # after its head, for which a response of unknown length is buffered
MAX_INTERIM_RESPONSES: Final = 8  # 1xx
REUSE_DELAY_S = 0.02  # after a response, while more data or the end of the connection may arrive
GRACE_FRACTION = 0.9  # of the drain grace: a first byte sent at its very end could arrive after it
HTTP_SWITCHING_PROTOCOLS: Final = 101
HTTP_OK: Final = 200  # and the first status of a final response
REJECTED_STATUSES = (503, 504)
CLIENT_ERROR_STATUSES = (400, 404)


class Pool:
    """One target: its address, whether it drains, and its idle connections, newest last.

    Attributes:
        draining_since: Loop time in s at which the target was listed as draining or removed, or None.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.address: tuple[str, int] | None = None
        self.draining_since: float | None = None
        self.idle: list[Connection] = []

    def take(self, idle_before: float) -> Connection | None:
        """Remove and return the newest connection that was idle at loop time `idle_before` (invariant 4)."""
        for position in range(len(self.idle) - 1, -1, -1):
            if self.idle[position].idle_since <= idle_before:
                return self.idle.pop(position)
        return None

    def close_idle(self, before: float = float("inf")) -> None:
        """Close the connections that became idle before a loop time in s."""
        close_idle(self.idle, before)


# An alias for annotations; instances are made of `UpstreamRun` itself.
Run: TypeAlias = UpstreamRun[Message, "Connection", Pool]


class Connection(BoundedReadProtocol):
    """One connection to a target; while idle it is in the pool.

    Attributes:
        malformed: The last input was not a valid response.
        interim_count: 1xx responses to the current request.
        run: The run that uses the connection.
        written: The kernel has accepted the last byte of the request.
        charged: Bytes charged for a response that is incomplete.
        awaiting_lease: Reading is paused until a memory lease for a large response is granted.
        head_received_at: When the head of the response arrived.
        response_stream: A long response that is being forwarded to its client.
        paused: Reading is paused because the client does not accept more of the response.
        progress_at: When data of the response last arrived.
        upload: A long request that is being forwarded from its client.
        chunked: The long request is written with chunked transfer coding.
    """

    def __init__(self, owner: UpstreamPools, pool: Pool, has_no_input: NoInputCheck) -> None:
        self.owner, self.pool, self.has_no_input = owner, pool, has_no_input
        self.reader = MessageReader(httptools.HttpResponseParser)
        self.malformed = False
        self.interim_count = 0
        self.run: Run | None = None
        self.idle_since = 0.0
        self.written = True
        self.charged = 0
        self.awaiting_lease = False
        self.head_received_at = 0.0
        self.response_stream: Stream | None = None
        self.paused = False
        self.progress_at = 0.0
        self.upload: Stream | None = None
        self.chunked = False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport of the connection (asyncio)."""
        self.transport = cast(asyncio.Transport, transport)
        self.owner.monitor.account.charge(MemoryUse.TARGETS, IDLE_TARGET_BYTES)
        # Without a write buffer, writes go to the kernel at once, and `resume_writing` reports when it has
        # accepted the rest. That tells whether the connection broke before or after the last byte.
        self.transport.set_write_buffer_limits(0)

    def send(self, run: Run) -> None:
        """Write the request of a run."""
        now = self.owner.loop.time()
        budget_ms = max(1, int((run.exchange.deadline - now) * 1000))
        if run.request.stream:  # its budget is counted from its last byte
            budget_ms = min(budget_ms, int(run.request.fields.get(b"x-budget-ms", b"1")))
        self.run, run.connection, self.written, self.interim_count = run, self, False, 0
        host = b"%s:%d" % (self.pool.address[0].encode(), self.pool.address[1]) if self.pool.address else b""
        self.transport.writelines([*format_request_head(run.request, budget_ms, host), *run.request.body])
        if run.request.stream:
            run.exchange.on_body_consumed()
            self.upload, self.chunked = run.request.stream, run.request.content_length() is None
            self.upload.connect(self)
            return
        self._check_written(run)

    def _check_written(self, run: Run) -> None:
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self.written = True
            run.exchange.on_request_sent()

    def usable(self) -> bool:
        """Return whether nothing has arrived on the connection while it was idle.

        If it has ended, the next request would be reset; more data of the last response would be taken for
        the next response.
        """
        return not self.transport.is_closing() and self.has_no_input()

    def write_body(self, buffers: list[BytesLike]) -> None:
        """Write more of a long request, unless the response has arrived already."""
        if self.upload and not self.transport.is_closing():
            self.transport.writelines(frame_chunk(buffers, self.chunked))
            if self.transport.get_write_buffer_size():
                self.upload.set_paused(True)

    def end_body(self) -> None:
        """Write the end of a long request."""
        if self.upload and self.run and not self.transport.is_closing():
            self.upload = None
            if self.chunked:
                self.transport.write(LAST_CHUNK)
            self._check_written(self.run)

    def set_paused(self, paused: bool) -> None:
        """Pause reading a long response while its client takes no more, or resume."""
        if paused is not self.paused and not self.transport.is_closing():
            self.paused, self.progress_at = paused, self.owner.loop.time()
            (self.transport.pause_reading if paused else self.transport.resume_reading)()

    def resume_writing(self) -> None:
        """Handle that the kernel has accepted all written data (asyncio)."""
        if self.upload:
            self.upload.set_paused(False)
        elif self.run and not self.written:
            self._check_written(self.run)

    def data_received(self, data: bytes) -> None:
        """Parse the response (asyncio)."""
        run = self.run
        if run is None:
            self.close()  # unsolicited data could be taken for the next response
            return
        at = 0
        while at < len(data) and not self.malformed:
            try:
                at = self.reader.step(data, at)
            except HttpError:
                self.malformed = True  # a response completed before the error is still used
            if self._begin_stream() and not self.run:
                return  # the run has ended
            if self.reader.completed:
                message = self.reader.completed.pop(0)
                if message.status >= HTTP_OK:  # an interim response is followed by the final one
                    self._complete(message, at < len(data))
                    return
                # No request asks for another protocol, and the number of interim responses is bounded.
                self.interim_count += 1
                too_many = self.interim_count > MAX_INTERIM_RESPONSES
                self.malformed = too_many or message.status == HTTP_SWITCHING_PROTOCOLS
        if self.malformed:
            self._end(Termination.BAD_RESPONSE)
        elif self.response_stream is None:
            self._update_account()

    def _begin_stream(self) -> bool:
        """Forward the received part of a response that is, or may be, too long to be buffered.

        Returns:
            Whether the response is forwarded as a stream, or has ended the run.
        """
        message = self.reader.message
        if self.response_stream is None and (
            message is None or self.reader.in_head or message.status < HTTP_OK
        ):
            return False  # most responses are complete at once
        now = self.owner.loop.time()
        if self.response_stream is None and message:
            self.head_received_at = self.head_received_at or now
            unsized = message.size > MAX_UNLEASED_BODY_BYTES and message.content_length() is None
            may_be_long = unsized and now > self.head_received_at + BUFFERING_S
            if not message.exceeds_buffer and not may_be_long:
                return False
            if message.status != HTTP_OK or self.run is None:
                self._end(self._classify(message))
                return True
            message.exceeds_buffer = True
            message.stream = self.response_stream = Stream(self)
            self._release()
            self.owner.streams[self] = None
            self.owner.monitor.account.charge(MemoryUse.ANSWERS, STREAM_WINDOW_BYTES)
            self.run.exchange.on_response_started(message)
        self.progress_at = now
        if message and self.response_stream:
            self.response_stream.feed(message.take_body())
        return True

    def _end_stream(self) -> None:
        """End the forwarding of a long response, if any."""
        self.head_received_at, self.paused = 0.0, False
        if self.response_stream:
            self.response_stream = None
            del self.owner.streams[self]
            self.owner.monitor.account.charge(MemoryUse.ANSWERS, -STREAM_WINDOW_BYTES)

    def check_progress(self, now: float) -> None:
        """End the run of a long response that has stalled by loop time `now` in s."""
        if not self.paused and now > self.progress_at + STREAM_TIMEOUT_S:
            self._end(Termination.DEADLINE_EXCEEDED)

    def _update_account(self) -> None:
        """Charge memory for the incomplete response; request a lease, or pause reading, if it is large."""
        monitor, message = self.owner.monitor, self.reader.message
        size = self.reader.raw_size if message else 0
        if size != self.charged:
            monitor.account.charge(MemoryUse.ANSWERS, size - self.charged)
            self.charged = size
        large = message is not None and message.size > MAX_UNLEASED_BODY_BYTES
        if large and not self.awaiting_lease and not monitor.leases.request(self, self._leased):
            self.awaiting_lease = True
            self.transport.pause_reading()

    def _leased(self) -> None:
        self.awaiting_lease = False
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _release(self) -> None:
        """Release the memory charged for the response, which is no longer buffered."""
        monitor = self.owner.monitor
        monitor.leases.release(self)
        if self.charged:
            monitor.account.charge(MemoryUse.ANSWERS, -self.charged)
            self.charged = 0

    def _complete(self, message: Message, followed: bool) -> None:
        self._release()
        termination = self._classify(message)
        if self.response_stream:
            self.response_stream.feed(message.take_body())
            self.response_stream.end()
        more = followed or self.malformed or self.reader.completed or self.reader.message or not self.written
        self.upload = None
        if message.keep_alive and message.is_framed and not more and not self.transport.is_closing():
            self.set_paused(False)
            self._end_stream()
            run, self.run = self.run, None
            self.owner.park(self)
            if run:
                run.end(termination, message)
        else:
            self._end(termination, message)

    def _classify(self, message: Message) -> Termination:
        """Return the termination that a response stands for, by its head."""
        if message.status == HTTP_OK:
            return Termination.SERVED
        if message.status in CLIENT_ERROR_STATUSES:
            return Termination.BAD_REQUEST
        if message.status in REJECTED_STATUSES and message.fields.get(b"x-rejected") == b"1":
            # A rejection that closes a new connection rejects the connection, not only the request.
            new = not message.keep_alive and not self.idle_since
            return Termination.CONNECTION_REJECTED if new else Termination.REJECTED
        return Termination.SERVER_ERROR

    def _end(self, termination: Termination, message: Message | None = None) -> None:
        run, self.run = self.run, None
        self.upload = None
        self.close()
        if run:
            run.end(termination, message)

    def eof_received(self) -> None:
        """Handle the end of the input from the target (asyncio)."""
        message = self.reader.message
        if (
            self.run
            and message
            and message.status == HTTP_OK
            and not self.reader.in_head
            and not message.is_framed
        ):
            # A body that ends with the connection may be truncated, unless the head announces the close.
            announced = message.fields.get(b"connection", b"").lower() == b"close"
            if announced and self.response_stream:
                self.response_stream.end()
            self._end(Termination.SERVED if announced else Termination.BROKEN_AFTER_SENT, message)

    def connection_lost(self, error: Exception | None) -> None:
        """Release the resources of the closed connection and end its run (asyncio)."""
        monitor = self.owner.monitor
        monitor.descriptors.release(Use.TARGETS)
        monitor.account.charge(MemoryUse.TARGETS, -IDLE_TARGET_BYTES)
        self.reader.close()
        self._release()
        self._end_stream()
        self.upload = None
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        run, self.run = self.run, None
        if run:
            run.end(Termination.BROKEN_AFTER_SENT if self.written else Termination.BROKEN_BEFORE_SENT)

    def close(self) -> None:
        """Close the connection at once."""
        self.transport.abort()


class UpstreamPools:
    """The pools of all targets, with a common bound on sockets.

    Attributes:
        streams: The connections with a long response that is being forwarded.
        dials: Connection attempts since the start.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: Limits,
        rules: Rules,
        monitor: ResourceMonitor,
        dialer: Dialer,
    ) -> None:
        self.loop, self.limits, self.rules, self.monitor = loop, limits, rules, monitor
        self.dialer = dialer
        self.pools: dict[str, Pool] = {}
        self.streams: dict[Connection, None] = {}
        self.dials = 0

    def apply_settings(self, limits: Limits, rules: Rules) -> None:
        """Replace the settings."""
        self.limits, self.rules = limits, rules

    # Called by the engine

    def forward(self, request: Message, target: str, exchange: Exchange[Message]) -> Run:
        """Send a request to a target, over an idle connection or a new one."""
        pool = self.pools.get(target) or Pool(target)
        run: Run = UpstreamRun(request, pool, exchange)
        now = self.loop.time()
        if reason := self._reason_not_to_send(run, now):
            run.end(reason)
            return run
        while pool.idle and (connection := pool.take(now - REUSE_DELAY_S)):
            if connection.usable():
                connection.send(run)
                return run
            connection.close()
        self._dial(run)
        return run

    def probe(self, target: str, exchange: Exchange[Message]) -> Run:
        """Send a health check to a target."""
        request = Message()
        request.method, request.url = b"GET", b"/alive"
        return self.forward(request, target, exchange)

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a target."""
        if pool := self.pools.get(target):
            pool.close_idle()

    # Called by the target group

    def update_target(self, name: str, address: tuple[str, int] | None, up: bool) -> None:
        """Update a target from the endpoint list: its address (None: removed), and whether it is up."""
        pool = self.pools.get(name) or Pool(name)
        if address and pool.address and address != pool.address:
            # Connections to the old address must not get into the new pool, nor may a pending dial send
            # requests after the drain grace: the old pool is treated as that of a removed target.
            self.update_target(name, None, False)
            pool = Pool(name)
        if address:
            self.pools[name], pool.address = pool, address
        else:
            self.pools.pop(name, None)  # its runs refer to it until they end
        if up:
            pool.draining_since = None
        elif pool.draining_since is None:
            pool.draining_since = self.loop.time()
            pool.close_idle()

    # Connections

    def _reason_not_to_send(self, run: Run, now: float) -> Termination | None:
        """Return why the first byte of a run may not be sent at loop time `now`, or None (invariant 2)."""
        draining_since = run.pool.draining_since
        if draining_since is not None and now >= draining_since + GRACE_FRACTION * self.rules.drain_grace:
            return Termination.TARGET_DRAINED
        # The deadline of a request may pass in the iteration in which its dial succeeds; its client may have
        # closed the connection behind unread bytes; and targets deduplicate retries only for some time.
        over = (
            now >= min(run.exchange.deadline, run.exchange.start_before)
            or not run.request.sender_is_connected()
        )
        return Termination.NOT_SENT if over else None

    def _dial(self, run: Run) -> None:
        pool = run.pool
        if pool.address is None:
            run.end(Termination.CONNECTION_REFUSED)
            return
        if not self.monitor.descriptors.lease(Use.TARGETS):
            if not self._close_oldest_idle():
                run.end(Termination.NO_FREE_SOCKET)
                return
            self.monitor.descriptors.count(Use.TARGETS)  # the closed connection releases its own later
        self.dials += 1
        run.dial = self.dialer.dial(
            pool.address,
            self.loop.time() + self.limits.connect_timeout,
            partial(Connection, self, pool),
            partial(self._dial_succeeded, run),
            partial(self._dial_failed, run),
        )

    def _dial_succeeded(self, run: Run, connection: Connection) -> None:
        run.on_dial_ended()
        if run.over or connection.transport.is_closing():
            connection.close()
            run.end(Termination.BROKEN_BEFORE_SENT)
        elif reason := self._reason_not_to_send(run, self.loop.time()):
            self.park(connection)
            run.end(reason)
        else:
            connection.send(run)

    def _dial_failed(self, run: Run, termination: Termination) -> None:
        self.monitor.descriptors.release(Use.TARGETS)
        run.on_dial_ended()
        run.end(termination)

    def park(self, connection: Connection) -> None:
        """Add a connection to its pool for later runs, or close it if its target drains."""
        pool = connection.pool
        if pool.draining_since is not None:
            connection.close()
        else:
            connection.idle_since = self.loop.time()
            pool.idle.append(connection)

    def _close_oldest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        idle = (pool for pool in self.pools.values() if pool.idle)
        oldest = min(idle, key=lambda pool: pool.idle[0].idle_since, default=None)
        if oldest:
            oldest.idle.pop(0).close()
        return oldest is not None

    def sweep(self) -> None:
        """Close connections that have been idle for long, and end streams that make no progress."""
        before = self.loop.time() - IDLE_TIMEOUT_FRACTION * self.limits.connection_idle_timeout
        for pool in self.pools.values():
            pool.close_idle(before)
        for connection in list(self.streams):
            connection.check_progress(self.loop.time())
