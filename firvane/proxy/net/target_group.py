"""The target group: discovery's list, followed by a watch that is taken up again whenever it fails.

Rules of a watch, which hold here and nowhere else:

1. A watch ends once, in `Lines.end`, whatever ends it: its connection, a bad line, silence, a move, a stop.
   From that moment on nothing that it brought is learnt, not even what had come in before.
2. `move` and `stop` end it themselves, and not the task that they cancel: a line of the old discovery that
   the loop reads before the task's turn would set the version from which the new one is asked.
3. When a watch is silent is decided in `limits/pauses.py`, from what has been heard on it. A loop that stood
   still finds the time over before it has read what came meanwhile: so a watch is given up only where the
   loop has looked at its connections after that time, and nothing came of it either. The start goes on with
   the list as last known by the same measure, and not while a call that is out has its time to be answered.
4. A list is one JSON object, over one line or many: lines are gathered until its brackets are closed. A line
   that cannot be part of one, and an object beyond what fits, end the watch at once. Empty lines between
   objects are the sign of life.
5. What a line meant to say is unknown where it was of no use or could not be taken in, and so is what it was
   said on top of where changes have an older version than the list that stands here: the next watch asks for
   the whole list. A whole list is taken whatever its version.
6. What cannot be used anywhere behind is told here: the reader turns a list down whole for one bad entry, and
   what is known stays in force. Nobody behind it looks for bad entries again.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from functools import partial
from typing import Any, cast

import httptools

from firvane.core import interface as api
from firvane.core.address import Address, parse_address
from firvane.core.logs import QUIET, Log
from firvane.proxy.limits.discovery_timing import Heard, Pauses

STATES = {"up": api.ServerState.UP, "draining": api.ServerState.DRAINING, "removed": api.ServerState.GONE}
WORDS = {state: word for word, state in STATES.items()}
LOOK = 0.001  # s: a timer that takes any time at all has the loop read what had come in before it
OUTSIDE = b" \t\r:,+-.0123456789Eaeflnrstu"  # what a line of an object has outside of strings and brackets


class BadList(ValueError):  # noqa: N818 - discovery's fault, not the program's
    """A list or a line of one that is not in discovery's form."""


class ListReader:
    """Reads discovery's form, with the names of zones and kinds as the settings number them."""

    def __init__(
        self, zones: Sequence[str], kinds: Sequence[str], most: int = 100_000, line: int = 4 << 20
    ) -> None:
        """`most` entries may be listed at once, and `line` bytes stand in one line."""
        self.most, self.line = most, line
        self.zones = {name: i for i, name in enumerate(zones)}
        self.kinds = {name: i for i, name in enumerate(kinds)}

    def read(self, data: Any) -> tuple[api.ServerList, dict[str, Address]]:
        """The news, and where the listed targets are; `BadList` where it is not a list."""
        if not isinstance(data, dict) or not isinstance(data.get("endpoints"), list):
            raise BadList("no list of endpoints")
        index = data.get("index")
        if isinstance(index, bool) or not isinstance(index, int) or index < 0:
            raise BadList(f"index is {index!r}")
        if len(data["endpoints"]) > self.most:
            raise BadList(f"{len(data['endpoints'])} endpoints, and {self.most} fit in limits.memory_mb")
        kind = api.ListKind.COMPLETE if data.get("snapshot") is True else api.ListKind.INCREMENTAL
        addresses: dict[str, Address] = {}
        servers = tuple(self._entry(entry, addresses) for entry in data["endpoints"])
        return api.ServerList(kind, index, servers), addresses

    def _entry(self, entry: Any, addresses: dict[str, Address]) -> api.Server:
        if not isinstance(entry, dict):
            raise BadList("an endpoint is not an object")
        name, state = entry.get("name"), STATES.get(str(entry.get("status")))
        if not isinstance(name, str) or not name or state is None:
            raise BadList(f"endpoint {name!r} has status {entry.get('status')!r}")
        try:
            name.encode()
        except UnicodeEncodeError:  # JSON can write it; guards whoever makes bytes of a name
            raise BadList(f"endpoint {name!r} has half a character in its name") from None
        numbers = [entry.get("since_ms") or 0, entry.get("group") or 0, entry.get("weight", 1.0)]
        if not all(isinstance(n, int | float) and 0 <= n < 1e15 for n in numbers):
            raise BadList(f"endpoint {name!r} has a number out of range")
        since, group, weight = numbers
        if state is not api.ServerState.GONE:
            try:
                addresses[name] = parse_address(entry.get("address"))
            except ValueError as error:
                raise BadList(f"endpoint {name!r}: {error}") from None
        return api.Server(
            id=name,
            kind=self.kinds.get(str(entry.get("type")), len(self.kinds)),
            cell=int(group),
            state=state,
            up_since=since / 1000 if since else None,
            weight=float(weight),
            zone=self.zones.get(str(entry.get("zone")), len(self.zones)),
        )


