"""The candidate's side of elections: a pre-vote, which changes no state, then a vote in a new term."""

from __future__ import annotations

import enum

from firvane.fleet.replication.core import Core
from firvane.fleet.replication.messages import Message, PreVote, PreVoteReply, Vote, VoteReply
from firvane.fleet.replication.types import Member


class Phase(enum.Enum):
    """The phase of a candidacy."""

    PRE_VOTE = 1
    VOTE = 2


class Candidacy:
    """One attempt to be elected, abandoned at `deadline`."""

    def __init__(self, core: Core, phase: Phase, transfer: bool, now: float) -> None:
        self.core = core
        self.phase = phase
        self.granted: set[int] = set()
        timing = core.timing
        if phase is Phase.PRE_VOTE:
            self.term = core.term + 1
            self.deadline = now + core.uniform(timing.pre_vote_timeout_min_s, timing.pre_vote_timeout_max_s)
            self.granted.add(core.identity.incarnation)
            self._request(PreVote(self.term, core.log.last_index, core.log.last_term))
        else:
            self.term = core.term + 1
            self.deadline = now + core.uniform(timing.vote_timeout_min_s, timing.vote_timeout_max_s)
            core.adopt(self.term, core.identity.incarnation, now)
            self._own_vote_write = core.writes.sequence
            self._request(Vote(self.term, core.log.last_index, core.log.last_term, transfer))

    def _request(self, request: Message) -> None:
        for member in self.core.log.members:
            if member != self.core.identity:
                self.core.send(member, request)

    def on_pre_vote_reply(self, sender: Member, reply: PreVoteReply) -> None:
        """Count a granted pre-vote."""
        if self.phase is Phase.PRE_VOTE and reply.granted and reply.proposed == self.term:
            self.granted.add(sender.incarnation)

    def on_vote_reply(self, sender: Member, reply: VoteReply) -> None:
        """Count a granted vote."""
        if self.phase is Phase.VOTE and reply.granted and reply.term == self.term:
            self.granted.add(sender.incarnation)

    def on_synced(self) -> None:
        """Count this replica's own vote once it is synced."""
        if self.phase is Phase.VOTE and self.core.writes.synced_sequence >= self._own_vote_write:
            self.granted.add(self.core.identity.incarnation)

    @property
    def won(self) -> bool:
        """Whether a majority of the voters has granted the vote, including this replica's own synced vote."""
        votes = sum(member.incarnation in self.granted for member in self.core.log.members)
        has_own_vote = self.core.identity.incarnation in self.granted
        return has_own_vote and votes >= self.core.quorum
