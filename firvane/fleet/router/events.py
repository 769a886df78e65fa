"""Events of a stream (`text/event-stream`), assembled from bytes that are split anywhere.

Invariants:

1. Only complete events are passed on while a stream runs, so that another backend can continue a stream that
   breaks off without a seam inside an event. An event over `MAX_EVENT_BYTES` is the exception: until the next
   event with an id the client's position is not known.
2. Of a response that continues another, the events before the first one whose id is above that of the last
   one passed on are dropped: none comes twice. Nothing else is dropped, whatever its id.
3. What follows the last complete event is passed on only where the stream has ended in order.
4. The client's position is known where the last event passed on had an id above all before. Comments do not
   change it.
"""

from __future__ import annotations

import re

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
ID_FIELD = re.compile(rb"^id(?::[ ]?([^\r\n]*))?\r?$", re.MULTILINE)
NUMERIC_ID = re.compile(rb"\d{1,18}")
COMMENTS_ONLY = re.compile(rb"(?:(?::[^\r\n]*)?\r?\n)+")
MAX_EVENT_BYTES = 1024 * 1024  # a larger event is passed on as it comes


class UnknownPositionError(Exception):
    """A backend that continues a stream sends an event of which it is not known whether the client has it."""


class EventFramer:
    """Splits the body of one response into events.

    Attributes:
        last_id: Id of the last event with an id that the client has.
        is_position_known: Whether the client has that event and nothing behind it.
        is_catching_up: Whether the response continues another, and no event behind `last_id` has come yet.
        is_inside_event: Whether a part of an event that is not complete was passed on.
        passed: Number of events passed on.
        partial: Bytes of an event that is not complete.
    """

    __slots__ = ("is_catching_up", "is_inside_event", "is_position_known", "last_id", "partial", "passed")

    def __init__(self, last_id: int | None = None) -> None:
        """`last_id` is that of the last event that the client has, where the response continues another."""
        self.last_id = last_id
        self.is_position_known = self.is_catching_up = last_id is not None
        self.is_inside_event = False
        self.passed = 0
        self.partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete now, without those that the client already has.

        Raises:
            UnknownPositionError: It is not known whether the client already has an event.
        """
        data = self.partial + data if self.partial else data
        kept: list[bytes] = []
        start = 0
        for match in END_OF_EVENT.finditer(data):
            event = data[start : match.end()]
            start = match.end()
            if self._is_new(event):
                kept.append(event)
        self.partial = data[start:]
        if len(self.partial) > MAX_EVENT_BYTES:
            kept.append(self._take_large_partial())
        return b"".join(kept)

    def finish(self) -> bytes:
        """Return the rest of a stream that has ended in order."""
        rest, self.partial = self.partial, b""
        return rest

    def _take_large_partial(self) -> bytes:
        if self.is_catching_up:
            raise UnknownPositionError
        self.is_inside_event, self.is_position_known = True, False
        return self.finish()

    def _is_new(self, event: bytes) -> bool:
        if self.is_inside_event:  # the rest of a large event
            self.is_inside_event = False
            return True
        event_id = numeric_id(event)
        if event_id is None:
            self._record_event_without_id(event)
            return True
        rises = self.last_id is None or event_id > self.last_id
        if self.is_catching_up and not rises:
            return False
        self.passed += 1
        self.is_position_known, self.is_catching_up = rises, False
        if rises:
            self.last_id = event_id
        return True

    def _record_event_without_id(self, event: bytes) -> None:
        self.passed += 1
        if COMMENTS_ONLY.fullmatch(event):
            return
        if self.is_catching_up:
            raise UnknownPositionError
        self.is_position_known = False


def numeric_id(event: bytes) -> int | None:
    """Return the id of an event; None where it has none, or one that is no number."""
    fields: list[bytes] = ID_FIELD.findall(event)
    if not fields or not NUMERIC_ID.fullmatch(fields[-1]):
        return None
    return int(fields[-1])
