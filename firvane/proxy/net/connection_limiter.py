"""Limits the number of client connections, and closes them in order."""

from __future__ import annotations

import heapq

from firvane.core.net.connection_checks import NoInputCheck, PeerOpenCheck, always_true
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.limits.overload import OverloadAction
from firvane.proxy.net.client_connection import ClientConnection
from firvane.proxy.net.client_context import ClientContext
from firvane.proxy.net.managed_connection import BUSY, IDLE_TIMEOUT_S

# The idle timeout where connections run short, after no, one and more requests: connections that send one
# request and stay would keep out clients that use theirs.
SHORT_IDLE_TIMEOUTS_S = (0.5, 0.1, 2.0)
SHORTEST_IDLE_TIMEOUTS_S = (0.2, 0.1, 1.0)  # where nothing but idle connections can be given up
EVICTION_FRACTION = 1 / 32  # of all connections, closed at once where none is free
EVICTION_INTERVAL_S = 0.02


class ConnectionLimiter(ClientContext):
    """Accepts client connections within the descriptors for them, evicts idle ones, and closes the rest."""

    def accept(
        self, has_no_input: NoInputCheck = always_true, is_peer_open: PeerOpenCheck = always_true
    ) -> ClientConnection:
        """Make the protocol of an accepted connection."""
        return ClientConnection(self, has_no_input, is_peer_open)

    def sweep(self) -> None:
        """End connections that have been idle, or have left a request incomplete, for too long."""
        now = self.loop.time()
        self.monitor.record_descriptor_usage()
        self.over_capacity = self.monitor.descriptors.free(Use.CLIENTS) < 0
        timeouts = (IDLE_TIMEOUT_S, IDLE_TIMEOUT_S, IDLE_TIMEOUT_S)
        if self.monitor.is_active(OverloadAction.SHORTEN_IDLE_TIMEOUT):
            timeouts = SHORT_IDLE_TIMEOUTS_S
        if self.monitor.is_active(OverloadAction.CLOSE_IDLE_CONNECTIONS):
            timeouts = SHORTEST_IDLE_TIMEOUTS_S
        for connection in list(self.connections):
            idle_timeout = timeouts[min(2, connection.request_count)]
            if connection.reading_paused and not connection.is_peer_open():
                connection.on_client_gone()
            elif connection.expires_at <= now or (
                connection.idle_since <= now - idle_timeout and connection.is_idle()
            ):
                connection.expire()

    def pause_accepting(self) -> None:
        """Accept no connections until some have been evicted or closed.

        Several are evicted at once and only every `EVICTION_INTERVAL_S`: to search for the least priority at
        each new connection would let a flood of them use up the event loop.
        """
        if not self.accepting_paused:
            self.accepting_paused = True
            self.set_accepting(False)
            self.loop.call_at(self.loop.time() + EVICTION_INTERVAL_S, self._evict)

    def _evict(self) -> None:
        """Close the connections with the least retention priority, the oldest first among equals."""
        descriptors = self.monitor.descriptors
        free = descriptors.free(Use.CLIENTS)
        wanted = 1 + int((descriptors.open[Use.CLIENTS] + free) * EVICTION_FRACTION)
        if free < wanted:
            others = (c for c in self.connections if not c.transport.get_write_buffer_size())
            spare = [(c.retention_priority(), n, c) for n, c in enumerate(others)]
            for (priority, _), _, least in heapq.nsmallest(wanted - free, spare):
                if priority < BUSY and least.has_no_input():
                    least.transport.abort()  # nothing of an answer is left on it
        self.loop.call_at(self.loop.time() + EVICTION_INTERVAL_S, self._reopen)

    def _reopen(self) -> None:
        """Accept connections again if descriptors are free now."""
        if self.monitor.descriptors.free(Use.CLIENTS) > 0:
            self.accepting_paused = False
            self.set_accepting(True)
        else:
            self._evict()

    def close_idle(self) -> None:
        """Close idle connections on which a request was served.

        A close may cross the next request, which its client then retries. Clients do not retry the first
        request of a connection, so that connections without one are left open.
        """
        for connection in list(self.connections):
            if connection.request_count and connection.is_idle() and connection.has_no_input():
                connection.transport.close()

    def close_or_reject(self) -> None:
        """End all connections, since the process is about to exit."""
        for connection in list(self.connections):
            connection.close_or_reject()
