"""The targets of a proxy: the endpoint list of discovery, followed by a watch that is renewed when it ends.

Invariants:

1. `set_address` and `stop` end the watch themselves rather than the task that they cancel: a line of the old
   discovery that the loop reads before the task's turn would set the version that is asked of the new one.
2. `limits/discovery_timing.py` decides when a watch has timed out, by what was received on it. A loop that
   was suspended finds the time over before it has read what arrived meanwhile: a watch is given up only where
   the loop has read its connections after that time and nothing has arrived. The start goes on with the list
   as last known by the same rule, and not while a call still has its time to be answered.
3. Where a line was malformed or could not be taken in, its content is unknown; and so is the base of changes
   that have an older version than the current list. The next watch asks for the complete list then. A
   complete list is taken in whatever its version.
4. A list with one invalid entry is refused as a whole (`endpoint_list`), and the current list stays in force.
   Nobody behind the reader checks entries again.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from functools import partial
from typing import Any

from firvane.core import interface as api
from firvane.core.address import Address
from firvane.core.logs import QUIET, Log
from firvane.proxy.limits.discovery_timing import DiscoveryBackoff, WatchProgress
from firvane.proxy.net.discovery_watch import DiscoveryWatch
from firvane.proxy.net.endpoint_list import EndpointListError, EndpointListReader, format_endpoint_list

SETTLE_DELAY_S = 0.001  # any delay has the loop read what had arrived before it
LOG_INTERVAL_S = 1.0


class TargetGroup:
    """Keeps the current endpoint list of discovery, and passes on every change.

    Without an address there is no discovery: the list is the one given to `apply_list`.

    Attributes:
        index: The version of the list, or 0 for unknown.
        servers: The listed targets, by name.
        addresses: Their addresses, where the list is to be stored; else None.
        known: Some list was taken in, possibly a stored one.
        progress: Set once discovery itself has sent the list.
        watch: The current watch.
        logged_at: Loop time in s of the last warning.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address | None,
        reader: EndpointListReader,
        on_target: Callable[[str, Address | None, bool], None],
        on_list: Callable[[api.ServerList], None],
        log: Log = QUIET,
        backoff: DiscoveryBackoff | None = None,
    ) -> None:
        """Create a target group.

        Args:
            loop: The event loop.
            address: Discovery's address.
            reader: Reads endpoint lists.
            on_target: Called with the name, address and readiness of each target that is listed anew, and
                with no address for one that was removed.
            on_list: Called with each list.
            log: For failures of discovery.
            backoff: When discovery is called; without it, calls are free.
        """
        self.log = log
        self.backoff = backoff or DiscoveryBackoff(0, random.Random(0))
        self.loop, self.address, self.reader = loop, address, reader
        self.on_target, self.on_list = on_target, on_list
        self.index = 0
        self.servers: dict[str, api.Server] = {}
        self.addresses: dict[str, Address] | None = None
        self.known = False
        self.list_received = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.watch: DiscoveryWatch | None = None
        self.logged_at = float("-inf")

    def apply_list(self, data: Any, cached: bool = False) -> None:
        """Take in a list or changes of it; where `EndpointListError` is raised nothing has changed.

        Args:
            data: The list in discovery's form.
            cached: It was stored by an earlier process.
        """
        update, addresses = self.reader.read(data)
        if update.kind is api.ListKind.INCREMENTAL:
            known = sum(1 for server in update.servers if server.id in self.servers)
            if len(self.servers) + len(update.servers) - known > self.reader.max_endpoints:
                raise EndpointListError(
                    f"changes for more endpoints than the {self.reader.max_endpoints} that fit"
                )
        if cached:
            update.kind = api.ListKind.CACHED
        listed, before = {server.id for server in update.servers}, dict(self.servers)
        if update.kind is not api.ListKind.INCREMENTAL:
            for name in sorted(self.servers.keys() - listed):  # sorted: the order of a set is random
                self.on_target(name, None, False)  # absent from a complete list
            self.servers = {}
        for server in update.servers:
            old, up = before.get(server.id), server.state is api.ServerState.UP
            if old and up and old.up_since != server.up_since:
                # It was restarted: connections to the old process would only be reset.
                self.on_target(server.id, None, False)
            self.on_target(server.id, addresses.get(server.id), up)
            if self.addresses is not None and server.id in addresses:
                self.addresses[server.id] = addresses[server.id]
            if server.state is api.ServerState.GONE:
                self.servers.pop(server.id, None)
            else:
                self.servers[server.id] = server
        self.index, self.known = update.version, True
        self.on_list(update)

    def list_formatter(self) -> Callable[[], dict[str, Any] | None]:
        """A function that makes the current list in discovery's form, for `apply_list` of a later process.

        It may be called in another thread: entries are never changed, only replaced.
        """
        if not self.known or self.addresses is None:
            return lambda: None
        self.addresses = {name: self.addresses[name] for name in self.servers}
        return partial(
            format_endpoint_list, self.index, list(self.servers.values()), self.addresses, self.reader
        )

    def refresh(self) -> None:
        """Pass the complete list on again, as the decisions ask for it."""
        self.loop.call_soon(self._pass_on_list)

    def _pass_on_list(self) -> None:
        """Pass on the list as it is by now, where any is known."""
        if self.known:
            self.on_list(api.ServerList(api.ListKind.COMPLETE, self.index, tuple(self.servers.values())))

    def start(self) -> None:
        """Follow discovery from now on."""
        if self.address:
            self.task = self.loop.create_task(self.follow())
        else:
            self.list_received.set()

    def stop(self) -> None:
        """Follow it no longer."""
        if self.task:
            self.task.cancel()
        if self.watch:  # at once: it could be read before the task is cancelled
            self.watch.end("it is no longer followed")

    def set_address(self, address: Address) -> None:
        """Follow discovery at another address from now on.

        Its versions need not match those of the old one, so that the complete list is asked for; until it
        arrives, the current list stays in force.
        """
        if address == self.address:
            return
        self.address, self.index = address, 0
        self.backoff.reset()
        if self.task:  # else it has not been started
            self.stop()
            self.start()

    async def follow(self) -> None:
        """Renew the watch for as long as the proxy runs, or until discovery moves."""
        await asyncio.sleep(self.backoff.first_delay(self.known))
        while self.address:
            silent = await self._watch_once(self.address)
            await asyncio.sleep(self.backoff.next_delay(silent))

    async def _watch_once(self, address: Address) -> bool:
        """Watch until the watch ends; return whether it has timed out."""
        ended, timed_out = asyncio.Event(), False
        host = f"{address[0]}:{address[1]}"
        request = f"GET /discovery/hosts?watch=1&from={self.index} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        on_end = partial(self._ended, ended)
        watch = DiscoveryWatch(
            request.encode(), self.reader.max_line_bytes, self._handle_line, on_end, self.loop.time
        )
        self.watch = watch
        dial = self.loop.create_task(self._dial(watch, address))
        try:
            while not watch.over:
                progress = watch.progress
                if await self._times_out(ended, self.backoff.times_out_at(progress)):
                    timed_out = True
                    self.backoff.on_timeout(progress)
                    watch.end("discovery has fallen silent")
        finally:
            dial.cancel()
            watch.end(f"it is no longer followed at {host}")
        return timed_out

    def _progress(self) -> WatchProgress | None:
        """What was received on the current watch."""
        return self.watch.progress if self.watch else None

    async def _times_out(self, event: asyncio.Event, until: float) -> bool:
        """Whether loop time `until` passes without the event, and without anything received since."""
        before = self._progress()
        try:
            async with asyncio.timeout_at(until):
                await event.wait()
        except TimeoutError:
            await asyncio.sleep(SETTLE_DELAY_S)
        # The same object as before the delay, not only as old: the loop may have been suspended in it, too.
        return not event.is_set() and self._progress() is before

    async def wait_until_listed(self, timeout: float) -> bool:
        """Whether discovery sends its list within `timeout` s, or in response to a call in flight then."""
        await self._times_out(self.list_received, self.loop.time() + timeout)
        # Where the loop was suspended the clock alone does not decide: a line that has arrived is read first,
        # and a call that could be made only now has the time that every call has.
        while not self.list_received.is_set():
            watch = self.watch
            if await self._times_out(self.list_received, self.backoff.answer_deadline(self._progress())):
                return False
            if watch and (
                watch.over or watch is not self.watch
            ):  # it is judged by what was read, or has ended
                break
        return self.list_received.is_set()

    async def _dial(self, watch: DiscoveryWatch, address: Address) -> None:
        try:
            await self.loop.create_connection(lambda: watch, *address)
        except OSError as error:
            watch.end(str(error) or type(error).__name__)

    def _handle_line(self, line: bytes) -> None:
        if line.strip():
            # The version stays 0, unknown, where the line cannot be taken in for whatever reason: the next
            # watch begins with the complete list then.
            index, self.index = self.index, 0
            try:
                data = json.loads(line)
                self._check_version(data, index)
                self.apply_list(data)
            except (ValueError, RecursionError) as error:
                self.index = 0
                raise EndpointListError(f"bad line from discovery: {error}") from None
            except BaseException:
                self.index = 0
                raise  # from the code behind `on_list`: the list may be half taken in
            self.list_received.set()
        self.backoff.reset()

    def _check_version(self, data: Any, current: int) -> None:
        """Raise `EndpointListError` for changes that are older than the current list."""
        if isinstance(data, dict) and data.get("snapshot") is not True:
            index = data.get("index")
            if isinstance(index, int) and index < current:
                raise EndpointListError(f"changes up to {index} on a list of {current}")

    def _ended(self, ended: asyncio.Event, why: str) -> None:
        ended.set()
        up = self.watch and self.watch.progress.requested_at is not None
        self._warn("discovery_watch_ended" if up else "discovery_unreachable", why)

    def _warn(self, event: str, why: str) -> None:
        """Log a warning, at most one in `LOG_INTERVAL_S`."""
        if self.loop.time() >= self.logged_at + LOG_INTERVAL_S:
            self.logged_at = self.loop.time()
            self.log.warning(event, why=why)
