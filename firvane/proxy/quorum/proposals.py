"""Changes proposed at this proxy: readiness check, vote, withdrawal, and outcome.

Invariants:

1. Only one change at a time is prepared: a voter keeps its candidate until the candidate's proposer withdraws
   it or has sent no offer for `lease_s`.
2. A proposal is reported as failed only if no `Accept` for it has been sent, or another value was decided for
   its epoch. Otherwise it is open, then unknown, until the value of its epoch is known.
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

OVERDUE_LEASES = 2  # lease durations without a lease until voters count as unreachable


@dataclass
class Proposal:
    """A change proposed at this proxy, and its outcome."""

    value: Value
    outcome: ProposalOutcome = ProposalOutcome.OPEN
    reason: str = "proxies are being asked whether they are prepared"
    withdrawn: bool = False  # before this proxy sent an `Accept` for it


class Proposals:
    """The proposals of one proxy; as a voter, also its candidate."""

    def __init__(self, state: MemberState, outbox: Outbox) -> None:
        self.state = state
        self.outbox = outbox
        self.by_digest: dict[bytes, Proposal] = {}
        self.rejected: dict[bytes, str] = {}  # why proposals were not started, by digest
        self.next_offer_at = -inf  # when to send the next `CandidateOffer`

    # Start

    def propose(self, digest: bytes, voters: tuple[int, ...] | None, now: float) -> None:
        """Start a change to the text with `digest` and to `voters`; None keeps the current voters."""
        state = self.state
        decided = state.lease.decided
        known = self.by_digest.get(digest)
        if known and known.outcome in (ProposalOutcome.OPEN, ProposalOutcome.UNKNOWN):
            return  # the same change is already proposed
        new_voters = tuple(sorted(set(voters))) if voters is not None else None
        value = Value(decided.epoch + 1 if decided else 0, digest, new_voters or state.voters)
        if reason := self._not_ready_reason(value, now):
            self._reject(digest, reason)
            return
        proposal = self._add(digest, value)
        if decided and decided.digest == digest and value.voters == decided.voters:
            proposal.value, proposal.reason = decided, "it was decided before"  # `update` sets the outcome
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
        """Return why no change can be started now at this proxy; "" if one can.

        In that case it is unknown whether an earlier process of this proxy, or another proxy, has proposed
        the same change, so that no outcome may be reported for it.
        """
        state = self.state
        if state.lease.decided is None or not state.may_serve(now):
            return "not proposed: this proxy has no lease; propose it again, here or elsewhere"
        if state.readiness or state.proposer or state.lease.next_start_at() < inf or self._has_vote(value):
            return "not proposed: another change is under way; propose it again after it"
        return ""

    def _may_have_vote(self, value: Value, now: float) -> bool:
        """Return whether there may be a vote for the epoch of `value`.

        Either a vote is known, or messages of an earlier process of this proxy may still be in flight.
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
        """Return why the value is invalid as the next one; "" if it is valid."""
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
        """Withdraw a proposal, if this proxy has not sent an `Accept` for it."""
        state = self.state
        proposal = self.by_digest.get(digest)
        if proposal is None or proposal.outcome is not ProposalOutcome.OPEN:
            return
        proposer = state.proposer
        is_preparing = state.readiness is not None and state.readiness.value == proposal.value
        if is_preparing or (proposer and proposer.own_value == proposal.value and not proposer.accept_sent):
            self._withdraw(proposal, "it was aborted", now)

    def _withdraw(self, proposal: Proposal, reason: str, now: float) -> None:
        """End a proposal for which this proxy has never sent an `Accept`.

        It cannot come into force, unless there may be a vote for its epoch: then the same change may have
        been proposed elsewhere.
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
        """Offer the change that is being prepared; start its vote once all proxies with a lease are ready."""
        state, readiness = self.state, self.state.readiness
        if readiness is None:
            return
        proposal = self.by_digest[readiness.value.digest]
        if state.candidate and now < state.candidate.expires_at:
            self.record_competing_candidate(state.me, (state.candidate.digest, state.candidate.proposer))
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
        """Record a voter's report of the proxies that have sent it lease requests."""
        requested_at = self.state.take_request(message.nonce, voter)
        if requested_at is not None:
            readiness.reports[voter] = ActivityReport(requested_at, message)

    def record_competing_candidate(self, voter: int, candidate: tuple[bytes, int] | None) -> None:
        """Record whether a voter prepares for another proposal, while a change is prepared here.

        Args:
            voter: The voter.
            candidate: The digest and the proposer of its candidate.
        """
        readiness = self.state.readiness
        if readiness:
            readiness.competing_proposers.pop(voter, None)
            if candidate and candidate[0] != readiness.value.digest:
                readiness.competing_proposers[voter] = candidate[1]

    def on_candidate(self, proposer: int, message: CandidateOffer, now: float) -> bool:
        """Handle an offer or a withdrawal; return whether the proposal is now the candidate of this voter."""
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
        """Update the outcome of each proposal that is open or unknown."""
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
        """Return whether the last read is at least `OVERDUE_LEASES` lease durations old."""
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
        """Return the outcome of a proposal as known to this proxy, and the reason as text."""
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
