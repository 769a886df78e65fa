"""The slices of all proxies as one proxy knows them: the server list, the key ring, rows, and offload shares.

Each proxy owns a slice of the server list and announces a row: what its slice can do (mu), what it has in
flight (phi), its arrivals and their forecast, and its attempts by server. From the rows every proxy computes
the capacity-weighted target of each slice, and moves the excess of overloaded slices to underloaded ones for
the next window. docs/design.md gives the reasons.
"""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Collection, Iterable

from firvane.core import interface as api
from firvane.core.balancing import window
from firvane.core.balancing.greedy_pairing import forecast
from firvane.core.balancing.records import Backend, OpenRequest, total
from firvane.core.balancing.rows import Row, decode_row, encode_row
from firvane.core.balancing.slices import deal
from firvane.core.balancing.window import WINDOW
from firvane.proxy.capacity import slow_start
from firvane.proxy.capacity.backend_estimates import LATENCY_HALF_LIFE_S, BackendEstimates
from firvane.proxy.recovery import messages
from firvane.proxy.recovery.recovery import Recovery
from firvane.proxy.routing.hash_ring import Ring
from firvane.proxy.routing.large_slices import IndexValues, LargeSlices
from firvane.proxy.routing.server_list import UpServers, merge

MIN_ROW_INTERVAL_WINDOWS = 2  # from row to row (the design's r)
PEER_TIMEOUT_ROWS = 3  # row intervals until a silent peer drops out
MAX_ROWS_PER_WINDOW = 28  # that a proxy receives: the more proxies, the rarer their rows
SERVED_RATE_WINDOWS = 3  # over which the announced rate of answers is taken
MAX_ROW_ENTRIES = 70
MAX_PHI = 0xFFFF
FLAG_ASK_ROWS = 1  # of a row: its receiver answers with its own
FLAG_UNEXPECTED_OFFLOAD = 2  # of a row: its receiver sends more here than was expected
UNEXPECTED_OFFLOAD_FACTOR = 2  # times an even part
UNEXPECTED_OFFLOAD_MARGIN = 2  # attempts
RING_POINTS = 64  # of a server of mean size
POWER_REFRESH_S = 0.1  # after which a slow server's power is computed anew
SLOW_LATENCY = 1.5  # relative latency of a server whose power is refreshed
LATENCY_MEMORY_FADES = 4  # half-lives after which a relative latency no longer matters
SPARE_TOKENS = 2.0  # a server in slow start that has them takes any request
MIN_WATCH_BACKOFF_S = 0.5
MAX_WATCH_BACKOFF_S = 4.0


