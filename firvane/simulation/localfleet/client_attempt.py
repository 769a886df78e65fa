"""One attempt of a client: sends a request on a connection and checks the response stream."""

from __future__ import annotations

import asyncio

from firvane.core.net.http_message import BytesLike, Message
from firvane.simulation.localfleet.event_stream import StreamCheck, StreamError
from firvane.simulation.localfleet.http_client import ClientConnection, is_success
from firvane.simulation.localfleet.retries import AttemptEnd, AttemptResult


class EventTiming:
    """Arrival times of the events of one request, over all its attempts (s on the loop's clock)."""

    def __init__(self) -> None:
        self.first: float | None = None
        self.longest = 0.0
        self._latest = 0.0

    def record_event(self, now: float) -> None:
        """Record the arrival of an event."""
        if self.first is None:
            self.first = now
        else:
            self.longest = max(self.longest, now - self._latest)
        self._latest = now


class ClientAttempt:
    """Sends a request and waits for the end of the response, a silence timeout or the deadline."""

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
        self._last_progress = 0.0
        self._end: asyncio.Future[AttemptResult] = loop.create_future()

    async def run(self, request: bytes, silence: float, deadline: float) -> AttemptResult:
        """Run the attempt; `silence` is the longest pause in s, `deadline` a time on the loop's clock."""
        self._stream.begin_response()
        self._last_progress = self._loop.time()
        self._connection.send(request, self)
        while not self._end.done():
            limit = min(self._last_progress + silence, deadline)
            if limit <= self._loop.time():
                self._connection.abandon()
                self._finish(AttemptEnd.OUT_OF_TIME if limit == deadline else AttemptEnd.SILENT)
                break
            await asyncio.wait((self._end,), timeout=limit - self._loop.time())
        return self._end.result()

    # Callbacks of the connection

    def on_head(self, message: Message) -> None:
        """Check the head; a response to another request or without a seal is wrong."""
        self._status = message.status
        self._retry_after = _retry_after(message)
        if is_success(message.status):
            if message.fields.get(b"x-request-id") != self._request_id:
                self._fail_response("response belongs to another request")
            elif not message.fields.get(b"x-server-seal"):
                self._fail_response("successful response without a seal")

    def on_body(self, pieces: list[BytesLike]) -> None:
        """Check the complete events of a successful response."""
        self._last_progress = self._loop.time()
        if not is_success(self._status):
            return
        try:
            for _ in range(self._stream.feed(b"".join(pieces))):
                self._timing.record_event(self._last_progress)
        except StreamError as error:
            self._fail_response(str(error))

    def on_complete(self, message: Message) -> None:
        """Finish the attempt at the regular end of the response."""
        if not is_success(self._status):
            self._finish(AttemptEnd.ANSWERED)
            return
        try:
            self._stream.end_response()
        except StreamError as error:
            self._fail_response(str(error))
        else:
            self._finish(AttemptEnd.SERVED)

    def on_broken(self, reason: str) -> None:
        """Finish the attempt after the connection was lost."""
        self._finish(AttemptEnd.BROKEN, reason)

    def _fail_response(self, detail: str) -> None:
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
