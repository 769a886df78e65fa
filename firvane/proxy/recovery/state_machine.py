"""The states of a recovery, in the order in which service returns, as one table.

Invariants:

1. All transitions are in `TRANSITIONS`; an event without an entry for the current state changes nothing.
2. No state ends by time alone. A recovery ends when its backends are known to be warm, or when no request was
   rejected for lack of capacity for `CALM_PERIOD_S`. A wait for peers ends with the event that they have not
   reported: no peer is known to be warm then.
3. A starting proxy stays in recovery until peers report that they are warm or its own backends have
   recovered. A running proxy enters recovery again when half of its backends are cold: power can fail for the
   backends alone, and repeatedly.
4. Each transition has a reason in words, for the log and the admin API.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

CALM_PERIOD_S = 3.0  # without a request that found no capacity
PEER_TIMEOUT_S = 0.5  # for peers to report that they are warm: ten times the transit time of a datagram


class RecoveryState(Enum):
    """The state of a recovery; the values are shown to operators."""

    NO_ENDPOINTS = "listless"  # no endpoint list yet, so all requests are rejected
    ASKING_PEERS = "asking"  # waiting for reports of warm peers; backends are tried meanwhile
    PROBING = "trials"  # each backend is tried by its owner; none has responded
    GROWING = "growing"  # capacities are increased by steps
    OVER = "over"  # ordinary operation


class RecoveryEvent(Enum):
    """The causes of transitions; the values are shown to operators."""

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
    """The current state of a recovery, its start and its reason. Times are seconds on one clock."""

    def __init__(self, now: float) -> None:
        self.state = RecoveryState.NO_ENDPOINTS
        self.since = now
        self.reason = "it has just started"
        self.transitions: list[Transition] = []  # since the last `take_transitions`

    @property
    def is_active(self) -> bool:
        """Whether the recovery is not over."""
        return self.state is not RecoveryState.OVER

    def apply(self, event: RecoveryEvent, now: float, detail: str = "") -> bool:
        """Handle an event; return whether the state has changed."""
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
