"""One ballot after another for one epoch, until a majority has accepted a value.

Rules that hold here and nowhere else:

1. The first phase asks all voters; what a majority has promised, each in one life, is the ballot's quorum.
   Of the votes that they tell of, the one with the highest ballot is proposed; one's own value where there
   is none.
2. The swap's moment is `lead` away when the second phase begins. Each voter hears it on its own clock, mapped
   by its promise, which therefore counts for the moment only where it came back within a trip.
3. A ballot that cannot have a majority, or has none in time, is followed by a higher one, after a while that
   differs between proxies. Once the second phase of a ballot has been said, its value may be chosen at any
   time: nobody may say that the change has failed until a majority has accepted another for that epoch.
4. A promise or an acceptance counts only where no other voter that gave one knew a later life of its voter:
   then it gave its own before it told that life where things stand, which therefore binds that life too.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from firvane.proxy.quorum.messages import (
    Accept,
    Accepted,
    Decided,
    Message,
    Prepare,
    Promise,
    ballot_of,
    vote_of,
)
from firvane.proxy.quorum.types import NO_BALLOT, Ballot, Times, Value
from firvane.proxy.quorum.votes import current, newest


class Phase(Enum):
    """Where a ballot is."""

    RESTS = "rests"  # until the next one's time
    PREPARES = "asks voters to promise"
    ACCEPTS = "asks voters to accept"
    CHOSEN = "chosen"


Out = list[tuple[int, Message]]  # to whom, and what


@dataclass
class Ballots:
    """The ballots of proxy `me` for the epoch after `decided`, which is settled.

    `wanted` is what it proposes where nothing may be chosen yet: its own change, or the vote of another that
    it finishes. `nonce` is new with each start of the proxy.
    """

    me: int
    nonce: int
    times: Times
    decided: Value
    wanted: Value
    dice: random.Random
    due: float  # when the next step is due by itself
    phase: Phase = Phase.RESTS
    ballot: Ballot = NO_BALLOT
    highest: int = 0  # the highest round that is known
    value: Value | None = None  # in the second phase
    said: bool = False  # an acceptance of `wanted` has been asked for
    tries: int = 0
    began: float = 0.0  # the current first phase
    at: float = 0.0  # the swap, on this proxy's clock
    asked: dict[int, float] = field(default_factory=dict)  # when each question went out, by its nonce
    promises: dict[int, Promise] = field(default_factory=dict)
    clocks: dict[int, float] = field(default_factory=dict)  # a voter's clock less this one's
    yes: dict[int, Accepted] = field(default_factory=dict)
    no: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        # Voters take its word that `decided` is settled: a ballot for that very epoch would say so early.
        assert self.wanted.epoch == self.decided.epoch + 1

    @property
    def voters(self) -> tuple[int, ...]:
        return self.decided.voters

    @property
    def quorum(self) -> int:
        return self.decided.quorum

    def step(self, now: float) -> Out:
        """What is due by now."""
        if self.phase is Phase.CHOSEN or now < self.due:
            return []
        if self.phase is Phase.RESTS:
            return self._begin(now)
        if now >= self.began + 4 * self.times.trip:  # no majority in time
            self._rest(now)
            return []
        self.due = now + self.times.trip
        return self._prepares(now) if self.phase is Phase.PREPARES else self._accepts(self.voters)

    def _begin(self, now: float) -> Out:
        self.phase, self.began, self.due = Phase.PREPARES, now, now + self.times.trip
        self.highest += 1
        self.ballot = Ballot(self.highest, self.me, self.nonce)
        self.value = None
        for held in (self.promises, self.clocks, self.yes, self.no, self.asked):
            held.clear()
        return self._prepares(now)

    def _prepares(self, now: float) -> Out:
        nonce = self.dice.getrandbits(32)
        self.asked[nonce] = now
        message = Prepare(nonce=nonce, ballot=self.ballot, decided=self.decided)
        return [(voter, message) for voter in self.voters if voter not in self.clocks]

    def _rest(self, now: float) -> None:
        self.tries += 1
        self.phase = Phase.RESTS
        self.due = now + self.times.trip * self.dice.uniform(1, 2 ** min(4, self.tries))

    def promised(self, voter: int, message: Promise, now: float) -> Out:
        """A voter's answer to the first phase."""
        self.highest = max(self.highest, message.promised[0])
        if self.phase is not Phase.PREPARES and self.phase is not Phase.ACCEPTS:
            return []
        if ballot_of(message.ballot) != self.ballot or voter not in self.voters:
            return []
        if not message.yes:
            self.no.add(voter)
            if self.phase is Phase.PREPARES and len(self.voters) - len(self.no) < self.quorum:
                self._rest(now)
            return []
        if self.phase is Phase.PREPARES:
            self.promises[voter] = message
        sent = self.asked.get(message.nonce)
        if voter == self.me:
            self.clocks[voter] = 0.0
        elif sent is not None and now - sent <= self.times.trip:
            self.clocks[voter] = message.clock - (sent + now) / 2
        if self.phase is Phase.ACCEPTS:
            return self._accepts([voter])
        return self._accept(now) if len(self._counted().keys() & self.clocks.keys()) >= self.quorum else []

    def _counted(self) -> dict[int, Promise]:
        """The promises of voters of which no other one that has promised knows a later life."""
        lives = newest(promise.lives for promise in self.promises.values())
        return {
            voter: promise
            for voter, promise in self.promises.items()
            if current([(voter, promise.incarnation)], lives)
        }

    def _accept(self, now: float) -> Out:
        """The second phase begins."""
        votes = [vote for promise in self._counted().values() if (vote := vote_of(promise.accepted))]
        value = max(votes, key=lambda vote: vote[0])[1] if votes else self.wanted
        self.phase, self.value, self.at = Phase.ACCEPTS, value, now + self.times.lead
        self.no.clear()
        self.said = self.said or value == self.wanted
        self.due = now + self.times.trip
        return self._accepts(self.voters)

    def _accepts(self, voters: Iterable[int]) -> Out:
        assert self.value
        at = {voter: self.at + self.clocks[voter] for voter in voters if voter in self.clocks}
        return [
            (voter, Accept(ballot=self.ballot, value=self.value, at=at[voter]))
            for voter in at
            if voter not in self.yes
        ]

    def accepted(self, voter: int, message: Accepted, now: float) -> bool:
        """A voter's answer to the second phase; whether the value is chosen by it."""
        if self.phase is not Phase.ACCEPTS or ballot_of(message.ballot) != self.ballot:
            return False
        if not message.yes:
            if voter not in self.yes:  # turned down, or too late
                self.no.add(voter)
            if len(self.voters) - len(self.no) < self.quorum:
                self._rest(now)
            return False
        self.yes[voter] = message
        lives = newest(one.lives for one in self.yes.values())
        count = sum(current([(one, said.incarnation)], lives) for one, said in self.yes.items())
        if count >= self.quorum:
            self.phase = Phase.CHOSEN
        return self.phase is Phase.CHOSEN

    def tell(self) -> Out:
        """What a majority has accepted, to each voter on its clock."""
        assert self.value and self.phase is Phase.CHOSEN
        return [
            (voter, Decided(
                ballot=self.ballot, value=self.value,
                at=self.at + self.clocks[voter] if voter in self.clocks else None,
            ))
            for voter in self.voters
        ]  # fmt: skip
