"""What the tests of virtual time share: a loop, a network to meddle with, protocols that take notes."""

from __future__ import annotations

import asyncio
import functools
import inspect
from collections.abc import Callable, Coroutine
from typing import Any, cast

from firvane.simulation.runner.virtual import VirtualLoop

SERVER, CLIENT = ("10.0.0.1", 80), "10.0.0.2"


class Net:
    """Hosts a fixed time apart, unless they are cut off."""

    def __init__(self) -> None:
        self.seconds: float | None = 0.01
        self.datagrams: list[float | None] = []  # what becomes of the next ones

    def delay(self, now: float, source: str, target: str) -> float | None:
        return self.seconds

    def datagram(self, now: float, source: str, target: str) -> float | None:
        return self.datagrams.pop(0) if self.datagrams else self.seconds


def virtual(work: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Runs a coroutine on a loop and a network of its own, which it is handed before all else.

    What a callback raises is raised here.
    """

    @functools.wraps(work)
    def run(*args: Any, **more: Any) -> None:
        net, faults = Net(), list[Any]()
        loop = VirtualLoop(net)
        loop.set_exception_handler(lambda loop, context: faults.append(context.get("exception") or context))
        with asyncio.Runner(loop_factory=lambda: loop) as runner:
            runner.run(work(loop, net, *args, **more))
        if faults:
            raise faults[0]

    signature = inspect.signature(work)
    run.__signature__ = signature.replace(parameters=[*signature.parameters.values()][2:])  # type: ignore
    return run


class Noted(asyncio.Protocol):
    """Notes what it hears, with the time."""

    def __init__(self, greeting: bytes = b"", keeps: bool = False) -> None:
        self.loop = cast(VirtualLoop, asyncio.get_running_loop())
        self.greeting, self.keeps, self.data = greeting, keeps, b""
        self.notes: list[tuple[float, Any]] = []
        self.transport: Any = None

    def note(self, what: Any) -> None:
        self.notes.append((round(self.loop.time(), 6), what))

    def heard(self) -> list[Any]:
        return [what for _, what in self.notes]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.note("made")
        if self.greeting:
            self.transport.write(self.greeting)

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.note(data if len(data) < 100 else len(data))

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.note((data, addr))

    def eof_received(self) -> bool:
        self.note("end")
        return self.keeps

    def connection_lost(self, error: Exception | None) -> None:
        self.note(type(error).__name__ if error else "lost")

    def pause_writing(self) -> None:
        self.note("pause")

    def resume_writing(self) -> None:
        self.note("resume")


class Filled(Noted, asyncio.BufferedProtocol):
    """The same with a small buffer of its own."""

    buffer = bytearray(7)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.data_received(bytes(self.buffer[:nbytes]))


async def pair(loop: VirtualLoop, far: Callable[[], Noted] = Noted) -> tuple[Noted, Noted]:
    """A client and the server's side of its connection, both up."""
    made = loop.create_future()

    def factory() -> Noted:
        loop.call_soon(made.set_result, protocol := far())
        return protocol

    with_server = loop.memory.listen(SERVER, factory)
    _, near = await loop.create_connection(Noted, *SERVER, local_addr=(CLIENT, 0))
    protocol = await made
    with_server.close()
    return near, protocol
