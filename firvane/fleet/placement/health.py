"""Passive failure detection: what answers, failures and silence say of a server.

1. A few failures in a row, or silence at all open attempts, eject a server. After a pause it gets a single
   trial; the pause doubles with each failure, and anything that comes from the server ends all of it.
2. At least half of the ready servers of a service stay in use, whatever they did.
3. Peers tell in their rows whom they have found silent themselves, and when each server last answered them.
   An answer to a peer is a sign of life here as well. Two words of silence, or one beside silence here, make
   a server suspect that nobody has heard lately; that is not passed on, so that no rumour feeds itself.
4. The routers whose slice holds a server try it first: the others hear of it from them, and no more requests
   than needed wait at a server that is still silent.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from enum import Enum

from firvane.core import interface as api
from firvane.fleet.placement.server_view import Server

FIRST_PAUSE, LONGEST_PAUSE = 0.3, 4.0  # s without requests after an ejection
OTHERS_FACTOR = 3.0  # times as long a pause where another router's slice holds the server
ANSWER_AGE = 0.6  # s for which peers are told when a server last answered
PEER_LATENCY = 0.01  # s that a peer's word is under way
WORDS_TO_DOUBT = 3  # failures in a row from which on a peer's word only makes a trial due
SILENT_BESIDE_WORD = 0.25  # s of silence here beside which one peer's word is enough
STREAM_SILENCE = 0.35  # s without progress of any stream, where progress is hinted
TRIAL_TIME = 1.0  # s after which a trial without an end counts as lost
FULL_PAUSE = 0.1  # s that a server counts as full after it has turned a request away
PEERS_TO_BELIEVE = 2  # peers whose word makes a server suspect here as well
HINTS_TO_TRUST = 3  # of progress, from which on their lack is a sign
PEER_WORD_AGE = 1.0  # s that such a word counts


class Signal(Enum):
    """What the end of an attempt says of its server; the value is how many in a row eject it."""

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


def note_alive(server: Server, now: float) -> None:
    """Something has come from the server."""
    server.heard_at = server.answered_at = now
    server.failures = 0
    server.retry_at = 0.0
    server.on_trial = False


def note_progress(server: Server, now: float) -> None:
    """A stream goes on: the server is not silent, whatever it does with new requests."""
    server.heard_at = server.answered_at = now
    if server.silenced and not server.on_trial:
        server.retry_at = 0.0


def note_begun(server: Server, now: float) -> None:
    """A request has had its first event."""
    server.outcomes.note(True, now)
    note_alive(server, now)


def is_failure(result: api.Result, started: bool) -> bool:
    """Whether the end of an attempt is a failure of its server; `started`: its first event had come."""
    return result in SIGNALS and not (result is api.Result.TIMEOUT and started)


def note_end(server: Server, result: api.Result, started: bool, now: float) -> None:
    """An attempt there has ended; `started`: its first event had come."""
    if is_failure(result, started):
        server.outcomes.note(False, now)
    if result is api.Result.OK:
        if not started:
            server.outcomes.note(True, now)
        note_alive(server, now)
    elif result is api.Result.OVERLOADED:
        note_full(server, now)
    elif result is api.Result.TIMEOUT and started:
        pass  # its client's time was over
    elif signal := SIGNALS.get(result):
        note_failure(server, signal, now)
    elif server.on_trial and not started:
        server.on_trial = False  # its client left: the next request is the trial
        server.retry_at = min(server.retry_at, now)


def note_failure(server: Server, signal: Signal, now: float) -> None:
    """An attempt there has failed."""
    server.failures += 1
    if server.failures >= signal.value or server.on_trial:
        eject(server, now)


def note_full(server: Server, now: float) -> None:
    """The server has turned a request away: it lives and has no room."""
    note_alive(server, now)
    server.full_until = now + FULL_PAUSE


def note_silent(server: Server, now: float, witnessed: bool = True) -> None:
    """All open attempts there are silent for far longer than expected, while other servers answer.

    `witnessed`: by this router itself, not by the word of its peers.
    """
    server.suspected_at = now
    server.witnessed = witnessed
    server.failures = max(server.failures + 1, Signal.UNREACHABLE.value)
    eject(server, now)
    server.silenced = True


def eject(server: Server, now: float) -> None:
    """Send nothing there for a pause that doubles with each failure."""
    doublings = min(8, max(0, server.failures - Signal.UNREACHABLE.value))
    pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0**doublings)
    server.retry_at = now + (pause if server.mine else OTHERS_FACTOR * pause)
    server.on_trial = server.silenced = False


def start_trial(server: Server, now: float) -> None:
    """A request goes to a server whose pause has passed; no other goes before its end is known."""
    server.on_trial = True
    server.retry_at = now + TRIAL_TIME


def is_ejected(server: Server) -> bool:
    """Whether the server has failed and has not answered since."""
    return server.retry_at > 0.0


def is_suspect(server: Server) -> bool:
    """Whether the server is ejected for its silence."""
    return is_ejected(server) and server.suspected_at > server.heard_at


def is_witnessed(server: Server) -> bool:
    """Whether this router has found the server silent by itself, and nobody has heard it since."""
    return is_suspect(server) and server.witnessed


def answer_age(server: Server, now: float) -> float | None:
    """Seconds since something came from the server to this router; None where that is long ago."""
    age = now - server.answered_at
    return age if age < ANSWER_AGE else None


def usable(servers: Sequence[Server], now: float) -> list[Server]:
    """The servers that may be sent to: at least half of them."""
    found = [server for server in servers if server.retry_at <= now and server.outlier_until <= now]
    least = (len(servers) + 1) // 2
    if len(found) < least:
        rest = sorted((server for server in servers if server not in found), key=_soonest)
        found += rest[: least - len(found)]
    return found


def any_peer_suspects(server: Server) -> bool:
    """Whether a peer has said in its last row that nothing comes from the server."""
    return any(load.suspect for load in server.peers.values())


def hear_suspicion(server: Server, now: float) -> None:
    """A peer suspects the server; its word is in the picture already."""
    if is_suspect(server) and not (server.mine or server.on_trial):
        latest = server.suspected_at + OTHERS_FACTOR * LONGEST_PAUSE
        server.retry_at = max(server.retry_at, min(now + PEER_WORD_AGE, latest))
    if is_ejected(server) or now - server.heard_at < SILENT_BESIDE_WORD:
        return
    words = [load for load in server.peers.values() if load.suspect and now - load.at < PEER_WORD_AGE]
    silent_here = bool(server.waiting) and now - server.waiting_since >= SILENT_BESIDE_WORD
    if len(words) >= PEERS_TO_BELIEVE or silent_here:
        note_silent(server, now, witnessed=silent_here)


def hear_alive(server: Server, answered: float, now: float) -> None:
    """The server has answered a peer at `answered`: it is not silent, only slow here.

    Where this router alone hears nothing from it time and again, its own way there is at fault, and a trial
    decides.
    """
    heard = answered - PEER_LATENCY
    server.heard_at = max(server.heard_at, heard)
    if not (is_ejected(server) and server.silenced) or server.on_trial or heard <= server.suspected_at:
        return
    if server.failures <= WORDS_TO_DOUBT:
        server.retry_at = 0.0
    elif now - server.suspected_at >= FIRST_PAUSE:
        server.retry_at = min(server.retry_at, now)


def streams_are_silent(server: Server, servers: Iterable[Server], now: float) -> bool:
    """Whether no stream that has begun at the server makes progress, while other servers answer."""
    writing = server.running - len(server.waiting)
    if writing <= 0 or server.hints < HINTS_TO_TRUST or now - server.heard_at < STREAM_SILENCE:
        return False
    return any(other.heard_at > server.heard_at + STREAM_SILENCE / 2 for other in servers)


def _soonest(server: Server) -> float:
    return max(server.retry_at, server.outlier_until)
