"""State shared by all client connections of one router: routes, limits and the engine."""

from __future__ import annotations

import asyncio
from typing import Protocol

from firvane.core.body_leases import BodyLeases
from firvane.core.engine import Engine
from firvane.core.logs import QUIET, Log
from firvane.core.net.http_message import Message
from firvane.core.turn_budget import TurnBudget
from firvane.fleet.configuration.routes import Limits, RouteKind, RouteTable
from firvane.fleet.placement.events import PromptRequest, RequestKind
from firvane.fleet.router.admission import Admission, Admitted
from firvane.fleet.router.drain import Drain
from firvane.fleet.router.requests import ProxiedRequest, parse_prompt_headers

DEFAULT_BODY_MEMORY_BYTES = 64 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0  # between requests
REQUEST_TIMEOUT_FACTOR = 2.0  # ratio to the header time-out, since the body takes time too
REQUEST_KINDS = {
    RouteKind.IDEMPOTENT: RequestKind.IDEMPOTENT,
    RouteKind.NON_IDEMPOTENT: RequestKind.NON_IDEMPOTENT,
    RouteKind.STREAMING: RequestKind.STREAM,
}


class Connection(Protocol):
    """Interface of a client's connection for the listener."""

    def on_configured(self) -> None:
        """Route the request that waited for the first configuration."""

    def is_idle(self) -> bool:
        """Return whether the connection has no request, complete or partial."""

    def check_timeout(self, now: float) -> None:
        """Time out an incomplete request, or close the connection after the idle time-out."""

    def close(self) -> None:
        """Close the connection after all written data has been sent."""


class ClientContext:
    """State shared by the client connections of one router.

    Attributes:
        engine: The engine; set right after construction.
        routes: The active routes; None before the first configuration.
        connections: All open connections.
        limits: The active limits of requests; None before the first configuration.
        request_timeout: Maximum time in seconds from the first to the last byte of a request.
        idle_timeout: Maximum idle time of a connection in seconds.
        drain: The drain state.
        admission: Admission control; None if every request is admitted.
        leases: Leases of memory for long bodies, in bytes.
        turns: Bounds the payload handled in one turn of the loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, log: Log = QUIET) -> None:
        self.loop, self.log = loop, log
        self.engine: Engine[ProxiedRequest, Message]
        self.routes: RouteTable | None = None
        self.connections: dict[Connection, None] = {}
        self.limits: Limits | None = None
        self.request_timeout = DEFAULT_HEADER_TIMEOUT_S * REQUEST_TIMEOUT_FACTOR
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT_S
        self.drain = Drain()
        self.admission: Admission | None = None
        self.leases = BodyLeases(DEFAULT_BODY_MEMORY_BYTES)
        self.turns = TurnBudget(loop.call_soon)

    def configure(self, routes: RouteTable, limits: Limits) -> None:
        """Apply new routes and limits to all requests from now on."""
        self.routes = routes
        self.limits = limits
        self.request_timeout = REQUEST_TIMEOUT_FACTOR * limits.header_timeout_ms / 1000
        self.idle_timeout = limits.idle_timeout_ms / 1000

    def on_memory_wait(self) -> None:
        """Count a long body that starts to wait for memory, and log the first of a queue."""
        self.engine.event_counts["long body waited"] += 1
        if len(self.leases.queue) == 1:
            self.log.info("long_bodies_wait", leased_bytes=self.leases.total - self.leases.free)

    def charge_retry(self, admission: Admitted) -> None:
        """Charge the tenant again for a retry of an admitted request."""
        if self.admission is not None:
            self.admission.charge_retry(admission)

    def prompt_request(self, request: ProxiedRequest) -> PromptRequest:
        """Return the request as an event for placement; the engine sets its id and its remaining time."""
        route = request.route
        prompt = parse_prompt_headers(request.message)
        return PromptRequest(
            id=-1,
            class_id=0,
            time_left=0.0,
            services=tuple((target.service, target.weight) for target in route.targets),
            chain=prompt.prefix_blocks,
            tokens_in=prompt.prompt_tokens,
            tokens_out=prompt.max_response_tokens,
            priority=request.priority,
            latency_target=route.target_latency_ms / 1000,
            max_attempts=route.max_attempts,
            kind=REQUEST_KINDS[route.kind],
            resumable=route.stream_resume,
            event_gap_target=route.gap_aim_ms / 1000,
        )
