"""Events of a stream (`text/event-stream`), assembled from bytes that are split anywhere.

Invariants:

1. Only complete events are passed on while a stream runs, so that another backend can continue a stream that
   breaks off without a seam inside an event.
2. Of a continued stream, events whose id is not above the last one passed on are dropped: none comes twice.
3. What follows the last complete event is passed on only where the stream has ended in order.
"""

from __future__ import annotations

import re

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?(\d{1,18})")
MAX_EVENT_BYTES = 1024 * 1024  # a larger event is passed on as it comes


class EventFramer:
    """Splits the body of one response into events.

    Attributes:
        last_id: Id of the last event that the client has.
        passed: Number of events passed on.
        partial: Bytes of an event that is not complete.
    """

    __slots__ = ("last_id", "partial", "passed")

    def __init__(self, last_id: int | None = None) -> None:
        """`last_id` is that of the last event which the client already has."""
        self.last_id = last_id
        self.passed = 0
        self.partial = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete now, without those that the client already has."""
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
            kept.append(self.partial)
            self.partial = b""
        return b"".join(kept)

    def finish(self) -> bytes:
        """Return the rest of a stream that has ended in order."""
        rest, self.partial = self.partial, b""
        return rest

    def _is_new(self, event: bytes) -> bool:
        match = EVENT_ID.search(event)
        if match is None:
            self.passed += 1
            return True
        event_id = int(match.group(1))
        if self.last_id is not None and event_id <= self.last_id:
            return False
        self.last_id = event_id
        self.passed += 1
        return True
