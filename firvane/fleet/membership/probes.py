"""Probes of overdue members: a direct one, then an indirect one through other members. Does no I/O."""

from __future__ import annotations

import enum

from msgspec import Struct

from firvane.core.address import Address

DIRECT_TIMEOUT_S = 0.25
"""Seconds to wait for the answer to a direct probe."""
INDIRECT_TIMEOUT_S = 0.35
"""Seconds to wait for an answer that may come through another member."""
RELAY_LIFETIME_S = 1.0
"""Seconds for which a member remembers for whom it probes."""
MAX_RELAYS = 256


class Stage(enum.Enum):
    """How far a probe has come."""

    DIRECT = enum.auto()
    INDIRECT = enum.auto()


class Probe(Struct):
    """A probe that waits for its answer."""

    target: Address
    nonce: int
    started: float
    deadline: float
    stage: Stage = Stage.DIRECT
    is_reported_dead: bool = False
    """Whether another member has already confirmed the death of the target."""

    def advance(self, now: float) -> None:
        """Go on to the indirect probe, since no answer came in time."""
        self.stage = Stage.INDIRECT
        self.deadline = now + INDIRECT_TIMEOUT_S


class Relay(Struct, frozen=True):
    """A probe sent on behalf of another member."""

    requester: Address
    nonce: int
    """The requester's own nonce."""
    expires: float


class Probes:
    """The probes in flight, and those sent for others."""

    def __init__(self) -> None:
        self._probes: dict[Address, Probe] = {}
        self._relays: dict[int, Relay] = {}

    def get(self, target: Address) -> Probe | None:
        """The probe of a target, or None."""
        return self._probes.get(target)

    def start(self, target: Address, nonce: int, now: float) -> Probe:
        """Start a direct probe."""
        probe = self._probes[target] = Probe(target, nonce, now, now + DIRECT_TIMEOUT_S)
        return probe

    def cancel(self, target: Address) -> None:
        """End the probe of a target."""
        self._probes.pop(target, None)

    def clear(self) -> None:
        """End all probes."""
        self._probes.clear()

    def overdue(self, now: float) -> list[Probe]:
        """Probes without an answer in time."""
        return [probe for probe in self._probes.values() if probe.deadline <= now]

    def deadline(self) -> float:
        """When the next probe is overdue; infinite if none is in flight."""
        return min((probe.deadline for probe in self._probes.values()), default=float("inf"))

    def relay(self, nonce: int, requester: Address, requester_nonce: int, now: float) -> bool:
        """Remember for whom a probe is sent; False if there are too many."""
        for old in [n for n, relay in self._relays.items() if relay.expires <= now]:
            del self._relays[old]
        if len(self._relays) >= MAX_RELAYS:
            return False
        self._relays[nonce] = Relay(requester, requester_nonce, now + RELAY_LIFETIME_S)
        return True

    def relayed(self, nonce: int, now: float) -> Relay | None:
        """Return, once, for whom the probe with this nonce was sent; None where that is not known."""
        relay = self._relays.pop(nonce, None)
        return relay if relay is not None and relay.expires > now else None
