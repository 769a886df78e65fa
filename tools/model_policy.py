"""Explores every course that a change of policy can take, within bounds, with the classes that decide it.

    .venv/bin/python tools/model_policy.py [--deep] [--mutants] [--most STATES]

Three voters, one proxy that learns, two proposers with a change each: voter 0, and the learner. `Acceptor`,
`Proposer` and `Lease` are the program's own; what `Member` does between them is modelled here in a few lines.

Rules of the model:

1. Time goes in steps, for all clocks at once: a round trip takes none, clocks do not differ. A message is in
   flight for any time, or for ever, which is its loss; some may be delivered once more, later.
2. What one process does depends on its own state, the message and the step alone, so that it is computed
   once. States are tuples of such states, the messages in flight, and the ground truth; each is visited once,
   breadth first.
3. Left out, since nothing follows from them: rejections, and replies to a proposal that is over. A reply is
   received at once or never, as what a proposer sends by it may be in flight as long; a first phase ends with
   its step, since later promises do not count for an activation time.
4. The ground truth is what voters have accepted, not what any process believes: a proposal is chosen once a
   majority has accepted it, none of which knew then of a later incarnation of another one of them. The epoch
   is in force from that step on, or from the proposal's activation time, whichever is later.
"""

from __future__ import annotations

import argparse
import sys
import time
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from functools import cache, partial
from math import inf
from pathlib import Path
from typing import Any, NamedTuple, cast

from msgspec.structs import replace

ROOT = str(Path(__file__).resolve().parents[1])
if __name__ == "__main__":
    sys.path[0] = ROOT  # in place of this folder

from firvane.proxy.policy_text import digest_of  # noqa: E402
from firvane.proxy.quorum.acceptor import (  # noqa: E402
    Acceptor,
    find_chosen,
    latest_incarnations,
    recover_state,
)
from firvane.proxy.quorum.leases import Lease, majority_read_time  # noqa: E402
from firvane.proxy.quorum.messages import (  # noqa: E402
    Accept,
    Accepted,
    Learn,
    LeaseReply,
    Prepare,
    Promise,
)
from firvane.proxy.quorum.proposer import Phase, Proposer  # noqa: E402
from firvane.proxy.quorum.types import (  # noqa: E402
    NO_PROPOSAL_NUMBER,
    ActivationWindow,
    ProposalNumber,
    Timing,
    Value,
    VoterState,
)

VOTERS = (0, 1, 2)
LEARNER = 3
BASE = Value(1, digest_of(b"in force"), VOTERS)
PROPOSERS = {0: Value(2, digest_of(b"one change"), VOTERS), LEARNER: Value(2, digest_of(b"another"), VOTERS)}
FIRST = VoterState(0, BASE, True, NO_PROPOSAL_NUMBER, None, ())


@dataclass(frozen=True)
class Steps(Timing):
    """Times in steps: a vote may be a step late."""

    lease_s: float = 1.0
    clock_skew: float = 0.0
    round_trip_s: float = 0.0

    @property
    def activation_delay_s(self) -> float:
        return self.min_notice_s + 1


class Bounds(NamedTuple):
    """How far one exploration goes."""

    name: str
    proposals: tuple[int, int] = (1, 1)  # of voter 0, and of the learner
    restarts: int = 0  # of voters with their state
    losses: int = 0  # of voters without
    duplicates: int = 0  # messages that are delivered twice
    steps: int = 0  # of time
    reads: bool = False  # the learner reads from voters, for a lease
    late: int = 0  # answers to the learner that come later
    looks: bool = False  # voter 0 reads from voters which vote is chosen
    gives_up: bool = False  # proposers may give up before they have asked for an acceptance
    places: tuple[int, ...] = (1,)  # which voters start anew or lose their memory; all are alike
    times: Timing = Steps()


Row = tuple[Any, ...]


class InvariantError(Exception):
    """An invariant does not hold."""


# One voter


