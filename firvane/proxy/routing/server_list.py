"""The servers that are up, ordered by id, and the server that a tag refers to; updated as the list changes.

Invariants:

1. Where servers share a tag, it refers to the last of them by id, whatever the history.
2. When that server may have changed, the peers' counts of all servers with the tag are reset: the caller adds
   them again.
3. Weights of the list are clamped by `clamp_weight`, since shares are divided by weights.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable, Iterable
from zlib import crc32

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, clamp_weight


class UpServers:
    """The servers that are up, by id and by tag, the low 16 bits of their salt."""

    def __init__(self) -> None:
        self.up: list[Backend] = []
        self.tags: dict[int, list[Backend]] = {}

    def by_tag(self, tag: int) -> Backend | None:
        servers = self.tags.get(tag)
        return servers[-1] if servers else None

    def update(
        self, changed: Iterable[Backend], is_up: Callable[[Backend], bool]
    ) -> tuple[list[Backend], list[Backend], set[int]]:
        """Apply changed servers; return those removed, those now up, and the tags to be counted again."""
        removed, now_up, tags = list[Backend](), list[Backend](), set[int]()
        for server in sorted(changed, key=is_up):  # removals first: an id may be listed again
            position = bisect_left(self.up, server.entry.id, key=server_id)
            was_up, tag = position < len(self.up) and self.up[position] is server, server.id_hash & 0xFFFF
            sharing = self.tags.get(tag, [])
            if is_up(server):
                now_up.append(server)
                if not was_up:
                    self.up.insert(position, server)
                    sharing = self.tags[tag] = sorted([*sharing, server], key=server_id)
            elif was_up:
                removed.append(server)
                del self.up[position]
                sharing.remove(server)
            for other in sharing:
                other.peers_in_flight = 0
            if sharing:
                tags.add(tag)
            else:
                self.tags.pop(tag, None)
        return removed, now_up, tags


def server_id(server: Backend) -> str:
    return server.entry.id


def merge(
    servers: dict[str, Backend], received: api.ServerList, live: bool
) -> tuple[dict[str, Backend], dict[Backend, None], list[Backend], dict[Backend, None]]:
    """Apply an update of the server list.

    Args:
        servers: the known servers by id; changed in place, except for a complete list.
        received: the entries of the list, or of a change of it.
        live: whether weights follow the servers' load.

    Returns:
        All servers by id; those added, removed or moved; those known before; and those of them whose part of
        the ring changes.
    """
    changed, resized, renewed = dict[Backend, None](), dict[Backend, None](), list[Backend]()
    for entry in received.servers:
        server = servers.get(entry.id)
        if entry.state is api.ServerState.GONE:
            if server:
                del servers[entry.id]
                changed[server] = None
        elif server is None:
            salt = crc32(entry.id.encode())
            server = servers[entry.id] = Backend(entry, salt, clamp_weight(entry.weight), entry.up_since)
            changed[server] = None
        else:
            moved, grown = server.update(entry, live)
            if moved:
                changed[server] = None
            elif grown:
                resized[server] = None
            renewed.append(server)
    if received.kind is not api.ListKind.INCREMENTAL:
        listed = {entry.id: servers[entry.id] for entry in received.servers if entry.id in servers}
        changed.update((s, None) for name, s in servers.items() if name not in listed)
        servers = listed
    return servers, changed, renewed, resized
