"""The clients: an open loop of tries over connections that are kept.

1. When a try is sent depends on the crowd alone. No proxy can hold up what goes to another, or to itself.
2. Every try ends once: answered, cut off (status 0), or given up, and its connection closed, at its deadline.
3. A request that crosses the close of a connection used before is sent once more, on a new connection.
4. A client waits for what is slack in the rules beyond its deadline, so that an answer in it is seen.
5. Clients that leave (`Load.leaving`) close or reset their connection while they wait. Where `at_once` says
   so, those of one proxy are one client that sends so many requests in one write, when the last of them
   falls due, on a connection of its own, and leaves them all together.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from math import floor, inf
from typing import cast

import httptools

from firvane.fleet.crowd import Crowd, Leave, Try
from firvane.fleet.records import Abandoned, Answered, Asked, Decided
from firvane.net.http import Fault, Reader
from firvane.rehearsal.boxes import Sink
from firvane.rehearsal.clock import Clock, Timer
from firvane.rehearsal.doors import reset
from firvane.rehearsal.front import Front, Seen
from firvane.rehearsal.plan import Address
from firvane.rehearsal.wire import Seals, field, head_of, quick_answer

CROSSED_S = 0.05  # s after a request in which the end of its connection may have been on its way already
SLACK_S = 0.05  # s beyond a deadline in which an answer still counts
VANISH = (0.05, 0.5)  # part of its time after which a client goes that does not wait
SLOW_S = 0.1  # s for which a slow reader leaves its answer lying
EARLY_S = 0.05  # s before its deadline at which one leaves at the latest that leaves early
FINE = 200
ORDER = b"Content-Length: 5\r\n\r\ndo it"


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


class Connection(asyncio.Protocol):
    """A client's connection to a proxy, with one request at a time."""

    __slots__ = ("bank", "is_used", "last_call", "reader", "run", "transport")

    def __init__(self, bank: Bank) -> None:
        self.bank = bank
        self.transport: asyncio.Transport
        self.run: Run | None = None
        self.reader: Reader | None = None  # once an answer comes in pieces
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
            self.reader = Reader(httptools.HttpResponseParser)
        try:
            self.reader.feed(data)
        except Fault:
            self._broken()
            return
        done = [message for message in self.reader.done if message.status >= FINE]
        self.reader.done.clear()
        if done:
            message, more = done[0], len(done) > 1 or self.reader.message is not None
            self.reader = None
            retry_after = _seconds(message.fields.get(b"retry-after", b""))
            self._decided(message.fields.get(b"x-policy-epoch", b""))
            self._answered(message.status, b"".join(message.body), retry_after, message.keep and not more)
            if more:
                self.bank.clients.answered_twice(self, data)

    def eof_received(self) -> None:
        message = self.reader.message if self.reader else None
        if self.run and message and not self.reader_in_head() and not message.framed:
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
        reader = self.reader = self.reader or Reader(httptools.HttpResponseParser)
        try:
            reader.feed(data)
        except Fault:
            self.transport.abort()  # what is still out ends with it
            return
        done = [message for message in reader.done if message.status >= FINE]
        reader.done.clear()
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


def _seconds(value: bytes) -> float:
    """What a `Retry-After` says; 0 where it is no number of seconds."""
    try:
        seconds = float(value)
    except ValueError:
        return 0.0
    return seconds if 0.0 <= seconds < inf else 0.0


class Bank(Seen):
    """The clients' connections to one proxy."""

    def __init__(self, clients: Clients, name: str, zone: str, address: Address, most_idle: int) -> None:
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


