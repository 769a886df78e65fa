"""Events of a stream (`text/event-stream`), gathered from bytes cut anywhere and passed on whole.

Rules that hold here and nowhere else:

1. Only whole events are passed on while a stream runs, so that one that breaks off can be continued by
   another backend without a seam inside an event.
2. Of a continued stream, events whose id is not above the last one passed on are dropped: none comes twice.
3. What follows the last whole event is passed on only where the stream has ended in order.
"""

from __future__ import annotations

import re

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?:^|\n)id:[ ]?(\d{1,18})")
MAX_EVENT = 1024 * 1024  # bytes of one event; beyond it is passed on as it comes


class EventFramer:
    """Splits the body of one answer into events."""

    __slots__ = ("last_id", "partial", "passed")

    def __init__(self, last_id: int | None = None) -> None:
        """`last_id` is that of the last event which the client already has."""
        self.last_id = last_id
        self.passed = 0  # events passed on
        self.partial = b""

    def feed(self, data: bytes) -> bytes:
        """The whole events that are here now, without those that the client already has."""
        data = self.partial + data if self.partial else data
        kept: list[bytes] = []
        start = 0
        for match in END_OF_EVENT.finditer(data):
            event = data[start : match.end()]
            start = match.end()
            if self._is_new(event):
                kept.append(event)
        self.partial = data[start:]
        if len(self.partial) > MAX_EVENT:
            kept.append(self.partial)
            self.partial = b""
        return b"".join(kept)

    def finish(self) -> bytes:
        """What is left of a stream that has ended in order."""
        rest, self.partial = self.partial, b""
        return rest

    def _is_new(self, event: bytes) -> bool:
        match = EVENT_ID.search(event)
        if match is None:
            self.passed += 1
            return True
        number = int(match.group(1))
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        self.passed += 1
        return True
