"""Voting of one proxy: replies to proposers, detection of chosen values, and completion of abandoned votes.

If its proposer does not complete a vote, any voter that has accepted it does, each after a random delay.
"""

from __future__ import annotations

from math import inf

from firvane.proxy.quorum.acceptor import Acceptor, find_chosen
from firvane.proxy.quorum.member_state import MemberState
from firvane.proxy.quorum.messages import Accept, Prepare
from firvane.proxy.quorum.outbox import Outbox
from firvane.proxy.quorum.proposer import Proposer
from firvane.proxy.quorum.renewal import make_reply
from firvane.proxy.quorum.types import Value

COMPLETION_DELAY_LEASES = (
    0.5,
    1.5,
)  # bounds of the random delay, in lease durations; random so that voters rarely compete


class Voting:
    """The votes of one proxy."""

    def __init__(self, state: MemberState, outbox: Outbox) -> None:
        self.state = state
        self.outbox = outbox
        self.complete_at = -inf  # when to complete a vote that is still incomplete by then

    def step(self, now: float) -> None:
        """Mark passed activations, detect chosen values, and start to complete an abandoned vote."""
        state, acceptor = self.state, self.state.acceptor
        if acceptor is None:
            return
        if acceptor.is_activation_over(now):
            acceptor.mark_activated()
        decided = acceptor.state.decided
        replies = {voter: reply for voter, reply in state.replies.items() if reply.decided == decided}
        replies[state.me] = make_reply(state, 0, now)
        if vote := find_chosen(replies, decided.voters, decided.quorum):
            acceptor.learn_chosen(*vote, None, now)
        value = self._incomplete_value(acceptor, now)
        if value is None:
            self.complete_at = -inf
        elif self.complete_at == -inf:
            self.complete_at = now + state.timing.lease_s * state.rng.uniform(*COMPLETION_DELAY_LEASES)
        elif now >= self.complete_at and state.proposer is None:
            state.proposer = state.new_proposer(value, now)
            state.log("policy_vote_resumed", epoch=value.epoch, digest=value.digest.hex())

    def _incomplete_value(self, acceptor: Acceptor, now: float) -> Value | None:
        """Return the value that completes an incomplete vote for the next epoch; None if there is none.

        The value is that of the accepted proposal. A voter that failed to write its acceptance leaves only an
        end of the current epoch: then the current policy is proposed again as a new epoch.
        """
        state, persisted = acceptor.state, acceptor.persisted
        if not state.activated or persisted.decided != state.decided:
            return None
        if persisted.accepted:
            return persisted.accepted[1]
        window = self.state.lease.windows.get(state.decided.epoch + 1)
        if window is None or now < window.previous_end:
            return None
        return state.decided._replace(epoch=state.decided.epoch + 1)

    # Proposals of other proxies

    def on_prepare(self, proposer: int, message: Prepare, acceptor: Acceptor, now: float) -> None:
        """Reply to phase 1 of a proposal."""
        if promise := acceptor.prepare(message, now):
            self.outbox.reply(proposer, lambda _: promise, now)

    def on_accept(self, proposer: int, message: Accept, acceptor: Acceptor, now: float) -> bool:
        """Reply to phase 2 of a proposal; return False if it is ignored.

        It is ignored if its text is not usable here or `Acceptor.accept` returns None.
        """
        usable = self.state.text_errors.get(message.value[1]) == ""
        accepted = acceptor.accept(message, now) if usable else None
        if accepted is None:
            return False
        self.outbox.reply(proposer, lambda _: accepted, now)
        return True

    # Own proposals

    def on_chosen(self, proposer: Proposer, now: float) -> None:
        """Announce and record a value of this proxy's proposer that a majority has accepted."""
        assert proposer.value
        self.outbox.send_all(proposer.learn_messages(), now)
        self.state.learn(proposer.value, False)
        window = self.state.lease.window(proposer.value.epoch)
        window.previous_end = min(window.previous_end, proposer.activate_at)
        window.start = min(window.start, proposer.activate_at)
