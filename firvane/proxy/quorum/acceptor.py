"""Paxos acceptor of one voter: its promises and acceptances, and the known bounds of the next activation.

Invariants:

1. A reply is sent once the state that it depends on is on disk: `persisted` is the state on disk, `state`
   includes later changes. The end of the epoch in use is reported at once, since stopping early breaks no
   promise.
2. An `Accept` is granted only if its number is not below the promised one and its activation is at least
   `min_notice_s` away.
3. Of the activation times accepted for one epoch, the earliest ends the previous epoch, whichever proposal
   is chosen. The epoch begins at the activation time of the chosen proposal; several proposals may be chosen
   (with the same value).
4. A voter that has restarted knows no activation time: the previous epoch may have ended by now, and the
   next one has begun once the longest activation delay has passed.
5. A voter that has lost its state neither votes nor counts in a majority. It takes a new incarnation, one
   above the highest that any of a majority of the other voters knows. Those voters have that incarnation on
   disk before they send it their state.

Source: Lamport, "Paxos Made Simple", section 2.2, with incarnations for acceptors that lose their disk.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import chain

from firvane.proxy.quorum.messages import Accept, Accepted, LeaseReply, Prepare, Promise, number_of, vote_of
from firvane.proxy.quorum.types import (
    NO_PROPOSAL_NUMBER,
    ActivationWindow,
    ProposalNumber,
    Timing,
    Value,
    VoterState,
)


@dataclass
class Acceptor:
    """The acceptor of voter `me`.

    Attributes:
        me: The number of this proxy.
        timing: The time bounds of the tier.
        state: The current state; initially the state read from disk.
        now: The time of creation, in seconds on this proxy's monotonic clock.
        window: The known bounds of the next activation.
        persisted: The state on disk.
        activation_times: The activation times of the accepted proposals, by proposal number.
    """

    me: int
    timing: Timing
    state: VoterState
    now: float
    window: ActivationWindow = field(default_factory=ActivationWindow)
    persisted: VoterState = field(init=False)
    activation_times: dict[ProposalNumber, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.persisted = self.state
        if self.state.accepted or not self.state.activated:
            self.window = ActivationWindow(self.now, self._latest_activation(self.now))

    @property
    def next_epoch(self) -> int:
        """The epoch that is being voted on."""
        return self.state.decided.epoch + 1

    def _latest_activation(self, now: float) -> float:
        return now + self.timing.activation_delay_s + self.timing.round_trip_s

    # Proposals

    def prepare(self, message: Prepare, now: float) -> Promise | None:
        """Return the reply to phase 1, to be sent once `state` is on disk.

        None if the proposal is not for the next epoch.
        """
        decided = Value(*message.decided)
        if decided.epoch > self.state.decided.epoch:
            self.learn_decided(decided, True, ActivationWindow())
        if decided.epoch != self.state.decided.epoch:
            return None
        if not self.state.activated:  # the proposer knows that the activation has passed
            self.mark_activated()
        number = ProposalNumber(*message.number)
        granted = number >= self.state.promised
        if granted and number > self.state.promised:
            self.state = self.state._replace(promised=number)
        return Promise(
            nonce=message.nonce,
            number=number,
            granted=granted,
            promised=self.state.promised,
            accepted=self.state.accepted,
            incarnation=self.state.incarnation,
            known_incarnations=self.state.known_incarnations,
            clock_s=now,
        )

    def accept(self, message: Accept, now: float) -> Accepted | None:
        """Return the reply to phase 2, to be sent once `state` is on disk.

        None if the proposal is not for the next epoch, or the current epoch is not activated yet.
        """
        number, value = ProposalNumber(*message.number), Value(*message.value)
        if value.epoch != self.next_epoch or not self.state.activated:
            return None
        latest = self.timing.activation_delay_s + self.timing.round_trip_s
        has_valid_notice = self.timing.min_notice_s <= message.activate_at - now <= latest
        granted = has_valid_notice and number >= self.state.promised
        if granted:
            self.activation_times.setdefault(number, message.activate_at)
            self.window.previous_end = min(self.window.previous_end, message.activate_at)
            self.state = self.state._replace(promised=number, accepted=(number, value))
        return Accepted(
            number=number,
            granted=granted,
            too_late=not has_valid_notice,
            incarnation=self.state.incarnation,
            known_incarnations=self.state.known_incarnations,
        )

    # Decided values and activations

    def learn_chosen(
        self, number: ProposalNumber, value: Value, activate_at: float | None, now: float
    ) -> None:
        """Record that a majority has accepted `value`.

        Args:
            number: The number of the chosen proposal.
            value: Its value.
            activate_at: Its activation time on this proxy's clock; None if unknown.
            now: The current time.
        """
        if value.epoch != self.next_epoch:
            return
        known = self.activation_times.get(number, activate_at)
        if known is None:
            window = ActivationWindow(self.window.previous_end, self._latest_activation(now))
        else:
            window = ActivationWindow(min(self.window.previous_end, known), known)
        self.learn_decided(value, False, window)

    def learn_decided(self, decided: Value, activated: bool, window: ActivationWindow) -> None:
        """Adopt a later decided epoch; `window` holds the known bounds of its activation."""
        if decided.epoch > self.state.decided.epoch:
            self.state = self.state._replace(decided=decided, activated=activated, accepted=None)
            self.window = window
            self.activation_times.clear()

    def mark_activated(self) -> None:
        """Record that the activation of the decided epoch has passed."""
        self.state = self.state._replace(activated=True)
        self.window = ActivationWindow()

    def is_activation_over(self, now: float) -> bool:
        """Whether the activation has passed on all proxies."""
        return not self.state.activated and now >= self.window.start + self.timing.activation_tolerance_s

    # Durable state

    def note_incarnation(self, voter: int, incarnation: int) -> None:
        """Record the incarnation of another voter that has lost its state."""
        known = dict(self.state.known_incarnations)
        if incarnation > known.get(voter, 0):
            known[voter] = incarnation
            self.state = self.state._replace(known_incarnations=tuple(sorted(known.items())))

    def on_saved(self, state: VoterState) -> None:
        """Record that `state` is on disk."""
        self.persisted = state

    def on_save_failed(self) -> None:
        """Revert to the state on disk after a failed write."""
        self.state = self.persisted
        if self.state.accepted is None and self.state.activated:
            self.window = ActivationWindow()


def are_current(voters: Iterable[tuple[int, int]], incarnations: Mapping[int, int]) -> bool:
    """Return whether none of the (voter, incarnation) pairs is superseded by a later incarnation."""
    return all(incarnation >= incarnations.get(voter, 0) for voter, incarnation in voters)


def find_chosen(
    replies: Mapping[int, LeaseReply], voters: Sequence[int], quorum: int
) -> tuple[ProposalNumber, Value] | None:
    """Return the number and value that a majority has accepted according to the replies; None if none.

    An acceptance does not count if a later incarnation of its voter is known: that voter has lost its state.
    """
    incarnations = latest_incarnations(reply.known_incarnations for reply in replies.values())
    counts: Counter[tuple[ProposalNumber, Value]] = Counter()
    for voter, reply in replies.items():
        vote = vote_of(reply.accepted)
        if voter in voters and vote and reply.has_state and reply.incarnation >= incarnations.get(voter, 0):
            counts[vote] += 1
    return next((vote for vote, count in counts.items() if count >= quorum), None)


def latest_incarnations(known: Iterable[Iterable[tuple[int, int]]]) -> dict[int, int]:
    """Return the latest known incarnation of each voter."""
    latest: dict[int, int] = {}
    for voter, incarnation in chain.from_iterable(known):
        latest[voter] = max(incarnation, latest.get(voter, 0))
    return latest


def recover_state(me: int, incarnation: int, replies: Iterable[LeaseReply]) -> VoterState:
    """Return the recovered state of a voter that has lost its own.

    Args:
        me: The number of the recovering voter.
        incarnation: Its new incarnation, which all senders of `replies` knew when they replied.
        replies: The replies of a majority of the other voters; at least one contains a decided value.
    """
    received = list(replies)
    decided = max(
        (Value(*reply.decided) for reply in received if reply.decided), key=lambda value: value.epoch
    )
    latest = [reply for reply in received if reply.decided == decided]
    votes = [vote for reply in latest if (vote := vote_of(reply.accepted))]
    incarnations = latest_incarnations(reply.known_incarnations for reply in received)
    incarnations.pop(me, None)
    return VoterState(
        incarnation=incarnation,
        decided=decided,
        activated=any(reply.activated for reply in latest),
        promised=max((number_of(reply.promised) for reply in received), default=NO_PROPOSAL_NUMBER),
        accepted=max(votes, key=lambda vote: vote[0]) if votes else None,
        known_incarnations=tuple(sorted(incarnations.items())),
    )
