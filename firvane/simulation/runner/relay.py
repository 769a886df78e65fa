"""The way between proxies: every datagram goes through here, late or never.

Each proxy has an address here for each peer, and one for all of them. What comes to one of these goes on to
the peer, from the address at which that peer finds the sender.
"""

from __future__ import annotations

import asyncio
from typing import Any, Protocol, cast

from firvane.simulation.emulation.records import Sent
from firvane.simulation.runner.backends import Sink
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.plan import Address, Plan

LONGEST = 256  # bytes; a longer one is against the rules and goes nowhere


class Post(Protocol):
    """The model's word on a datagram between zones."""

    def datagram(self, now: float, a: str, b: str) -> float | None:
        """s that it takes; None: it is lost."""


class Ear(asyncio.DatagramProtocol):
    """One address of the relay: proxy `sender` writes to it for those in `receivers`."""

    def __init__(self, relay: Relay, sender: int, receivers: tuple[int, ...]) -> None:
        self.relay, self.sender, self.receivers = relay, sender, receivers
        self.transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        if (addr[0], addr[1]) == self.relay.plan.peer_listen(self.sender):
            for receiver in self.receivers:
                self.relay.carry(self.sender, receiver, data)

    def error_received(self, exc: Exception) -> None:
        """A proxy that is down hears nothing, and nobody is told."""


class Relay:
    """All of them, for the proxies in these zones, by number."""

    def __init__(
        self,
        clock: Clock,
        plan: Plan,
        names: tuple[str, ...],
        zones: tuple[str, ...],
        post: Post,
        sink: Sink,
        early: bool = False,
    ) -> None:
        """`early`: datagrams come also before the clock begins, as proxies need that agree at their start."""
        self.clock, self.plan, self.names, self.zones = clock, plan, names, zones
        self.post, self.sink, self.early = post, sink, early
        self.ears: dict[tuple[int, int], Ear] = {}  # by sender and receiver; -1 is all
        self.faults: dict[tuple[int, int], tuple[float, float]] = {}  # until when; s late, or 0: lost

    async def open(self) -> None:
        """Take datagrams; `OSError` where an address cannot be had."""
        everyone = range(len(self.names))
        for sender in everyone:
            others = tuple(other for other in everyone if other != sender)
            ways: dict[int, tuple[Address, tuple[int, ...]]] = {-1: (self.plan.peers_all(sender), others)}
            ways |= {other: (self.plan.peer(sender, other), (other,)) for other in everyone}
            for key, (address, receivers) in ways.items():
                ear = self.ears[sender, key] = Ear(self, sender, receivers)
                await self.clock.loop.create_datagram_endpoint(
                    lambda ear=ear: ear,  # type: ignore[misc]
                    local_addr=address,
                )

    def carry(self, sender: int, receiver: int, data: bytes) -> None:
        now = self.clock.now()
        delay = None
        if len(data) <= LONGEST:
            delay = self.post.datagram(now, self.zones[sender], self.zones[receiver])
        until, late = self.faults.get((sender, receiver), (0.0, 0.0))
        if delay is not None and now < until:
            delay = delay + late if late else None
        self.sink(Sent(now, self.names[sender], len(data), delay is not None))
        if delay is not None and self.early and self.clock.start is None:
            self.clock.loop.call_later(delay, self._deliver, now, sender, receiver, data)
        elif delay is not None:
            self.clock.call_at(now + delay, self._deliver, sender, receiver, data)

    def strike(self, sender: str, receiver: str, until: float, late: float) -> None:
        """Datagrams from one to the other are lost until then, or come `late` s later where that is not 0."""
        self.faults[self.names.index(sender), self.names.index(receiver)] = until, late

    def _deliver(self, now: float, sender: int, receiver: int, data: bytes) -> None:
        transport = self.ears[receiver, sender].transport
        if not transport.is_closing():
            transport.sendto(data, self.plan.peer_listen(receiver))

    def close(self) -> None:
        for ear in self.ears.values():
            ear.transport.close()
