"""Discovery's agent on each proxy's machine: the list, and a watch that tells of its changes.

1. What it has been sent it tells at once. While its zone is cut off it says nothing, not even the line by
   which one knows that it lives, and is sent nothing either.
2. What it has to tell counts as told 6 s later, even where the proxy does not watch. A proxy that starts anew
   has been told nothing.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Iterable
from math import inf
from typing import Any, cast

from firvane.simulation.emulation.records import Told
from firvane.simulation.emulation.registry import Change, Registry
from firvane.simulation.runner.backends import Sink
from firvane.simulation.runner.clock import Clock, Timer
from firvane.simulation.runner.listeners import Address, Door, Doors
from firvane.simulation.runner.plan import text
from firvane.simulation.runner.wire import END_OF_HEAD

BEAT_S = 2.0  # s from one empty line to the next while nothing changes
OLDER_S = 2.0  # s for which an agent that has come back with an older list knows no better
COUNTS_S = 6.0  # s after which a change counts as told
MOST_HEAD = 16 * 1024
PATH = "/discovery/hosts"

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


def chunk(line: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(line), line)


class Watcher(asyncio.Protocol):
    """A connection from the proxy, watching or asking once."""

    def __init__(self, agent: Agent) -> None:
        self.agent = agent
        self.transport: asyncio.Transport
        self.head = b""
        self.watches = False
        self.unanswered = ""  # what was asked while the agent was silent

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.agent.connections.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.agent.connections.remove(self)

    def data_received(self, data: bytes) -> None:
        if self.watches:
            return  # nothing can be asked on it any more
        self.head += data
        while END_OF_HEAD in self.head and not self.watches:
            head, _, self.head = self.head.partition(END_OF_HEAD)
            method, _, rest = head.decode("latin-1").partition(" ")
            self.unanswered = rest.split(" ", 1)[0] if method == "GET" else "/"
            if not self.agent.is_silent:
                self.answer()
        if len(self.head) > MOST_HEAD:
            self.transport.abort()

    def answer(self) -> None:
        asked, self.unanswered = self.unanswered, ""
        path, _, query = asked.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        if path != PATH:
            self.transport.write(NOT_FOUND)
        elif fields.get("watch") == "1":
            self.watches = True
            self.transport.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            version = fields.get("from", "")
            self.agent.tell_from(self, int(version) if version.isdigit() else 0)
        else:
            body = self.agent.whole()
            self.transport.write(HEAD + b"Content-Length: %d\r\n\r\n%s" % (len(body), body))


class Agent:
    """What one proxy is told. `where` gives a box's address as this proxy knows it."""

    def __init__(
        self,
        clock: Clock,
        doors: Doors,
        address: Address,
        proxy: str,
        registry: Registry,
        where: Callable[[str], Address],
        sink: Sink,
    ) -> None:
        self.clock, self.proxy, self.registry, self.where, self.sink = clock, proxy, registry, where, sink
        self.door: Door = doors(address, lambda: Watcher(self))
        self.connections: list[Watcher] = []
        self.is_silent = False
        self.counted: dict[str, int] = {}  # box to the version that counts as told to this life of the proxy
        self.first = registry.snapshot(proxy, 0.0)  # the list of the beginning
        self.had = self.known()  # the list that the proxy was last told
        self.timer: Timer | None = None

    def open(self) -> None:
        """Take connections; `OSError` where the address cannot be had."""
        self.door.accept()
        self.clock.loop.call_later(BEAT_S, self._beat)

    def changed(self) -> None:
        """The registry has something new to tell, sooner or later."""
        at = self.registry.next_at(self.proxy)
        if not self.is_silent and at < inf and not (self.timer and self.timer.live and self.timer.at <= at):
            if self.timer:
                self.timer.cancel()
            self.timer = self.clock.call_at(at, self._due)

    def _due(self, now: float) -> None:
        if self.is_silent:
            return
        changes = self.registry.due(self.proxy, now)
        watching = [connection for connection in self.connections if connection.watches]
        if changes and watching:
            line = self._line(changes[-1].version, changes, False)
            for connection in watching:
                connection.transport.write(line)
            self._count(now, changes)
        elif changes:
            self.clock.call_at(now + COUNTS_S, self._count, changes)
        self.changed()

    def _count(self, now: float, changes: Iterable[Change]) -> None:
        """These are told by now."""
        for change in changes:
            if change.version > self.counted.get(change.box, 0):
                self.counted[change.box] = change.version
                self.sink(Told(now, self.proxy, change.box, change.start, change.state))
        self.had = self.known()

    def tell_from(self, watcher: Watcher, version: int) -> None:
        """The first line of a watch."""
        told, entries = self.registry.snapshot(self.proxy, self.clock.now())
        changes = self.registry.since(self.proxy, version)
        news = entries if changes is None else changes
        watcher.transport.write(self._line(told, news, changes is None))
        # Who asks for what came after a version has been told all up to it, if by its configuration.
        self._count(self.clock.now(), [*entries, *news])

    def whole(self) -> bytes:
        """The list, as one asks for it once."""
        told, entries = self.registry.snapshot(self.proxy, self.clock.now())
        self._count(self.clock.now(), entries)
        return self._json(told, entries, True)

    def known(self) -> dict[str, Any]:
        """The list as the proxy's configuration has it."""
        told, entries = self.registry.snapshot(self.proxy, self.clock.now())
        return cast(dict[str, Any], json.loads(self._json(told, entries, True)))

    def restarted(self) -> dict[str, Any]:
        """The proxy starts anew and has been told nothing but the list that it had, which this gives."""
        self.counted.clear()
        return self.had

    def silence(self) -> None:
        self.is_silent = True

    def speak(self, older: bool = False) -> None:
        """It is heard again, and answers what it was asked meanwhile; with an `older` list first, where one
        that has come back itself knows no better."""
        self.is_silent = False
        if older:
            for connection in self.connections:
                if connection.watches:
                    connection.transport.write(chunk(self._json(self.first[0], self.first[1], True) + b"\n"))
            self.clock.loop.call_later(OLDER_S, self._tell_whole)
        for connection in list(self.connections):
            if connection.unanswered:
                connection.answer()
        self.changed()

    def _tell_whole(self) -> None:
        """Everybody who watches gets the whole list."""
        for connection in self.connections:
            if connection.watches and not self.is_silent:
                connection.transport.write(chunk(self.whole() + b"\n"))

    def _json(self, version: int, changes: Iterable[Change], is_whole: bool) -> bytes:
        entries = [
            {
                "name": change.box,
                "address": text(self.where(change.box)),
                "zone": change.zone,
                "type": change.kind,
                "group": 0,
                "status": change.state,
                "weight": 1.0,
                "since_ms": 0 if change.since is None else round(1e3 * self.clock.unix(change.since)),
            }
            for change in changes
        ]
        listed = {"index": version, "snapshot": is_whole, "endpoints": entries}
        return json.dumps(listed, separators=(",", ":")).encode()

    def _line(self, version: int, changes: Iterable[Change], is_whole: bool) -> bytes:
        return chunk(self._json(version, changes, is_whole) + b"\n")

    def _beat(self) -> None:
        if not self.is_silent:
            for connection in self.connections:
                if connection.watches:
                    connection.transport.write(chunk(b"\n"))
        self.clock.loop.call_later(BEAT_S, self._beat)

    def close(self) -> None:
        self.door.refuse()
        for connection in list(self.connections):
            connection.transport.abort()
