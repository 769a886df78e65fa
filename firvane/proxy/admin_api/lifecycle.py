"""The states of a proxy, as one table: which events each allows, and what it means to the outside.

Invariants:

1. Events that are not in the table are refused and change nothing.
2. Handing over and ending are final: a proxy that drains may resume, one that shuts down may not.
3. A proxy that is shut down before its start is over never becomes ready.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class State(Enum):
    """The state of a proxy, by the name that operators see."""

    STARTING = "starting"  # waits for the endpoint list
    READY = "ready"
    DRAINING = "draining"  # sends clients away, but does not end
    HANDING_OVER = "handing over"  # shuts down; another process has its listening socket
    ENDING = "ending"
    UNSTARTED = "ending before the start was over"


class Event(Enum):
    """What may change the state."""

    STARTED = "started"
    DRAIN = "drain"
    RESUME = "resume"
    TERMINATE = "terminate"
    SUCCEEDED = "succeeded"  # shut down, with a successor for the clients


class Availability(NamedTuple):
    """What a state means to the outside.

    Attributes:
        up: The health check `GET /up` succeeds.
        serves_requests: Requests are served, as the operators' call `ready` reports.
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
    """The state that a proxy is in."""

    def __init__(self) -> None:
        self.state = State.STARTING

    def availability(self) -> Availability:
        """What the current state means."""
        return AVAILABILITY[self.state]

    def apply(self, event: Event) -> bool:
        """Change the state by an event; return False where the table does not allow it."""
        next_state = TRANSITIONS[self.state].get(event)
        if next_state is None:
            return False
        self.state = next_state
        return True
