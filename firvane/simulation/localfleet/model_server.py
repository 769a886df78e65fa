"""A model server on a socket: sends the batch's outputs as HTTP/1.1 responses."""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from dataclasses import dataclass

from firvane.core.net.http_message import Message
from firvane.simulation.localfleet.batch import (
    Batch,
    ChunkPrefilled,
    Job,
    Output,
    Produced,
    Rejected,
    TimedOut,
    event_count,
)
from firvane.simulation.localfleet.event_stream import StreamEvent
from firvane.simulation.localfleet.http_server import Header
from firvane.simulation.localfleet.instance_list import ListedInstance
from firvane.simulation.localfleet.lagged_report import LaggedReport
from firvane.simulation.localfleet.model_connection import WEIGHTS_VERSION, ModelConnection, ServerState
from firvane.simulation.localfleet.profiles import MODEL, ServerProfile
from firvane.simulation.localfleet.prompts import Prompt
from firvane.simulation.localfleet.run_ledger import PROMPT_HEADERS, Run, ServerRecords, fingerprint

DEFAULT_PRIORITY = 5
MAX_NUMBER_DIGITS = 9  # of a number in a header
LONGEST_TIME = 600.0  # s; the deadline of a request without one
CLOSE_ONE_IN = 200  # one in this many responses closes its connection


@dataclass(slots=True)
class _Work:
    """A request in the batch."""

    connection: ModelConnection
    digest: int  # of the request's body
    run: Run
    started: bool = False


