"""The states of a proxy, as one table: what is heard in each, and what each means to those outside.

Rules that hold here and nowhere else:

1. What stands in the table happens; what does not is turned down with a reason and changes nothing.
2. Handing over and ending are final: who drains may resume, who has been told to end may not.
3. Who is told to end before the start is over never takes a client: it does not become ready any more.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class State(Enum):
    STARTING = "starting"  # the list is not here yet
    READY = "ready"
    DRAINING = "draining"  # told to send clients away, and to stay
    HANDING_OVER = "handing over"  # told to end, and another process has its listening socket
    ENDING = "ending"
    UNSTARTED = "ending before the start was over"


class Event(Enum):
    STARTED = "started"
    DRAIN = "drain"
    RESUME = "resume"
    TERMINATE = "terminate"
    SUCCEEDED = "succeeded"  # told to end, and another process takes the clients


class Meaning(NamedTuple):
    """What a state means."""

    up: bool  # GET /up says yes
    takes: bool  # requests are taken, which is what the operators' `ready` asks


MEANING = {
    State.STARTING: Meaning(up=False, takes=False),
    State.READY: Meaning(up=True, takes=True),
    State.DRAINING: Meaning(up=False, takes=True),
    State.HANDING_OVER: Meaning(up=False, takes=True),
    State.ENDING: Meaning(up=False, takes=True),
    State.UNSTARTED: Meaning(up=False, takes=False),
}
_END = {Event.TERMINATE: State.ENDING, Event.SUCCEEDED: State.HANDING_OVER}
TABLE: dict[State, dict[Event, State]] = {
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


class Life:
    """The state that a proxy is in."""

    def __init__(self) -> None:
        self.state = State.STARTING

    def meaning(self) -> Meaning:
        return MEANING[self.state]

    def hear(self, event: Event) -> bool:
        """Whether it is for this state; the next one holds then."""
        following = TABLE[self.state].get(event)
        if following is None:
            return False
        self.state = following
        return True
