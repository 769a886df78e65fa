"""Outgoing TCP connections: the interface of a dialer, and its implementation with sockets."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import Callable
from functools import partial
from typing import Generic, Protocol, TypeVar

from firvane.core.net.connection_checks import NoInputCheck
from firvane.core.net.transport_pool import TransportPool
from firvane.core.terminations import Termination

P = TypeVar("P", bound=asyncio.BaseProtocol)


class Dialing(Protocol):
    """A connection attempt."""

    def close(self) -> None:
        """Cancel the attempt. If its transport is already being made, `up` is still called."""


class Dialer(Protocol):
    """Makes connections. For each dial exactly one of `up` and `ended` is called, exactly once."""

    def dial(
        self,
        address: tuple[str, int],
        deadline: float,
        factory: Callable[[NoInputCheck], P],
        up: Callable[[P], None],
        ended: Callable[[Termination], None],
    ) -> Dialing:
        """Connect to an address.

        Args:
            address: Numeric host and port.
            deadline: Loop time in seconds at which the attempt fails.
            factory: Makes the protocol of the connection.
            up: Called with that protocol once it has its transport.
            ended: Called with the reason if no connection is made; possibly before this call returns, and
                also after a close.
        """


class SocketDial(Generic[P]):
    """A connection attempt that owns its socket until the transport takes it over."""

    def __init__(
        self,
        dialer: SocketDialer,
        sock: socket.socket,
        deadline: float,
        factory: Callable[[NoInputCheck], P],
        up: Callable[[P], None],
        ended: Callable[[Termination], None],
    ) -> None:
        self.dialer, self.sock = dialer, sock
        self.factory, self.up, self.ended = factory, up, ended
        loop = dialer.loop
        loop.add_writer(sock.fileno(), self._writable)
        self.timer = loop.call_at(deadline, self._fail, Termination.CONNECT_TIMEOUT)
        self.connecting, self.closed = True, False

    def _stop_waiting(self) -> None:
        self.connecting = False
        self.timer.cancel()
        self.dialer.loop.remove_writer(self.sock.fileno())

    def _writable(self) -> None:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail(Termination.CONNECTION_REFUSED)
        else:
            self._stop_waiting()
            self.dialer.transports.submit(self)

    def _fail(self, termination: Termination) -> None:
        if self.connecting:
            self._stop_waiting()
            self.sock.close()
            self.ended(termination)

    def close(self) -> None:
        """Cancel the attempt."""
        self.closed = True
        self._fail(Termination.CANCELLED)

    def make_protocol(self) -> P | None:
        """Return the protocol of the connection, or None if the attempt was cancelled."""
        return None if self.closed else self.factory(partial(has_no_input, self.sock))

    def made(self, protocol: P) -> None:
        """Report the connection, whose transport is made."""
        self.up(protocol)

    def failed(self) -> None:
        """Report that no transport could be made."""
        self.ended(Termination.BROKEN_BEFORE_SENT)


class SocketDialer:
    """Dials with non-blocking sockets; a pool makes their transports."""

    def __init__(self, loop: asyncio.AbstractEventLoop, transports: TransportPool) -> None:
        self.loop, self.transports = loop, transports

    def dial(
        self,
        address: tuple[str, int],
        deadline: float,
        factory: Callable[[NoInputCheck], P],
        up: Callable[[P], None],
        ended: Callable[[Termination], None],
    ) -> Dialing:
        """Connect to an address (see `Dialer.dial`)."""
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        except OSError:
            ended(Termination.NO_FREE_SOCKET)
            return NO_DIAL
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if sock.connect_ex(address) not in (0, errno.EINPROGRESS):
            sock.close()
            ended(Termination.CONNECTION_REFUSED)
            return NO_DIAL
        return SocketDial(self, sock, deadline, factory, up, ended)


class NoDial:
    """A connection attempt that failed at once."""

    def close(self) -> None:
        """Do nothing: the attempt has ended."""


NO_DIAL = NoDial()


def has_no_input(sock: socket.socket) -> bool:
    """Return whether a socket has nothing to read, neither bytes nor the end of the input."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def reset_on_close(transport: asyncio.Transport) -> None:
    """Make any later close reset the connection, also the close at process exit, but not `write_eof`.

    Otherwise a truncated body that ends with its connection would be taken for complete.
    """
    _set_linger(transport, is_on=True)


def end_on_close(transport: asyncio.Transport) -> None:
    """Make a later close end the connection in order again, after all written data has been sent."""
    _set_linger(transport, is_on=False)


def _set_linger(transport: asyncio.Transport, *, is_on: bool) -> None:
    """Turn lingering for 0 s on or off; with it, a close discards unsent data and resets the connection."""
    if sock := transport.get_extra_info("socket"):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", int(is_on), 0))


TCP_ESTABLISHED = 1  # tcpi_state, the first byte of TCP_INFO: neither side has closed the connection


def is_peer_open(sock: socket.socket) -> bool:
    """Return whether the peer has neither closed nor reset the connection, as far as the kernel knows.

    Unread bytes hide the end of a connection from reads and from the event loop, but not from TCP_INFO.
    """
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_ESTABLISHED
    except OSError:
        return False
