"""One router's view of one model server: its load, its health and its prefix cache.

The server reports none of these. They are derived from the requests sent to the server: exactly for this
router's own requests, and from the rows (load reports) of its peers for theirs. All times are in seconds.
"""

from __future__ import annotations

import math
from typing import NamedTuple
from zlib import crc32

from msgspec import Struct, field

from firvane.fleet.placement.prefix_cache import PrefixCacheView

STREAM_TOKENS = 64  # load of one running stream, in prompt tokens
OUTCOME_DECAY_S = 1.0  # time in which outcome counts decay to 1/e
LAG_DECAY = 2.0  # seconds by which a lag decreases per second
NEVER = -1e9  # earlier than any clock reading


def decay(elapsed: float) -> float:
    """Return the ratio of an outcome count that remains after `elapsed` seconds."""
    return math.exp(-max(0.0, elapsed) / OUTCOME_DECAY_S)


class PeerLoad(Struct):
    """The load and health of a server as reported by a peer's row.

    Attributes:
        in_flight: The peer's open attempts at the server.
        tokens: Tokens of the peer's prompts that were not prefilled yet.
        received_at: When the row was received.
        suspect: Whether the peer's own attempts found the server unresponsive.
        failures: Decayed count of the peer's failed attempts at the server, as of `received_at`.
    """

    in_flight: int
    tokens: float
    received_at: float
    suspect: bool = False
    failures: float = 0.0

    def failures_at(self, now: float) -> float:
        """Return the decayed count of failures as of `now`."""
        return self.failures and self.failures * decay(now - self.received_at)


class Outcomes:
    """Exponentially decaying counts of a server's successes and failures."""

    __slots__ = ("_at", "_failures", "_successes")

    def __init__(self) -> None:
        self._at = self._failures = self._successes = 0.0

    def record(self, success: bool, now: float) -> None:
        """Count a request that has failed, or whose response has started or completed."""
        remaining = decay(now - self._at)
        self._at = now
        self._failures = self._failures * remaining + (not success)
        self._successes = self._successes * remaining + success

    def failures(self, now: float) -> float:
        """Return the decayed count of failures."""
        return self._failures and self._failures * decay(now - self._at)

    def successes(self, now: float) -> float:
        """Return the decayed count of successes."""
        return self._successes and self._successes * decay(now - self._at)


class PendingPrefill(NamedTuple):
    """An attempt that has received no event yet."""

    tokens: float  # that the server has to prefill
    due: float  # when the first event is expected


