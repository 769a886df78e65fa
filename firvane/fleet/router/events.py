"""Framing of server-sent events (`text/event-stream`), whose bytes may be split anywhere.

Invariants:

1. Only complete events are forwarded while a stream is in progress, so that another backend can resume a
   broken stream at an event boundary. Events over `MAX_EVENT_BYTES` are the exception: after such an event
   the client's position is unknown until the next event with an id.
2. When a response resumes another, its events are dropped up to the first one whose id is above that of the
   last forwarded event, so that no event is sent twice. No other events are dropped, whatever their ids.
3. Data after the last complete event is forwarded only if the stream is complete (`may_end`). A response that
   resumes another must end between events, after a new one. So must a response without framing, whose end is
   also that of a backend that was killed.
4. The client's position is known if the last forwarded event has an id above all earlier ids. Comments do not
   change the position.
5. The work is linear in the number of bytes, however they are split: each byte is searched once for each form
   of an empty line, and once more when its event is complete.

Lines end with LF, CRLF or CR (HTML Living Standard, 9.2.5); a CRLF may be split too. An event that ends with
a CR, but has an LF before it, is complete only when the LF that may follow has arrived or cannot follow.
"""

from __future__ import annotations

import re

LF, CR = b"\n", b"\r"
LINE_ENDS = (LF, CR)
# Two consecutive line ends, which end an event; without the LF that may follow a final CR.
EMPTY_LINES = (b"\n\n", b"\n\r", b"\r\r")
ID_NAME = b"id"
ID_NAME_ENDS = (b":", LF, CR)
COMMENT_OR_EMPTY = (b":", LF, CR)  # first bytes of comments and of empty lines
NUMERIC_ID_FIELD = re.compile(rb"id: ?(\d{1,18})[\r\n]")
MAX_EVENT_BYTES = 1024 * 1024  # a larger event is forwarded before it is complete


class UnknownPositionError(Exception):
    """A resumed stream has an event without an id or too large, which the client may already have."""


