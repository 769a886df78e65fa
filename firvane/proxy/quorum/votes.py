"""One voter: what it has promised and accepted, and what it tells of a swap's moment.

Rules that hold here and nowhere else:

1. What is said is on disk before: `said` is what is there, `kept` what was decided since. An end that has
   been accepted is told at once, since to stop early breaks no promise.
2. Yes to a ballot only where it is not lower than what was promised, and its swap is a notice away.
3. Of the moments accepted for one epoch the earliest ends the epoch before it, whichever ballot wins; the
   epoch begins at the moment of the ballot that has won, of which there may be several.
4. A voter that has started anew knows no moment: the epoch before may be over now, the next has begun when
   the longest lead has passed.
5. A voter without memory neither votes nor counts. It takes a new incarnation, one above what any of a
   majority of the others has seen; these have it on disk before they tell it where things stand.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import chain

from firvane.proxy.quorum.messages import Accept, Accepted, Prepare, Promise, Told, ballot_of, vote_of
from firvane.proxy.quorum.types import NO_BALLOT, Ballot, Kept, Times, Value, Window


@dataclass
class Votes:
    """The voter `me`; `kept` is what it had on disk, `now` its start."""

    me: int
    times: Times
    kept: Kept
    now: float
    window: Window = field(default_factory=Window)
    said: Kept = field(init=False)
    begins: dict[Ballot, float] = field(default_factory=dict)  # the moments of the ballots accepted here

    def __post_init__(self) -> None:
        self.said = self.kept
        if self.kept.accepted or not self.kept.settled:
            self.window = Window(self.now, self.now + self.times.lead + self.times.trip)

    @property
    def slot(self) -> int:
        """The epoch that is voted on."""
        return self.kept.decided.epoch + 1

    # Ballots

    def prepare(self, message: Prepare, now: float) -> Promise | None:
        """The answer, to be said once `kept` is on disk; None where it is not for this epoch."""
        decided = Value(*message.decided)
        if decided.epoch > self.kept.decided.epoch:
            self.learn(decided, True, Window())
        if decided.epoch != self.kept.decided.epoch:
            return None
        if not self.kept.settled:  # whoever asks has seen the swap pass
            self.settle()
        ballot = Ballot(*message.ballot)
        yes = ballot >= self.kept.promised
        if yes and ballot > self.kept.promised:
            self.kept = self.kept._replace(promised=ballot)
        return Promise(
            nonce=message.nonce, ballot=ballot, yes=yes, promised=self.kept.promised,
            accepted=self.kept.accepted, incarnation=self.kept.incarnation, lives=self.kept.met, clock=now,
        )  # fmt: skip

    def accept(self, message: Accept, now: float) -> Accepted | None:
        """The answer, to be said once `kept` is on disk; None where it is not for this epoch."""
        ballot, value = Ballot(*message.ballot), Value(*message.value)
        if value.epoch != self.slot or not self.kept.settled:
            return None
        in_time = self.times.notice <= message.at - now <= self.times.lead + self.times.trip
        yes = in_time and ballot >= self.kept.promised
        if yes:
            self.begins.setdefault(ballot, message.at)
            self.window.ends = min(self.window.ends, message.at)
            self.kept = self.kept._replace(promised=ballot, accepted=(ballot, value))
        return Accepted(
            ballot=ballot, yes=yes, late=not in_time, incarnation=self.kept.incarnation, lives=self.kept.met
        )

    # What others have found out

    def chosen(self, ballot: Ballot, value: Value, at: float | None, now: float) -> None:
        """A majority has accepted it; `at` is that ballot's moment on this clock, where it is known."""
        if value.epoch != self.slot:
            return
        known = self.begins.get(ballot, at)
        if known is None:
            window = Window(self.window.ends, now + self.times.lead + self.times.trip)
        else:
            window = Window(min(self.window.ends, known), known)
        self.learn(value, False, window)

    def learn(self, decided: Value, settled: bool, window: Window) -> None:
        """A later epoch is decided; `window` is when it begins, as far as is known."""
        if decided.epoch > self.kept.decided.epoch:
            self.kept = self.kept._replace(decided=decided, settled=settled, accepted=None)
            self.window = window
            self.begins.clear()

    def settle(self) -> None:
        """The swap has passed."""
        self.kept = self.kept._replace(settled=True)
        self.window = Window()

    def due(self, now: float) -> bool:
        """Whether the swap has passed, everywhere."""
        return not self.kept.settled and now >= self.window.begins + self.times.slack

    # Memory

    def note(self, voter: int, incarnation: int) -> None:
        """That voter has lost its memory, and this is its new life."""
        met = dict(self.kept.met)
        if incarnation > met.get(voter, 0):
            met[voter] = incarnation
            self.kept = self.kept._replace(met=tuple(sorted(met.items())))

    def saved(self, kept: Kept) -> None:
        self.said = kept

    def unsaved(self) -> None:
        """It could not be written: what was not on disk has not been decided."""
        self.kept = self.said
        if self.kept.accepted is None and self.kept.settled:
            self.window = Window()


def current(voters: Iterable[tuple[int, int]], lives: Mapping[int, int]) -> bool:
    """Whether none of them, each with its incarnation, has lost its memory since, as far as `lives` tells."""
    return all(incarnation >= lives.get(voter, 0) for voter, incarnation in voters)


def majority(states: Mapping[int, Told], voters: Sequence[int], quorum: int) -> tuple[Ballot, Value] | None:
    """The vote that a majority of the voters' answers shows to be chosen, if any does.

    An acceptance from a life that has ended without memory is none.
    """
    lives = newest(told.lives for told in states.values())
    votes: Counter[tuple[Ballot, Value]] = Counter()
    for voter, told in states.items():
        vote = vote_of(told.accepted)
        if voter in voters and vote and told.votes and told.incarnation >= lives.get(voter, 0):
            votes[vote] += 1
    return next((vote for vote, count in votes.items() if count >= quorum), None)


def newest(told: Iterable[Iterable[tuple[int, int]]]) -> dict[int, int]:
    """The newest life that is known of each voter."""
    lives: dict[int, int] = {}
    for voter, life in chain.from_iterable(told):
        lives[voter] = max(life, lives.get(voter, 0))
    return lives


def recovered(me: int, incarnation: int, states: Iterable[Told]) -> Kept:
    """What a voter without memory goes on with, from the answers of a majority of the others."""
    told = list(states)
    decided = max((Value(*one.decided) for one in told if one.decided), key=lambda value: value.epoch)
    here = [one for one in told if one.decided == decided]
    votes = [vote for one in here if (vote := vote_of(one.accepted))]
    lives = newest(one.lives for one in told)
    lives.pop(me, None)
    return Kept(
        incarnation=incarnation,
        decided=decided,
        settled=any(one.settled for one in here),
        promised=max((ballot_of(one.promised) for one in told), default=NO_BALLOT),
        accepted=max(votes, key=lambda vote: vote[0]) if votes else None,
        met=tuple(sorted(lives.items())),
    )
