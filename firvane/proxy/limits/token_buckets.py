"""Rate limiting by token buckets, one per sender."""

from __future__ import annotations

from collections.abc import Hashable


class TokenBuckets:
    """Allows each sender `rate` messages a second, `burst` at once; remembers at most `senders` of them."""

    def __init__(self, rate: float, burst: float, senders: int = 1024) -> None:
        self.rate, self.burst, self.senders = rate, burst, senders
        self.buckets: dict[Hashable, tuple[float, float]] = {}  # tokens left, and the time of that count
        self.dropped = 0

    def allow(self, sender: Hashable, now: float) -> bool:
        """Return whether a message of this sender is within its rate, and count it."""
        tokens, updated_at = self.buckets.get(sender, (self.burst, now))
        tokens = min(self.burst, tokens + self.rate * (now - updated_at))
        if tokens < 1.0:
            self.buckets[sender] = tokens, now
            self.dropped += 1
            return False
        if sender not in self.buckets and len(self.buckets) >= self.senders:
            del self.buckets[next(iter(self.buckets))]  # the first one remembered
        self.buckets[sender] = tokens - 1.0, now
        return True
