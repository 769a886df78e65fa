"""Token buckets, one for each sender."""

from __future__ import annotations

from collections.abc import Hashable


class TokenBuckets:
    """At most `rate` a second from each sender, `burst` at once; at most `senders` are remembered."""

    def __init__(self, rate: float, burst: float, senders: int = 1024) -> None:
        self.rate, self.burst, self.senders = rate, burst, senders
        self.buckets: dict[Hashable, tuple[float, float]] = {}  # tokens left, as of when
        self.dropped = 0

    def allow(self, sender: Hashable, now: float) -> bool:
        """Whether one more from this sender is within its rate; it is then counted."""
        tokens, at = self.buckets.get(sender, (self.burst, now))
        tokens = min(self.burst, tokens + self.rate * (now - at))
        if tokens < 1.0:
            self.buckets[sender] = tokens, now
            self.dropped += 1
            return False
        if sender not in self.buckets and len(self.buckets) >= self.senders:
            del self.buckets[next(iter(self.buckets))]  # the one known longest
        self.buckets[sender] = tokens - 1.0, now
        return True
