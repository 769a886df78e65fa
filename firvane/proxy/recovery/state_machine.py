"""The order in which service returns, as one table of states.

Rules that hold here and nowhere else:

1. What stands in the table happens; what does not is no news in that state and changes nothing.
2. Nothing ends by time alone. A recovery is over when its boxes are shown to be warm, or when for `CALM`
   seconds all that was asked found room; a wait for peers ends because they have said nothing, which is
   news: then nobody is known to be warm.
3. A proxy that starts is not over until it has heard of warm peers or found its boxes itself. One that runs
   comes back into the table when half of its boxes are cold: power can go from them alone, and again.
4. Each change has a cause in words, which the log and the door tell.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

CALM = 3.0  # s in which everything found room
PATIENCE = 0.5  # s that peers have to say that they are warm: ten times what a datagram takes


class State(Enum):
    """Where a proxy is on its way back."""

    LISTLESS = "listless"  # no list of boxes yet: all is refused
    ASKING = "asking"  # boxes are tried meanwhile; peers may say that they are warm
    TRIALS = "trials"  # each box is tried by its home; none has answered
    GROWING = "growing"  # rooms are found by steps
    OVER = "over"  # the ordinary way of things


class Event(Enum):
    """What is heard."""

    LISTED = "listed"
    PEERS_WARM = "peers are warm"
    NOBODY_WARM = "nobody is known to be warm"
    ANSWERED = "a box has answered"
    STRUCK = "half of its boxes are cold"
    CALM = "all finds room"
    WARM = "its boxes are warm"
    LOST = "no box is left"


TABLE: dict[State, dict[Event, State]] = {
    State.LISTLESS: {Event.LISTED: State.ASKING},
    State.ASKING: {
        Event.PEERS_WARM: State.OVER,
        Event.NOBODY_WARM: State.TRIALS,
        Event.STRUCK: State.TRIALS,
        Event.LOST: State.LISTLESS,
    },
    State.TRIALS: {
        Event.ANSWERED: State.GROWING,
        Event.PEERS_WARM: State.OVER,
        Event.LOST: State.LISTLESS,
    },
    State.GROWING: {Event.CALM: State.OVER, Event.WARM: State.OVER, Event.LOST: State.LISTLESS},
    State.OVER: {Event.STRUCK: State.GROWING},
}


class Change(NamedTuple):
    """One change of state."""

    at: float
    was: State
    now: State
    why: str


class RecoveryStateMachine:
    """The state that a proxy is in, since when, and why."""

    def __init__(self, now: float) -> None:
        self.state, self.since, self.why = State.LISTLESS, now, "it has just started"
        self.changes: list[Change] = []  # not told yet

    @property
    def on(self) -> bool:
        return self.state is not State.OVER

    def hear(self, event: Event, now: float, more: str = "") -> bool:
        """Whether that was news in this state; the next one holds then."""
        following = TABLE[self.state].get(event)
        if following is None:
            return False
        why = f"{event.value} ({more})" if more else event.value
        self.changes.append(Change(now, self.state, following, why))
        self.state, self.since, self.why = following, now, why
        return True

    def told(self) -> list[Change]:
        """The changes since the last time, for the log."""
        changes, self.changes = self.changes, []
        return changes
