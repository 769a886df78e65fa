"""The state that the parts of a proxy's member share.

A part (`renewal`, `elections`, `proposals`, `installation`) owns the state that it alone changes; what more
than one of them reads or changes is here. All times are seconds on this proxy's monotonic clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from math import inf

from firvane.proxy.quorum.ballots import Ballots
from firvane.proxy.quorum.events import Action, Note
from firvane.proxy.quorum.gathering import Gathering
from firvane.proxy.quorum.leases import Lease
from firvane.proxy.quorum.messages import Told
from firvane.proxy.quorum.types import Kept, Times, Value, Window
from firvane.proxy.quorum.votes import Votes

REMEMBERED = 50  # epochs, proposals


class MemberState:
    """What proxy `me` of `proxies` knows, and what it has under way."""

    def __init__(
        self,
        me: int,
        proxies: int,
        voters: tuple[int, ...],
        times: Times,
        seed: int,
        now: float,
        kept: Kept | None,
        has: Iterable[bytes],
    ) -> None:
        """The arguments are those of `Member`."""
        self.me, self.proxies, self.configured, self.times = me, proxies, voters, times
        self.dice = random.Random(seed)
        self.start = now
        self.lease = Lease(times)
        self.votes = Votes(me, times, kept, now) if kept else None
        self.texts = dict.fromkeys(has, "")  # by digest: why that text cannot be used, "" where it can
        self.history: dict[int, Value] = {}  # by epoch
        self.gathering: Gathering | None = None  # the change that is being prepared here
        self.ballots: Ballots | None = None  # the ballots that are under way here
        self.candidate: tuple[bytes, int, float] | None = None  # digest, holder, until when
        self.asked: dict[int, tuple[int, float]] = {}  # by nonce: whom, and when
        self.answers: dict[int, Told] = {}  # the last one of each voter
        self.last_asked: dict[int, float] = {}  # by proxy: when it asked here last, and was not deaf
        self.life = 0  # of a voter that has lost its memory: its new one, once that is known
        self.reborn: Votes | None = None  # the votes of that life, until they are on disk
        self.limit = -inf  # until when new requests may be decided by the epoch in use
        self.actions: list[Action] = []  # that follow from the event in hand

    @property
    def voters(self) -> tuple[int, ...]:
        """Who decides the next epoch: the configured ones until an epoch is known."""
        return self.lease.decided.voters if self.lease.decided else self.configured

    @property
    def quorum(self) -> int:
        """How many voters are a majority."""
        return len(self.voters) // 2 + 1

    @property
    def is_voter(self) -> bool:
        """Whether this proxy is one of the voters, with its memory or without."""
        return self.me in self.voters

    def holds(self, now: float) -> bool:
        """Whether a new request may be decided by the epoch in use."""
        return now < self.limit

    def note(self, event: str, **fields: str | int | float) -> None:
        """Have a line written to the log."""
        self.actions.append(Note(event, fields))

    def nonce(self, voter: int, now: float) -> int:
        """The nonce of a new question to that voter."""
        nonce = self.dice.getrandbits(32)
        self.asked[nonce] = (voter, now)
        return nonce

    def asked_at(self, nonce: int, voter: int) -> float | None:
        """When that question went out; None where `voter` was not asked it, or has answered it before."""
        whom, sent = self.asked.pop(nonce, (-1, 0.0))
        return sent if whom == voter else None

    # Epochs

    def learn(self, value: Value, settled: bool) -> None:
        """An epoch is decided; `settled`: the moment of its swap has passed."""
        if self.lease.learn(value, settled):
            self.remember(value)

    def remember(self, value: Value) -> None:
        """A later epoch is decided: what was under way for it or an earlier one ends."""
        self.history[value.epoch] = value
        if len(self.history) > REMEMBERED:
            del self.history[min(self.history)]
        self.note("policy_decided", epoch=value.epoch, digest=value.digest.hex())
        if self.ballots and self.ballots.decided.epoch < value.epoch:
            self.ballots = None
        if self.gathering and self.gathering.value.epoch <= value.epoch:
            self.gathering = None

    def synchronize(self, now: float) -> None:
        """What the votes here say is known to the lease, and the other way round."""
        lease, votes = self.lease, self.votes
        if votes is None:
            return
        decided = lease.decided
        if decided and decided.epoch > votes.kept.decided.epoch:
            window = lease.windows.get(decided.epoch, Window())
            settled = window.begins == -inf
            if window.begins == inf:
                window = Window(window.ends, now + self.times.lead + self.times.trip)
            votes.learn(decided, settled, Window() if settled else Window(window.ends, window.begins))
        kept = votes.kept
        self.learn(kept.decided, kept.settled)
        if kept.accepted or not kept.settled:
            window = lease.window(kept.decided.epoch + (1 if kept.settled else 0))
            window.ends = min(window.ends, votes.window.ends)
            if not kept.settled:
                window.begins = min(window.begins, votes.window.begins)

    # Ballots

    def new_ballots(self, value: Value, now: float) -> Ballots:
        """Ballots for `value`, to be begun now."""
        assert self.lease.decided
        highest = self.votes.kept.promised.round if self.votes else 0
        # Of its own nonce: what answers the ballots of an earlier change must not count for this one.
        nonce = self.dice.getrandbits(32)
        return Ballots(self.me, nonce, self.times, self.lease.decided, value, self.dice, now, highest=highest)
