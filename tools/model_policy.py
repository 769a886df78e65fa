"""Explores every way in which a change of policy can go, within bounds, with the classes that decide it.

    .venv/bin/python tools/model_policy.py [--deep] [--mutants] [--most STATES]

Three voters, one proxy that learns, two proposers with a change each: voter 0, and the learner. `Votes`,
`Ballots` and `Lease` are the program's own; what `Member` does between them is done here in a few lines.

Rules that hold here and nowhere else:

1. Time goes in steps, for all clocks at once: a trip takes none, clocks do not differ. A message waits on the
   way for as long as one likes, or for ever, which is its loss; some may be delivered once more, later.
2. What one process does depends on its own state, the message and the step alone, so that is computed once.
   States are tuples of such states, the messages on their way, and what has truly happened; each is visited
   once, in the order in which it was found first.
3. Left out, since nothing follows from them: refusals, and what answers a ballot that is over. An answer is
   heard at once or never, as what a proposer says by it may wait as long; a first phase ends with its step,
   since later promises do not count for a moment.
4. What has happened is judged by what voters have accepted, not by what anyone believes: a ballot is chosen
   once a majority has accepted it, none of which knew then of a later life of another one of them. The epoch
   is in force from that step on, or the ballot's moment, whichever is later.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import cache
from math import inf
from pathlib import Path
from typing import Any, NamedTuple, cast

from msgspec.structs import replace

ROOT = str(Path(__file__).resolve().parents[1])
if __name__ == "__main__":
    sys.path[0] = ROOT  # in place of this folder

from firvane.proxy.policy_text import digest_of  # noqa: E402
from firvane.proxy.quorum.ballots import Ballots, Phase  # noqa: E402
from firvane.proxy.quorum.leases import Lease, majority_read  # noqa: E402
from firvane.proxy.quorum.messages import Accept, Accepted, Decided, Prepare, Promise, Told  # noqa: E402
from firvane.proxy.quorum.types import NO_BALLOT, Ballot, Kept, Times, Value, Window  # noqa: E402
from firvane.proxy.quorum.votes import Votes, majority, newest, recovered  # noqa: E402

VOTERS = (0, 1, 2)
LEARNER = 3
BASE = Value(1, digest_of(b"in force"), VOTERS)
PROPOSERS = {0: Value(2, digest_of(b"one change"), VOTERS), LEARNER: Value(2, digest_of(b"another"), VOTERS)}
FIRST = Kept(0, BASE, True, NO_BALLOT, None, ())


@dataclass(frozen=True)
class Steps(Times):
    """Times in steps: a vote may be a step late."""

    lease: float = 1.0
    skew: float = 0.0
    trip: float = 0.0

    @property
    def lead(self) -> float:
        return self.notice + 1


class Bounds(NamedTuple):
    """How far one exploration goes."""

    name: str
    ballots: tuple[int, int] = (1, 1)  # of voter 0, and of the learner
    restarts: int = 0  # of voters with their memory
    losses: int = 0  # of voters without
    again: int = 0  # messages that come twice
    steps: int = 0  # of time
    reads: bool = False  # the learner reads from voters, for a lease
    late: int = 0  # answers to the learner that come later
    looks: bool = False  # voter 0 reads from voters which vote is chosen
    gives_up: bool = False  # proposers may give up before they have asked for an acceptance
    places: tuple[int, ...] = (1,)  # which voters start anew or lose their memory; all are alike
    times: Times = Steps()


Row = tuple[Any, ...]


class Found(Exception):  # noqa: N818 - says what it is
    """A promise does not hold."""


# One voter


class Voter(NamedTuple):
    """A voter's state; `life` above 0: it has lost its memory, and these have told it where things stand."""

    kept: Kept = FIRST
    said: Kept = FIRST
    ends: float = inf
    begins: float = inf
    moments: tuple[tuple[Ballot, float], ...] = ()
    life: int = 0
    told: tuple[tuple[int, Told], ...] = ()


