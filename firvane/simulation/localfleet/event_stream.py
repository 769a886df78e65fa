"""Event streams (`text/event-stream`): encoding by model servers, and checks by clients.

The text of an event is determined by the request body and the event's number. So every server continues a
stream identically, and a client detects an event that belongs to another request.
"""

from __future__ import annotations

from dataclasses import dataclass

END_OF_EVENT = b"\n\n"
MAX_EVENT = 64 * 1024  # bytes


class StreamError(ValueError):
    """A response stream does not match its request."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event; `digest` is the CRC-32 of the request body."""

    number: int
    digest: int
    last: bool

    def encode(self) -> bytes:
        """The event as bytes."""
        mark = b" last" if self.last else b""
        return b"id: %d\ndata: %08x %d%s\n\n" % (self.number, self.digest, self.number, mark)


def parse_event(text: bytes) -> StreamEvent:
    """Parse one event without its final empty line; raises `StreamError` if it is malformed."""
    fields: dict[bytes, bytes] = {}
    for line in text.split(b"\n"):
        name, _, value = line.partition(b":")
        fields[name] = value.strip()
    words = fields.get(b"data", b"").split(b" ")
    try:
        event = StreamEvent(int(fields[b"id"]), int(words[0], 16), words[2:] == [b"last"])
    except (KeyError, ValueError):
        raise StreamError(f"invalid event: {text[:80]!r}") from None
    if event.encode() != text + END_OF_EVENT:
        raise StreamError(f"non-canonical event: {text[:80]!r}")
    return event


class StreamCheck:
    """Checks one stream across all its responses; each event must have the next number."""

    def __init__(self, digest: int) -> None:
        self._digest = digest
        self._partial = b""
        self.last_number = 0
        self.finished = False  # the last event was received

    def begin_response(self) -> None:
        """Start another response; discard a partial event of the previous one."""
        self._partial = b""

    def feed(self, data: bytes) -> int:
        """Check the events completed by these bytes; return their number. Raises `StreamError`."""
        *complete, self._partial = (self._partial + data).split(END_OF_EVENT)
        if len(self._partial) > MAX_EVENT:
            raise StreamError("event exceeds the maximum size")
        for text in complete:
            self._check_event(parse_event(text))
        return len(complete)

    def end_response(self) -> None:
        """Check the end of a response; raises `StreamError` if the stream is incomplete."""
        if not self.finished or self._partial:
            raise StreamError(f"response ended after event {self.last_number}, which is not the last")

    def _check_event(self, event: StreamEvent) -> None:
        if event.digest != self._digest:
            raise StreamError(f"event {event.number} belongs to another request")
        if self.finished or event.number != self.last_number + 1:
            raise StreamError(f"event {event.number} after event {self.last_number}")
        self.last_number = event.number
        self.finished = event.last
