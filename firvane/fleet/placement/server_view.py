"""What one router believes of one model server: parts that it keeps, and the work that is ahead of it.

Nothing of it is told by the server. It follows from what was sent there, by this router exactly and by its
peers as their rows say.
"""

from __future__ import annotations

import math
from typing import NamedTuple
from zlib import crc32

from msgspec import Struct, field

from firvane.fleet.placement.homes import Prompt

STREAM_TOKENS = 64  # prompt tokens that one running stream weighs in a backend's load
FADE_TIME = 1.0  # s by which counts of outcomes fade to a third
LAG_FADE = 2.0  # s of lag that fade in one
KEPT_SHARE = 0.85  # of a server's memory that is believed to be left for kept parts


class KeptParts:
    """Parts of prompts that a server is believed to keep; the least recently used give way.

    Peers tell of the large shared parts that they send. Own parts are touched by nobody else, while the
    traffic of the peers pushes them out: they last the shorter, the more routers there are.
    """

    def __init__(self, capacity: float, most: int) -> None:
        """`capacity` in tokens; `most` parts are remembered."""
        self.capacity, self.most = capacity, most
        self.used = 0.0
        self.read = 0.0  # tokens of all own parts that were ever put
        self._shared: dict[int, int] = {}  # tokens by key; least recently used first
        self._own: dict[int, tuple[int, float]] = {}  # tokens, and `read` then

    def kept_tokens(self, prompt: Prompt, routers: int) -> int:
        """Tokens of the leading parts that are kept without a gap, small ones aside."""
        shared, found = self._shared, 0
        for key, tokens in prompt.shared_parts:
            if key not in shared:
                return found
            found += tokens
        own = self._own.get(prompt.own_part[0])
        if own is not None and (self.read - own[1]) * routers <= self.capacity:
            return prompt.total
        return found

    def keep(self, prompt: Prompt) -> None:
        """A prompt is read there."""
        key, tokens = prompt.own_part
        old = self._own.pop(key, None)
        self.used += tokens - (old[0] if old else 0)
        self.read += tokens
        self._own[key] = (tokens, self.read)
        for key, tokens in reversed(prompt.shared_parts):  # the first part is used by most and goes last
            self._put_shared(key, tokens)
        self._make_room()

    def keep_shared(self, key: int, tokens: int) -> None:
        """A peer has sent a shared part there."""
        self._put_shared(key, tokens)
        self._make_room()

    def latest_shared(self, most: int) -> list[tuple[int, int]]:
        """Keys and tokens of the shared parts used last, at most so many, the latest last."""
        return list(self._shared.items())[-most:]

    def _put_shared(self, key: int, tokens: int) -> None:
        self.used += tokens - self._shared.pop(key, 0)
        self._shared[key] = tokens

    def _make_room(self) -> None:
        """Own parts, which are rarely used again, go first."""
        while self._own and (self.used > self.capacity or len(self._own) > self.most):
            self.used -= self._own.pop(next(iter(self._own)))[0]
        while self._shared and (self.used > self.capacity or len(self._shared) > self.most):
            self.used -= self._shared.pop(next(iter(self._shared)))


def faded(span: float) -> float:
    """What is left of a count after so many seconds, as a share."""
    return math.exp(-max(0.0, span) / FADE_TIME)


class PeerLoad(Struct):
    """What a peer has out at a server, as its row said."""

    running: int
    tokens: float  # of prompts that were not read yet
    at: float  # when it was heard, s
    suspect: bool = False  # the peer hears nothing from the server
    failures: float = 0.0  # of its requests there, faded

    def failures_at(self, now: float) -> float:
        """Its failures, faded since."""
        return self.failures and self.failures * faded(now - self.at)


class Outcomes:
    """How requests ended at a server, as counts that fade by `FADE_TIME`."""

    __slots__ = ("_at", "_failures", "_successes")

    def __init__(self) -> None:
        self._at = self._failures = self._successes = 0.0

    def note(self, ok: bool, now: float) -> None:
        """One request has ended, or has begun to be answered."""
        part = faded(now - self._at)
        self._at = now
        self._failures = self._failures * part + (not ok)
        self._successes = self._successes * part + ok

    def failures(self, now: float) -> float:
        return self._failures and self._failures * faded(now - self._at)

    def successes(self, now: float) -> float:
        return self._successes and self._successes * faded(now - self._at)


class Waiting(NamedTuple):
    """An attempt without an event."""

    tokens: float  # to read
    due: float  # when its first event is expected, s


