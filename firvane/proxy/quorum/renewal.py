"""Lease requests to voters and the replies to them, by which leases are renewed.

Invariants:

1. A voter asks all other voters, any other proxy one of them, four times a lease; a voter that has not
   answered in time is passed over for the next one.
2. A reply holds all that the voter knows, from its own acceptor and from the replies of other voters, since
   the age that it holds covers all of that.
"""

from __future__ import annotations

from math import inf

from firvane.proxy.quorum.leases import majority_read_time
from firvane.proxy.quorum.member_state import MemberState
from firvane.proxy.quorum.messages import ActiveProxiesReply, ActiveProxiesRequest, LeaseReply, LeaseRequest
from firvane.proxy.quorum.outbox import Outbox
from firvane.proxy.quorum.readiness import encode_bitmap
from firvane.proxy.quorum.types import MAX_VOTERS, NO_PROPOSAL_NUMBER

REPLY_TIMEOUT_ROUND_TRIPS = 2  # after which a proxy that is no voter asks the next voter
START_JITTER_PER_ROUND_TRIP = 1 / 4


class LeaseRenewal:
    """The lease requests and replies of one proxy."""

    def __init__(self, state: MemberState, outbox: Outbox, now: float) -> None:
        self.state = state
        self.outbox = outbox
        self.voter_index = state.rng.randrange(MAX_VOTERS)  # which voter is asked
        jitter_s = state.timing.round_trip_s * START_JITTER_PER_ROUND_TRIP
        self.next_request_at = now + state.rng.uniform(0, jitter_s)
        self.last_request_at = -inf
        self.answered_request_at: dict[
            int, float
        ] = {}  # by voter: when the request was sent it answered last

    def is_due(self, now: float) -> bool:
        """Whether to send requests now: their time has come, or the only voter asked has not answered."""
        state = self.state
        timeout_s = REPLY_TIMEOUT_ROUND_TRIPS * state.timing.round_trip_s
        unanswered = state.lease.last_reply_at < self.last_request_at <= now - timeout_s
        return now >= self.next_request_at or (unanswered and not state.is_voter)

    def send_requests(self, now: float) -> None:
        """Ask all other voters, or one of them where this proxy is none."""
        state = self.state
        self.next_request_at = now + state.timing.renewal_interval_s
        state.pending_requests = {
            nonce: request
            for nonce, request in state.pending_requests.items()
            if now - request.sent_at < state.timing.lease_s
        }
        others = [voter for voter in state.voters if voter != state.me]
        if not state.is_voter and others:
            if state.lease.last_reply_at < self.last_request_at:
                self.voter_index += 1  # the last one asked has not answered
            others = [others[self.voter_index % len(others)]]
        self.last_request_at = now
        for voter in others:
            nonce = state.add_request(voter, now)
            incarnation = state.new_incarnation if state.acceptor is None and state.is_voter else 0
            request = LeaseRequest(nonce=nonce, incarnation=incarnation, isolated=self._is_isolated(now))
            self.outbox.send(voter, request, now)
        if not others:  # the only voter
            self._renew(now)

    def _is_isolated(self, now: float) -> bool:
        """Whether no reply has come for a lease: where one direction is cut, its requests still arrive."""
        return now >= max(self.state.lease.fresh_at, self.state.started_at) + self.state.timing.lease_s

    def _renew(self, now: float) -> None:
        """Renew the lease of a voter by what the others have answered."""
        state = self.state
        votes = state.acceptor is not None
        read_at = majority_read_time(self.answered_request_at, state.voters, state.me, votes, now)
        state.lease.renew(read_at)

    # Requests received

    def on_request(self, sender: int, message: LeaseRequest, now: float) -> None:
        """Reply with all that is known here, once it is on disk."""
        state = self.state
        if not state.is_voter:
            return
        if not message.isolated:
            state.last_request_at[sender] = now
        if state.acceptor and message.incarnation:
            state.acceptor.note_incarnation(sender, message.incarnation)
        self._renew(now)
        self.outbox.reply(sender, lambda at: make_reply(state, message.nonce, at), now)

    def on_active_proxies_request(self, sender: int, message: ActiveProxiesRequest, now: float) -> None:
        """Reply which proxies have sent a request here within a lease."""
        state = self.state
        active = [proxy for proxy, at in state.last_request_at.items() if now - at <= state.timing.lease_s]
        reply = ActiveProxiesReply(
            nonce=message.nonce,
            observed_s=now - state.started_at,
            bitmap=encode_bitmap([*active, state.me], state.proxy_count),
        )
        self.outbox.reply(sender, lambda _: reply, now)

    # Replies received

    def on_reply(self, voter: int, reply: LeaseReply, now: float) -> bool:
        """Handle a voter's reply; return whether it was to a request of this proxy."""
        state = self.state
        sent_at = state.take_request(reply.nonce, voter)
        if sent_at is None:
            return False
        renews = state.lease.may_renew(reply, sent_at, now)
        if state.lease.on_reply(reply, sent_at, now) and state.lease.decided:
            state.record(state.lease.decided)
        if state.is_voter:
            if reply.has_state:
                if renews:
                    last = self.answered_request_at.get(voter, -inf)
                    self.answered_request_at[voter] = max(sent_at, last)
                state.replies[voter] = reply
            self._renew(now)
        elif renews and reply.age_s >= 0:
            state.lease.renew(sent_at - reply.age_s * (1 + state.timing.clock_skew))
        return True


def make_reply(state: MemberState, nonce: int, now: float) -> LeaseReply:
    """Return all that is known here, as the reply to the request of that nonce."""
    acceptor, lease = state.acceptor, state.lease
    decided, activated, previous_end_s, start_s = lease.decided, True, None, None
    if decided:
        window = lease.windows.get(decided.epoch)
        activated = window is None or window.start == -inf
        coming = lease.windows.get(decided.epoch + 1) if activated else window
        previous_end_s = coming.previous_end - now if coming and coming.previous_end < inf else None
        start_s = window.start - now if not activated and window and window.start < inf else None
    persisted = acceptor.persisted if acceptor else None
    is_same_epoch = persisted is not None and persisted.decided == decided
    candidate = state.candidate if state.candidate and now < state.candidate.expires_at else None
    return LeaseReply(
        nonce=nonce,
        age_s=now - lease.fresh_at if lease.fresh_at > -inf else -1.0,
        has_state=acceptor is not None,
        decided=decided,
        activated=activated,
        previous_end_s=previous_end_s,
        start_s=start_s,
        promised=persisted.promised if persisted else NO_PROPOSAL_NUMBER,
        accepted=persisted.accepted if persisted and is_same_epoch else None,
        incarnation=persisted.incarnation if persisted else 0,
        known_incarnations=persisted.known_incarnations if persisted else (),
        candidate=(candidate.digest, candidate.proposer) if candidate else None,
    )