class Proposer(NamedTuple):
    """Ballots of one proxy, as they were left."""

    ballots: int = 0
    given_up: bool = False
    state: Row | None = None
    told: tuple[tuple[int, Told], ...] = ()  # what voter 0 has read


class Reader(NamedTuple):
    """The learner's lease."""

    decided: Value | None = BASE
    serving: Value | None = BASE
    windows: tuple[tuple[int, float, float], ...] = ()
    sent: tuple[tuple[int, int], ...] = ()


class Message(NamedTuple):
    """On its way."""

    sender: int
    receiver: int
    body: Any
    sent: int = 0  # of an answer: when the question went out


class Ghost(NamedTuple):
    """What has truly happened."""

    accepted: frozenset[Row] = frozenset()  # ballot, value, voter, its life, and the lives that it knew of
    chosen: Value | None = None
    in_force: float = inf
    moment: float = inf  # the earliest of those of ballots that are chosen
    failed: frozenset[Value] = frozenset()


class State(NamedTuple):
    """Of everything, by numbers."""

    now: int
    voters: tuple[int, ...]
    proposers: tuple[int, int]
    reader: int
    ways: frozenset[int]
    ghost: int
    restarts: int
    losses: int
    again: int
    late: int


class Dice:
    """None: nothing here depends on them."""

    def getrandbits(self, bits: int) -> int:
        return 1

    def uniform(self, low: float, high: float) -> float:
        return 0.0


FIELDS = (
    "phase", "ballot", "highest", "value", "said", "tries", "began", "at",
    "asked", "promises", "clocks", "yes",
)  # fmt: skip


class Kinds(NamedTuple):
    """The classes under test, and what stands in for `Member` round them; mutants put others here."""

    votes: type[Votes] = Votes
    ballots: type[Ballots] = Ballots
    lease: type[Lease] = Lease
    late_disk: bool = False  # what is said is on disk at the next event only
    no_recovery: bool = False
    fresh_as_it_comes: bool = False


DICTS = {"asked", "promises", "clocks", "yes"}
MEMOIZED = (
    "vote", "anew", "recall", "tell", "begin", "count", "over", "idle", "unasked",
    "hear", "status", "happen", "fails",
)  # fmt: skip
PROGRAM = Kinds()


