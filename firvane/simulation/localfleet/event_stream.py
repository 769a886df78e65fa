"""Streams of events (`text/event-stream`): what model servers write, and how clients check what arrives.

The text of an event follows from the body of its request and the event's number, so that every server
continues a stream alike, and a client knows an event that belongs to another request.
"""

from __future__ import annotations

from dataclasses import dataclass

END_OF_EVENT = b"\n\n"
MAX_EVENT = 64 * 1024  # bytes


class StreamError(ValueError):
    """A stream is not what its request asked for."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event. `digest` is that of the request's body."""

    number: int
    digest: int
    last: bool

    def encode(self) -> bytes:
        """The event as it is sent."""
        mark = b" last" if self.last else b""
        return b"id: %d\ndata: %08x %d%s\n\n" % (self.number, self.digest, self.number, mark)


def parse_event(text: bytes) -> StreamEvent:
    """Read one event without the empty line at its end; `StreamError` where it has another form."""
    fields: dict[bytes, bytes] = {}
    for line in text.split(b"\n"):
        name, _, value = line.partition(b":")
        fields[name] = value.strip()
    words = fields.get(b"data", b"").split(b" ")
    try:
        event = StreamEvent(int(fields[b"id"]), int(words[0], 16), words[2:] == [b"last"])
    except (KeyError, ValueError):
        raise StreamError(f"no event: {text[:80]!r}") from None
    if event.encode() != text + END_OF_EVENT:
        raise StreamError(f"not an event of ours: {text[:80]!r}")
    return event


class StreamCheck:
    """Reads one stream, over all the answers that it comes in; each event must be the one that is due."""

    def __init__(self, digest: int) -> None:
        self._digest = digest
        self._partial = b""
        self.last_number = 0
        self.finished = False  # the last event was there

    def begin_answer(self) -> None:
        """Another answer begins; half an event of the one before is lost."""
        self._partial = b""

    def feed(self, data: bytes) -> int:
        """How many complete events have come with these bytes; `StreamError` for a wrong one."""
        *whole, self._partial = (self._partial + data).split(END_OF_EVENT)
        if len(self._partial) > MAX_EVENT:
            raise StreamError("an event without an end")
        for text in whole:
            self._take(parse_event(text))
        return len(whole)

    def end_answer(self) -> None:
        """An answer has ended in order; `StreamError` where that was too early."""
        if not self.finished or self._partial:
            raise StreamError(f"complete after event {self.last_number}, which is not the last")

    def _take(self, event: StreamEvent) -> None:
        if event.digest != self._digest:
            raise StreamError(f"event {event.number} belongs to another request")
        if self.finished or event.number != self.last_number + 1:
            raise StreamError(f"event {event.number} after event {self.last_number}")
        self.last_number = event.number
        self.finished = event.last