class SliceTable:
    """The servers by slice, the proxies' rows, and what moves between the slices.

    Attributes:
        rows: the last row of each live proxy, by its index, the own one included.
        slices: the servers of each live proxy.
        shares: the part of a slice's demand that goes to another slice, by giver and taker.
        offloads: the takers of each slice with their shares.
        own_slice: the servers of this proxy's slice.
        resized_servers: servers whose part of the key ring changes with the next list.
        kind_sizes: of the kinds of servers, as they stand on the ring.
        arrivals: requests here, by window, the present one last.
        served: answers here, by window, the present one last.
        peers_known_at: when the rows of all live peers must have arrived.
        actions: those of the event at hand.
    """

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.servers: dict[str, Backend] = {}
        self.listing = UpServers()
        self.large = LargeSlices(self.index_figures, self.rng)
        self.up = self.listing.up
        self.open_requests = dict[int, OpenRequest]()
        self.rows = dict[int, Row]()
        self.slices = dict[int, list[Backend]]()
        self.shares: dict[tuple[int, int], float] = {}
        self.offloads: dict[int, list[tuple[int, float]]] = {}
        self.ring = Ring(RING_POINTS)
        self.own_slice = set[Backend]()
        self.resized_servers = dict[Backend, None]()
        self.estimates = BackendEstimates(settings, self.rng, now)
        options = settings.recovery
        self.recovery = Recovery(options, settings, self.estimates, self.rng, now) if options else None
        self.row_interval = max(MIN_ROW_INTERVAL_WINDOWS, round(settings.proxies / MAX_ROWS_PER_WINDOW))
        # Where all proxies send to servers in slow start it does not matter which peers are known.
        self.peers_known_at = now if self.estimates.is_pooled else now + 2 * WINDOW * self.row_interval
        self.arrivals = [0]
        self.served = [0]
        self.actions: list[api.Action] = []
        self.kind_sizes = dict[int, float]()
        self.watching = not settings.ask
        self.watch_at = 0.0
        self.watch_backoff = 0.0

    # The server list

    def on_list(self, update: api.ServerList, now: float) -> None:
        """Take over an update of the server list."""
        if update.kind is api.ListKind.FAILED:
            self.watching = not self.settings.ask
            self.watch_backoff = min(MAX_WATCH_BACKOFF_S, max(MIN_WATCH_BACKOFF_S, self.watch_backoff * 2))
            self.watch_at = now + self.watch_backoff * self.rng.uniform(0.5, 1.0)
            return
        if update.kind is not api.ListKind.CACHED:
            self.watching = True
            self.watch_backoff = 0.0
        self.servers, touched, renewed, resized = merge(self.servers, update, self.settings.live_weights)
        for server in renewed:
            self.large.mark_changed(server)
        self.resized_servers.update(resized)
        if touched:
            self.apply_list_change(touched)
        if self.recovery:
            self.recovery.listed(self.up, update, now)

    def apply_list_change(self, touched: Iterable[Backend]) -> None:
        """After a change of the list: count the peers' attempts, renew the key ring, deal the slices."""
        removed, added, tags = self.listing.update(touched, self.is_listed)
        for server in removed:
            self.ring.drop(server)
        for server in [*added, *filter(self.is_listed, self.resized_servers)]:
            self.place_on_ring(server)
        self.resized_servers.clear()
        for n in self.rows.keys() - {self.settings.me} if tags else ():
            self.count_row(self.rows[n], 1, tags)
        self.deal_slices()

    def is_listed(self, server: Backend) -> bool:
        """Whether the list names the server as up."""
        return self.servers.get(server.entry.id) is server and server.entry.state is api.ServerState.UP

    def place_on_ring(self, server: Backend) -> None:
        """Give a server its part of the key ring."""
        weight = 1.0 if self.settings.live_weights else server.weight  # keys would move with live weights
        self.ring.put(server, weight, self.kind_sizes.get(server.entry.kind, 1.0))

    def resize_kinds(self) -> None:
        """Take over the estimated sizes of the kinds of servers."""
        self.kind_sizes = dict(self.estimates.kind_sizes)
        for server in self.up:
            self.place_on_ring(server)

    # The slices

    def deal_slices(self) -> None:
        """Deal the servers of each zone to its live proxies by rank."""
        self.slices = {n: [] for n in sorted(self.rows)}
        self.offloads = {}
        zones = dict[int, list[Backend]]()
        for server in self.up:
            server.owner_count = 0
            zones.setdefault(server.entry.zone, []).append(server)
        for zone, servers in sorted(zones.items()):
            owners = [n for n in self.slices if self.rows[n].zone == zone] or list(self.slices)
            for owner, server in deal(servers, owners):
                self.slices[owner].append(server)
                server.owner = owner
                server.owner_count += 1
        self.large.set_slices(self.slices)
        self.own_slice = set(self.slices.get(self.settings.me, ()))

    def update_shares(self, now: float) -> None:
        """Run the step over the rows as announced: what moves between slices in the next window."""
        load = {
            n: total((s.announced + s.peers_in_flight) / s.owner_count for s in servers)
            for n, servers in self.slices.items()
        }
        growth = {
            n: window.growth(row.forecast, row.arrivals, row.served, now - row.received_at)
            for n, row in self.rows.items()
        }
        load = window.ahead(load, growth, self.settings.key_affinity)  # keys spread all demand alike
        mu = {n: row.mu for n, row in self.rows.items()}
        zones = {n: row.zone for n, row in self.rows.items()}
        self.shares = window.step(load, mu, zones, self.shares)
        self.offloads = window.moves(self.shares)

    # Rows

    def announce(self, now: float, flags: int, peer: int | None = None) -> None:
        """Send this proxy's row, and keep it as announced: the step reads what the peers read."""
        busy = [s for s in self.servers.values() if s.in_flight]
        busy = sorted(busy, key=lambda s: (-s.in_flight, s.entry.id))[:MAX_ROW_ENTRIES]
        own_slice = self.slices.get(self.settings.me, [])
        mu = total(self.estimates.effective_weight(s, now) / s.owner_count for s in own_slice)
        phi = min(MAX_PHI, len(self.open_requests))
        served = sum(self.served[-SERVED_RATE_WINDOWS:]) / SERVED_RATE_WINDOWS / WINDOW
        for server in self.up:
            server.announced = server.in_flight
        figures = phi, mu, self.arrivals[-1], forecast(self.arrivals), served
        payload = encode_row(flags, self.settings.zone, now, figures, busy)
        self.rows[self.settings.me] = decode_row(payload, now)
        if self.settings.limits.peers and self.settings.proxies > 1:
            self.actions.append(api.SendToPeer(peer, payload))

    def on_peer_message(self, message: api.PeerMessage, now: float) -> None:
        """Take over a peer's datagram: its counts, a message of its recovery, or its row."""
        try:
            if self.estimates.on_peer_message(message.sender, message.payload):
                return
            if self.recovery and message.payload[:1] == messages.MESSAGE_PREFIX:
                self.actions += self.recovery.heard(message, self.up, self.listing.by_tag, now)
                return
            row = decode_row(message.payload, now)
        except (ValueError, struct.error):
            return  # malformed, truncated or foreign datagrams do no harm
        known = self.rows.get(message.sender)
        if message.sender == self.settings.me or (known and row.sequence <= known.sequence):
            return  # stale or repeated
        self.on_row(message.sender, row, known, now)

    def on_row(self, sender: int, row: Row, known: Row | None, now: float) -> None:
        """Take over a peer's row in place of the `known` one."""
        self.rows[sender] = row
        self.count_row(row, 1)  # a new peer's part in the slices comes at the next window
        if known:
            self.count_row(known, -1)
        if row.flags & FLAG_ASK_ROWS:
            self.announce(now, 0, sender)
        if row.flags & FLAG_UNEXPECTED_OFFLOAD:
            self.shares = {pair: share for pair, share in self.shares.items() if pair[1] != sender}
            self.update_shares(now)
        elif self.settings.me in self.offloads:  # overloaded: offload far above an even part draws a flag
            offload = sum(n for tag, n in row.in_flight if self.listing.by_tag(tag) in self.own_slice)
            even = (1 + sum(n for _, n in row.in_flight)) / len(self.slices)
            if offload > UNEXPECTED_OFFLOAD_FACTOR * even + UNEXPECTED_OFFLOAD_MARGIN:
                self.announce(now, FLAG_UNEXPECTED_OFFLOAD, sender)

    def count_row(self, row: Row, sign: int, among: Collection[int] | None = None) -> None:
        """Add the attempts of a row to its servers' counts, or subtract them; `among` are tags, None: all."""
        for tag, attempts in row.in_flight:
            if (among is None or tag in among) and (server := self.listing.by_tag(tag)):
                server.peers_in_flight += sign * attempts
                self.large.mark_changed(server)

    # Servers in slow start

    def index_figures(self, server: Backend, now: float) -> IndexValues:
        """What the index of a large slice is to know of a server."""
        power = self.estimates.effective_weight(server, now)
        ready_at = server.retry_at
        is_slow = (
            server.relative_latency > SLOW_LATENCY
            and server.relative_latency_at > now - LATENCY_MEMORY_FADES * LATENCY_HALF_LIFE_S
        )
        refresh_at = now + POWER_REFRESH_S if is_slow else math.inf
        is_warm = not self.estimates.is_in_slow_start(server, now)
        if is_warm or (self.recovery and self.recovery.stepped(server)):
            return IndexValues(power, ready_at, math.inf, refresh_at)
        warm_at = (server.started_at or 0.0) + self.settings.rules.slow_start
        if not (senders := self.slow_start_senders(server)):
            return IndexValues(power, max(ready_at, warm_at), math.inf, min(warm_at, refresh_at))
        self.refill_budget(server, now)
        ready_at = max(ready_at, self.peers_known_at)
        rate, most = slow_start.rate(self.estimates, server, senders, now)
        one_at, spare_at = (
            max(ready_at, now + max(0.0, n - server.tokens) / rate) for n in (1.0, SPARE_TOKENS)
        )
        spare_at = spare_at if most >= SPARE_TOKENS else math.inf
        return IndexValues(power, one_at, spare_at, min(warm_at, refresh_at, now + WINDOW))

    def refill_budget(self, server: Backend, now: float) -> bool:
        """Refill the budget of a server in slow start; whether it lets this proxy send there."""
        senders = self.slow_start_senders(server)
        if not senders or now < self.peers_known_at:
            return False
        return slow_start.refill(self.estimates, server, senders, now, self.rng)

    def slow_start_senders(self, server: Backend) -> int:
        """How many proxies share the budget of a server in slow start; 0 where this one has no part."""
        if self.estimates.is_pooled:
            return self.settings.proxies
        if server not in self.own_slice:
            return 0
        # A partitioned peer deals this slice anew and may send as well: it is left its part.
        return server.owner_count + self.settings.proxies - len(self.rows)