class Voter(NamedTuple):
    """A voter's state; `new_incarnation` above 0: it has lost its state, and these replies have come."""

    state: VoterState = FIRST
    persisted: VoterState = FIRST
    previous_end: float = inf
    start: float = inf
    activation_times: tuple[tuple[ProposalNumber, float], ...] = ()
    new_incarnation: int = 0
    replies: tuple[tuple[int, LeaseReply], ...] = ()


class ProposerState(NamedTuple):
    """The proposer of one proxy, as it was left."""

    attempts: int = 0
    given_up: bool = False
    state: Row | None = None
    replies: tuple[tuple[int, LeaseReply], ...] = ()  # that voter 0 has read


class Reader(NamedTuple):
    """The learner's lease."""

    decided: Value | None = BASE
    serving: Value | None = BASE
    windows: tuple[tuple[int, float, float], ...] = ()
    sent: tuple[tuple[int, int], ...] = ()


class Message(NamedTuple):
    """A message in flight."""

    sender: int
    receiver: int
    body: Any
    sent: int = 0  # of an answer: when the question went out


class Ghost(NamedTuple):
    """The ground truth."""

    accepted: frozenset[Row] = frozenset()  # ballot, value, voter, its life, and the lives that it knew of
    chosen: Value | None = None
    in_force: float = inf
    moment: float = inf  # the earliest of those of ballots that are chosen
    failed: frozenset[Value] = frozenset()


class State(NamedTuple):
    """The state of everything, by numbers."""

    now: int
    voters: tuple[int, ...]
    proposers: tuple[int, int]
    reader: int
    in_flight: frozenset[int]
    ghost: int
    restarts: int
    losses: int
    duplicates: int
    late: int


class FixedRandom:
    """Draws that are always the same: nothing here depends on them."""

    def getrandbits(self, bits: int) -> int:
        return 1

    def uniform(self, low: float, high: float) -> float:
        return 0.0


FIELDS = (
    "phase", "number", "highest_term", "value", "accept_sent", "attempts", "started_at", "activate_at",
    "prepare_sent_at", "promises", "clock_offsets", "acceptances",
)  # fmt: skip


class Implementation(NamedTuple):
    """The classes under test and the behaviour of `Member` round them; mutants replace parts of it."""

    acceptor: type[Acceptor] = Acceptor
    proposer: type[Proposer] = Proposer
    lease: type[Lease] = Lease
    delayed_write: bool = False  # what is said is on disk at the next event only
    no_recovery: bool = False
    fresh_from_reply: bool = False


DICTS = {"prepare_sent_at", "promises", "clock_offsets", "acceptances"}
MEMOIZED = (
    "vote", "anew", "recall", "tell", "begin", "count", "over", "idle", "unasked",
    "hear", "status", "happen", "fails",
)  # fmt: skip
PROGRAM = Implementation()


Move = tuple[str, Callable[[], State]]  # its name, and what follows from it