def brackets(lines: list[bytes]) -> list[bytes | None]:
    """Of each line the brackets that stand outside of strings; None where it is no part of a JSON object.

    A string never goes over a line's end, so what is looked at here need not be looked at again.
    """
    parts = b"\n".join(lines).replace(b"\\\\", b"").replace(b'\\"', b"").split(b'"')  # every second: a string
    marks = b"".join(parts[::2]).translate(None, OUTSIDE)
    bad = len(parts) % 2 == 0 or marks.translate(None, b"{}[]\n") or b"\n" in b"".join(parts[1::2])
    if not bad:
        return list(marks.split(b"\n"))
    return [None] if len(lines) == 1 else [mark for line in lines for mark in brackets([line])]


class Gatherer:
    """Discovery's lines as its objects, whether each stands on one line or on many."""

    def __init__(self, longest: int) -> None:
        """An object may have `longest` bytes."""
        self.longest = longest
        self.begun = bytearray()  # of a line whose end has yet to come
        self.lines, self.open = bytearray(), 0  # of an object with so many brackets open

    def cut(self, data: bytes) -> Iterator[bytes]:
        """What is whole with these bytes, or of no use for ever, and empty lines between objects; `BadList`
        where it is too long."""
        *ends, rest = data.split(b"\n")
        if ends:
            self._fits(len(self.begun) + len(ends[0]))
            ends[0] = bytes(self.begun) + ends[0]
            self.begun.clear()
        for line, marks in zip(ends, brackets(ends) if ends else [], strict=True):
            if not self.open and line.lstrip()[:1] != b"{":
                yield line  # a sign of life, or of no use to anybody
                continue
            self._fits(len(line))
            self.lines += line
            if marks is not None:  # else nothing that follows could make it whole
                self.open += 2 * (marks.count(b"{") + marks.count(b"[")) - len(marks)
                if self.open > 0:
                    self.lines += b"\n"
                    continue
            whole = bytes(self.lines)
            self.lines.clear()
            self.open = 0
            yield whole
        self._fits(len(self.begun) + len(rest))
        self.begun += rest

    def _fits(self, size: int) -> None:
        """So many bytes beside the lines that are here."""
        if len(self.lines) + size > self.longest:
            raise BadList(f"a line of more than the {self.longest} bytes that fit in limits.memory_mb")


