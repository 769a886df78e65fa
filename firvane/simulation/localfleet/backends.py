"""Starts, drains, replaces and stops the model servers and the platform's list of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from firvane.simulation.localfleet.instance_list import InstanceList, ListedInstance
from firvane.simulation.localfleet.layout import ZONES, Layout
from firvane.simulation.localfleet.model_connection import ServerState
from firvane.simulation.localfleet.model_server import ModelServer
from firvane.simulation.localfleet.platform_server import PlatformServer
from firvane.simulation.localfleet.profiles import SERVICE, ServerProfile
from firvane.simulation.localfleet.run_ledger import ServerRecords
from firvane.simulation.localfleet.settings_files import PlatformTerms

CRASHED_LISTED_S = 2.0  # s for which the list still shows a crashed server

ServerFactory = Callable[[ListedInstance, ServerRecords, int], ModelServer]  # the last argument is a seed


class Backends:
    """The model servers behind the routers and the instance list."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        layout: Layout,
        profile: ServerProfile,
        terms: PlatformTerms,
        seed: int,
        make_server: ServerFactory | None = None,
    ) -> None:
        """`make_server` makes one incarnation; by default a model server without faults."""
        self._make_server = make_server or self._make_default_server
        self.records = ServerRecords()
        self.instances = InstanceList(terms.lag, terms.page_size, terms.rate_per_s)
        self._loop, self._layout, self._profile, self._terms = loop, layout, profile, terms
        self._seed = seed
        self._platform = PlatformServer(loop, layout.platform, self.instances)
        self._servers: list[ModelServer] = []
        self._started = 0
        self._drains: set[asyncio.Task[None]] = set()

    async def start(self, count: int) -> None:
        """Start `count` model servers, listed without lag, and the list."""
        for _ in range(count):
            server = await self._start_one()
            self.instances.put(server.instance, self._loop.time(), at_once=True)
        await self._platform.start()

    async def replace_oldest(self) -> None:
        """Start a new model server and let the oldest one drain."""
        oldest = self._servers.pop(0)
        newest = await self._start_one()
        now = self._loop.time()
        self.instances.put(newest.instance, now)
        self.instances.drain(oldest.instance.id, now)
        drain_task = asyncio.create_task(self._drain(oldest))
        self._drains.add(drain_task)
        drain_task.add_done_callback(self._drains.discard)

    async def crash(self, count: int, replacement_delay: float) -> None:
        """Crash the `count` oldest servers; start as many new ones after `replacement_delay` seconds."""
        crashed, self._servers = self._servers[:count], self._servers[count:]
        for server in crashed:
            for connection in list(server.connections):
                connection.break_off()
            server.close()
        await asyncio.sleep(replacement_delay)
        for _ in crashed:
            server = await self._start_one()
            self.instances.put(server.instance, self._loop.time())
        await asyncio.sleep(max(0.0, CRASHED_LISTED_S - replacement_delay))
        for server in crashed:
            self.instances.remove(server.instance.id, self._loop.time())

    def close(self) -> None:
        """Stop all servers and the list at once."""
        for drain_task in self._drains:
            drain_task.cancel()
        for server in self._servers:
            server.close()
        self._platform.close()

    async def _start_one(self) -> ModelServer:
        number = self._started
        self._started += 1
        instance = ListedInstance(
            f"i-{number + 1}",
            SERVICE,
            self._layout.backend(number),
            ZONES[number % len(ZONES)],
            self._profile.slots,
        )
        server = self._make_server(instance, self.records, self._seed + number)
        await server.start()
        self._servers.append(server)
        return server

    def _make_default_server(
        self, instance: ListedInstance, records: ServerRecords, seed: int
    ) -> ModelServer:
        return ModelServer(self._loop, instance, self._profile, records, seed)

    async def _drain(self, server: ModelServer) -> None:
        """Drain a server: it still serves while listed as draining, then rejects requests, then closes."""
        server.state = ServerState.DRAINING
        try:
            await asyncio.sleep(self._terms.lag + self._profile.drain_s)
            server.state = ServerState.REFUSING
            await asyncio.sleep(self._profile.linger_s)
            self.instances.remove(server.instance.id, self._loop.time())
        finally:
            server.close()