class Model:
    """The moves of each process. Their states, the messages and the ground truth are numbered."""

    def __init__(self, bounds: Bounds, implementation: Implementation = PROGRAM) -> None:
        self.bounds, self.implementation, self.times = bounds, implementation, bounds.times
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
        voter, proposer, bounds = self.number(Voter()), self.number(ProposerState()), self.bounds
        return State(
            0, (voter, voter, voter), (proposer, proposer), self.number(Reader()), frozenset(),
            self.number(Ghost()), bounds.restarts, bounds.losses, bounds.duplicates, bounds.late,
        )  # fmt: skip

    # A voter

    def _load(self, me: int, voter: Voter, now: int) -> Acceptor:
        held = self.implementation.acceptor(me, self.times, voter.state, now)
        held.window = ActivationWindow(voter.previous_end, voter.start)
        held.persisted = voter.persisted
        held.activation_times = dict(voter.activation_times)
        return held

    def _store(self, held: Acceptor, saves: bool = True) -> Voter:
        if saves:
            held.on_saved(held.state)
        ends, begins = held.window.previous_end, held.window.start
        return Voter(held.state, held.persisted, ends, begins, tuple(sorted(held.activation_times.items())))

    def vote(self, me: int, voter: int, number: int, now: int) -> tuple[int, Any]:
        """Return a voter after a message, and its reply where that is granted; -1: time has passed."""
        held, body = (
            self._load(me, self.things[voter], now),
            self.things[number].body if number >= 0 else None,
        )
        late = self.implementation.delayed_write
        if late:
            held.on_saved(held.state)
        answer: Any = None
        match body:
            case Prepare():
                answer = held.prepare(body, now)
            case Accept():
                answer = held.accept(body, now)
            case Learn():
                held.learn_chosen(ProposalNumber(*body.number), Value(*body.value), body.activate_at, now)
            case None:
                if held.is_activation_over(now):
                    held.mark_activated()
        return self.number(self._store(held, not late)), answer if answer and answer.granted else None

    def anew(self, me: int, voter: int, now: int) -> int:
        """Return a voter after a restart with what it has on disk."""
        return self.number(
            self._store(self.implementation.acceptor(me, self.times, self.things[voter].persisted, now))
        )

    def recall(self, me: int, voter: int, other: int, its: int, now: int) -> tuple[int, int]:
        """Return a voter without state, and another one, after that one has sent its state."""
        held, lost = self._load(other, self.things[its], now), self.things[voter]
        held.note_incarnation(me, lost.new_incarnation)
        noted = self.number(self._store(held))
        told = dict(lost.replies) | {other: self.tell(noted, now)}
        if len(told) < BASE.quorum:
            return self.number(lost._replace(replies=tuple(sorted(told.items())))), noted
        kept = recover_state(me, lost.new_incarnation, told.values())
        return self.number(self._store(self.implementation.acceptor(me, self.times, kept, now))), noted

    def tell(self, voter: int, now: int) -> LeaseReply:
        """Return the reply of a voter, as `Member` makes it."""
        held: Voter = self.things[voter]
        state, persisted = held.state, held.persisted
        is_changing = bool(state.accepted) or not state.activated
        return LeaseReply(
            nonce=0,
            age_s=0.0,
            has_state=True,
            decided=state.decided,
            activated=state.activated,
            previous_end_s=held.previous_end - now if is_changing and held.previous_end < inf else None,
            start_s=held.start - now if not state.activated and held.start < inf else None,
            promised=persisted.promised,
            accepted=persisted.accepted if persisted.decided == state.decided else None,
            incarnation=persisted.incarnation,
            known_incarnations=persisted.known_incarnations,
            candidate=None,
        )

    def look(self, voter: int, proposer: int, other: int, its: int, now: int) -> tuple[int, int]:
        """Return voter 0 and its proposer after a read from another voter, which may show a chosen value."""
        held = self._load(0, self.things[voter], now)
        read: ProposerState = self.things[proposer]
        told = dict(read.replies) | {other: self.tell(its, now)}
        states = {one: said for one, said in told.items() if said.decided == held.state.decided}
        states[0] = self.tell(voter, now)
        if vote := find_chosen(states, VOTERS, BASE.quorum):
            held.learn_chosen(*vote, None, now)
        return self.number(self._store(held)), self.number(read._replace(replies=tuple(sorted(told.items()))))

    # A proposer

    def _load_proposer(self, me: int, held: ProposerState, now: int) -> Proposer:
        made = self.implementation.proposer(
            me, 7, self.times, BASE, PROPOSERS[me], cast(Any, FixedRandom()), now
        )
        for name, value in zip(FIELDS, held.state or (), strict=bool(held.state)):
            setattr(made, name, dict(value) if name in DICTS else value)
        return made

    def _store_proposer(self, held: ProposerState, made: Proposer, more: int = 0) -> int:
        state = []
        for name in FIELDS:
            value = getattr(made, name)
            state.append(tuple(sorted(value.items())) if name in DICTS else value)
        return self.number(held._replace(attempts=held.attempts + more, state=tuple(state)))

    def begin(self, me: int, proposer: int, now: int) -> tuple[int, tuple[int, ...]]:
        """Return a proposer after it has begun its next proposal, and what it sends."""
        held = self.things[proposer]
        made = self._load_proposer(me, held, now)
        out: Any = []
        while not out:
            made.next_step_at = now
            out = made.step(now)
        return self._store_proposer(held, made, 1), self._messages(me, out)

    def count(self, me: int, proposer: int, message: int, now: int) -> tuple[int, tuple[int, ...]]:
        """Return a proposer after a reply, and what it sends."""
        held, (voter, _, body, _) = self.things[proposer], self.things[message]
        made = self._load_proposer(me, held, now)
        if isinstance(body, Promise):
            out = made.on_promise(voter, body, now)
        else:
            out = made.learn_messages() if made.on_accepted(voter, body, now) else []
        return self._store_proposer(held, made), self._messages(me, out)

    def _messages(self, me: int, out: Iterable[tuple[int, Any]]) -> tuple[int, ...]:
        return tuple(self.number(Message(me, voter, body)) for voter, body in out)

    def over(self, proposer: int, message: int) -> bool:
        """Whether a reply is to a proposal that is over, or has nothing new."""
        held, (voter, _, body, _) = self.things[proposer], self.things[message]
        if held.given_up or held.state is None or body.number != held.state[1]:
            return True
        phase = held.state[0]
        if isinstance(body, Promise):
            clocks = dict(held.state[FIELDS.index("clock_offsets")])
            return voter in clocks or phase not in (Phase.PREPARING, Phase.ACCEPTING)
        return phase is not Phase.ACCEPTING

    # The learner

    def _lease(self, reader: Reader, now: int) -> Lease:
        lease = self.implementation.lease(self.times, reader.decided, reader.serving)
        lease.windows = {epoch: ActivationWindow(ends, begins) for epoch, ends, begins in reader.windows}
        lease.renew(majority_read_time(dict(reader.sent), VOTERS, LEARNER, False, now))
        return lease

    def hear(self, reader: int, message: int, now: int) -> int:
        held, (voter, _, told, sent) = self.things[reader], self.things[message]
        lease = self._lease(held, now)
        lease.on_reply(told, sent, now)
        lease.serving = lease.next_value(now) or lease.serving
        when = dict(held.sent)
        when[voter] = max(when.get(voter, -1), now if self.implementation.fresh_from_reply else sent)
        return self.number(self._read(lease, when, now))

    def _read(self, lease: Lease, sent: dict[int, int], now: int) -> Reader:
        """Return the state of a lease without what is too old for it."""
        kept = tuple(sorted((voter, at) for voter, at in sent.items() if now < at + self.times.lease_s))
        windows = tuple(sorted((epoch, one.previous_end, one.start) for epoch, one in lease.windows.items()))
        return Reader(lease.decided, lease.serving, windows, kept)

    def wake(self, reader: int, now: int) -> int:
        """Return the learner after a step of time."""
        held = self.things[reader]
        lease = self._lease(held, now)
        lease.serving = lease.next_value(now) or lease.serving
        return self.number(self._read(lease, dict(held.sent), now))

    def status(self, reader: int, now: int) -> tuple[int, Value | None, Value | None]:
        """Return the epoch that new requests may be decided by, the value in use, and the decided one."""
        held = self.things[reader]
        lease = self._lease(held, now)
        holds = lease.serving.epoch if lease.serving and now < lease.expires_at() else 0
        return holds, lease.serving, lease.decided

    # What has truly happened

    def happen(self, ghost: int, me: int, voter: int, message: int, now: int) -> int:
        """Return the ground truth after a voter has accepted."""
        was, (_, _, body, _) = self.things[ghost], self.things[message]
        state = self.things[voter].state
        number, value = ProposalNumber(*body.number), Value(*body.value)
        if any(one[:4] == (number, value, me, state.incarnation) for one in was.accepted):
            return ghost
        accepted = was.accepted | {(number, value, me, state.incarnation, state.known_incarnations)}
        chosen, in_force, moment = was.chosen, was.in_force, was.moment
        votes_for = [one for one in accepted if one[:2] == (number, value)]
        for one in votes_for:
            for other in votes_for:
                if one[2] < other[2] and not _knew_later(one, other) and not _knew_later(other, one):
                    if chosen not in (None, value):
                        raise InvariantError("two values are chosen for one epoch")
                    if value in was.failed:
                        raise InvariantError("a change that was said to have failed is chosen")
                    chosen, in_force = value, min(in_force, max(now, body.activate_at))
                    moment = min(moment, body.activate_at)
        return self.number(Ghost(accepted, chosen, in_force, moment, was.failed))

    def fails(self, ghost: int, value: Value) -> int:
        was = self.things[ghost]
        if was.chosen == value:
            raise InvariantError("a change that is chosen is said to have failed")
        return self.number(was._replace(failed=was.failed | {value}))

    def judge(self, state: State) -> None:
        """Check the invariants in one state."""
        ghost: Ghost = self.things[state.ghost]
        for voter in state.voters:
            kept, begins = self.things[voter].state, self.things[voter].start
            if kept.decided != BASE and kept.decided != ghost.chosen:
                raise InvariantError("a voter believes what is not chosen")
            if kept.decided != BASE and not kept.activated and begins < ghost.moment:
                raise InvariantError("a voter takes the epoch to begin by a ballot that is not chosen")
        holds, serving, decided = self.status(state.reader, state.now)
        if decided != BASE and decided != ghost.chosen:
            raise InvariantError("the learner believes what is not chosen")
        if holds == BASE.epoch and state.now >= ghost.in_force:
            raise InvariantError("a lease under the older epoch, and the newer one is in force")
        if serving != BASE and state.now < ghost.in_force:
            raise InvariantError("the newer epoch is in use before it is in force")

    # All moves

    def moves(self, state: State) -> Iterator[Move]:
        """Yield what may happen next."""
        yield from self._message_moves(state)
        yield from self._proposer_moves(state)
        yield from self._voter_moves(state)
        if state.now < self.bounds.steps:
            yield "a step passes", lambda: self.passes(state)

    def _message_moves(self, state: State) -> Iterator[Move]:
        """Yield the arrivals of messages."""
        for number in sorted(state.in_flight):
            message = self.things[number]
            name = f"{_name(message)} arrives"
            if isinstance(message.body, LeaseReply):
                yield name, partial(self.hears, state, number)
                continue
            may_duplicate = bool(state.duplicates and not isinstance(message.body, Prepare))
            for is_duplicated in (False, True)[: 1 + may_duplicate]:
                suffix = ", once of twice" if is_duplicated else ""
                for heard in (True, False)[: 1 + self._lossy(state, message)]:
                    lost = "" if heard else ", and its answer is lost"
                    move = partial(self.arrive, state, number, is_duplicated, heard)
                    yield f"{name}{suffix}{lost}", move

    def _proposer_moves(self, state: State) -> Iterator[Move]:
        """Yield what proposers may do by themselves."""
        for place, me in enumerate(PROPOSERS):
            held = self.things[state.proposers[place]]
            if held.given_up:
                continue
            is_open = not held.state or held.state[0] is not Phase.CHOSEN
            if held.attempts < self.bounds.proposals[place] and is_open:
                yield f"proxy {me} begins a proposal", partial(self.begins, state, place)
            if self.bounds.gives_up and held.state and not held.state[FIELDS.index("accept_sent")]:
                yield f"proxy {me} gives up", partial(self.gives_up, state, place)

    def _voter_moves(self, state: State) -> Iterator[Move]:
        """Yield what may happen to voters, and who may read from them."""
        voters = {me: self.things[state.voters[me]] for me in VOTERS}
        up = [me for me in VOTERS if not voters[me].new_incarnation]
        for me, voter in voters.items():
            if voter.new_incarnation:
                for other in up:
                    if other not in dict(voter.replies):
                        name = f"voter {other} sends its state to voter {me}"
                        yield name, partial(self.recalls, state, me, other)
                continue
            if state.restarts and me in self.bounds.places:
                yield f"voter {me} restarts", partial(self.restarts, state, me)
            if state.losses and me in self.bounds.places and len(up) == len(VOTERS):
                yield f"voter {me} loses its state", partial(self.loses, state, me)
            yield from self._read_moves(state, me)
            if self.bounds.looks and me != 0 and 0 in up:
                yield f"voter 0 reads from voter {me}", partial(self.looks, state, me)

    def _read_moves(self, state: State, me: int) -> Iterator[Move]:
        """Yield the reads of the learner from a voter."""
        if self.bounds.reads:
            # An earlier read is too old once anything is in force.
            if state.now > self.times.activation_delay_s - self.times.lease_s:
                yield f"the learner reads from voter {me}", partial(self.reads, state, me)
            if state.late:
                yield f"the learner asks voter {me}", partial(self.asks, state, me)

    def _lossy(self, state: State, message: Message) -> bool:
        """Whether the loss of a reply allows more than its arrival: another proposal of that proposer."""
        place = list(PROPOSERS).index(message.sender)
        left = self.things[state.proposers[place]].attempts < self.bounds.proposals[place]
        return left and isinstance(message.body, Accept)

    def idle(self, voter: int, number: int) -> bool:
        """Whether a message changes nothing at a voter that keeps its state, now or later."""
        held, body = self.things[voter], self.things[number].body
        if held.new_incarnation or held.state.decided != BASE:
            return not held.new_incarnation
        return not isinstance(body, Learn) and ProposalNumber(*body.number) < held.state.promised

    def trimmed(self, state: State) -> State:
        """Return the state without messages that change nothing."""
        ways = frozenset(number for number in state.in_flight if not self._useless(state, number))
        return state if len(ways) == len(state.in_flight) else state._replace(in_flight=ways)

    def _useless(self, state: State, number: int) -> bool:
        message: Message = self.things[number]
        if isinstance(message.body, LeaseReply):
            return False
        if isinstance(message.body, Prepare):
            proposer = state.proposers[list(PROPOSERS).index(message.sender)]
            if self.unasked(proposer, number):
                return True
        forgets = state.losses or any(self.things[voter].new_incarnation for voter in state.voters)
        return not forgets and self.idle(state.voters[message.receiver], number)

    def unasked(self, proposer: int, number: int) -> bool:
        """Whether a proposer needs no promise any more; the promise itself allows nothing."""
        held, message = self.things[proposer], self.things[number]
        if held.given_up or held.state[1] != message.body.number or held.state[0] is Phase.CHOSEN:
            return True
        return message.receiver in dict(held.state[FIELDS.index("clock_offsets")])

    def _voter(self, state: State, me: int, voter: int, **more: Any) -> State:
        voters = state.voters
        return state._replace(voters=(*voters[:me], voter, *voters[me + 1 :]), **more)

    def _proposer(self, state: State, place: int, proposer: int, said: Iterable[int] = ()) -> State:
        both = (proposer, state.proposers[1]) if place == 0 else (state.proposers[0], proposer)
        return state._replace(proposers=both, in_flight=state.in_flight.union(said))

    def hears(self, state: State, number: int) -> State:
        return state._replace(
            reader=self.hear(state.reader, number, state.now), in_flight=state.in_flight - {number}
        )

    def arrive(self, state: State, number: int, again: bool, heard: bool) -> State:
        """Return the state after a message has arrived at a voter.

        `again`: it is to be delivered once more; `heard`: the reply arrives.
        """
        message: Message = self.things[number]
        body, me, place = message.body, message.receiver, list(PROPOSERS).index(message.sender)
        state = state._replace(
            in_flight=state.in_flight if again else state.in_flight - {number},
            duplicates=state.duplicates - again,
        )
        if self.things[state.voters[me]].new_incarnation:
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
        if self.implementation.no_recovery:
            return self._voter(state, me, self.number(Voter()), losses=state.losses - 1)
        incarnations = latest_incarnations(
            self.things[voter].persisted.known_incarnations
            for place, voter in enumerate(state.voters)
            if place != me
        )
        lost = self.number(Voter(BASE_KEPT, BASE_KEPT, new_incarnation=incarnations.get(me, 0) + 1))
        return self._voter(state, me, lost, losses=state.losses - 1)

    def recalls(self, state: State, me: int, other: int) -> State:
        voter, noted = self.recall(me, state.voters[me], other, state.voters[other], state.now)
        return self._voter(self._voter(state, me, voter), other, noted)

    def _told(self, state: State, me: int) -> int:
        return self.number(Message(me, LEARNER, self.tell(state.voters[me], state.now), state.now))

    def reads(self, state: State, me: int) -> State:
        return state._replace(reader=self.hear(state.reader, self._told(state, me), state.now))

    def asks(self, state: State, me: int) -> State:
        return state._replace(in_flight=state.in_flight | {self._told(state, me)}, late=state.late - 1)

    def looks(self, state: State, me: int) -> State:
        voter, proposer = self.look(state.voters[0], state.proposers[0], me, state.voters[me], state.now)
        return self._voter(state, 0, voter, proposers=(proposer, state.proposers[1]))

    def passes(self, state: State) -> State:
        """Return the state after a step; older promises, and what is too late to be accepted, are over."""
        now = state.now + 1
        ways = frozenset(
            number for number in state.in_flight
            if not isinstance(body := self.things[number].body, Prepare)
            and not (isinstance(body, Accept) and body.activate_at - now < self.times.min_notice_s)
        )  # fmt: skip
        voters = tuple(
            voter if self.things[voter].new_incarnation else self.vote(me, voter, -1, now)[0]
            for me, voter in enumerate(state.voters)
        )
        return state._replace(now=now, voters=voters, in_flight=ways, reader=self.wake(state.reader, now))


