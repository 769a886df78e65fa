"""Draining of a router after SIGTERM: until when requests are accepted, and when all responses are due.

The platform checks readiness once a second and sends no new connections after two failed checks, so that
requests still arrive for about two seconds. Later requests arrive only if the platform has no other router,
or on kept-alive connections. A request accepted too late might be aborted at the end while a backend runs it;
it could then not be retried safely. Late requests are therefore rejected, and have certainly not run.

All times are loop times in seconds. Before `start` all requests are accepted, without a deadline.
"""

from __future__ import annotations

from msgspec import Struct

ACCEPT_REQUESTS_S = 2.8  # after SIGTERM
ACCEPT_REQUESTS_RATIO = 0.5  # part of the time until the deadline, if that is shorter
LATE_RETRY_AFTER_S = 0.05  # other routers accept the request immediately


class DrainMetrics(Struct):
    """Counters and times since SIGTERM, for the log.

    Attributes:
        connections_accepted: Number of accepted connections.
        requests_received: Number of completely received requests.
        requests_on_new_connections: Number of those on connections accepted after SIGTERM.
        last_on_new_connection_s: Seconds from SIGTERM to the latest request on such a connection.
        last_on_kept_connection_s: Seconds from SIGTERM to the latest request on an older connection.
        late_requests: Number of requests rejected because they arrived after `Drain.accept_until`.
        truncated_responses: Number of truncated responses.
    """

    connections_accepted: int = 0
    requests_received: int = 0
    requests_on_new_connections: int = 0
    last_on_new_connection_s: float = 0.0
    last_on_kept_connection_s: float = 0.0
    late_requests: int = 0
    truncated_responses: int = 0


class Drain:
    """Time bounds and metrics of the draining of one router.

    Attributes:
        has_started: Whether SIGTERM has been received. After that a connection is closed after its response,
            unless its client has already sent another request.
        started_at: Time of SIGTERM.
        accept_until: Requests completed from this time on are rejected.
        deadline: Time at which all requests must have ended.
        metrics: Counters and times since SIGTERM.
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
        """Return whether a request completely received at `now` is accepted."""
        return now < self.accept_until

    def seconds_since_start(self, time: float) -> float:
        """Return the seconds from SIGTERM to a time, rounded for the log."""
        return round(time - self.started_at, 3)

    def record_connection(self) -> None:
        """Count an accepted connection if SIGTERM has been received."""
        self.metrics.connections_accepted += self.has_started

    def record_request(self, connected_at: float, now: float) -> None:
        """Record a completely received request on a connection accepted at `connected_at`."""
        if not self.has_started:
            return
        self.metrics.requests_received += 1
        self.metrics.late_requests += not self.accepts_requests(now)
        if connected_at >= self.started_at:
            self.metrics.requests_on_new_connections += 1
            self.metrics.last_on_new_connection_s = self.seconds_since_start(now)
        else:
            self.metrics.last_on_kept_connection_s = self.seconds_since_start(now)
