"""Whether a response that broke off may be continued by another backend's run of the same request.

It is the response that decides: a route only allows it (`stream_resume`). Invariants:

1. Only a stream of events is continued, from an event that the client has: its id goes to the next backend as
   `Last-Event-Id`, which then sends what the client lacks.
2. Only a stream of events continues another; any other response to the request ends the client's short.
3. A response that announced its length is not continued: that of another run need not be the same.
"""

from __future__ import annotations

import enum

from msgspec import Struct

from firvane.core.net.http_message import Message
from firvane.fleet.router.events import EventFramer

STREAM_TYPE = b"text/event-stream"
STATUS_OK = 200


class ResumeObstacle(enum.Enum):
    """Why a response that broke off is not continued; the values are names of metrics."""

    ROUTE = "not allowed by the route"
    NOT_EVENTS = "not a stream of events"
    FIXED_LENGTH = "length announced"
    UNKNOWN_POSITION = "position unknown"


class ResponseProgress(Struct):
    """How much of a response the client has, whichever backends sent the parts.

    Attributes:
        has_started: Whether the client has its head.
        is_event_stream: Whether its body is a stream of events.
        has_length: Whether its head announces the length of its body.
        last_event_id: Id of the last event with an id that the client has.
        is_position_known: Whether the client has that event and nothing behind it.
    """

    has_started: bool = False
    is_event_stream: bool = False
    has_length: bool = False
    last_event_id: int | None = None
    is_position_known: bool = False

    def record_start(self, response: Message) -> None:
        """The head of a response went to the client; of responses that continue it, only the body does."""
        if not self.has_started:
            self.has_started = True
            self.is_event_stream = is_event_stream(response)
            self.has_length = b"content-length" in response.fields

    def record_events(self, framer: EventFramer) -> None:
        """All that a framer has passed on went to the client."""
        self.last_event_id = framer.last_id
        self.is_position_known = framer.is_position_known

    def accepts(self, response: Message) -> bool:
        """Return whether the client can be given a success, as a whole or as a continuation."""
        return not self.has_started or is_event_stream(response)

    def resume_obstacle(self, *, allowed: bool) -> ResumeObstacle | None:
        """Return why another backend cannot continue the response; None where it can.

        Args:
            allowed: Whether the route allows it.
        """
        if not allowed:
            return ResumeObstacle.ROUTE
        if not self.is_event_stream:
            return ResumeObstacle.NOT_EVENTS
        if self.has_length:
            return ResumeObstacle.FIXED_LENGTH
        if not self.is_position_known:
            return ResumeObstacle.UNKNOWN_POSITION
        return None


def has_event_stream_type(response: Message) -> bool:
    """Return whether the media type of a response is that of event streams."""
    media_type, _, _ = response.fields.get(b"content-type", b"").partition(b";")
    return media_type.strip().lower() == STREAM_TYPE


def is_event_stream(response: Message) -> bool:
    """Return whether the body of a response is a stream of events whose bytes can be read here."""
    is_encoded = b"content-encoding" in response.fields
    return response.status == STATUS_OK and has_event_stream_type(response) and not is_encoded
