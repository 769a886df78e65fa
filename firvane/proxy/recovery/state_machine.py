"""The states of a recovery, in the order in which service returns, as one table.

Invariants:

1. What is in `TRANSITIONS` happens; an event that is not in it for a state changes nothing.
2. No state ends by time alone. A recovery is over when its backends are shown to be warm, or when for
   `CALM_PERIOD_S` all that was asked found capacity; a wait for peers ends because they have reported
   nothing, which is an event: then nobody is known to be warm.
3. A proxy that starts is not over until it has reports of warm peers or has found its backends itself. One
   that runs comes back into the table when half of its backends are cold: power can fail for them alone, and
   again.
4. Each transition has a reason in words, for the log and the admin API.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

CALM_PERIOD_S = 3.0  # in which everything found capacity
PEER_TIMEOUT_S = 0.5  # for peers to report that they are warm: ten times what a datagram takes


class RecoveryState(Enum):
    """The state of a recovery; the values are shown to operators."""

    NO_ENDPOINTS = "listless"  # no endpoint list yet: all requests are rejected
    ASKING_PEERS = "asking"  # backends are tried meanwhile; peers may report that they are warm
    PROBING = "trials"  # each backend is tried by its owner; none has answered
    GROWING = "growing"  # capacities are found by steps
    OVER = "over"  # ordinary operation


class RecoveryEvent(Enum):
    """What leads from one state to the next; the values are shown to operators."""

    LISTED = "listed"
    PEERS_WARM = "peers are warm"
    NOBODY_WARM = "nobody is known to be warm"
    ANSWERED = "a box has answered"
    BACKENDS_COLD = "half of its boxes are cold"
    CALM = "all finds room"
    WARM = "its boxes are warm"
    ENDPOINTS_LOST = "no box is left"


TRANSITIONS: dict[RecoveryState, dict[RecoveryEvent, RecoveryState]] = {
    RecoveryState.NO_ENDPOINTS: {RecoveryEvent.LISTED: RecoveryState.ASKING_PEERS},
    RecoveryState.ASKING_PEERS: {
        RecoveryEvent.PEERS_WARM: RecoveryState.OVER,
        RecoveryEvent.NOBODY_WARM: RecoveryState.PROBING,
        RecoveryEvent.BACKENDS_COLD: RecoveryState.PROBING,
        RecoveryEvent.ENDPOINTS_LOST: RecoveryState.NO_ENDPOINTS,
    },
    RecoveryState.PROBING: {
        RecoveryEvent.ANSWERED: RecoveryState.GROWING,
        RecoveryEvent.PEERS_WARM: RecoveryState.OVER,
        RecoveryEvent.ENDPOINTS_LOST: RecoveryState.NO_ENDPOINTS,
    },
    RecoveryState.GROWING: {
        RecoveryEvent.CALM: RecoveryState.OVER,
        RecoveryEvent.WARM: RecoveryState.OVER,
        RecoveryEvent.ENDPOINTS_LOST: RecoveryState.NO_ENDPOINTS,
    },
    RecoveryState.OVER: {RecoveryEvent.BACKENDS_COLD: RecoveryState.GROWING},
}


class Transition(NamedTuple):
    """One change of state."""

    at: float
    old: RecoveryState
    new: RecoveryState
    reason: str


class RecoveryStateMachine:
    """The state that a proxy is in, since when, and why. Times are seconds on one clock."""

    def __init__(self, now: float) -> None:
        self.state = RecoveryState.NO_ENDPOINTS
        self.since = now
        self.reason = "it has just started"
        self.transitions: list[Transition] = []  # that have not been taken

    @property
    def is_active(self) -> bool:
        """Whether the recovery is not over."""
        return self.state is not RecoveryState.OVER

    def apply(self, event: RecoveryEvent, now: float, detail: str = "") -> bool:
        """Handle an event; return whether it has changed the state."""
        new = TRANSITIONS[self.state].get(event)
        if new is None:
            return False
        reason = f"{event.value} ({detail})" if detail else event.value
        self.transitions.append(Transition(now, self.state, new, reason))
        self.state, self.since, self.reason = new, now, reason
        return True

    def take_transitions(self) -> list[Transition]:
        """Return the transitions since the last call, for the log."""
        transitions, self.transitions = self.transitions, []
        return transitions
