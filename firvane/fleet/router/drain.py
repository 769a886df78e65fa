"""Draining of a router after SIGTERM: until when requests are accepted, and when all responses are due.

The platform checks readiness once a second and sends no new connections after two misses, so that requests
still come for some two seconds. Later ones come only where the platform has no other router, or on kept
connections. A request that is accepted late may be cut off at the end while a backend runs it; then it is
lost, since nobody may send it again. So late requests are rejected: these have surely not run.

All times are loop times in seconds; before `start` nothing is bounded.
"""

from __future__ import annotations

from msgspec import Struct

ACCEPT_REQUESTS_S = 2.8  # after SIGTERM
ACCEPT_REQUESTS_RATIO = 0.5  # of the time until the end, where that is less
LATE_RETRY_AFTER_S = 0.05  # other routers accept the request at once


class DrainMetrics(Struct):
    """What has come since SIGTERM, for the log.

    Attributes:
        connections_accepted: New connections.
        requests_received: Requests that were read completely.
        requests_on_new_connections: Those of them on connections accepted since.
        last_on_new_connection_s: Seconds from SIGTERM to the newest request on such a connection.
        last_on_kept_connection_s: Seconds from SIGTERM to the newest request on an older connection.
        late_requests: Requests that were rejected because they came late.
        truncated_responses: Responses that were truncated.
    """

    connections_accepted: int = 0
    requests_received: int = 0
    requests_on_new_connections: int = 0
    last_on_new_connection_s: float = 0.0
    last_on_kept_connection_s: float = 0.0
    late_requests: int = 0
    truncated_responses: int = 0


class Drain:
    """The bounds and the metrics of one router's draining.

    Attributes:
        has_started: Whether SIGTERM has come. A response is then its connection's last, unless the connection
            has already sent another request.
        started_at: When it came.
        accept_until: When requests are rejected from.
        deadline: When no request may be open any more.
        metrics: What has come since SIGTERM.
    """

    def __init__(self) -> None:
        self.has_started = False
        self.started_at = float("inf")
        self.accept_until = float("inf")
        self.deadline = float("inf")
        self.metrics = DrainMetrics()

    def start(self, started_at: float, deadline: float) -> None:
        """Start draining."""
        self.has_started = True
        self.started_at, self.deadline = started_at, deadline
        self.accept_until = started_at + min(
            ACCEPT_REQUESTS_S, ACCEPT_REQUESTS_RATIO * (deadline - started_at)
        )

    def accepts_requests(self, now: float) -> bool:
        """Return whether a request that is complete now is accepted."""
        return now < self.accept_until

    def since(self, moment: float) -> float:
        """Return the seconds from SIGTERM to a moment, for the log."""
        return round(moment - self.started_at, 3)

    def record_connection(self) -> None:
        """Count an accepted connection."""
        self.metrics.connections_accepted += self.has_started

    def record_request(self, connected_at: float, now: float) -> None:
        """Count a complete request on a connection that was accepted at `connected_at`."""
        if not self.has_started:
            return
        self.metrics.requests_received += 1
        self.metrics.late_requests += not self.accepts_requests(now)
        if connected_at >= self.started_at:
            self.metrics.requests_on_new_connections += 1
            self.metrics.last_on_new_connection_s = self.since(now)
        else:
            self.metrics.last_on_kept_connection_s = self.since(now)
