"""What rows call the servers, and whom a name means.

Rules that hold here and nowhere else:

1. A server's short name is its salt, a CRC of its id; the names of old rows are its lower 16 bits.
2. A long name adds 32 bits that have nothing to do with the CRC: ids with one salt differ there.
3. A name that several servers of the list share means all of them, in the order of their ids.
"""

from __future__ import annotations

from firvane.core.balancing.records import Backend

PRIME = (1 << 61) - 1
TAG, LONG = 1 << 32, 1 << 64  # added to old and long names, so that names of all kinds are keys of one dict


def long_name(server: Backend) -> int:
    """A name of 64 bits for a server whose salt is another's as well."""
    return server.id_hash << 32 | int.from_bytes(server.entry.id.encode(), "little") % PRIME & 0xFFFFFFFF


class Names:
    """The servers of a list by their names."""

    def __init__(self) -> None:
        self.servers: dict[int, list[Backend]] = {}  # by short name, and by old name + TAG

    def add(self, server: Backend) -> None:
        for name in (server.id_hash, TAG + (server.id_hash & 0xFFFF)):
            sharing = self.servers.get(name)
            if sharing is None:
                self.servers[name] = [server]
            elif server not in sharing:
                sharing.append(server)
                sharing.sort(key=id_of)

    def drop(self, server: Backend) -> None:
        for name in (server.id_hash, TAG + (server.id_hash & 0xFFFF)):
            left = [other for other in self.servers.get(name, []) if other is not server]
            if left:
                self.servers[name] = left
            else:
                self.servers.pop(name, None)

    def alone(self, server: Backend) -> bool:
        """Whether its salt names it and no other."""
        return len(self.servers.get(server.id_hash, [])) <= 1

    def meant(self, name: int) -> list[Backend]:
        """The servers that a name means, of any kind."""
        if name < LONG:
            return self.servers.get(name, [])
        return [s for s in self.servers.get(name - LONG >> 32, []) if long_name(s) == name - LONG]

    def of(self, server: Backend) -> list[int]:
        """All names that may mean a server."""
        return [server.id_hash, TAG + (server.id_hash & 0xFFFF), LONG + long_name(server)]


def id_of(server: Backend) -> str:
    return server.entry.id
