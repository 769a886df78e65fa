"""The targets of a proxy: follows the endpoint list of discovery by a watch that is renewed when it ends.

Invariants:

1. `set_address` and `stop` end the watch themselves instead of leaving that to the task that they cancel: if
   the loop read a line of the old discovery before the task runs, its version would be requested from the new
   one.
2. `limits/discovery_timing.py` decides by the data received when a watch has timed out. After the loop was
   suspended, timeouts expire before it has read what arrived meanwhile: a watch times out only if the loop
   has read its connections after the deadline and nothing has arrived. By the same rule the start continues
   with the cached list, and not before the deadline of a pending request to discovery.
3. If a line is malformed or cannot be processed, its content is unknown; so is the base of changes with an
   older version than the current list. The next watch requests the complete list then. A complete list is
   accepted whatever its version.
4. A list with one invalid entry is rejected as a whole (`endpoint_list`), and the current list stays in
   effect. Entries are not checked again after the reader.
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

SETTLE_DELAY_S = 0.001  # any delay lets the loop read what arrived before it
LOG_INTERVAL_S = 1.0


class TargetGroup:
    """Keeps the current endpoint list of discovery, and reports every change.

    Without an address there is no discovery: the list is the one passed to `apply_list`.

    Attributes:
        index: The version of the list, or 0 for unknown.
        servers: The listed targets, by name.
        addresses: The addresses of the targets if the list is stored, else None.
        known: Some list was applied, possibly a stored one.
        list_received: Set once discovery itself has sent the list.
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
            on_target: Called with the name, the address and whether it is up for each target of an update;
                the address is None if the target was removed.
            on_list: Called with each list.
            log: For failures of discovery.
            backoff: Decides when discovery is called; None: without delays for the size of the fleet.
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
        """Apply a list or changes of it; if `EndpointListError` is raised, nothing has changed.

        Args:
            data: The list in discovery's form.
            cached: Whether the list was stored by an earlier process.
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
                # The target was restarted: connections to the old process would be reset.
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
        """Return a function that formats the current list for `apply_list` of a later process.

        The function may be called in another thread: entries are never changed, only replaced.
        """
        if not self.known or self.addresses is None:
            return lambda: None
        self.addresses = {name: self.addresses[name] for name in self.servers}
        return partial(
            format_endpoint_list, self.index, list(self.servers.values()), self.addresses, self.reader
        )

    def refresh(self) -> None:
        """Report the complete list again; called by the balancer."""
        self.loop.call_soon(self._pass_on_list)

    def _pass_on_list(self) -> None:
        """Report the current list, if any is known."""
        if self.known:
            self.on_list(api.ServerList(api.ListKind.COMPLETE, self.index, tuple(self.servers.values())))

    def start(self) -> None:
        """Start following discovery."""
        if self.address:
            self.task = self.loop.create_task(self.follow())
        else:
            self.list_received.set()

    def stop(self) -> None:
        """Stop following discovery."""
        if self.task:
            self.task.cancel()
        if self.watch:  # at once: it could be read before the task is cancelled
            self.watch.end("the watch was stopped")

    def set_address(self, address: Address) -> None:
        """Follow discovery at another address.

        Its versions may differ from those at the old address, so that the complete list is requested; until
        it arrives, the current list stays in effect.
        """
        if address == self.address:
            return
        self.address, self.index = address, 0
        self.backoff.reset()
        if self.task:  # else the target group has not been started
            self.stop()
            self.start()

    async def follow(self) -> None:
        """Renew the watch while there is an address, until the task is cancelled."""
        await asyncio.sleep(self.backoff.first_delay(self.known))
        while self.address:
            silent = await self._watch_once(self.address)
            await asyncio.sleep(self.backoff.next_delay(silent))

    async def _watch_once(self, address: Address) -> bool:
        """Run one watch to its end; return whether it has timed out."""
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
                    watch.end("discovery sent nothing before the timeout")
        finally:
            dial.cancel()
            watch.end(f"the watch on {host} was stopped")
        return timed_out

    def _progress(self) -> WatchProgress | None:
        """Return the progress of the current watch."""
        return self.watch.progress if self.watch else None

    async def _times_out(self, event: asyncio.Event, until: float) -> bool:
        """Wait until loop time `until`; return whether neither the event was set nor data received."""
        before = self._progress()
        try:
            async with asyncio.timeout_at(until):
                await event.wait()
        except TimeoutError:
            await asyncio.sleep(SETTLE_DELAY_S)
        # Compares identity, not age: the loop may have been suspended during the delay, too.
        return not event.is_set() and self._progress() is before

    async def wait_until_listed(self, timeout: float) -> bool:
        """Wait up to `timeout` s, or to the end of a pending request; return whether the list came."""
        await self._times_out(self.list_received, self.loop.time() + timeout)
        # After a suspension of the loop the clock alone does not decide: lines that have arrived are read
        # first, and a request that could be sent only now has its full timeout.
        while not self.list_received.is_set():
            watch = self.watch
            if await self._times_out(self.list_received, self.backoff.answer_deadline(self._progress())):
                return False
            if watch and (watch.over or watch is not self.watch):  # the pending request has ended
                break
        return self.list_received.is_set()

    async def _dial(self, watch: DiscoveryWatch, address: Address) -> None:
        try:
            await self.loop.create_connection(lambda: watch, *address)
        except OSError as error:
            watch.end(str(error) or type(error).__name__)

    def _handle_line(self, line: bytes) -> None:
        if line.strip():
            # The version stays 0 (unknown) if the line cannot be processed for any reason: the next watch
            # begins with the complete list then.
            index, self.index = self.index, 0
            try:
                data = json.loads(line)
                self._check_version(data, index)
                self.apply_list(data)
            except (ValueError, RecursionError) as error:
                self.index = 0
                raise EndpointListError(f"invalid line from discovery: {error}") from None
            except BaseException:
                self.index = 0
                raise  # from the callback `on_list`: the list may be partly applied
            self.list_received.set()
        self.backoff.reset()

    def _check_version(self, data: Any, current: int) -> None:
        """Raise `EndpointListError` if changes are older than the current list."""
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
