"""What a proxy knows of the policy in force, how fresh that is, and whether it may act on it.

Rules that hold here and nowhere else:

1. Knowledge is as fresh as the question was sent, less the age that the answer tells: never as it came. A
   lease is freshness: it holds for `lease` from then on, on a clock that nobody sets.
2. A voter's own knowledge is as fresh as the oldest question of a majority that has been answered, itself
   among them where it votes.
3. The epoch in use ends at the earliest end that any answer told for it, and with the lease. The next one
   begins where its policy is here and usable, not before a beginning that was told of it as decided.
4. A moment that came within a trip is put in the middle of it. A beginning that came later is put at the side
   that breaks no promise, as if told when the answer came. An answer with an end that came later is not heard
   of that end, and renews nothing: put at its early side, it would stop all whom it is passed on to.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from math import inf

from firvane.proxy.quorum.messages import Told
from firvane.proxy.quorum.types import Standing, Times, Value, Window


def majority_read(
    sent: Mapping[int, float], voters: Collection[int], me: int, votes: bool, now: float
) -> float:
    """When all that a majority had accepted was known here: `sent` is when the question went out that each
    voter has answered last. -inf where there is no majority."""
    at = sorted((sent[voter] for voter in voters if voter in sent and voter != me), reverse=True)
    if votes and me in voters:
        at.insert(0, now)
    quorum = len(voters) // 2 + 1
    return at[quorum - 1] if len(at) >= quorum else -inf


@dataclass
class Lease:
    """What one proxy may act on."""

    times: Times
    decided: Value | None = None
    serving: Value | None = None
    fresh: float = -inf
    windows: dict[int, Window] = field(default_factory=dict)  # by the epoch that begins then
    told: float = -inf  # when somebody last answered

    def learn(self, value: Value, settled: bool) -> bool:
        """An epoch that is decided; whether it is later than what was known."""
        if self.decided and value.epoch <= self.decided.epoch:
            if settled and value.epoch == self.decided.epoch:
                self.windows[value.epoch] = Window(-inf, -inf)
            return False
        self.decided = value
        for epoch in [epoch for epoch in self.windows if epoch < value.epoch]:
            del self.windows[epoch]
        if settled:
            self.windows[value.epoch] = Window(-inf, -inf)
        return True

    def window(self, epoch: int) -> Window:
        return self.windows.setdefault(epoch, Window())

    def hear(self, told: Told, sent: float, now: float) -> bool:
        """An answer to a question that was sent then; whether a later epoch is known by it."""
        self.told = now
        if told.decided is None:
            return False
        value = Value(*told.decided)
        news = self.learn(value, told.settled)
        in_trip = now - sent <= self.times.trip
        middle = (sent + now) / 2
        if told.ends is not None and in_trip:
            window = self.window(value.epoch + (1 if told.settled else 0))
            window.ends = min(window.ends, middle + told.ends)
        if told.begins is not None and not told.settled:
            window = self.window(value.epoch)
            window.begins = min(window.begins, (middle if in_trip else now) + told.begins)
        return news

    def counts(self, told: Told, sent: float, now: float) -> bool:
        """Whether an answer renews anything."""
        return told.ends is None or now - sent <= self.times.trip

    def renew(self, fresh: float) -> None:
        self.fresh = max(self.fresh, fresh)

    # What follows

    def ends(self) -> float:
        """When the epoch in use is over, as far as is known."""
        if self.serving is None or self.decided is None or self.serving.epoch < self.decided.epoch - 1:
            return -inf
        window = self.windows.get(self.serving.epoch + 1)
        return window.ends if window else inf

    def limit(self) -> float:
        """Until when new requests may be decided by the epoch in use."""
        return min(self.fresh + self.times.lease, self.ends())

    def next(self, now: float) -> Value | None:
        """The epoch that has begun and is not in use here yet, if one has."""
        value = self.decided
        if value is None or (self.serving and self.serving.epoch >= value.epoch):
            return None
        window = self.windows.get(value.epoch)
        return value if window and now >= window.begins else None

    def due(self) -> float:
        """When the next epoch begins, as far as is known."""
        if self.decided is None or (self.serving and self.serving.epoch >= self.decided.epoch):
            return inf
        window = self.windows.get(self.decided.epoch)
        return window.begins if window else inf

    def standing(self, now: float, usable: bool) -> Standing:
        """`usable`: the policy that was decided last is here and can be used."""
        if self.decided is None or (self.serving is None and usable):
            return Standing.UNTOLD
        if now >= self.fresh + self.times.lease:
            return Standing.WITHOUT
        if self.serving and now < self.ends():
            return Standing.HOLDS
        return Standing.LACKS if not usable and self.next(now) else Standing.AWAITS
