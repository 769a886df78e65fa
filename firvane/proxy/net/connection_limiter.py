"""Limits the number of client connections, and closes them by priority."""

from __future__ import annotations

import heapq

from firvane.core.net.connection_checks import NoInputCheck, PeerOpenCheck, always_true
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.limits.overload import OverloadAction
from firvane.proxy.net.client_connection import ClientConnection
from firvane.proxy.net.client_context import ClientContext
from firvane.proxy.net.managed_connection import BUSY, IDLE_TIMEOUT_S

# Idle timeouts when connections run short, after zero, one, and more requests: idle connections with a single
# request would take the place of connections that are in use.
SHORT_IDLE_TIMEOUTS_S = (0.5, 0.1, 2.0)
SHORTEST_IDLE_TIMEOUTS_S = (0.2, 0.1, 1.0)  # when only idle connections can be closed
EVICTION_FRACTION = 1 / 32  # of all connections, closed at once when no descriptor is free
EVICTION_INTERVAL_S = 0.02


class ConnectionLimiter(ClientContext):
    """Accepts client connections within the descriptors for them, evicts idle ones, and closes the rest."""

    def accept(
        self, has_no_input: NoInputCheck = always_true, is_peer_open: PeerOpenCheck = always_true
    ) -> ClientConnection:
        """Return the protocol of an accepted connection."""
        return ClientConnection(self, has_no_input, is_peer_open)

    def sweep(self) -> None:
        """End connections that have been idle, or have had an incomplete request, for too long."""
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

        Several are evicted at once, at most every `EVICTION_INTERVAL_S`: a search for the lowest priority at
        each new connection would let a flood of connections saturate the event loop.
        """
        if not self.accepting_paused:
            self.accepting_paused = True
            self.set_accepting(False)
            self.loop.call_at(self.loop.time() + EVICTION_INTERVAL_S, self._evict)

    def _evict(self) -> None:
        """Close the connections with the lowest retention priority, the oldest first among equals."""
        descriptors = self.monitor.descriptors
        free = descriptors.free(Use.CLIENTS)
        wanted = 1 + int((descriptors.open[Use.CLIENTS] + free) * EVICTION_FRACTION)
        if free < wanted:
            others = (c for c in self.connections if not c.transport.get_write_buffer_size())
            spare = [(c.retention_priority(), n, c) for n, c in enumerate(others)]
            for (priority, _), _, least in heapq.nsmallest(wanted - free, spare):
                if priority < BUSY and least.has_no_input():
                    least.transport.abort()  # no part of a response is pending on it
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

        A close may cross the next request, which the client then retries. Clients do not retry the first
        request of a connection, so connections without a request are left open.
        """
        for connection in list(self.connections):
            if connection.request_count and connection.is_idle() and connection.has_no_input():
                connection.transport.close()

    def close_or_reject(self) -> None:
        """End all connections, since the process is about to exit."""
        for connection in list(self.connections):
            connection.close_or_reject()
