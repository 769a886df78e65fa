"""The recovery of a voter that has lost its state.

It asks twice: for the newest incarnation of it that is known, and with the next one for the others' state. It
votes once a majority of the others has answered both, and the recovered state is on disk.
"""

from __future__ import annotations

from firvane.proxy.quorum.acceptor import Acceptor, latest_incarnations, recover_state
from firvane.proxy.quorum.member_state import MemberState
from firvane.proxy.quorum.messages import LeaseReply
from firvane.proxy.quorum.outbox import Outbox


class VoterRecovery:
    """The recovery of one proxy; it does nothing where the proxy has its state."""

    def __init__(self, state: MemberState, outbox: Outbox) -> None:
        self.state = state
        self.outbox = outbox

    def step(self, now: float) -> None:
        """Go on with the replies that have come; write the state once a majority has sent its own."""
        state = self.state
        if state.acceptor is not None or state.recovered_acceptor is not None:
            return
        replies = self._replies_of_voters()
        if len(replies) < state.quorum:
            return
        known = latest_incarnations(reply.known_incarnations for reply in replies.values())
        latest = known.get(state.me, 0)
        if not state.new_incarnation or latest > state.new_incarnation:  # begun before, with fewer of them
            state.new_incarnation = latest + 1
            state.replies.clear()  # only replies of voters that know this incarnation count from here on
        elif all(self._knows_incarnation(reply) for reply in replies.values()):
            recovered = recover_state(state.me, state.new_incarnation, replies.values())
            if recovered.decided == state.lease.decided:
                state.recovered_acceptor = Acceptor(state.me, state.timing, recovered, now)
                self.outbox.write(recovered)
        else:
            state.replies = {
                voter: reply for voter, reply in replies.items() if self._knows_incarnation(reply)
            }

    def _replies_of_voters(self) -> dict[int, LeaseReply]:
        """The replies of voters that know an epoch."""
        state = self.state
        return {
            voter: reply for voter, reply in state.replies.items() if voter in state.voters and reply.decided
        }

    def _knows_incarnation(self, reply: LeaseReply) -> bool:
        """Whether that voter knew the new incarnation of this one when it replied."""
        return dict(reply.known_incarnations).get(self.state.me) == self.state.new_incarnation
