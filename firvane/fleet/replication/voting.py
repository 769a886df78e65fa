"""The voter's side of elections: pre-votes and votes."""

from __future__ import annotations

from firvane.core.address import Address
from firvane.fleet.replication.core import Core
from firvane.fleet.replication.messages import PreVote, PreVoteReply, Vote, VoteReply
from firvane.fleet.replication.types import NO_INCARNATION, Member

PRE_VOTE_RESERVATION_S = 0.100  # for which pre-votes go to one candidate only, to avoid split votes


class Voter:
    """Replies to pre-vote and vote requests.

    `abstain_until`: a restarted replica may have acknowledged a leader's lease in its previous process, and
    must not vote until that lease has expired.
    """

    def __init__(self, core: Core, abstain_until: float) -> None:
        self.core = core
        self.abstain_until = abstain_until
        self.leader_seen_at = float("-inf")  # the time of the last message from a leader
        self._reserved_for = NO_INCARNATION
        self._reserved_until = float("-inf")

    def follows_leader(self, now: float) -> bool:
        """Whether a leader's lease may still depend on this replica."""
        lease_vote_until = max(
            self.abstain_until, self.leader_seen_at + self.core.timing.election_timeout_min_s
        )
        return now < lease_vote_until

    def reserve(self, incarnation: int, now: float) -> bool:
        """Reserve the next pre-votes for one candidate; returns False if they are reserved for another."""
        if now < self._reserved_until and self._reserved_for != incarnation:
            return False
        self._reserved_for = incarnation
        self._reserved_until = now + PRE_VOTE_RESERVATION_S
        return True

    def release(self) -> None:
        """End the reservation of pre-votes."""
        self._reserved_for = NO_INCARNATION
        self._reserved_until = float("-inf")

    def on_pre_vote(self, sender: Member, request: PreVote, leader: Address | None, now: float) -> None:
        """Reply whether a vote would be granted."""
        core = self.core
        granted = (
            request.term > core.term
            and not self.follows_leader(now)
            and not core.disk_fault(now)
            and core.is_up_to_date(request.last_index, request.last_term)
            and self.reserve(sender.incarnation, now)
        )
        core.send(sender, PreVoteReply(core.term, request.term, granted, leader))

    def on_vote(self, sender: Member, request: Vote, now: float) -> bool:
        """Reply to a vote request of the current term once the vote is synced; returns whether granted."""
        core = self.core
        may_grant = core.hard_state.vote in (NO_INCARNATION, sender.incarnation)
        granted = may_grant and core.is_up_to_date(request.last_index, request.last_term)
        if granted and core.hard_state.vote == NO_INCARNATION:
            core.adopt(core.term, sender.incarnation, now)
        core.send_when_synced(sender, VoteReply(core.term, granted))
        return granted
