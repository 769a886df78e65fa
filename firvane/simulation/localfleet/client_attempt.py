"""One attempt of a client: a request on a connection, its stream checked as it comes, its end awaited."""

from __future__ import annotations

import asyncio

from firvane.core.net.http_message import BytesLike, Message
from firvane.simulation.localfleet.event_stream import StreamCheck, StreamError
from firvane.simulation.localfleet.http_client import ClientConnection, is_success
from firvane.simulation.localfleet.retries import AttemptEnd, AttemptResult


class EventTiming:
    """When events of one request came, over all its attempts (s of the loop's clock)."""

    def __init__(self) -> None:
        self.first: float | None = None
        self.longest = 0.0
        self._latest = 0.0

    def note(self, now: float) -> None:
        """An event is here."""
        if self.first is None:
            self.first = now
        else:
            self.longest = max(self.longest, now - self._latest)
        self._latest = now


class ClientAttempt:
    """Sends a request and waits for the end of its answer, for a timeout, or for the deadline."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connection: ClientConnection,
        request_id: bytes,
        stream: StreamCheck,
        timing: EventTiming,
    ) -> None:
        self._loop, self._connection = loop, connection
        self._request_id, self._stream, self._timing = request_id, stream, timing
        self._status = 0
        self._retry_after: float | None = None
        self._moved = 0.0
        self._end: asyncio.Future[AttemptResult] = loop.create_future()

    async def run(self, request: bytes, silence: float, deadline: float) -> AttemptResult:
        """The end of the attempt; `silence` is in seconds, `deadline` a time of the loop."""
        self._stream.begin_answer()
        self._moved = self._loop.time()
        self._connection.send(request, self)
        while not self._end.done():
            limit = min(self._moved + silence, deadline)
            if limit <= self._loop.time():
                self._connection.abandon()
                self._finish(AttemptEnd.OUT_OF_TIME if limit == deadline else AttemptEnd.SILENT)
                break
            await asyncio.wait((self._end,), timeout=limit - self._loop.time())
        return self._end.result()

    # The connection's side

    def on_head(self, message: Message) -> None:
        """Check the head; an answer that belongs to another request is wrong."""
        self._status = message.status
        self._retry_after = _retry_after(message)
        if is_success(message.status):
            if message.fields.get(b"x-request-id") != self._request_id:
                self._wrong("an answer to another request")
            elif not message.fields.get(b"x-server-seal"):
                self._wrong("a success without a seal")

    def on_body(self, pieces: list[BytesLike]) -> None:
        """Check the complete events."""
        self._moved = self._loop.time()
        if not is_success(self._status):
            return
        try:
            for _ in range(self._stream.feed(b"".join(pieces))):
                self._timing.note(self._moved)
        except StreamError as error:
            self._wrong(str(error))

    def on_complete(self, message: Message) -> None:
        """The answer has ended in order."""
        if not is_success(self._status):
            self._finish(AttemptEnd.ANSWERED)
            return
        try:
            self._stream.end_answer()
        except StreamError as error:
            self._wrong(str(error))
        else:
            self._finish(AttemptEnd.SERVED)

    def on_broken(self, reason: str) -> None:
        """The connection has ended."""
        self._finish(AttemptEnd.BROKEN, reason)

    def _wrong(self, detail: str) -> None:
        self._connection.abandon()
        self._finish(AttemptEnd.WRONG, detail)

    def _finish(self, end: AttemptEnd, detail: str = "") -> None:
        if not self._end.done():
            self._end.set_result(AttemptResult(end, self._status, self._retry_after, detail))


def _retry_after(message: Message) -> float | None:
    try:
        return max(0.0, float(message.fields[b"retry-after"]))
    except (KeyError, ValueError):
        return None
