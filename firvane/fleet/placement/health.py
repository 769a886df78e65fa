"""Passive health checks: servers are ejected by the responses, failures and time-outs of requests.

1. Consecutive failures, or time-outs of all open attempts, eject a server. After its ejection time it gets a
   single trial request; the ejection time doubles with each failure, and any response ends the ejection.
2. At least half of the ready servers of a service stay in use.
3. A row (load report) names the servers that its sender itself found unresponsive, and when each server last
   responded to the sender. A response to a peer counts as a response to this router. A server that has
   responded to no router lately becomes suspect if two peers suspect it, or if one peer does and it times
   out at this router too. Suspicions taken over from peers are not announced, so that a false suspicion does
   not spread.
4. The routers whose slice contains a server send its trial first. The other routers learn the result from
   their rows, so that as few requests as possible wait at an unresponsive server.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum

from firvane.core import interface as api
from firvane.fleet.placement.server_view import ServerView

FIRST_EJECTION_S = 0.3
MAX_EJECTION_S = 4.0
MAX_DOUBLINGS = 8
OTHER_SLICE_FACTOR = 3.0  # factor of the ejection time if the server is not in this router's slice
MAX_ANNOUNCED_RESPONSE_AGE_S = 0.6  # older responses are not announced
PEER_LATENCY_S = 0.01  # assumed latency of a row
MAX_FAILURES_EXCUSED_BY_PEERS = 3  # after more failures, a response to a peer only makes a trial due
LOCAL_TIMEOUT_BESIDE_PEER_S = 0.25  # time without an event after which one peer's suspicion suffices
STREAM_STALL_S = 0.35  # time without progress of any stream
TRIAL_TIMEOUT_S = 1.0
SATURATED_S = 0.1  # time without requests after a rejection for lack of capacity
MIN_SUSPECTING_PEERS = 2  # the suspicions of this many peers suffice without a local time-out
MIN_PROGRESS_EVENTS = 3  # stalls are detected only at servers with at least this many progress reports
MAX_PEER_SUSPICION_AGE_S = 1.0  # older suspicions of peers are ignored


class Signal(Enum):
    """Type of a failure; the value is the number of consecutive failures that ejects the server."""

    UNREACHABLE = 2
    BROKEN = 3
    FAULTY = 4


SIGNALS = {
    api.Result.CONNECT_FAILED: Signal.UNREACHABLE,
    api.Result.CONNECTIONS_FULL: Signal.FAULTY,
    api.Result.RESET: Signal.BROKEN,
    api.Result.TIMEOUT: Signal.BROKEN,
    api.Result.ERROR: Signal.FAULTY,
}


def record_response(server: ServerView, now: float) -> None:
    """Record that the server responded to a request, which ends an ejection."""
    server.last_response_at = server.last_local_response_at = now
    server.consecutive_failures = 0
    server.ejected_until = 0.0
    server.on_trial = False


def record_progress(server: ServerView, now: float) -> None:
    """Record progress of a stream: the server is responsive, even if new requests get no response."""
    server.last_response_at = server.last_local_response_at = now
    if server.ejected_as_unresponsive and not server.on_trial:
        server.ejected_until = 0.0


def record_first_event(server: ServerView, now: float) -> None:
    """Record the first event of a request."""
    server.outcomes.record(True, now)
    record_response(server, now)


def is_failure(result: api.Result, started: bool) -> bool:
    """Return whether an attempt's end is a failure of its server; `started`: it came after an event."""
    return result in SIGNALS and not (result is api.Result.TIMEOUT and started)


def record_end(server: ServerView, result: api.Result, started: bool, now: float) -> None:
    """Record the end of an attempt; `started`: it came after the first event."""
    if is_failure(result, started):
        server.outcomes.record(False, now)
    if result is api.Result.OK:
        if not started:
            server.outcomes.record(True, now)
        record_response(server, now)
    elif result is api.Result.OVERLOADED:
        record_rejection(server, now)
    elif result is api.Result.TIMEOUT and started:
        pass  # the request's deadline expired, which is no fault of the server
    elif signal := SIGNALS.get(result):
        record_failure(server, signal, now)
    elif server.on_trial and not started:
        server.on_trial = False  # the trial was cancelled by its client: the next request is the trial
        server.ejected_until = min(server.ejected_until, now)


def record_failure(server: ServerView, signal: Signal, now: float) -> None:
    """Record a failed attempt; eject the server if it has failed too often or during its trial."""
    server.consecutive_failures += 1
    if server.consecutive_failures >= signal.value or server.on_trial:
        eject(server, now)


def record_rejection(server: ServerView, now: float) -> None:
    """Record that the server rejected a request for lack of capacity, which is a sign of health."""
    record_response(server, now)
    server.saturated_until = now + SATURATED_S


