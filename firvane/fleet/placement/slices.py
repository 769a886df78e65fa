"""Home slices of one service, and the moves between them (the window step).

Each router has a slice of the ready backends: their sorted ids dealt by rank over the sorted live routers,
wrapping so that each slice has one. Where routers outnumber backends, several slices share a backend, each
with an equal part of it. Load and rates are in units of `UNIT` prompt tokens.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from firvane.core.balancing import window
from firvane.core.balancing.records import mix, total
from firvane.core.balancing.slices import deal
from firvane.fleet.placement.homes import rendezvous
from firvane.fleet.placement.rows import Section
from firvane.fleet.placement.server_view import Server

UNIT = 1024.0  # tokens
MOVE_SALT = 77  # tells the draw of moves from the hash of homes
SMOOTHING = 0.1  # of a window: how fast the shares of long prompts follow
HEAVY_MARGIN = 0.1  # of a giver's keys: smaller shares move no long prompt, as its parts are read again


class Slices:
    """Who holds what, and what moves to whom in this window."""

    def __init__(self) -> None:
        self.by_router: dict[int, list[Server]] = {}
        self.owners: dict[str, list[int]] = {}  # routers whose slices hold a server
        self.shares: window.Shares = {}
        self.slow_shares: window.Shares = {}
        self.moves: dict[int, list[tuple[int, float]]] = {}
        self.slow_moves: dict[int, list[tuple[int, float]]] = {}

    def assign(self, servers: Sequence[Server], routers: Sequence[int]) -> None:
        """Deal the ready servers to the live routers."""
        self.by_router = {router: [] for router in sorted(routers)}
        self.owners = {}
        for router, server in deal(sorted(servers, key=_by_id), list(self.by_router)):
            self.by_router[router].append(server)
            self.owners.setdefault(server.id, []).append(router)
        self.shares = {pair: share for pair, share in self.shares.items() if self._lives(pair)}
        self.slow_shares = {pair: share for pair, share in self.slow_shares.items() if self._lives(pair)}
        self._settle()

    def _lives(self, pair: tuple[int, int]) -> bool:
        return pair[0] in self.by_router and pair[1] in self.by_router

    def step(
        self,
        work: Mapping[str, float],
        sections: Mapping[int, tuple[Section, float]],
        zones: Mapping[int, int],
    ) -> None:
        """The window step over the slices.

        `work` is the load of each server in tokens; `sections` are the routers' figures with their ages in s.
        """
        parts = {name: work[name] / (len(owners) * UNIT) for name, owners in self.owners.items()}
        load = {n: total(parts[server.id] for server in servers) for n, servers in self.by_router.items()}
        if not load:
            return
        grown, mu = dict.fromkeys(load, 0.0), dict.fromkeys(load, 0.0)
        for router, (section, age) in sections.items():
            if router in load:
                grown[router] = window.growth(section.forecast, section.arrivals, section.served, age)
                mu[router] = section.mu
        load = window.ahead(load, grown, spread=True)
        self.shares = window.step(load, mu, {n: zones.get(n, 0) for n in load}, self.shares)
        self._smooth()
        self._settle()

    def _smooth(self) -> None:
        pairs = self.shares.keys() | self.slow_shares.keys()
        for pair in sorted(pairs):
            old = self.slow_shares.get(pair, 0.0)
            self.slow_shares[pair] = old + SMOOTHING * (self.shares.get(pair, 0.0) - old)
        self.slow_shares = {pair: share for pair, share in self.slow_shares.items() if share > 0.001}

    def _settle(self) -> None:
        self.moves = window.moves(self.shares)
        above = {pair: share - HEAVY_MARGIN for pair, share in self.slow_shares.items()}
        self.slow_moves = window.moves({pair: share for pair, share in above.items() if share > 0.0})

    def drop_moves_to(self, taker: int) -> None:
        """The taker did not expect what came: nothing moves there until the next step says so."""
        self.shares = {pair: share for pair, share in self.shares.items() if pair[1] != taker}
        self._settle()

    def moved(self, home: str, key: int, heavy: bool) -> str | None:
        """The server that takes a key off its home in this window, if any; the same on all routers."""
        owners = self.owners.get(home)
        moves = self.slow_moves if heavy else self.moves
        if not owners or not moves:
            return None
        giver = owners[mix(key, MOVE_SALT + 1) % len(owners)]
        draw = mix(key, MOVE_SALT) / 2**32
        for taker, share in moves.get(giver, ()):
            draw -= share
            if draw < 0:
                return self._in_slice(taker, home, key)
        return None

    def _in_slice(self, router: int, home: str, key: int) -> str | None:
        salts = [(server.salt, server.id) for server in self.by_router.get(router, ()) if server.id != home]
        return rendezvous(key, salts, 1)[0] if salts else None


def _by_id(server: Server) -> str:
    return server.id