class Model:
    """The moves of each process. Their states, messages and what has happened go by numbers."""

    def __init__(self, bounds: Bounds, kinds: Kinds = PROGRAM) -> None:
        self.bounds, self.kinds, self.times = bounds, kinds, bounds.times
        self.things: list[Any] = []
        self.numbers: dict[Any, int] = {}
        for name in MEMOIZED:
            setattr(self, name, cache(getattr(self, name)))

    def number(self, thing: Any) -> int:
        found = self.numbers.get(thing)
        if found is None:
            found = self.numbers[thing] = len(self.things)
            self.things.append(thing)
        return found

    def first(self) -> State:
        voter, proposer, bounds = self.number(Voter()), self.number(Proposer()), self.bounds
        return State(
            0, (voter, voter, voter), (proposer, proposer), self.number(Reader()), frozenset(),
            self.number(Ghost()), bounds.restarts, bounds.losses, bounds.again, bounds.late,
        )  # fmt: skip

    # A voter

    def _load(self, me: int, voter: Voter, now: int) -> Votes:
        held = self.kinds.votes(me, self.times, voter.kept, now)
        held.window = Window(voter.ends, voter.begins)
        held.said = voter.said
        held.begins = dict(voter.moments)
        return held

    def _store(self, held: Votes, saves: bool = True) -> Voter:
        if saves:
            held.saved(held.kept)
        ends, begins = held.window.ends, held.window.begins
        return Voter(held.kept, held.said, ends, begins, tuple(sorted(held.begins.items())))

    def vote(self, me: int, voter: int, number: int, now: int) -> tuple[int, Any]:
        """What a voter is after a message, and its answer where that is a yes; -1: time has passed."""
        held, body = (
            self._load(me, self.things[voter], now),
            self.things[number].body if number >= 0 else None,
        )
        late = self.kinds.late_disk
        if late:
            held.saved(held.kept)
        answer: Any = None
        match body:
            case Prepare():
                answer = held.prepare(body, now)
            case Accept():
                answer = held.accept(body, now)
            case Decided():
                held.chosen(Ballot(*body.ballot), Value(*body.value), body.at, now)
            case None:
                if held.due(now):
                    held.settle()
        return self.number(self._store(held, not late)), answer if answer and answer.yes else None

    def anew(self, me: int, voter: int, now: int) -> int:
        """It starts again with what it has on disk."""
        return self.number(self._store(self.kinds.votes(me, self.times, self.things[voter].said, now)))

    def recall(self, me: int, voter: int, other: int, its: int, now: int) -> tuple[int, int]:
        """A voter without memory hears from another one where things stand: what both are then."""
        held, lost = self._load(other, self.things[its], now), self.things[voter]
        held.note(me, lost.life)
        noted = self.number(self._store(held))
        told = dict(lost.told) | {other: self.tell(noted, now)}
        if len(told) < BASE.quorum:
            return self.number(lost._replace(told=tuple(sorted(told.items())))), noted
        kept = recovered(me, lost.life, told.values())
        return self.number(self._store(self.kinds.votes(me, self.times, kept, now))), noted

    def tell(self, voter: int, now: int) -> Told:
        """As `Member` answers."""
        held: Voter = self.things[voter]
        kept, said = held.kept, held.said
        coming = bool(kept.accepted) or not kept.settled
        return Told(
            nonce=0, age=0.0, votes=True, decided=kept.decided, settled=kept.settled,
            ends=held.ends - now if coming and held.ends < inf else None,
            begins=held.begins - now if not kept.settled and held.begins < inf else None,
            promised=said.promised, accepted=said.accepted if said.decided == kept.decided else None,
            incarnation=said.incarnation, lives=said.met, candidate=None,
        )  # fmt: skip

    def look(self, voter: int, proposer: int, other: int, its: int, now: int) -> tuple[int, int]:
        """Voter 0 reads from another one, and looks which vote is chosen."""
        held = self._load(0, self.things[voter], now)
        read: Proposer = self.things[proposer]
        told = dict(read.told) | {other: self.tell(its, now)}
        states = {one: said for one, said in told.items() if said.decided == held.kept.decided}
        states[0] = self.tell(voter, now)
        if vote := majority(states, VOTERS, BASE.quorum):
            held.chosen(*vote, None, now)
        return self.number(self._store(held)), self.number(read._replace(told=tuple(sorted(told.items()))))

    # A proposer

    def _ballots(self, me: int, held: Proposer, now: int) -> Ballots:
        made = self.kinds.ballots(me, 7, self.times, BASE, PROPOSERS[me], cast(Any, Dice()), now)
        for name, value in zip(FIELDS, held.state or (), strict=bool(held.state)):
            setattr(made, name, dict(value) if name in DICTS else value)
        return made

    def _left(self, held: Proposer, made: Ballots, more: int = 0) -> int:
        state = []
        for name in FIELDS:
            value = getattr(made, name)
            state.append(tuple(sorted(value.items())) if name in DICTS else value)
        return self.number(held._replace(ballots=held.ballots + more, state=tuple(state)))

    def begin(self, me: int, proposer: int, now: int) -> tuple[int, tuple[int, ...]]:
        """Its next ballot, and what it says."""
        held = self.things[proposer]
        made = self._ballots(me, held, now)
        out: Any = []
        while not out:
            made.due = now
            out = made.step(now)
        return self._left(held, made, 1), self._ways(me, out)

    def count(self, me: int, proposer: int, message: int, now: int) -> tuple[int, tuple[int, ...]]:
        """What a proposer is after an answer, and what it says."""
        held, (voter, _, body, _) = self.things[proposer], self.things[message]
        made = self._ballots(me, held, now)
        if isinstance(body, Promise):
            out = made.promised(voter, body, now)
        else:
            out = made.tell() if made.accepted(voter, body, now) else []
        return self._left(held, made), self._ways(me, out)

    def _ways(self, me: int, out: Iterable[tuple[int, Any]]) -> tuple[int, ...]:
        return tuple(self.number(Message(me, voter, body)) for voter, body in out)

    def over(self, proposer: int, message: int) -> bool:
        """Whether an answer is to a ballot that is, or says nothing new."""
        held, (voter, _, body, _) = self.things[proposer], self.things[message]
        if held.given_up or held.state is None or body.ballot != held.state[1]:
            return True
        phase = held.state[0]
        if isinstance(body, Promise):
            clocks = dict(held.state[FIELDS.index("clocks")])
            return voter in clocks or phase not in (Phase.PREPARES, Phase.ACCEPTS)
        return phase is not Phase.ACCEPTS

    # The learner

    def _lease(self, reader: Reader, now: int) -> Lease:
        lease = self.kinds.lease(self.times, reader.decided, reader.serving)
        lease.windows = {epoch: Window(ends, begins) for epoch, ends, begins in reader.windows}
        lease.renew(majority_read(dict(reader.sent), VOTERS, LEARNER, False, now))
        return lease

    def hear(self, reader: int, message: int, now: int) -> int:
        held, (voter, _, told, sent) = self.things[reader], self.things[message]
        lease = self._lease(held, now)
        lease.hear(told, sent, now)
        lease.serving = lease.next(now) or lease.serving
        when = dict(held.sent)
        when[voter] = max(when.get(voter, -1), now if self.kinds.fresh_as_it_comes else sent)
        return self.number(self._read(lease, when, now))

    def _read(self, lease: Lease, sent: dict[int, int], now: int) -> Reader:
        """Without what is too old for a lease."""
        kept = tuple(sorted((voter, at) for voter, at in sent.items() if now < at + self.times.lease))
        windows = tuple(sorted((epoch, one.ends, one.begins) for epoch, one in lease.windows.items()))
        return Reader(lease.decided, lease.serving, windows, kept)

    def wake(self, reader: int, now: int) -> int:
        """A step has passed."""
        held = self.things[reader]
        lease = self._lease(held, now)
        lease.serving = lease.next(now) or lease.serving
        return self.number(self._read(lease, dict(held.sent), now))

    def status(self, reader: int, now: int) -> tuple[int, Value | None, Value | None]:
        """The epoch that new requests may be decided by, what is in use, and what is known as decided."""
        held = self.things[reader]
        lease = self._lease(held, now)
        holds = lease.serving.epoch if lease.serving and now < lease.limit() else 0
        return holds, lease.serving, lease.decided

    # What has truly happened

    def happen(self, ghost: int, me: int, voter: int, message: int, now: int) -> int:
        """A voter has said yes to an acceptance."""
        was, (_, _, body, _) = self.things[ghost], self.things[message]
        said = self.things[voter].kept
        ballot, value = Ballot(*body.ballot), Value(*body.value)
        if any(one[:4] == (ballot, value, me, said.incarnation) for one in was.accepted):
            return ghost
        accepted = was.accepted | {(ballot, value, me, said.incarnation, said.met)}
        chosen, in_force, moment = was.chosen, was.in_force, was.moment
        votes_for = [one for one in accepted if one[:2] == (ballot, value)]
        for one in votes_for:
            for other in votes_for:
                if one[2] < other[2] and not _knew_later(one, other) and not _knew_later(other, one):
                    if chosen not in (None, value):
                        raise Found("two values are chosen for one epoch")
                    if value in was.failed:
                        raise Found("a change that was said to have failed is chosen")
                    chosen, in_force = value, min(in_force, max(now, body.at))
                    moment = min(moment, body.at)
        return self.number(Ghost(accepted, chosen, in_force, moment, was.failed))

    def fails(self, ghost: int, value: Value) -> int:
        was = self.things[ghost]
        if was.chosen == value:
            raise Found("a change that is chosen is said to have failed")
        return self.number(was._replace(failed=was.failed | {value}))

    def judge(self, state: State) -> None:
        """The promises, in one state."""
        ghost: Ghost = self.things[state.ghost]
        for voter in state.voters:
            kept, begins = self.things[voter].kept, self.things[voter].begins
            if kept.decided != BASE and kept.decided != ghost.chosen:
                raise Found("a voter believes what is not chosen")
            if kept.decided != BASE and not kept.settled and begins < ghost.moment:
                raise Found("a voter takes the epoch to begin by a ballot that is not chosen")
        holds, serving, decided = self.status(state.reader, state.now)
        if decided != BASE and decided != ghost.chosen:
            raise Found("the learner believes what is not chosen")
        if holds == BASE.epoch and state.now >= ghost.in_force:
            raise Found("a lease under the older epoch, and the newer one is in force")
        if serving != BASE and state.now < ghost.in_force:
            raise Found("the newer epoch is in use before it is in force")

    # All moves

    def moves(self, state: State) -> Iterator[tuple[str, Callable[[], State]]]:
        """What may happen next, each with a word on it."""
        things, now = self.things, state.now
        for number in sorted(state.ways):
            message = things[number]
            word = f"{_name(message)} arrives"
            if isinstance(message.body, Told):
                yield word, lambda number=number: self.hears(state, number)
                continue
            for again in (False, True)[: 1 + bool(state.again and not isinstance(message.body, Prepare))]:
                more = ", once of twice" if again else ""
                for heard in (True, False)[: 1 + self._lossy(state, message)]:
                    lost = "" if heard else ", and its answer is lost"
                    yield (
                        f"{word}{more}{lost}",
                        lambda number=number, again=again, heard=heard: self.arrive(
                            state, number, again, heard
                        ),
                    )
        for place, me in enumerate(PROPOSERS):
            held = things[state.proposers[place]]
            if held.given_up:
                continue
            if held.ballots < self.bounds.ballots[place] and (
                not held.state or held.state[0] is not Phase.CHOSEN
            ):
                yield f"proxy {me} begins a ballot", lambda place=place: self.begins(state, place)
            if self.bounds.gives_up and held.state and not held.state[FIELDS.index("said")]:
                yield f"proxy {me} gives up", lambda place=place: self.gives_up(state, place)
        up = [me for me in VOTERS if not things[state.voters[me]].life]
        for me in VOTERS:
            voter = things[state.voters[me]]
            if voter.life:
                for other in up:
                    if other not in dict(voter.told):
                        yield (
                            f"voter {other} tells voter {me} where things stand",
                            lambda me=me, other=other: self.recalls(state, me, other),
                        )
                continue
            if state.restarts and me in self.bounds.places:
                yield f"voter {me} starts anew", lambda me=me: self.restarts(state, me)
            if state.losses and me in self.bounds.places and len(up) == len(VOTERS):
                yield f"voter {me} loses its memory", lambda me=me: self.loses(state, me)
            if self.bounds.reads:
                # An earlier read is too old once anything is in force.
                if now > self.times.lead - self.times.lease:
                    yield f"the learner reads from voter {me}", lambda me=me: self.reads(state, me)
                if state.late:
                    yield f"the learner asks voter {me}", lambda me=me: self.asks(state, me)
            if self.bounds.looks and me != 0 and 0 in up:
                yield f"voter 0 reads from voter {me}", lambda me=me: self.looks(state, me)
        if now < self.bounds.steps:
            yield "a step passes", lambda: self.passes(state)

    def _lossy(self, state: State, message: Message) -> bool:
        """Whether the loss of an answer allows more than its arrival: another ballot of that proposer."""
        place = list(PROPOSERS).index(message.sender)
        left = self.things[state.proposers[place]].ballots < self.bounds.ballots[place]
        return left and isinstance(message.body, Accept)

    def idle(self, voter: int, number: int) -> bool:
        """Whether a message changes nothing at a voter that keeps its memory, now or later."""
        held, body = self.things[voter], self.things[number].body
        if held.life or held.kept.decided != BASE:
            return not held.life
        return not isinstance(body, Decided) and Ballot(*body.ballot) < held.kept.promised

    def trimmed(self, state: State) -> State:
        """Without messages that change nothing."""
        ways = frozenset(number for number in state.ways if not self._useless(state, number))
        return state if len(ways) == len(state.ways) else state._replace(ways=ways)

    def _useless(self, state: State, number: int) -> bool:
        message: Message = self.things[number]
        if isinstance(message.body, Told):
            return False
        if isinstance(message.body, Prepare):
            proposer = state.proposers[list(PROPOSERS).index(message.sender)]
            if self.unasked(proposer, number):
                return True
        forgets = state.losses or any(self.things[voter].life for voter in state.voters)
        return not forgets and self.idle(state.voters[message.receiver], number)

    def unasked(self, proposer: int, number: int) -> bool:
        """Whether a proposer has no use for a promise any more; the promise itself allows nothing."""
        held, message = self.things[proposer], self.things[number]
        if held.given_up or held.state[1] != message.body.ballot or held.state[0] is Phase.CHOSEN:
            return True
        return message.receiver in dict(held.state[FIELDS.index("clocks")])

    def _voter(self, state: State, me: int, voter: int, **more: Any) -> State:
        voters = state.voters
        return state._replace(voters=(*voters[:me], voter, *voters[me + 1 :]), **more)

    def _proposer(self, state: State, place: int, proposer: int, said: Iterable[int] = ()) -> State:
        both = (proposer, state.proposers[1]) if place == 0 else (state.proposers[0], proposer)
        return state._replace(proposers=both, ways=state.ways.union(said))

    def hears(self, state: State, number: int) -> State:
        return state._replace(reader=self.hear(state.reader, number, state.now), ways=state.ways - {number})

    def arrive(self, state: State, number: int, again: bool, heard: bool) -> State:
        """At a voter; whether that message is to come again, and its answer is heard."""
        message: Message = self.things[number]
        body, me, place = message.body, message.receiver, list(PROPOSERS).index(message.sender)
        state = state._replace(ways=state.ways if again else state.ways - {number}, again=state.again - again)
        if self.things[state.voters[me]].life:
            return state
        new, answer = self.vote(me, state.voters[me], number, state.now)
        state = self._voter(state, me, new)
        if answer is None:
            return state
        if isinstance(body, Accept):
            state = state._replace(ghost=self.happen(state.ghost, me, new, number, state.now))
        back = self.number(Message(me, message.sender, answer))
        if not heard or self.over(state.proposers[place], back):
            return state
        proposer, said = self.count(message.sender, state.proposers[place], back, state.now)
        return self._proposer(state, place, proposer, said)

    def begins(self, state: State, place: int) -> State:
        me = list(PROPOSERS)[place]
        proposer, said = self.begin(me, state.proposers[place], state.now)
        return self._proposer(state, place, proposer, said)

    def gives_up(self, state: State, place: int) -> State:
        me = list(PROPOSERS)[place]
        proposer = self.number(self.things[state.proposers[place]]._replace(given_up=True))
        after = self._proposer(state, place, proposer)
        return after._replace(ghost=self.fails(state.ghost, PROPOSERS[me]))

    def restarts(self, state: State, me: int) -> State:
        return self._voter(state, me, self.anew(me, state.voters[me], state.now), restarts=state.restarts - 1)

    def loses(self, state: State, me: int) -> State:
        if self.kinds.no_recovery:
            return self._voter(state, me, self.number(Voter()), losses=state.losses - 1)
        lives = newest(self.things[voter].said.met for place, voter in enumerate(state.voters) if place != me)
        lost = self.number(Voter(BASE_KEPT, BASE_KEPT, life=lives.get(me, 0) + 1))
        return self._voter(state, me, lost, losses=state.losses - 1)

    def recalls(self, state: State, me: int, other: int) -> State:
        voter, noted = self.recall(me, state.voters[me], other, state.voters[other], state.now)
        return self._voter(self._voter(state, me, voter), other, noted)

    def _told(self, state: State, me: int) -> int:
        return self.number(Message(me, LEARNER, self.tell(state.voters[me], state.now), state.now))

    def reads(self, state: State, me: int) -> State:
        return state._replace(reader=self.hear(state.reader, self._told(state, me), state.now))

    def asks(self, state: State, me: int) -> State:
        return state._replace(ways=state.ways | {self._told(state, me)}, late=state.late - 1)

    def looks(self, state: State, me: int) -> State:
        voter, proposer = self.look(state.voters[0], state.proposers[0], me, state.voters[me], state.now)
        return self._voter(state, 0, voter, proposers=(proposer, state.proposers[1]))

    def passes(self, state: State) -> State:
        """Promises of the step before, and what is too late to be accepted, are over."""
        now = state.now + 1
        ways = frozenset(
            number for number in state.ways
            if not isinstance(body := self.things[number].body, Prepare)
            and not (isinstance(body, Accept) and body.at - now < self.times.notice)
        )  # fmt: skip
        voters = tuple(
            voter if self.things[voter].life else self.vote(me, voter, -1, now)[0]
            for me, voter in enumerate(state.voters)
        )
        return state._replace(now=now, voters=voters, ways=ways, reader=self.wake(state.reader, now))