BASE_KEPT = FIRST


def _knew_later(one: Row, other: Row) -> bool:
    """Whether one acceptor knew that the other had lost its state since."""
    return bool(dict(one[4]).get(other[2], 0) > other[3])


def _name(message: Message) -> str:
    body = message.body
    word = type(body).__name__.lower()
    proposal = f" of proposal {body.number[:2]}" if hasattr(body, "number") else ""
    return f"{word}{proposal} from {message.sender} at {message.receiver}"


# Each promise broken on purpose


class IgnoresPromiseIncarnations(Proposer):
    """Incarnations are ignored when promises are counted."""

    def on_promise(self, voter: int, message: Promise, now: float) -> Any:
        return super().on_promise(voter, replace(message, known_incarnations=()), now)


class IgnoresAcceptorIncarnations(Proposer):
    """Incarnations are ignored when acceptances are counted."""

    def on_accepted(self, voter: int, message: Accepted, now: float) -> bool:
        return super().on_accepted(voter, replace(message, known_incarnations=()), now)


class EndsAtLastActivation(Acceptor):
    """The last activation time ends the epoch, in place of the earliest."""

    def accept(self, message: Accept, now: float) -> Accepted | None:
        answer = super().accept(message, now)
        if answer and answer.granted:
            self.window.previous_end = message.activate_at
        return answer


