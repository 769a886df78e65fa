"""The state that the parts of a consensus member share.

A part (`renewal`, `voting`, `voter_recovery`, `proposals`, `installation`) owns the state that it alone
changes; what more than one of them reads or changes is here. All times are seconds on this proxy's monotonic
clock.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from math import inf
from typing import NamedTuple

from firvane.proxy.quorum.acceptor import Acceptor
from firvane.proxy.quorum.events import Action, LogEvent
from firvane.proxy.quorum.leases import Lease
from firvane.proxy.quorum.messages import LeaseReply
from firvane.proxy.quorum.proposer import Proposer
from firvane.proxy.quorum.readiness import ReadinessCheck
from firvane.proxy.quorum.types import ActivationWindow, Timing, Value, VoterState

HISTORY_LIMIT = 50  # epochs, proposals

NO_VOTER = -1


class PendingRequest(NamedTuple):
    """A request that a voter has not answered yet."""

    voter: int
    sent_at: float


class Candidate(NamedTuple):
    """The proposal that this voter prepares for."""

    digest: bytes
    proposer: int
    expires_at: float


class MemberState:
    """What proxy `me` knows, and what it has in progress."""

    def __init__(
        self,
        me: int,
        proxy_count: int,
        voters: tuple[int, ...],
        timing: Timing,
        seed: int,
        now: float,
        stored: VoterState | None,
        usable_texts: Iterable[bytes],
    ) -> None:
        """The arguments are those of `Member`."""
        self.me = me
        self.proxy_count = proxy_count
        self.configured_voters = voters
        self.timing = timing
        self.rng = random.Random(seed)
        self.started_at = now
        self.lease = Lease(timing)
        self.acceptor = Acceptor(me, timing, stored, now) if stored else None
        self.text_errors = dict.fromkeys(usable_texts, "")  # by digest: why it cannot be used, "" if it can
        self.history: dict[int, Value] = {}  # by epoch
        self.readiness: ReadinessCheck | None = None  # of the proposal that is being prepared here
        self.proposer: Proposer | None = None  # of the proposal that is being voted on here
        self.candidate: Candidate | None = None
        self.pending_requests: dict[int, PendingRequest] = {}  # by nonce
        self.replies: dict[int, LeaseReply] = {}  # the last one of each voter
        self.last_request_at: dict[int, float] = {}  # by proxy: its last request here, isolated ones left out
        self.new_incarnation = 0  # of a voter that has lost its state, once that is known
        self.recovered_acceptor: Acceptor | None = None  # of that incarnation, until it is on disk
        self.serve_until = -inf  # until when new requests may be decided by the epoch in use
        self.actions: list[Action] = []  # that follow from the current event

    @property
    def voters(self) -> tuple[int, ...]:
        """Who decides the next epoch: the configured ones until an epoch is known."""
        return self.lease.decided.voters if self.lease.decided else self.configured_voters

    @property
    def quorum(self) -> int:
        """How many voters are a majority."""
        return len(self.voters) // 2 + 1

    @property
    def is_voter(self) -> bool:
        """Whether this proxy is one of the voters, with its state or without."""
        return self.me in self.voters

    def may_serve(self, now: float) -> bool:
        """Whether a new request may be decided by the epoch in use."""
        return now < self.serve_until

    def log(self, event: str, **fields: str | int | float) -> None:
        """Have a line written to the log."""
        self.actions.append(LogEvent(event, fields))

    def add_request(self, voter: int, now: float) -> int:
        """Record a new request to that voter, and return its nonce."""
        nonce = self.rng.getrandbits(32)
        self.pending_requests[nonce] = PendingRequest(voter, now)
        return nonce

    def take_request(self, nonce: int, voter: int) -> float | None:
        """Return when that request was sent, once; None where `voter` has no such request to answer."""
        request = self.pending_requests.pop(nonce, PendingRequest(NO_VOTER, 0.0))
        return request.sent_at if request.voter == voter else None

    # Epochs

    def learn(self, value: Value, activated: bool) -> None:
        """Learn a decided value; `activated`: its activation time has passed."""
        if self.lease.learn(value, activated):
            self.record(value)

    def record(self, value: Value) -> None:
        """Record a later epoch, and end what was in progress for it or an earlier one."""
        self.history[value.epoch] = value
        if len(self.history) > HISTORY_LIMIT:
            del self.history[min(self.history)]
        self.log("policy_decided", epoch=value.epoch, digest=value.digest.hex())
        if self.proposer and self.proposer.decided.epoch < value.epoch:
            self.proposer = None
        if self.readiness and self.readiness.value.epoch <= value.epoch:
            self.readiness = None

    def synchronize(self, now: float) -> None:
        """Exchange what the acceptor and the lease know of epochs."""
        lease, acceptor = self.lease, self.acceptor
        if acceptor is None:
            return
        decided = lease.decided
        if decided and decided.epoch > acceptor.state.decided.epoch:
            self._update_acceptor(acceptor, decided, now)
        state = acceptor.state
        self.learn(state.decided, state.activated)
        if state.accepted or not state.activated:
            window = lease.window(state.decided.epoch + (1 if state.activated else 0))
            window.previous_end = min(window.previous_end, acceptor.window.previous_end)
            if not state.activated:
                window.start = min(window.start, acceptor.window.start)

    def _update_acceptor(self, acceptor: Acceptor, decided: Value, now: float) -> None:
        """Let the acceptor learn a later epoch that the lease knows."""
        window = self.lease.windows.get(decided.epoch, ActivationWindow())
        activated = window.start == -inf
        if window.start == inf:
            latest = now + self.timing.activation_delay_s + self.timing.round_trip_s
            window = ActivationWindow(window.previous_end, latest)
        known = ActivationWindow() if activated else ActivationWindow(window.previous_end, window.start)
        acceptor.learn_decided(decided, activated, known)

    # Proposals

    def new_proposer(self, value: Value, now: float) -> Proposer:
        """Return a proposer of `value` that begins now."""
        assert self.lease.decided
        highest_term = self.acceptor.state.promised.term if self.acceptor else 0
        # A nonce of its own: replies to the proposals of an earlier change must not count for this one.
        nonce = self.rng.getrandbits(32)
        return Proposer(
            self.me, nonce, self.timing, self.lease.decided, value, self.rng, now, highest_term=highest_term
        )