class EventFramer:
    """Splits the body of one response into events.

    Attributes:
        last_id: Highest event id sent to the client.
        is_position_known: Whether the event with `last_id` is the last event sent to the client.
        is_resumed: Whether the response resumes another.
        is_catching_up: Whether the response resumes another and has not had an event after `last_id` yet.
        is_inside_event: Whether a part of an incomplete event has been forwarded.
        forwarded_events: Number of events forwarded.
        partial_bytes: Number of buffered bytes of an incomplete event.
    """

    __slots__ = (
        "_awaits_lf",
        "_comments",
        "_ends_with_cr",
        "_large_part_has_lf",
        "_line_end",
        "_pieces",
        "_was_forwarded",
        "forwarded_events",
        "is_catching_up",
        "is_inside_event",
        "is_position_known",
        "is_resumed",
        "last_id",
        "partial_bytes",
    )

    def __init__(self, last_id: int | None = None) -> None:
        """`last_id` is the highest event id sent to the client if the response resumes another, else None."""
        self.last_id = last_id
        self.is_resumed = last_id is not None
        self.is_position_known = self.is_catching_up = self.is_resumed
        self.is_inside_event = False
        self.forwarded_events = 0
        self.partial_bytes = 0
        self._pieces: list[bytes] = []  # of an incomplete event
        self._line_end = b""  # last byte of the pieces if it is a line end
        self._awaits_lf = False  # the pieces are a whole event that ends with CR, and an LF may follow
        self._ends_with_cr = False  # the last event ended with a CR, and an LF may follow
        self._large_part_has_lf = False  # whether the forwarded part of an incomplete event has an LF
        self._comments = 0  # forwarded events that consist only of comments
        self._was_forwarded = False  # whether the last event was forwarded

    def feed(self, data: bytes) -> bytes:
        """Add received data, and return the complete events that must be forwarded to the client.

        Raises:
            UnknownPositionError: It is unknown whether the client already has an event.
        """
        if self._is_single_event(data):
            return data if self._accept_event(data) else b""
        if not data:
            return b""
        forwarded: list[bytes] = []
        start = self._finish_crlf(data, forwarded) if self._awaits_lf or self._ends_with_cr else 0
        for end in self._event_ends(data, start):
            event = self._complete_event(data[start:end])
            start = end
            if self._ends_with_cr and end == len(data) and self._has_lf(event):
                self._hold_back(event)
            else:
                self._forward_event(event, forwarded)
        self._buffer_partial(data[start:])
        if self.partial_bytes > MAX_EVENT_BYTES and not self._awaits_lf:
            forwarded.append(self._take_large_partial())
        return b"".join(forwarded)

    def may_end(self, *, is_framed: bool) -> bool:
        """Return whether the stream is complete if the response ends here.

        Args:
            is_framed: Whether the response has framing that says that its body is complete. Otherwise it ends
                with its connection, which the kernel also closes when the backend is killed.
        """
        if self.is_resumed:
            return not self.is_catching_up and self._is_between_events()
        return is_framed or (self._has_event() and self._is_between_events())

    def finish(self) -> bytes:
        """Return and clear the buffered data of an incomplete event."""
        partial = b"".join(self._pieces)
        self._pieces.clear()
        self.partial_bytes, self._line_end, self._awaits_lf = 0, b"", False
        return partial

    def _has_event(self) -> bool:
        """Return whether an event has been forwarded, at least in part; comments do not count."""
        return self.forwarded_events > self._comments

    def _is_between_events(self) -> bool:
        """Return whether no event is incomplete; comments and empty lines may follow the last event."""
        if self.is_inside_event:
            return False
        partial = b"".join(self._pieces)
        return not partial or (partial[-1:] in LINE_ENDS and is_comment(partial))

    def _is_single_event(self, data: bytes) -> bool:
        """Return whether `data` is exactly one event with LF line ends, which is the usual case."""
        if self._pieces or self._line_end or self._ends_with_cr or CR in data:
            return False
        return 0 <= data.find(EMPTY_LINES[0]) == len(data) - len(EMPTY_LINES[0])

    def _finish_crlf(self, data: bytes, forwarded: list[bytes]) -> int:
        """Complete the CRLF of the last event if `data` begins with its LF; return the offset after it."""
        has_lf = data.startswith(LF)
        if self._awaits_lf:
            self._forward_event(self._complete_event(LF if has_lf else b""), forwarded)
        elif has_lf and self._was_forwarded:
            forwarded.append(LF)
        self._awaits_lf = self._ends_with_cr = False
        return int(has_lf)

    def _has_lf(self, event: bytes) -> bool:
        """Return whether an event has an LF, so that its line ends are CRLF if the last one is a CR."""
        return LF in event or (self.is_inside_event and self._large_part_has_lf)

    def _hold_back(self, event: bytes) -> None:
        """Buffer a complete event until it is known whether an LF follows."""
        self._buffer_partial(event)
        self._awaits_lf, self._ends_with_cr = True, False

    def _forward_event(self, event: bytes, forwarded: list[bytes]) -> None:
        """Update the position by a complete event, and forward it if the client needs it."""
        self._was_forwarded = self._accept_event(event)
        if self._was_forwarded:
            forwarded.append(event)

    def _event_ends(self, data: bytes, start: int) -> list[int]:
        """Return the end offset of each event that ends in `data` from `start` on."""
        ends: list[int] = []
        if self._line_end and (self._line_end + data[start : start + 1]) in EMPTY_LINES:
            start = self._after_line_end(data, start)
            ends.append(start)
        patterns = [pattern for pattern in EMPTY_LINES if pattern in data] if CR in data else [EMPTY_LINES[0]]
        offsets = [data.find(pattern, start) for pattern in patterns]
        while offsets and (first := min(offsets)) >= 0:
            start = self._after_line_end(data, first + 1)
            ends.append(start)
            if len(patterns) == 1:
                offsets[0] = data.find(patterns[0], start)
            else:
                patterns, offsets = _find_next(data, start, patterns, offsets)
        return ends

    def _after_line_end(self, data: bytes, offset: int) -> int:
        """Return the offset after the line end at this offset, and record a CR that an LF may follow."""
        if not data.startswith(CR, offset):
            return offset + 1
        if data.startswith(LF, offset + 1):
            return offset + 2
        self._ends_with_cr = offset + 1 == len(data)
        return offset + 1

    def _complete_event(self, last_piece: bytes) -> bytes:
        """Return a complete event, given its last piece."""
        if not self._pieces:
            return last_piece
        self._pieces.append(last_piece)
        return self.finish()

    def _buffer_partial(self, data: bytes) -> None:
        if data:
            self._pieces.append(data)
            self.partial_bytes += len(data)
            last = data[-1:]
            self._line_end = last if last in LINE_ENDS else b""

    def _take_large_partial(self) -> bytes:
        if self.is_catching_up:
            raise UnknownPositionError
        self.is_inside_event, self.is_position_known = True, False
        line_end = self._line_end
        partial = self.finish()
        self._line_end = line_end  # the event may end with the next byte
        self._large_part_has_lf = self._large_part_has_lf or LF in partial
        return partial

    def _accept_event(self, event: bytes) -> bool:
        """Update the position by a complete event, and return whether to forward the event."""
        if self.is_inside_event:  # the remainder of a large event
            self.is_inside_event = self._large_part_has_lf = False
            self.forwarded_events += 1
            return True
        event_id = numeric_id(event)
        if event_id is None:
            self._record_event_without_id(event)
            return True
        is_higher = self.last_id is None or event_id > self.last_id
        if self.is_catching_up and not is_higher:
            return False
        self.forwarded_events += 1
        self.is_position_known, self.is_catching_up = is_higher, False
        if is_higher:
            self.last_id = event_id
        return True

    def _record_event_without_id(self, event: bytes) -> None:
        self.forwarded_events += 1
        if is_comment(event):
            self._comments += 1
            return
        if self.is_catching_up:
            raise UnknownPositionError
        self.is_position_known = False


