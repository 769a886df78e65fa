"""The front: which proxies clients are dealt to, and how late it learns of their ends.

1. A proxy has clients once it has said that it is ready, after each of its starts.
2. That one has died is noticed after some seconds. One that is told to end gets no new connections after a
   moment; those that stand stay in use.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from random import Random
from typing import TypeVar, cast

from firvane.simulation.emulation.clients import Try
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.listeners import Address

ASK_UP_S = 0.05  # s from one look whether a proxy is ready to the next
NOTICE_S = (2.0, 3.7)  # s till it is noticed that a proxy has died
LEAVE_S = (0.2, 0.4)  # s for which new connections still go to a proxy that has been told to end


class Seen:
    """A proxy as the front sees it."""

    def __init__(self, name: str, zone: str, address: Address) -> None:
        self.name, self.zone, self.address = name, zone, address
        self.is_in = False  # it has clients
        self.is_leaving = False  # but no new connections any more
        self.life = 0  # counts its starts and ends: what was to be noticed of an earlier one is void


S = TypeVar("S", bound=Seen)


class Front:
    """What the clients of all proxies share. `admit` is told which proxies have clients from now on."""

    def __init__(
        self,
        clock: Clock,
        proxies: Mapping[str, Seen],
        seed: int,
        admit: Callable[[float, str, bool], None],
        on_ready: Callable[[str], None],
    ) -> None:
        self.clock, self.proxies, self.admit, self.on_ready = clock, proxies, admit, on_ready
        self.draw = Random(f"front/{seed}")
        self.checks: set[asyncio.Task[None]] = set()
        for name in proxies:
            admit(0.0, name, False)

    def leads(self, try_: Try, proxy: S, all_: Mapping[str, S]) -> S:
        """Where a new connection of a client goes that was dealt to this proxy."""
        if proxy.is_leaving:
            others = [other for other in all_.values() if other.is_in and not other.is_leaving]
            near = [other for other in others if other.zone == proxy.zone] or others
            if near:
                return near[int(try_.call[-4:], 16) % len(near)]
        return proxy

    def started(self, proxy: str) -> None:
        """A proxy's process runs: ask it till it says that it is ready."""
        seen = self.proxies[proxy]
        seen.life += 1
        self._check(seen, seen.life)

    def ending(self, proxy: str) -> None:
        """A proxy has been told to end."""
        self._later(LEAVE_S, self.proxies[proxy], self._leave)

    def dead(self, proxy: str) -> None:
        """A proxy's process has ended, which the front has yet to notice, unless it was told to."""
        seen = self.proxies[proxy]
        seen.life += 1
        if seen.is_leaving:
            self._out(seen)
        else:
            self._later(NOTICE_S, seen, self._out)

    def _later(self, span: tuple[float, float], seen: Seen, then: Callable[[Seen], None]) -> None:
        life = seen.life

        def due(now: float) -> None:
            if seen.life == life:
                then(seen)

        self.clock.call_at(self.clock.now() + self.draw.uniform(*span), due)

    def _leave(self, seen: Seen) -> None:
        seen.is_leaving = True

    def _out(self, seen: Seen) -> None:
        seen.is_in = seen.is_leaving = False
        self.admit(self.clock.now(), seen.name, False)

    def _check(self, seen: Seen, life: int) -> None:
        if seen.life == life:
            check = self.clock.loop.create_task(self._ask_up(seen, life))
            self.checks.add(check)
            check.add_done_callback(self.checks.discard)

    async def _ask_up(self, seen: Seen, life: int) -> None:
        loop = self.clock.loop
        is_up = False
        try:
            up = loop.create_future()
            transport, _ = await loop.create_connection(lambda: UpCheck(up), *seen.address)
            is_up = await up
            transport.abort()
        except OSError:
            pass
        if seen.life != life:
            return
        if is_up:
            seen.is_in, seen.is_leaving = True, False
            self.admit(self.clock.now(), seen.name, True)
            self.on_ready(seen.name)
        else:
            loop.call_later(ASK_UP_S, self._check, seen, life)

    def close(self) -> None:
        for check in self.checks:
            check.cancel()


class UpCheck(asyncio.Protocol):
    """Asks a proxy whether it may have clients."""

    def __init__(self, up: asyncio.Future[bool]) -> None:
        self.up = up

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        cast(asyncio.Transport, transport).write(b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n")

    def data_received(self, data: bytes) -> None:
        if not self.up.done():
            self.up.set_result(data.startswith(b"HTTP/1.1 200 "))

    def connection_lost(self, error: Exception | None) -> None:
        if not self.up.done():
            self.up.set_result(False)
