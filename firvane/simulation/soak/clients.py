"""Clients that use a kept-alive connection until it closes, even if a response announced its closing."""

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
MAX_PART_PAUSE = 2.0  # s between two parts of a request
MAX_READ_PAUSE = 1.0  # s for which a client pauses reading
MAX_DISCONNECT_DELAY = 0.5  # s until a client that disconnects early has done so
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))  # guarantee that the request has not run and won't run


class Habit(enum.Enum):
    """How a client chooses routers and reuses connections."""

    STAYS = "stays"  # always the same router, ready or not; reuses one connection until it closes
    KEEPS = "keeps"  # a router chosen by readiness; reuses one connection until it closes
    FRESH = "fresh"  # a router chosen by readiness; a new connection for each request


class Style(enum.Enum):
    """How one request is sent."""

    WHOLE = "whole"  # in one write
    PIECES = "pieces"  # in two writes with a pause between them
    BEHIND = "behind"  # two requests pipelined
    LEAVES = "leaves"  # the client may disconnect before the response is complete
    SLOW = "slow"  # the client pauses reading


HABITS = {Habit.STAYS: 4, Habit.KEEPS: 4, Habit.FRESH: 2}  # weights
STYLES = {Style.WHOLE: 70, Style.PIECES: 10, Style.BEHIND: 10, Style.LEAVES: 4, Style.SLOW: 6}


class Clients:
    """All clients of one run."""

    def __init__(self, layout: Layout, ingress: Ingress, record: Record, seed: int) -> None:
        self.record = record
        self.sent_attempts: dict[bytes, SentAttempt] = {}
        self._loop = asyncio.get_running_loop()
        self._layout, self._ingress, self._seed = layout, ingress, seed
        self._names = {
            (node.host, layout.ports.front): node.name for node in layout.routers
        }  # of routers by address

    async def run(self, schedule: Sequence[PlannedRequest]) -> None:
        """Send each request no earlier than its planned time from now; returns when all have finished."""
        by_client: dict[int, list[PlannedRequest]] = {}
        for planned in schedule:
            by_client.setdefault(planned.client, []).append(planned)
        start = self._loop.time()
        async with asyncio.TaskGroup() as tasks:
            for number, requests in by_client.items():
                tasks.create_task(Client(self, number, self._seed).run(requests, start))

    async def connect(self, router: Address) -> SoakConnection | None:
        """Open a connection to a router; None if that fails."""
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
        """The router to which the ingress sends a new connection."""
        return self._ingress.choose(number, attempt)

    def fixed_router(self, number: int) -> Address:
        """The fixed router of a client with `Habit.STAYS`."""
        return self._layout.fronts[number % len(self._layout.fronts)]

    def close_connection(self, connection: SoakConnection) -> None:
        """Close a connection that is no longer used."""
        self.record.unsolicited_messages += connection.unsolicited
        connection.unsolicited = 0
        connection.disconnect("no longer used")


class Client:
    """One client; it sends its requests sequentially, or two at a time by pipelining."""

    def __init__(self, clients: Clients, number: int, seed: int) -> None:
        self._clients, self._number = clients, number
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(f"{seed}/client/{number}")
        self._habit = self._rng.choices(list(HABITS), list(HABITS.values()))[0]
        self._connection: SoakConnection | None = None
        self._attempt = 0

    async def run(self, requests: Sequence[PlannedRequest], start: float) -> None:
        """Send the requests at their planned times, or as soon as the previous one has finished."""
        index = 0
        while index < len(requests):
            await asyncio.sleep(max(0.0, start + requests[index].at - self._loop.time()))
            style = self._rng.choices(list(STYLES), list(STYLES.values()))[0]
            count = 2 if style is Style.BEHIND and index + 1 < len(requests) else 1
            await self._send(requests[index : index + count], style)
            index += count
        if self._connection:
            self._clients.close_connection(self._connection)

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
            await self._pause_reading(connection, composed[-1][0].record)
        elif style is Style.LEAVES:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_DISCONNECT_DELAY))
            connection.disconnect("disconnected early")
        for exchange, _ in composed:
            await self._await_end(connection, exchange)
        if self._habit is Habit.FRESH or connection.closed:
            self._clients.close_connection(connection)
            self._connection = None

    def _compose(self, planned: PlannedRequest) -> tuple[Exchange, bytes]:
        kind = planned.kind
        request_id = b"%016x" % self._rng.getrandbits(64)
        data, sent = compose_request(planned, request_id, 0, int(kind.deadline * 1000))
        record = AttemptRecord(request_id.decode(), kind.name, kind.resumable, kind.max_attempts)
        self._clients.sent_attempts[request_id] = sent
        self._clients.record.attempts[record.id] = record
        return Exchange(record, zlib.crc32(planned.body())), data

    async def _connect(self) -> SoakConnection | None:
        if self._connection and not self._connection.closed:
            return self._connection
        if self._habit is Habit.STAYS:
            router = self._clients.fixed_router(self._number)
        else:
            router = self._clients.choose(self._number, self._attempt)
        self._connection = await self._clients.connect(router)
        return self._connection

    async def _write(self, connection: SoakConnection, exchange: Exchange, data: bytes, style: Style) -> None:
        if style is Style.PIECES:
            split_at = self._rng.randrange(1, len(data))
            connection.write(exchange, data[:split_at], last=False)
            await asyncio.sleep(self._rng.uniform(0.0, MAX_PART_PAUSE))
            data = data[split_at:]
        connection.write(exchange, data, last=True)

    async def _pause_reading(self, connection: SoakConnection, record: AttemptRecord) -> None:
        if connection.closed or connection.transport.is_closing():
            return
        connection.transport.pause_reading()
        await asyncio.sleep(self._rng.uniform(0.0, MAX_READ_PAUSE))
        record.reading_paused_until = self._loop.time()
        if not connection.transport.is_closing():
            connection.transport.resume_reading()

    async def _await_end(self, connection: SoakConnection, exchange: Exchange) -> None:
        record = exchange.record
        sent_at = record.sent_completely if record.sent_completely < float("inf") else self._loop.time()
        sent_attempt = self._clients.sent_attempts[record.id.encode()]
        record.deadline = sent_at + (10.0 if not sent_attempt.repeatable else 5.0)
        try:
            async with asyncio.timeout_at(record.deadline):
                await exchange.ended.wait()
        except TimeoutError:
            connection.disconnect("deadline exceeded")
            exchange.finish(AttemptEnd.LEFT, self._loop.time(), "deadline exceeded")
        if record.end is AttemptEnd.WHOLE and record.status in NOT_RUN_STATUSES:
            sent_attempt.promised = True
