"""What the peers have out where, by their rows.

Rules that hold here and nowhere else:

1. Counts are kept by sender and name, also where the list has no such server: it may only be late.
2. A server's load is what all senders say of its names; where a name means several, it is divided as evenly
   as whole numbers go. It changes with rows and with the list; each change names the servers that it touches.
3. A whole row, and one of another version, replaces all that its sender said before. A row of changes
   replaces what it names; what a sender has not named for `FORGOTTEN` rows is forgotten.
4. One sender has at most `MOST` names: beyond that only its last row counts.
"""

from __future__ import annotations

from firvane.core.balancing.records import Backend
from firvane.proxy.routing.row_codec import OLD, News
from firvane.proxy.routing.server_names import LONG, TAG, Names

FORGOTTEN = 32  # rows
MOST = 1024  # names


class Sender:
    """What one peer said: attempts out by name, and in which of its rows."""

    def __init__(self) -> None:
        self.rows = 0
        self.version = 0
        self.counts: dict[int, int] = {}
        self.named: dict[int, int] = {}


class Heard:
    """Keeps `peers` of the servers that joined. What changes it returns the servers whose load changed."""

    def __init__(self) -> None:
        self.names = Names()
        self.senders: dict[int, Sender] = {}
        self.sums: dict[int, int] = {}  # over all senders, by name

    def hear(self, number: int, news: News) -> list[Backend]:
        """Take in a row; that it is newer than the last of its sender is the caller's to see."""
        sender = self.senders.get(number)
        if sender is None:
            sender = self.senders[number] = Sender()
        said = read(news)
        sender.rows += 1
        other, sender.version = sender.version != news.version, news.version
        had = sender.counts
        if news.whole or other or len(had) + len(said) > MOST:
            sender.counts = {name: count for name, count in said.items() if count}
            sender.named = dict.fromkeys(sender.counts, sender.rows)
            gone = [name for name in had if name not in said]
        else:
            gone, had = [], dict(had)
            if sender.rows % FORGOTTEN == 0:
                oldest = sender.rows - FORGOTTEN
                gone = [name for name, row in sender.named.items() if row <= oldest and name not in said]
            for name, count in said.items():
                if count:
                    sender.counts[name], sender.named[name] = count, sender.rows
                elif name in had:
                    del sender.counts[name], sender.named[name]
            for name in gone:
                del sender.counts[name], sender.named[name]
        touched: dict[Backend, None] = {}
        for name, count in said.items():
            before = had.get(name, 0)
            if count != before:
                self.shift(name, count - before, touched)
        for name in gone:
            self.shift(name, -had[name], touched)
        return list(touched)

    def forget(self, number: int) -> list[Backend]:
        """A peer has dropped out."""
        touched: dict[Backend, None] = {}
        sender = self.senders.pop(number, None)
        if sender is not None:
            for name, count in sender.counts.items():
                self.shift(name, -count, touched)
        return list(touched)

    def join(self, server: Backend) -> list[Backend]:
        """A server has come to the list, or is up again; harmless where it is here."""
        if server in self.names.meant(server.id_hash):
            return []
        server.peers_in_flight = 0
        return self.relist(server, True)

    def leave(self, server: Backend) -> list[Backend]:
        """A server has left the list; its load is nothing."""
        touched = self.relist(server, False)
        server.peers_in_flight = 0
        return [other for other in touched if other is not server]

    def relist(self, server: Backend, here: bool) -> list[Backend]:
        touched: dict[Backend, None] = {}
        spoken = [name for name in self.names.of(server) if name in self.sums]
        for name in spoken:
            self.divide(name, -1, touched)
        if here:
            self.names.add(server)
        else:
            self.names.drop(server)
        for name in spoken:
            self.divide(name, 1, touched)
        return list(touched)

    def shift(self, name: int, by: int, touched: dict[Backend, None]) -> None:
        """What all senders together say of a name changes."""
        meant = self.names.servers.get(name) if name < LONG else self.names.meant(name)
        total = self.sums.get(name, 0) + by
        if meant is None or len(meant) == 1:  # as a rule
            if meant:
                meant[0].peers_in_flight += by
                touched[meant[0]] = None
            if total:
                self.sums[name] = total
            else:
                del self.sums[name]
            return
        self.divide(name, -1, touched)
        self.sums[name] = total
        self.divide(name, 1, touched)
        if not total:
            del self.sums[name]

    def divide(self, name: int, sign: int, touched: dict[Backend, None]) -> None:
        """Add the count of a name to the loads of those that it means, or take it off."""
        total = self.sums.get(name, 0)
        meant = self.names.meant(name) if total else []
        for i, server in enumerate(meant):
            part = total // len(meant) + (1 if i < total % len(meant) else 0)
            server.peers_in_flight += sign * part
            touched[server] = None


def read(news: News) -> dict[int, int]:
    """The counts of a row by name."""
    if news.version != OLD and not news.long:
        said = dict(news.out)
        if len(said) == len(news.out):
            return said
    said, offset = {}, TAG if news.version == OLD else 0
    for name, count in news.out:
        said[name + offset] = said.get(name + offset, 0) + count  # old names may be those of two
    for name, count in news.long:
        said[name + LONG] = count
    return said
