"""The clients: send the scheduled requests on time, and record the outcome of each."""

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
IDLE_TIMEOUT = 5.0  # s that a client keeps an idle connection
FRESH_ONE_IN = 2  # one in this many clients opens a new connection for each request


@dataclass(slots=True)
class _IdleConnection:
    connection: ClientConnection
    since: float


class Load:
    """All clients of a run."""

    def __init__(self, loop: asyncio.AbstractEventLoop, ingress: Ingress, seed: int) -> None:
        self.records: list[RequestRecord] = []
        self.attempts: dict[bytes, SentAttempt] = {}
        self.unsolicited_bytes = 0
        self._loop, self._ingress = loop, ingress
        self._random = random.Random(seed)
        self._idle: dict[tuple[int, Address], list[_IdleConnection]] = {}

    async def run(self, schedule: Sequence[PlannedRequest]) -> None:
        """Send all requests at their planned times from now; returns when all have finished."""
        start = self._loop.time()
        async with asyncio.TaskGroup() as tasks:
            for planned in schedule:
                await asyncio.sleep(max(0.0, start + planned.at - self._loop.time()))
                tasks.create_task(self._send(planned, start + planned.at))
        self.close()

    def close(self) -> None:
        """Close the idle connections."""
        for idle_connections in self._idle.values():
            for idle in idle_connections:
                self._close_connection(idle.connection)
        self._idle.clear()

    async def _send(self, planned: PlannedRequest, intended: float) -> None:
        """Send one request with its retries; its latency counts from the intended time of sending."""
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
        client_attempt = ClientAttempt(self._loop, connection, request_id, stream, timing)
        result = await client_attempt.run(request, planned.kind.silence, deadline)
        sent.promised = result.promised
        self._release(planned.client, router, connection)
        return result

    # Connections

    async def _connect(self, client: int, router: Address, *, fresh: bool) -> ClientConnection | None:
        """Return an idle connection or open a new one; None if that fails."""
        idle_connections = self._idle.get((client, router), [])
        while idle_connections and not fresh:
            idle = idle_connections.pop()
            if not idle.connection.closed and self._loop.time() < idle.since + IDLE_TIMEOUT:
                return idle.connection
            self._close_connection(idle.connection)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await self._loop.create_connection(ClientConnection, *router)
        except (OSError, TimeoutError):
            return None
        return connection

    def _release(self, client: int, router: Address, connection: ClientConnection) -> None:
        if connection.closed or client % FRESH_ONE_IN == 0:
            self._close_connection(connection)
        else:
            idle = _IdleConnection(connection, self._loop.time())
            self._idle.setdefault((client, router), []).append(idle)

    def _close_connection(self, connection: ClientConnection) -> None:
        self.unsolicited_bytes += connection.unexpected_bytes
        connection.close()
