"""The indexes of the large slices, and the servers that have changed since the last query.

Invariants:

1. A slice of up to `MAX_SORTED_SERVERS` servers has no index: scanning all of them costs no more.
2. The code that changes a server's values calls `mark_changed`. They are read at the next query of an index,
   once however often they changed, and again at the time that they name themselves.
3. Indexes are built at the first query after the slices change: a change may move half of the servers.
4. An index adds its servers in an order of the proxy's own. Of equals the one updated longest ago is next: if
   all proxies used the list's order, they would all send to one server at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import NamedTuple

from firvane.core.balancing.records import Backend
from firvane.proxy.routing.bounded_load import MAX_SORTED_SERVERS
from firvane.proxy.routing.load_index import LoadIndex


class IndexValues(NamedTuple):
    """The values of a server for an index; times are seconds on the caller's clock."""

    weight: float
    ready_at: float  # from when on it may be sent to
    spare_at: float  # from when on it may be sent more than its keys; inf if it is not cold
    check_at: float  # when these values must be read again


class LargeSlices:
    """The indexes of a proxy's large slices."""

    def __init__(self, read_values: Callable[[Backend, float], IndexValues], generator: Random) -> None:
        """`read_values` returns a server's values at a time; `generator` draws the order of equals."""
        self.read_values, self.rng = read_values, generator
        self.slices: dict[int, list[Backend]] = {}
        self.indexes: dict[int, LoadIndex] = {}
        self.spares = LoadIndex()  # cold servers with a budget to spare; by utilization
        self.indexes_by_server: dict[Backend, list[LoadIndex]] = {}
        self.changed: dict[Backend, None] = {}

    def set_slices(self, slices: dict[int, list[Backend]]) -> None:
        """Set the slices, by number."""
        self.slices = {n: servers for n, servers in slices.items() if len(servers) > MAX_SORTED_SERVERS}
        self.indexes, self.spares, self.indexes_by_server, self.changed = {}, LoadIndex(), {}, {}

    def mark_changed(self, server: Backend) -> None:
        """Mark a server whose values have changed."""
        if server in self.indexes_by_server:
            self.changed[server] = None

    def index(self, number: int, now: float) -> LoadIndex | None:
        """Return the index of a slice as of now; None if the slice is not large."""
        servers = self.slices.get(number)
        if servers is None:
            return None
        index = self.indexes.get(number)
        if index is None:
            index = self.indexes[number] = LoadIndex()
            for server in self.rng.sample(servers, len(servers)):  # rule 4
                self.indexes_by_server.setdefault(server, []).append(index)
                self.changed[server] = None
        if self.changed:
            for server in self.changed:
                self.update(server, now)
            self.changed = {}
        for server in index.advance(now):
            self.update(server, now, is_recheck=True)
        self.spares.advance(now)
        return index

    def update(self, server: Backend, now: float, is_recheck: bool = False) -> None:
        values, load = self.read_values(server, now), server.in_flight + server.peers_in_flight
        utilization = server.in_flight / server.capacity if server.in_flight >= 1 else 0.0
        for index in self.indexes_by_server[server]:
            index.update(
                server, now, load, values.weight, utilization, values.ready_at, values.check_at, is_recheck
            )
        if values.spare_at < inf:
            self.spares.update(server, now, 0, 1.0, utilization, values.spare_at, is_recheck=is_recheck)
        elif server in self.spares.records:
            self.spares.remove(server)
