"""The endpoint of one process: a UDP socket and a TCP listener on its internal address.

Delivery is best effort: `send` neither raises nor waits, and a payload may be lost, duplicated or reordered.
Callers retry where delivery matters.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from msgspec import Struct

from firvane.core.address import Address
from firvane.core.logs import Log
from firvane.fleet.transport.frames import HEADER_BYTES, Frame, FrameError, decode_datagram, encode_header
from firvane.fleet.transport.link import CLOSED_BY_PEER, IDLE, Link, set_options
from firvane.fleet.transport.queue import FrameQueue

MAX_DATAGRAM_PAYLOAD_BYTES = 1200
"""Maximum bytes of payloads that are sent as datagrams; larger payloads are sent over a TCP link."""
CONNECT_TIMEOUT_S = 0.5
"""Bounds attempts to connect to a machine that is switched off and does not answer."""
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
"""Bounds of the exponential backoff between attempts to connect to one peer."""
OPENER_IDLE_TIMEOUT_S = 10.0
ACCEPTOR_IDLE_TIMEOUT_S = 15.0
"""Seconds without a frame after which a link is closed, first by the side that opened it."""
MAX_ACCEPTED_LINKS = 1024
MAX_INCOMPLETE_BYTES = 32 * 1024 * 1024
"""Maximum bytes buffered for incomplete frames, over all links."""
LISTEN_BACKLOG = 256
RECEIVE_BUFFER_BYTES = 1024 * 1024
"""Receive buffer requested for the UDP socket."""


class _Backoff(Struct):
    delay: float
    until: float


class Endpoint:
    """Sends payloads of one process, and calls `on_payload(sender, channel, payload)` for received ones."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        log: Log,
        on_payload: Callable[[Address, int, bytes], None],
    ) -> None:
        self._loop = loop
        self._address = address
        self._log = log
        self._on_payload = on_payload
        self._datagrams: socket.socket | None = None
        self._listener: asyncio.AbstractServer | None = None
        self._links: dict[Address, Link] = {}
        self._accepted: set[Link] = set()
        self._connecting: dict[Address, FrameQueue] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._backoffs: dict[Address, _Backoff] = {}
        self._incomplete_bytes = 0
        self._damaged_datagrams = 0
        self._is_closed = False

    async def start(self) -> None:
        """Bind both sockets.

        Raises:
            OSError: The address cannot be bound; the caller may retry.
        """
        listener = self._bind(socket.SOCK_STREAM)
        try:
            self._datagrams = self._bind(socket.SOCK_DGRAM)
        except OSError:
            listener.close()
            raise
        with contextlib.suppress(OSError):
            self._datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._loop.add_reader(self._datagrams.fileno(), self._receive_datagram)
        self._listener = await self._loop.create_server(self._accept, sock=listener, backlog=LISTEN_BACKLOG)

    def close(self) -> None:
        """Close all sockets; bytes that are already in a link's send buffer are still sent."""
        self._is_closed = True
        if self._datagrams is not None:
            self._loop.remove_reader(self._datagrams.fileno())
            self._datagrams.close()
            self._datagrams = None
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        for link in [*self._links.values(), *self._accepted]:
            link.close("endpoint closed")

    def send(self, to: Address, channel: int, payload: bytes) -> None:
        """Send a payload, best effort: as a datagram if it is small enough, otherwise over a link."""
        if self._is_closed:
            return
        try:
            header = encode_header(self._address, channel, len(payload))
        except FrameError as error:
            self._log.warning("transport_frame_not_sent", peer=_format_address(to), reason=str(error))
            return
        if len(payload) <= MAX_DATAGRAM_PAYLOAD_BYTES:
            self._send_datagram(to, header + payload)
        else:
            self._send_on_link(to, header + payload)

    @property
    def link_count(self) -> int:
        """The number of open links."""
        return len(self._links) + len(self._accepted)

    @property
    def connecting_count(self) -> int:
        """The number of connection attempts in progress."""
        return len(self._connecting)

    @property
    def incomplete_bytes(self) -> int:
        """The bytes buffered for incomplete frames, over all links."""
        return self._incomplete_bytes

    def sweep(self, idle_since: float | None = None) -> None:
        """Close idle links and remove expired back-offs; must be called every few seconds.

        With `idle_since` (the event loop's time), all links not used since then are closed, instead of those
        that have exceeded an idle time-out.
        """
        now = self._loop.time()
        for link in [*self._links.values(), *self._accepted]:
            limit = now - (OPENER_IDLE_TIMEOUT_S if link.is_opener else ACCEPTOR_IDLE_TIMEOUT_S)
            if link.last_used_at < (limit if idle_since is None else idle_since):
                link.close(IDLE)
        expired = [peer for peer, backoff in self._backoffs.items() if now > backoff.until + MAX_BACKOFF_S]
        for peer in expired:
            del self._backoffs[peer]

    def on_link_frame(self, link: Link, frame: Frame) -> None:
        """Deliver a frame; the first frame of an accepted link registers the link under its sender."""
        link.last_used_at = self._loop.time()
        if link.peer is None:
            link.peer = frame.sender
            self._accepted.discard(link)
            if frame.sender in self._links:
                self._accepted.add(link)
            else:
                self._links[frame.sender] = link
        self._deliver(frame)

    def on_link_buffered(self, change: int) -> bool:
        """Count buffered bytes over all links; return False if they exceed `MAX_INCOMPLETE_BYTES`."""
        self._incomplete_bytes += change
        return self._incomplete_bytes <= MAX_INCOMPLETE_BYTES

    def on_link_closed(self, link: Link, reason: str) -> None:
        """Remove the link, and log the reason unless the link was idle."""
        self._accepted.discard(link)
        if link.peer is not None and self._links.get(link.peer) is link:
            del self._links[link.peer]
        if self._is_closed or reason == IDLE:
            return
        if reason == CLOSED_BY_PEER:
            self._log.debug("transport_link_closed", peer=_format_address(link.peer), reason=reason)
        else:
            self._log.info("transport_link_closed", peer=_format_address(link.peer), reason=reason)

    def _bind(self, kind: socket.SocketKind) -> socket.socket:
        sock = socket.socket(socket.AF_INET, kind)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.setblocking(False)
            sock.bind(self._address)
        except OSError:
            sock.close()
            raise
        return sock

    def _send_datagram(self, to: Address, frame: bytes) -> None:
        if self._datagrams is None:
            return
        with contextlib.suppress(OSError):  # send buffer full, or no route: dropped
            self._datagrams.sendto(frame, to)

    def _receive_datagram(self) -> None:
        if self._datagrams is None:
            return
        try:
            data = self._datagrams.recv(HEADER_BYTES + MAX_DATAGRAM_PAYLOAD_BYTES + 1)
        except OSError:
            return
        try:
            frame = decode_datagram(data)
        except FrameError as error:
            self._damaged_datagrams += 1
            if self._damaged_datagrams & (self._damaged_datagrams - 1) == 0:  # the 1st, 2nd, 4th, 8th ...
                self._log.warning(
                    "transport_datagram_damaged", reason=str(error), total=self._damaged_datagrams
                )
            return
        self._deliver(frame)

    def _deliver(self, frame: Frame) -> None:
        self._backoffs.pop(frame.sender, None)
        self._on_payload(frame.sender, frame.channel, frame.payload)

    def _accept(self) -> Link:
        link = Link(self, FrameQueue(), self._loop.time())
        if len(self._accepted) >= MAX_ACCEPTED_LINKS:
            self._loop.call_soon(link.close, "too many links", True)
        self._accepted.add(link)
        return link

    def _send_on_link(self, to: Address, frame: bytes) -> None:
        link = self._links.get(to)
        if link is not None and link.is_open:
            link.last_used_at = self._loop.time()
            link.send(frame)
            return
        queue = self._connecting.get(to)
        if queue is not None:
            queue.push(frame)
            return
        backoff = self._backoffs.get(to)
        if backoff is not None and self._loop.time() < backoff.until:
            return
        self._connecting[to] = queue = FrameQueue()
        queue.push(frame)
        task = self._loop.create_task(self._connect(to, queue))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, to: Address, queue: FrameQueue) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            set_options(sock)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.sock_connect(sock, to)
            link = Link(self, queue, self._loop.time(), peer=to)
            if replaced := self._links.get(to):  # opened by the peer; still receives
                self._accepted.add(replaced)
            self._links[to] = link
            await self._loop.create_connection(lambda: link, sock=sock)
        except OSError as error:  # includes TimeoutError
            sock.close()
            self._back_off(to, queue, error)
        except asyncio.CancelledError:
            sock.close()
            raise
        finally:
            self._connecting.pop(to, None)

    def _back_off(self, to: Address, queue: FrameQueue, error: OSError) -> None:
        queue.clear()
        previous = self._backoffs.get(to)
        delay = min(previous.delay * 2, MAX_BACKOFF_S) if previous else INITIAL_BACKOFF_S
        self._backoffs[to] = _Backoff(delay, self._loop.time() + delay)
        if previous is None:
            reason = str(error) or "timed out"
            self._log.info("transport_connect_failed", peer=_format_address(to), reason=reason)


def _format_address(address: Address | None) -> str:
    return "unknown" if address is None else f"{address[0]}:{address[1]}"
