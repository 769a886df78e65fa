"""How recent a router's configuration is proved to be, so that a removed key is rejected in time.

1. A proof says: at some moment, no version newer than a certain one was acknowledged. It counts here once
   that version, or a newer one, is in force.
2. The moment is that of the request, less the age that the proof tells. So no clock of another machine takes
   part, and a delayed request or proof only makes the proof older.
3. While the last proof is older than `max_age`, requests that need a key are rejected.
4. Controllers are asked first, those of the own zone before others. Where several do not answer, another
   router is asked, which forwards its own proof with its age.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from firvane.core.address import Address
from firvane.fleet.tenancy.messages import FreshnessProof, FreshnessRequest

MAX_AGE_RATIO = 0.85  # of the time within which a removed key must be rejected: clock rates differ
MAX_RELAYED_AGE_RATIO = 0.5  # of `max_age`, up to which a proof is forwarded to other routers
REQUESTS_PER_MAX_AGE = 5
RESPONSE_TIMEOUT_S = 0.2  # until another process is asked
ROUTER_TURN = 3  # after time-outs, each third request goes to a router
NONCES = 1 << 64


class Freshness:
    """The newest proof of one router. Times are monotonic seconds.

    Attributes:
        max_age: Age up to which a proof counts; 0 where none is needed.
    """

    def __init__(self, rng: random.Random, revoke: float) -> None:
        """`revoke`: seconds within which a removed key must be rejected; 0 where that needs no proof."""
        self._rng = rng
        self.max_age = MAX_AGE_RATIO * revoke
        self._version = 0  # in force
        self._proven_at = float("-inf")
        self._unmatched: dict[int, float] = {}  # moments of proofs, by versions that are not in force yet
        self._nonce = rng.randrange(NONCES)
        self._requested_at: float | None = None  # of the request in flight
        self._next_at = float("-inf")
        self._failures = 0  # consecutive requests without a proof
        self._target: Address | None = None  # the last one to answer, or the one to ask next

    def is_fresh(self, now: float) -> bool:
        """Return whether the configuration in force is proved recent enough for requests with a key."""
        return self.max_age <= 0 or now - self._proven_at < self.max_age

    def set_version(self, version: int) -> None:
        """Record that this version is in force now."""
        self._version = version
        for known in [each for each in self._unmatched if each <= version]:
            self._proven_at = max(self._proven_at, self._unmatched.pop(known))

    def is_due(self, now: float) -> bool:
        """Return whether a request is due."""
        return self.max_age > 0 and now >= self._next_at

    def next_request(
        self, controllers: Sequence[Address], routers: Sequence[Address], now: float
    ) -> tuple[Address, FreshnessRequest] | None:
        """Return the request that is due and its target, or None; `controllers` by preference."""
        if not self.is_due(now):
            return None
        if self._requested_at is not None:
            self._record_failure()
        target = self._choose_target(controllers, routers)
        if target is None:
            return None
        self._nonce = (self._nonce + 1) % NONCES
        self._requested_at = now
        self._next_at = now + RESPONSE_TIMEOUT_S
        return target, FreshnessRequest(self._nonce)

    def _record_failure(self) -> None:
        self._failures += 1
        self._target = None

    def _choose_target(self, controllers: Sequence[Address], routers: Sequence[Address]) -> Address | None:
        if self._target is not None and self._target in controllers:
            return self._target
        if routers and (not controllers or self._failures % ROUTER_TURN == ROUTER_TURN - 1):
            return self._rng.choice(routers)
        turn = self._failures - self._failures // ROUTER_TURN
        return controllers[turn % len(controllers)] if controllers else None

    def receive(self, sender: Address, proof: FreshnessProof, now: float) -> bool:
        """Record the answer to the last request, and return whether it has proved anything."""
        if self._requested_at is None or proof.nonce != self._nonce:
            return False
        requested_at, self._requested_at = self._requested_at, None
        if proof.age is None:
            self._record_failure()
            self._target = proof.redirect
            self._next_at = now + (0.0 if proof.redirect else RESPONSE_TIMEOUT_S)
            return False
        self._failures = 0
        self._target = sender
        self._next_at = requested_at + self.max_age / REQUESTS_PER_MAX_AGE
        self._record_proof(proof.version, requested_at - proof.age)
        return True

    def _record_proof(self, version: int, proven_at: float) -> None:
        if version <= self._version:
            self._proven_at = max(self._proven_at, proven_at)
        else:
            self._unmatched[version] = max(proven_at, self._unmatched.get(version, float("-inf")))
            if len(self._unmatched) > REQUESTS_PER_MAX_AGE:
                del self._unmatched[min(self._unmatched)]

    def prove(self, request: FreshnessRequest, now: float) -> FreshnessProof:
        """Return the proof that this router can forward to another one."""
        age = now - self._proven_at
        relayed = age if age < MAX_RELAYED_AGE_RATIO * self.max_age else None
        return FreshnessProof(request.nonce, self._version, relayed, None)
