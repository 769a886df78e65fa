"""Listening sockets for clients, which accept connections or leave them queued in the kernel."""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Callable
from functools import partial
from typing import Protocol

from firvane.core.logs import QUIET, Log
from firvane.core.net.connection_checks import NoInputCheck, PeerOpenCheck, always_true
from firvane.core.net.dialer import has_no_input, is_peer_open
from firvane.core.net.transport_pool import TransportPool

LISTEN_BACKLOG = 1024  # connections that the kernel queues until they are accepted
MAX_ACCEPTS_PER_TURN = 32  # of the event loop
ACCEPT_BACKOFF_S = 0.1  # after descriptors have run out, when accept would fail again at once
EXHAUSTED_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


# Makes the protocol of an accepted connection.
ConnectionFactory = Callable[[NoInputCheck, PeerOpenCheck], asyncio.BaseProtocol]


class Acceptor(Protocol):
    """Accepts the connections of clients."""

    async def open(self, address: tuple[str, int], accept: ConnectionFactory) -> None:
        """Listen on a numeric host and port; `accept` makes the protocol of each connection."""

    def address(self) -> tuple[str, int]:
        """Return the host and port it listens on; the actual port if 0 was requested."""

    def set_accepting(self, accepting: bool) -> None:
        """Accept connections, or pause and leave them queued in the kernel."""

    def close(self) -> bool:
        """Stop listening.

        Returns:
            False if queued connections must be accepted first, in further iterations of the loop: the
            acceptor still listens then, and the call must be repeated.
        """


class AcceptedSocket:
    """An accepted connection that waits for its transport."""

    def __init__(self, sock: socket.socket, accept: ConnectionFactory) -> None:
        self.sock, self.accept = sock, accept

    def make_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of the connection."""
        return self.accept(partial(has_no_input, self.sock), partial(is_peer_open, self.sock))

    def made(self, protocol: asyncio.BaseProtocol) -> None:
        """Do nothing when the transport is made."""

    def failed(self) -> None:
        """Do nothing when the client has disconnected; the socket is closed."""


class SocketAcceptor:
    """Accepts many connections from a listening socket in an iteration of the event loop.

    The loop's own servers accept one connection per iteration. Under overload iterations are long, and most
    clients would time out in the kernel's queue.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transports: TransportPool,
        log: Log = QUIET,
        inherited: socket.socket | None = None,
    ) -> None:
        """Create an acceptor.

        Args:
            loop: The event loop.
            transports: Makes the transports of accepted sockets.
            log: For failures to accept.
            inherited: A socket that is already listening; other processes may accept from it as well, so it
                is neither bound nor shut down.
        """
        self.loop, self.transports, self.log = loop, transports, log
        self.inherited = inherited is not None
        self.sock = inherited or socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.accepting = self.reading = False

    async def open(self, address: tuple[str, int], accept: ConnectionFactory) -> None:
        """Listen; raises `OSError` if the address cannot be bound."""
        self.accept = accept
        if not self.inherited:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(address)
            self.sock.listen(LISTEN_BACKLOG)
        self.set_accepting(True)

    def address(self) -> tuple[str, int]:
        """Return the host and port of the socket."""
        host, port = self.sock.getsockname()[:2]
        return host, port

    def set_accepting(self, accepting: bool) -> None:
        """Accept connections, or pause."""
        self.accepting = accepting
        self._update_reader(accepting)

    def _update_reader(self, reading: bool) -> None:
        if reading is not self.reading and self.sock.fileno() >= 0:
            self.reading = reading
            if reading:
                self.loop.add_reader(self.sock.fileno(), self._accept)
            else:
                self.loop.remove_reader(self.sock.fileno())

    def _accept(self) -> bool:
        """Accept queued connections, within the bound of an iteration; return whether more may be queued."""
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self.transports.queue.qsize() >= MAX_ACCEPTS_PER_TURN:
                return True
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return False
            except (ConnectionAbortedError, InterruptedError):
                return True
            except OSError as error:
                if error.errno not in EXHAUSTED_ERRNOS:
                    raise
                self.log.warning("accept_paused", why=error.strerror)
                self._update_reader(False)
                self.loop.call_at(self.loop.time() + ACCEPT_BACKOFF_S, self._resume)
                return False
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.transports.submit(AcceptedSocket(sock, self.accept))
        return True

    def _resume(self) -> None:
        self._update_reader(self.accepting)

    def close(self) -> bool:
        """Stop listening once the queue is empty; return False until then."""
        # A close resets the queued connections, whose clients may have sent requests already. Connections
        # queued on an inherited socket are accepted by the processes that share it. While accepting is paused
        # there is no capacity for more.
        if self.reading and not self.inherited and self._accept():
            return False
        self.set_accepting(False)
        self.sock.close()
        return True


def adopt_listening_socket(number: int) -> socket.socket:
    """Return the listening socket of an inherited descriptor; raises `OSError` if it is not one.

    Processes that share the socket share its mode as well: all of them use it as non-blocking.
    """
    try:
        sock = socket.socket(fileno=number)
    except OSError as error:
        raise OSError(f"NODE_SOCKET_FD: descriptor {number} is no socket: {error.strerror}") from None
    if sock.type != socket.SOCK_STREAM or not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise OSError(f"NODE_SOCKET_FD: descriptor {number} is no listening socket")
    sock.setblocking(False)
    return sock


class LoopAcceptor:
    """Accepts with the event loop's own server, for loops in virtual time without sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.server: asyncio.Server | None = None

    async def open(self, address: tuple[str, int], accept: ConnectionFactory) -> None:
        """Listen."""
        self.server = await self.loop.create_server(lambda: accept(always_true, always_true), *address)

    def address(self) -> tuple[str, int]:
        """Return the host and port of the server; raises `OSError` if it is not listening."""
        if self.server is None:
            raise OSError("not open")
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def set_accepting(self, accepting: bool) -> None:
        """Do nothing: in virtual time there are no descriptors to run out of."""

    def close(self) -> bool:
        """Stop listening."""
        if self.server:
            self.server.close()
        return True
