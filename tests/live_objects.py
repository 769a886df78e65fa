"""What is still alive of requests, told without a run of the collector of cycles."""

from __future__ import annotations

import asyncio
import gc
import weakref
from collections import Counter
from collections.abc import Callable, Iterator

import pytest

from firvane.core.flows import Attempt, Flow
from firvane.core.net.dialer import SocketDial
from firvane.core.net.http_message import Message, Stream
from firvane.core.net.http_reader import MessageReader
from firvane.core.net.upstream_exchange import UpstreamRun

OF_A_REQUEST: tuple[type, ...] = (Attempt, Flow, Message, SocketDial, Stream, UpstreamRun)
TURNS = 200  # of the event loop in which an end has gone through; no timer is awaited
ON_BODY = MessageReader.on_body


class TrackedBody(bytearray):
    """A part of a body that can be referenced weakly."""


class LiveObjects:
    """Counts what is alive; parts of bodies are tracked from their reader on."""

    def __init__(self) -> None:
        self.bodies: list[weakref.ref[TrackedBody]] = []

    def track_body(self, reader: MessageReader, body: bytes) -> None:
        """Stand in for the reader's own callback."""
        part = TrackedBody(body)
        self.bodies.append(weakref.ref(part))
        ON_BODY(reader, part)  # type: ignore[arg-type]

    def count(self, types: tuple[type, ...] = OF_A_REQUEST) -> dict[str, int]:
        """The number of live instances by type; what has none is left out."""
        found = Counter(type(each).__name__ for each in gc.get_objects() if isinstance(each, types))
        found["bodies"] = sum(body() is not None for body in self.bodies)
        return {name: count for name, count in found.items() if count}


@pytest.fixture
def alive(monkeypatch: pytest.MonkeyPatch) -> Iterator[LiveObjects]:
    """Turn the collector off, and track bodies."""
    made = LiveObjects()
    monkeypatch.setattr(MessageReader, "on_body", lambda reader, body: made.track_body(reader, body))
    gc.collect()
    gc.disable()
    yield made
    gc.enable()


async def settle() -> None:
    """Let the event loop go through what is due."""
    for _ in range(TURNS):
        await asyncio.sleep(0)


async def wait_until(holds: Callable[[], bool]) -> None:
    """Wait for a condition, which the caller bounds in time."""
    while not holds():
        await asyncio.sleep(0)
