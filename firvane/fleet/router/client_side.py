"""What all client connections of the router share: routes, bounds and the engine."""

from __future__ import annotations

import asyncio
from typing import Protocol

from firvane.core.engine import Engine
from firvane.core.logs import QUIET, Log
from firvane.core.net.http_message import Message
from firvane.fleet.configuration.routes import Limits, RouteKind, RouteTable
from firvane.fleet.placement.events import PromptRequest, RequestKind
from firvane.fleet.router.admission import Admission, Admitted
from firvane.fleet.router.drain import Drain
from firvane.fleet.router.requests import ProxiedRequest, prompt_shape

DEFAULT_MAX_BODY = 4 * 1024 * 1024  # bytes
DEFAULT_HEADER_TIMEOUT = 3.0  # s for a request from its first byte to its last
DEFAULT_IDLE_TIMEOUT = 15.0  # s between requests
HEADER_TIMEOUT_FACTOR = 2.0  # a body may take longer than a head
KINDS = {
    RouteKind.IDEMPOTENT: RequestKind.IDEMPOTENT,
    RouteKind.NON_IDEMPOTENT: RequestKind.NON_IDEMPOTENT,
    RouteKind.STREAMING: RequestKind.STREAM,
}


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
        self.drain = Drain()
        self.admission: Admission | None = None  # none where nobody asks for keys

    def configure(self, routes: RouteTable, limits: Limits) -> None:
        """Requests are handled by these routes and bounds from now on."""
        self.routes = routes
        self.max_body = limits.max_body_bytes
        self.header_timeout = HEADER_TIMEOUT_FACTOR * limits.header_timeout_ms / 1000
        self.idle_timeout = limits.idle_timeout_ms / 1000

    def runs_again(self, admission: Admitted) -> None:
        """An admitted request is sent to a backend once more, after it may have run."""
        if self.admission is not None:
            self.admission.runs_again(admission)

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
            priority=request.priority,
            aim=route.target_latency_ms / 1000,
            max_attempts=route.max_attempts,
            kind=KINDS[route.kind],
            resumable=route.stream_resume,
            gap_aim=route.gap_aim_ms / 1000,
        )
