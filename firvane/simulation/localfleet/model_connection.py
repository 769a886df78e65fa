"""A caller's connection to a model server: responds directly or submits requests to the batch."""

from __future__ import annotations

import asyncio
import enum
from typing import Protocol

from firvane.core.net.http_message import Message
from firvane.simulation.localfleet.http_server import Header, ServerConnection
from firvane.simulation.localfleet.instance_list import ListedInstance
from firvane.simulation.localfleet.profiles import HEALTH_PATH, ServerProfile
from firvane.simulation.localfleet.prompts import Prompt, PromptError, parse_prompt
from firvane.simulation.localfleet.run_ledger import ServerRecords

WEIGHTS_VERSION = 1
NOT_EXECUTED: Header = (b"X-Not-Executed", b"1")
REPORT_PATH = b"/v1/report"


class ServerState(enum.Enum):
    """The shutdown state of a server."""

    SERVING = "serving"
    DRAINING = "draining"  # still serves, and closes connections after responses
    REFUSING = "refusing"


class ConnectionOwner(Protocol):
    """The interface of the model server that its connections use."""

    loop: asyncio.AbstractEventLoop
    instance: ListedInstance
    profile: ServerProfile
    records: ServerRecords
    state: ServerState
    connections: set[ModelConnection]

    @property
    def is_full(self) -> bool:
        """Whether no further request fits into slots and queue."""

    def report(self) -> bytes:
        """The body of `GET /v1/report`."""

    def submit(self, connection: ModelConnection, request: Message, prompt: Prompt) -> None:
        """Submit a request to the batch."""

    def cancel(self, number: int) -> None:
        """Cancel a job whose caller has disconnected."""


class ModelConnection(ServerConnection):
    """One connection of a caller to a model server."""

    def __init__(self, server: ConnectionOwner) -> None:
        super().__init__()
        self._server = server
        self._timer: asyncio.TimerHandle | None = None
        self._request_id = b""
        self.job: int | None = None
        self.closes_after = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or abort it if the server is at its connection limit."""
        super().connection_made(transport)
        server = self._server
        if len(server.connections) >= server.profile.connection_limit:
            self.break_off()
            return
        server.records.connections += 1
        server.connections.add(self)
        self._start_idle_timer()

    def on_end(self) -> None:
        """Cancel the job of a caller that has disconnected."""
        self._server.connections.discard(self)
        if self._timer:
            self._timer.cancel()
        if self.job is not None:
            job, self.job = self.job, None
            self._server.cancel(job)

    def on_request(self, request: Message) -> None:
        """Respond to a health check or a report at once; submit other requests to the batch."""
        self._request_id = request.fields.get(b"x-request-id", b"")
        path = request.url.partition(b"?")[0]
        if request.method == b"GET" and path == HEALTH_PATH.encode():
            self._answer_health()
        elif request.method == b"GET" and path == REPORT_PATH:
            self.respond(200, [(b"Content-Type", b"application/json")], self._server.report())
        elif rejection_status := self._rejection_status(request):
            self.reject(rejection_status)
        else:
            self._run(request)

    def reject(self, status: int) -> None:
        """Answer that the request has not run and never will."""
        self._server.records.rejected += 1
        close = self._server.state is not ServerState.SERVING
        self.respond(status, [NOT_EXECUTED, *self.answer_headers()], close=close)

    def answer_headers(self) -> list[Header]:
        """Headers of every response to a request."""
        keep_alive = (b"Keep-Alive", b"timeout=%d" % self._server.profile.keep_alive_s)
        return [(b"X-Request-Id", self._request_id), keep_alive] if self._request_id else [keep_alive]

    def _answer_health(self) -> None:
        server = self._server
        healthy = server.state is ServerState.SERVING and not server.is_full
        self.respond(200 if healthy else 503, [(b"X-Instance-Id", server.instance.id.encode())])

    def _rejection_status(self, request: Message) -> int:
        """The status with which a request is rejected before its prompt is parsed; 0 if it may run."""
        target = request.fields.get(b"x-target-instance")
        version = request.fields.get(b"expect-version")
        if not self._request_id:
            return 400
        if target is not None and target != self._server.instance.id.encode():
            return 421
        if version is not None and version != b"%d" % WEIGHTS_VERSION:
            return 421
        return 503 if self._server.state is ServerState.REFUSING else 0

    def _run(self, request: Message) -> None:
        try:
            prompt = parse_prompt(
                request.fields.get(b"x-token-count", b""), request.fields.get(b"x-prompt-prefix", b"")
            )
        except PromptError:
            self.reject(400)
            return
        self._server.submit(self, request, prompt)

    def on_answered(self) -> None:
        """Start the idle timeout after a response has been written."""
        self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        if self._timer:
            self._timer.cancel()
        idle = self._server.profile.keep_alive_s
        self._timer = self._server.loop.call_later(idle, self._close_if_idle)

    def _close_if_idle(self) -> None:
        self._timer = None
        if not self.busy:
            self.transport.close()
