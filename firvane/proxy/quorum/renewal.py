"""Lease renewal: requests to voters, and replies to the requests of other proxies.

Invariants:

1. Four times per lease duration a voter sends requests to all other voters, and any other proxy to one voter.
   If that voter does not reply in time, the next request goes to the next voter.
2. A reply contains everything that the voter knows, from its own acceptor and from the replies of other
   voters, since the age in the reply covers all of that.
"""

from __future__ import annotations

from math import inf

from firvane.proxy.quorum.leases import majority_read_time
from firvane.proxy.quorum.member_state import MemberState
from firvane.proxy.quorum.messages import ActiveProxiesReply, ActiveProxiesRequest, LeaseReply, LeaseRequest
from firvane.proxy.quorum.outbox import Outbox
from firvane.proxy.quorum.readiness import encode_bitmap
from firvane.proxy.quorum.types import MAX_VOTERS, NO_PROPOSAL_NUMBER

REPLY_TIMEOUT_ROUND_TRIPS = 2  # then a non-voter sends its request to the next voter
START_JITTER_PER_ROUND_TRIP = 1 / 4


class LeaseRenewal:
    """Sends and answers the lease requests of one proxy."""

    def __init__(self, state: MemberState, outbox: Outbox, now: float) -> None:
        self.state = state
        self.outbox = outbox
        self.voter_index = state.rng.randrange(MAX_VOTERS)  # the voter that a non-voter sends requests to
        jitter_s = state.timing.round_trip_s * START_JITTER_PER_ROUND_TRIP
        self.next_request_at = now + state.rng.uniform(0, jitter_s)
        self.last_sent_at = -inf
        self.answered_request_at: dict[int, float] = {}  # send time of the latest answered request, by voter

    def is_due(self, now: float) -> bool:
        """Return whether to send requests: the interval has passed, or a non-voter got no reply in time."""
        state = self.state
        timeout_s = REPLY_TIMEOUT_ROUND_TRIPS * state.timing.round_trip_s
        unanswered = state.lease.last_reply_at < self.last_sent_at <= now - timeout_s
        return now >= self.next_request_at or (unanswered and not state.is_voter)

    def send_requests(self, now: float) -> None:
        """Send requests to all other voters, or to one voter if this proxy is a non-voter."""
        state = self.state
        self.next_request_at = now + state.timing.renewal_interval_s
        state.pending_requests = {
            nonce: request
            for nonce, request in state.pending_requests.items()
            if now - request.sent_at < state.timing.lease_s
        }
        others = [voter for voter in state.voters if voter != state.me]
        if not state.is_voter and others:
            if state.lease.last_reply_at < self.last_sent_at:
                self.voter_index += 1  # the last voter has not replied
            others = [others[self.voter_index % len(others)]]
        self.last_sent_at = now
        for voter in others:
            nonce = state.add_request(voter, now)
            incarnation = state.new_incarnation if state.acceptor is None and state.is_voter else 0
            request = LeaseRequest(nonce=nonce, incarnation=incarnation, isolated=self._is_isolated(now))
            self.outbox.send(voter, request, now)
        if not others:  # this proxy is the only voter
            self._renew(now)

    def _is_isolated(self, now: float) -> bool:
        """Return whether the last read is at least `lease_s` old.

        Requests carry this flag, since they still arrive if only the direction to this proxy is cut.
        """
        return now >= max(self.state.lease.fresh_at, self.state.started_at) + self.state.timing.lease_s

    def _renew(self, now: float) -> None:
        """Renew the lease of a voter according to the replies of the other voters."""
        state = self.state
        has_state = state.acceptor is not None
        fresh_at = majority_read_time(self.answered_request_at, state.voters, state.me, has_state, now)
        state.lease.renew(fresh_at)

    # Requests received

    def on_request(self, sender: int, message: LeaseRequest, now: float) -> None:
        """Reply to a lease request, once the state in the reply is on disk."""
        state = self.state
        if not state.is_voter:
            return
        if not message.isolated:
            state.lease_requested_at[sender] = now
        if state.acceptor and message.incarnation:
            state.acceptor.note_incarnation(sender, message.incarnation)
        self._renew(now)
        self.outbox.reply(sender, lambda at: make_reply(state, message.nonce, at), now)

    def on_active_proxies_request(self, sender: int, message: ActiveProxiesRequest, now: float) -> None:
        """Reply with the proxies that have sent a lease request to this voter within `lease_s`."""
        state = self.state
        active = [proxy for proxy, at in state.lease_requested_at.items() if now - at <= state.timing.lease_s]
        reply = ActiveProxiesReply(
            nonce=message.nonce,
            observed_s=now - state.started_at,
            bitmap=encode_bitmap([*active, state.me], state.proxy_count),
        )
        self.outbox.reply(sender, lambda _: reply, now)

    # Replies received

    def on_reply(self, voter: int, reply: LeaseReply, now: float) -> bool:
        """Handle a voter's reply; return whether it matches a pending request of this proxy."""
        state = self.state
        sent_at = state.take_request(reply.nonce, voter)
        if sent_at is None:
            return False
        counts_for_lease = state.lease.may_renew(reply, sent_at, now)
        if state.lease.on_reply(reply, sent_at, now) and state.lease.decided:
            state.record(state.lease.decided)
        if state.is_voter:
            if reply.has_state:
                if counts_for_lease:
                    previous = self.answered_request_at.get(voter, -inf)
                    self.answered_request_at[voter] = max(sent_at, previous)
                state.replies[voter] = reply
            self._renew(now)
        elif counts_for_lease and reply.age_s >= 0:
            state.lease.renew(sent_at - reply.age_s * (1 + state.timing.clock_skew))
        return True


def make_reply(state: MemberState, nonce: int, now: float) -> LeaseReply:
    """Return the reply to the lease request with that nonce: everything that this voter knows."""
    acceptor, lease = state.acceptor, state.lease
    decided, activated, previous_end_s, start_s = lease.decided, True, None, None
    if decided:
        window = lease.windows.get(decided.epoch)
        activated = window is None or window.start == -inf
        upcoming = lease.windows.get(decided.epoch + 1) if activated else window
        previous_end_s = upcoming.previous_end - now if upcoming and upcoming.previous_end < inf else None
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
