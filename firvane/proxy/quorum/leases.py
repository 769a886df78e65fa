"""The lease of one proxy: which epoch it knows, how fresh that knowledge is, and until when it may act on it.

Invariants:

1. Knowledge is as fresh as the request was sent, less the age in the reply: never as the reply came. A lease
   is
   freshness: it lasts for `lease_s` from then on, on a clock that nobody sets.
2. A voter's own knowledge is as fresh as the oldest answered request of a majority, itself among them where
   it votes.
3. The epoch in use ends at the earliest end that any reply has reported for it, and with the lease. The next
   one begins where its policy is here and usable, and not before the start that was reported for it as
   decided.
4. A time that came within a round trip is mapped to the middle of it. A start that came later is mapped to
   the side that breaks no promise, as if sent when the reply came. A reply with an end that came later is
   ignored for that end, and renews nothing: mapped to its early side, it would stop all proxies that it is
   passed to.

Source: Gray and Cheriton, "Leases", for reads that need no majority each.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from math import inf

from firvane.proxy.quorum.messages import LeaseReply
from firvane.proxy.quorum.types import ActivationWindow, LeaseStatus, Timing, Value


def majority_read_time(
    sent_at: Mapping[int, float], voters: Collection[int], me: int, votes: bool, now: float
) -> float:
    """Return the time as of which all that a majority had accepted is known here.

    Args:
        sent_at: When the request was sent that each voter has answered last.
        voters: Who decides.
        me: The number of this proxy.
        votes: Whether this proxy has a voter's state.
        now: The current time.

    Returns:
        Seconds on this proxy's clock; -inf where there is no majority.
    """
    times = sorted((sent_at[voter] for voter in voters if voter in sent_at and voter != me), reverse=True)
    if votes and me in voters:
        times.insert(0, now)
    quorum = len(voters) // 2 + 1
    return times[quorum - 1] if len(times) >= quorum else -inf


@dataclass
class Lease:
    """What one proxy may act on.

    Attributes:
        timing: The time bounds of the tier.
        decided: The latest decided value that is known.
        serving: The value in use.
        fresh_at: The time as of which `decided` is known to be the latest.
        windows: When epochs begin, by epoch.
        last_reply_at: When a voter has answered last.
    """

    timing: Timing
    decided: Value | None = None
    serving: Value | None = None
    fresh_at: float = -inf
    windows: dict[int, ActivationWindow] = field(default_factory=dict)
    last_reply_at: float = -inf

    def learn(self, value: Value, activated: bool) -> bool:
        """Learn a decided value; return whether its epoch is later than the known one."""
        if self.decided and value.epoch <= self.decided.epoch:
            if activated and value.epoch == self.decided.epoch:
                self.windows[value.epoch] = ActivationWindow(-inf, -inf)
            return False
        self.decided = value
        for epoch in [epoch for epoch in self.windows if epoch < value.epoch]:
            del self.windows[epoch]
        if activated:
            self.windows[value.epoch] = ActivationWindow(-inf, -inf)
        return True

    def window(self, epoch: int) -> ActivationWindow:
        """Return when that epoch begins, as far as known; the record may be changed."""
        return self.windows.setdefault(epoch, ActivationWindow())

    def on_reply(self, reply: LeaseReply, sent_at: float, now: float) -> bool:
        """Learn from a reply to a request of that time; return whether a later epoch is known by it."""
        self.last_reply_at = now
        if reply.decided is None:
            return False
        value = Value(*reply.decided)
        is_later = self.learn(value, reply.activated)
        in_time = now - sent_at <= self.timing.round_trip_s
        middle = (sent_at + now) / 2
        if reply.previous_end_s is not None and in_time:
            window = self.window(value.epoch + (1 if reply.activated else 0))
            window.previous_end = min(window.previous_end, middle + reply.previous_end_s)
        if reply.start_s is not None and not reply.activated:
            window = self.window(value.epoch)
            window.start = min(window.start, (middle if in_time else now) + reply.start_s)
        return is_later

    def may_renew(self, reply: LeaseReply, sent_at: float, now: float) -> bool:
        """Whether a reply counts for the lease."""
        return reply.previous_end_s is None or now - sent_at <= self.timing.round_trip_s

    def renew(self, fresh_at: float) -> None:
        """Extend the lease by what was known as of that time."""
        self.fresh_at = max(self.fresh_at, fresh_at)

    # What follows

    def serving_ends_at(self) -> float:
        """Return when the epoch in use is over, as far as known."""
        if self.serving is None or self.decided is None or self.serving.epoch < self.decided.epoch - 1:
            return -inf
        window = self.windows.get(self.serving.epoch + 1)
        return window.previous_end if window else inf

    def expires_at(self) -> float:
        """Return until when new requests may be decided by the epoch in use."""
        return min(self.fresh_at + self.timing.lease_s, self.serving_ends_at())

    def next_value(self, now: float) -> Value | None:
        """Return the epoch that has begun and is not in use here yet, if there is one."""
        value = self.decided
        if value is None or (self.serving and self.serving.epoch >= value.epoch):
            return None
        window = self.windows.get(value.epoch)
        return value if window and now >= window.start else None

    def next_start_at(self) -> float:
        """Return when the next epoch begins, as far as known."""
        if self.decided is None or (self.serving and self.serving.epoch >= self.decided.epoch):
            return inf
        window = self.windows.get(self.decided.epoch)
        return window.start if window else inf

    def status(self, now: float, usable: bool) -> LeaseStatus:
        """Return what this proxy may do; `usable`: the latest policy is here and can be used."""
        if self.decided is None or (self.serving is None and usable):
            return LeaseStatus.NOT_SYNCHRONIZED
        if now >= self.fresh_at + self.timing.lease_s:
            return LeaseStatus.EXPIRED
        if self.serving and now < self.serving_ends_at():
            return LeaseStatus.VALID
        if not usable and self.next_value(now):
            return LeaseStatus.TEXT_UNAVAILABLE
        return LeaseStatus.AWAITING_ACTIVATION
