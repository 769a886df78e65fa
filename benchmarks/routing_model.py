"""A decision with the structures alone: what a balancer that rests on them does for a keyed request.

It keeps the rules of the slice (the key's own server, then its walk up to a cap over the mean, then the least
loaded, then other slices) and leaves out all that is not routing. Its `pick` is held against the plain one in
the tests.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from math import inf

from firvane.core.balancing.records import Backend, mix
from firvane.proxy.routing.bounded_load import walk
from firvane.proxy.routing.hash_ring import Ring
from firvane.proxy.routing.load_index import LoadIndex

CAP = 1.3  # a server may hold this multiple of its slice's mean load, and one request more
FADE, SLOW = 3.0, 1.5  # s that halve what was seen of slowness; up to which it costs no power
RENEW = 0.1  # s after which the power of a slow server is worked out anew: it is at most 2.4% off by then


def power(server: Backend, now: float) -> float:
    slow = 1.0 + (server.relative_latency - 1.0) * math.exp2((server.relative_latency_at - now) / FADE)
    return server.weight * server.capacity * min(1.0, SLOW / slow)


class Model:
    """One proxy's routing: the servers that it reaches, in their slices."""

    def __init__(self, slices: dict[int, list[Backend]], parts: dict[Backend, float], now: float) -> None:
        self.ring, self.everywhere = Ring(), LoadIndex()
        self.slices = {number: LoadIndex() for number in slices}
        self.where: dict[Backend, LoadIndex] = {}
        self.changed: dict[Backend, None] = {}  # to be noted in `everywhere`, which is seldom asked
        for number, servers in slices.items():
            for server in servers:
                if server in parts:
                    server.owner = number
                    self.where[server] = self.slices[number]
                    self.ring.put(server, server.weight, fraction=parts[server])
                    self.note(server, now)
        self.ring.settle()

    def note(self, server: Backend, now: float) -> None:
        """Its figures have changed."""
        load, able = server.in_flight + server.peers_in_flight, power(server, now)
        fill = server.in_flight / server.capacity if server.in_flight >= 1 else 0.0
        check_at = (
            now + RENEW
            if server.relative_latency > SLOW and server.relative_latency_at > now - 4 * FADE
            else inf
        )
        self.where[server].update(server, now, load, able, fill, server.retry_at, check_at)
        self.changed[server] = None

    def drop(self, server: Backend) -> None:
        """It has left the list."""
        self.ring.drop(server)
        self.where.pop(server).remove(server)
        self.everywhere.remove(server)
        self.changed.pop(server, None)

    def pick(
        self, number: int, key: int, first: Backend | None, now: float, limit: float,
        tried: Collection[Backend] = (),
    ) -> Backend | None:  # fmt: skip
        """The first of a slice in the key's order with no more than its fair share, or the least loaded."""
        index = self.slices[number]
        for server in index.advance(now):
            self.note(server, now)

        def fits(server: Backend) -> bool:
            return server not in tried

        share = CAP * index.mean(excluded=tried)
        for server in walk(self.ring, index.records, key, first):
            room = server.in_flight < max(1.0, limit * server.capacity)
            load = server.in_flight + server.peers_in_flight
            if room and index.is_usable(server) and fits(server) and load <= share * power(server, now) + 1:
                return server
        return index.least_loaded(limit, fits)

    def choose(self, key: int, now: float, limit: float, tried: Collection[Backend] = ()) -> Backend | None:
        """The server for a key's hash, of its slice or of any."""
        first = self.ring.owner(key)
        if first is None:
            return None
        found = self.pick(first.owner, key, first, now, limit, tried)
        if found is None:
            for server in self.changed:
                fill = server.in_flight / server.capacity if server.in_flight >= 1 else 0.0
                self.everywhere.update(server, now, 0, 1.0, fill, server.retry_at)
            self.changed.clear()
            self.everywhere.advance(now)
            found = self.everywhere.least_utilized(limit, lambda s: s not in tried)
        return found

    def send(self, server: Backend, now: float) -> None:
        server.in_flight += 1
        self.note(server, now)

    def done(self, server: Backend, now: float, ratio: float) -> None:
        """An answer that took so many times what is usual."""
        server.in_flight -= 1
        slow = 1.0 + (server.relative_latency - 1.0) * math.exp2((server.relative_latency_at - now) / FADE)
        server.relative_latency, server.relative_latency_at = 0.8 * slow + 0.2 * ratio, now
        self.note(server, now)


def hash_of(key: int) -> int:
    return mix(key, 4711)
