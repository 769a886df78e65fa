"""A reference implementation of `EventFramer` that searches all buffered data again for each piece.

It uses regular expressions, supports LF and CRLF line ends, and buffers events of any size.
"""

from __future__ import annotations

import re

END_OF_EVENT = re.compile(rb"\r?\n\r?\n")
ID_FIELD = re.compile(rb"^id(?::[ ]?([^\r\n]*))?\r?$", re.MULTILINE)
NUMERIC_ID = re.compile(rb"\d{1,18}")
COMMENTS_ONLY = re.compile(rb"(?:(?::[^\r\n]*)?\r?\n)+")


class RegexFramer:
    """Splits a body into events; `forwarded` is the data sent to the client."""

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id
        self.is_position_known = self.is_catching_up = last_id is not None
        self.is_unknown = False  # whether an event was received that the client may already have
        self.forwarded_events = 0
        self.partial = b""
        self.forwarded = b""

    def feed(self, data: bytes) -> None:
        data, start = self.partial + data, 0
        for match in END_OF_EVENT.finditer(data):
            event, start = data[start : match.end()], match.end()
            if self.is_unknown:
                return
            if self._accept_event(event):
                self.forwarded += event
        self.partial = data[start:]

    def _accept_event(self, event: bytes) -> bool:
        fields = ID_FIELD.findall(event)
        if not fields or not NUMERIC_ID.fullmatch(fields[-1]):
            if not COMMENTS_ONLY.fullmatch(event):
                self.is_unknown, self.is_position_known = self.is_catching_up, False
            self.forwarded_events += not self.is_unknown
            return not self.is_unknown
        is_higher = self.last_id is None or int(fields[-1]) > self.last_id
        if self.is_catching_up and not is_higher:
            return False
        self.forwarded_events += 1
        self.is_position_known, self.is_catching_up = is_higher, False
        if is_higher:
            self.last_id = int(fields[-1])
        return True
