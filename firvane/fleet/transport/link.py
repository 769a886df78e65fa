"""One TCP connection that carries frames in both directions: an asyncio protocol."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol, cast

from firvane.core.address import Address
from firvane.fleet.transport.frames import Frame, FrameError, FrameReader
from firvane.fleet.transport.queue import FrameQueue

USER_TIMEOUT_MS = 1500
"""`TCP_USER_TIMEOUT`: how long sent bytes may stay unacknowledged before the connection is reset."""
WRITE_BUFFER_HIGH_BYTES = 256 * 1024
"""Bytes in the connection's send buffer above which frames wait in the queue."""


IDLE = "idle"
CLOSED_BY_PEER = "closed by the peer"
"""Reasons for the end of a link that are no failure."""


class LinkOwner(Protocol):
    """Callbacks of a link."""

    def on_link_frame(self, link: Link, frame: Frame) -> None:
        """A frame has arrived."""

    def on_link_buffered(self, change: int) -> bool:
        """The buffered bytes of incomplete frames changed by `change`; False if they are too many."""

    def on_link_closed(self, link: Link, reason: str) -> None:
        """The connection has ended; the link must be forgotten."""


def set_options(sock: socket.socket) -> None:
    """Options of every connection between the system's processes."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Link(asyncio.Protocol):
    """A connection with a peer, opened here (`peer` is known) or accepted (known with the first frame)."""

    def __init__(self, owner: LinkOwner, queue: FrameQueue, now: float, peer: Address | None = None) -> None:
        self.peer = peer
        self.is_opener = peer is not None
        self.used_at = now
        self.queue = queue
        self._owner = owner
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._is_paused = False
        self._close_reason = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the connection's options and send what was queued."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_options(sock)
        self._flush()

    def data_received(self, data: bytes) -> None:
        """Hand complete frames to the owner; damaged bytes close the link."""
        before = self._reader.buffered
        try:
            frames = self._reader.feed(data)
        except FrameError as error:
            self._owner.on_link_buffered(-before)
            self._reader = FrameReader()
            self.close(f"damaged bytes: {error}", abort=True)
            return
        if not self._owner.on_link_buffered(self._reader.buffered - before):
            self.close("too many bytes of incomplete frames", abort=True)
            return
        for frame in frames:
            self._owner.on_link_frame(self, frame)

    def pause_writing(self) -> None:
        """The send buffer is full: queue from here on."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """The send buffer has capacity again."""
        self._is_paused = False
        self._flush()

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the owner, with the reason."""
        self._owner.on_link_buffered(-self._reader.buffered)
        self._reader = FrameReader()
        self._transport = None
        reason = self._close_reason or (str(error) if error else CLOSED_BY_PEER)
        self._owner.on_link_closed(self, reason)

    def send(self, frame: bytes) -> None:
        """Send an encoded frame, or queue it while the peer does not read."""
        self.queue.push(frame)
        self._flush()

    def close(self, reason: str, abort: bool = False) -> None:
        """End the connection; `abort` drops what is in the send buffer."""
        self._close_reason = self._close_reason or reason
        if self._transport is None:
            return
        if abort:
            self._transport.abort()
        else:
            self._transport.close()

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def _flush(self) -> None:
        while self._transport is not None and not self._is_paused and len(self.queue):
            self._transport.write(self.queue.pop())