class ServerView(Struct, eq=False):
    """One instance of a model server, as this router sees it.

    Attributes:
        id_hash: CRC-32 of the id, which names the server in rows.
        ready: Whether the server is neither draining nor gone.
        in_own_slice: Whether this router's home slice contains the server.
        in_flight: Open attempts of this router.
        pending_prefills: This router's attempts without an event by sequence, in the order of sending.
        pending_prefill_tokens: Sum of the tokens of `pending_prefills`.
        no_event_since: When a prefill last ended, or when the first of `pending_prefills` was sent, if later.
        prefill_until: When all pending prefills are expected to be complete.
        lag: Seconds by which the latest first event was later than expected, as of `lag_at`.
        peer_loads: The last report of each peer about the server, by router number.
        prefilling_peers: The entries of `peer_loads` with prompts to prefill.
        peers_in_flight: Open attempts of all peers.
        slowdown: Time to the first event as a multiple of that of the other servers.
        announced_own_load: This router's load on the server in prompt tokens, as of its last row.
        last_response_at: When the server last sent anything to any router.
        last_local_response_at: When the server last sent anything to this router.
        progress_events: Number of progress reports for its streams; without any, stalls are not detected.
        consecutive_failures: Failures since its last response.
        ejected_until: Until when the server gets no requests; then it gets one trial. 0 if it is not ejected.
        on_trial: Whether its trial request is in flight.
        suspected_at: When it was last ejected as unresponsive.
        suspected_locally: Whether that was because of this router's own attempts.
        ejected_as_unresponsive: Whether the present ejection is for unresponsiveness and not for failures.
        outcomes: Outcomes of this router's requests.
        outlier_until: Until when it is ejected as an outlier.
        outlier_ejections: Number of consecutive ejections as an outlier.
        outlier_ejected_at: When it was last ejected as an outlier.
        trial_starts_at: When the trial after its ejection as an outlier starts.
        trial_failed_at: When a request of this router last failed in such a trial.
        saturated_until: Until when it is believed to be at capacity, after it rejected a request.
        listed_slots: Its slots in the platform's list; 0 if the list has none.
    """

    id: str
    service: str
    zone: str
    slots: int
    prefix_cache: PrefixCacheView
    id_hash: int = 0
    ready: bool = True
    in_own_slice: bool = True
    in_flight: int = 0
    pending_prefills: dict[int, PendingPrefill] = field(default_factory=dict)
    pending_prefill_tokens: float = 0.0
    lag: float = 0.0
    lag_at: float = 0.0
    no_event_since: float = 0.0
    prefill_until: float = 0.0
    peer_loads: dict[int, PeerLoad] = field(default_factory=dict)
    prefilling_peers: dict[int, PeerLoad] = field(default_factory=dict)
    peers_in_flight: int = 0
    slowdown: float = 1.0
    announced_own_load: float = 0.0
    last_response_at: float = 0.0
    last_local_response_at: float = NEVER
    progress_events: int = 0
    consecutive_failures: int = 0
    ejected_until: float = 0.0
    on_trial: bool = False
    suspected_at: float = NEVER
    suspected_locally: bool = False
    ejected_as_unresponsive: bool = False
    outcomes: Outcomes = field(default_factory=Outcomes)
    outlier_until: float = 0.0
    outlier_ejections: int = 0
    outlier_ejected_at: float = NEVER
    trial_starts_at: float = NEVER
    trial_failed_at: float = NEVER
    saturated_until: float = 0.0
    listed_slots: int = 0

    def __post_init__(self) -> None:
        self.id_hash = crc32(self.id.encode())

    def start_attempt(
        self, sequence: int, tokens: float, expected: float, prefill_rate: float, now: float
    ) -> None:
        """Record that an attempt is sent to the server.

        Args:
            sequence: Sequence number of the attempt.
            tokens: Tokens that the server has to prefill.
            expected: Seconds until its first event is expected.
            prefill_rate: Tokens per second.
            now: The current time.
        """
        self.in_flight += 1
        if not self.pending_prefills:
            self.no_event_since = now
        self.pending_prefills[sequence] = PendingPrefill(tokens, now + expected)
        self.pending_prefill_tokens += tokens
        self.prefill_until = max(now, self.prefill_until) + tokens / prefill_rate

    def end_prefill(self, sequence: int, prefill_rate: float, now: float) -> None:
        """Record the first event of an attempt, or its end without an event."""
        prefill = self.pending_prefills.pop(sequence, None)
        if prefill is None:
            return
        tokens = prefill.tokens
        self.no_event_since = now
        self.pending_prefill_tokens = self.pending_prefill_tokens - tokens if self.pending_prefills else 0.0
        self.prefill_until = min(self.prefill_until, now + self.pending_prefill_tokens / prefill_rate)

    def end_attempt(self, sequence: int, prefill_rate: float, now: float) -> None:
        """Record the end of an attempt."""
        self.end_prefill(sequence, prefill_rate, now)
        self.in_flight = max(0, self.in_flight - 1)

    def remaining_prefill_tokens(self, prefill_rate: float, now: float) -> float:
        """Return the estimated tokens of this router's prompts that are not prefilled yet."""
        return min(self.pending_prefill_tokens, max(0.0, self.prefill_until - now) * prefill_rate)

    def record_lag(self, lag: float, now: float) -> None:
        """Record by how many seconds a first event was later than expected without a backlog."""
        self.lag, self.lag_at = max(0.0, lag), now

    def queueing_delay(self, prefill_rate: float, now: float) -> float:
        """Return the expected seconds until the server starts to prefill a new prompt.

        This is the prefill backlog or the delay of this router's own attempts, whichever is longer: delays
        reveal work of other routers that this router has no report of.
        """
        delay = self.prefill_backlog(prefill_rate, now)
        if self.pending_prefills:
            delay = max(delay, now - next(iter(self.pending_prefills.values())).due)
        if self.lag:
            delay = max(delay, self.lag - (now - self.lag_at) * LAG_DECAY)
        return delay

    def prefill_backlog(self, prefill_rate: float, now: float) -> float:
        """Return the seconds of outstanding prefill of all routers, as far as known."""
        backlog = max(0.0, self.prefill_until - now)
        if self.prefilling_peers:
            backlog += self._peers_backlog(prefill_rate, now)
        return backlog

    def _peers_backlog(self, prefill_rate: float, now: float) -> float:
        backlog = 0.0
        for number, peer in list(self.prefilling_peers.items()):
            remaining = peer.tokens / prefill_rate - (now - peer.received_at)
            if remaining > 0.0:
                backlog += remaining
            else:
                del self.prefilling_peers[number]
        return backlog

    def load_tokens(self, prefill_rate: float, now: float) -> float:
        """Return the load of all routers in prompt tokens."""
        return self.prefill_backlog(prefill_rate, now) * prefill_rate + STREAM_TOKENS * (
            self.in_flight + self.peers_in_flight
        )

    def announced_load(self) -> float:
        """Return the load of all routers in prompt tokens as of their last rows, the same at all routers."""
        peers = sum(peer.tokens + STREAM_TOKENS * peer.in_flight for peer in self.peer_loads.values())
        return self.announced_own_load + peers

    def update_peer_load(self, peer: int, load: PeerLoad | None) -> None:
        """Replace a peer's report about the server; None if the peer has nothing to report."""
        old = self.peer_loads.pop(peer, None)
        self.prefilling_peers.pop(peer, None)
        if old:
            self.peers_in_flight -= old.in_flight
        if load:
            self.peer_loads[peer] = load
            self.peers_in_flight += load.in_flight
            if load.tokens:
                self.prefilling_peers[peer] = load


def server_id(server: ServerView) -> str:
    """Return the id of a server, as a sort key."""
    return server.id
