"""The clients' connections to proxies: kept, one request at a time, or several in one write.

1. A request that crosses the close of a connection used before is sent once more, on a new connection.
2. Whichever connection is free first serves who has waited longest.
3. What comes and is no answer, or is one that nobody waits for, ends the connection.
"""

from __future__ import annotations

import asyncio
from collections import deque
from math import inf
from typing import Protocol, cast

import httptools

from firvane.core.net.http_message import HttpError
from firvane.core.net.http_reader import MessageReader
from firvane.simulation.emulation.clients import Try
from firvane.simulation.emulation.records import Decided
from firvane.simulation.runner.backends import Sink
from firvane.simulation.runner.clock import Clock, Timer
from firvane.simulation.runner.ingress import Front, Seen
from firvane.simulation.runner.listeners import Address
from firvane.simulation.runner.wire import Seals, field, head_of, quick_answer

CROSSED_S = 0.05  # s after a request in which the end of its connection may have been on its way already
SLOW_S = 0.1  # s for which a slow reader leaves its answer lying
FINE = 200


class Run:
    """A try under way."""

    __slots__ = ("connection", "is_again", "is_asked", "is_over", "sent_at", "timer", "try_")

    def __init__(self, try_: Try) -> None:
        self.try_ = try_
        self.connection: Connection | None = None
        self.timer: Timer | None = None
        self.sent_at = 0.0
        self.is_asked = False
        self.is_again = False  # it has been sent a second time, over a new connection
        self.is_over = False


class Owner(Protocol):
    """What connections ask of the clients whose they are; all of one rehearsal's process."""

    clock: Clock
    front: Front
    seals: Seals
    sink: Sink
    banks: dict[str, Bank]
    resets_tell: bool  # a reset says that the proxy left the request unread
    told_epochs: bool  # answers may tell by which policy they were decided

    def request(self, try_: Try, now: float) -> bytes:
        """The bytes of a try that is sent now."""

    def reads_slowly(self, try_: Try) -> bool:
        """Whether its client leaves the answer lying for a while."""

    def note_asked(self, t: Try, proxy: str, now: float, taken: bool = True) -> None:
        """A try is sent to a proxy, or was to be and could not where it is not `taken`."""

    def unreached(self, run: Run, proxy: str) -> None:
        """No connection for it came up."""

    def answered(
        self, run: Run, now: float, proxy: str, status: int, retry_after: float, body_of: str
    ) -> None:
        """Its answer is here; status 0 where the connection ended without one."""

    def answered_twice(self, connection: Connection, data: bytes) -> None:
        """More came on a connection than was asked for."""


