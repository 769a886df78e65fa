"""The attempts of all peers in flight at each server, as announced in their rows.

Invariants:

1. Counts are kept by sender and name, also for names of no listed server: the list may only be late.
2. The load of a server is the sum of all senders' counts for its names; where a name refers to several
   servers it is divided among them as evenly as integers allow. It changes with rows and with the list; each
   change returns the servers that it affects.
3. A full row, and a row of another version, replaces all counts of its sender. A delta row replaces those
   that it names; a name that a sender has not mentioned for `EXPIRY_ROWS` rows expires.
4. One sender has at most `MAX_NAMES` names: beyond that only its last row counts.
"""

from __future__ import annotations

from firvane.core.balancing.records import Backend
from firvane.proxy.routing.row_codec import VERSION_1, ReceivedRow
from firvane.proxy.routing.server_names import LONG_OFFSET, TAG_OFFSET, ServerNames

EXPIRY_ROWS = 32
MAX_NAMES = 1024  # of one sender


class SenderCounts:
    """The counts of one peer: attempts in flight by name, and the last row that mentioned each name."""

    def __init__(self) -> None:
        self.rows = 0
        self.version = 0
        self.counts: dict[int, int] = {}
        self.last_row: dict[int, int] = {}


class PeerLoads:
    """Maintains `peers_in_flight` of the listed servers; changes return the servers whose load changed."""

    def __init__(self) -> None:
        self.names = ServerNames()
        self.senders: dict[int, SenderCounts] = {}
        self.sums: dict[int, int] = {}  # of all senders, by name

    def apply_row(self, number: int, received: ReceivedRow) -> list[Backend]:
        """Apply a row; the caller ensures that it is newer than the last one of its sender."""
        sender = self.senders.get(number)
        if sender is None:
            sender = self.senders[number] = SenderCounts()
        new_counts = counts_by_name(received)
        sender.rows += 1
        other, sender.version = sender.version != received.version, received.version
        old_counts = sender.counts
        if received.is_full or other or len(old_counts) + len(new_counts) > MAX_NAMES:
            sender.counts = {name: count for name, count in new_counts.items() if count}
            sender.last_row = dict.fromkeys(sender.counts, sender.rows)
            removed = [name for name in old_counts if name not in new_counts]
        else:
            removed, old_counts = [], dict(old_counts)
            if sender.rows % EXPIRY_ROWS == 0:
                expired_row = sender.rows - EXPIRY_ROWS
                removed = [
                    name
                    for name, row in sender.last_row.items()
                    if row <= expired_row and name not in new_counts
                ]
            for name, count in new_counts.items():
                if count:
                    sender.counts[name], sender.last_row[name] = count, sender.rows
                elif name in old_counts:
                    del sender.counts[name], sender.last_row[name]
            for name in removed:
                del sender.counts[name], sender.last_row[name]
        affected: dict[Backend, None] = {}
        for name, count in new_counts.items():
            before = old_counts.get(name, 0)
            if count != before:
                self.add_to_sum(name, count - before, affected)
        for name in removed:
            self.add_to_sum(name, -old_counts[name], affected)
        return list(affected)

    def remove_peer(self, number: int) -> list[Backend]:
        """Remove a peer that has timed out, with its counts."""
        affected: dict[Backend, None] = {}
        sender = self.senders.pop(number, None)
        if sender is not None:
            for name, count in sender.counts.items():
                self.add_to_sum(name, -count, affected)
        return list(affected)

    def add_server(self, server: Backend) -> list[Backend]:
        """Add a server that was listed or is up again; no effect if it is present."""
        if server in self.names.servers_named(server.id_hash):
            return []
        server.peers_in_flight = 0
        return self.set_listed(server, True)

    def remove_server(self, server: Backend) -> list[Backend]:
        """Remove a server that is no longer listed, and reset its load."""
        affected = self.set_listed(server, False)
        server.peers_in_flight = 0
        return [other for other in affected if other is not server]

    def set_listed(self, server: Backend, listed: bool) -> list[Backend]:
        affected: dict[Backend, None] = {}
        known_names = [name for name in self.names.names_of(server) if name in self.sums]
        for name in known_names:
            self.distribute(name, -1, affected)
        if listed:
            self.names.add(server)
        else:
            self.names.remove(server)
        for name in known_names:
            self.distribute(name, 1, affected)
        return list(affected)

    def add_to_sum(self, name: int, by: int, affected: dict[Backend, None]) -> None:
        """Change the sum of all senders for a name."""
        servers_named = self.names.servers.get(name) if name < LONG_OFFSET else self.names.servers_named(name)
        total = self.sums.get(name, 0) + by
        if servers_named is None or len(servers_named) == 1:  # the usual case
            if servers_named:
                servers_named[0].peers_in_flight += by
                affected[servers_named[0]] = None
            if total:
                self.sums[name] = total
            else:
                del self.sums[name]
            return
        self.distribute(name, -1, affected)
        self.sums[name] = total
        self.distribute(name, 1, affected)
        if not total:
            del self.sums[name]

    def distribute(self, name: int, sign: int, affected: dict[Backend, None]) -> None:
        """Add the sum for a name to the loads of the servers that it refers to, or subtract it."""
        total = self.sums.get(name, 0)
        servers_named = self.names.servers_named(name) if total else []
        for i, server in enumerate(servers_named):
            share = total // len(servers_named) + (1 if i < total % len(servers_named) else 0)
            server.peers_in_flight += sign * share
            affected[server] = None


def counts_by_name(row: ReceivedRow) -> dict[int, int]:
    """Return the counts of a row by name."""
    if row.version != VERSION_1 and not row.long:
        counts = dict(row.in_flight)
        if len(counts) == len(row.in_flight):
            return counts
    counts, offset = {}, TAG_OFFSET if row.version == VERSION_1 else 0
    for name, count in row.in_flight:
        counts[name + offset] = counts.get(name + offset, 0) + count  # several servers may share a tag
    for name, count in row.long:
        counts[name + LONG_OFFSET] = count
    return counts
