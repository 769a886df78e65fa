"""Passive health checks: what responses, failures and time-outs tell of a server.

1. Consecutive failures, or time-outs of all open attempts, eject a server. After its ejection time it gets a
   single trial request; the ejection time doubles with each failure, and any response ends the ejection.
2. At least half of the ready servers of a service stay in use.
3. Rows tell which servers the sender itself found unresponsive, and when each server last responded to it.
   A response to a peer counts here as well. Two peers' suspicions, or one beside a time-out here, make a
   server suspect that has not responded to anyone lately; that is not announced in turn, so that no false
   suspicion spreads.
4. The routers whose slice contains a server send its trial first. The others learn the result from them, so
   that no more requests than needed wait at an unresponsive server.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum

from firvane.core import interface as api
from firvane.fleet.placement.server_view import ServerView

FIRST_EJECTION_S = 0.3
MAX_EJECTION_S = 4.0
MAX_DOUBLINGS = 8
OTHER_SLICE_FACTOR = 3.0  # times the ejection time where another router's slice contains the server
RESPONSE_AGE_ANNOUNCED_S = 0.6  # older responses are not announced
PEER_LATENCY_S = 0.01  # of a row
MAX_FAILURES_EXCUSED_BY_PEERS = 3  # beyond, a response to a peer only makes a trial due
LOCAL_TIMEOUT_BESIDE_PEER_S = 0.25  # without an event here, beside which one peer's suspicion is enough
STREAM_STALL_S = 0.35  # without progress of any stream
TRIAL_TIMEOUT_S = 1.0
SATURATED_S = 0.1  # after a rejection for lack of capacity
MIN_SUSPECTING_PEERS = 2  # whose suspicion makes a server suspect here as well
MIN_PROGRESS_EVENTS = 3  # from which on their lack is a sign
PEER_SUSPICION_AGE_S = 1.0  # for which a peer's suspicion counts


class Signal(Enum):
    """What the end of an attempt tells of its server; the value is how many in a row eject it."""

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
    """Record that the server responded to a request: it is healthy."""
    server.last_response_at = server.last_local_response_at = now
    server.consecutive_failures = 0
    server.ejected_until = 0.0
    server.on_trial = False


def record_progress(server: ServerView, now: float) -> None:
    """Record progress of a stream: the server is not unresponsive, whatever it does with new requests."""
    server.last_response_at = server.last_local_response_at = now
    if server.ejected_as_unresponsive and not server.on_trial:
        server.ejected_until = 0.0


def record_first_event(server: ServerView, now: float) -> None:
    """Record the first event of a request."""
    server.outcomes.record(True, now)
    record_response(server, now)


def is_failure(result: api.Result, started: bool) -> bool:
    """Return whether the end of an attempt is a failure of its server; `started`: after its first event."""
    return result in SIGNALS and not (result is api.Result.TIMEOUT and started)


def record_end(server: ServerView, result: api.Result, started: bool, now: float) -> None:
    """Record the end of an attempt; `started`: after its first event."""
    if is_failure(result, started):
        server.outcomes.record(False, now)
    if result is api.Result.OK:
        if not started:
            server.outcomes.record(True, now)
        record_response(server, now)
    elif result is api.Result.OVERLOADED:
        record_rejection(server, now)
    elif result is api.Result.TIMEOUT and started:
        pass  # the client's deadline passed
    elif signal := SIGNALS.get(result):
        record_failure(server, signal, now)
    elif server.on_trial and not started:
        server.on_trial = False  # its client left: the next request is the trial
        server.ejected_until = min(server.ejected_until, now)


def record_failure(server: ServerView, signal: Signal, now: float) -> None:
    """Record a failed attempt, and eject the server where it is one too many."""
    server.consecutive_failures += 1
    if server.consecutive_failures >= signal.value or server.on_trial:
        eject(server, now)


def record_rejection(server: ServerView, now: float) -> None:
    """Record that the server rejected a request for lack of capacity: it is healthy."""
    record_response(server, now)
    server.saturated_until = now + SATURATED_S


def eject_unresponsive(server: ServerView, now: float, locally: bool = True) -> None:
    """Eject a server at which all open attempts time out while other servers respond.

    Args:
        server: The server.
        now: The current time in seconds.
        locally: Whether this router saw it itself, and not its peers only.
    """
    server.suspected_at = now
    server.suspected_locally = locally
    server.consecutive_failures = max(server.consecutive_failures + 1, Signal.UNREACHABLE.value)
    eject(server, now)
    server.ejected_as_unresponsive = True


def eject(server: ServerView, now: float) -> None:
    """Send nothing to a server for its ejection time, which doubles with each failure."""
    doublings = min(MAX_DOUBLINGS, max(0, server.consecutive_failures - Signal.UNREACHABLE.value))
    duration = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2.0**doublings)
    server.ejected_until = now + (duration if server.in_own_slice else OTHER_SLICE_FACTOR * duration)
    server.on_trial = server.ejected_as_unresponsive = False


def start_trial(server: ServerView, now: float) -> None:
    """Record that an ejected server's trial is sent; no other request follows before its end is known."""
    server.on_trial = True
    server.ejected_until = now + TRIAL_TIMEOUT_S