class Connection(asyncio.Protocol):
    """A client's connection to a proxy, with one request at a time."""

    __slots__ = ("bank", "is_used", "last_call", "reader", "run", "transport")

    def __init__(self, bank: Bank) -> None:
        self.bank = bank
        self.transport: asyncio.Transport
        self.run: Run | None = None
        self.reader: MessageReader | None = None  # once an answer comes in pieces
        self.is_used = False
        self.last_call = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.bank.connections[self] = None

    def send(self, run: Run, now: float) -> None:
        try_ = run.try_
        clients = self.bank.clients
        self.run, run.connection, run.sent_at, run.is_asked = run, self, now, True
        self.last_call = try_.call
        clients.note_asked(try_, self.bank.name, now)
        self.transport.write(clients.request(try_, now))
        if clients.reads_slowly(try_):
            self.transport.pause_reading()
            clients.clock.call_at(now + SLOW_S, self._read_on)

    def _read_on(self, now: float) -> None:
        self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.run is None:
            # An answer that nobody waits for: the second one to the last request, or to none.
            self.bank.clients.answered_twice(self, data)
            self.transport.abort()
            return
        if self.reader is None and (quick := quick_answer(data)):
            status, body = quick
            head = head_of(data)
            keep = b"close" not in head
            if self.bank.clients.told_epochs:
                self._decided(field(head, b"x-policy-epoch"))
            retry_after = _seconds(field(head, b"retry-after")) if status != FINE else 0.0
            self._answered(status, body, retry_after, keep)
            return
        if self.reader is None:
            self.reader = MessageReader(httptools.HttpResponseParser)
        try:
            self.reader.feed(data)
        except HttpError:
            self._broken()
            return
        done = [message for message in self.reader.completed if message.status >= FINE]
        self.reader.completed.clear()
        if done:
            message, more = done[0], len(done) > 1 or self.reader.message is not None
            self.reader = None
            retry_after = _seconds(message.fields.get(b"retry-after", b""))
            self._decided(message.fields.get(b"x-policy-epoch", b""))
            self._answered(
                message.status, b"".join(message.body), retry_after, message.keep_alive and not more
            )
            if more:
                self.bank.clients.answered_twice(self, data)

    def eof_received(self) -> None:
        message = self.reader.message if self.reader else None
        if self.run and message and not self.reader_in_head() and not message.is_framed:
            # A body that lasts until its connection ends.
            self._answered(message.status, b"".join(message.body), 0.0, False)

    def reader_in_head(self) -> bool:
        return self.reader is None or self.reader.in_head

    def connection_lost(self, error: Exception | None) -> None:
        bank = self.bank
        bank.connections.pop(self, None)
        if self in bank.idle:
            bank.idle.remove(self)
        run, self.run = self.run, None
        if run is None:
            return
        clients = bank.clients
        now = clients.clock.now()
        unread = clients.resets_tell and isinstance(error, ConnectionResetError)
        crossed = unread or now - run.sent_at <= CROSSED_S
        if crossed and self.reader is None and self.is_used and not run.is_again:
            run.is_again, run.connection = True, None
            clients.front.leads(run.try_, bank, clients.banks).dial(run)
        else:
            clients.answered(run, now, bank.name, 0, 0.0, "")

    def _decided(self, epoch: bytes) -> None:
        """What an answer's head tells of the policy, where it does."""
        run, clients = self.run, self.bank.clients
        if epoch.isdigit() and run and not run.is_over:
            clients.sink(Decided(clients.clock.now(), run.try_.call, self.bank.name, int(epoch)))

    def _answered(self, status: int, body: bytes, retry_after: float, keep: bool) -> None:
        run, self.run = self.run, None
        bank = self.bank
        clients = bank.clients
        self.is_used = True
        if keep:
            bank.free(self)
        else:
            self.transport.close()
        if run:
            body_of = clients.seals.made_for(body) if status == FINE else ""
            clients.answered(run, clients.clock.now(), bank.name, status, retry_after, body_of)

    def leaves(self) -> list[Run]:
        """Its client goes: what is still out on it."""
        run, self.run = self.run, None
        return [run] if run else []

    def _broken(self) -> None:
        """What came is no answer; the client can tell, and hangs up."""
        run, self.run = self.run, None
        self.transport.abort()
        if run:
            self.bank.clients.answered(run, self.bank.clients.clock.now(), self.bank.name, 0, 0.0, "")