def eject_unresponsive(server: ServerView, now: float, locally: bool = True) -> None:
    """Eject a server whose open attempts all time out while other servers respond.

    Args:
        server: The server.
        now: The current time in seconds.
        locally: Whether this router's own attempts timed out, and not only those of peers.
    """
    server.suspected_at = now
    server.suspected_locally = locally
    server.consecutive_failures = max(server.consecutive_failures + 1, Signal.UNREACHABLE.value)
    eject(server, now)
    server.ejected_as_unresponsive = True


def eject(server: ServerView, now: float) -> None:
    """Eject a server for its ejection time, which doubles with each failure."""
    doublings = min(MAX_DOUBLINGS, max(0, server.consecutive_failures - Signal.UNREACHABLE.value))
    duration = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**doublings)
    server.ejected_until = now + (duration if server.in_own_slice else OTHER_SLICE_FACTOR * duration)
    server.on_trial = server.ejected_as_unresponsive = False


def start_trial(server: ServerView, now: float) -> None:
    """Record that an ejected server's trial is sent; no other request is sent until the trial ends."""
    server.on_trial = True
    server.ejected_until = now + TRIAL_TIMEOUT_S


def is_ejected(server: ServerView) -> bool:
    """Return whether the server is ejected, or its ejection time is over but it has not responded since."""
    return server.ejected_until > 0.0


def is_suspect(server: ServerView) -> bool:
    """Return whether the server is ejected as unresponsive."""
    return is_ejected(server) and server.suspected_at > server.last_response_at


def is_suspected_locally(server: ServerView) -> bool:
    """Return whether this router's own attempts timed out, and no router got a response since."""
    return is_suspect(server) and server.suspected_locally


def response_age(server: ServerView, now: float) -> float | None:
    """Return the seconds since the server's last response to this router, or None if it is too old."""
    age = now - server.last_local_response_at
    return age if age < MAX_ANNOUNCED_RESPONSE_AGE_S else None


def usable(servers: Sequence[ServerView], now: float) -> list[ServerView]:
    """Return the servers that may receive requests: those not ejected, but at least half of all."""
    healthy = [server for server in servers if server.ejected_until <= now and server.outlier_until <= now]
    required = (len(servers) + 1) // 2
    if len(healthy) < required:
        ejected = sorted((server for server in servers if server not in healthy), key=_ejection_end)
        healthy += ejected[: required - len(healthy)]
    return healthy


def any_peer_suspects(server: ServerView) -> bool:
    """Return whether the last row of any peer reports the server as unresponsive."""
    return any(load.suspect for load in server.peer_loads.values())


def apply_peer_suspicion(server: ServerView, now: float) -> None:
    """Apply a peer's suspicion, which `peer_loads` already contains, to the server's state."""
    if is_suspect(server) and not (server.in_own_slice or server.on_trial):
        latest = server.suspected_at + OTHER_SLICE_FACTOR * MAX_EJECTION_S
        server.ejected_until = max(server.ejected_until, min(now + MAX_PEER_SUSPICION_AGE_S, latest))
    if is_ejected(server) or now - server.last_response_at < LOCAL_TIMEOUT_BESIDE_PEER_S:
        return
    suspicions = [
        load
        for load in server.peer_loads.values()
        if load.suspect and now - load.received_at < MAX_PEER_SUSPICION_AGE_S
    ]
    locally = bool(server.pending_prefills) and now - server.no_event_since >= LOCAL_TIMEOUT_BESIDE_PEER_S
    if len(suspicions) >= MIN_SUSPECTING_PEERS or locally:
        eject_unresponsive(server, now, locally)


def apply_peer_response(server: ServerView, responded_at: float, now: float) -> None:
    """Apply a server's response to a peer: the server is responsive, even if it is slow for this router.

    If only this router repeatedly gets no response, its own network path to the server is probably at fault;
    then the ejection ends only after a successful trial.
    """
    responded_at -= PEER_LATENCY_S
    server.last_response_at = max(server.last_response_at, responded_at)
    if not (is_ejected(server) and server.ejected_as_unresponsive):
        return
    if server.on_trial or responded_at <= server.suspected_at:
        return
    if server.consecutive_failures <= MAX_FAILURES_EXCUSED_BY_PEERS:
        server.ejected_until = 0.0
    elif now - server.suspected_at >= FIRST_EJECTION_S:
        server.ejected_until = min(server.ejected_until, now)


def streams_are_stalled(server: ServerView, servers: Iterable[ServerView], now: float) -> bool:
    """Return whether the server's started streams all make no progress while other servers respond."""
    streaming = server.in_flight - len(server.pending_prefills)
    if streaming <= 0 or server.progress_events < MIN_PROGRESS_EVENTS:
        return False
    if now - server.last_response_at < STREAM_STALL_S:
        return False
    return any(other.last_response_at > server.last_response_at + STREAM_STALL_S / 2 for other in servers)


def _ejection_end(server: ServerView) -> float:
    return max(server.ejected_until, server.outlier_until)
