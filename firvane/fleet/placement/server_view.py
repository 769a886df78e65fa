"""One router's view of one model server: its load, its health and its prefix cache.

The server reports none of it. The view follows from what was sent there: by this router exactly, and by its
peers as their rows tell. All times are in seconds.
"""

from __future__ import annotations

import math
from typing import NamedTuple
from zlib import crc32

from msgspec import Struct, field

from firvane.fleet.placement.prefix_cache import PrefixCacheView

STREAM_TOKENS = 64  # prompt tokens that weigh as much as one running stream
OUTCOME_DECAY_S = 1.0  # counts of outcomes decay to 1/e
LAG_DECAY = 2.0  # seconds of lag that decay per second
NEVER = -1e9  # before the start of any clock


def decay(span: float) -> float:
    """Return the ratio of an outcome count that is left after `span` seconds."""
    return math.exp(-max(0.0, span) / OUTCOME_DECAY_S)


class PeerLoad(Struct):
    """What a peer's row said of a server.

    Attributes:
        in_flight: Its open attempts there.
        tokens: Tokens of prompts that were not prefilled yet.
        received_at: When the row came.
        suspect: Whether the peer itself found the server unresponsive.
        failures: Decayed count of its failures there, as of `received_at`.
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
    """Decaying counts of a server's successes and failures."""

    __slots__ = ("_at", "_failures", "_successes")

    def __init__(self) -> None:
        self._at = self._failures = self._successes = 0.0

    def record(self, success: bool, now: float) -> None:
        """Count a request that has ended, or whose response has started."""
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
    """An attempt without an event."""

    tokens: float  # to prefill
    due: float  # when its first event is expected


class ServerView(Struct, eq=False):
    """One instance of a model server, as this router sees it.

    Attributes:
        id_hash: CRC-32 of the id, which names the server in rows.
        ready: Whether it is neither draining nor gone.
        in_own_slice: Whether this router's home slice contains it.
        in_flight: Open attempts of this router.
        pending_prefills: Attempts without an event by sequence, in the order in which they were sent.
        pending_prefill_tokens: Sum of their tokens.
        no_event_since: When the oldest of them was sent, or one before it had its event.
        prefill_until: When they should all be prefilled.
        lag: Seconds by which the last first event was later than expected, as of `lag_at`.
        peer_loads: What each peer has in flight there.
        prefilling_peers: Those of `peer_loads` that have prompts to prefill.
        peers_in_flight: Open attempts of all peers.
        slowdown: How many times longer than the other servers it takes.
        announced_own_load: Load of this router there in prompt tokens, as its last row said.
        last_response_at: When it last sent anything to any router.
        last_local_response_at: When it last sent anything to this router.
        progress_events: Reports of progress of its streams; without any, their lack means nothing.
        consecutive_failures: Failures since its last response.
        ejected_until: No requests go there before this, and a single trial after; 0 when not ejected.
        on_trial: Whether its trial is in flight.
        suspected_at: When it last became suspect by being unresponsive.
        suspected_locally: Whether this router's own attempts were unresponsive then.
        ejected_as_unresponsive: Whether it is ejected for that and not for failures.
        outcomes: Outcomes of this router's requests.
        outlier_until: It is ejected as an outlier until then.
        outlier_ejections: Number of such ejections in a row.
        outlier_ejected_at: Time of the last of them.
        trial_starts_at: When its trial as an outlier starts.
        trial_failed_at: When a request of this router last failed in such a trial.
        saturated_until: It rejected a request and is believed to be at capacity until then.
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

    def __post_init__(self) -> None:
        self.id_hash = crc32(self.id.encode())

    def start_attempt(
        self, sequence: int, tokens: float, expected: float, prefill_rate: float, now: float
    ) -> None:
        """Record that an attempt is sent.

        Args:
            sequence: The attempt's number.
            tokens: Tokens of its prompt to prefill.
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
        """Record the first event of an attempt, or its end before that."""
        found = self.pending_prefills.pop(sequence, None)
        if found is None:
            return
        tokens = found.tokens
        self.no_event_since = now
        self.pending_prefill_tokens = self.pending_prefill_tokens - tokens if self.pending_prefills else 0.0
        self.prefill_until = min(self.prefill_until, now + self.pending_prefill_tokens / prefill_rate)

    def end_attempt(self, sequence: int, prefill_rate: float, now: float) -> None:
        """Record the end of an attempt."""
        self.end_prefill(sequence, prefill_rate, now)
        self.in_flight = max(0, self.in_flight - 1)

    def remaining_prefill_tokens(self, prefill_rate: float, now: float) -> float:
        """Return the tokens of this router's prompts that are believed to await prefill."""
        return min(self.pending_prefill_tokens, max(0.0, self.prefill_until - now) * prefill_rate)

    def record_lag(self, lag: float, now: float) -> None:
        """Record by how many seconds a first event was later than without a backlog."""
        self.lag, self.lag_at = max(0.0, lag), now

    def queueing_delay(self, prefill_rate: float, now: float) -> float:
        """Return the seconds until the server gets to a new prompt.

        It is the prefill backlog, or the lateness of this router's own attempts where that is longer, since
        lateness shows work of other routers that is not known here.
        """
        delay = self.prefill_backlog(prefill_rate, now)
        if self.pending_prefills:
            delay = max(delay, now - next(iter(self.pending_prefills.values())).due)
        if self.lag:
            delay = max(delay, self.lag - (now - self.lag_at) * LAG_DECAY)
        return delay

    def prefill_backlog(self, prefill_rate: float, now: float) -> float:
        """Return the seconds of prefill that are known to be ahead, those of the peers included."""
        backlog = max(0.0, self.prefill_until - now)
        if self.prefilling_peers:
            backlog += self._peers_backlog(prefill_rate, now)
        return backlog

    def _peers_backlog(self, prefill_rate: float, now: float) -> float:
        backlog = 0.0
        for number, peer in list(self.prefilling_peers.items()):
            left = peer.tokens / prefill_rate - (now - peer.received_at)
            if left > 0.0:
                backlog += left
            else:
                del self.prefilling_peers[number]
        return backlog

    def load_tokens(self, prefill_rate: float, now: float) -> float:
        """Return the load of all routers in prompt tokens."""
        return self.prefill_backlog(prefill_rate, now) * prefill_rate + STREAM_TOKENS * (
            self.in_flight + self.peers_in_flight
        )

    def announced_load(self) -> float:
        """Return the load of all routers in prompt tokens as their rows said: the figure that all share."""
        peers = sum(peer.tokens + STREAM_TOKENS * peer.in_flight for peer in self.peer_loads.values())
        return self.announced_own_load + peers

    def update_peer_load(self, peer: int, load: PeerLoad | None) -> None:
        """Replace what a peer has in flight there; None where it has nothing."""
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