BASE_KEPT = FIRST


def _knew_later(one: Row, other: Row) -> bool:
    """Whether one acceptor knew that the other had lost its memory since."""
    return dict(one[4]).get(other[2], 0) > other[3]


def _name(message: Message) -> str:
    body = message.body
    word = type(body).__name__.lower()
    ballot = f" of ballot {body.ballot[:2]}" if hasattr(body, "ballot") else ""
    return f"{word}{ballot} from {message.sender} at {message.receiver}"


# Each promise broken on purpose


class ForgetsPromiseLives(Ballots):
    """Lives are ignored when promises are counted."""

    def promised(self, voter: int, message: Promise, now: float) -> Any:
        return super().promised(voter, replace(message, lives=()), now)


class ForgetsAcceptorLives(Ballots):
    """Lives are ignored when acceptances are counted."""

    def accepted(self, voter: int, message: Accepted, now: float) -> bool:
        return super().accepted(voter, replace(message, lives=()), now)


class EndsByTheLast(Votes):
    """The last ballot's moment ends the epoch, in place of the earliest."""

    def accept(self, message: Accept, now: float) -> Accepted | None:
        answer = super().accept(message, now)
        if answer and answer.yes:
            self.window.ends = message.at
        return answer


class BeginsByAny(Votes):
    """The epoch begins at the moment of any ballot that was accepted here."""

    def chosen(self, ballot: Ballot, value: Value, at: float | None, now: float) -> None:
        at, self.begins = min(self.begins.values(), default=at), {}
        super().chosen(ballot, value, at, now)


