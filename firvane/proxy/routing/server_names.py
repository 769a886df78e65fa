"""The names by which rows refer to servers, and the servers that a name refers to.

Invariants:

1. A server's short name is its salt, a CRC of its id; its tag, the name in rows of version 1, is the lower 16
   bits of the salt.
2. A long name adds 32 bits independent of the CRC: it differs between ids with the same salt.
3. A name shared by several listed servers refers to all of them, in the order of their ids.
"""

from __future__ import annotations

from firvane.core.balancing.records import Backend

PRIME = (1 << 61) - 1
TAG_OFFSET, LONG_OFFSET = (
    1 << 32,
    1 << 64,
)  # added to tags and long names, so that one dict can hold all names


def long_name(server: Backend) -> int:
    """Return a 64-bit name, for a server that shares its salt with another."""
    return server.id_hash << 32 | int.from_bytes(server.entry.id.encode(), "little") % PRIME & 0xFFFFFFFF


class ServerNames:
    """The listed servers by their names."""

    def __init__(self) -> None:
        self.servers: dict[int, list[Backend]] = {}  # by short name, and by TAG_OFFSET + tag

    def add(self, server: Backend) -> None:
        for name in (server.id_hash, TAG_OFFSET + (server.id_hash & 0xFFFF)):
            sharing = self.servers.get(name)
            if sharing is None:
                self.servers[name] = [server]
            elif server not in sharing:
                sharing.append(server)
                sharing.sort(key=server_id)

    def remove(self, server: Backend) -> None:
        for name in (server.id_hash, TAG_OFFSET + (server.id_hash & 0xFFFF)):
            remaining = [other for other in self.servers.get(name, []) if other is not server]
            if remaining:
                self.servers[name] = remaining
            else:
                self.servers.pop(name, None)

    def is_unique(self, server: Backend) -> bool:
        """Return whether the short name of a server refers to no other."""
        return len(self.servers.get(server.id_hash, [])) <= 1

    def servers_named(self, name: int) -> list[Backend]:
        """Return the servers that a name of any kind refers to."""
        if name < LONG_OFFSET:
            return self.servers.get(name, [])
        return [
            s for s in self.servers.get(name - LONG_OFFSET >> 32, []) if long_name(s) == name - LONG_OFFSET
        ]

    def names_of(self, server: Backend) -> list[int]:
        """Return all names that may refer to a server."""
        return [server.id_hash, TAG_OFFSET + (server.id_hash & 0xFFFF), LONG_OFFSET + long_name(server)]


def server_id(server: Backend) -> str:
    return server.entry.id
