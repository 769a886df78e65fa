"""The way in for clients: open, shut for a while with newcomers waiting in the kernel, or closed for good."""

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

BACKLOG = 1024  # connections that the kernel holds until they are accepted
ACCEPTS = 32  # accepted in one turn of the loop at the most
PAUSE = 0.1  # s without accepting where no descriptor is to be had: the kernel would say so again at once
SPENT = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


# Makes a connection's protocol, which may ask what the kernel holds.
Accept = Callable[[NoInputCheck, PeerOpenCheck], asyncio.BaseProtocol]


class Door(Protocol):
    """Where clients come in."""

    async def open(self, address: tuple[str, int], accept: Accept) -> None:
        """Listen; `accept` makes the protocol of a connection."""

    def address(self) -> tuple[str, int]:
        """Where it is. Port 0 takes any that is free: only the socket knows which."""

    def let(self, come: bool) -> None:
        """Accept connections or, for the time being, do not: they wait in the kernel then."""

    def close(self) -> bool:
        """Let nobody in any more; who waits in the kernel is turned down by it. False where some of those
        have to be let in first, over turns of the loop to come: it is still open then."""


class Newcomer:
    """A connection that is accepted and has no transport yet."""

    def __init__(self, sock: socket.socket, accept: Accept) -> None:
        self.sock, self.accept = sock, accept

    def wanted(self) -> asyncio.BaseProtocol:
        return self.accept(partial(has_no_input, self.sock), partial(is_peer_open, self.sock))

    def made(self, protocol: asyncio.BaseProtocol) -> None: ...

    def unmade(self) -> None: ...


class SocketDoor:
    """A listening socket of its own.

    The loop's servers accept one connection in a turn. At the limit turns are long, and most clients would
    leave before anybody had looked at them.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        transports: TransportPool,
        log: Log = QUIET,
        inherited: socket.socket | None = None,
    ) -> None:
        """`inherited` listens already, and others may accept from it, too: it is never bound or shut down."""
        self.loop, self.transports, self.log = loop, transports, log
        self.inherited = inherited is not None
        self.sock = inherited or socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        self.wanted = self.reading = False

    async def open(self, address: tuple[str, int], accept: Accept) -> None:
        self.accept = accept
        if not self.inherited:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(address)
            self.sock.listen(BACKLOG)
        self.let(True)

    def address(self) -> tuple[str, int]:
        host, port = self.sock.getsockname()[:2]
        return host, port

    def let(self, come: bool) -> None:
        self.wanted = come
        self._read(come)

    def _read(self, come: bool) -> None:
        if come is not self.reading and self.sock.fileno() >= 0:
            self.reading = come
            if come:
                self.loop.add_reader(self.sock.fileno(), self._accept)
            else:
                self.loop.remove_reader(self.sock.fileno())

    def _accept(self) -> bool:
        """Let newcomers in, as far as this turn has room for them; whether more may be waiting."""
        for _ in range(ACCEPTS):
            if self.transports.line.qsize() >= ACCEPTS:
                return True
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                return False
            except (ConnectionAbortedError, InterruptedError):
                return True
            except OSError as error:
                if error.errno not in SPENT:
                    raise
                self.log.warning("accept_paused", why=error.strerror)
                self._read(False)
                self.loop.call_at(self.loop.time() + PAUSE, self._again)
                return False
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.transports.give(Newcomer(sock, self.accept))
        return True

    def _again(self) -> None:
        self._read(self.wanted)

    def close(self) -> bool:
        # Who stands in the queue of a socket of its own has been accepted by this machine and may have asked
        # already: the close would reset it, also whoever is beyond what one turn lets in. What stands in one
        # that others hold is theirs. Where the door is shut there is no place for anybody.
        if self.reading and not self.inherited and self._accept():
            return False
        self.let(False)
        self.sock.close()
        return True


def adopt(number: int) -> socket.socket:
    """The listening socket inherited as this descriptor; `OSError` with a plain message where there is none.

    It is one open file for all processes that hold it: not to block is the mode that suits them all.
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


class LoopDoor:
    """The loop's own server, for a loop that has no sockets."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.server: asyncio.Server | None = None

    async def open(self, address: tuple[str, int], accept: Accept) -> None:
        self.server = await self.loop.create_server(lambda: accept(always_true, always_true), *address)

    def address(self) -> tuple[str, int]:
        if self.server is None:
            raise OSError("not open")
        host, port = self.server.sockets[0].getsockname()[:2]
        return host, port

    def let(self, come: bool) -> None:
        """In virtual time nothing runs out that this would save."""

    def close(self) -> bool:
        if self.server:
            self.server.close()
        return True
