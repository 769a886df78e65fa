"""Recovery of a voter that has lost its state.

The voter first reads the latest known incarnation of itself from the other voters, then requests their state
with the next incarnation. It votes once a majority of the other voters has replied to both requests and the
recovered state is on disk.
"""

from __future__ import annotations

from firvane.proxy.quorum.acceptor import Acceptor, latest_incarnations, recover_state
from firvane.proxy.quorum.member_state import MemberState
from firvane.proxy.quorum.messages import LeaseReply
from firvane.proxy.quorum.outbox import Outbox


class VoterRecovery:
    """Recovers the state of one proxy; does nothing if the proxy has its state."""

    def __init__(self, state: MemberState, outbox: Outbox) -> None:
        self.state = state
        self.outbox = outbox

    def step(self, now: float) -> None:
        """Advance the recovery by the replies received so far; write the state once it is recovered."""
        state = self.state
        if state.acceptor is not None or state.recovered_acceptor is not None:
            return
        replies = self._replies_of_voters()
        if len(replies) < state.quorum:
            return
        known = latest_incarnations(reply.known_incarnations for reply in replies.values())
        latest = known.get(state.me, 0)
        if not state.new_incarnation or latest > state.new_incarnation:  # or a later incarnation became known
            state.new_incarnation = latest + 1
            state.replies.clear()  # from now on, only replies of voters that know this incarnation count
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
        """Return the replies of voters that know a decided value."""
        state = self.state
        return {
            voter: reply for voter, reply in state.replies.items() if voter in state.voters and reply.decided
        }

    def _knows_incarnation(self, reply: LeaseReply) -> bool:
        """Return whether the reply was sent with knowledge of the new incarnation of this voter."""
        return dict(reply.known_incarnations).get(self.state.me) == self.state.new_incarnation