class ModelServer:
    """One incarnation of a model server."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        instance: ListedInstance,
        profile: ServerProfile,
        records: ServerRecords,
        seed: int,
    ) -> None:
        self.loop, self.instance, self.profile, self.records = loop, instance, profile, records
        self.state = ServerState.SERVING
        self.connections: set[ModelConnection] = set()
        self._batch = Batch(profile)
        self._report = LaggedReport(profile.report_lag_s, self._report_fields())
        self._random = random.Random(seed)
        self._works: dict[int, _Work] = {}
        self._numbers = 0
        self._timer: asyncio.TimerHandle | None = None
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the instance's address."""
        host, port = self.instance.address
        self._listener = await self.loop.create_server(self.make_connection, host, port)

    def make_connection(self) -> ModelConnection:
        """Make the connection of a new caller."""
        return ModelConnection(self)

    def close(self) -> None:
        """Stop at once, aborting requests in progress."""
        if self._listener:
            self._listener.close()
        if self._timer:
            self._timer.cancel()
        for connection in list(self.connections):
            connection.transport.abort()

    @property
    def closes_connections(self) -> bool:
        """Draw whether the connection closes after the current response."""
        return self.state is not ServerState.SERVING or self._random.randrange(CLOSE_ONE_IN) == 0

    @property
    def is_full(self) -> bool:
        """Whether no further request fits into slots and queue."""
        return self._batch.queued + self._batch.active >= self.profile.slots + self.profile.queue

    def report(self) -> bytes:
        """The lagging body of `GET /v1/report`."""
        now = self.loop.time()
        self._report.add_sample(now, self._report_fields())
        return json.dumps(self._report.read(now)).encode()

    # Requests

    def submit(self, connection: ModelConnection, request: Message, prompt: Prompt) -> None:
        """Submit a request to the batch; the connection's `job` is set while it is in the batch."""
        now = self.loop.time()
        body = b"".join(request.body)
        events_before = _header_number(request, b"last-event-id", 0)
        request_id = request.fields[b"x-request-id"]
        run = Run(request_id, self.instance.id, events_before, request_fingerprint(request, body))
        work = _Work(connection, zlib.crc32(body), run)
        self._numbers += 1
        number = self._numbers
        if events_before >= event_count(prompt.output_tokens, self.profile.stride):
            self._finish_empty(number, work)
            return
        left = _header_number(request, b"x-deadline-ms", int(LONGEST_TIME * 1000)) / 1000
        priority = _header_number(request, b"priority", DEFAULT_PRIORITY)
        self._works[number] = work
        connection.job = number
        self._process_outputs(
            self._batch.submit(Job(number, prompt, priority, now + left, events_before), now)
        )
        self._schedule()

    def cancel(self, number: int) -> None:
        """Cancel a request whose connection has closed."""
        if self._works.pop(number, None):
            self.records.cancelled += 1
            self._batch.cancel(number)

    def _finish_empty(self, number: int, work: _Work) -> None:
        """Respond with an empty stream to a client that has all events."""
        self.records.runs.append(work.run)
        close = self.closes_connections
        work.connection.begin_stream(self._stream_headers(number, work), close=close)
        work.connection.end_stream(close=close)

    def _schedule(self) -> None:
        if self._timer:
            self._timer.cancel()
            self._timer = None
        if self._batch.next_step is not None:
            self._timer = self.loop.call_at(self._batch.next_step, self._advance)

    def _advance(self) -> None:
        self._timer = None
        now = self.loop.time()
        self._process_outputs(self._batch.advance(now))
        self._report.add_sample(now, self._report_fields())
        self._schedule()

    def _process_outputs(self, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, ChunkPrefilled):
                self.records.reading.note(output.part)
            elif isinstance(output, Produced):
                self._produce(output)
            elif isinstance(output, Rejected):
                self._reject(output)
            else:
                self._time_out(output)

    def _produce(self, output: Produced) -> None:
        work = self._works.get(output.job)
        if work is None:
            return
        connection = work.connection
        if not work.started:
            work.started = True
            self.records.runs.append(work.run)
            connection.closes_after = self.closes_connections
            connection.begin_stream(self._stream_headers(output.job, work), close=connection.closes_after)
        connection.write_chunk(StreamEvent(output.event, work.digest, output.last).encode())
        if output.last:
            self._remove(output.job)
            connection.end_stream(close=connection.closes_after)

    def _reject(self, output: Rejected) -> None:
        if work := self._remove(output.job):
            work.connection.reject(503)

    def _time_out(self, output: TimedOut) -> None:
        work = self._remove(output.job)
        if work is None:
            return
        if work.started:
            work.connection.break_off()
        else:
            self.records.runs.append(work.run)
            work.connection.respond(504, work.connection.answer_headers())

    def _remove(self, number: int) -> _Work | None:
        work = self._works.pop(number, None)
        if work:
            work.connection.job = None
        return work

    def _stream_headers(self, number: int, work: _Work) -> list[Header]:
        seal = f"{zlib.crc32(self.instance.id.encode()):08x}.{number:x}.{work.digest:08x}"
        return [
            (b"Content-Type", b"text/event-stream"),
            (b"X-Server-Seal", seal.encode()),
            (b"Versions", b"%d" % WEIGHTS_VERSION),
            *work.connection.answer_headers(),
        ]

    def _report_fields(self) -> dict[str, object]:
        batch = self._batch
        return {
            "stage": "both",
            "models": [{"name": MODEL, "config_version": WEIGHTS_VERSION, "adapters": []}],
            "occupied": False,
            "call_sequence": 0,
            "queued": batch.queued,
            "active": batch.active,
            "cache_used": batch.memory.in_use,
            "cache_total": self.profile.cache_tokens,
            "handle_count": 0,
        }


def _header_number(request: Message, name: bytes, default: int) -> int:
    text = request.fields.get(name, b"")
    return int(text) if text.isdigit() and len(text) <= MAX_NUMBER_DIGITS else default


def request_fingerprint(request: Message, body: bytes) -> int:
    """A fingerprint of the parts of a request that must arrive unchanged."""
    values = [request.fields.get(name.encode(), b"") for name in PROMPT_HEADERS]
    return fingerprint(request.method, request.url, values, body)