class OverlooksVotes(Ballots):
    """The highest vote that the first phase has found is not taken up."""

    def promised(self, voter: int, message: Promise, now: float) -> Any:
        return super().promised(voter, replace(message, accepted=None), now)


@dataclass(frozen=True)
class ShortNotice(Steps):
    """A voter's yes may come too near to the swap."""

    @property
    def notice(self) -> float:
        return super().notice - 1

    @property
    def lead(self) -> float:
        return super().notice + 1


class Mutant(NamedTuple):
    """One way to break a promise, and bounds within which that shows."""

    name: str
    kinds: Kinds
    bounds: Bounds


MUTANTS = (
    Mutant("says a vote before it is on disk", Kinds(late_disk=True), Bounds("", restarts=1)),
    Mutant("votes without memory at once", Kinds(no_recovery=True), Bounds("", losses=1)),
    Mutant("ignores lives when it counts promises", Kinds(ballots=ForgetsPromiseLives), Bounds("", losses=1)),
    Mutant(
        "ignores lives when it counts acceptances",
        Kinds(ballots=ForgetsAcceptorLives),
        Bounds("", (1, 0), losses=1),
    ),
    Mutant("gives notice too late", Kinds(), Bounds("", (1, 0), steps=3, reads=True, times=ShortNotice())),
    Mutant("ends by the last ballot", Kinds(EndsByTheLast), Bounds("", (2, 0), steps=2, reads=True)),
    Mutant(
        "counts a lease from the answer",
        Kinds(fresh_as_it_comes=True),
        Bounds("", (1, 0), steps=2, reads=True, late=1),
    ),
    Mutant("begins by a ballot that is not chosen", Kinds(BeginsByAny), Bounds("", steps=1)),
    Mutant("overlooks votes in the first phase", Kinds(ballots=OverlooksVotes), Bounds("")),
)

