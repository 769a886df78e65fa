"""Persistent clients: kept-alive connections are used until they end, whatever was said on them."""

from __future__ import annotations

import asyncio
import enum
import random
import zlib
from collections.abc import Sequence

from firvane.core.address import Address
from firvane.simulation.localfleet.ingress import Ingress
from firvane.simulation.localfleet.layout import Layout
from firvane.simulation.localfleet.request_message import compose_request
from firvane.simulation.localfleet.run_ledger import SentAttempt
from firvane.simulation.localfleet.schedule import PlannedRequest
from firvane.simulation.soak.connection import Exchange, SoakConnection
from firvane.simulation.soak.records import AttemptEnd, AttemptRecord, Record

CONNECT_TIMEOUT = 1.0  # s
LONGEST_PIECE_PAUSE = 2.0  # s between two parts of a request
LONGEST_SLOW_READ = 1.0  # s for which a client reads nothing
LONGEST_STAY = 0.5  # s after which a client that leaves has left
PROMISES = frozenset((408, 421, 429, 503))  # the request has not run and never will


class Habit(enum.Enum):
    """How a client comes to its connections."""

    STAYS = (
        "stays"  # at one router, whether it says that it is ready or not, on one connection while it lasts
    )
    KEEPS = "keeps"  # by readiness, on one connection while it lasts
    FRESH = "fresh"  # by readiness, a connection for each request


class Style(enum.Enum):
    """How one request is sent."""

    WHOLE = "whole"
    PIECES = "pieces"
    BEHIND = "behind"  # right behind another one, before that is answered
    LEAVES = "leaves"
    SLOW = "slow"  # nothing is read for a while


HABITS = {Habit.STAYS: 4, Habit.KEEPS: 4, Habit.FRESH: 2}  # weights
STYLES = {Style.WHOLE: 70, Style.PIECES: 10, Style.BEHIND: 10, Style.LEAVES: 4, Style.SLOW: 6}


class Clients:
    """All clients of one run."""

    def __init__(self, layout: Layout, ingress: Ingress, record: Record, seed: int) -> None:
        self.record = record
        self.sent: dict[bytes, SentAttempt] = {}
        self._loop = asyncio.get_running_loop()
        self._layout, self._ingress, self._seed = layout, ingress, seed
        self._names = {
            (node.host, layout.ports.front): node.name for node in layout.routers
        }  # of routers by address

    async def run(self, schedule: Sequence[PlannedRequest]) -> None:
        """Send all requests, each not before its time from now on; returns when the last one has ended."""
        by_client: dict[int, list[PlannedRequest]] = {}
        for planned in schedule:
            by_client.setdefault(planned.client, []).append(planned)
        start = self._loop.time()
        async with asyncio.TaskGroup() as tasks:
            for number, requests in by_client.items():
                tasks.create_task(Client(self, number, self._seed).run(requests, start))

    async def connect(self, router: Address) -> SoakConnection | None:
        """A new connection; None where none comes up."""
        name = self._names[router]
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await self._loop.create_connection(
                    lambda: SoakConnection(self._loop, name), *router
                )
        except (OSError, TimeoutError):
            return None
        return connection

    def choose(self, number: int, attempt: int) -> Address:
        """Where the platform sends a new connection."""
        return self._ingress.choose(number, attempt)

    def home(self, number: int) -> Address:
        """The router of a client that stays."""
        return self._layout.fronts[number % len(self._layout.fronts)]

    def drop(self, connection: SoakConnection) -> None:
        """Close a connection that is not used any more."""
        self.record.unasked_bytes += connection.unasked
        connection.unasked = 0
        connection.leave("not used any more")


