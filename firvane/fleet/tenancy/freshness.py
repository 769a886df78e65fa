"""How recent the configuration of a router is proved to be, so that a removed key is refused in time.

1. A proof says: at some moment no version newer than a certain one was acknowledged. It counts here once that
   version, or a newer one, is in force.
2. The moment is that at which the question was asked, less the age that the answer tells. So no clock of
   another machine takes part, and a question or an answer that was held up only makes the proof older.
3. Where the last proof is older than `longest`, what needs a key is refused until there is another one.
4. Controllers are asked first, those of the own zone before others; where several do not answer, another
   router is, whose proof is passed on with its age.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from firvane.core.address import Address
from firvane.fleet.tenancy.messages import Proof, Question

SAFE_SHARE = 0.85  # of the time within which a removed key must be refused: clocks run at unequal rates
RELAYED_SHARE = 0.5  # of the time that a proof lasts, up to which it is passed on
QUESTIONS_IN_TIME = 5  # questions asked within the time that a proof lasts
PATIENCE = 0.2  # s that an answer may take before another process is asked
ROUTER_EVERY = 3  # of the questions that follow one without an answer, each so many-th goes to a router
NONCES = 1 << 64


class Freshness:
    """The newest proof of one router. Times are monotonic seconds."""

    def __init__(self, rng: random.Random, revoke: float) -> None:
        """`revoke`: seconds within which a removed key must be refused everywhere; 0: no proof is needed."""
        self._rng = rng
        self.longest = SAFE_SHARE * revoke
        self._version = 0  # in force
        self._proven_at = float("-inf")
        self._unmatched: dict[int, float] = {}  # proofs of versions that are not in force yet
        self._nonce = rng.randrange(NONCES)
        self._asked_at: float | None = None  # of the question that has no answer yet
        self._next_at = float("-inf")
        self._failures = 0  # questions in a row without an answer that tells
        self._target: Address | None = None  # who answered last, or is to be asked next

    def is_fresh(self, now: float) -> bool:
        """Whether what is in force may still be used for requests that need a key."""
        return self.longest <= 0 or now - self._proven_at < self.longest

    def configured(self, version: int) -> None:
        """This version is in force now."""
        self._version = version
        for known in [each for each in self._unmatched if each <= version]:
            self._proven_at = max(self._proven_at, self._unmatched.pop(known))

    def is_due(self, now: float) -> bool:
        """Whether a question is due."""
        return self.longest > 0 and now >= self._next_at

    def question(
        self, controllers: Sequence[Address], routers: Sequence[Address], now: float
    ) -> tuple[Address, Question] | None:
        """The question that is due, and whom to ask; `controllers` in the order of preference."""
        if not self.is_due(now):
            return None
        if self._asked_at is not None:
            self._failed()
        target = self._pick(controllers, routers)
        if target is None:
            return None
        self._nonce = (self._nonce + 1) % NONCES
        self._asked_at = now
        self._next_at = now + PATIENCE
        return target, Question(self._nonce)

    def _failed(self) -> None:
        self._failures += 1
        self._target = None

    def _pick(self, controllers: Sequence[Address], routers: Sequence[Address]) -> Address | None:
        if self._target is not None and self._target in controllers:
            return self._target
        if routers and (not controllers or self._failures % ROUTER_EVERY == ROUTER_EVERY - 1):
            return self._rng.choice(routers)
        turn = self._failures - self._failures // ROUTER_EVERY
        return controllers[turn % len(controllers)] if controllers else None

    def receive(self, sender: Address, proof: Proof, now: float) -> bool:
        """Take the answer to the last question; whether it has proved anything."""
        if self._asked_at is None or proof.nonce != self._nonce:
            return False
        asked_at, self._asked_at = self._asked_at, None
        if proof.age is None:
            self._failed()
            self._target = proof.other
            self._next_at = now + (0.0 if proof.other else PATIENCE)
            return False
        self._failures = 0
        self._target = sender
        self._next_at = asked_at + self.longest / QUESTIONS_IN_TIME
        self._note(proof.version, asked_at - proof.age)
        return True

    def _note(self, version: int, proven_at: float) -> None:
        if version <= self._version:
            self._proven_at = max(self._proven_at, proven_at)
        else:
            self._unmatched[version] = max(proven_at, self._unmatched.get(version, float("-inf")))
            if len(self._unmatched) > QUESTIONS_IN_TIME:
                del self._unmatched[min(self._unmatched)]

    def answer(self, question: Question, now: float) -> Proof:
        """What this router can tell another one."""
        age = now - self._proven_at
        return Proof(question.nonce, self._version, age if age < RELAYED_SHARE * self.longest else None, None)