class Server(Struct, eq=False):
    """One instance of a model server."""

    id: str
    service: str
    zone: str
    slots: int
    parts: KeptParts
    salt: int = 0
    ready: bool = True  # neither draining nor gone
    mine: bool = True  # in this router's slice
    running: int = 0  # attempts out from here, waiting ones included
    waiting: dict[int, Waiting] = field(
        default_factory=dict
    )  # by attempt, in the order in which they were sent
    waiting_tokens: float = 0.0
    lag: float = 0.0  # s that first events came later than expected of late, as of `lag_at`
    lag_at: float = 0.0
    waiting_since: float = 0.0  # when the first of them was sent, or one before it had its event, s
    read_until: float = 0.0  # when those should have been read, s
    peers: dict[int, PeerLoad] = field(default_factory=dict)
    reading_peers: dict[int, PeerLoad] = field(default_factory=dict)  # those that have prompts to be read
    peers_running: int = 0
    factor: float = 1.0  # how much longer than the others it takes, as learnt
    told_work: float = 0.0  # tokens of own work there, as last announced
    heard_at: float = 0.0  # when anything last came from it, to any router
    answered_at: float = -1e9  # when anything last came from it to this router
    hints: int = 0  # of progress that came from it: their lack tells nothing where there are none
    failures: int = 0  # in a row
    retry_at: float = 0.0  # it is ejected until then, and gets a single trial after
    on_trial: bool = False
    suspected_at: float = -1e9  # when silence last made it suspect
    witnessed: bool = False  # this router's own attempts were silent then
    silenced: bool = False  # it is ejected for silence, not for failures
    outcomes: Outcomes = field(default_factory=Outcomes)  # of requests from here
    outlier_until: float = 0.0  # it is left out until then, for failing more than others
    outlier_rounds: int = 0  # how often in a row that has happened
    left_out_at: float = -1e9  # when it last was
    trial_from: float = -1e9  # when its pause ended, from which on its trial counts
    trial_failed_at: float = -1e9  # when a request from here last failed in its trial
    full_until: float = 0.0  # it turned a request away and is believed to be full until then

    def __post_init__(self) -> None:
        self.salt = crc32(self.id.encode())

    def sent(self, attempt: int, tokens: float, expected: float, speed: float, now: float) -> None:
        """A prompt with so many tokens to read goes there; `speed` in tokens a second, `expected` in s."""
        self.running += 1
        if not self.waiting:
            self.waiting_since = now
        self.waiting[attempt] = Waiting(tokens, now + expected)
        self.waiting_tokens += tokens
        self.read_until = max(now, self.read_until) + tokens / speed

    def started(self, attempt: int, speed: float, now: float) -> None:
        """The first event of an attempt has come, or the attempt has ended before it."""
        found = self.waiting.pop(attempt, None)
        if found is None:
            return
        tokens = found.tokens
        self.waiting_since = now
        self.waiting_tokens = self.waiting_tokens - tokens if self.waiting else 0.0
        self.read_until = min(self.read_until, now + self.waiting_tokens / speed)

    def ended(self, attempt: int, speed: float, now: float) -> None:
        """An attempt is over."""
        self.started(attempt, speed, now)
        self.running = max(0, self.running - 1)

    def unread_tokens(self, speed: float, now: float) -> float:
        """Tokens of own prompts that are believed not to be read yet."""
        return min(self.waiting_tokens, max(0.0, self.read_until - now) * speed)

    def note_lag(self, late: float, now: float) -> None:
        """A first event came so many seconds later than it would have without work ahead."""
        self.lag, self.lag_at = max(0.0, late), now

    def queue(self, speed: float, now: float) -> float:
        """Seconds until the server gets to a new prompt: by the work ahead, and by how late it is already.

        What other routers have sent is not all known here; that own attempts wait for longer than expected,
        or did just now, tells of it.
        """
        ahead = self.backlog(speed, now)
        if self.waiting:
            ahead = max(ahead, now - next(iter(self.waiting.values())).due)
        if self.lag:
            ahead = max(ahead, self.lag - (now - self.lag_at) * LAG_FADE)
        return ahead

    def backlog(self, speed: float, now: float) -> float:
        """Seconds that the server needs to read all prompts that are known, those of the peers included."""
        ahead = max(0.0, self.read_until - now)
        if self.reading_peers:
            ahead += self._peers_backlog(speed, now)
        return ahead

    def _peers_backlog(self, speed: float, now: float) -> float:
        ahead = 0.0
        for number, peer in list(self.reading_peers.items()):
            left = peer.tokens / speed - (now - peer.at)
            if left > 0.0:
                ahead += left
            else:
                del self.reading_peers[number]
        return ahead

    def work(self, speed: float, now: float) -> float:
        """The load ahead, in prompt tokens, of all routers."""
        return self.backlog(speed, now) * speed + STREAM_TOKENS * (self.running + self.peers_running)

    def announced_work(self) -> float:
        """The load in prompt tokens as all routers have announced it: what each of them reckons with."""
        peers = sum(peer.tokens + STREAM_TOKENS * peer.running for peer in self.peers.values())
        return self.told_work + peers

    def learn(self, peer: int, load: PeerLoad | None) -> None:
        """What a peer has out there now; None where it has nothing."""
        old = self.peers.pop(peer, None)
        self.reading_peers.pop(peer, None)
        if old:
            self.peers_running -= old.running
        if load:
            self.peers[peer] = load
            self.peers_running += load.running
            if load.tokens:
                self.reading_peers[peer] = load
