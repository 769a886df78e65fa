"""Read lease of one proxy: the latest known epoch, when it was read, and how long it may be used.

Invariants:

1. A read counts from the time at which its request was sent, less the age in the reply, never from the
   arrival of the reply. The lease lasts for `lease_s` from that time, on a monotonic clock.
2. A voter reads from a majority, which includes the voter itself if it has its state. Its lease counts from
   the oldest of the requests that the majority has answered.
3. The epoch in use ends at the earliest end that any reply has reported for it, or when the lease expires,
   whichever is first. The next epoch is used once its policy is available and usable here, and not before the
   start that was reported for it as decided.
4. A time in a reply that arrives within `round_trip_s` is mapped to this clock as if sent halfway through
   the round trip. A start in a later reply is mapped to the safe side, as if sent when the reply arrived. An
   end in a later reply is ignored, and that reply does not renew the lease: mapped to its safe (early) side,
   the end would stop all proxies that it is passed on to.

Source: Gray and Cheriton, "Leases", for reads that do not each need a majority.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from math import inf

from firvane.proxy.quorum.messages import LeaseReply
from firvane.proxy.quorum.types import ActivationWindow, LeaseStatus, Timing, Value


def majority_read_time(
    sent_at: Mapping[int, float], voters: Collection[int], me: int, has_state: bool, now: float
) -> float:
    """Return the time up to which this proxy knows everything that a majority has accepted.

    Args:
        sent_at: The send time of the latest request that each voter has answered, by voter.
        voters: The voters on the next epoch.
        me: The number of this proxy.
        has_state: Whether this proxy has a voter's state.
        now: The current time.

    Returns:
        Seconds on this proxy's clock; -inf if no majority has answered.
    """
    times = sorted((sent_at[voter] for voter in voters if voter in sent_at and voter != me), reverse=True)
    if has_state and me in voters:
        times.insert(0, now)
    quorum = len(voters) // 2 + 1
    return times[quorum - 1] if len(times) >= quorum else -inf


@dataclass
class Lease:
    """The read lease of one proxy.

    Attributes:
        timing: The time bounds of the tier.
        decided: The latest known decided value.
        serving: The value in use.
        fresh_at: The time at which `decided` was last known to be the latest decided value.
        windows: The known bounds of activations, by epoch.
        last_reply_at: When the last reply of a voter arrived.
    """

    timing: Timing
    decided: Value | None = None
    serving: Value | None = None
    fresh_at: float = -inf
    windows: dict[int, ActivationWindow] = field(default_factory=dict)
    last_reply_at: float = -inf

    def learn(self, value: Value, activated: bool) -> bool:
        """Record a decided value; return whether its epoch is later than that of the known one."""
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
        """Return the known bounds of the activation of `epoch`, as a record that the caller may change."""
        return self.windows.setdefault(epoch, ActivationWindow())

    def on_reply(self, reply: LeaseReply, sent_at: float, now: float) -> bool:
        """Process a reply to a request sent at `sent_at`; return whether it reports a later epoch."""
        self.last_reply_at = now
        if reply.decided is None:
            return False
        value = Value(*reply.decided)
        is_later = self.learn(value, reply.activated)
        in_time = now - sent_at <= self.timing.round_trip_s
        midpoint = (sent_at + now) / 2
        if reply.previous_end_s is not None and in_time:
            window = self.window(value.epoch + (1 if reply.activated else 0))
            window.previous_end = min(window.previous_end, midpoint + reply.previous_end_s)
        if reply.start_s is not None and not reply.activated:
            window = self.window(value.epoch)
            window.start = min(window.start, (midpoint if in_time else now) + reply.start_s)
        return is_later

    def may_renew(self, reply: LeaseReply, sent_at: float, now: float) -> bool:
        """Return whether a reply may renew the lease."""
        return reply.previous_end_s is None or now - sent_at <= self.timing.round_trip_s

    def renew(self, fresh_at: float) -> None:
        """Extend the lease to count from `fresh_at`, if that is later than before."""
        self.fresh_at = max(self.fresh_at, fresh_at)

    # Deadlines and status

    def serving_ends_at(self) -> float:
        """Return when the epoch in use ends; -inf if none is in use or it is over, inf if unknown."""
        if self.serving is None or self.decided is None or self.serving.epoch < self.decided.epoch - 1:
            return -inf
        window = self.windows.get(self.serving.epoch + 1)
        return window.previous_end if window else inf

    def expires_at(self) -> float:
        """Return until when new requests may be served under the epoch in use."""
        return min(self.fresh_at + self.timing.lease_s, self.serving_ends_at())

    def next_value(self, now: float) -> Value | None:
        """Return the decided value whose epoch has begun and is not in use here yet, if there is one."""
        value = self.decided
        if value is None or (self.serving and self.serving.epoch >= value.epoch):
            return None
        window = self.windows.get(value.epoch)
        return value if window and now >= window.start else None

    def next_start_at(self) -> float:
        """Return when the next epoch begins; inf if none is decided or its start is unknown."""
        if self.decided is None or (self.serving and self.serving.epoch >= self.decided.epoch):
            return inf
        window = self.windows.get(self.decided.epoch)
        return window.start if window else inf

    def status(self, now: float, usable: bool) -> LeaseStatus:
        """Return the status of the lease; `usable`: the latest policy is available and usable here."""
        if self.decided is None or (self.serving is None and usable):
            return LeaseStatus.NOT_SYNCHRONIZED
        if now >= self.fresh_at + self.timing.lease_s:
            return LeaseStatus.EXPIRED
        if self.serving and now < self.serving_ends_at():
            return LeaseStatus.VALID
        if not usable and self.next_value(now):
            return LeaseStatus.TEXT_UNAVAILABLE
        return LeaseStatus.AWAITING_ACTIVATION
