"""Changes that are proposed here: prepared, put to the vote, withdrawn, and the outcome of each.

Invariants:

1. One change at a time is prepared: a voter keeps the first candidate until its proposer has sent nothing for
   a lease.
2. A proposal has failed where no acceptance of it was ever asked for, or another value took its epoch.
   Otherwise it is open, then unknown, until the epoch is known.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from firvane.proxy.quorum import messages
from firvane.proxy.quorum.events import SendMessage
from firvane.proxy.quorum.member_state import HISTORY_LIMIT, Candidate, MemberState
from firvane.proxy.quorum.messages import ActiveProxiesReply, ActiveProxiesRequest, CandidateOffer
from firvane.proxy.quorum.outbox import Outbox
from firvane.proxy.quorum.proposer import Phase
from firvane.proxy.quorum.readiness import ActivityReport, ReadinessCheck
from firvane.proxy.quorum.types import MAX_VOTERS, ProposalOutcome, Value

OVERDUE_LEASES = 2  # without a lease for as long, a proxy takes the voters to be out of reach


@dataclass
class Proposal:
    """A change that was proposed here, and its outcome."""

    value: Value
    outcome: ProposalOutcome = ProposalOutcome.OPEN
    reason: str = "proxies are being asked whether they are prepared"
    withdrawn: bool = False  # before an acceptance was asked for here


class Proposals:
    """The proposals of one proxy, and the candidate that it prepares for as a voter."""

    def __init__(self, state: MemberState, outbox: Outbox) -> None:
        self.state = state
        self.outbox = outbox
        self.by_digest: dict[bytes, Proposal] = {}
        self.rejected: dict[bytes, str] = {}  # why proposals were not begun here, by digest
        self.next_offer_at = -inf  # of the change that is being prepared

    # Begin

    def propose(self, digest: bytes, voters: tuple[int, ...] | None, now: float) -> None:
        """Begin a change to that text, or of the voters; None leaves these as they are."""
        state = self.state
        decided = state.lease.decided
        known = self.by_digest.get(digest)
        if known and known.outcome in (ProposalOutcome.OPEN, ProposalOutcome.UNKNOWN):
            return  # the same once more
        new_voters = tuple(sorted(set(voters))) if voters is not None else None
        value = Value(decided.epoch + 1 if decided else 0, digest, new_voters or state.voters)
        if reason := self._not_ready_reason(value, now):
            self._reject(digest, reason)
            return
        proposal = self._add(digest, value)
        if decided and decided.digest == digest and value.voters == decided.voters:
            proposal.value, proposal.reason = decided, "it was decided before"  # `update` finds the outcome
        elif reason := self._invalid_reason(value):
            proposal.outcome, proposal.reason = ProposalOutcome.FAILED, reason
        else:
            state.readiness = ReadinessCheck(
                state.me, state.timing, value, state.voters, state.quorum, now, ready={state.me}
            )
            self.next_offer_at = -inf
            state.log("policy_proposed", epoch=value.epoch, digest=digest.hex())

    def _reject(self, digest: bytes, reason: str) -> None:
        self.by_digest.pop(digest, None)
        self.rejected[digest] = reason
        if len(self.rejected) > HISTORY_LIMIT:
            del self.rejected[next(iter(self.rejected))]

    def _add(self, digest: bytes, value: Value) -> Proposal:
        proposal = Proposal(value)
        if len(self.by_digest) >= HISTORY_LIMIT:
            del self.by_digest[next(iter(self.by_digest))]
        self.by_digest.pop(digest, None)
        self.rejected.pop(digest, None)
        self.by_digest[digest] = proposal
        return proposal

    def _not_ready_reason(self, value: Value, now: float) -> str:
        """Return why nothing can be begun here now; "" where it can.

        Whether the same was begun before, by an earlier process of this proxy or elsewhere, is not known
        then, and nothing may be reported of it.
        """
        state = self.state
        if state.lease.decided is None or not state.may_serve(now):
            return "not proposed: this proxy has no lease; propose it again, here or elsewhere"
        if state.readiness or state.proposer or state.lease.next_start_at() < inf or self._has_vote(value):
            return "not proposed: another change is under way; propose it again after it"
        return ""

    def _may_have_vote(self, value: Value, now: float) -> bool:
        """Whether there may be a vote for that epoch.

        There is one, or messages that an earlier process of this proxy has sent may still be on their way.
        """
        timing = self.state.timing
        in_flight_until = (
            self.state.started_at + timing.activation_delay_s - timing.min_notice_s + timing.round_trip_s
        )
        return now < in_flight_until or self._has_vote(value)

    def _has_vote(self, value: Value) -> bool:
        window = self.state.lease.windows.get(value.epoch)
        acceptor = self.state.acceptor
        has_accepted = acceptor is not None and acceptor.state.accepted is not None
        return has_accepted or (window is not None and window.previous_end < inf)

    def _invalid_reason(self, value: Value) -> str:
        """Return why it can never be proposed as it is; "" where it can."""
        state = self.state
        assert state.lease.decided
        if reason := state.text_errors.get(value.digest, "its text is not here"):
            return reason
        if len(set(value.voters) ^ set(state.lease.decided.voters)) > 1:
            return "voters change one at a time"
        are_proxies = all(0 <= voter < state.proxy_count for voter in value.voters)
        if not 1 <= len(value.voters) <= MAX_VOTERS or not are_proxies:
            return f"there are 1 to {MAX_VOTERS} voters, each a proxy's number below {state.proxy_count}"
        return ""

    # Withdraw

    def abort(self, digest: bytes, now: float) -> None:
        """Withdraw a proposal, where no voter has been asked to accept it."""
        state = self.state
        proposal = self.by_digest.get(digest)
        if proposal is None or proposal.outcome is not ProposalOutcome.OPEN:
            return
        proposer = state.proposer
        is_prepared = state.readiness is not None and state.readiness.value == proposal.value
        if is_prepared or (proposer and proposer.own_value == proposal.value and not proposer.accept_sent):
            self._withdraw(proposal, "it was aborted", now)

    def _withdraw(self, proposal: Proposal, reason: str, now: float) -> None:
        """End a proposal of which no acceptance was ever asked for here.

        So it is in force nowhere, unless a vote for its epoch shows that the same may have been begun
        elsewhere.
        """
        state = self.state
        may_have_vote = self._may_have_vote(proposal.value, now)
        proposal.outcome = ProposalOutcome.UNKNOWN if may_have_vote else ProposalOutcome.FAILED
        proposal.reason = reason
        proposal.withdrawn = True
        state.readiness = state.proposer = None
        withdrawal = messages.encode(CandidateOffer(digest=proposal.value.digest, active=False))
        state.actions += [SendMessage(voter, withdrawal) for voter in state.voters if voter != state.me]
        if state.candidate and state.candidate.digest == proposal.value.digest:
            state.candidate = None
        state.log("policy_proposal_failed", epoch=proposal.value.epoch, reason=reason)

    # Prepare

    def prepare(self, now: float) -> None:
        """Offer the change that is being prepared; put it to the vote once no proxy is awaited."""
        state, readiness = self.state, self.state.readiness
        if readiness is None:
            return
        proposal = self.by_digest[readiness.value.digest]
        if state.candidate and now < state.candidate.expires_at:
            self.note_rival(state.me, (state.candidate.digest, state.candidate.proposer))
        if reason := readiness.failure(now):
            self._withdraw(proposal, reason, now)
            return
        if now >= self.next_offer_at:
            self._offer(readiness, now)
        awaited = readiness.awaited(now)
        if awaited:
            proposal.reason = "not prepared yet: " + ", ".join(map(str, sorted(awaited)))
        if awaited is not None and not awaited and state.may_serve(now):
            state.readiness, state.proposer = None, state.new_proposer(readiness.value, now)
            proposal.reason = "the voters are asked"

    def _offer(self, readiness: ReadinessCheck, now: float) -> None:
        state = self.state
        self.next_offer_at = now + state.timing.renewal_interval_s / 2
        for voter in state.voters:
            nonce = state.add_request(voter, now)
            offer = CandidateOffer(digest=readiness.value.digest, active=True)
            self.outbox.send(voter, offer, now)
            self.outbox.send(voter, ActiveProxiesRequest(nonce=nonce), now)

    def on_active_proxies(self, voter: int, message: ActiveProxiesReply, readiness: ReadinessCheck) -> None:
        """Record which proxies have sent a voter requests of late."""
        requested_at = self.state.take_request(message.nonce, voter)
        if requested_at is not None:
            readiness.reports[voter] = ActivityReport(requested_at, message)

    def note_rival(self, voter: int, candidate: tuple[bytes, int] | None) -> None:
        """Record the digest and proposer of the candidate of a voter, while a change is prepared here."""
        readiness = self.state.readiness
        if readiness:
            readiness.rivals.pop(voter, None)
            if candidate and candidate[0] != readiness.value.digest:
                readiness.rivals[voter] = candidate[1]

    def on_candidate(self, proposer: int, message: CandidateOffer, now: float) -> bool:
        """Handle the offer of a candidate; return whether this voter prepares for it."""
        state = self.state
        if not state.is_voter:
            return False
        current = state.candidate
        is_same = current is not None and current[:2] == (message.digest, proposer)
        if not message.active:
            if is_same:
                state.candidate = None
            return False
        if current is not None and now < current.expires_at and not is_same:
            return False
        state.candidate = Candidate(message.digest, proposer, now + state.timing.lease_s)
        return True

    # Outcomes

    def update(self, now: float) -> None:
        """Work out the outcome of each proposal by now."""
        decided = self.state.lease.decided
        for proposal in self.by_digest.values():
            if proposal.outcome not in (ProposalOutcome.OPEN, ProposalOutcome.UNKNOWN) or decided is None:
                continue
            epoch = proposal.value.epoch
            if epoch <= decided.epoch:
                self._update_decided(proposal, self.state.history.get(epoch), now)
            elif proposal.withdrawn:
                if now < self.state.lease.expires_at() and not self._may_have_vote(proposal.value, now):
                    proposal.outcome = ProposalOutcome.FAILED
            else:
                self._update_undecided(proposal, now)

    def _update_undecided(self, proposal: Proposal, now: float) -> None:
        proposer = self.state.proposer
        if proposer is None or proposer.own_value != proposal.value or proposer.phase is Phase.CHOSEN:
            return
        is_backing_off = now >= proposer.next_step_at and proposer.attempts
        if is_backing_off and not proposer.accept_sent and self._is_overdue(now):
            self._withdraw(proposal, "no majority of the voters answers", now)
        elif proposer.accept_sent and self._is_overdue(now):
            proposal.outcome = ProposalOutcome.UNKNOWN
            proposal.reason = "no majority of the voters has answered yet; ask again"

    def _is_overdue(self, now: float) -> bool:
        """Whether this proxy has been without a lease for a while."""
        return now >= self.state.lease.fresh_at + OVERDUE_LEASES * self.state.timing.lease_s

    def _update_decided(self, proposal: Proposal, value: Value | None, now: float) -> None:
        state = self.state
        if value is None:
            proposal.outcome = ProposalOutcome.UNKNOWN
            proposal.reason = "its epoch passed while this proxy was away"
        elif value != proposal.value:
            proposal.outcome = ProposalOutcome.FAILED
            proposal.reason = f"another change became epoch {value.epoch}"
        else:
            window = state.lease.windows.get(value.epoch)
            if window is None or now >= window.start + state.timing.activation_tolerance_s:
                proposal.outcome, proposal.reason = ProposalOutcome.IN_FORCE, f"epoch {value.epoch}"
            else:
                proposal.reason = f"decided as epoch {value.epoch}, which begins in a moment"

    def outcome(self, digest: bytes) -> tuple[ProposalOutcome, str]:
        """Return the outcome of a proposal, as far as this proxy knows, and the reason in words."""
        proposal = self.by_digest.get(digest)
        if proposal:
            return proposal.outcome, proposal.reason
        decided = self.state.lease.decided
        if decided and decided.digest == digest:
            window = self.state.lease.windows.get(decided.epoch)
            if window is None or window.start == -inf:
                return ProposalOutcome.IN_FORCE, f"epoch {decided.epoch}"
            return ProposalOutcome.OPEN, f"decided as epoch {decided.epoch}, which begins in a moment"
        not_proposed = "it was not proposed here; ask where it was, or propose it again"
        return ProposalOutcome.UNKNOWN, self.rejected.get(digest, not_proposed)
