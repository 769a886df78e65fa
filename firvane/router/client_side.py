"""What all client connections of the router share: routes, bounds and the engine."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Protocol

from firvane.configuration.routes import Limits, RouteKind, RouteTable
from firvane.engine import Engine
from firvane.logs import QUIET, Log
from firvane.net.http import Message
from firvane.placement.events import PromptRequest, RequestKind
from firvane.router.requests import ProxiedRequest, prompt_shape

DEFAULT_MAX_BODY = 4 * 1024 * 1024  # bytes
DEFAULT_HEADER_TIMEOUT = 3.0  # s for a request from its first byte to its last
DEFAULT_IDLE_TIMEOUT = 15.0  # s between requests
HEADER_TIMEOUT_FACTOR = 2.0  # a body may take longer than a head
TAKEN_FOR = 2.8  # s from SIGTERM on in which requests are taken; the platform turns away within 2 s of it
TAKEN_PART = 0.5  # of the time until the end, where that is less
LATE_PAUSE = 0.05  # s asked for after that: others take the request at once
KINDS = {
    RouteKind.IDEMPOTENT: RequestKind.IDEMPOTENT,
    RouteKind.NON_IDEMPOTENT: RequestKind.NON_IDEMPOTENT,
    RouteKind.STREAMING: RequestKind.STREAM,
}


@dataclass(slots=True)
class DrainFigures:
    """What has come since SIGTERM, for the log."""

    accepted: int = 0  # new connections
    taken: int = 0  # requests that were read whole
    taken_on_new: int = 0  # of these, on connections that were accepted since
    last_on_new: float = 0.0  # s from SIGTERM to the newest request on such a connection
    last_on_kept: float = 0.0  # and on one from before
    late: int = 0  # requests that came after the last moment, and were refused
    cut: int = 0  # answers that ended short


class Connection(Protocol):
    """A client's connection, as far as others act on it."""

    def resume(self) -> None: ...

    def is_idle(self) -> bool: ...

    def expire(self, now: float) -> None: ...

    def close(self) -> None: ...


class ClientSide:
    """What the client connections of one router share."""

    def __init__(self, loop: asyncio.AbstractEventLoop, log: Log = QUIET) -> None:
        self.loop, self.log = loop, log
        self.engine: Engine[ProxiedRequest, Message]  # set once, right after it is made
        self.routes: RouteTable | None = None  # none while no configuration is known
        self.connections: dict[Connection, None] = {}
        self.max_body = DEFAULT_MAX_BODY
        self.header_timeout = DEFAULT_HEADER_TIMEOUT * HEADER_TIMEOUT_FACTOR
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT
        self.draining = False  # each answer is its connection's last
        self.drain_began = float("inf")  # loop time
        self.take_until = float("inf")  # no request is taken that is here whole only later (loop time)
        self.drain_figures = DrainFigures()
        self.last = float("inf")  # no request may be open then (loop time)

    def configure(self, routes: RouteTable, limits: Limits) -> None:
        """Requests are handled by these routes and bounds from now on."""
        self.routes = routes
        self.max_body = limits.max_body_bytes
        self.header_timeout = HEADER_TIMEOUT_FACTOR * limits.header_timeout_ms / 1000
        self.idle_timeout = limits.idle_timeout_ms / 1000

    def begin_drain(self, began: float, last: float) -> None:
        """SIGTERM has come; no request may be open any more at `last` (both loop times)."""
        self.draining = True
        self.drain_began, self.last = began, last
        self.take_until = began + min(TAKEN_FOR, TAKEN_PART * (last - began))

    def takes_requests(self, now: float) -> bool:
        """Whether a request that is here whole now is passed on.

        One that is taken late may be cut at the end while its backend is at work: then it is lost, and nobody
        may send it again. So it is refused while it has surely not run.
        """
        return now < self.take_until

    def note_taken(self, made_at: float, now: float) -> None:
        """A request is here whole, on a connection of that time."""
        if not self.draining:
            return
        figures, since = self.drain_figures, now - self.drain_began
        figures.taken += 1
        if made_at >= self.drain_began:
            figures.taken_on_new += 1
            figures.last_on_new = since
        else:
            figures.last_on_kept = since

    def prompt_request(self, request: ProxiedRequest) -> PromptRequest:
        """The request as the decisions see it; the engine adds its id and the time that is left."""
        route = request.route
        shape = prompt_shape(request.message)
        return PromptRequest(
            id=-1,
            cls=0,
            left=0.0,
            services=tuple((target.service, target.weight) for target in route.targets),
            chain=shape.chain,
            tokens_in=shape.tokens_in,
            tokens_out=shape.tokens_out,
            priority=route.priority,
            aim=route.target_latency_ms / 1000,
            max_attempts=route.max_attempts,
            kind=KINDS[route.kind],
            resumable=route.stream_resume,
            gap_aim=route.gap_aim_ms / 1000,
        )