def is_ejected(server: ServerView) -> bool:
    """Return whether the server was ejected and has not responded since."""
    return server.ejected_until > 0.0


def is_suspect(server: ServerView) -> bool:
    """Return whether the server is ejected for being unresponsive."""
    return is_ejected(server) and server.suspected_at > server.last_response_at


def is_suspected_locally(server: ServerView) -> bool:
    """Return whether this router itself found the server unresponsive, and nobody got a response since."""
    return is_suspect(server) and server.suspected_locally


def response_age(server: ServerView, now: float) -> float | None:
    """Return the seconds since the server responded to this router; None where that is long ago."""
    age = now - server.last_local_response_at
    return age if age < RESPONSE_AGE_ANNOUNCED_S else None


def usable(servers: Sequence[ServerView], now: float) -> list[ServerView]:
    """Return the servers that may be sent to: at least half of them."""
    found = [server for server in servers if server.ejected_until <= now and server.outlier_until <= now]
    required = (len(servers) + 1) // 2
    if len(found) < required:
        rest = sorted((server for server in servers if server not in found), key=_ejection_end)
        found += rest[: required - len(found)]
    return found


def any_peer_suspects(server: ServerView) -> bool:
    """Return whether the last row of any peer names the server as unresponsive."""
    return any(load.suspect for load in server.peer_loads.values())


def apply_peer_suspicion(server: ServerView, now: float) -> None:
    """Act on a peer's suspicion, which `peer_loads` already contains."""
    if is_suspect(server) and not (server.in_own_slice or server.on_trial):
        latest = server.suspected_at + OTHER_SLICE_FACTOR * MAX_EJECTION_S
        server.ejected_until = max(server.ejected_until, min(now + PEER_SUSPICION_AGE_S, latest))
    if is_ejected(server) or now - server.last_response_at < LOCAL_TIMEOUT_BESIDE_PEER_S:
        return
    suspecting = [
        load
        for load in server.peer_loads.values()
        if load.suspect and now - load.received_at < PEER_SUSPICION_AGE_S
    ]
    locally = bool(server.pending_prefills) and now - server.no_event_since >= LOCAL_TIMEOUT_BESIDE_PEER_S
    if len(suspecting) >= MIN_SUSPECTING_PEERS or locally:
        eject_unresponsive(server, now, locally)


def apply_peer_response(server: ServerView, responded_at: float, now: float) -> None:
    """Act on a server's response to a peer: it is not unresponsive, only slow here.

    Where this router alone gets no response time and again, its own path to the server is at fault, and a
    trial decides.
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
    """Return whether no started stream of the server makes progress while other servers respond."""
    streaming = server.in_flight - len(server.pending_prefills)
    if streaming <= 0 or server.progress_events < MIN_PROGRESS_EVENTS:
        return False
    if now - server.last_response_at < STREAM_STALL_S:
        return False
    return any(other.last_response_at > server.last_response_at + STREAM_STALL_S / 2 for other in servers)


def _ejection_end(server: ServerView) -> float:
    return max(server.ejected_until, server.outlier_until)
