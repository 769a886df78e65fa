"""Probes of overdue members: a direct one, then an indirect one through other members. Does no I/O."""

from __future__ import annotations

import enum

from msgspec import Struct

from firvane.core.address import Address

DIRECT_TIMEOUT_S = 0.25
"""Seconds to wait for the answer to a direct probe."""
INDIRECT_TIMEOUT_S = 0.35
"""Seconds to wait for an answer to the indirect probe."""
RELAY_LIFETIME_S = 1.0
"""Seconds for which the requester of an indirect probe is remembered."""
MAX_RELAYS = 256


class Stage(enum.Enum):
    """The stage of a probe."""

    DIRECT = enum.auto()
    INDIRECT = enum.auto()


class Probe(Struct):
    """A probe in flight."""

    target: Address
    nonce: int
    started_at: float
    deadline: float
    stage: Stage = Stage.DIRECT
    is_reported_dead: bool = False
    """Whether another member has reported the target dead, so that no suspicion precedes its death."""

    def advance(self, now: float) -> None:
        """Start the indirect probe after the time-out of the direct one."""
        self.stage = Stage.INDIRECT
        self.deadline = now + INDIRECT_TIMEOUT_S


class Relay(Struct, frozen=True):
    """The requester of a probe sent on behalf of another member."""

    requester: Address
    nonce: int
    """The nonce of the requester's own probe."""
    expires_at: float


class Probes:
    """The probes in flight, and the requesters of probes sent on behalf of other members."""

    def __init__(self) -> None:
        self._probes: dict[Address, Probe] = {}
        self._relays: dict[int, Relay] = {}

    def get(self, target: Address) -> Probe | None:
        """Return the probe of a target, or None."""
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
        """Return the probes that were not answered in time."""
        return [probe for probe in self._probes.values() if probe.deadline <= now]

    def deadline(self) -> float:
        """Return when the next probe is overdue; infinite if none is in flight."""
        return min((probe.deadline for probe in self._probes.values()), default=float("inf"))

    def add_relay(self, nonce: int, requester: Address, requester_nonce: int, now: float) -> bool:
        """Record the requester of a probe; return False if there are too many requesters."""
        for expired_nonce in [n for n, relay in self._relays.items() if relay.expires_at <= now]:
            del self._relays[expired_nonce]
        if len(self._relays) >= MAX_RELAYS:
            return False
        self._relays[nonce] = Relay(requester, requester_nonce, now + RELAY_LIFETIME_S)
        return True

    def pop_relay(self, nonce: int, now: float) -> Relay | None:
        """Remove and return the requester of the probe with this nonce; None if unknown or expired."""
        relay = self._relays.pop(nonce, None)
        return relay if relay is not None and relay.expires_at > now else None
