"""What this router's row says, and what the rows of its peers make of the picture."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from firvane.core.balancing.greedy_pairing import forecast
from firvane.core.balancing.window import WINDOW
from firvane.fleet.placement import health, outliers
from firvane.fleet.placement.peers import Peers
from firvane.fleet.placement.rows import Entry, Read, Row, RowFlags, Section
from firvane.fleet.placement.server_view import STREAM_TOKENS, PeerLoad, Server
from firvane.fleet.placement.service import Service
from firvane.fleet.placement.slices import UNIT

RECENT = 3  # windows that the rate of service looks back on
SUSPECT_PART = 0.5  # of a suspect server's capacity that counts


def make_row(services: Iterable[Service], me: int, zone: int, held: int, flags: RowFlags, now: float) -> Row:
    """The own row as of now; the picture keeps the work as told, since peers decide by that."""
    sections, entries = list[Section](), list[Entry]()
    for service in services:
        sections.append(make_section(service, me))
        speed = service.speeds.reading.value
        for server in service.servers.values():
            tokens = server.unread_tokens(speed, now)
            server.told_work = tokens + STREAM_TOKENS * server.running
            suspect, heard = health.is_witnessed(server), health.answer_age(server, now)
            failures = server.outcomes.failures(now)
            wanted = heard is not None and health.any_peer_suspects(server)
            failed = outliers.has_failed_trial(server, now)
            if server.running or suspect or wanted or failed or failures >= outliers.LEAST_TOLD:
                told = Entry(server.salt, server.running, int(tokens), suspect, heard, failures, failed)
                entries.append(told)
    entries.sort(key=_most_work_first)
    return Row(flags, zone, int(now * 1000), held, tuple(sections), tuple(entries), ())


def take_reads(services: Iterable[Service], most: int) -> tuple[Read, ...]:
    """Reads that no row has told of yet, the latest first; they count as told, as do those beyond `most`."""
    owed = [read for service in services for read in reversed(service.untold_reads)]
    for service in services:
        service.untold_reads.clear()
    return tuple(owed[:most])


def latest_reads(services: Iterable[Service], most: int) -> tuple[Read, ...]:
    """The shared parts that servers are believed to keep, for a router that knows none."""
    servers = [server for service in services for server in service.ready]
    each = most // max(1, len(servers))
    return tuple(
        Read(server.salt, key, tokens)
        for server in servers
        for key, tokens in server.parts.latest_shared(max(1, each))
    )[:most]


def make_section(service: Service, me: int) -> Section:
    """The own slice's capacity, and the own rates, in units of work."""
    mine = service.slices.by_router.get(me, [])
    mu = sum(capacity(server, service) / len(service.slices.owners[server.id]) for server in mine)
    arrived = [tokens / UNIT for tokens in service.arrived]
    served = sum(service.served[-RECENT:]) / UNIT / RECENT / WINDOW
    speeds = service.speeds
    learnt = speeds.reading.value, speeds.first_event.value, speeds.samples
    return Section(service.tag, mu, arrived[-1], forecast_work(service.arrived), served, *learnt)


def forecast_work(arrived: list[float]) -> float:
    """The work of the next window, in units, on the line through the last ones."""
    return forecast([round(tokens) for tokens in arrived]) / UNIT


def capacity(server: Server, service: Service) -> float:
    """What a server can do beside others: its slots by its speed, cut while it fails."""
    part = SUSPECT_PART if health.is_ejected(server) else 1.0
    return server.slots / server.factor * part


def learn_row(row: Row, before: Row | None, sender: int, services: Iterable[Service], now: float) -> None:
    """Put what a peer has out into the picture; `before` is the row that it sent last.

    The work follows the entries of the two rows, not the number of servers: a large fleet's routers hear a
    hundred rows a second, each of which names few servers.
    """
    sections = {section.service: section for section in row.sections}
    named = {entry.server for entry in row.entries}
    done = [entry.server for entry in before.entries if entry.server not in named] if before else []
    for service in services:
        if section := sections.get(service.tag):
            service.speeds.adopt(section.reading, section.first_event, section.samples)
        for salt in done:
            if server := service.by_salt.get(salt):
                server.learn(sender, None)
        for entry in row.entries:
            if server := service.by_salt.get(entry.server):
                _learn_entry(entry, server, sender, now)


def _learn_entry(entry: Entry, server: Server, sender: int, now: float) -> None:
    server.learn(sender, PeerLoad(entry.running, entry.tokens, now, entry.suspect, entry.failures))
    if entry.suspect:
        health.hear_suspicion(server, now)
    elif entry.heard is not None:
        health.hear_alive(server, now - entry.heard, now)
    if entry.failed_trial:
        outliers.hear_failed_trial(server, now)


def learn_reads(reads: Iterable[Read], services: Iterable[Service]) -> list[Read]:
    """Put what servers keep into the picture; those of servers that are not known are given back."""
    unknown, known = list[Read](), [service.by_salt for service in services]
    for read in reads:
        server = next((by_salt[read.server] for by_salt in known if read.server in by_salt), None)
        if server:
            server.parts.keep_shared(read.key, read.tokens)
        else:
            unknown.append(read)
    return unknown


def forget_peer(sender: int, services: Iterable[Service]) -> None:
    """A peer is gone, and what it had out no longer counts."""
    for service in services:
        for server in service.servers.values():
            server.learn(sender, None)


def sections_of(
    service: Service, own: Row | None, own_at: float, peers: Peers, now: float
) -> Mapping[int, tuple[Section, float]]:
    """The figures of all live routers for a service, with their ages in s."""
    found = dict[int, tuple[Section, float]]()
    rows = [(number, peer.row, now - peer.since) for number, peer in peers.known.items() if peer.row]
    if own:
        rows.append((peers.me, own, now - own_at))
    for number, row, age in rows:
        for section in row.sections:
            if section.service == service.tag:
                found[number] = (section, age)
    return found


def unexpected_offload(row: Row, service: Service, me: int) -> bool:
    """Whether a peer sends far more toward the own slice than an even part of its work."""
    mine = {server.salt for server in service.slices.by_router.get(me, ())}
    if not mine or len(mine) == len(service.ready):
        return False
    work = [(entry.server in mine, entry.tokens + STREAM_TOKENS * entry.running) for entry in row.entries]
    here, everywhere = sum(tokens for own, tokens in work if own), sum(tokens for _, tokens in work)
    even = everywhere * len(mine) / max(1, len(service.ready))
    return here > 2 * even + 4 * UNIT


def _most_work_first(entry: Entry) -> tuple[int, int, int]:
    return (-entry.tokens, -entry.running, entry.server)
