"""Download of a policy text, by its digest, from the admin API of proxies that may have it.

Invariants:

1. Only one connection is open at a time; it requests one chunk, as the admin API requires. If a chunk
   does not arrive in time or the text is invalid, the download starts again from the next holder, since it is
   unknown which chunk was wrong.
2. Whatever a holder sends, at most one answer is buffered besides the text, and the text is checked against
   its digest before it is passed on.
3. Each holder is tried once. To try again, the caller starts a new download.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from typing import cast

from firvane.core.address import Address
from firvane.core.net.connection_checks import NoInputCheck
from firvane.core.net.dialer import Dialer, Dialing
from firvane.core.terminations import Termination
from firvane.proxy.admin_api.calls import Call, parse_chunk
from firvane.proxy.quorum.uploads import TextAssembly

MAX_ANSWER_BYTES = 17 << 10  # limit of an answer, which contains one chunk
CHUNK_TIMEOUT_S = 2.0  # for one chunk, including the connection
MAX_CHUNKS = 16  # per text and holder
MAX_ERROR_CHARS = 100

OnDone = Callable[[bytes | None, str], None]  # the text and ""; or None and the error


class ChunkRequest(asyncio.Protocol):
    """One call of the admin API that requests one chunk."""

    def __init__(self, line: bytes, on_answer: Callable[[bytes], None]) -> None:
        self.line = line
        self.on_answer = on_answer
        self.answer = bytearray()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the call."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.write(self.line)

    def data_received(self, data: bytes) -> None:
        """Collect the answer up to its line feed, or to the limit."""
        self.answer += data
        if b"\n" in data or len(self.answer) > MAX_ANSWER_BYTES:
            self._finish()

    def connection_lost(self, error: Exception | None) -> None:
        """Pass on the answer received so far."""
        self._finish()

    def _finish(self) -> None:
        on_answer, self.on_answer = self.on_answer, lambda answer: None
        if self.transport:
            self.transport.close()
        on_answer(bytes(self.answer) if len(self.answer) <= MAX_ANSWER_BYTES else b"")


class TextFetch:
    """The download of one policy text."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dialer: Dialer,
        admin_addresses: Sequence[Address],
        digest: bytes,
        holders: Iterable[int],
        on_done: OnDone,
    ) -> None:
        """Schedule the download for the next iteration of the event loop.

        Args:
            loop: The event loop.
            dialer: Opens connections.
            admin_addresses: The address of the admin API of each proxy, by proxy number.
            digest: The digest of the text.
            holders: The proxies that may have it.
            on_done: Called once: with the text and "", or with None and the error.
        """
        self.loop = loop
        self.dialer = dialer
        self.admin_addresses = admin_addresses
        self.digest = digest
        self.on_done = on_done
        self.untried_holders: list[int] = []
        self.known_holders: set[int] = set()
        self.error = "no other proxy is known to have it"
        self.assembly = TextAssembly(digest)
        self.chunk_count = 0
        self.dialing: Dialing | None = None
        self.request: ChunkRequest | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.closed = False
        self.add_holders(holders)
        loop.call_soon(self._try_next)

    def add_holders(self, holders: Iterable[int]) -> None:
        """Add further proxies that may have the text."""
        for holder in holders:
            if 0 <= holder < len(self.admin_addresses) and holder not in self.known_holders:
                self.known_holders.add(holder)
                self.untried_holders.append(holder)

    def close(self) -> None:
        """Cancel the download; `on_done` is not called."""
        self.closed = True
        self._disconnect()

    def _try_next(self) -> None:
        """Start the download from the next holder; without one, report the last error."""
        if self.closed:
            return
        if not self.untried_holders:
            self.close()
            self.on_done(None, self.error)
            return
        self.holder = self.untried_holders.pop(0)
        self.assembly = TextAssembly(self.digest)
        self.chunk_count = 0
        self._request_chunk()

    def _request_chunk(self) -> None:
        if self.closed:
            return
        self.chunk_count += 1
        offset = len(self.assembly.received)
        line = f"{Call.POLICY_GET.value} {self.digest.hex()} {offset}\n".encode()
        request = self.request = ChunkRequest(line, lambda answer: self._on_answer(request, answer))
        deadline = self.loop.time() + CHUNK_TIMEOUT_S
        self.timer = self.loop.call_at(deadline, self._on_timeout, request)
        self.dialing = self.dialer.dial(
            self.admin_addresses[self.holder],
            deadline,
            lambda quiet: self._protocol(request, quiet),
            lambda up: None,
            lambda termination: self._on_dial_failed(request, termination),
        )

    def _protocol(self, request: ChunkRequest, quiet: NoInputCheck) -> ChunkRequest:
        return request

    def _on_dial_failed(self, request: ChunkRequest, termination: Termination) -> None:
        self._fail(request, f"admin endpoint is unreachable: {termination.value}")

    def _on_timeout(self, request: ChunkRequest) -> None:
        self._fail(request, f"no answer within {CHUNK_TIMEOUT_S:g} s")

    def _fail(self, request: ChunkRequest, error: str) -> None:
        if request is self.request and not self.closed:
            self.error = f"proxy {self.holder}: {error}"
            self._disconnect()
            self.loop.call_soon(self._try_next)

    def _on_answer(self, request: ChunkRequest, answer: bytes) -> None:
        if request is not self.request or self.closed:
            return
        try:
            length, data = parse_chunk(answer.decode("ascii", "replace"))
            text = self.assembly.add(length, len(self.assembly.received), data)
        except ValueError as error:
            self._fail(request, str(error)[:MAX_ERROR_CHARS])
            return
        self._disconnect()
        if text is not None:
            self.closed = True
            self.on_done(text, "")
        elif self.chunk_count >= MAX_CHUNKS:
            self.error = f"proxy {self.holder}: chunks are too small"
            self._try_next()
        else:
            self._request_chunk()

    def _disconnect(self) -> None:
        request, self.request = self.request, None
        dialing, self.dialing = self.dialing, None
        timer, self.timer = self.timer, None
        if timer:
            timer.cancel()
        if request and request.transport:
            request.transport.abort()
        elif dialing:
            dialing.close()
