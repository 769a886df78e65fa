"""The clients: send what the schedule says, when it says so, and record how each request has ended."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from firvane.core.address import Address
from firvane.simulation.localfleet.client_attempt import ClientAttempt, EventTiming
from firvane.simulation.localfleet.event_stream import StreamCheck
from firvane.simulation.localfleet.http_client import ClientConnection
from firvane.simulation.localfleet.ingress import Ingress
from firvane.simulation.localfleet.outcomes import RequestRecord
from firvane.simulation.localfleet.request_message import compose_request
from firvane.simulation.localfleet.retries import AttemptEnd, AttemptResult, retry_delay
from firvane.simulation.localfleet.run_ledger import SentAttempt
from firvane.simulation.localfleet.schedule import PlannedRequest

CONNECT_TIMEOUT = 1.0  # s
IDLE_TIMEOUT = 5.0  # s that a client keeps a connection without a request
FRESH_ONE_IN = 2  # one client in so many opens a connection for each request


@dataclass(slots=True)
class _IdleConnection:
    connection: ClientConnection
    since: float


class Load:
    """All clients together."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ingress: Ingress, seed: int) -> None:
        self.records: list[RequestRecord] = []
        self.attempts: dict[bytes, SentAttempt] = {}
        self.unsolicited_bytes = 0
        self._loop, self._ingress = loop, ingress
        self._random = random.Random(seed)
        self._idle: dict[tuple[int, Address], list[_IdleConnection]] = {}

    async def run(self, schedule: Sequence[PlannedRequest]) -> None:
        """Send all requests at their times from now on; returns when the last one has ended."""
        start = self._loop.time()
        async with asyncio.TaskGroup() as tasks:
            for planned in schedule:
                await asyncio.sleep(max(0.0, start + planned.at - self._loop.time()))
                tasks.create_task(self._send(planned, start + planned.at))
        self.close()

    def close(self) -> None:
        """End the kept-alive connections."""
        for kept in self._idle.values():
            for idle in kept:
                self._drop(idle.connection)
        self._idle.clear()

    async def _send(self, planned: PlannedRequest, intended: float) -> None:
        """One request with its retries. Its latency counts from the time that was intended."""
        kind = planned.kind
        record = RequestRecord(kind, intended)
        self.records.append(record)
        stream, timing = StreamCheck(zlib.crc32(planned.body())), EventTiming()
        deadline = intended + kind.deadline
        for attempt in range(1 + kind.retries):
            record.begin_attempt(self._ingress.choose(planned.client, attempt), self._loop.time())
            result = await self._attempt(planned, record, stream, timing, deadline)
            left = deadline - self._loop.time()
            pause = retry_delay(result, kind.resumable, kind.retries - attempt, left)
            if pause is None:
                break
            await asyncio.sleep(pause)
        record.end(result, self._loop.time(), timing.first, timing.longest)

    async def _attempt(
        self,
        planned: PlannedRequest,
        record: RequestRecord,
        stream: StreamCheck,
        timing: EventTiming,
        deadline: float,
    ) -> AttemptResult:
        router = record.last_router
        connection = await self._connect(planned.client, router, fresh=record.attempts > 1)
        if connection is None:
            return AttemptResult(AttemptEnd.NOT_CONNECTED)
        request_id = b"%016x" % self._random.getrandbits(64)
        left_ms = int((deadline - self._loop.time()) * 1000)
        request, sent = compose_request(planned, request_id, stream.last_number, left_ms)
        self.attempts[request_id] = sent
        trying = ClientAttempt(self._loop, connection, request_id, stream, timing)
        result = await trying.run(request, planned.kind.silence, deadline)
        sent.promised = result.promised
        self._put_back(planned.client, router, connection)
        return result

    # Connections

    async def _connect(self, client: int, router: Address, *, fresh: bool) -> ClientConnection | None:
        """A kept-alive connection, or a new one; None where none comes up."""
        kept = self._idle.get((client, router), [])
        while kept and not fresh:
            idle = kept.pop()
            if not idle.connection.closed and self._loop.time() < idle.since + IDLE_TIMEOUT:
                return idle.connection
            self._drop(idle.connection)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await self._loop.create_connection(ClientConnection, *router)
        except (OSError, TimeoutError):
            return None
        return connection

    def _put_back(self, client: int, router: Address, connection: ClientConnection) -> None:
        if connection.closed or client % FRESH_ONE_IN == 0:
            self._drop(connection)
        else:
            idle = _IdleConnection(connection, self._loop.time())
            self._idle.setdefault((client, router), []).append(idle)

    def _drop(self, connection: ClientConnection) -> None:
        self.unsolicited_bytes += connection.unsolicited_bytes
        connection.close()