class Lines(asyncio.Protocol):
    """One watch: the objects of a chunked answer, however they are cut."""

    def __init__(
        self,
        request: bytes,
        longest: int,
        on_line: Callable[[bytes], None],
        on_end: Callable[[str], None],
        clock: Callable[[], float] = float,
    ) -> None:
        self.request, self.on_line, self.on_end, self.clock = request, on_line, on_end, clock
        self.parser = httptools.HttpResponseParser(self)
        self.gatherer = Gatherer(longest)
        self.came = list[bytes]()  # of the body, in what is being read
        self.headed = self.whole = False  # the answer's head is here; its end
        self.transport: asyncio.Transport | None = None
        self.over = False
        self.heard = Heard(clock(), None, None, None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if self.over:  # it was given up while it was dialled
            self.transport.abort()
            return
        self.heard = self.heard._replace(asked=self.clock())
        self.transport.write(self.request)

    def on_headers_complete(self) -> None:
        self.headed = True

    def on_body(self, body: bytes) -> None:
        if not self.whole:
            self.came.append(body)

    def on_message_complete(self) -> None:
        """An answer that ends in order is no watch any more, though its connection may stand."""
        self.whole = True

    def data_received(self, data: bytes) -> None:
        if self.over:
            return
        self.heard = self.heard._replace(byte=self.clock())
        try:
            self.parser.feed_data(data)
            if self.headed and self.parser.get_status_code() != 200:
                raise BadList(f"discovery's answer is {self.parser.get_status_code()}, not 200")
            came, self.came = self.came, []
            for line in self.gatherer.cut(b"".join(came)):
                self.heard = self.heard._replace(line=self.clock())
                self.on_line(line)
                if self.over:  # by what the line had for a consequence
                    return
            if self.whole:
                self.end("the answer ended")
        except (httptools.HttpParserError, BadList) as error:
            self.end(str(error) or type(error).__name__)
        except BaseException:
            self.end("a line could not be taken in")
            raise

    def connection_lost(self, error: Exception | None) -> None:
        self.end("the connection ended")

    def end(self, why: str) -> None:
        """Once; nothing that has come or comes is passed on from here."""
        if self.over:
            return
        self.over = True
        if self.transport:
            self.transport.abort()
        self.on_end(why)


class TargetGroup:
    """Keeps the list as discovery last told it, and passes every change on as it comes.

    Without an address there is no discovery: the list is what it is told by `learn`, and stands until then.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address | None,
        reader: ListReader,
        on_target: Callable[[str, Address | None, bool], None],
        on_list: Callable[[api.ServerList], None],
        log: Log = QUIET,
        pauses: Pauses | None = None,
    ) -> None:
        """Without `pauses` calls are free."""
        self.log = log
        self.pauses = pauses or Pauses(0, random.Random(0))
        self.loop, self.address, self.reader = loop, address, reader
        self.on_target, self.on_list = on_target, on_list
        self.index = 0
        self.servers: dict[str, api.Server] = {}
        self.addresses: dict[str, Address] | None = None  # kept where the list is to be written down
        self.known = False  # some list was taken in, be it an old one
        self.heard = asyncio.Event()  # discovery itself has told of the list
        self.task: asyncio.Task[None] | None = None
        self.watch: Lines | None = None  # the only one that is listened to
        self.logged = float("-inf")

    def learn(self, data: Any, cached: bool = False) -> None:
        """Take in a list or its changes; `BadList` leaves all as it was."""
        news, addresses = self.reader.read(data)
        if news.kind is api.ListKind.INCREMENTAL:
            known = sum(1 for server in news.servers if server.id in self.servers)
            if len(self.servers) + len(news.servers) - known > self.reader.most:
                raise BadList(f"changes for more endpoints than the {self.reader.most} that fit")
        if cached:
            news.kind = api.ListKind.CACHED
        listed, before = {server.id for server in news.servers}, dict(self.servers)
        if news.kind is not api.ListKind.INCREMENTAL:
            for name in sorted(self.servers.keys() - listed):  # a set's order differs from run to run
                self.on_target(name, None, False)  # absent from a whole list: removed
            self.servers = {}
        for server in news.servers:
            old, up = before.get(server.id), server.state is api.ServerState.UP
            if old and up and old.up_since != server.up_since:
                # Restarted: the old one is gone, and each connection left from it would only end in a reset.
                self.on_target(server.id, None, False)
            self.on_target(server.id, addresses.get(server.id), up)
            if self.addresses is not None and server.id in addresses:
                self.addresses[server.id] = addresses[server.id]
            if server.state is api.ServerState.GONE:
                self.servers.pop(server.id, None)
            else:
                self.servers[server.id] = server
        self.index, self.known = news.version, True
        self.on_list(news)

    def listed(self) -> Callable[[], dict[str, Any] | None]:
        """What makes the list as it is now in discovery's form, to be read by `learn` in another life.

        It may be called in another thread: entries are never changed, only replaced."""
        if not self.known or self.addresses is None:
            return lambda: None
        self.addresses = {name: self.addresses[name] for name in self.servers}
        return partial(written, self.index, list(self.servers.values()), self.addresses, self.reader)

    def refresh(self) -> None:
        """Tell the list again, whole, where the decisions ask for it: the watch always stands."""
        self.loop.call_soon(self._tell_whole)

    def _tell_whole(self) -> None:
        """What is known when it is told, not when it was asked for: a list may come in between.

        Nothing known yet is no list: what tells of it first goes to the decisions anyway.
        """
        if self.known:
            self.on_list(api.ServerList(api.ListKind.COMPLETE, self.index, tuple(self.servers.values())))

    def start(self) -> None:
        if self.address:
            self.task = self.loop.create_task(self.follow())
        else:
            self.heard.set()

    def stop(self) -> None:
        if self.task:
            self.task.cancel()
        if self.watch:  # at once: it may be read before the task hears of its end
            self.watch.end("it is no longer followed")

    def move(self, address: Address) -> None:
        """Follow discovery at another address from now on.

        Its versions need not match those of the old one, so the list is asked for whole; until it comes, what
        is known stays in force.
        """
        if address == self.address:
            return
        self.address, self.index = address, 0
        self.pauses.told()
        if self.task:  # else it has yet to start
            self.stop()
            self.start()

    async def follow(self) -> None:
        """Watch for as long as the proxy lives, or until discovery moves."""
        await asyncio.sleep(self.pauses.before_first(self.known))
        while self.address:
            silent = await self._watch_once(self.address)
            await asyncio.sleep(self.pauses.before_next(silent))

    async def _watch_once(self, address: Address) -> bool:
        """Until it ends; whether that was for its silence."""
        ended, silent = asyncio.Event(), False
        host = f"{address[0]}:{address[1]}"
        request = f"GET /discovery/hosts?watch=1&from={self.index} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        on_end = partial(self._ended, ended)
        watch = Lines(request.encode(), self.reader.line, self._line, on_end, self.loop.time)
        self.watch = watch
        dial = self.loop.create_task(self._dial(watch, address))
        try:
            while not watch.over:
                heard = watch.heard
                if await self._in_vain(ended, self.pauses.silent_at(heard)):
                    silent = True
                    self.pauses.gave_up(heard)
                    watch.end("discovery has fallen silent")
        finally:
            dial.cancel()
            watch.end(f"it is no longer followed at {host}")
        return silent

    def _seen(self) -> Heard | None:
        """What has been heard on the watch that is listened to."""
        return self.watch.heard if self.watch else None

    async def _in_vain(self, event: asyncio.Event, until: float) -> bool:
        """Whether a time is over without the event, and with nothing that the loop has read meanwhile."""
        before = self._seen()
        try:
            async with asyncio.timeout_at(until):
                await event.wait()
        except TimeoutError:
            await asyncio.sleep(LOOK)
        # The same as before the look, not only as old: the loop may have stood still in it, too.
        return not event.is_set() and self._seen() is before

    async def told(self, patience: float) -> bool:
        """Whether discovery tells of its list within so many s, or in answer to the call that is out then."""
        await self._in_vain(self.heard, self.loop.time() + patience)
        # Guards against going by the clock alone where the loop stood still over it: a line that is here is
        # read first, and a call that could go out only now has the time that every call has.
        while not self.heard.is_set():
            watch = self.watch
            if await self._in_vain(self.heard, self.pauses.answer_at(self._seen())):
                return False
            if watch and (watch.over or watch is not self.watch):  # judged by what was read, or of no use
                break
        return self.heard.is_set()

    async def _dial(self, watch: Lines, address: Address) -> None:
        try:
            await self.loop.create_connection(lambda: watch, *address)
        except OSError as error:
            watch.end(str(error) or type(error).__name__)

    def _line(self, line: bytes) -> None:
        if line.strip():
            # What it meant to say is not known where it is not taken in, by whatever fault: the next watch
            # begins with the whole list then.
            index, self.index = self.index, 0
            try:
                data = json.loads(line)
                if isinstance(data, dict) and data.get("snapshot") is not True:
                    at = data.get("index")
                    if isinstance(at, int) and at < index:
                        raise BadList(f"changes up to {at} on a list of {index}")
                self.learn(data)
            except (ValueError, RecursionError) as error:
                self.index = 0
                raise BadList(f"bad line from discovery: {error}") from None
            except BaseException:
                self.index = 0
                raise
            self.heard.set()
        self.pauses.told()

    def _ended(self, ended: asyncio.Event, why: str) -> None:
        ended.set()
        up = self.watch and self.watch.heard.asked is not None
        self._note("watch_ended" if up else "discovery_unreachable", why)

    def _note(self, event: str, why: str) -> None:
        """At most one a second."""
        if self.loop.time() >= self.logged + 1.0:
            self.logged = self.loop.time()
            self.log.warning(event, why=why)


def written(
    index: int, servers: list[api.Server], addresses: Mapping[str, Address], reader: ListReader
) -> dict[str, Any]:
    """A whole list in discovery's form."""
    zones, kinds = list(reader.zones), list(reader.kinds)
    endpoints = [
        {
            "name": server.id,
            "address": "{}:{}".format(*addresses[server.id]),
            "zone": zones[server.zone] if server.zone < len(zones) else "",
            "type": kinds[server.kind] if server.kind < len(kinds) else "",
            "group": server.cell,
            "status": WORDS[server.state],
            "weight": server.weight,
            "since_ms": round(1000 * server.up_since) if server.up_since else 0,
        }
        for server in servers
    ]
    return {"index": index, "snapshot": True, "endpoints": endpoints}
