"""One proxy's view of all slices: the server list, the hash ring of keys, peers' rows and offload shares.

Each proxy owns a slice of the server list and announces a row: the capacity of its slice (mu), its open
requests (phi), its arrivals and their forecast, and its attempts by server. From the rows every proxy
computes the capacity-weighted target load of each slice, and offloads the excess of overloaded slices to
underloaded ones in the next window. docs/design.md gives the reasons.
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
from firvane.core.balancing.slices import assign_round_robin
from firvane.core.balancing.window import WINDOW
from firvane.proxy.capacity import slow_start
from firvane.proxy.capacity.backend_estimates import LATENCY_HALF_LIFE_S, BackendEstimates
from firvane.proxy.recovery import messages
from firvane.proxy.recovery.recovery import Recovery
from firvane.proxy.routing.hash_ring import Ring
from firvane.proxy.routing.large_slices import IndexValues, LargeSlices
from firvane.proxy.routing.server_list import UpServers, merge

MIN_ROW_INTERVAL_WINDOWS = 2  # between rows (r in the design)
PEER_TIMEOUT_ROWS = 3  # row intervals without a row until a peer is removed
MAX_ROWS_PER_WINDOW = 28  # received by a proxy: with more proxies each announces less often
SERVED_RATE_WINDOWS = 3  # averaging time of the announced response rate
MAX_ROW_ENTRIES = 70
MAX_PHI = 0xFFFF
FLAG_REQUEST_ROW = 1  # row flag: requests the receiver's row
FLAG_UNEXPECTED_OFFLOAD = 2  # row flag: the receiver offloads more to the sender than expected
UNEXPECTED_OFFLOAD_FACTOR = 2  # times an even share of the peer's attempts
UNEXPECTED_OFFLOAD_MARGIN = 2  # attempts beyond that
RING_POINTS = 64  # ring points of a server of mean weight and kind size
POWER_REFRESH_S = 0.1  # interval at which the power of a slow server is recomputed
SLOW_LATENCY = 1.5  # servers above this relative latency count as slow
LATENCY_MEMORY_HALF_LIVES = 4  # after which a relative latency is ignored
SPARE_TOKENS = 2.0  # a server in slow start with this many tokens is preferred for any request
MIN_WATCH_BACKOFF_S = 0.5
MAX_WATCH_BACKOFF_S = 4.0


class SliceTable:
    """The servers by slice, the rows of the proxies, and the offload shares between slices.

    Attributes:
        rows: the latest row of each live proxy, by its index; includes the own row.
        slices: the servers of each live proxy, by its index.
        shares: the fraction of a slice's demand that goes to another, by (source, destination).
        offloads: the destinations of each slice with their shares.
        own_slice: the servers of this proxy's slice.
        resized_servers: servers whose part of the ring changes when the next list is applied.
        kind_sizes: relative size of each kind of server, as used on the ring.
        arrivals: requests received, by window; the current window is last.
        served: successful responses, by window; the current window is last.
        peers_known_at: time by which the rows of all live peers must have arrived.
        actions: the actions for the event being handled.
    """

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings = settings
        self.rng = random.Random(seed)
        self.servers: dict[str, Backend] = {}
        self.listing = UpServers()
        self.large = LargeSlices(self.index_values, self.rng)
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
        # If all proxies send to servers in slow start, their budgets don't depend on the known peers.
        self.peers_known_at = now if self.estimates.is_pooled else now + 2 * WINDOW * self.row_interval
        self.arrivals = [0]
        self.served = [0]
        self.actions: list[api.Action] = []
        self.kind_sizes = dict[int, float]()
        self.watching = not settings.ask
        self.watch_at = 0.0
        self.watch_backoff = 0.0

    # The server list

    def on_server_list(self, update: api.ServerList, now: float) -> None:
        """Apply an update of the server list."""
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
            self.recovery.handle_list(self.up, update, now)

    def apply_list_change(self, touched: Iterable[Backend]) -> None:
        """Recount the peers' attempts, update the ring and reassign the slices after a list change."""
        removed, added, tags = self.listing.update(touched, self.is_listed)
        for server in removed:
            self.ring.drop(server)
        for server in [*added, *filter(self.is_listed, self.resized_servers)]:
            self.place_on_ring(server)
        self.resized_servers.clear()
        for n in self.rows.keys() - {self.settings.me} if tags else ():
            self.count_row(self.rows[n], 1, tags)
        self.assign_slices()

    def is_listed(self, server: Backend) -> bool:
        """Whether the server is in the current list and up."""
        return self.servers.get(server.entry.id) is server and server.entry.state is api.ServerState.UP

    def place_on_ring(self, server: Backend) -> None:
        """Place a server on the ring by its weight and the size of its kind."""
        weight = 1.0 if self.settings.live_weights else server.weight  # live weights would move keys
        self.ring.put(server, weight, self.kind_sizes.get(server.entry.kind, 1.0))

    def resize_kinds(self) -> None:
        """Apply the estimated sizes of the kinds of servers to the ring."""
        self.kind_sizes = dict(self.estimates.kind_sizes)
        for server in self.up:
            self.place_on_ring(server)

    # The slices

    def assign_slices(self) -> None:
        """Assign the servers of each zone to the live proxies of the zone, by rank."""
        self.slices = {n: [] for n in sorted(self.rows)}
        self.offloads = {}
        zones = dict[int, list[Backend]]()
        for server in self.up:
            server.owner_count = 0
            zones.setdefault(server.entry.zone, []).append(server)
        for zone, servers in sorted(zones.items()):
            owners = [n for n in self.slices if self.rows[n].zone == zone] or list(self.slices)
            for owner, server in assign_round_robin(servers, owners):
                self.slices[owner].append(server)
                server.owner = owner
                server.owner_count += 1
        self.large.set_slices(self.slices)
        self.own_slice = set(self.slices.get(self.settings.me, ()))

    def update_shares(self, now: float) -> None:
        """Compute the offload shares of the next window from the announced rows."""
        load = {
            n: total((s.announced + s.peers_in_flight) / s.owner_count for s in servers)
            for n, servers in self.slices.items()
        }
        growth = {
            n: window.growth(row.forecast, row.arrivals, row.served, now - row.received_at)
            for n, row in self.rows.items()
        }
        load = window.expected_load(load, growth, self.settings.key_affinity)  # keys spread demand evenly
        mu = {n: row.mu for n, row in self.rows.items()}
        zones = {n: row.zone for n, row in self.rows.items()}
        self.shares = window.next_shares(load, mu, zones, self.shares)
        self.offloads = window.destinations(self.shares)

    # Rows

    def announce(self, now: float, flags: int, peer: int | None = None) -> None:
        """Send this proxy's row, and store it as encoded: all proxies must compute from equal rows."""
        busy = [s for s in self.servers.values() if s.in_flight]
        busy = sorted(busy, key=lambda s: (-s.in_flight, s.entry.id))[:MAX_ROW_ENTRIES]
        own_slice = self.slices.get(self.settings.me, [])
        mu = total(self.estimates.effective_weight(s, now) / s.owner_count for s in own_slice)
        phi = min(MAX_PHI, len(self.open_requests))
        served = sum(self.served[-SERVED_RATE_WINDOWS:]) / SERVED_RATE_WINDOWS / WINDOW
        for server in self.up:
            server.announced = server.in_flight
        totals = phi, mu, self.arrivals[-1], forecast(self.arrivals), served
        payload = encode_row(flags, self.settings.zone, now, totals, busy)
        self.rows[self.settings.me] = decode_row(payload, now)
        if self.settings.limits.peers and self.settings.proxies > 1:
            self.actions.append(api.SendToPeer(peer, payload))

    def on_peer_message(self, message: api.PeerMessage, now: float) -> None:
        """Handle a peer's datagram: response counts, a recovery message, or a row."""
        try:
            if self.estimates.on_peer_message(message.sender, message.payload):
                return
            if self.recovery and message.payload[:1] == messages.MESSAGE_PREFIX:
                self.actions += self.recovery.handle_message(message, self.up, self.listing.by_tag, now)
                return
            row = decode_row(message.payload, now)
        except (ValueError, struct.error):
            return  # malformed, truncated or foreign datagram
        previous = self.rows.get(message.sender)
        if message.sender == self.settings.me or (previous and row.sequence <= previous.sequence):
            return  # stale or repeated
        self.on_row(message.sender, row, previous, now)

    def on_row(self, sender: int, row: Row, previous: Row | None, now: float) -> None:
        """Store a peer's row in place of the `previous` one, and react to its flags."""
        self.rows[sender] = row
        self.count_row(row, 1)  # a new peer gets a slice at the end of the window
        if previous:
            self.count_row(previous, -1)
        if row.flags & FLAG_REQUEST_ROW:
            self.announce(now, 0, sender)
        if row.flags & FLAG_UNEXPECTED_OFFLOAD:
            self.shares = {pair: share for pair, share in self.shares.items() if pair[1] != sender}
            self.update_shares(now)
        elif self.settings.me in self.offloads:  # overloaded: flag offload far above an even share
            offload = sum(n for tag, n in row.in_flight if self.listing.by_tag(tag) in self.own_slice)
            even_share = (1 + sum(n for _, n in row.in_flight)) / len(self.slices)
            if offload > UNEXPECTED_OFFLOAD_FACTOR * even_share + UNEXPECTED_OFFLOAD_MARGIN:
                self.announce(now, FLAG_UNEXPECTED_OFFLOAD, sender)

    def count_row(self, row: Row, sign: int, tags: Collection[int] | None = None) -> None:
        """Add (`sign` 1) or subtract (-1) a row's attempts at the servers with these tags (None: all)."""
        for tag, attempts in row.in_flight:
            if (tags is None or tag in tags) and (server := self.listing.by_tag(tag)):
                server.peers_in_flight += sign * attempts
                self.large.mark_changed(server)

    # Servers in slow start

    def index_values(self, server: Backend, now: float) -> IndexValues:
        """Return what the index of a large slice stores of a server."""
        power = self.estimates.effective_weight(server, now)
        ready_at = server.retry_at
        is_slow = (
            server.relative_latency > SLOW_LATENCY
            and server.relative_latency_at > now - LATENCY_MEMORY_HALF_LIVES * LATENCY_HALF_LIFE_S
        )
        refresh_at = now + POWER_REFRESH_S if is_slow else math.inf
        is_warm = not self.estimates.is_in_slow_start(server, now)
        if is_warm or (self.recovery and self.recovery.is_stepped(server)):
            return IndexValues(power, ready_at, math.inf, refresh_at)
        warm_at = (server.started_at or 0.0) + self.settings.rules.slow_start
        if not (senders := self.slow_start_senders(server)):
            return IndexValues(power, max(ready_at, warm_at), math.inf, min(warm_at, refresh_at))
        self.refill_budget(server, now)
        ready_at = max(ready_at, self.peers_known_at)
        rate, max_tokens = slow_start.rate(self.estimates, server, senders, now)
        one_at, spare_at = (
            max(ready_at, now + max(0.0, n - server.tokens) / rate) for n in (1.0, SPARE_TOKENS)
        )
        spare_at = spare_at if max_tokens >= SPARE_TOKENS else math.inf
        return IndexValues(power, one_at, spare_at, min(warm_at, refresh_at, now + WINDOW))

    def refill_budget(self, server: Backend, now: float) -> bool:
        """Refill the budget of a server in slow start; return whether it permits a send."""
        senders = self.slow_start_senders(server)
        if not senders or now < self.peers_known_at:
            return False
        return slow_start.refill(self.estimates, server, senders, now, self.rng)

    def slow_start_senders(self, server: Backend) -> int:
        """Return how many proxies share a slow-start budget; 0 if this proxy gets none of it."""
        if self.estimates.is_pooled:
            return self.settings.proxies
        if server not in self.own_slice:
            return 0
        # Missing peers may be partitioned and also own this server in their view: each keeps a share.
        return server.owner_count + self.settings.proxies - len(self.rows)
