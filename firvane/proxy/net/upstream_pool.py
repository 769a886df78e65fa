"""The way to the targets: a pool of connections for each, dials, and one exchange at a time on each.

Rules of a run (an exchange on its way) and its connection:

1. A run ends once. Who cancels it hears nothing more of it, and nothing more of it is written: its dial is
   given up, or its connection is closed with whatever of the request the kernel has not taken.
2. Each way to a run's first byte, over an idle connection or a new one, passes `Forwards._barred`: neither
   its target's grace nor its own time may be over, nor that in which it may begin, and whoever asked must
   still be there, as the kernel has it: the loop may not have heard. What it bars never ran.
3. A request is written once its last byte is with the kernel. A break before that never ran, one after it may
   have; where it cannot be told which, it may have.
4. A connection whose answer has come rests for `SETTLE` before the next run: a second answer comes late by
   milliseconds, and no answer says whose it is. Until then a run dials.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TypeAlias, cast

import httptools

from firvane.core.engine_protocols import Exchange
from firvane.core.interface import Limits, Rules
from firvane.core.net.connection_checks import Quiet
from firvane.core.net.dialer import Dialer
from firvane.core.net.http import (
    LAST_CHUNK,
    Buffered,
    Fault,
    Message,
    Piece,
    Reader,
    Stream,
    framed,
    request_head,
)
from firvane.core.net.upstream_exchange import UpstreamRun, close_idle
from firvane.core.terminations import Termination
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.limits.memory_account import SMALL, Held
from firvane.proxy.limits.memory_costs import IDLE_TARGET, WINDOW
from firvane.proxy.net.resource_monitor import Guard

IDLE_PART = 0.5  # of the idle time in the settings: a target may close sooner than that, never later
STALL = 10.0  # s without a byte of a long answer from a target that is not held
UNSURE = 0.2  # s after its head for which an answer of unknown length is held whole
MAX_INTERIM = 8  # 1xx answers in front of the real one
SETTLE = 0.02  # s after an answer in which more of it, or the connection's end, may still be on its way


class Pool:
    """One target: where it is, whether it may be sent to, and its idle connections, newest last."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.address: tuple[str, int] | None = None
        self.down_since: float | None = None  # when the list said that it drains or is gone
        self.idle: list[Connection] = []

    def take(self, settled: float) -> Connection | None:
        """The newest one that has been idle since then, or none: on one that came back later, more of its
        last answer may still be on its way, and would be taken for the next one's (rule 4)."""
        for place in range(len(self.idle) - 1, -1, -1):
            if self.idle[place].idle_since <= settled:
                return self.idle.pop(place)
        return None

    def close_idle(self, before: float = float("inf")) -> None:
        """Close the connections that have been idle since before a loop time."""
        close_idle(self.idle, before)


# An exchange on its way to a target: a name for the type, `UpstreamRun` itself is made.
Run: TypeAlias = UpstreamRun[Message, "Connection", Pool]