class StartsAtAnyActivation(Acceptor):
    """The epoch begins at the activation time of any proposal that was accepted here."""

    def learn_chosen(self, number: ProposalNumber, value: Value, at: float | None, now: float) -> None:
        at, self.activation_times = min(self.activation_times.values(), default=at), {}
        super().learn_chosen(number, value, at, now)


class IgnoresAcceptedValues(Proposer):
    """The accepted value with the highest number that phase 1 has found is ignored."""

    def on_promise(self, voter: int, message: Promise, now: float) -> Any:
        return super().on_promise(voter, replace(message, accepted=None), now)


@dataclass(frozen=True)
class ShortNotice(Steps):
    """A voter may accept too close to the activation."""

    @property
    def min_notice_s(self) -> float:
        return super().min_notice_s - 1

    @property
    def activation_delay_s(self) -> float:
        return super().min_notice_s + 1


class Mutant(NamedTuple):
    """One way to break an invariant, and bounds within which that shows."""

    name: str
    implementation: Implementation
    bounds: Bounds


MUTANTS = (
    Mutant("says a vote before it is on disk", Implementation(delayed_write=True), Bounds("", restarts=1)),
    Mutant("votes without memory at once", Implementation(no_recovery=True), Bounds("", losses=1)),
    Mutant(
        "ignores incarnations when it counts promises",
        Implementation(proposer=IgnoresPromiseIncarnations),
        Bounds("", losses=1),
    ),
    Mutant(
        "ignores incarnations when it counts acceptances",
        Implementation(proposer=IgnoresAcceptorIncarnations),
        Bounds("", (1, 0), losses=1),
    ),
    Mutant(
        "gives notice too late",
        Implementation(),
        Bounds("", (1, 0), steps=3, reads=True, times=ShortNotice()),
    ),
    Mutant(
        "ends by the last ballot",
        Implementation(EndsAtLastActivation),
        Bounds("", (2, 0), steps=2, reads=True),
    ),
    Mutant(
        "counts a lease from the answer",
        Implementation(fresh_from_reply=True),
        Bounds("", (1, 0), steps=2, reads=True, late=1),
    ),
    Mutant(
        "begins by a ballot that is not chosen", Implementation(StartsAtAnyActivation), Bounds("", steps=1)
    ),
    Mutant("overlooks votes in the first phase", Implementation(proposer=IgnoresAcceptedValues), Bounds("")),
)

