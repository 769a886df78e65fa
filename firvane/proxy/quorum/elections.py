"""What follows from the votes that are known: epochs chosen, votes finished, a voter's memory regained.

Rules that hold here and nowhere else:

1. A vote that nobody finishes is finished by a voter that has it, each after a while of its own.
2. A voter without memory asks twice: for the newest life of it that is known, and with the next one for where
   things stand. It votes once a majority of the others has answered both, and that is on disk.
"""

from __future__ import annotations

from math import inf

from firvane.proxy.quorum.ballots import Ballots
from firvane.proxy.quorum.member_state import MemberState
from firvane.proxy.quorum.messages import Accept, Prepare, Told
from firvane.proxy.quorum.outbox import Outbox
from firvane.proxy.quorum.renewal import make_answer
from firvane.proxy.quorum.types import Value
from firvane.proxy.quorum.votes import Votes, majority, newest, recovered


class Elections:
    """The votes of one proxy, and those that others have told it of."""

    def __init__(self, state: MemberState, outbox: Outbox) -> None:
        self.state, self.outbox = state, outbox
        self.finish_at = -inf  # when to finish a vote that nobody else has finished by then

    def step(self, now: float) -> None:
        """What is due by now."""
        state, votes = self.state, self.state.votes
        if votes is None:
            return
        if votes.due(now):
            votes.settle()
        answers = {voter: told for voter, told in state.answers.items() if told.decided == votes.kept.decided}
        answers[state.me] = make_answer(state, 0, now)
        if vote := majority(answers, votes.kept.decided.voters, votes.kept.decided.quorum):
            votes.chosen(*vote, None, now)
        value = self._unfinished(votes, now)
        if value is None:
            self.finish_at = -inf
        elif self.finish_at == -inf:
            self.finish_at = now + state.times.lease * state.dice.uniform(0.5, 1.5)
        elif now >= self.finish_at and state.ballots is None:
            state.ballots = state.new_ballots(value, now)
            state.note("policy_finishes", epoch=value.epoch, digest=value.digest.hex())

    def _unfinished(self, votes: Votes, now: float) -> Value | None:
        """What has been begun for the next epoch, and perhaps nobody will end: a vote, or an end alone,
        which a voter leaves that could not write its vote. Then the policy stays, under another number."""
        kept, said = votes.kept, votes.said
        if not kept.settled or said.decided != kept.decided:
            return None
        if said.accepted:
            return said.accepted[1]
        window = self.state.lease.windows.get(kept.decided.epoch + 1)
        if window is None or now < window.ends:
            return None
        return kept.decided._replace(epoch=kept.decided.epoch + 1)

    # Ballots of others

    def prepare(self, proposer: int, message: Prepare, votes: Votes, now: float) -> None:
        """Answer the first phase of a ballot."""
        if promise := votes.prepare(message, now):
            self.outbox.reply(proposer, lambda _: promise, now)

    def accept(self, proposer: int, message: Accept, votes: Votes, now: float) -> bool:
        """Answer the second phase of a ballot; whether there was an answer to give."""
        usable = self.state.texts.get(message.value[1]) == ""
        accepted = votes.accept(message, now) if usable else None
        if accepted is None:
            return False
        self.outbox.reply(proposer, lambda _: accepted, now)
        return True

    # Ballots of its own

    def chosen(self, ballots: Ballots, now: float) -> None:
        """A majority has accepted what was proposed here."""
        assert ballots.value
        self.outbox.send_all(ballots.tell(), now)
        self.state.learn(ballots.value, False)
        window = self.state.lease.window(ballots.value.epoch)
        window.ends, window.begins = min(window.ends, ballots.at), min(window.begins, ballots.at)

    # Memory

    def recover(self, now: float) -> None:
        """A voter without memory: whether a majority of the others has told it where things stand."""
        state = self.state
        if state.votes is not None or state.reborn is not None:
            return
        answers = _counted(state)
        if len(answers) < state.quorum:
            return
        newer = newest(one.lives for one in answers.values()).get(state.me, 0)
        if not state.life or newer > state.life:  # where that was begun before, with fewer of them
            state.life = newer + 1
            state.answers.clear()  # what counts now is said by who knows of this life
        elif all(_knows_life(state, one) for one in answers.values()):
            kept = recovered(state.me, state.life, answers.values())
            if kept.decided == state.lease.decided:
                state.reborn = Votes(state.me, state.times, kept, now)
                self.outbox.write(kept)
        else:
            state.answers = {voter: one for voter, one in answers.items() if _knows_life(state, one)}


def _counted(state: MemberState) -> dict[int, Told]:
    """The answers of voters that know an epoch."""
    return {voter: one for voter, one in state.answers.items() if voter in state.voters and one.decided}


def _knows_life(state: MemberState, told: Told) -> bool:
    """Whether that voter knew of the new life of this one when it answered."""
    return dict(told.lives).get(state.me) == state.life