def _find_next(
    data: bytes, start: int, patterns: list[bytes], offsets: list[int]
) -> tuple[list[bytes], list[int]]:
    """Return the patterns that occur from `start` on, and their offsets.

    Offsets from `start` on are still valid; only patterns with earlier offsets are searched again.
    """
    positions = [
        offset if offset >= start else data.find(pattern, start)
        for pattern, offset in zip(patterns, offsets, strict=True)
    ]
    occurring = [
        (pattern, offset) for pattern, offset in zip(patterns, positions, strict=True) if offset >= 0
    ]
    return [pattern for pattern, _ in occurring], [offset for _, offset in occurring]


def numeric_id(event: bytes) -> int | None:
    """Return the id of an event; None if it has no id, or one that is not a number."""
    offset = _last_id_line(event)
    if offset < 0:
        return None
    match = NUMERIC_ID_FIELD.match(event, offset)
    return int(match[1]) if match else None


def _last_id_line(event: bytes) -> int:
    """Return the offset of the last line that is an `id` field; -1 if there is none."""
    last = _last_id_line_after(LF, event)
    return max(last, _last_id_line_after(CR, event)) if CR in event else last


def _last_id_line_after(line_end: bytes, event: bytes) -> int:
    """Return the offset of the last `id` field that is the first line or follows this line end, or -1."""
    line_start = line_end + ID_NAME
    offset = event.rfind(line_start)
    while offset >= 0 and not _is_id_field(event, offset + 1):
        offset = event.rfind(line_start, 0, offset)
    return offset + 1 if offset >= 0 or _is_id_field(event, 0) else offset


def _is_id_field(event: bytes, offset: int) -> bool:
    """Return whether the line at this offset is an `id` field, with or without a value."""
    return (
        event.startswith(ID_NAME, offset)
        and event[offset + len(ID_NAME) : offset + len(ID_NAME) + 1] in ID_NAME_ENDS
    )


def is_comment(event: bytes) -> bool:
    """Return whether an event consists only of comments and empty lines."""
    if event[:1] not in COMMENT_OR_EMPTY:
        return False
    return all(not line or line.startswith(b":") for line in event.splitlines())