QUICK = (
    Bounds("two changes"),
    Bounds("a change, and a voter that loses its memory twice", (1, 0), losses=2),
    Bounds("two ballots, and a voter that starts anew", (2, 0), restarts=1, duplicates=1),
    Bounds("a change and its lease", (1, 0), steps=2, reads=True),
)
DEEP = (
    *QUICK,
    Bounds("two changes, and a voter that loses its memory", losses=1),
    Bounds("two changes, a voter that starts anew, and a message that comes twice", restarts=1, duplicates=1),
    Bounds("two changes, voters read from one another", looks=True),
    Bounds("a change and its lease, longer", (1, 0), steps=3, reads=True),
    Bounds("three ballots", (2, 1)),
    Bounds("two changes and a lease", steps=3, reads=True),
    Bounds("a change, answers that come late", (1, 0), steps=3, reads=True, late=1),
    Bounds("a change, a lease, and a voter that starts anew", (1, 0), restarts=1, steps=3, reads=True),
    Bounds("a change, a lease, and a voter that loses its memory", (1, 0), losses=1, steps=3, reads=True),
)


class Explored(NamedTuple):
    """The result of an exploration."""

    states: int
    moves: int
    seconds: float
    all: bool  # every state within the bounds has been seen
    broken: str = ""
    trace: tuple[str, ...] = ()


