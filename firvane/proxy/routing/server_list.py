"""The servers that are up, in the order of their ids, and who is meant by a tag; kept as the list changes.

Rules that hold here and nowhere else:

1. Of those that share a tag the last by id is meant, whatever came before.
2. Where it may be another one than before, nobody with that tag has anything out from peers: who keeps the
   counts adds them anew.
3. What the list says of a weight counts as `clamp_weight` makes it: shares are divided by weights.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable
from zlib import crc32

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, clamp_weight


class Listing:
    """Servers by id and by tag, the low 16 bits of their salt."""

    def __init__(self) -> None:
        self.up: list[Backend] = []
        self.tags: dict[int, list[Backend]] = {}

    def meant(self, tag: int) -> Backend | None:
        servers = self.tags.get(tag)
        return servers[-1] if servers else None

    def change(
        self, touched: Iterable[Backend], is_up: Callable[[Backend], bool]
    ) -> tuple[list[Backend], list[Backend], set[int]]:
        """Take in what has changed: those that left, those that are up, the tags to be counted anew."""
        left, here, tags = list[Backend](), list[Backend](), set[int]()
        for server in sorted(touched, key=is_up):  # first what has left: it may be back under its id
            at = bisect_left(self.up, server.entry.id, key=id_of)
            was, tag = at < len(self.up) and self.up[at] is server, server.id_hash & 0xFFFF
            holders = self.tags.get(tag, [])
            if is_up(server):
                here.append(server)
                if not was:
                    self.up.insert(at, server)
                    holders = self.tags[tag] = sorted([*holders, server], key=id_of)
            elif was:
                left.append(server)
                del self.up[at]
                holders.remove(server)
            for holder in holders:
                holder.peers_in_flight = 0
            if holders:
                tags.add(tag)
            else:
                self.tags.pop(tag, None)
        return left, here, tags


def id_of(server: Backend) -> str:
    return server.entry.id


def merge(
    servers: dict[str, Backend], news: api.ServerList, live: bool
) -> tuple[dict[str, Backend], dict[Backend, None], list[Backend], dict[Backend, None]]:
    """The servers by id after news of the list: all; those that came, went or moved; those that were known;
    and, of these, those whose part of the ring changes. `live`: weights fall with what they hold."""
    touched, resized, renewed = dict[Backend, None](), dict[Backend, None](), list[Backend]()
    for entry in news.servers:
        server = servers.get(entry.id)
        if entry.state is api.ServerState.GONE:
            if server:
                del servers[entry.id]
                touched[server] = None
        elif server is None:
            salt = crc32(entry.id.encode())
            server = servers[entry.id] = Backend(entry, salt, clamp_weight(entry.weight), entry.up_since)
            touched[server] = None
        else:
            moved, grown = server.update(entry, live)
            if moved:
                touched[server] = None
            elif grown:
                resized[server] = None
            renewed.append(server)
    if news.kind is not api.ListKind.INCREMENTAL:
        listed = {entry.id: servers[entry.id] for entry in news.servers if entry.id in servers}
        touched.update((s, None) for name, s in servers.items() if name not in listed)
        servers = listed
    return servers, touched, renewed, resized
