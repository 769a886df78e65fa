"""Ways in on real sockets: one address each, which takes connections, refuses them, or lets them hang.

On loopback nothing is ever lost, so a dial that gets no answer is brought about by a listening socket whose
queue is full: the kernel then drops what asks for more.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Protocol

Address = tuple[str, int]
Factory = Callable[[], asyncio.Protocol]

BACKLOG = 1024
FILLERS = 2  # a queue of length 0 holds one; the second one finds it full
LINGER_NOT = struct.pack("ii", 1, 0)


class Door(Protocol):
    """One address."""

    def accept(self) -> None:
        """Take connections; `OSError` where the address cannot be had."""

    def refuse(self) -> None:
        """Be as if nobody listened."""

    def hang(self) -> None:
        """Let new connections neither come up nor fail."""


Doors = Callable[[Address, Factory], Door]


def reset(transport: asyncio.Transport) -> None:
    """End a connection as a dying process does: what is unsent is lost, and the other side is told."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT)
    transport.abort()


class SocketDoor:
    """A door on a listening socket of its own."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, factory: Factory) -> None:
        self.loop, self.address, self.factory = loop, address, factory
        self.sock: socket.socket | None = None
        self.is_open = False
        self.fillers: list[socket.socket] = []
        self.making: set[asyncio.Task[object]] = set()

    def accept(self) -> None:
        if self.is_open:
            return
        sock = self._listen(BACKLOG)
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.loop.add_reader(sock.fileno(), self._take, sock)
        self.is_open = True

    def refuse(self) -> None:
        self._stop()
        if self.sock:
            self.sock.close()
            self.sock = None

    def hang(self) -> None:
        if self.fillers:
            return
        self._stop()
        self._listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            self.fillers.append(filler)
            filler.connect_ex(self.address)

    def _stop(self) -> None:
        if self.is_open and self.sock:
            self.loop.remove_reader(self.sock.fileno())
        self.is_open = False
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def _listen(self, backlog: int) -> socket.socket:
        sock = self.sock
        if sock is None:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            try:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(self.address)
            except OSError:
                sock.close()
                raise
            self.sock = sock
        sock.listen(backlog)
        return sock

    def _take(self, listening: socket.socket) -> None:
        while True:
            try:
                sock, _ = listening.accept()
            except OSError:  # none is left, or no descriptor for it
                return
            sock.setblocking(False)
            made = self.loop.create_task(self.loop.connect_accepted_socket(self.factory, sock))
            self.making.add(made)
            made.add_done_callback(self._made)

    def _made(self, made: asyncio.Task[object]) -> None:
        self.making.discard(made)
        if not made.cancelled():
            made.exception()  # it broke before it stood: its other side knows


def socket_doors(loop: asyncio.AbstractEventLoop) -> Doors:
    return lambda address, factory: SocketDoor(loop, address, factory)
