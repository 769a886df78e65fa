"""All model servers and the platform's list of them: started, drained, replaced, ended."""

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

CRASHED_LISTED_S = 2.0  # s for which the list still shows a server that is gone

ServerFactory = Callable[[ListedInstance, ServerRecords, int], ModelServer]  # the last is a seed


class Backends:
    """The stand-ins behind the routers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        layout: Layout,
        profile: ServerProfile,
        terms: PlatformTerms,
        seed: int,
        make_server: ServerFactory | None = None,
    ) -> None:
        """`make_server` makes one incarnation; without it, it is a model server that never fails."""
        self._make_server = make_server or self._make_sound_server
        self.records = ServerRecords()
        self.instances = InstanceList(terms.lag, terms.page_size, terms.rate_per_s)
        self._loop, self._layout, self._profile, self._terms = loop, layout, profile, terms
        self._seed = seed
        self._platform = PlatformServer(loop, layout.platform, self.instances)
        self._servers: list[ModelServer] = []
        self._started = 0
        self._endings: set[asyncio.Task[None]] = set()

    async def start(self, count: int) -> None:
        """Start so many model servers, which are listed at once, and the list."""
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
        ending = asyncio.create_task(self._end(oldest))
        self._endings.add(ending)
        ending.add_done_callback(self._endings.discard)

    async def crash(self, count: int, others_after: float) -> None:
        """These are gone in the middle of their work; as many others come `others_after` seconds later."""
        gone, self._servers = self._servers[:count], self._servers[count:]
        for server in gone:
            for connection in list(server.connections):
                connection.break_off()
            server.close()
        await asyncio.sleep(others_after)
        for _ in gone:
            server = await self._start_one()
            self.instances.put(server.instance, self._loop.time())
        await asyncio.sleep(max(0.0, CRASHED_LISTED_S - others_after))
        for server in gone:
            self.instances.remove(server.instance.id, self._loop.time())

    def close(self) -> None:
        """End everything at once."""
        for ending in self._endings:
            ending.cancel()
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

    def _make_sound_server(self, instance: ListedInstance, records: ServerRecords, seed: int) -> ModelServer:
        return ModelServer(self._loop, instance, self._profile, records, seed)

    async def _end(self, server: ModelServer) -> None:
        """The way out: the list shows it as draining, it serves on for a time, refuses for a time, ends."""
        server.state = ServerState.DRAINING
        try:
            await asyncio.sleep(self._terms.lag + self._profile.drain_s)
            server.state = ServerState.REFUSING
            await asyncio.sleep(self._profile.linger_s)
            self.instances.remove(server.instance.id, self._loop.time())
        finally:
            server.close()
