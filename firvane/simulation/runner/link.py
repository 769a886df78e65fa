"""One side of a connection in memory: what it sends, and its end.

1. What is sent and not yet read is bounded by the window. What exceeds it waits in the sender's write buffer.
2. While a link is cut all that is sent waits with its sender, who tries again at growing intervals. Only a
   reset is lost: it is not sent again, and the other side learns of it when it next sends something.
3. A close sends what is left and the end behind it; an abort, a close with bytes unread, and the end of a
   process reset the connection.
"""

from __future__ import annotations

import asyncio
from typing import Any

from firvane.simulation.runner.arrivals import Arrivals, Hosts, Item, Mark
from firvane.simulation.runner.process import PROCESS

Address = tuple[str, int]

WINDOW = 256 * 1024  # bytes sent and not yet read: what two sockets' buffers hold
HIGH = 64 * 1024  # bytes in a write buffer from which its writer is asked to pause, unless it says otherwise
FIRST_RETRY, LAST_RETRY = 0.2, 1.6  # s between tries over a cut link


class End(Arrivals):
    """One side of a connection."""

    __slots__ = (
        "buffer",
        "choked",
        "crediting",
        "high",
        "host",
        "is_ended",
        "is_written",
        "low",
        "port",
        "process",
    )

    peer: End

    def __init__(self, memory: Hosts, address: Address) -> None:
        super().__init__(memory)
        self.host, self.port = address
        self.process = PROCESS.get()
        self.buffer: list[bytes] = []
        self.low, self.high = HIGH // 4, HIGH
        self.choked = False  # the protocol has been asked to pause
        self.is_written = False  # nothing more may be written
        self.is_ended = False  # and its end is on its way
        self.crediting = False  # word of room in the window is on its way

    def __repr__(self) -> str:
        name = type(self.protocol).__name__
        return f"<{name} at {self.host}:{self.port}, from {self.peer.host}:{self.peer.port}>"

    def open(self, protocol: asyncio.BaseProtocol) -> None:
        """Give it a protocol, and let it speak and hear."""
        self.set_protocol(protocol)
        self.reads = True
        if self.process:
            self.process.ends[self] = None
        self._call(protocol.connection_made, self)

    # What is sent

    def write(self, data: bytes | bytearray | memoryview[Any]) -> None:
        if self.is_written:
            raise RuntimeError("nothing may be written after write_eof()")
        if self.closing or not data:
            return
        if self.broken:
            self._leave(BrokenPipeError("the other side has reset the connection"))
            return
        item = data if type(data) is bytes else bytes(data)
        if not self.buffered and self.peer.unread + len(item) <= WINDOW:
            self.peer.unread += len(item)
            self._launch(item)
            return
        self.buffer.append(item)
        self.buffered += len(item)
        self._fill_window()
        if self.buffered > self.high and not self.choked:
            self.choked = True
            self.protocol.pause_writing()

    def writelines(self, pieces: Any) -> None:
        self.write(b"".join(pieces))

    def _fill_window(self) -> None:
        room = WINDOW - self.peer.unread
        while room > 0 and self.buffer:
            item = self.buffer.pop(0)
            if len(item) > room:
                self.buffer.insert(0, item[room:])
                item = item[:room]
            room -= len(item)
            self.buffered -= len(item)
            self.peer.unread += len(item)
            self._launch(item)

    def _launch(self, item: Item) -> None:
        """Send something on its way."""
        peer, loop = self.peer, self.memory.loop
        if peer.waiting:
            if item is Mark.RESET:
                peer.waiting.clear()
            else:
                peer.waiting.append(item)
            return
        delay = self.memory.network.delay(loop.now, self.host, peer.host)
        if delay is None:
            if item is not Mark.RESET:
                peer.waiting.append(item)
                loop.call_later(FIRST_RETRY, self._retry, FIRST_RETRY, context=self.memory.context)
            return
        at = loop.now + delay  # or later, where what was sent before it is slower
        peer.flight.append((at, item))
        if not peer.armed:
            peer.armed = True
            loop.push(at, peer)

    def _retry(self, wait: float) -> None:
        """What a cut holds up goes once the way is whole."""
        peer, loop = self.peer, self.memory.loop
        if not peer.waiting:
            return
        if self.memory.network.delay(loop.now, self.host, peer.host) is None:
            wait = min(LAST_RETRY, 2 * wait)
            loop.call_later(wait, self._retry, wait, context=self.memory.context)
            return
        items, peer.waiting = peer.waiting, []
        for item in items:
            self._launch(item)

    def _credit(self) -> None:
        """Let the other side know that there is room."""
        if not self.crediting:
            self.crediting = True
            self.memory.carry(self.host, self.peer.host, self._credited)

    def _credited(self) -> None:
        self.crediting = False
        self.peer._flush()

    def _flush(self) -> None:
        if self.lost or not self.buffered:
            return
        self._fill_window()
        if self.buffered <= self.low and self.choked:
            self.choked = False
            self._call(self.protocol.resume_writing)
        if not self.buffered:
            if self.closing:
                self._lose(None)
            elif self.is_written:
                self._finish()

    def get_write_buffer_size(self) -> int:
        return self.buffered

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self.low, self.high

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        if high is None:
            high = HIGH if low is None else 4 * low
        self.low, self.high = high // 4 if low is None else low, high
        if self.buffered > high and not self.choked:
            self.choked = True
            self.protocol.pause_writing()

    # Its end

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        if not (self.closing or self.is_written):
            self.is_written = True
            if not self.buffered:
                self._finish()

    def _finish(self) -> None:
        self.is_ended = True
        self._launch(Mark.END)

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        """Read no more, send what is left, and go."""
        if not self.closing:
            self.closing, self.reads = True, False
            if not self.buffered:
                self._leave(None)

    def abort(self) -> None:
        """Go at once; the other side finds the connection reset."""
        if not self.lost:
            self._leave(None, True)

    def _leave(self, error: Exception | None, reset: bool = False) -> None:
        """Go in the next turn: the protocol may be at work in this one."""
        self.closing, self.reads = True, False
        self._clear()
        self.memory.loop.call_soon(self._lose, error, reset, context=self.memory.context)

    def _clear(self) -> None:
        self.buffer.clear()
        self.buffered = 0

    def _lose(self, error: Exception | None, reset: bool = False) -> None:
        """The end, of which the protocol and the other side learn once."""
        if self.lost:
            return
        reset = reset or any(isinstance(item, bytes) for item in self.inbox)  # bytes unread reset it
        self.gone()
        try:
            self.context.run(self.protocol.connection_lost, error)
        except Exception as failure:
            about = {"message": "connection_lost() failed", "exception": failure, "protocol": self.protocol}
            self.memory.loop.call_exception_handler(about)
        if reset:
            self._launch(Mark.RESET)
        elif error is None and not self.is_ended:
            self._finish()

    def gone(self) -> None:
        """It is no more, and says nothing."""
        self.closing = self.lost = True
        self.reads = False
        self._clear()
        self.inbox.clear()
        if self.process:
            self.process.ends.pop(self, None)

    def die(self, silently: bool) -> None:
        """Its process has ended, or its whole machine."""
        self.gone()
        if silently:
            self.peer.waiting.clear()
        else:
            self._launch(Mark.RESET)

    # The rest of a transport

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        self.protocol = protocol
        self.fills = isinstance(protocol, asyncio.BufferedProtocol)

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol  # type: ignore[no-any-return]

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        if name == "sockname":
            return self.host, self.port
        return (self.peer.host, self.peer.port) if name == "peername" else default