class Connection(Buffered):
    """One connection to a target; it is in its pool whenever it is idle."""

    def __init__(self, forwards: Forwards, pool: Pool, quiet: Quiet) -> None:
        self.forwards, self.pool, self.quiet = forwards, pool, quiet
        self.reader = Reader(httptools.HttpResponseParser)
        self.spoilt = False  # what came last made no sense
        self.interim = 0  # 1xx answers to the request that is out
        self.run: Run | None = None
        self.idle_since = 0.0
        self.written = True  # the last byte of the request has gone to the kernel
        self.kept = 0  # bytes charged for an answer that is half here
        self.paused = False  # it has grown large, and waits for a lease
        self.headed = 0.0  # when the answer's head was here
        self.stream: Stream | None = None  # a long answer, on its way to its client
        self.held = False  # which takes no more of it now
        self.moved = 0.0  # when some of it last came
        self.pouring: Stream | None = None  # a long request, on its way from its client
        self.chunked = False  # in chunks
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.forwards.guard.account.charge(Held.TARGETS, IDLE_TARGET)
        # With no buffer allowed, a write goes out at once, and `resume_writing` tells when a rest has gone:
        # only so is it known whether a break came before or after the last byte.
        self.transport.set_write_buffer_limits(0)

    def send(self, run: Run) -> None:
        now = self.forwards.loop.time()
        left = max(1, int((run.exchange.deadline - now) * 1000))
        if run.request.stream:  # its time is counted from its last byte
            left = min(left, int(run.request.fields.get(b"x-budget-ms", b"1")))
        self.run, run.connection, self.written, self.interim = run, self, False, 0
        host = b"%s:%d" % (self.pool.address[0].encode(), self.pool.address[1]) if self.pool.address else b""
        self.transport.writelines([*request_head(run.request, left, host), *run.request.body])
        if run.request.stream:
            run.exchange.on_body_consumed()
            self.pouring, self.chunked = run.request.stream, run.request.length() is None
            self.pouring.pour(self)
            return
        self._is_written(run)

    def _is_written(self, run: Run) -> None:
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self.written = True
            run.exchange.on_request_sent()

    def usable(self) -> bool:
        """Whether nothing has come on it while idle.

        An end would turn the next forward into a reset, and more of the last answer into its answer.
        """
        return not self.transport.is_closing() and self.quiet()

    def more(self, pieces: list[Piece]) -> None:
        """More of a long request; once the answer is here nobody wants it any more."""
        if self.pouring and not self.transport.is_closing():
            self.transport.writelines(framed(pieces, self.chunked))
            if self.transport.get_write_buffer_size():
                self.pouring.choke(True)

    def last(self) -> None:
        if self.pouring and self.run and not self.transport.is_closing():
            self.pouring = None
            if self.chunked:
                self.transport.write(LAST_CHUNK)
            self._is_written(self.run)

    def hold(self, held: bool) -> None:
        """The client takes no more of a long answer, or more again."""
        if held is not self.held and not self.transport.is_closing():
            self.held, self.moved = held, self.forwards.loop.time()
            (self.transport.pause_reading if held else self.transport.resume_reading)()

    def resume_writing(self) -> None:
        if self.pouring:
            self.pouring.choke(False)
        elif self.run and not self.written:
            self._is_written(self.run)

    def data_received(self, data: bytes) -> None:
        run = self.run
        if run is None:
            self.close()  # nothing was asked: whatever this is, the next answer could not be told from it
            return
        at = 0
        while at < len(data) and not self.spoilt:
            try:
                at = self.reader.step(data, at)
            except Fault:
                self.spoilt = True  # an answer that was whole before it is still one
            if self._begin() and not self.run:
                return  # nobody wants it
            if self.reader.done:
                message = self.reader.done.pop(0)
                if message.status >= 200:  # an interim answer is followed by the real one
                    self._answered(message, at < len(data))
                    return
                # Nobody asked for another protocol, nor for interim answers without an end.
                self.interim += 1
                self.spoilt = message.status == 101 or self.interim > MAX_INTERIM
        if self.spoilt:
            self._end(Termination.BAD_RESPONSE)
        elif self.stream is None:
            self._settle()

    def _begin(self) -> bool:
        """Pass on what is here of an answer that is too long to be held, or may be; whether it is one."""
        message = self.reader.message
        if self.stream is None and (message is None or self.reader.in_head or message.status < 200):
            return False  # most answers are whole at once
        now = self.forwards.loop.time()
        if self.stream is None and message:
            self.headed = self.headed or now
            unsure = message.size > SMALL and message.length() is None and now > self.headed + UNSURE
            if not message.long and not unsure:
                return False
            if message.status != 200 or self.run is None:
                self._end(self._meaning(message))
                return True
            message.long = True
            message.stream = self.stream = Stream(self)
            self._release()
            self.forwards.streams[self] = None
            self.forwards.guard.account.charge(Held.ANSWERS, WINDOW)
            self.run.exchange.on_response_started(message)
        self.moved = now
        if message and self.stream:
            self.stream.feed(message.taken())
        return True

    def _cease(self) -> None:
        """No long answer is on its way any more."""
        self.headed, self.held = 0.0, False
        if self.stream:
            self.stream = None
            del self.forwards.streams[self]
            self.forwards.guard.account.charge(Held.ANSWERS, -WINDOW)

    def stalled(self, now: float) -> None:
        if not self.held and now > self.moved + STALL:
            self._end(Termination.DEADLINE_EXCEEDED)

    def _settle(self) -> None:
        """Charge what is half here; an answer that grows large is read on only with a lease."""
        guard, message = self.forwards.guard, self.reader.message
        kept = self.reader.raw if message else 0
        if kept != self.kept:
            guard.account.charge(Held.ANSWERS, kept - self.kept)
            self.kept = kept
        large = message is not None and message.size > SMALL
        if large and not self.paused and not guard.leases.ask(self, self._leased):
            self.paused = True
            self.transport.pause_reading()

    def _leased(self) -> None:
        self.paused = False
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _release(self) -> None:
        """Nothing of an answer is held here any more."""
        guard = self.forwards.guard
        guard.leases.give_back(self)
        if self.kept:
            guard.account.charge(Held.ANSWERS, -self.kept)
            self.kept = 0

    def _answered(self, message: Message, followed: bool) -> None:
        self._release()
        ending = self._meaning(message)
        if self.stream:
            self.stream.feed(message.taken())
            self.stream.end()
        more = followed or self.spoilt or self.reader.done or self.reader.message or not self.written
        self.pouring = None
        if message.keep and message.framed and not more and not self.transport.is_closing():
            self.hold(False)
            self._cease()
            run, self.run = self.run, None
            self.forwards.park(self)
            if run:
                run.end(ending, message)
        else:
            self._end(ending, message)

    def _meaning(self, message: Message) -> Termination:
        """What an answer means by its head."""
        if message.status == 200:
            return Termination.SERVED
        if message.status in (400, 404):
            return Termination.BAD_REQUEST
        if message.status in (503, 504) and message.fields.get(b"x-rejected") == b"1":
            # What is said on a connection that was never used, and ends it, is said of the connection.
            new = not message.keep and not self.idle_since
            return Termination.CONNECTION_REJECTED if new else Termination.REJECTED
        return Termination.SERVER_ERROR

    def _end(self, ending: Termination, message: Message | None = None) -> None:
        run, self.run = self.run, None
        self.pouring = None
        self.close()
        if run:
            run.end(ending, message)

    def eof_received(self) -> None:
        message = self.reader.message
        if self.run and message and message.status == 200 and not self.reader.in_head and not message.framed:
            # A body that lasts until the connection ends; unless the head says so, it may be cut short.
            told = message.fields.get(b"connection", b"").lower() == b"close"
            if told and self.stream:
                self.stream.end()
            self._end(Termination.SERVED if told else Termination.BROKEN_AFTER_SENT, message)

    def connection_lost(self, error: Exception | None) -> None:
        guard = self.forwards.guard
        guard.descriptors.give_back(Use.TARGETS)
        guard.account.charge(Held.TARGETS, -IDLE_TARGET)
        self.reader.drop()
        self._release()
        self._cease()
        self.pouring = None
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        run, self.run = self.run, None
        if run:
            run.end(Termination.BROKEN_AFTER_SENT if self.written else Termination.BROKEN_BEFORE_SENT)

    def close(self) -> None:
        self.transport.abort()