def explore(bounds: Bounds, implementation: Implementation = PROGRAM, most: int = 10**9) -> Explored:
    """Explore breadth first, until an invariant breaks or `most` states have been seen."""
    model = Model(bounds, implementation)
    began = time.perf_counter()
    first = model.first()
    came: dict[State, tuple[State, str] | None] = {first: None}
    queue, moves = deque([first]), 0
    while queue:
        state = queue.popleft()
        for word, move in model.moves(state):
            moves += 1
            try:
                after = model.trimmed(move())
                if after in came:
                    continue
                model.judge(after)
            except InvariantError as found:
                return Explored(
                    len(came),
                    moves,
                    time.perf_counter() - began,
                    False,
                    str(found),
                    (*_trace(came, state), word),
                )
            came[after] = state, word
            queue.append(after)
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
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--deep", action="store_true", help="wider bounds, for minutes")
    parser.add_argument("--mutants", action="store_true", help="the mutants, which must be found")
    parser.add_argument("--most", type=int, default=10**9, help="states of one exploration")
    parser.add_argument("--only", default="", help="explorations whose name has this in it")
    arguments = parser.parse_args()
    broken = False
    for mutant in MUTANTS if arguments.mutants else ():
        found = explore(mutant.bounds, mutant.implementation, arguments.most)
        print(
            f"{mutant.name}: {found.broken or 'NOT FOUND'}, {found.states} states, {found.seconds:.1f} s",
            flush=True,
        )
        broken |= not found.broken
    if arguments.mutants:
        return int(broken)
    for bounds in DEEP if arguments.deep else QUICK:
        if arguments.only not in bounds.name:
            continue
        found = explore(bounds, most=arguments.most)
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
