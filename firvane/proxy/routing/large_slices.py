"""The large slices by index, and what has changed in them since they were last asked.

Rules that hold here and nowhere else:

1. A slice of up to `MAX_SORTED_SERVERS` servers has no index: scanning all of them costs no more.
2. Whoever changes a server's figures calls `mark`. They are asked for when an index is next wanted, once
   however often they changed, and again at the time that they name themselves.
3. Indexes are made when they are first wanted after a deal: a deal may move half of the servers.
4. An index takes its servers in by an order of its proxy's own. Of equals the one noted longest ago is the
   next: proxies that all had the list's order would go through it together, one server at a time for all.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from random import Random
from typing import NamedTuple

from firvane.core.balancing.records import Backend
from firvane.proxy.routing.bounded_load import MAX_SORTED_SERVERS
from firvane.proxy.routing.load_index import Index


class Figures(NamedTuple):
    """What an index keeps of a server; times are seconds on the caller's clock."""

    power: float
    ready_at: float  # something may be sent to it from then on
    spare_at: float  # and more than its keys bring: inf where it is not cold
    check_at: float  # these are to be asked for anew


class Large:
    """The indexes of a proxy's large slices."""

    def __init__(self, figures: Callable[[Backend, float], Figures], dice: Random) -> None:
        """`figures` are a server's at a time; `dice` draws the order of equals."""
        self.figures, self.random = figures, dice
        self.slices: dict[int, list[Backend]] = {}
        self.indexes: dict[int, Index] = {}
        self.spares = Index()  # cold servers that may be sent to; by fill
        self.where: dict[Backend, list[Index]] = {}
        self.changed: dict[Backend, None] = {}

    def deal(self, slices: dict[int, list[Backend]]) -> None:
        """The slices are others."""
        self.slices = {n: servers for n, servers in slices.items() if len(servers) > MAX_SORTED_SERVERS}
        self.indexes, self.spares, self.where, self.changed = {}, Index(), {}, {}

    def mark(self, server: Backend) -> None:
        """Its figures have changed."""
        if server in self.where:
            self.changed[server] = None

    def index(self, number: int, now: float) -> Index | None:
        """A slice's index as of now; None where it is not large."""
        servers = self.slices.get(number)
        if servers is None:
            return None
        index = self.indexes.get(number)
        if index is None:
            index = self.indexes[number] = Index()
            for server in self.random.sample(servers, len(servers)):  # rule 4
                self.where.setdefault(server, []).append(index)
                self.changed[server] = None
        if self.changed:
            for server in self.changed:
                self.note(server, now)
            self.changed = {}
        for server in index.advance(now):
            self.note(server, now, looked=True)
        self.spares.advance(now)
        return index

    def note(self, server: Backend, now: float, looked: bool = False) -> None:
        figures, load = self.figures(server, now), server.in_flight + server.peers_in_flight
        fill = server.in_flight / server.capacity if server.in_flight >= 1 else 0.0
        for index in self.where[server]:
            index.note(server, now, load, figures.power, fill, figures.ready_at, figures.check_at, looked)
        if figures.spare_at < inf:
            self.spares.note(server, now, 0, 1.0, fill, figures.spare_at, looked=looked)
        elif server in self.spares.spots:
            self.spares.forget(server)
