"""State shared by the parts of a consensus member.

Each part (`renewal`, `voting`, `voter_recovery`, `proposals`, `installation`) owns the state that it alone
changes; state that several parts read or change is here. All times are seconds on this proxy's monotonic
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

HISTORY_LIMIT = 50  # maximum number of recorded epochs, proposals and unused text results

NO_VOTER = -1


class PendingRequest(NamedTuple):
    """A request to a voter whose reply has not arrived yet."""

    voter: int
    sent_at: float


class Candidate(NamedTuple):
    """The proposal that this voter prepares for, until it expires."""

    digest: bytes
    proposer: int
    expires_at: float


class MemberState:
    """The shared state of the consensus member of proxy `me`."""

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
        """Create the state; the arguments are those of `Member`."""
        self.me = me
        self.proxy_count = proxy_count
        self.configured_voters = voters
        self.timing = timing
        self.rng = random.Random(seed)
        self.started_at = now
        self.lease = Lease(timing)
        self.acceptor = Acceptor(me, timing, stored, now) if stored else None
        self.text_errors = dict.fromkeys(
            usable_texts, ""
        )  # by digest: why the text is unusable; "" if usable
        self.history: dict[int, Value] = {}  # decided values, by epoch
        self.readiness: ReadinessCheck | None = None  # the change that this proxy is preparing
        self.proposer: Proposer | None = None  # the vote that this proxy runs
        self.candidate: Candidate | None = None
        self.pending_requests: dict[int, PendingRequest] = {}  # by nonce
        self.replies: dict[int, LeaseReply] = {}  # the last reply of each voter
        self.lease_requested_at: dict[int, float] = {}  # last request that is not isolated, by sender
        self.new_incarnation = 0  # of this voter if it has lost its state; 0: not known yet
        self.recovered_acceptor: Acceptor | None = None  # of that incarnation, until its state is on disk
        self.serve_until = -inf  # until then, new requests may be served under the epoch in use
        self.actions: list[Action] = []  # the actions resulting from the current event

    @property
    def voters(self) -> tuple[int, ...]:
        """The voters on the next epoch: the configured voters until an epoch is known."""
        return self.lease.decided.voters if self.lease.decided else self.configured_voters

    @property
    def quorum(self) -> int:
        """The number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    @property
    def is_voter(self) -> bool:
        """Whether this proxy is one of the voters, even if it has lost its state."""
        return self.me in self.voters

    def may_serve(self, now: float) -> bool:
        """Return whether a new request may be served under the epoch in use."""
        return now < self.serve_until

    def log(self, event: str, **fields: str | int | float) -> None:
        """Add an action that logs `event`."""
        self.actions.append(LogEvent(event, fields))

    def add_request(self, voter: int, now: float) -> int:
        """Record a new request to `voter`, and return its nonce."""
        nonce = self.rng.getrandbits(32)
        self.pending_requests[nonce] = PendingRequest(voter, now)
        return nonce

    def take_request(self, nonce: int, voter: int) -> float | None:
        """Remove a pending request and return its send time; None if `voter` has no such request."""
        request = self.pending_requests.pop(nonce, PendingRequest(NO_VOTER, 0.0))
        return request.sent_at if request.voter == voter else None

    # Epochs

    def learn(self, value: Value, activated: bool) -> None:
        """Record a decided value if its epoch is new; `activated`: its activation time has passed."""
        if self.lease.learn(value, activated):
            self.record(value)

    def record(self, value: Value) -> None:
        """Record a later epoch, and end the proposal and the readiness check that it makes obsolete."""
        self.history[value.epoch] = value
        if len(self.history) > HISTORY_LIMIT:
            del self.history[min(self.history)]
        self.log("policy_decided", epoch=value.epoch, digest=value.digest.hex())
        if self.proposer and self.proposer.decided.epoch < value.epoch:
            self.proposer = None
        if self.readiness and self.readiness.value.epoch <= value.epoch:
            self.readiness = None

    def synchronize(self, now: float) -> None:
        """Synchronize the epochs and activation bounds of the acceptor and the lease."""
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
        """Pass a later epoch from the lease to the acceptor."""
        window = self.lease.windows.get(decided.epoch, ActivationWindow())
        activated = window.start == -inf
        if window.start == inf:
            latest = now + self.timing.activation_delay_s + self.timing.round_trip_s
            window = ActivationWindow(window.previous_end, latest)
        known = ActivationWindow() if activated else ActivationWindow(window.previous_end, window.start)
        acceptor.learn_decided(decided, activated, known)

    # Proposals

    def new_proposer(self, value: Value, now: float) -> Proposer:
        """Return a proposer of `value` whose first step is due now."""
        assert self.lease.decided
        highest_term = self.acceptor.state.promised.term if self.acceptor else 0
        # Each proposer has its own nonce, so that replies to earlier proposals do not count for this one.
        nonce = self.rng.getrandbits(32)
        return Proposer(
            self.me, nonce, self.timing, self.lease.decided, value, self.rng, now, highest_term=highest_term
        )
