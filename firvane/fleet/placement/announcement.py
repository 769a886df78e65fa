"""Building this router's row (load report), and applying the rows of its peers to the server views."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from firvane.core.balancing.greedy_pairing import forecast
from firvane.core.balancing.window import WINDOW
from firvane.fleet.placement import health, outliers
from firvane.fleet.placement.peers import Peers
from firvane.fleet.placement.rows import CachedBlock, Row, RowFlags, Section, ServerEntry
from firvane.fleet.placement.server_view import STREAM_TOKENS, PeerLoad, ServerView
from firvane.fleet.placement.service import Service
from firvane.fleet.placement.slices import WORK_UNIT_TOKENS

SERVED_RATE_WINDOWS = 3  # windows over which the announced service rate is averaged
EJECTED_CAPACITY_RATIO = 0.5  # part of an ejected server's capacity that counts
UNEXPECTED_FACTOR = 2.0  # an unexpected offload exceeds this multiple of an even share of the peer's load
UNEXPECTED_MARGIN_TOKENS = 4 * WORK_UNIT_TOKENS  # and exceeds it by more than this


def make_row(
    services: Iterable[Service], own_number: int, zone: int, queued: int, flags: RowFlags, now: float
) -> Row:
    """Return this router's row, and record its own load as announced, since peers decide by that load."""
    sections, entries = list[Section](), list[ServerEntry]()
    for service in services:
        sections.append(make_section(service, own_number))
        prefill_rate = service.throughput.prefill_rate.value
        for server in service.servers.values():
            tokens = server.remaining_prefill_tokens(prefill_rate, now)
            server.announced_own_load = tokens + STREAM_TOKENS * server.in_flight
            suspect, response_age = health.is_suspected_locally(server), health.response_age(server, now)
            failures = server.outcomes.failures(now)
            refutes = response_age is not None and health.any_peer_suspects(server)
            failed_trial = outliers.has_failed_trial(server, now)
            is_failing = failures >= outliers.MIN_ANNOUNCED_FAILURES
            if server.in_flight or suspect or refutes or failed_trial or is_failing:
                entry = ServerEntry(
                    server.id_hash,
                    server.in_flight,
                    int(tokens),
                    suspect,
                    response_age,
                    failures,
                    failed_trial,
                )
                entries.append(entry)
    entries.sort(key=_most_load_first)
    return Row(flags, zone, int(now * 1000), queued, tuple(sections), tuple(entries), ())


def take_unannounced_blocks(services: Iterable[Service], limit: int) -> tuple[CachedBlock, ...]:
    """Return the shared blocks sent since the last row, latest first; blocks beyond `limit` are dropped."""
    blocks = [block for service in services for block in reversed(service.unannounced_blocks)]
    for service in services:
        service.unannounced_blocks.clear()
    return tuple(blocks[:limit])


def recent_blocks(services: Iterable[Service], limit: int) -> tuple[CachedBlock, ...]:
    """Return shared blocks that the servers are believed to cache, for a router that has just started."""
    servers = [server for service in services for server in service.ready]
    per_server = limit // max(1, len(servers))
    return tuple(
        CachedBlock(server.id_hash, key, tokens)
        for server in servers
        for key, tokens in server.prefix_cache.recent_shared(max(1, per_server))
    )[:limit]


def make_section(service: Service, own_number: int) -> Section:
    """Return the row's section for a service: the capacity of this router's slice, and its own rates."""
    slices, throughput = service.slices, service.throughput
    own_slice = slices.by_router.get(own_number, [])
    mu = sum(capacity(server) / len(slices.owners[server.id]) for server in own_slice)
    arrived = [tokens / WORK_UNIT_TOKENS for tokens in service.arrived]
    served = sum(service.served[-SERVED_RATE_WINDOWS:]) / WORK_UNIT_TOKENS / SERVED_RATE_WINDOWS / WINDOW
    return Section(
        service.name_hash,
        mu,
        arrived[-1],
        forecast_work(service.arrived),
        served,
        throughput.prefill_rate.value,
        throughput.first_event.value,
        throughput.samples,
    )


