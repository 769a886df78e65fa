"""What all client connections of one router share: routes, bounds and the engine."""

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

DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
DEFAULT_BODY_MEMORY_BYTES = 64 * 1024 * 1024
DEFAULT_HEADER_TIMEOUT_S = 3.0
DEFAULT_IDLE_TIMEOUT_S = 15.0  # between requests
REQUEST_TIMEOUT_FACTOR = 2.0  # times the time-out of a head, since a body may take longer
REQUEST_KINDS = {
    RouteKind.IDEMPOTENT: RequestKind.IDEMPOTENT,
    RouteKind.NON_IDEMPOTENT: RequestKind.NON_IDEMPOTENT,
    RouteKind.STREAMING: RequestKind.STREAM,
}


class Connection(Protocol):
    """A client's connection, as far as others act on it."""

    def resume(self) -> None:
        """Route the request that waits for the first configuration."""

    def is_idle(self) -> bool:
        """Return whether it has no request, complete or partial."""

    def expire(self, now: float) -> None:
        """Close it where it has timed out."""

    def close(self) -> None:
        """Close it."""


class ClientContext:
    """What the client connections of one router share.

    Attributes:
        engine: The engine; set once, right after it is made.
        routes: The routes in force; None while no configuration is known.
        connections: All open connections.
        max_body: Bytes that a request's body may have.
        request_timeout: Seconds that a request may take from its first byte to its last.
        idle_timeout: Seconds that a connection may be idle.
        drain: The state of draining.
        admission: Admits requests by their keys; None where none is needed.
        leases: Memory for long bodies, in bytes.
        turns: Bounds the payload that is handled in one turn of the loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, log: Log = QUIET) -> None:
        self.loop, self.log = loop, log
        self.engine: Engine[ProxiedRequest, Message]
        self.routes: RouteTable | None = None
        self.connections: dict[Connection, None] = {}
        self.max_body = DEFAULT_MAX_BODY_BYTES
        self.request_timeout = DEFAULT_HEADER_TIMEOUT_S * REQUEST_TIMEOUT_FACTOR
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT_S
        self.drain = Drain()
        self.admission: Admission | None = None
        self.leases = BodyLeases(DEFAULT_BODY_MEMORY_BYTES)
        self.turns = TurnBudget(loop.call_soon)

    def configure(self, routes: RouteTable, limits: Limits) -> None:
        """Handle requests by these routes and limits from now on."""
        self.routes = routes
        self.max_body = limits.max_body_bytes
        self.request_timeout = REQUEST_TIMEOUT_FACTOR * limits.header_timeout_ms / 1000
        self.idle_timeout = limits.idle_timeout_ms / 1000

    def on_body_waits(self) -> None:
        """A long body waits for memory, and is not read on."""
        self.engine.event_counts["long body waited"] += 1
        if len(self.leases.queue) == 1:
            self.log.info("long_bodies_wait", leased_bytes=self.leases.total - self.leases.free)

    def charge_retry(self, admission: Admitted) -> None:
        """Charge the tenant for one more run of an admitted request."""
        if self.admission is not None:
            self.admission.charge_retry(admission)

    def prompt_request(self, request: ProxiedRequest) -> PromptRequest:
        """Return the request as placement sees it; the engine adds its id and the time that is left."""
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
