"""A box on a loop: the model's answers as HTTP/1.1, at one address for each proxy.

1. An attempt counts once its last byte has come; it is given up when its connection ends in either direction.
2. What a silent or cut off box is sent goes unheard, and such a connection is reset once the box is back.
3. A connection has one exchange at a time: whatever comes while one is out breaks it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from math import inf
from typing import cast

import httptools

from firvane.core.net.http_message import HttpError, Message
from firvane.core.net.http_reader import MessageReader
from firvane.simulation.emulation.backend import Completion, EmulatedBackend, JobEnd
from firvane.simulation.emulation.records import Arrived, BoxState, Dropped, Finished, Probed, Record
from firvane.simulation.runner.clock import Clock, Timer
from firvane.simulation.runner.listeners import Address, Door, Doors, reset
from firvane.simulation.runner.wire import Ask, Jobs, quick_ask

Sink = Callable[[Record], None]

PROBES = (b"/alive", b"/metrics/load")
SWEEPS = 10  # looks for idle connections within the time that they are given


def _answer(status: bytes, body: bytes, more: bytes = b"") -> bytes:
    return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (status, more, len(body), body)


TURNED_AWAY = _answer(b"503 Service Unavailable", b"full\n", b"X-Rejected: 1\r\n")
TOO_MANY = _answer(b"503 Service Unavailable", b"full\n", b"X-Rejected: 1\r\nConnection: close\r\n")
UNKNOWN = _answer(b"400 Bad Request", b"no client sent this\n")
NO_ID = _answer(b"404 Not Found", b"nothing here\n")
ALIVE = _answer(b"200 OK", b"alive\n")
NOT_ALIVE = _answer(b"503 Service Unavailable", b"not now\n")


class Attempt:
    """An attempt that the model has in work or waiting."""

    __slots__ = ("call", "connection", "is_first")

    def __init__(self, call: str, connection: Connection, is_first: bool) -> None:
        self.call, self.connection, self.is_first = call, connection, is_first


class Way:
    """How one proxy reaches one box."""

    def __init__(self, host: Host, proxy: str, address: Address) -> None:
        self.host, self.proxy, self.address = host, proxy, address
        self.door: Door = host.doors(address, self.make)
        self.is_cut = False
        self.delay = 0.0  # s there and back, where the loop's own links have none
        self.connections: dict[Connection, None] = {}  # in their order: runs must be alike
        self.gone: list[Connection] = []  # ended while cut off: the box has yet to learn of it

    def make(self) -> Connection:
        return Connection(self)


class Connection(asyncio.Protocol):
    """One connection from a proxy."""

    __slots__ = (
        "attempt", "began", "idle_since", "is_over", "is_spoilt", "is_used", "reader", "start", "transport",
        "way",
    )  # fmt: skip

    def __init__(self, way: Way) -> None:
        self.way = way
        self.transport: asyncio.Transport
        self.attempt: str | None = None  # the model's name of the one that is out
        self.reader: MessageReader | None = None  # once a message has come in pieces or in another form
        self.began = -1.0
        self.is_used = False
        self.is_over = False  # one more than the box holds
        self.is_spoilt = False  # something was lost on it
        self.start = 0
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        host = self.way.host
        self.way.connections[self] = None
        self.idle_since = now = host.clock.now()
        self.is_over = not host.box.connect(now)
        self.start = host.box.start
        if not (host.box.is_up or host.is_unheard(self.way)):
            reset(self.transport)  # it came just before the process ended

    def connection_lost(self, error: Exception | None) -> None:
        way = self.way
        way.connections.pop(self, None)
        if self.attempt is not None:
            way.host.dropped(self.attempt)
        if way.is_cut:
            way.gone.append(self)
        else:
            way.host.lost(self)

    def data_received(self, data: bytes) -> None:
        way = self.way
        if way.host.is_unheard(way):
            self.is_spoilt = True
            way.host.unheard(way.proxy, data)
        elif self.attempt is not None:
            reset(self.transport)
        elif self.reader is None and (ask := quick_ask(data)):
            now = way.host.clock.now()
            way.host.asked(self, ask, now, now)
        else:
            self._read(data)

    def _read(self, data: bytes) -> None:
        host = self.way.host
        now = host.clock.now()
        if self.reader is None:
            self.reader, self.began = MessageReader(httptools.HttpRequestParser), now
        try:
            self.reader.feed(data)
        except HttpError:
            reset(self.transport)
            return
        if len(self.reader.completed) > 1:
            reset(self.transport)
        elif self.reader.completed:
            message = self.reader.completed.pop()
            self.reader = None
            host.asked(self, _ask(message), self.began, now)

    def write(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)


def _ask(message: Message) -> Ask:
    head = b"".join(b"\r\n%s: %s" % header for header in message.headers)
    return Ask(message.url, message.fields.get(b"x-call-id", b""), head + b"\r\n")


class Host:
    """A box and its ways in."""

    def __init__(
        self,
        clock: Clock,
        doors: Doors,
        box: EmulatedBackend,
        ways: dict[str, Address],
        jobs: Jobs,
        sink: Sink,
    ) -> None:
        self.clock, self.doors, self.box, self.jobs, self.sink = clock, doors, box, jobs, sink
        self.ways = {proxy: Way(self, proxy, address) for proxy, address in ways.items()}
        self.attempts: dict[str, Attempt] = {}
        self.copies = 0
        self.held: list[tuple[Connection, bytes]] = []  # what it would say, were it not paused
        self.timer: Timer | None = None
        self.state = ""
        self.on_fall: Callable[[], None] = lambda: None

    def open(self) -> None:
        """Take connections; `OSError` where an address cannot be had."""
        for way in self.ways.values():
            way.door.accept()
        self.note(self.clock.now())
        self._sweep(self.clock.now())

    # What proxies do

    def asked(self, connection: Connection, ask: Ask, began: float, now: float) -> None:
        box, is_first, connection.is_used = self.box, not connection.is_used, True
        connection.idle_since = now
        if ask.path in PROBES:
            self.sink(Probed(now, connection.way.proxy, box.name))
            self.say(connection, ALIVE if box.probe(now) else NOT_ALIVE)
            self.settle(now)
            return
        job = self.jobs.job(ask)
        call, proxy = ask.call.decode("latin-1"), connection.way.proxy
        if job is None:
            if ask.call:
                self.sink(Arrived(now, call, proxy, box.name, box.start, began, 0.0, "unknown call"))
            self.say(connection, UNKNOWN if ask.call else NO_ID)
            return
        # A copy may come while the box still works on an earlier one of the same call.
        self.copies += call in self.attempts
        name = f"{call}+{self.copies}" if call in self.attempts else call
        if connection.is_over:
            verdict, cost = "turned away", job.work
            self.say(connection, TOO_MANY)
            connection.transport.close()
        else:
            verdict, cost = box.offer(now, name, job.key, job.work)
            if verdict == "unheard":
                reset(connection.transport)
                return
            if verdict == "taken":
                self.attempts[name] = Attempt(call, connection, is_first)
                connection.attempt = name
            else:
                self.say(connection, TURNED_AWAY)
        self.sink(Arrived(now, call, proxy, box.name, box.start, began, cost, verdict))
        self.settle(now)

    def is_unheard(self, way: Way) -> bool:
        """Whether what comes this way is lost, and nothing goes out on it."""
        return way.is_cut or self.box.state == "silent"

    def unheard(self, proxy: str, data: bytes) -> None:
        """A proxy has written this to a box that does not hear it."""
        ask = quick_ask(data)
        if ask and ask.call and ask.path not in PROBES:
            now, box = self.clock.now(), self.box
            call = ask.call.decode("latin-1")
            self.sink(Arrived(now, call, proxy, box.name, box.start, now, 0.0, "unheard"))

    def dropped(self, name: str) -> None:
        """A proxy has ended the connection of an attempt that is out."""
        if attempt := self.attempts.get(name):
            self.sink(Dropped(self.clock.now(), attempt.call, self.box.name))

    def lost(self, connection: Connection) -> None:
        """The box learns that a connection has ended."""
        now = self.clock.now()
        if not connection.is_over:
            self.box.disconnect(now, connection.start)
        if connection.attempt is not None:
            self.box.cancel(now, connection.attempt)
            self.settle(now)

    # What the box does

    def settle(self, now: float) -> None:
        """Say what is due, and set the timer for what comes next."""
        at = self.box.next_at()
        if at <= now:
            for done in self.box.advance(now):
                self._done(done, now)
            at = self.box.next_at()
        if self.box.state != self.state:
            self.note(now)
        timer = self.timer
        if timer is None or not timer.live or at < timer.at:
            if timer:
                timer.cancel()
            self.timer = self.clock.call_at(at, self.settle) if at < inf else None

    def _done(self, done: Completion, now: float) -> None:
        attempt = self.attempts.pop(done.call)
        connection = attempt.connection
        wanted = done.end is JobEnd.COMPLETED
        self.sink(Finished(now, attempt.call, self.box.name, self.box.start, done.spent, wanted))
        if connection.attempt != done.call:
            return
        connection.attempt = None
        connection.idle_since = now
        if not wanted:
            return
        data = _answer(b"200 OK", self.jobs.body(attempt.call.encode()))
        # A handshake takes the first request its time, and links without a delay of their own lend them none.
        wait = connection.way.delay + (self.box.boxes.connect_s if attempt.is_first else 0.0)
        if wait:
            connection.attempt = done.call  # nothing else may come before its answer has gone
            self.clock.call_at(now + wait, self._say_late, connection, data)
        else:
            self.say(connection, data)

    def _say_late(self, now: float, connection: Connection, data: bytes) -> None:
        connection.attempt = None
        self.say(connection, data)

    def say(self, connection: Connection, data: bytes) -> None:
        if self.is_unheard(connection.way):
            connection.is_spoilt = True
        elif self.box.state == "paused":
            self.held.append((connection, data))
        else:
            connection.write(data)

    def note(self, now: float) -> None:
        """Take in that the model has changed."""
        box, before = self.box, self.state
        self.state = box.state
        if before == "paused" and box.is_up:
            self._put(now, "back")
            held, self.held = self.held, []
            for connection, data in held:
                self.say(connection, data)
        else:
            self._put(now, box.state)
        if not box.is_up:
            self.held.clear()
        if box.state in ("fell", "down"):
            self.break_connections()
        self.set_doors()
        if box.state == "fell":
            self.on_fall()

    def _put(self, now: float, state: str) -> None:
        box = self.box
        self.sink(BoxState(now, box.name, box.start, state, box.kind.name, box.zone, box.capacity(now)))

    # What befalls it

    def restart(self, now: float) -> None:
        """It comes back, cold; what was open to it before is reset."""
        self.break_connections()
        self.box.restart(now)
        self.settle(now)

    def slow(self, now: float, part: float) -> None:
        """It does `part` of what it can, which is told as a state of its own: the judge goes by it."""
        self.box.slow(now, part)
        self.settle(now)
        if self.box.is_up:
            self._put(now, self.box.state)

    def cut(self, proxy: str) -> None:
        self.ways[proxy].is_cut = True
        self.set_doors()

    def heal(self, proxy: str) -> None:
        """The way is whole again; connections on which something was lost are reset."""
        way = self.ways[proxy]
        way.is_cut = False
        gone, way.gone = way.gone, []
        for connection in gone:
            self.lost(connection)
        for connection in list(way.connections):
            if connection.is_spoilt:
                reset(connection.transport)
        self.set_doors()

    def set_doors(self) -> None:
        for way in self.ways.values():
            if self.is_unheard(way):
                way.door.hang()
            elif self.box.is_up:
                way.door.accept()
            else:
                way.door.refuse()

    def break_connections(self) -> None:
        for way in self.ways.values():
            for connection in list(way.connections):
                if way.is_cut:
                    connection.is_spoilt = True  # its other side hears of it once it can
                else:
                    reset(connection.transport)

    def close(self) -> None:
        """The end of the rehearsal."""
        for way in self.ways.values():
            way.door.refuse()
            for connection in list(way.connections):
                connection.transport.abort()

    def _sweep(self, now: float) -> None:
        """Close what has stood idle."""
        idle_s = self.box.boxes.idle_s
        if self.box.is_up:
            before = now - idle_s * (1 - 1 / SWEEPS)
            for way in self.ways.values():
                for connection in list(way.connections):
                    if not way.is_cut and connection.attempt is None and connection.idle_since <= before:
                        connection.transport.close()
        self.clock.call_at(now + idle_s / SWEEPS, self._sweep)
