"""What the processes of a live run say to one another: msgpack values with their lengths, and records.

Records go in batches, each with the time up to which its process has now told all: so the receiver can put
the records of several processes into one order while the run goes on.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Any, cast

import msgspec

from firvane.simulation.emulation import records
from firvane.simulation.emulation.records import Record

HEAD = struct.Struct("!I")
KINDS: tuple[type[Any], ...] = (
    records.Asked,
    records.Answered,
    records.Abandoned,
    records.Arrived,
    records.Finished,
    records.Dropped,
    records.Probed,
    records.BoxState,
    records.Told,
    records.ProxyState,
    records.Used,
    records.Sent,
    records.Shaded,
    records.Stated,
)
NUMBERS = {kind: number for number, kind in enumerate(KINDS)}
BATCH_S = 0.1  # s from one batch of records to the next


class Pipe(asyncio.Protocol):
    """One end of a connection between two processes; what is said is a word and what belongs to it."""

    def __init__(self, on_said: Callable[..., None], on_end: Callable[[], None]) -> None:
        self.on_said, self.on_end = on_said, on_end
        self.transport: asyncio.Transport
        self.buffer = bytearray()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, error: Exception | None) -> None:
        self.on_end()

    def data_received(self, data: bytes) -> None:
        buffer = self.buffer
        buffer += data
        while len(buffer) >= HEAD.size:
            end = HEAD.size + HEAD.unpack_from(buffer)[0]
            if len(buffer) < end:
                break
            said = msgspec.msgpack.decode(bytes(buffer[HEAD.size : end]))
            del buffer[:end]
            self.on_said(*said)

    def say(self, *what: object) -> None:
        if not self.transport.is_closing():
            data = msgspec.msgpack.encode(what)
            self.transport.write(HEAD.pack(len(data)) + data)


def pack(batch: list[Record]) -> list[tuple[int, Record]]:
    """Records in a form that msgpack takes."""
    return [(NUMBERS[type(record)], record) for record in batch]


def unpack(batch: list[tuple[int, list[Any]]]) -> list[Record]:
    return [KINDS[number](*fields) for number, fields in batch]


class Merger:
    """Puts the records of several sources into the order of their times."""

    def __init__(self, sources: int, sink: Callable[[Record], None]) -> None:
        self.through = [0.0] * sources
        self.sink = sink
        self.held: list[Record] = []

    def add(self, source: int, through: float, batch: list[Record]) -> None:
        """These are from a source that has now told all up to `through`."""
        self.held += batch
        self.through[source] = through
        self._pass_on(min(self.through))

    def end(self) -> None:
        """Nothing more comes."""
        self._pass_on(float("inf"))

    def _pass_on(self, through: float) -> None:
        ripe = sorted((record for record in self.held if record.at < through), key=lambda record: record.at)
        if ripe:
            self.held = [record for record in self.held if record.at >= through]
            for record in ripe:
                self.sink(record)
