"""Orders of events that hardly come up by chance, each of which once broke a promise."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from msgspec.structs import replace

from firvane.proxy.policy_text import digest_of
from firvane.proxy.quorum.acceptor import Acceptor, recover_state
from firvane.proxy.quorum.events import Abort, FetchText, Propose, Tick
from firvane.proxy.quorum.member import Member
from firvane.proxy.quorum.messages import Accept, Accepted, LeaseReply, Promise, decode
from firvane.proxy.quorum.proposer import Proposer
from firvane.proxy.quorum.types import (
    NO_PROPOSAL_NUMBER,
    ProposalNumber,
    ProposalOutcome,
    Timing,
    Value,
    VoterState,
)
from tests.proxy.quorum.world import World

BASE = Value(1, digest_of(b"base"), (0, 1, 2, 3, 4))
ONE, OTHER = (Value(2, digest_of(text), BASE.voters) for text in (b"one", b"other"))


class OneNonce(Member):
    """The ballots of all its changes go by one nonce."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        new_proposer = self.state.new_proposer

        def of_one_nonce(value: Value, now: float) -> Proposer:
            proposer = new_proposer(value, now)
            proposer.nonce, proposer.highest_term = 7, 0
            return proposer

        self.state.new_proposer = of_one_nonce  # type: ignore[method-assign]


class Again(World):
    """What answered the learner's first change comes again in its second, of which voters hear nothing."""

    def __init__(self, make: type[Member]) -> None:
        super().__init__(1, (), [(3.0, 6, 0.0), (8.0, 6, 0.0)], make)
        self.yes: list[tuple[int, bytes]] = []

    def send(self, sender: int, receiver: int, payload: bytes) -> None:
        said = decode(payload)
        if isinstance(said, Accept) and said.value[0] == 3:
            for voter, yes in self.yes:
                self.at(self.now + 0.01, self.deliver, voter, sender, yes)
            return
        if isinstance(said, Accepted):
            self.yes.append((sender, payload))
        super().send(sender, receiver, payload)

    def check_settled(self) -> None:
        """It goes on to its end."""


@pytest.mark.parametrize("make", [Member, OneNonce])
def test_answers_to_an_earlier_change_do_not_count_for_a_later_one(make: type[Member]) -> None:
    world = Again(make)
    world.config = type(world.config)(proxies=7, seed=1, seconds=12.0, times=world.times)
    world.run()
    learner = world.nodes[6].member
    assert learner and learner.state.history[2].digest == digest_of(b"0") and world.yes
    assert (3 in learner.state.history) == (make is OneNonce)


def test_an_abort_of_what_is_in_force_leaves_it_and_the_next_change_alone() -> None:
    world = World(2, (), [(3.0, 6, 0.0)])
    first, second = digest_of(b"0"), digest_of(b"next")
    told: list[ProposalOutcome] = []

    def meddle() -> None:
        node = world.nodes[6]
        assert node.member and node.member.serving
        if node.member.serving.epoch < 2:
            world.at(world.now + 0.01, meddle)
            return
        world.text(node, second)
        for event in (Propose(second), Abort(first)):
            world.give(node, event)
        told.extend(node.member.outcome(digest)[0] for digest in (first, second))
        told.append(ProposalOutcome.OPEN if node.member.state.readiness else ProposalOutcome.FAILED)

    world.at(3.5, meddle)
    world.run()
    assert told == [ProposalOutcome.OPEN] * 3


def test_no_proxy_says_in_force_before_it_is() -> None:
    world = World(2, (), [(1.5, 6, 0.0)])
    said: dict[int, set[tuple[ProposalOutcome, int]]] = {proxy: set() for proxy in range(7)}

    def ask() -> None:
        for node in world.nodes:
            if node.member and node.member.serving:
                outcome = node.member.outcome(digest_of(b"0"))[0]
                said[node.number].add((outcome, node.member.serving.epoch))
        world.at(world.now + 0.02, ask)

    world.at(2.0, ask)
    world.run()
    for seen in said.values():
        assert (ProposalOutcome.IN_FORCE, 2) in seen and (ProposalOutcome.IN_FORCE, 1) not in seen


def without_incarnations(voter: int, message: Promise) -> Promise:
    """The same message without known incarnations."""
    return replace(message, known_incarnations=())


@pytest.mark.parametrize("ignores", [False, True])
def test_a_promise_of_a_life_that_is_over_makes_no_quorum(ignores: bool) -> None:
    """Voter 0 promises a ballot, loses its memory and is told where things stand by 1, 3 and 4; then a lower
    ballot is chosen by 0, 3 and 4, and the higher one has promises of 0, 1 and 2, in that order."""
    times = Timing()
    held = [
        Acceptor(me, times, VoterState(0, BASE, True, NO_PROPOSAL_NUMBER, None, ()), 0.0)
        for me in BASE.voters
    ]
    low, high = (Proposer(me, me, times, BASE, value, Random(1), 0.0) for me, value in ((5, ONE), (6, OTHER)))
    to_low, to_high = dict(low.step(0.0)), dict(high.step(0.0))

    def promise(who: Proposer, voter: int) -> list[tuple[int, Accept]]:
        answer = held[voter].prepare((to_low if who is low else to_high)[voter], 0.0)
        assert answer and answer.granted
        return who.on_promise(voter, without_incarnations(voter, answer) if ignores else answer, 0.0)

    def accept(said: list[tuple[int, Accept]], voter: int) -> bool:
        answer = dict(said).get(voter)
        yes = held[voter].accept(answer, 0.0) if answer else None
        return bool(yes and yes.granted)

    promise(high, 0)
    for voter in (1, 3, 4):
        held[voter].note_incarnation(0, 1)
    states = [
        LeaseReply(
            nonce=0,
            age_s=0.0,
            has_state=True,
            decided=BASE,
            activated=True,
            previous_end_s=None,
            start_s=None,
            promised=held[voter].state.promised,
            accepted=None,
            incarnation=0,
            known_incarnations=held[voter].state.known_incarnations,
            candidate=None,
        )
        for voter in (1, 3, 4)
    ]
    held[0] = Acceptor(0, times, recover_state(0, 1, states), 0.0)
    said = [out for voter in (0, 3, 4) for out in promise(low, voter)]
    assert all(accept(said, voter) for voter in (0, 3, 4))  # the lower ballot is chosen
    later = [out for voter in (1, 2) for out in promise(high, voter)]
    assert bool(later) == ignores
    assert accept(later, 2) == ignores  # a vote for another value, above the one that is chosen


def test_the_text_of_a_vote_that_was_told_after_a_loss_of_memory_is_fetched() -> None:
    vote = (ProposalNumber(1, 1, 1), ONE)
    member = Member(
        0,
        5,
        BASE.voters,
        Timing(),
        1,
        0.0,
        VoterState(1, BASE, True, vote[0], vote, ()),
        usable_texts=[BASE.digest],
    )
    wanted = [action for action in member.handle(Tick(), 1.0) if isinstance(action, FetchText)]
    assert wanted == [FetchText(ONE.digest, (1, 2, 3, 4))]