def forecast_work(arrived: list[float]) -> float:
    """Return the work of the next window in work units, extrapolated from `arrived` (prompt tokens)."""
    return forecast([round(tokens) for tokens in arrived]) / WORK_UNIT_TOKENS


def capacity(server: ServerView) -> float:
    """Return a server's relative capacity: its slots divided by its slowdown, reduced while ejected."""
    ratio = EJECTED_CAPACITY_RATIO if health.is_ejected(server) else 1.0
    return server.slots / server.slowdown * ratio


def apply_row(row: Row, previous: Row | None, sender: int, services: Iterable[Service], now: float) -> None:
    """Apply a peer's row to the views of the servers.

    The cost depends on the entries of the two rows, not on the number of servers: in a large fleet a router
    receives a hundred rows per second, each of which names few servers.

    Args:
        row: The new row.
        previous: The peer's previous row, or None if there is none.
        sender: Number of the peer.
        services: All services.
        now: The current time in seconds.
    """
    sections = {section.service: section for section in row.sections}
    named = {entry.server for entry in row.entries}
    absent = [entry.server for entry in previous.entries if entry.server not in named] if previous else []
    for service in services:
        if section := sections.get(service.name_hash):
            service.throughput.adopt(section.prefill_rate, section.first_event, section.samples)
        for id_hash in absent:
            if server := service.by_hash.get(id_hash):
                server.update_peer_load(sender, None)
        for entry in row.entries:
            if server := service.by_hash.get(entry.server):
                _apply_entry(entry, server, sender, now)


def _apply_entry(entry: ServerEntry, server: ServerView, sender: int, now: float) -> None:
    load = PeerLoad(entry.in_flight, entry.tokens, now, entry.suspect, entry.failures)
    server.update_peer_load(sender, load)
    if entry.suspect:
        health.apply_peer_suspicion(server, now)
    elif entry.response_age is not None:
        health.apply_peer_response(server, now - entry.response_age, now)
    if entry.failed_trial:
        outliers.apply_peer_trial_failure(server, now)


def apply_cached_blocks(blocks: Iterable[CachedBlock], services: Iterable[Service]) -> list[CachedBlock]:
    """Add blocks to the cache views of their servers, and return the blocks whose server is not known."""
    unmatched, known = list[CachedBlock](), [service.by_hash for service in services]
    for block in blocks:
        server = next((by_hash[block.server] for by_hash in known if block.server in by_hash), None)
        if server:
            server.prefix_cache.insert_shared(block.key, block.tokens)
        else:
            unmatched.append(block)
    return unmatched


def forget_peer(sender: int, services: Iterable[Service]) -> None:
    """Remove the load reports of a peer that is no longer live."""
    for service in services:
        for server in service.servers.values():
            server.update_peer_load(sender, None)


def sections_by_router(
    service: Service, own_row: Row | None, own_row_at: float, peers: Peers, now: float
) -> Mapping[int, tuple[Section, float]]:
    """Return each router's section for a service with its age in seconds, by router number."""
    by_router = dict[int, tuple[Section, float]]()
    rows = [(number, peer.row, now - peer.last_row_at) for number, peer in peers.known.items() if peer.row]
    if own_row:
        rows.append((peers.own_number, own_row, now - own_row_at))
    for number, row, age in rows:
        for section in row.sections:
            if section.service == service.name_hash:
                by_router[number] = (section, age)
    return by_router


def is_unexpected_offload(row: Row, service: Service, own_number: int) -> bool:
    """Return whether a peer sends far more than an even share of its load to this router's slice."""
    own_slice = {server.id_hash for server in service.slices.by_router.get(own_number, ())}
    if not own_slice or len(own_slice) == len(service.ready):
        return False
    load = [
        (entry.server in own_slice, entry.tokens + STREAM_TOKENS * entry.in_flight) for entry in row.entries
    ]
    own_load, total_load = sum(tokens for is_own, tokens in load if is_own), sum(tokens for _, tokens in load)
    even_share = total_load * len(own_slice) / max(1, len(service.ready))
    return own_load > UNEXPECTED_FACTOR * even_share + UNEXPECTED_MARGIN_TOKENS


def _most_load_first(entry: ServerEntry) -> tuple[int, int, int]:
    return (-entry.tokens, -entry.in_flight, entry.server)