class Clients:
    """All clients, or the `part` of `parts` that is this process's."""

    def __init__(
        self,
        clock: Clock,
        crowd: Crowd,
        proxies: dict[str, tuple[str, Address]],
        seals: Seals,
        seed: int,
        sink: Sink,
        on_ready: Callable[[str], None],
        part: int = 0,
        parts: int = 1,
        resets_tell: bool = False,
        told_epochs: bool = False,
    ) -> None:
        """`proxies` maps a name to its zone and address; `told_epochs`: answers may tell by which policy.

        `resets_tell`: a reset says that the proxy left the request unread, as that of a kernel does. Links in
        memory also reset what is aborted, and would hide the loss of a request that was taken.
        """
        self.clock, self.crowd, self.seals, self.sink = clock, crowd, seals, sink
        self.part, self.parts, self.resets_tell = part, parts, resets_tell
        self.told_epochs = told_epochs
        most_idle = max(1, crowd.load.connections // parts)
        self.banks = {
            name: Bank(self, name, zone, address, most_idle) for name, (zone, address) in proxies.items()
        }
        self.front = Front(clock, self.banks, seed, crowd.admit, on_ready)
        self.tries: Iterator[tuple[Try, ...]] = iter(())
        self.next: tuple[Try, ...] = ()  # those that are sent together, nearly always one
        self.until = 0.0
        self.out = 0  # tries under way or still to come

    def begin(self, until: float) -> None:
        """Ask from 0 s on; first tries end at `until`."""
        self.until = until
        self.tries = self._mine()
        self.next = next(self.tries, ())
        self._plan()

    def _mine(self) -> Iterator[tuple[Try, ...]]:
        company: dict[str, list[Try]] = {}  # at each proxy, those that leave and go together
        for number, try_ in enumerate(self.crowd.tries()):
            if try_.at >= self.until:
                return
            if number % self.parts != self.part:
                continue
            if self.crowd.load.at_once > 1 and self.crowd.leave(try_):
                together = company.setdefault(try_.proxy, [])
                together.append(try_)
                if len(together) == self.crowd.load.at_once:
                    del company[try_.proxy]
                    yield tuple(one._replace(at=try_.at, first_at=try_.at) for one in together)
            else:
                yield (try_,)

    def _plan(self) -> None:
        if self.next:
            self.clock.call_at(self.next[0].at, self._due)

    def _due(self, now: float) -> None:
        while self.next and self.next[0].at <= now:
            tries, self.next = self.next, next(self.tries, ())
            self.clock.fire(tries[0].at)  # one timer stands for all that are due: each is late by itself
            self.out += len(tries)
            if len(tries) == 1:
                self._ask(now, tries[0])
            else:
                self._ask_at_once(now, tries)
        self._plan()

    def _ask_at_once(self, now: float, tries: tuple[Try, ...]) -> None:
        """Several requests of one client in one write, which goes before their time."""
        runs = [Run(try_) for try_ in tries]
        first = tries[0]
        bank = self.front.leads(first, self.banks[first.proxy], self.banks)
        leave = self.crowd.leave(first)
        assert leave
        at = min(self._leaves_at(try_.at, leave, try_.deadline) for try_ in tries)
        for run in runs:
            run.timer = self.clock.call_at(at, self._leave, run, leave)
        bank.volley(runs)

    def _leaves_at(self, sent: float, leave: Leave, deadline: float) -> float:
        """When one leaves that does; before its time, or it would only have waited in vain."""
        at, beat = sent + leave.after, self.crowd.load.leave_beat_s
        if beat:
            at = (floor(at / beat) + 1) * beat
        return min(at, deadline - EARLY_S)

    def _ask(self, now: float, try_: Try) -> None:
        run = Run(try_)
        bits = int(try_.call[:8], 16)
        if bits < self.crowd.load.vanishing * 2**32:
            low, high = VANISH
            left = try_.budget_ms / 1e3 * (low + (high - low) * (bits & 0xFFFF) / 2**16)
            run.timer = self.clock.call_at(try_.at + left, self._give_up, run)
        elif leave := self.crowd.leave(try_):
            at = self._leaves_at(try_.at, leave, try_.deadline)
            run.timer = self.clock.call_at(at, self._leave, run, leave)
        else:
            run.timer = self.clock.call_at(try_.deadline + SLACK_S, self._give_up, run)
        bank = self.banks[try_.proxy]
        if not bank.idle:
            bank = self.front.leads(try_, bank, self.banks)
        bank.take(run, now)

    def reads_slowly(self, try_: Try) -> bool:
        return int(try_.call[8:], 16) < self.crowd.load.slow_readers * 2**32

    def request(self, try_: Try, now: float) -> bytes:
        call = try_.call.encode()
        return (
            b"%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: %s\r\nX-Caller: %s\r\nX-Route-Hash: %s\r\n"
            b"X-Budget-Ms: %d\r\nX-Call-Cost: %d\r\n%s%s"
            % (
                b"GET" if self.crowd.load.may_repeat else b"POST",
                self.seals.path(call, try_.key, try_.work),
                call,
                try_.community.encode(),
                try_.key.encode(),
                max(1, round((try_.deadline - now) * 1e3)),
                try_.hint_us,
                b"X-Again: 1\r\n" if try_.marked else b"",
                b"\r\n" if self.crowd.load.may_repeat else ORDER,
            )
        )

    # How a try ends

    def note_asked(self, t: Try, proxy: str, now: float, taken: bool = True) -> None:
        asked = Asked(
            now, t.call, t.first, t.at, proxy, t.zone, t.community, t.key, t.work, t.worth, t.aim,
            t.deadline, t.number > 0, taken,
        )  # fmt: skip
        self.sink(asked)

    def unreached(self, run: Run, proxy: str) -> None:
        """No connection for it came up."""
        now = self.clock.now()
        if run.is_asked:  # it crossed a close before: the proxy was owed it
            self.answered(run, now, proxy, 0, 0.0, "")
        else:
            self.note_asked(run.try_, proxy, now, False)
            self._end(run, now, 0, 0.0)

    def answered(
        self, run: Run, now: float, proxy: str, status: int, retry_after: float, body_of: str
    ) -> None:
        if run.is_over:
            return
        self.sink(Answered(now, run.try_.call, proxy, status, retry_after, body_of))
        self._end(run, now, status, retry_after)

    def answered_twice(self, connection: Connection, data: bytes) -> None:
        """More came on a connection than was asked for: a second answer to its last call."""
        status = int(data[9:12]) if data[9:12].isdigit() else 1
        if connection.last_call:
            now = self.clock.now()
            self.sink(Answered(now, connection.last_call, connection.bank.name, status, 0.0, ""))

    def _give_up(self, now: float, run: Run) -> None:
        if connection := run.connection:
            connection.run = None
            connection.transport.abort()
            self.sink(Abandoned(now, run.try_.call, connection.bank.name))
            self._end(run, now, 0, 0.0)
            return
        for bank in self.banks.values():
            if run in bank.waiting:
                bank.waiting.remove(run)
                self.unreached(run, bank.name)

    def _leave(self, now: float, run: Run, leave: Leave) -> None:
        """A client goes while its request waits, and with it whatever else it has sent behind that."""
        connection = run.connection
        if connection is None:  # it is not up yet
            waits = [bank for bank in self.banks.values() if run in bank.waiting]
            for bank in waits:
                bank.waiting.remove(run)
            self.unreached(run, waits[0].name if waits else run.try_.proxy)
            return
        runs = connection.leaves()
        if leave.by_reset:
            reset(connection.transport)
        else:
            connection.transport.close()
        for one in runs:
            self.sink(Abandoned(now, one.try_.call, connection.bank.name))
        for one in runs:
            self._end(one, now, 0, 0.0)

    def _end(self, run: Run, now: float, status: int, retry_after: float) -> None:
        run.is_over = True
        if run.timer:
            run.timer.cancel()
        again = None if status == FINE else self.crowd.again(now, run.try_, status, retry_after)
        if again:
            self.clock.call_at(again.at, self._ask, again)
        else:
            self.out -= 1

    @property
    def is_done(self) -> bool:
        """Whether all has been asked and has ended."""
        return not self.next and self.out == 0

    def close(self) -> None:
        self.front.close()
        for bank in self.banks.values():
            bank.close()
