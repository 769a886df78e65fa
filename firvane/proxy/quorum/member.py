"""The consensus member of one proxy: takes events and returns actions.

Its parts share a `MemberState`: `renewal` (lease requests and replies), `voting` (votes), `voter_recovery`
(recovery of a lost state), `proposals` (changes proposed at this proxy), `installation` (texts) and `outbox`
(messages and writes of the state). This module dispatches events to them and sets the order in which they
run.
"""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from math import inf

from firvane.proxy.quorum import messages
from firvane.proxy.quorum.errors import MessageError
from firvane.proxy.quorum.events import (
    Abort,
    Action,
    Event,
    MessageReceived,
    Propose,
    StateSaved,
    StateSaveFailed,
    TextChecked,
    Tick,
)
from firvane.proxy.quorum.installation import Installation
from firvane.proxy.quorum.member_state import MemberState
from firvane.proxy.quorum.messages import (
    Accept,
    Accepted,
    ActiveProxiesReply,
    ActiveProxiesRequest,
    CandidateOffer,
    CandidateReply,
    Learn,
    LeaseReply,
    LeaseRequest,
    Message,
    Prepare,
    Promise,
    number_of,
    value_of,
)
from firvane.proxy.quorum.outbox import Outbox
from firvane.proxy.quorum.proposals import Proposals
from firvane.proxy.quorum.renewal import LeaseRenewal
from firvane.proxy.quorum.status import describe_status
from firvane.proxy.quorum.types import ProposalOutcome, Timing, Value, VoterState
from firvane.proxy.quorum.voter_recovery import VoterRecovery
from firvane.proxy.quorum.voting import Voting

TICKS_PER_RENEWAL = 4


class Member:
    """The consensus member of one proxy. All times are seconds on its monotonic clock."""

    def __init__(
        self,
        me: int,
        proxy_count: int,
        voters: tuple[int, ...],
        timing: Timing,
        seed: int,
        now: float,
        stored: VoterState | None = None,
        usable_texts: Iterable[bytes] = (),
    ) -> None:
        """Start a member.

        Args:
            me: The number of this proxy.
            proxy_count: The number of proxies of the tier.
            voters: The configured voters, used until an epoch is known.
            timing: The time bounds of the tier.
            seed: The seed of the random source for nonces, jitter and backoff.
            now: The current time.
            stored: The voter's state read from disk; None if there is none.
            usable_texts: Digests of the texts that are available and usable here.
        """
        self.state = MemberState(me, proxy_count, voters, timing, seed, now, stored, usable_texts)
        self.outbox = Outbox(self.state, self._dispatch, stored)
        self.renewal = LeaseRenewal(self.state, self.outbox, now)
        self.voting = Voting(self.state, self.outbox)
        self.recovery = VoterRecovery(self.state, self.outbox)
        self.proposals = Proposals(self.state, self.outbox)
        self.installation = Installation(self.state, self.outbox)
        self.state.synchronize(now)

    # Queries by the driver

    @property
    def serving(self) -> Value | None:
        """The value of the epoch in use."""
        return self.state.lease.serving

    @property
    def serve_until(self) -> float:
        """The time until which new requests may be served under the epoch in use."""
        return self.state.serve_until

    def may_serve(self, now: float) -> bool:
        """Return whether a new request may be served under the epoch in use."""
        return self.state.may_serve(now)

    def next_tick_at(self, now: float) -> float:
        """Return the latest time of the next `Tick`."""
        state = self.state
        due = [state.lease.next_start_at(), state.proposer.next_step_at if state.proposer else inf]
        max_interval_s = state.timing.renewal_interval_s / TICKS_PER_RENEWAL
        return min([now + max_interval_s, *(at for at in due if at > now)])

    def outcome(self, digest: bytes) -> tuple[ProposalOutcome, str]:
        """Return the outcome of a proposal as known to this proxy, and the reason as text."""
        return self.proposals.outcome(digest)

    def status(self, now: float) -> dict[str, str]:
        """Return the status lines for operators, by name."""
        return describe_status(self.state, now)

    # Events

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process an event and return the resulting actions."""
        state = self.state
        state.actions = []
        match event:
            case MessageReceived(sender, payload):
                self._on_datagram(sender, payload, now)
            case StateSaved(token):
                self.outbox.on_saved(token, now)
            case StateSaveFailed(token):
                self.outbox.on_save_failed(token)
            case TextChecked(digest, reason):
                self.installation.on_text_checked(digest, reason, self.proposals.by_digest)
            case Propose(digest, voters):
                self.proposals.propose(digest, voters, now)
            case Abort(digest):
                self.proposals.abort(digest, now)
            case Tick():
                pass
        self._advance(now)
        return state.actions

    def _advance(self, now: float) -> None:
        """Run the steps of all parts that are due at `now`, after any event."""
        state = self.state
        state.synchronize(now)
        self.voting.step(now)
        state.synchronize(now)
        if self.renewal.is_due(now):
            self.renewal.send_requests(now)
        self.proposals.prepare(now)
        if state.proposer:
            self.outbox.send_all(state.proposer.step(now), now)
        self.installation.activate(now)
        self.proposals.update(now)
        self.installation.fetch_missing(now)
        self.outbox.save()
        state.serve_until = state.lease.expires_at()

    # Messages

    def _on_datagram(self, sender: int, payload: bytes, now: float) -> None:
        state = self.state
        if 0 <= sender < state.proxy_count and sender != state.me:
            with suppress(MessageError):
                self._dispatch(sender, messages.decode(payload), now)

    def _dispatch(self, sender: int, message: Message, now: float) -> None:
        state = self.state
        match message:
            case LeaseRequest():
                self.renewal.on_request(sender, message, now)
            case LeaseReply():
                self._on_lease_reply(sender, message, now)
            case ActiveProxiesRequest() if state.is_voter:
                self.renewal.on_active_proxies_request(sender, message, now)
            case CandidateOffer():
                if self.proposals.on_candidate(sender, message, now):
                    self.installation.reply_to_candidate(message.digest, sender, now)
            case CandidateReply() if state.readiness:
                state.readiness.on_reply(sender, message)
            case ActiveProxiesReply() if state.readiness:
                self.proposals.on_active_proxies(sender, message, state.readiness)
            case _:
                self._dispatch_paxos(sender, message, now)

    def _on_lease_reply(self, voter: int, reply: LeaseReply, now: float) -> None:
        if not self.renewal.on_reply(voter, reply, now):
            return
        if self.state.is_voter:
            self.recovery.step(now)
        if reply.candidate:
            self.installation.reply_to_candidate(*reply.candidate, now)
        self.proposals.record_competing_candidate(voter, reply.candidate)

    def _dispatch_paxos(self, sender: int, message: Message, now: float) -> None:
        state, acceptor = self.state, self.state.acceptor
        match message:
            case Prepare() if acceptor:
                self.voting.on_prepare(sender, message, acceptor, now)
            case Accept() if acceptor:
                if not self.voting.on_accept(sender, message, acceptor, now):
                    self.installation.reply_to_candidate(message.value[1], sender, now)
            case Learn() if acceptor:
                value = value_of(message.value)
                acceptor.learn_chosen(number_of(message.number), value, message.activate_at, now)
            case Promise() if state.proposer:
                self.outbox.send_all(state.proposer.on_promise(sender, message, now), now)
            case Accepted() if state.proposer:
                if state.proposer.on_accepted(sender, message, now):
                    self.voting.on_chosen(state.proposer, now)
            case _:
                pass
