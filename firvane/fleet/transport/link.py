"""An asyncio protocol for a TCP connection that carries frames in both directions."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol, cast

from firvane.core.address import Address
from firvane.fleet.transport.frames import Frame, FrameError, FrameReader
from firvane.fleet.transport.queue import FrameQueue

USER_TIMEOUT_MS = 1500
"""`TCP_USER_TIMEOUT`: time for which sent bytes may be unacknowledged before the connection is reset."""
WRITE_BUFFER_HIGH_BYTES = 256 * 1024
"""Bytes in the connection's send buffer above which frames are queued."""


IDLE = "idle"
CLOSED_BY_PEER = "closed by the peer"
"""Reasons for closing a link that are not failures."""


class LinkOwner(Protocol):
    """The callbacks of a link."""

    def on_link_frame(self, link: Link, frame: Frame) -> None:
        """Handle a received frame."""

    def on_link_buffered(self, change: int) -> bool:
        """Add `change` to the buffered bytes of incomplete frames; return False if they are too many."""

    def on_link_closed(self, link: Link, reason: str) -> None:
        """Remove the link, whose connection has ended."""


def set_options(sock: socket.socket) -> None:
    """Set the options that all connections between the fleet's processes have."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Link(asyncio.Protocol):
    """A connection with a peer; for accepted ones, `peer` is None until the first frame arrives."""

    def __init__(self, owner: LinkOwner, queue: FrameQueue, now: float, peer: Address | None = None) -> None:
        self.peer = peer
        self.is_opener = peer is not None
        self.last_used_at = now
        self.queue = queue
        self._owner = owner
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._is_paused = False
        self._close_reason = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the connection's options, and send the queued frames."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_options(sock)
        self._flush()

    def data_received(self, data: bytes) -> None:
        """Pass complete frames to the owner; corrupt bytes close the link."""
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
        """Queue frames from now on, since the send buffer is full."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Send queued frames, since the send buffer has capacity again."""
        self._is_paused = False
        self._flush()

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the owner of the end of the connection and its reason."""
        self._owner.on_link_buffered(-self._reader.buffered)
        self._reader = FrameReader()
        self._transport = None
        reason = self._close_reason or (str(error) if error else CLOSED_BY_PEER)
        self._owner.on_link_closed(self, reason)

    def send(self, frame: bytes) -> None:
        """Send an encoded frame, or queue it while the send buffer is full."""
        self.queue.push(frame)
        self._flush()

    def close(self, reason: str, abort: bool = False) -> None:
        """Close the connection; `abort` discards the send buffer."""
        self._close_reason = self._close_reason or reason
        if self._transport is None:
            return
        if abort:
            self._transport.abort()
        else:
            self._transport.close()

    @property
    def is_open(self) -> bool:
        """Whether the connection is established and not closing."""
        return self._transport is not None and not self._transport.is_closing()

    def _flush(self) -> None:
        while self._transport is not None and not self._is_paused and len(self.queue):
            self._transport.write(self.queue.pop())
