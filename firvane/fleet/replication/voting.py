"""A voter's side of elections: whom to promise a vote, and whom to give it."""

from __future__ import annotations

from firvane.core.address import Address
from firvane.fleet.replication.core import Core
from firvane.fleet.replication.messages import PreVote, PreVoteReply, Vote, VoteReply
from firvane.fleet.replication.types import NOBODY, Member

RESERVATION = 0.100  # seconds for which a pre-vote is promised to one candidate alone, against split votes


class Voter:
    """Answers to requests for votes.

    `abstain_until`: a replica that has started anew may have promised a lease in its last life, and
    votes for nobody until that must have run out.
    """

    def __init__(self, core: Core, abstain_until: float) -> None:
        self.core = core
        self.abstain_until = abstain_until
        self.heard_at = float("-inf")  # when a leader was last heard
        self._reserved_for = NOBODY
        self._reserved_until = float("-inf")

    def follows_leader(self, now: float) -> bool:
        """Whether a leader may still count on this replica's promise."""
        promised_until = max(self.abstain_until, self.heard_at + self.core.timing.election_minimum)
        return now < promised_until

    def reserve(self, incarnation: int, now: float) -> bool:
        """Promise the next pre-votes to one candidate; False where another has them."""
        if now < self._reserved_until and self._reserved_for != incarnation:
            return False
        self._reserved_for, self._reserved_until = incarnation, now + RESERVATION
        return True

    def release(self) -> None:
        """Forget the promise of pre-votes."""
        self._reserved_for, self._reserved_until = NOBODY, float("-inf")

    def on_pre_vote(self, sender: Member, request: PreVote, leader: Address | None, now: float) -> None:
        """Answer whether a vote would be given."""
        core = self.core
        granted = (
            request.term > core.term
            and not self.follows_leader(now)
            and not core.disk_trouble(now)
            and core.up_to_date(request.last_index, request.last_term)
            and self.reserve(sender.incarnation, now)
        )
        core.send(sender, PreVoteReply(core.term, request.term, granted, leader))

    def on_vote(self, sender: Member, request: Vote, now: float) -> bool:
        """Answer a request in the present term, once synced; True where the vote is given."""
        core = self.core
        free = core.hard_state.vote in (NOBODY, sender.incarnation)
        granted = free and core.up_to_date(request.last_index, request.last_term)
        if granted and core.hard_state.vote == NOBODY:
            core.adopt(core.term, sender.incarnation, now)
        core.send_when_synced(sender, VoteReply(core.term, granted))
        return granted
