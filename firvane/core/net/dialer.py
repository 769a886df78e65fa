"""How connections to targets are made: the dialer that `Forwards` is handed, and the one on real sockets."""

from __future__ import annotations

import asyncio
import errno
import socket
import struct
from collections.abc import Callable
from functools import partial
from typing import Generic, Protocol, TypeVar

from firvane.core.net.connection_checks import Quiet
from firvane.core.net.transport_pool import TransportPool
from firvane.core.terminations import Termination

P = TypeVar("P", bound=asyncio.BaseProtocol)


class Dialing(Protocol):
    """A connection being made."""

    def close(self) -> None:
        """Give it up. Where its transport is already in the making it still comes up."""


class Dialer(Protocol):
    """The way to new connections. Of `up` and `ended` exactly one is called for each dial, once."""

    def dial(
        self,
        address: tuple[str, int],
        deadline: float,
        factory: Callable[[Quiet], P],
        up: Callable[[P], None],
        ended: Callable[[Termination], None],
    ) -> Dialing:
        """Connect to an address by a deadline on the loop's clock.

        `up` is called with the factory's protocol once it has its transport, `ended` where there will be
        none; that may be before the call returns, and after a close as well.
        """


class SocketDial(Generic[P]):
    """A socket until it stands, a transport's from then on."""

    def __init__(
        self,
        dialer: SocketDialer,
        sock: socket.socket,
        deadline: float,
        factory: Callable[[Quiet], P],
        up: Callable[[P], None],
        ended: Callable[[Termination], None],
    ) -> None:
        self.dialer, self.sock = dialer, sock
        self.factory, self.up, self.ended = factory, up, ended
        loop = dialer.loop
        loop.add_writer(sock.fileno(), self._writable)
        self.timer = loop.call_at(deadline, self._fail, Termination.CONNECT_TIMEOUT)
        self.waiting, self.closed = True, False

    def _stop_waiting(self) -> None:
        self.waiting = False
        self.timer.cancel()
        self.dialer.loop.remove_writer(self.sock.fileno())

    def _writable(self) -> None:
        if self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._fail(Termination.CONNECTION_REFUSED)
        else:
            self._stop_waiting()
            self.dialer.transports.give(self)

    def _fail(self, ending: Termination) -> None:
        if self.waiting:
            self._stop_waiting()
            self.sock.close()
            self.ended(ending)

    def close(self) -> None:
        self.closed = True
        self._fail(Termination.CANCELLED)

    def wanted(self) -> P | None:
        return None if self.closed else self.factory(partial(is_quiet, self.sock))

    def made(self, protocol: P) -> None:
        self.up(protocol)

    def unmade(self) -> None:
        self.ended(Termination.BROKEN_BEFORE_SENT)


class SocketDialer:
    """Dials as non-blocking connects, which become transports in the pool that it is given."""

    def __init__(self, loop: asyncio.AbstractEventLoop, transports: TransportPool) -> None:
        self.loop, self.transports = loop, transports

    def dial(
        self,
        address: tuple[str, int],
        deadline: float,
        factory: Callable[[Quiet], P],
        up: Callable[[P], None],
        ended: Callable[[Termination], None],
    ) -> Dialing:
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
    """One that has ended before it began."""

    def close(self) -> None: ...


NO_DIAL = NoDial()


def is_quiet(sock: socket.socket) -> bool:
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def resets(transport: asyncio.Transport) -> None:
    """From now on any close of it resets the connection, also that of an exit; an end of sending does not.

    Guards a body that lasts until the connection ends against passing for whole where it was cut.
    """
    if sock := transport.get_extra_info("socket"):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


ESTABLISHED = 1  # the first byte of TCP_INFO: neither side has ended the connection


def stands(sock: socket.socket) -> bool:
    """Whether the other side has neither closed nor reset it, as far as the kernel knows.

    Bytes that nobody has read yet hide its end from a read, and from a loop that does not read; not from
    this.
    """
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == ESTABLISHED
    except OSError:
        return False