class Client:
    """One client; its requests are sent one after the other, or one behind the other."""

    def __init__(self, clients: Clients, number: int, seed: int) -> None:
        self._clients, self._number = clients, number
        self._loop = asyncio.get_running_loop()
        self._dice = random.Random(f"{seed}/client/{number}")
        self._habit = self._dice.choices(list(HABITS), list(HABITS.values()))[0]
        self._connection: SoakConnection | None = None
        self._attempt = 0

    async def run(self, requests: Sequence[PlannedRequest], start: float) -> None:
        """Send these requests at their times, or as soon as the one before has ended."""
        place = 0
        while place < len(requests):
            await asyncio.sleep(max(0.0, start + requests[place].at - self._loop.time()))
            style = self._dice.choices(list(STYLES), list(STYLES.values()))[0]
            count = 2 if style is Style.BEHIND and place + 1 < len(requests) else 1
            await self._send(requests[place : place + count], style)
            place += count
        if self._connection:
            self._clients.drop(self._connection)

    async def _send(self, requests: Sequence[PlannedRequest], style: Style) -> None:
        composed = [self._compose(planned) for planned in requests]
        connection = await self._connect()
        if connection is None:
            self._attempt += 1
            for exchange, _ in composed:
                exchange.finish(AttemptEnd.NOT_CONNECTED, self._loop.time())
            return
        for exchange, data in composed:
            connection.add(exchange)
            await self._write(connection, exchange, data, style)
        if style is Style.SLOW:
            await self._read_nothing(connection, composed[-1][0].record)
        elif style is Style.LEAVES:
            await asyncio.sleep(self._dice.uniform(0.0, LONGEST_STAY))
            connection.leave("left early")
        for exchange, _ in composed:
            await self._await_end(connection, exchange)
        if self._habit is Habit.FRESH or connection.closed:
            self._clients.drop(connection)
            self._connection = None

    def _compose(self, planned: PlannedRequest) -> tuple[Exchange, bytes]:
        kind = planned.kind
        request_id = b"%016x" % self._dice.getrandbits(64)
        data, sent = compose_request(planned, request_id, 0, int(kind.deadline * 1000))
        record = AttemptRecord(request_id.decode(), kind.name, kind.resumable, kind.max_attempts)
        self._clients.sent[request_id] = sent
        self._clients.record.attempts[record.id] = record
        return Exchange(record, zlib.crc32(planned.body())), data

    async def _connect(self) -> SoakConnection | None:
        if self._connection and not self._connection.closed:
            return self._connection
        if self._habit is Habit.STAYS:
            router = self._clients.home(self._number)
        else:
            router = self._clients.choose(self._number, self._attempt)
        self._connection = await self._clients.connect(router)
        return self._connection

    async def _write(self, connection: SoakConnection, exchange: Exchange, data: bytes, style: Style) -> None:
        if style is Style.PIECES:
            cut = self._dice.randrange(1, len(data))
            connection.write(exchange, data[:cut], last=False)
            await asyncio.sleep(self._dice.uniform(0.0, LONGEST_PIECE_PAUSE))
            data = data[cut:]
        connection.write(exchange, data, last=True)

    async def _read_nothing(self, connection: SoakConnection, record: AttemptRecord) -> None:
        if connection.closed or connection.transport.is_closing():
            return
        connection.transport.pause_reading()
        await asyncio.sleep(self._dice.uniform(0.0, LONGEST_SLOW_READ))
        record.blind_until = self._loop.time()
        if not connection.transport.is_closing():
            connection.transport.resume_reading()

    async def _await_end(self, connection: SoakConnection, exchange: Exchange) -> None:
        record = exchange.record
        begun = record.sent_completely if record.sent_completely < float("inf") else self._loop.time()
        limit = self._clients.sent[record.id.encode()]
        record.deadline = begun + (10.0 if not limit.repeatable else 5.0)
        try:
            async with asyncio.timeout_at(record.deadline):
                await exchange.ended.wait()
        except TimeoutError:
            connection.leave("its time is over")
            exchange.finish(AttemptEnd.LEFT, self._loop.time(), "its time is over")
        if record.end is AttemptEnd.WHOLE and record.status in PROMISES:
            limit.promised = True