QUICK = (
    Bounds("two changes"),
    Bounds("a change, and a voter that loses its memory twice", (1, 0), losses=2),
    Bounds("two ballots, and a voter that starts anew", (2, 0), restarts=1, again=1),
    Bounds("a change and its lease", (1, 0), steps=2, reads=True),
)
DEEP = (
    *QUICK,
    Bounds("two changes, and a voter that loses its memory", losses=1),
    Bounds("two changes, a voter that starts anew, and a message that comes twice", restarts=1, again=1),
    Bounds("two changes, voters read from one another", looks=True),
    Bounds("a change and its lease, longer", (1, 0), steps=3, reads=True),
    Bounds("three ballots", (2, 1)),
    Bounds("two changes and a lease", steps=3, reads=True),
    Bounds("a change, answers that come late", (1, 0), steps=3, reads=True, late=1),
    Bounds("a change, a lease, and a voter that starts anew", (1, 0), restarts=1, steps=3, reads=True),
    Bounds("a change, a lease, and a voter that loses its memory", (1, 0), losses=1, steps=3, reads=True),
)


class Explored(NamedTuple):
    """What came of it."""

    states: int
    moves: int
    seconds: float
    all: bool  # every state within the bounds has been seen
    broken: str = ""
    trace: tuple[str, ...] = ()


