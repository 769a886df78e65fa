"""The lifecycle states of a proxy: the allowed events of each state, and its availability to clients.

Invariants:

1. Events that are not in the table are rejected and change nothing.
2. A shutdown (handing over, ending) is final: a draining proxy may resume, one that shuts down may not.
3. A proxy that is shut down before its start is complete never becomes ready.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class State(Enum):
    """The state of a proxy, by the name that operators see."""

    STARTING = "starting"  # waits for the first endpoint list
    READY = "ready"
    DRAINING = "draining"  # disconnects its clients, but does not shut down
    HANDING_OVER = "handing over"  # shuts down; a successor has the listening socket
    ENDING = "ending"
    UNSTARTED = "ending before the start was over"


class Event(Enum):
    """An event that may change the state."""

    STARTED = "started"
    DRAIN = "drain"
    RESUME = "resume"
    TERMINATE = "terminate"
    SUCCEEDED = "succeeded"  # shut down because a successor serves the clients


class Availability(NamedTuple):
    """The availability of a proxy to clients and operators in a state.

    Attributes:
        up: Whether the health check `GET /up` succeeds.
        serves_requests: Whether requests are served, as the admin call `ready` reports.
    """

    up: bool
    serves_requests: bool


AVAILABILITY = {
    State.STARTING: Availability(up=False, serves_requests=False),
    State.READY: Availability(up=True, serves_requests=True),
    State.DRAINING: Availability(up=False, serves_requests=True),
    State.HANDING_OVER: Availability(up=False, serves_requests=True),
    State.ENDING: Availability(up=False, serves_requests=True),
    State.UNSTARTED: Availability(up=False, serves_requests=False),
}
_END = {Event.TERMINATE: State.ENDING, Event.SUCCEEDED: State.HANDING_OVER}
TRANSITIONS: dict[State, dict[Event, State]] = {
    State.STARTING: {
        Event.STARTED: State.READY,
        Event.TERMINATE: State.UNSTARTED,
        Event.SUCCEEDED: State.UNSTARTED,
    },
    State.READY: {Event.DRAIN: State.DRAINING, Event.RESUME: State.READY, **_END},
    State.DRAINING: {Event.DRAIN: State.DRAINING, Event.RESUME: State.READY, **_END},
    State.HANDING_OVER: {Event.TERMINATE: State.HANDING_OVER, Event.SUCCEEDED: State.HANDING_OVER},
    State.ENDING: {Event.TERMINATE: State.ENDING},
    State.UNSTARTED: {Event.TERMINATE: State.UNSTARTED, Event.SUCCEEDED: State.UNSTARTED},
}


class Lifecycle:
    """The current state of a proxy."""

    def __init__(self) -> None:
        self.state = State.STARTING

    def availability(self) -> Availability:
        """Return the availability in the current state."""
        return AVAILABILITY[self.state]

    def apply(self, event: Event) -> bool:
        """Change the state by an event; return False if the state does not allow it."""
        next_state = TRANSITIONS[self.state].get(event)
        if next_state is None:
            return False
        self.state = next_state
        return True
