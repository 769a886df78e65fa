"""A change before its ballot: who has said that it is prepared, and who is waited for.

Rules that hold here and nowhere else:

1. It serves service alone: whatever is overlooked here, no promise depends on it.
2. One no ends the change. Who has not been heard by any voter for a lease is not waited for: it has none. Nor
   has who is heard and says that nobody has answered it for one, as where its way in is lost.
3. What voters tell of who asked counts once a majority has been counting for a lease, with every voter that
   has itself been heard of among those that told.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from firvane.proxy.quorum.messages import Here, Verdict
from firvane.proxy.quorum.types import Times, Value


@dataclass
class Gathering:
    """The change to `value`, whose text is held by `me`, since `began`."""

    me: int
    times: Times
    value: Value
    voters: Sequence[int]  # who decide
    quorum: int
    began: float
    yes: set[int] = field(default_factory=set)
    no: dict[int, str] = field(default_factory=dict)
    here: dict[int, tuple[float, Here]] = field(default_factory=dict)  # by voter, and when it was asked
    rivals: dict[int, int] = field(default_factory=dict)  # by voter, who holds the other change

    def verdict(self, proxy: int, message: Verdict) -> None:
        if message.digest == self.value.digest:
            if message.why:
                self.no[proxy] = message.why
            else:
                self.yes.add(proxy)

    def awaited(self, now: float) -> set[int] | None:
        """Who has a lease and has not said yes; None as long as that is not known."""
        fresh = {v: here for v, (sent, here) in self.here.items() if now - sent <= self.times.lease}
        if sum(here.since >= self.times.lease for here in fresh.values()) < self.quorum:
            return None
        leased = {
            8 * place + bit
            for here in fresh.values()
            for place, byte in enumerate(here.bits)
            for bit in range(8)
            if byte >> bit & 1
        }
        if any(voter in leased and voter not in fresh for voter in self.voters):
            return None
        return leased - self.yes

    def failed(self, now: float) -> str:
        """Why it cannot go on; "" where it can."""
        if self.no:
            proxy = min(self.no)
            return f"proxy {proxy} says no: {self.no[proxy]}"
        if len(self.rivals) > len(self.voters) - self.quorum:
            return f"another change is being prepared, at proxy {min(self.rivals.values())}"
        if now < self.began + self.times.gather:
            return ""
        awaited = self.awaited(now)
        if awaited is None:
            return "a majority of the voters has not told who has a lease"
        who = ", ".join(map(str, sorted(awaited)))
        return f"not prepared in time, with a lease: {who}" if awaited else ""


def bits(numbers: Sequence[int], proxies: int) -> bytes:
    """A bit for each proxy, set for these."""
    held = bytearray((proxies + 7) // 8)
    for number in numbers:
        held[number // 8] |= 1 << number % 8
    return bytes(held)
