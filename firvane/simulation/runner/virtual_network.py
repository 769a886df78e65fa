"""The hosts of a run in memory: who listens where, connections being made, datagrams.

A connection is made as over TCP: the client is up after the way there and back, the server takes it when the
client's next word arrives. Where nobody listens it is refused; over a cut link it is tried again and again. A
datagram comes late or never, and what its receiver has not taken is bounded.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Mapping
from contextvars import Context, copy_context
from typing import Any

from firvane.simulation.runner.arrivals import Mark
from firvane.simulation.runner.link import FIRST_RETRY, LAST_RETRY, Address, End
from firvane.simulation.runner.process import PROCESS, Process, ProcessLoop
from firvane.simulation.runner.zones import Network

Factory = Callable[[], asyncio.BaseProtocol]

FIRST_SYN, LAST_SYN = (
    1.0,
    127.0,
)  # s from one try to connect to the next, twice as long each time; of all tries
FIRST_PORT, LAST_PORT = 32768, 60999  # of those given out
MOST_DATAGRAMS = 512  # on their way to one address; what is beyond is lost
LONGEST_DATAGRAM = 65507  # bytes


class Listening(asyncio.AbstractServer):
    """A server: one address, or its door, which may also let connections hang."""

    def __init__(self, memory: Memory, address: Address, factory: Factory) -> None:
        self.memory, self.address, self.factory = memory, address, factory
        self.process = PROCESS.get()
        self.context = copy_context()
        self.hangs = False  # neither takes connections nor refuses them
        self.newcomer: End | None = None  # whose protocol is being made

    def accept(self, end: End) -> None:
        """A client is here."""
        if self.is_serving() and not self.hangs:
            self.newcomer = end
            try:
                protocol = self.context.copy().run(self.factory)
            except Exception as error:
                about = {"message": f"{self.factory} failed", "exception": error}
                self.memory.loop.call_exception_handler(about)
            else:
                end.process, end.context = self.process, self.context.copy()
                end.open(protocol)
                return
        end.die(silently=False)

    @property
    def sockets(self) -> tuple[Bound, ...]:
        return (Bound(self.address),) if self.is_serving() else ()

    def is_serving(self) -> bool:
        return self.memory.listening.get(self.address) is self

    def get_loop(self) -> ProcessLoop:
        return self.memory.loop

    async def start_serving(self) -> None: ...

    async def serve_forever(self) -> None:
        await asyncio.Event().wait()

    async def wait_closed(self) -> None: ...

    def close(self) -> None:
        """Refuse new connections from now on; those that are made stay."""
        if self.is_serving():
            del self.memory.listening[self.address]


class Bound:
    """What there is of a listening socket."""

    def __init__(self, address: Address) -> None:
        self.address = address

    def getsockname(self) -> Address:
        return self.address

    def fileno(self) -> int:
        """None that the kernel knows."""
        return -1


class Door:
    """One address of a stand-in, which takes connections, refuses them, or lets them hang."""

    def __init__(self, memory: Memory, address: Address, factory: Factory) -> None:
        self.memory, self.address, self.factory = memory, address, factory
        self.server: Listening | None = None

    def accept(self) -> None:
        self._serve().hangs = False

    def refuse(self) -> None:
        if self.server:
            self.server.close()
            self.server = None

    def hang(self) -> None:
        self._serve().hangs = True

    def _serve(self) -> Listening:
        self.server = self.server or self.memory.listen(self.address, self.factory)
        return self.server


class Connecting:
    """A connection being made, from the first word of its client on."""

    def __init__(
        self,
        memory: Memory,
        source: Address,
        target: Address,
        factory: Factory,
        up: Callable[[End, Any], None],
        refused: Callable[[OSError], None],
    ) -> None:
        self.memory, self.source, self.target = memory, source, target
        self.factory, self.up, self.refused = factory, up, refused
        self.context = copy_context()
        self.process = PROCESS.get()
        self.closed = False
        self.timer: asyncio.TimerHandle | None = None
        self.server: Listening | None = None
        self.end: End | None = None
        self.began = memory.loop.now
        self._knock(FIRST_SYN)

    def _knock(self, wait: float) -> None:
        """Ask for it, again and again where no answer comes."""
        loop = self.memory.loop
        if loop.now - self.began >= LAST_SYN:
            self._fail(errno.ETIMEDOUT, "timed out")
            return
        delay = self.memory.network.delay(loop.now, self.source[0], self.target[0])
        if delay is None:
            self._wait(wait)
        else:
            loop.push(loop.now + delay, Parcel(self._arrive, wait))

    def _wait(self, wait: float) -> None:
        self.timer = self.memory.loop.call_later(wait, self._knock, 2 * wait, context=self.memory.context)

    def _arrive(self, wait: float) -> None:
        self.server = self.memory.listening.get(self.target)
        if self.server and self.server.hangs:
            if not self.closed:
                self._wait(wait)
            return
        self.memory.carry(self.target[0], self.source[0], self._answered if self.server else self._none)

    def _none(self) -> None:
        self._fail(errno.ECONNREFUSED, "nobody listens there")

    def _fail(self, number: int, text: str) -> None:
        if not self.is_over():
            self.closed = True
            self.context.run(self.refused, OSError(number, f"{text}: {self.target[0]}:{self.target[1]}"))

    def is_over(self) -> bool:
        return self.closed or bool(self.process and not self.process.alive)

    def _answered(self) -> None:
        if not self.is_over():
            self.context.run(self._stand)

    def _stand(self) -> None:
        """It is up, as its client sees it."""
        assert self.server
        memory = self.memory
        self.end, far = End(memory, self.source), End(memory, self.target)
        self.end.peer, far.peer = far, self.end
        far.on_open, far.protocol = self.server.accept, None
        self.end._launch(Mark.OPEN)
        factory, up = self.factory, self.up
        del self.factory, self.up, self.refused  # who dials and this hold each other
        protocol = factory()
        self.end.open(protocol)
        up(self.end, protocol)

    def close(self) -> None:
        """Give it up."""
        self.closed = True
        if self.timer:
            self.timer.cancel()
        if self.end:
            self.end.abort()


class Parcel:
    """Something on its way that the loop runs when it arrives."""

    __slots__ = ("_cancelled", "args", "callback")

    def __init__(self, callback: Callable[..., None], *args: Any) -> None:
        self.callback, self.args, self._cancelled = callback, args, False

    def __repr__(self) -> str:
        return f"<{self.callback}{self.args}>"

    def owner(self) -> Process | None:
        """The process that it arrives at; None where a kernel alone is concerned."""
        whose = getattr(self.callback, "__self__", None)
        if isinstance(whose, Memory):  # a datagram, which waits in the kernel for its process
            receiver = whose.bound.get(self.args[1])
            return receiver.process if receiver else None
        return whose.process if isinstance(whose, Connecting) and not self.args else None

    def _run(self) -> None:
        try:
            self.callback(*self.args)
        except Exception as error:
            about = {"message": f"{self.callback} failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(about)


class Datagrams(asyncio.DatagramTransport):
    """One address that sends and takes datagrams."""

    def __init__(self, memory: Memory, address: Address, remote: Address | None) -> None:
        super().__init__({"sockname": address, "peername": remote})
        self.memory, self.address, self.remote = memory, address, remote
        self.process = PROCESS.get()
        self.context = copy_context()
        self.protocol: Any = None
        self.closing = False

    def sendto(self, data: Any, addr: Any = None) -> None:
        target = addr or self.remote
        if target is None or len(data) > LONGEST_DATAGRAM:
            raise ValueError("a datagram without an address, or too long for one")
        if not self.closing:
            self.memory.send(self.address, (target[0], target[1]), bytes(data))

    def arrive(self, data: bytes, source: Address) -> None:
        if not self.closing and (self.remote is None or self.remote == source):
            try:
                self.context.run(self.protocol.datagram_received, data, source)
            except Exception as error:
                about = {"message": "datagram_received() failed", "exception": error}
                self.memory.loop.call_exception_handler({**about, "protocol": self.protocol})

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        if not self.closing:
            self.gone()
            self.memory.loop.call_soon(self.protocol.connection_lost, None, context=self.context)

    abort = close

    def gone(self) -> None:
        self.closing = True
        self.memory.bound.pop(self.address, None)


class Memory:
    """All hosts, and what goes between them."""

    def __init__(self, loop: ProcessLoop, network: Network) -> None:
        self.loop, self.network = loop, network
        self.context = Context()  # of what no process has set
        self.listening: dict[Address, Listening] = {}
        self.bound: dict[Address, Datagrams] = {}
        self.ports: dict[str, int] = {}
        self.coming: dict[Address, int] = {}  # datagrams on their way there

    def _port(self, host: str, taken: Mapping[Address, object]) -> int:
        """The next free one."""
        for _ in range(LAST_PORT - FIRST_PORT + 1):
            port = self.ports.get(host, FIRST_PORT)
            self.ports[host] = port + 1 if port < LAST_PORT else FIRST_PORT
            if (host, port) not in taken:
                return port
        raise OSError(errno.EADDRINUSE, f"no port is free on {host}")

    def carry(
        self, source: str, target: str, callback: Callable[[], None], wait: float = FIRST_RETRY
    ) -> None:
        """Call something once a word from host to host has arrived; it is said again where the way is cut."""
        loop = self.loop
        delay = self.network.delay(loop.now, source, target)
        if delay is not None:
            loop.push(loop.now + delay, Parcel(callback))
        else:
            more = min(LAST_RETRY, 2 * wait)
            loop.call_later(wait, self.carry, source, target, callback, more, context=self.context)

    # Connections

    def listen(self, address: Address, factory: Factory) -> Listening:
        """Take connections at an address, at any free port where that is 0; `OSError` where it is taken."""
        host, port = address
        address = host, port or self._port(host, self.listening)
        if address in self.listening:
            raise OSError(errno.EADDRINUSE, f"{host}:{port} is taken")
        _alive()
        server = self.listening[address] = Listening(self, address, factory)
        return server

    def door(self, address: Address, factory: Factory) -> Door:
        return Door(self, address, factory)

    def connect(
        self,
        source: str,
        target: Address,
        factory: Factory,
        up: Callable[[End, Any], None],
        refused: Callable[[OSError], None],
    ) -> Connecting:
        """Connect from a host. Of `up` and `refused` one is called, unless it is closed before."""
        _alive()
        return Connecting(self, (source, self._port(source, {})), target, factory, up, refused)

    # Datagrams

    def datagrams(
        self, address: Address, remote: Address | None, factory: Callable[[], asyncio.DatagramProtocol]
    ) -> tuple[Datagrams, asyncio.DatagramProtocol]:
        """Send and take datagrams at an address; `OSError` where it is taken."""
        host, port = address
        address = host, port or self._port(host, self.bound)
        if address in self.bound:
            raise OSError(errno.EADDRINUSE, f"{host}:{port} is taken")
        _alive()
        transport = self.bound[address] = Datagrams(self, address, remote)
        transport.protocol = protocol = factory()
        protocol.connection_made(transport)
        return transport, protocol

    def send(self, source: Address, target: Address, data: bytes) -> None:
        coming = self.coming.get(target, 0)
        delay = self.network.datagram(self.loop.now, source[0], target[0])
        if delay is not None and coming < MOST_DATAGRAMS:
            self.coming[target] = coming + 1
            self.loop.push(self.loop.now + delay, Parcel(self._deliver, source, target, data))

    def _deliver(self, source: Address, target: Address, data: bytes) -> None:
        self.coming[target] -= 1
        if receiver := self.bound.get(target):
            receiver.arrive(data, source)

    # Ends of processes

    def drop(self, process: Process, silently: bool) -> None:
        """All that a process has open is gone."""
        for server in [s for s in self.listening.values() if s.process is process]:
            server.close()
        for transport in [t for t in self.bound.values() if t.process is process]:
            transport.gone()
        for end in list(process.ends):
            end.die(silently)


def _alive() -> None:
    process = PROCESS.get()
    if process and not process.alive:
        raise ConnectionAbortedError(errno.ECONNABORTED, f"{process.name} has been killed")