class Volley(Connection):
    """A connection of its own for requests that are sent in one write, and answered in their order."""

    __slots__ = ("runs",)

    def __init__(self, bank: Bank, runs: list[Run]) -> None:
        super().__init__(bank)
        self.runs = deque(runs)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        clients = self.bank.clients
        now = clients.clock.now()
        self.runs = deque(run for run in self.runs if not run.is_over)
        for run in self.runs:
            run.connection, run.sent_at, run.is_asked = self, now, True
            clients.note_asked(run.try_, self.bank.name, now)
        if self.runs:
            self.transport.write(b"".join(clients.request(run.try_, now) for run in self.runs))
            self._next()
        else:  # it has gone before it was there
            self.transport.abort()

    def _next(self) -> None:
        """On to the next one that is owed an answer."""
        self.reader = None
        self.run = self.runs[0] if self.runs else None
        self.last_call = self.run.try_.call if self.run else self.last_call

    def data_received(self, data: bytes) -> None:
        clients = self.bank.clients
        reader = self.reader = self.reader or MessageReader(httptools.HttpResponseParser)
        try:
            reader.feed(data)
        except HttpError:
            self.transport.abort()  # what is still out ends with it
            return
        done = [message for message in reader.completed if message.status >= FINE]
        reader.completed.clear()
        for message in done:
            if self.run is None:
                clients.answered_twice(self, data)
                self.transport.abort()
                return
            run, status = self.runs.popleft(), message.status
            body_of = clients.seals.made_for(b"".join(message.body)) if status == FINE else ""
            retry_after = _seconds(message.fields.get(b"retry-after", b""))
            self._decided(message.fields.get(b"x-policy-epoch", b""))
            self.is_used = True
            self._next()
            self.reader = reader  # it may hold the beginning of the next answer
            clients.answered(run, clients.clock.now(), self.bank.name, status, retry_after, body_of)
        if done and not self.run:
            self.transport.close()

    def leaves(self) -> list[Run]:
        runs, self.run = list(self.runs), None
        self.runs.clear()
        return runs

    def eof_received(self) -> None: ...

    def connection_lost(self, error: Exception | None) -> None:
        """What is out has crossed the end of its connection: it goes once more, each on its own."""
        bank, clients = self.bank, self.bank.clients
        bank.connections.pop(self, None)
        first, now = self.run, clients.clock.now()
        for run in self.leaves():
            # The first of them may have been read; those behind an answer that ended the connection were not.
            if run is not first or self.is_used:
                run.is_again, run.connection = True, None
                clients.front.leads(run.try_, bank, clients.banks).dial(run)
            else:
                clients.answered(run, now, bank.name, 0, 0.0, "")


class Bank(Seen):
    """The clients' connections to one proxy."""

    def __init__(self, clients: Owner, name: str, zone: str, address: Address, most_idle: int) -> None:
        super().__init__(name, zone, address)
        self.clients = clients
        self.most_idle = most_idle
        self.connections: dict[Connection, None] = {}
        self.idle: list[Connection] = []  # used last, last
        self.waiting: deque[Run] = deque()
        self.dials: dict[asyncio.Task[object], None] = {}

    def take(self, run: Run, now: float) -> None:
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                connection.send(run, now)
                return
        self.dial(run)

    def dial(self, run: Run) -> None:
        """One more connection. Whichever is free first serves who has waited longest."""
        self.waiting.append(run)
        loop = self.clients.clock.loop
        dial = loop.create_task(loop.create_connection(lambda: Connection(self), *self.address))
        self.dials[dial] = None
        dial.add_done_callback(self._dialled)

    def volley(self, runs: list[Run]) -> None:
        """Requests that are sent in one write, on a connection of their own."""
        loop = self.clients.clock.loop
        dial = loop.create_task(loop.create_connection(lambda: Volley(self, runs), *self.address))
        self.dials[dial] = None

        def dialled(dial: asyncio.Task[tuple[object, Connection]]) -> None:
            self.dials.pop(dial, None)
            if not dial.cancelled() and dial.exception():
                for run in runs:
                    if not run.is_over:
                        self.clients.unreached(run, self.name)

        dial.add_done_callback(dialled)

    def _dialled(self, dial: asyncio.Task[tuple[object, Connection]]) -> None:
        self.dials.pop(dial, None)
        if dial.cancelled():
            return
        if dial.exception() is None:
            _, connection = dial.result()
            if not connection.transport.is_closing():
                self.free(connection)
                return
        if self.waiting:
            self.clients.unreached(self.waiting.popleft(), self.name)

    def free(self, connection: Connection) -> None:
        connection.reader = None
        if self.waiting:
            connection.send(self.waiting.popleft(), self.clients.clock.now())
        elif len(self.idle) < self.most_idle:
            self.idle.append(connection)
        else:
            connection.transport.close()

    def close(self) -> None:
        for dial in self.dials:
            dial.cancel()
        for connection in list(self.connections):
            connection.leaves()
            connection.transport.abort()


def _seconds(value: bytes) -> float:
    """What a `Retry-After` says; 0 where it is no number of seconds."""
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return seconds if 0.0 <= seconds < inf else 0.0
