"""Questions to voters and answers to them, by which leases are renewed.

Rules that hold here and nowhere else:

1. A voter asks all other voters, any other proxy one, four times a lease; who gave no answer in time is
   passed over for the next one.
2. What a voter answers is all that it knows, from its own votes and from what other voters have told it,
   since the age that it tells with it covers all of that.
"""

from __future__ import annotations

from math import inf

from firvane.proxy.quorum.gathering import bits
from firvane.proxy.quorum.leases import majority_read
from firvane.proxy.quorum.member_state import MemberState
from firvane.proxy.quorum.messages import Ask, Here, Told, Who
from firvane.proxy.quorum.outbox import Outbox
from firvane.proxy.quorum.types import MOST_VOTERS, NO_BALLOT


class LeaseRenewal:
    """The questions and answers of one proxy."""

    def __init__(self, state: MemberState, outbox: Outbox, now: float) -> None:
        self.state, self.outbox = state, outbox
        self.turn = state.dice.randrange(MOST_VOTERS)  # which voter is asked
        self.ask_at = now + state.dice.uniform(0, state.times.trip / 4)
        self.asked_at = -inf
        self.sent: dict[int, float] = {}  # by voter: when the question went out that it answered last

    def due(self, now: float) -> bool:
        """Whether to ask now: a round is due, or the one proxy that was asked stays silent."""
        state = self.state
        unanswered = state.lease.told < self.asked_at <= now - 2 * state.times.trip
        return now >= self.ask_at or (unanswered and not state.is_voter)

    def ask(self, now: float) -> None:
        """Ask all other voters, or one where this proxy is none."""
        state = self.state
        self.ask_at = now + state.times.ask
        state.asked = {n: (v, at) for n, (v, at) in state.asked.items() if now - at < state.times.lease}
        others = [voter for voter in state.voters if voter != state.me]
        if not state.is_voter and others:
            if state.lease.told < self.asked_at:
                self.turn += 1  # the last one asked has not answered
            others = [others[self.turn % len(others)]]
        self.asked_at = now
        for voter in others:
            nonce = state.nonce(voter, now)
            life = state.life if state.votes is None and state.is_voter else 0
            self.outbox.send(voter, Ask(nonce=nonce, incarnation=life, deaf=self._is_deaf(now)), now)
        if not others:  # the only voter
            self._renew(now)

    def _is_deaf(self, now: float) -> bool:
        """Whether what it asks is in vain: where the way is lost one way, it is heard and hears nothing."""
        return now >= max(self.state.lease.fresh, self.state.start) + self.state.times.lease

    def _renew(self, now: float) -> None:
        """Renew the lease of a voter by what the others have answered."""
        state = self.state
        has_votes = state.votes is not None
        state.lease.renew(majority_read(self.sent, state.voters, state.me, has_votes, now))

    # Answers that are given

    def answer(self, asker: int, message: Ask, now: float) -> None:
        """Tell all that is known here, once it is on disk."""
        state = self.state
        if not state.is_voter:
            return
        if not message.deaf:
            state.last_asked[asker] = now
        votes = state.votes
        if votes and message.incarnation:
            votes.note(asker, message.incarnation)
        self._renew(now)
        self.outbox.reply(asker, lambda at: make_answer(state, message.nonce, at), now)

    def answer_who(self, asker: int, message: Who, now: float) -> None:
        """Tell which proxies have asked here within a lease."""
        state = self.state
        of_late = [proxy for proxy, at in state.last_asked.items() if now - at <= state.times.lease]
        asked = bits([*of_late, state.me], state.proxies)
        here = Here(nonce=message.nonce, since=now - state.start, bits=asked)
        self.outbox.reply(asker, lambda _: here, now)

    # Answers that come

    def receive(self, voter: int, told: Told, now: float) -> bool:
        """A voter's answer; whether it was to a question of this proxy."""
        state = self.state
        sent = state.asked_at(told.nonce, voter)
        if sent is None:
            return False
        counts = state.lease.counts(told, sent, now)
        if state.lease.hear(told, sent, now) and state.lease.decided:
            state.remember(state.lease.decided)
        if state.is_voter:
            if told.votes:
                if counts:
                    self.sent[voter] = max(sent, self.sent.get(voter, -inf))
                state.answers[voter] = told
            self._renew(now)
        elif counts and told.age >= 0:
            state.lease.renew(sent - told.age * (1 + state.times.skew))
        return True


def make_answer(state: MemberState, nonce: int, now: float) -> Told:
    """All that is known here, as an answer to the question of that nonce."""
    votes, lease = state.votes, state.lease
    decided, settled, ends, begins = lease.decided, True, None, None
    if decided:
        window = lease.windows.get(decided.epoch)
        settled = window is None or window.begins == -inf
        coming = lease.windows.get(decided.epoch + 1) if settled else window
        ends = coming.ends - now if coming and coming.ends < inf else None
        begins = window.begins - now if not settled and window and window.begins < inf else None
    said = votes.said if votes else None
    same = said is not None and said.decided == decided
    candidate = state.candidate[:2] if state.candidate and now < state.candidate[2] else None
    return Told(
        nonce=nonce, age=now - lease.fresh if lease.fresh > -inf else -1.0, votes=votes is not None,
        decided=decided, settled=settled, ends=ends, begins=begins,
        promised=said.promised if said else NO_BALLOT, accepted=said.accepted if said and same else None,
        incarnation=said.incarnation if said else 0, lives=said.met if said else (), candidate=candidate,
    )  # fmt: skip
