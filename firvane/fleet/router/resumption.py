"""Conditions under which another backend may resume a response that broke off.

The route must allow resumption (`stream_resume`), and the response must be resumable. Invariants:

1. Only an event stream is resumed. The id of the last event sent to the client goes to the next backend as
   `Last-Event-Id`; that backend then sends the events that follow.
2. Only an event stream can resume another; any other response leaves the client's response truncated.
3. A response with a `Content-Length` is not resumed: another run of the request may have another length.
"""

from __future__ import annotations

import enum

from msgspec import Struct

from firvane.core.net.http_message import Message
from firvane.fleet.router.events import EventFramer

STREAM_TYPE = b"text/event-stream"
STATUS_OK = 200


class ResumeObstacle(enum.Enum):
    """Why a response that broke off is not resumed; the values are part of metric names."""

    ROUTE = "not allowed by the route"
    NOT_EVENTS = "not a stream of events"
    FIXED_LENGTH = "length announced"
    UNKNOWN_POSITION = "position unknown"


class ResponseProgress(Struct):
    """How much of a response has been sent to the client, over all attempts.

    Attributes:
        has_started: Whether the head has been sent.
        is_event_stream: Whether the body is an event stream.
        has_length: Whether the head has a `Content-Length`.
        last_event_id: Highest event id sent to the client.
        is_position_known: Whether the event with `last_event_id` is the last event sent to the client.
    """

    has_started: bool = False
    is_event_stream: bool = False
    has_length: bool = False
    last_event_id: int | None = None
    is_position_known: bool = False

    def record_start(self, response: Message) -> None:
        """Record that the head has been sent; calls for responses that resume the first have no effect."""
        if not self.has_started:
            self.has_started = True
            self.is_event_stream = is_event_stream(response)
            self.has_length = b"content-length" in response.fields

    def record_events(self, framer: EventFramer) -> None:
        """Record that all events forwarded by `framer` have been sent to the client."""
        self.last_event_id = framer.last_id
        self.is_position_known = framer.is_position_known

    def accepts(self, response: Message) -> bool:
        """Return whether a 2xx response can be sent to the client, as the first one or to resume another."""
        return not self.has_started or is_event_stream(response)

    def resume_obstacle(self, *, allowed: bool) -> ResumeObstacle | None:
        """Return why another backend cannot resume the response; None if it can.

        Args:
            allowed: Whether the route allows resumption.
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
    """Return whether the media type of a response is `text/event-stream`."""
    media_type, _, _ = response.fields.get(b"content-type", b"").partition(b";")
    return media_type.strip().lower() == STREAM_TYPE


def is_event_stream(response: Message) -> bool:
    """Return whether a response is an event stream without content encoding, so that it can be parsed."""
    is_encoded = b"content-encoding" in response.fields
    return response.status == STATUS_OK and has_event_stream_type(response) and not is_encoded