def explore(bounds: Bounds, kinds: Kinds = PROGRAM, most: int = 10**9) -> Explored:
    """Breadth first, until a promise breaks or `most` states have been seen."""
    model = Model(bounds, kinds)
    began = time.perf_counter()
    first = model.first()
    came: dict[State, tuple[State, str] | None] = {first: None}
    line, moves = deque([first]), 0
    while line:
        state = line.popleft()
        for word, move in model.moves(state):
            moves += 1
            try:
                after = model.trimmed(move())
                if after in came:
                    continue
                model.judge(after)
            except Found as found:
                return Explored(
                    len(came),
                    moves,
                    time.perf_counter() - began,
                    False,
                    str(found),
                    (*_trace(came, state), word),
                )
            came[after] = state, word
            line.append(after)
        if len(came) >= most:
            return Explored(len(came), moves, time.perf_counter() - began, False)
    return Explored(len(came), moves, time.perf_counter() - began, True)


def _trace(came: dict[State, tuple[State, str] | None], state: State) -> list[str]:
    words: list[str] = []
    step = came[state]
    while step:
        words.append(step[1])
        step = came[step[0]]
    return words[::-1]


def main() -> int:
    told = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    told.add_argument("--deep", action="store_true", help="wider bounds, for minutes")
    told.add_argument("--mutants", action="store_true", help="the broken ones, which must be found")
    told.add_argument("--most", type=int, default=10**9, help="states of one exploration")
    told.add_argument("--only", default="", help="explorations whose name has this in it")
    asked = told.parse_args()
    broken = False
    for mutant in MUTANTS if asked.mutants else ():
        found = explore(mutant.bounds, mutant.kinds, asked.most)
        print(
            f"{mutant.name}: {found.broken or 'NOT FOUND'}, {found.states} states, {found.seconds:.1f} s",
            flush=True,
        )
        broken |= not found.broken
    if asked.mutants:
        return int(broken)
    for bounds in DEEP if asked.deep else QUICK:
        if asked.only not in bounds.name:
            continue
        found = explore(bounds, most=asked.most)
        end = found.broken or ("all of them" if found.all else "not all")
        print(
            f"{bounds.name}: {found.states} states, {found.moves} moves, {found.seconds:.1f} s, {end}",
            flush=True,
        )
        for word in found.trace:
            print("   ", word)
        broken |= bool(found.broken)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