class Forwards:
    """All targets' pools, within one bound on sockets."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: Limits,
        rules: Rules,
        guard: Guard,
        dialer: Dialer,
    ) -> None:
        self.loop, self.limits, self.rules, self.guard = loop, limits, rules, guard
        self.dialer = dialer
        self.pools: dict[str, Pool] = {}
        self.streams: dict[Connection, None] = {}  # those with a long answer on its way
        self.dials = 0  # ever made, for the log

    def retune(self, limits: Limits, rules: Rules) -> None:
        self.limits, self.rules = limits, rules

    # The engine's side

    def forward(self, request: Message, target: str, exchange: Exchange[Message]) -> Run:
        pool = self.pools.get(target) or Pool(target)
        run: Run = UpstreamRun(request, pool, exchange)
        now = self.loop.time()
        if barred := self._barred(run, now):
            run.end(barred)
            return run
        while pool.idle and (connection := pool.take(now - SETTLE)):
            if connection.usable():
                connection.send(run)
                return run
            connection.close()
        self._dial(run)
        return run

    def probe(self, target: str, exchange: Exchange[Message]) -> Run:
        request = Message()
        request.method, request.url = b"GET", b"/alive"
        return self.forward(request, target, exchange)

    def close_idle(self, target: str) -> None:
        if pool := self.pools.get(target):
            pool.close_idle()

    # The list's side

    def listed(self, name: str, address: tuple[str, int] | None, up: bool) -> None:
        """What the list says of a target takes effect at once; without an address it is gone."""
        pool = self.pools.get(name) or Pool(name)
        if address and pool.address and address != pool.address:
            # Guards the new address against what is out to the old one: parked in one pool, its connections
            # would be taken for the new one's, and a dial on its way there would bring requests beyond the
            # grace. The old pool is left as one that is gone.
            self.listed(name, None, False)
            pool = Pool(name)
        if address:
            self.pools[name], pool.address = pool, address
        else:
            self.pools.pop(name, None)  # what is still out on it keeps it until its end
        if up:
            pool.down_since = None
        elif pool.down_since is None:
            pool.down_since = self.loop.time()
            pool.close_idle()

    # Connections

    def _barred(self, run: Run, now: float) -> Termination | None:
        """What forbids a run's first byte now, if anything (rule 2): a dial may end later than it began."""
        down_since = run.pool.down_since
        # A first byte sent at the very end of the grace could still be seen after it.
        if down_since is not None and now >= down_since + 0.9 * self.rules.drain_grace:
            return Termination.TARGET_DRAINED
        # Guards a target against a request whose time ran out in the same turn that its dial came up in, and
        # against a next attempt or a copy for a client whose end stands behind bytes that were not read.
        # And against one that would run again what it has run: it drops repeats up to a time.
        over = now >= min(run.exchange.deadline, run.exchange.start_before) or not run.request.wanted()
        return Termination.NOT_SENT if over else None

    def _dial(self, run: Run) -> None:
        pool = run.pool
        if pool.address is None:
            run.end(Termination.CONNECTION_REFUSED)
            return
        if not self.guard.descriptors.lease(Use.TARGETS):
            if not self._shed():
                run.end(Termination.NO_FREE_SOCKET)
                return
            self.guard.descriptors.count(Use.TARGETS)  # the one that gives way is as good as closed
        self.dials += 1
        run.dial = self.dialer.dial(
            pool.address,
            self.loop.time() + self.limits.connect_timeout,
            partial(Connection, self, pool),
            partial(self._up, run),
            partial(self._not_up, run),
        )

    def _up(self, run: Run, connection: Connection) -> None:
        if run.over or connection.transport.is_closing():
            connection.close()
            run.end(Termination.BROKEN_BEFORE_SENT)
        elif barred := self._barred(run, self.loop.time()):
            self.park(connection)
            run.end(barred)
        else:
            connection.send(run)

    def _not_up(self, run: Run, ending: Termination) -> None:
        self.guard.descriptors.give_back(Use.TARGETS)
        run.end(ending)

    def park(self, connection: Connection) -> None:
        pool = connection.pool
        if pool.down_since is not None:
            connection.close()
        else:
            connection.idle_since = self.loop.time()
            pool.idle.append(connection)

    def _shed(self) -> bool:
        """Close the connection that has been idle longest; whether there was one."""
        idle = (pool for pool in self.pools.values() if pool.idle)
        oldest = min(idle, key=lambda pool: pool.idle[0].idle_since, default=None)
        if oldest:
            oldest.idle.pop(0).close()
        return oldest is not None

    def sweep(self) -> None:
        """Close what has been idle for long, well before the target would."""
        before = self.loop.time() - IDLE_PART * self.limits.connection_idle_timeout
        for pool in self.pools.values():
            pool.close_idle(before)
        for connection in list(self.streams):
            connection.stalled(self.loop.time())
