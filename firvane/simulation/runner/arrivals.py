"""What is on its way to one side of a connection in memory, and how that side reads it.

1. Bytes come in order and once, cut into reads as the receiver's loop would cut them. What arrives at one
   instant is read together, one read in a turn of the loop.
2. Who does not read hears of nothing, nor of a reset, until it reads again or writes.
3. What comes to a side that is gone is answered with a reset.
4. Queues are lists: they hold an item or two, and an empty deque has room for 64. A large fleet has
   hundreds of thousands of them.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextvars import Context, copy_context
from enum import Enum
from typing import Any, Protocol

from firvane.simulation.runner.process import Process, ProcessLoop
from firvane.simulation.runner.zones import Network

READ = 256 * 1024  # bytes of one read, as asyncio's own transports read


class Mark(Enum):
    """What goes the same way as bytes."""

    OPEN = "open"
    END = "end"
    RESET = "reset"


Item = bytes | Mark


class Hosts(Protocol):
    """What a connection asks of the hosts that it joins."""

    loop: ProcessLoop
    network: Network
    context: Context  # of what no process has set

    def carry(self, source: str, target: str, callback: Callable[[], None]) -> None:
        """Call something once a word from host to host has arrived."""


class Arrivals(asyncio.Transport):
    """What is on its way to one side of a connection, and what has arrived there.

    The loop runs it as it runs a handle whenever something arrives: a write costs no object but its bytes.
    """

    __slots__ = (
        "armed", "broken", "buffered", "closing", "context", "fills", "flight", "inbox", "lost",
        "memory", "on_open", "peer", "protocol", "reading", "reads", "unread", "waiting",
    )  # fmt: skip

    _cancelled = False  # never, as far as the loop knows
    peer: Arrivals
    process: Process | None
    protocol: Any

    def __init__(self, memory: Hosts) -> None:
        self.memory = memory
        self.context = copy_context()
        self.on_open: Callable[[Any], None] | None = None  # the server's side, until the client is here
        self.flight: list[tuple[float, Item]] = []
        self.armed = False  # the loop will run it then
        self.waiting: list[Item] = []  # held up by a cut, still with the sender
        self.inbox: list[Item] = []  # arrived and not read
        self.unread = 0  # bytes of all of these
        self.reading = False  # a read is due in the next turn
        self.reads = False  # may read
        self.fills = False  # into a buffer of the protocol's
        self.broken = False  # the other side's reset has come and waits for a read or a write
        self.buffered = 0  # bytes that wait to be sent
        self.closing = self.lost = False

    def _call(self, callback: Callable[..., Any], *args: Any) -> Any:
        """Call the protocol from outside of it; a fault of its ends the connection, as it does on sockets."""
        try:
            return self.context.run(callback, *args)
        except Exception as error:
            about = {"message": f"{callback} failed", "exception": error, "transport": self}
            self.memory.loop.call_exception_handler({**about, "protocol": self.protocol})
            self.abort()
            return None

    def _run(self) -> None:
        """Something has arrived."""
        self.armed = False
        flight, inbox = self.flight, self.inbox
        if len(flight) == 1 and not inbox and self.reads:
            item = flight.pop()[1]
            if type(item) is bytes and not self.fills and len(item) <= READ:  # as nearly always
                self.unread -= len(item)
                if self.peer.buffered:
                    self._credit()
                self._call(self.protocol.data_received, item)
                return
            inbox.append(item)
        else:
            now = self.memory.loop.now
            while flight and flight[0][0] <= now:
                inbox.append(flight.pop(0)[1])
            if flight:
                self.armed = True
                self.memory.loop.push(flight[0][0], self)
        self._read()

    def _read(self) -> None:
        """Read once."""
        inbox = self.inbox
        if self.lost or not self.reads:
            self._pass_over()
            return
        if not inbox:
            return
        item = inbox.pop(0)
        if item is Mark.RESET:
            self._lose(ConnectionResetError("the other side has reset the connection"))
        elif item is Mark.END:
            self._end()
        elif isinstance(item, bytes):
            self._take(item)
        if inbox and self.reads:
            self._go_on()

    def _go_on(self) -> None:
        if not self.reading:
            self.reading = True
            self.memory.loop.call_soon(self._read_on, context=self.memory.context)

    def _read_on(self) -> None:
        self.reading = False
        self._read()

    def _take(self, item: bytes) -> None:
        """One read: what lies there up to its bound, or up to the room that the protocol has."""
        inbox = self.inbox
        if inbox and len(item) < READ:
            pieces, size = [item], len(item)
            while inbox and size < READ and isinstance(more := inbox[0], bytes):
                del inbox[0]
                pieces.append(more)
                size += len(more)
            item = b"".join(pieces)
        most = len(item) if len(item) < READ else READ
        if self.fills:
            most = self._call(_fill, self.protocol, item[:most]) or most
        if most < len(item):
            inbox.insert(0, item[most:])
        self.unread -= most
        if self.peer.buffered:
            self._credit()
        if not self.fills:
            self._call(self.protocol.data_received, item[:most])

    def _pass_over(self) -> None:
        """Who does not read, or is gone: a reset is noticed all the same where it was writing."""
        inbox = self.inbox
        if self.on_open:
            opener, self.on_open = self.on_open, None
            del inbox[0]
            opener(self)
            if inbox:
                self._go_on()
        elif self.lost:
            if any(isinstance(item, bytes) for item in inbox):
                self._launch(Mark.RESET)
            inbox.clear()
        elif Mark.RESET in inbox:
            self.broken = True
            if self.buffered:
                self._lose(ConnectionResetError("the other side has reset the connection"))

    def _end(self) -> None:
        if not self._call(self.protocol.eof_received):
            self.close()

    def is_quiet(self) -> bool:
        """Whether nothing lies here unread."""
        flight = self.flight
        return not (self.inbox or (flight and flight[0][0] <= self.memory.loop.now))

    def stands(self) -> bool:
        """Whether the other side has neither ended nor reset it, as a kernel knows: bytes that lie unread do
        not hide that, nor does a pause in reading."""
        now = self.memory.loop.now
        arrived = [*self.inbox, *(item for at, item in self.flight if at <= now)]
        return not (self.closing or self.broken or Mark.END in arrived or Mark.RESET in arrived)

    def is_reading(self) -> bool:
        return self.reads

    def pause_reading(self) -> None:
        if not self.closing:
            self.reads = False

    def resume_reading(self) -> None:
        if not self.closing and not self.reads:
            self.reads = True
            if self.inbox:
                self._go_on()

    # What the whole of a side does

    def _lose(self, error: Exception | None, reset: bool = False) -> None:
        raise NotImplementedError

    def _launch(self, item: Item) -> None:
        raise NotImplementedError

    def _credit(self) -> None:
        raise NotImplementedError


def _fill(protocol: asyncio.BufferedProtocol, data: bytes) -> int:
    """One read into the protocol's buffer; the bytes that it had room for."""
    buffer = memoryview(protocol.get_buffer(-1))
    size = min(len(data), len(buffer))
    if not size:
        raise RuntimeError("get_buffer() gave an empty buffer")
    buffer[:size] = data[:size]
    protocol.buffer_updated(size)
    return size
