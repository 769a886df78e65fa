"""Paxos proposer for one epoch: sends proposals until a majority has accepted a value.

Invariants:

1. Phase 1 is sent to all voters. The quorum of a proposal is the majority that has promised it, each voter in
   a single incarnation. Phase 2 proposes the accepted value with the highest number that these promises
   report, or the proposer's own value if they report none.
2. The activation is `activation_delay_s` away when phase 2 begins. Each voter receives the activation time on
   its own clock. The offset of that clock is estimated from the voter's promise, and only if the promise
   arrived within `round_trip_s` of its request.
3. A proposal that can no longer get a majority, or gets none in time, is followed by one with a higher number
   after a random backoff. Once phase 2 of a proposal has been sent, its value may be chosen at any time: no
   proxy may report that the change has failed until a majority has accepted another value for that epoch.
4. A promise or an acceptance counts only if no other voter's reply reports a later incarnation of its sender.
   Otherwise the sender has lost its state since. A voter whose reply reports no later incarnation replied
   before it sent its state to that incarnation, which is therefore bound by that reply as well.

Source: Lamport, "Paxos Made Simple", section 2.2.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from firvane.proxy.quorum.acceptor import are_current, latest_incarnations
from firvane.proxy.quorum.messages import (
    Accept,
    Accepted,
    Learn,
    Message,
    Prepare,
    Promise,
    number_of,
    vote_of,
)
from firvane.proxy.quorum.types import NO_PROPOSAL_NUMBER, ProposalNumber, Timing, Value

PHASE_TIMEOUT_ROUND_TRIPS = 4
MAX_BACKOFF_EXPONENT = 4


class Phase(Enum):
    """The phase of a proposal."""

    BACKOFF = "waits for the next attempt"
    PREPARING = "asks voters to promise"
    ACCEPTING = "asks voters to accept"
    CHOSEN = "chosen"


Outgoing = list[tuple[int, Message]]  # receiver and message


@dataclass
class Proposer:
    """The proposals of proxy `me` for the epoch after `decided`, whose own epoch has been activated.

    Attributes:
        me: The number of this proxy.
        nonce: Part of the proposal numbers; drawn anew for each proposer.
        timing: The time bounds of the tier.
        decided: The last decided value; its voters vote on the next epoch.
        own_value: The value that is proposed if the promises report no accepted value: a change proposed at
            this proxy, or the value of an incomplete vote that this proxy completes.
        rng: The random source for nonces and backoffs.
        next_step_at: The time of the next timed step, in seconds on this proxy's clock.
        phase: The current phase.
        number: The current proposal number.
        highest_term: The highest term seen so far.
        value: The value proposed in phase 2; None in phase 1.
        accept_sent: Whether an `Accept` with `own_value` has been sent.
        attempts: How many proposals have failed.
        started_at: When phase 1 of the current proposal began.
        activate_at: The activation time on this proxy's clock.
        prepare_sent_at: When each `Prepare` was sent, by its nonce.
        promises: The promises for the current number, by voter.
        clock_offsets: Each voter's clock minus this proxy's clock, in seconds.
        acceptances: The acceptances for the current number, by voter.
        rejections: The voters that have rejected the current phase.
    """

    me: int
    nonce: int
    timing: Timing
    decided: Value
    own_value: Value
    rng: random.Random
    next_step_at: float
    phase: Phase = Phase.BACKOFF
    number: ProposalNumber = NO_PROPOSAL_NUMBER
    highest_term: int = 0
    value: Value | None = None
    accept_sent: bool = False
    attempts: int = 0
    started_at: float = 0.0
    activate_at: float = 0.0
    prepare_sent_at: dict[int, float] = field(default_factory=dict)
    promises: dict[int, Promise] = field(default_factory=dict)
    clock_offsets: dict[int, float] = field(default_factory=dict)
    acceptances: dict[int, Accepted] = field(default_factory=dict)
    rejections: set[int] = field(default_factory=set)

    def __post_init__(self) -> None:
        # Voters that receive a `Prepare` mark `decided` as activated, so that only the epoch after it may be
        # proposed.
        assert self.own_value.epoch == self.decided.epoch + 1

    @property
    def voters(self) -> tuple[int, ...]:
        """The voters on this epoch."""
        return self.decided.voters

    @property
    def quorum(self) -> int:
        """The number of voters that form a majority."""
        return self.decided.quorum

    def step(self, now: float) -> Outgoing:
        """Run the steps that are due at `now`, and return the messages to send."""
        if self.phase is Phase.CHOSEN or now < self.next_step_at:
            return []
        if self.phase is Phase.BACKOFF:
            return self._begin(now)
        if now >= self.started_at + PHASE_TIMEOUT_ROUND_TRIPS * self.timing.round_trip_s:
            self._back_off(now)
            return []
        self.next_step_at = now + self.timing.round_trip_s
        if self.phase is Phase.PREPARING:
            return self._prepare_messages(now)
        return self._accept_messages(self.voters)

    def _begin(self, now: float) -> Outgoing:
        self.phase = Phase.PREPARING
        self.started_at = now
        self.next_step_at = now + self.timing.round_trip_s
        self.highest_term += 1
        self.number = ProposalNumber(self.highest_term, self.me, self.nonce)
        self.value = None
        self.promises.clear()
        self.clock_offsets.clear()
        self.acceptances.clear()
        self.rejections.clear()
        self.prepare_sent_at.clear()
        return self._prepare_messages(now)

    def _prepare_messages(self, now: float) -> Outgoing:
        nonce = self.rng.getrandbits(32)
        self.prepare_sent_at[nonce] = now
        message = Prepare(nonce=nonce, number=self.number, decided=self.decided)
        return [(voter, message) for voter in self.voters if voter not in self.clock_offsets]

    def _back_off(self, now: float) -> None:
        self.attempts += 1
        self.phase = Phase.BACKOFF
        max_round_trips = 2 ** min(MAX_BACKOFF_EXPONENT, self.attempts)
        self.next_step_at = now + self.timing.round_trip_s * self.rng.uniform(1, max_round_trips)

    def on_promise(self, voter: int, message: Promise, now: float) -> Outgoing:
        """Handle a voter's reply to phase 1, and return the messages to send."""
        self.highest_term = max(self.highest_term, message.promised[0])
        if self.phase is not Phase.PREPARING and self.phase is not Phase.ACCEPTING:
            return []
        if number_of(message.number) != self.number or voter not in self.voters:
            return []
        if not message.granted:
            self.rejections.add(voter)
            if self.phase is Phase.PREPARING and len(self.voters) - len(self.rejections) < self.quorum:
                self._back_off(now)
            return []
        if self.phase is Phase.PREPARING:
            self.promises[voter] = message
        self._measure_clock(voter, message, now)
        if self.phase is Phase.ACCEPTING:
            return self._accept_messages([voter])
        usable_voters = self._current_promises().keys() & self.clock_offsets.keys()
        return self._begin_accepting(now) if len(usable_voters) >= self.quorum else []

    def _measure_clock(self, voter: int, message: Promise, now: float) -> None:
        """Estimate the voter's clock offset if the reply arrived within `round_trip_s`."""
        sent_at = self.prepare_sent_at.get(message.nonce)
        if voter == self.me:
            self.clock_offsets[voter] = 0.0
        elif sent_at is not None and now - sent_at <= self.timing.round_trip_s:
            self.clock_offsets[voter] = message.clock_s - (sent_at + now) / 2

    def _current_promises(self) -> dict[int, Promise]:
        """Return the promises of voters of which no other promise reports a later incarnation."""
        incarnations = latest_incarnations(promise.known_incarnations for promise in self.promises.values())
        return {
            voter: promise
            for voter, promise in self.promises.items()
            if are_current([(voter, promise.incarnation)], incarnations)
        }

    def _begin_accepting(self, now: float) -> Outgoing:
        votes = [vote for promise in self._current_promises().values() if (vote := vote_of(promise.accepted))]
        value = max(votes, key=lambda vote: vote[0])[1] if votes else self.own_value
        self.phase = Phase.ACCEPTING
        self.value = value
        self.activate_at = now + self.timing.activation_delay_s
        self.rejections.clear()
        self.accept_sent = self.accept_sent or value == self.own_value
        self.next_step_at = now + self.timing.round_trip_s
        return self._accept_messages(self.voters)

    def _accept_messages(self, voters: Iterable[int]) -> Outgoing:
        assert self.value
        return [
            (
                voter,
                Accept(
                    number=self.number,
                    value=self.value,
                    activate_at=self.activate_at + self.clock_offsets[voter],
                ),
            )
            for voter in voters
            if voter in self.clock_offsets and voter not in self.acceptances
        ]

    def on_accepted(self, voter: int, message: Accepted, now: float) -> bool:
        """Handle a voter's reply to phase 2; return whether the value is now chosen."""
        if self.phase is not Phase.ACCEPTING or number_of(message.number) != self.number:
            return False
        if not message.granted:
            if voter not in self.acceptances:
                self.rejections.add(voter)
            if len(self.voters) - len(self.rejections) < self.quorum:
                self._back_off(now)
            return False
        self.acceptances[voter] = message
        incarnations = latest_incarnations(reply.known_incarnations for reply in self.acceptances.values())
        count = sum(
            are_current([(sender, reply.incarnation)], incarnations)
            for sender, reply in self.acceptances.items()
        )
        if count >= self.quorum:
            self.phase = Phase.CHOSEN
        return self.phase is Phase.CHOSEN

    def learn_messages(self) -> Outgoing:
        """Return a `Learn` with the chosen value for each voter, its activation time on the voter's clock."""
        assert self.value and self.phase is Phase.CHOSEN
        out: Outgoing = []
        for voter in self.voters:
            offset = self.clock_offsets.get(voter)
            activate_at = None if offset is None else self.activate_at + offset
            out.append((voter, Learn(number=self.number, value=self.value, activate_at=activate_at)))
        return out
