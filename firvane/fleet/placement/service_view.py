"""One router's view of the servers of one service, the input of the server selection."""

from __future__ import annotations

from collections.abc import Sequence

from firvane.fleet.discovery.instances import Instance, InstanceState
from firvane.fleet.placement.events import ServiceInfo
from firvane.fleet.placement.prefix_cache import PrefixCacheView
from firvane.fleet.placement.prompt_homes import HomeOrder, Prompt
from firvane.fleet.placement.server_view import ServerView, server_id
from firvane.fleet.placement.slices import Slices
from firvane.fleet.placement.throughput import ThroughputEstimates

MAX_CANDIDATES = 16  # servers that one selection compares
CACHE_MEMORY_RATIO = 0.85  # part of a server's configured cache assumed to contain prefix blocks
MAX_CACHED_BLOCKS = 20_000  # modelled over all servers of a service
MIN_CACHED_BLOCKS = 64  # modelled for each server at least
DEFAULT_SLOTS = 16


class ServiceView:
    """The servers of one service, their throughput, homes and slices.

    Attributes:
        name: The service's name.
        own_number: This router's number.
        zone: Name of this router's zone; empty if zones are ignored.
        info: The configured properties of the backends.
        servers: Servers that are ready or draining, by id.
        by_hash: The servers in `servers`, by the hash of their id.
        ready: The ready servers, in the order of their ids.
        throughput: Estimates of the servers' throughput.
        homes: The rendezvous orders of keys over the ready servers.
        slices: The home slices of the ready servers.
        routers: Numbers of the live routers.
        instances_known: Whether a list of instances was received.
    """

    def __init__(self, name: str, own_number: int, zone: str) -> None:
        self.name, self.own_number, self.zone = name, own_number, zone
        self.info = ServiceInfo(name, 0, 0, 1, 0)
        self.servers: dict[str, ServerView] = {}
        self.by_hash: dict[int, ServerView] = {}
        self.ready: list[ServerView] = []
        self.throughput = ThroughputEstimates()
        self.homes = HomeOrder(MAX_CANDIDATES)
        self.slices = Slices()
        self.routers: Sequence[int] = ()
        self.instances_known = False

    def configure(self, info: ServiceInfo) -> None:
        """Apply the configured properties of the backends."""
        self.info = info
        for server in self.servers.values():
            server.prefix_cache.capacity_tokens = self._cache_capacity()
            server.slots = self._slots(server.listed_slots)

    def assign(self, routers: Sequence[int]) -> None:
        """Replace the set of live routers."""
        self.routers = routers
        self._assign_slices()

    def update(self, instances: Sequence[Instance]) -> None:
        """Replace the list of instances; a server that is not ready never becomes ready again."""
        self.instances_known = True
        present = {each.id: each for each in instances if each.state is not InstanceState.GONE}
        for name in self.servers.keys() - present.keys():
            self.servers.pop(name).ready = False
            self.throughput.forget(name)
        for name, instance in present.items():
            server = self.servers.get(name) or self._add_server(instance)
            server.ready = server.ready and instance.state is InstanceState.READY
        self.by_hash = {server.id_hash: server for server in self.servers.values()}
        self.ready = sorted((each for each in self.servers.values() if each.ready), key=server_id)
        for server in self.ready:
            server.prefix_cache.max_blocks = max(MIN_CACHED_BLOCKS, MAX_CACHED_BLOCKS // len(self.ready))
        self._assign_slices()
        self.homes.assign([(server.id_hash, server.id) for server in self.ready])

    def _assign_slices(self) -> None:
        self.slices.assign(self.ready, self.routers)
        own_slice = self.slices.by_router.get(self.own_number, [])
        for server in self.ready:
            server.in_own_slice = server in own_slice

    def _add_server(self, instance: Instance) -> ServerView:
        cache = PrefixCacheView(self._cache_capacity(), MAX_CACHED_BLOCKS)
        slots = self._slots(instance.slots)
        server = ServerView(instance.id, self.name, instance.zone, slots, cache, listed_slots=instance.slots)
        self.servers[instance.id] = server
        return server

    def _slots(self, listed: int) -> int:
        """Return the slots of a server by the platform's list, or else by the configuration."""
        return listed or self.info.slots or DEFAULT_SLOTS

    def _cache_capacity(self) -> float:
        return CACHE_MEMORY_RATIO * self.info.cache_tokens

    def candidates_for(self, key: int) -> list[ServerView]:
        """Return the ready servers that a selection for a key compares, in the key's rendezvous order."""
        servers = self.servers
        return [servers[name] for name in self.homes.ranked(key)]

    def prefill_tokens(self, prompt: Prompt, server: ServerView) -> int:
        """Return how many tokens of a prompt a server would have to prefill."""
        return prompt.total_tokens - server.prefix_cache.cached_tokens(prompt, len(self.routers))

    def expected_first_event(self, server: ServerView, prefill_tokens: float, now: float) -> float:
        """Return the expected seconds to the first event of a prompt with `prefill_tokens` to prefill."""
        throughput, slots = self.throughput, server.slots
        prefill_rate = throughput.prefill_rate.value
        in_flight = server.in_flight + server.peers_in_flight
        idle = throughput.first_event.value * (1.0 + in_flight / slots) + prefill_tokens / prefill_rate
        expected = idle * server.slowdown + server.queueing_delay(prefill_rate, now)
        if in_flight >= slots:
            expected += (in_flight + 1 - slots) / slots * throughput.duration
        return expected
