"""Home slices of one service, and the moves of load between slices, which are computed once per window.

Each router has a slice (subset) of the ready servers: the servers, sorted by id, are assigned in turn to the
sorted live routers, wrapping around so that each slice has at least one server. If there are more routers
than servers, several slices share a server, each with an equal part of it. Loads and rates are in units of
`WORK_UNIT_TOKENS` prompt tokens.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from firvane.core.balancing import window
from firvane.core.balancing.records import mix, total
from firvane.core.balancing.slices import deal
from firvane.fleet.placement.prompt_homes import rank_servers
from firvane.fleet.placement.rows import Section
from firvane.fleet.placement.server_view import ServerView, server_id

WORK_UNIT_TOKENS = 1024.0
MOVE_SALT = 77  # makes the hash that selects moved keys independent of the hash that selects homes
HASH_RANGE = 2**32
SMOOTHING = 0.1  # smoothing factor per window of the shares that move long prompts
MIN_SMOOTHED_SHARE = 0.001
LONG_PROMPT_MARGIN = 0.1  # part of a source's keys; smaller shares do not justify a second long prefill

Moves = dict[int, list[tuple[int, float]]]  # by source router: target routers and their shares of its keys


class Slices:
    """The home slices of all routers, and the moves between them in this window.

    Attributes:
        by_router: The servers of each router's slice.
        owners: The routers whose slices contain a server, by server id.
        shares: Part of a source's keys that moves to a target in this window, by (source, target).
        smoothed_shares: `shares` smoothed over several windows, which apply to long prompts.
        moves: The moves of short prompts, from `shares`.
        long_prompt_moves: The moves of long prompts, from `smoothed_shares`.
    """

    def __init__(self) -> None:
        self.by_router: dict[int, list[ServerView]] = {}
        self.owners: dict[str, list[int]] = {}
        self.shares: window.Shares = {}
        self.smoothed_shares: window.Shares = {}
        self.moves: Moves = {}
        self.long_prompt_moves: Moves = {}

    def assign(self, servers: Sequence[ServerView], routers: Sequence[int]) -> None:
        """Assign the ready servers to the slices of the live routers."""
        self.by_router = {router: [] for router in sorted(routers)}
        self.owners = {}
        for router, server in deal(sorted(servers, key=server_id), list(self.by_router)):
            self.by_router[router].append(server)
            self.owners.setdefault(server.id, []).append(router)
        self.shares = self._between_live(self.shares)
        self.smoothed_shares = self._between_live(self.smoothed_shares)
        self._update_moves()

    def _between_live(self, shares: window.Shares) -> window.Shares:
        live = self.by_router
        return {pair: share for pair, share in shares.items() if pair[0] in live and pair[1] in live}

    def step(
        self,
        load_tokens: Mapping[str, float],
        sections: Mapping[int, tuple[Section, float]],
        zones: Mapping[int, int],
    ) -> None:
        """Compute the moves of the next window.

        Args:
            load_tokens: Load of each server in prompt tokens, by server id.
            sections: Each router's section for the service with its age in seconds, by router number.
            zones: The zone of each router by router number.
        """
        load_per_owner = {
            name: load_tokens[name] / (len(owners) * WORK_UNIT_TOKENS) for name, owners in self.owners.items()
        }
        load = {
            n: total(load_per_owner[server.id] for server in servers) for n, servers in self.by_router.items()
        }
        if not load:
            return
        growth, mu = dict.fromkeys(load, 0.0), dict.fromkeys(load, 0.0)
        for router, (section, age) in sections.items():
            if router in load:
                growth[router] = window.growth(section.forecast, section.arrivals, section.served, age)
                mu[router] = section.mu
        load = window.ahead(load, growth, spread=True)
        self.shares = window.step(load, mu, {n: zones.get(n, 0) for n in load}, self.shares)
        self._smooth()
        self._update_moves()

    def _smooth(self) -> None:
        pairs = self.shares.keys() | self.smoothed_shares.keys()
        for pair in sorted(pairs):
            old = self.smoothed_shares.get(pair, 0.0)
            self.smoothed_shares[pair] = old + SMOOTHING * (self.shares.get(pair, 0.0) - old)
        self.smoothed_shares = {
            pair: share for pair, share in self.smoothed_shares.items() if share > MIN_SMOOTHED_SHARE
        }

    def _update_moves(self) -> None:
        self.moves = window.moves(self.shares)
        excess = {pair: share - LONG_PROMPT_MARGIN for pair, share in self.smoothed_shares.items()}
        self.long_prompt_moves = window.moves({pair: share for pair, share in excess.items() if share > 0.0})

    def drop_moves_to(self, target: int) -> None:
        """Cancel the moves to a router until the next window, since it received more load than it expects."""
        self.shares = {pair: share for pair, share in self.shares.items() if pair[1] != target}
        self._update_moves()

    def moved_to(self, home: str, key: int, is_long: bool) -> str | None:
        """Return the server to which a key moves in this window; the result is the same on all routers.

        Args:
            home: Server id of the key's home.
            key: The home key of the prompt.
            is_long: Whether the prompt is long.

        Returns:
            The server's id, or None if the key stays at its home.
        """
        owners = self.owners.get(home)
        moves = self.long_prompt_moves if is_long else self.moves
        if not owners or not moves:
            return None
        source = owners[mix(key, MOVE_SALT + 1) % len(owners)]
        draw = mix(key, MOVE_SALT) / HASH_RANGE
        for target, share in moves.get(source, ()):
            draw -= share
            if draw < 0:
                return self._server_of(target, home, key)
        return None

    def _server_of(self, router: int, home: str, key: int) -> str | None:
        servers = self.by_router.get(router, ())
        hashed_ids = [(server.id_hash, server.id) for server in servers if server.id != home]
        return rank_servers(key, hashed_ids, 1)[0] if hashed_ids else None
