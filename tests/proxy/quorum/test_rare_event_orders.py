"""Regression tests for rare orders of events, each of which once violated a guarantee."""

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
from tests.proxy.quorum.fault_simulation import FaultSimulation

BASE = Value(1, digest_of(b"base"), (0, 1, 2, 3, 4))
ONE, OTHER = (Value(2, digest_of(text), BASE.voters) for text in (b"one", b"other"))


class SharedNonceMember(Member):
    """Mutant: all its proposals use the same nonce."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        new_proposer = self.state.new_proposer

        def with_shared_nonce(value: Value, now: float) -> Proposer:
            proposer = new_proposer(value, now)
            proposer.nonce, proposer.highest_term = 7, 0
            return proposer

        self.state.new_proposer = with_shared_nonce  # type: ignore[method-assign]


class ReplayedReplies(FaultSimulation):
    """Drops each `Accept` of the second proposal, and replays the replies to the first one instead."""

    def __init__(self, make: type[Member]) -> None:
        super().__init__(1, (), [(3.0, 6, 0.0), (8.0, 6, 0.0)], make)
        self.accepted: list[tuple[int, bytes]] = []

    def send(self, sender: int, receiver: int, payload: bytes) -> None:
        message = decode(payload)
        if isinstance(message, Accept) and message.value[0] == 3:
            for voter, reply in self.accepted:
                self.at(self.now + 0.01, self.deliver, voter, sender, reply)
            return
        if isinstance(message, Accepted):
            self.accepted.append((sender, payload))
        super().send(sender, receiver, payload)

    def check_settled(self) -> None:
        """Run until the configured end."""


@pytest.mark.parametrize("make", [Member, SharedNonceMember])
def test_replies_to_an_earlier_proposal_do_not_count_for_a_later_one(make: type[Member]) -> None:
    simulation = ReplayedReplies(make)
    simulation.config = type(simulation.config)(proxies=7, seed=1, seconds=12.0, times=simulation.times)
    simulation.run()
    non_voter = simulation.nodes[6].member
    assert non_voter and non_voter.state.history[2].digest == digest_of(b"0") and simulation.accepted
    assert (3 in non_voter.state.history) == (make is SharedNonceMember)


def test_abort_of_the_policy_in_force_does_not_affect_it_or_the_next_change() -> None:
    simulation = FaultSimulation(2, (), [(3.0, 6, 0.0)])
    first, second = digest_of(b"0"), digest_of(b"next")
    outcomes: list[ProposalOutcome] = []

    def propose_and_abort() -> None:
        node = simulation.nodes[6]
        assert node.member and node.member.serving
        if node.member.serving.epoch < 2:
            simulation.at(simulation.now + 0.01, propose_and_abort)
            return
        simulation.text(node, second)
        for event in (Propose(second), Abort(first)):
            simulation.give(node, event)
        outcomes.extend(node.member.outcome(digest)[0] for digest in (first, second))
        outcomes.append(ProposalOutcome.OPEN if node.member.state.readiness else ProposalOutcome.FAILED)

    simulation.at(3.5, propose_and_abort)
    simulation.run()
    assert outcomes == [ProposalOutcome.OPEN] * 3


def test_no_proxy_reports_in_force_before_the_activation() -> None:
    simulation = FaultSimulation(2, (), [(1.5, 6, 0.0)])
    reported: dict[int, set[tuple[ProposalOutcome, int]]] = {proxy: set() for proxy in range(7)}

    def poll_outcomes() -> None:
        for node in simulation.nodes:
            if node.member and node.member.serving:
                outcome = node.member.outcome(digest_of(b"0"))[0]
                reported[node.number].add((outcome, node.member.serving.epoch))
        simulation.at(simulation.now + 0.02, poll_outcomes)

    simulation.at(2.0, poll_outcomes)
    simulation.run()
    for outcomes in reported.values():
        assert (ProposalOutcome.IN_FORCE, 2) in outcomes and (ProposalOutcome.IN_FORCE, 1) not in outcomes


def without_incarnations(voter: int, message: Promise) -> Promise:
    """Mutant: drop the known incarnations from a promise."""
    return replace(message, known_incarnations=())


@pytest.mark.parametrize("ignores", [False, True])
def test_promise_of_a_superseded_incarnation_does_not_count(ignores: bool) -> None:
    """Voter 0 promises the higher proposal, loses its state and recovers it from voters 1, 3 and 4.

    Then voters 0, 3 and 4 choose the lower proposal, and voters 1 and 2 promise the higher one: with the
    outdated promise of voter 0 it would have a majority for another value.
    """
    times = Timing()
    acceptors = [
        Acceptor(me, times, VoterState(0, BASE, True, NO_PROPOSAL_NUMBER, None, ()), 0.0)
        for me in BASE.voters
    ]
    low, high = (Proposer(me, me, times, BASE, value, Random(1), 0.0) for me, value in ((5, ONE), (6, OTHER)))
    to_low, to_high = dict(low.step(0.0)), dict(high.step(0.0))

    def promise(proposer: Proposer, voter: int) -> list[tuple[int, Accept]]:
        answer = acceptors[voter].prepare((to_low if proposer is low else to_high)[voter], 0.0)
        assert answer and answer.granted
        return proposer.on_promise(voter, without_incarnations(voter, answer) if ignores else answer, 0.0)

    def accept(messages: list[tuple[int, Accept]], voter: int) -> bool:
        answer = dict(messages).get(voter)
        reply = acceptors[voter].accept(answer, 0.0) if answer else None
        return bool(reply and reply.granted)

    promise(high, 0)
    for voter in (1, 3, 4):
        acceptors[voter].note_incarnation(0, 1)
    states = [
        LeaseReply(
            nonce=0,
            age_s=0.0,
            has_state=True,
            decided=BASE,
            activated=True,
            previous_end_s=None,
            start_s=None,
            promised=acceptors[voter].state.promised,
            accepted=None,
            incarnation=0,
            known_incarnations=acceptors[voter].state.known_incarnations,
            candidate=None,
        )
        for voter in (1, 3, 4)
    ]
    acceptors[0] = Acceptor(0, times, recover_state(0, 1, states), 0.0)
    low_messages = [out for voter in (0, 3, 4) for out in promise(low, voter)]
    assert all(accept(low_messages, voter) for voter in (0, 3, 4))  # the lower proposal is chosen
    high_messages = [out for voter in (1, 2) for out in promise(high, voter)]
    assert bool(high_messages) == ignores
    assert accept(high_messages, 2) == ignores  # an acceptance of another value than the chosen one


def test_text_of_a_recovered_acceptance_is_fetched() -> None:
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
    fetches = [action for action in member.handle(Tick(), 1.0) if isinstance(action, FetchText)]
    assert fetches == [FetchText(ONE.digest, (1, 2, 3, 4))]
