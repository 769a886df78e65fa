"""The download of a policy's text, by its digest, from the admin API of proxies that may have it.

Invariants:

1. One connection at a time, one chunk to a connection, as the admin API has it. A chunk that is not there in
   time ends the attempt at its holder; the next holder is asked from the start, since nobody knows which
   chunk was wrong.
2. Whatever a holder sends, no more than one chunk is held beside the text, and the text is checked against
   its digest before it is handed on.
3. Each holder is tried once. Whoever needs the text after that fetches it again.
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

MAX_ANSWER_BYTES = 17 << 10  # of an answer with one chunk
CHUNK_TIMEOUT_S = 2.0  # for one chunk, connecting included
MAX_CHUNKS = 16  # to one text and holder
MAX_ERROR_CHARS = 100

OnDone = Callable[[bytes | None, str], None]  # the text; or None, and why there is none


class ChunkRequest(asyncio.Protocol):
    """One call of the admin API, for one chunk."""

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
        """Hand on what has come."""
        self._finish()

    def _finish(self) -> None:
        on_answer, self.on_answer = self.on_answer, lambda answer: None
        if self.transport:
            self.transport.close()
        on_answer(bytes(self.answer) if len(self.answer) <= MAX_ANSWER_BYTES else b"")


class TextFetch:
    """The download of one text."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dialer: Dialer,
        admin_addresses: Sequence[Address],
        digest: bytes,
        holders: Iterable[int],
        on_done: OnDone,
    ) -> None:
        """Begin in the loop's next turn.

        Args:
            loop: The loop that everything runs in.
            dialer: Opens connections.
            admin_addresses: The admin API of each proxy.
            digest: The digest of the text.
            holders: The proxies that may have it.
            on_done: Called once, with the text, or with None and why there is none.
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
        """Add proxies that may have the text, too."""
        for holder in holders:
            if 0 <= holder < len(self.admin_addresses) and holder not in self.known_holders:
                self.known_holders.add(holder)
                self.untried_holders.append(holder)

    def close(self) -> None:
        """Cancel it; `on_done` is not called."""
        self.closed = True
        self._disconnect()

    def _try_next(self) -> None:
        """Ask the next holder, from the start."""
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
            lambda ending: self._on_dial_failed(request, ending),
        )

    def _protocol(self, request: ChunkRequest, quiet: NoInputCheck) -> ChunkRequest:
        return request

    def _on_dial_failed(self, request: ChunkRequest, ending: Termination) -> None:
        self._fail(request, f"its door cannot be reached: {ending.value}")

    def _on_timeout(self, request: ChunkRequest) -> None:
        self._fail(request, f"no answer in {CHUNK_TIMEOUT_S:g} s")

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
            self.error = f"proxy {self.holder}: its pieces are too small"
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
