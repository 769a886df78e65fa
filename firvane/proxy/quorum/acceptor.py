"""The acceptor of one voter: what it has promised and accepted, and what it knows of an activation time.

Invariants:

1. A reply is sent once its state is on disk: `persisted` is what is there, `state` what was decided since.
   The end of the epoch in use is reported at once, since stopping early breaks no promise.
2. A proposal is granted only where its number is not below what was promised, and its activation is at least
   the notice away.
3. Of the activation times accepted for one epoch, the earliest ends the epoch before it, whichever proposal
   is chosen; the epoch begins at the time of the chosen proposal, of which there may be several.
4. A voter that has restarted knows no activation time: the epoch before may be over now, and the next has
   begun when the longest activation delay has passed.
5. A voter without its state neither votes nor counts. It takes a new incarnation, one above the highest that
   any of a majority of the others knows; these have it on disk before they send it their state.

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
        state: The current state; at first what was on disk.
        now: The time of the start, in seconds on this proxy's monotonic clock.
        window: When the next activation takes place, as far as known.
        persisted: The state that is on disk.
        activation_times: The activation times of the proposals accepted here.
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
        """The epoch that is voted on."""
        return self.state.decided.epoch + 1

    def _latest_activation(self, now: float) -> float:
        return now + self.timing.activation_delay_s + self.timing.round_trip_s

    # Proposals

    def prepare(self, message: Prepare, now: float) -> Promise | None:
        """Return the reply, to be sent once `state` is on disk; None where the epoch is not the next one."""
        decided = Value(*message.decided)
        if decided.epoch > self.state.decided.epoch:
            self.learn_decided(decided, True, ActivationWindow())
        if decided.epoch != self.state.decided.epoch:
            return None
        if not self.state.activated:  # the proposer has seen the activation pass
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
        """Return the reply, to be sent once `state` is on disk; None where the epoch is not the next one."""
        number, value = ProposalNumber(*message.number), Value(*message.value)
        if value.epoch != self.next_epoch or not self.state.activated:
            return None
        latest = self.timing.activation_delay_s + self.timing.round_trip_s
        in_time = self.timing.min_notice_s <= message.activate_at - now <= latest
        granted = in_time and number >= self.state.promised
        if granted:
            self.activation_times.setdefault(number, message.activate_at)
            self.window.previous_end = min(self.window.previous_end, message.activate_at)
            self.state = self.state._replace(promised=number, accepted=(number, value))
        return Accepted(
            number=number,
            granted=granted,
            too_late=not in_time,
            incarnation=self.state.incarnation,
            known_incarnations=self.state.known_incarnations,
        )

    # What others have learned

    def learn_chosen(
        self, number: ProposalNumber, value: Value, activate_at: float | None, now: float
    ) -> None:
        """Learn that a majority has accepted `value`.

        Args:
            number: The chosen proposal.
            value: Its value.
            activate_at: Its activation time on this clock; None where it is not known.
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
        """Learn a later epoch; `window` is when it begins, as far as known."""
        if decided.epoch > self.state.decided.epoch:
            self.state = self.state._replace(decided=decided, activated=activated, accepted=None)
            self.window = window
            self.activation_times.clear()

    def mark_activated(self) -> None:
        """The activation has passed."""
        self.state = self.state._replace(activated=True)
        self.window = ActivationWindow()

    def is_activation_over(self, now: float) -> bool:
        """Whether the activation has passed on all proxies."""
        return not self.state.activated and now >= self.window.start + self.timing.activation_tolerance_s

    # Durable state

    def note_incarnation(self, voter: int, incarnation: int) -> None:
        """Record the new incarnation of a voter that has lost its state."""
        known = dict(self.state.known_incarnations)
        if incarnation > known.get(voter, 0):
            known[voter] = incarnation
            self.state = self.state._replace(known_incarnations=tuple(sorted(known.items())))

    def on_saved(self, state: VoterState) -> None:
        """That state is on disk."""
        self.persisted = state

    def on_save_failed(self) -> None:
        """A write has failed: whatever is not on disk has not been decided."""
        self.state = self.persisted
        if self.state.accepted is None and self.state.activated:
            self.window = ActivationWindow()


def are_current(voters: Iterable[tuple[int, int]], incarnations: Mapping[int, int]) -> bool:
    """Whether none of the voters, each with its incarnation, is known by a later incarnation."""
    return all(incarnation >= incarnations.get(voter, 0) for voter, incarnation in voters)


def find_chosen(
    replies: Mapping[int, LeaseReply], voters: Sequence[int], quorum: int
) -> tuple[ProposalNumber, Value] | None:
    """Return the proposal that the replies of the voters show to be accepted by a majority, if any.

    An acceptance of an incarnation that has lost its state does not count.
    """
    incarnations = latest_incarnations(reply.known_incarnations for reply in replies.values())
    counts: Counter[tuple[ProposalNumber, Value]] = Counter()
    for voter, reply in replies.items():
        vote = vote_of(reply.accepted)
        if voter in voters and vote and reply.has_state and reply.incarnation >= incarnations.get(voter, 0):
            counts[vote] += 1
    return next((vote for vote, count in counts.items() if count >= quorum), None)


def latest_incarnations(known: Iterable[Iterable[tuple[int, int]]]) -> dict[int, int]:
    """Return the newest incarnation that is known of each voter."""
    latest: dict[int, int] = {}
    for voter, incarnation in chain.from_iterable(known):
        latest[voter] = max(incarnation, latest.get(voter, 0))
    return latest


def recover_state(me: int, incarnation: int, replies: Iterable[LeaseReply]) -> VoterState:
    """Return the state that a voter goes on with that has lost its own.

    Args:
        me: The voter.
        incarnation: Its new incarnation, which all senders of `replies` knew of.
        replies: The replies of a majority of the others; at least one has a decided value.
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
