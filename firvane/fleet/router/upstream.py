"""Connections to the backends: one pool per backend, dialing, and the assignment of requests to connections.

Before the first byte of a request is written, `Upstreams._send_obstacle` checks that the backend is still
ready and that the time for the attempt has not run out. A request stopped by this check has not run. The
invariants of a connection are in `upstream_connection`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from firvane.core.address import Address
from firvane.core.engine_protocols import Exchange
from firvane.core.net.dialer import Dialer, Dialing
from firvane.core.net.http_message import Message
from firvane.core.net.upstream_exchange import UpstreamRun
from firvane.core.terminations import Termination
from firvane.core.turn_budget import TurnBudget
from firvane.fleet.router.connection_pool import Pool
from firvane.fleet.router.end_check import EndCheck
from firvane.fleet.router.requests import ProxiedRequest
from firvane.fleet.router.upstream_connection import BackendPool, Run, UpstreamConnection

CONNECT_TIMEOUT_S = 0.25
KEEP_ALIVE_RATIO = 0.6  # idle time-out as a part of the time-out in the backend's `Keep-Alive`
NO_ADDRESS = ("0.0.0.0", 0)


def ignore_progress(backend: str) -> None:
    """Ignore a progress report."""


def always_resumable(request: ProxiedRequest) -> bool:
    """Return True: another backend resumes any aborted stream."""
    return True


class Upstreams:
    """The connection pools of all backends.

    Attributes:
        pools: Pools by backend.
        streams: Connections with a streamed response in progress.
        on_progress: Called at intervals with the id of a backend whose streams make progress.
        turns: Bounds the payload handled in one turn of the loop.
        may_resume: Returns whether another backend would resume a stalled stream.
        connections: Number of open connections, including those being dialed.
        dials: Number of dials since the start.
        responses_cut_off: Number of responses without framing that ended inside or before an event, or whose
            backend did not run any more.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        dialer: Dialer,
        max_connections: int,
        turns: TurnBudget | None = None,
    ) -> None:
        """Start without backends.

        When `max_connections` are open, a dial first closes the longest idle connection.
        """
        self.loop, self.dialer, self.max_connections = loop, dialer, max_connections
        self.pools: dict[str, BackendPool] = {}
        self.streams: dict[UpstreamConnection, None] = {}
        self.turns = turns or TurnBudget(loop.call_soon)
        self.on_progress: Callable[[str], None] = ignore_progress
        self.may_resume: Callable[[ProxiedRequest], bool] = always_resumable
        self.connections = 0
        self.dials = 0
        self.responses_cut_off = 0

    def set_backends(self, ready: dict[str, Address], draining: dict[str, Address]) -> None:
        """Replace the backends; those in `draining` only finish the requests in progress."""
        for name in self.pools.keys() - ready.keys() - draining.keys():
            pool = self.pools.pop(name)
            pool.ready = False
            pool.close_idle()
        for name, address in ready.items():
            if name not in self.pools:
                self.pools[name] = Pool(name, address)
        for name in draining:
            if draining_pool := self.pools.get(name):
                draining_pool.ready = False
                draining_pool.close_idle()

    # Called by the engine

    def forward(self, request: ProxiedRequest, target: str, exchange: Exchange[Message]) -> Run:
        """Send a request to a backend; events and the result are reported to `exchange`."""
        pool = self.pools.get(target) or Pool(target, NO_ADDRESS)
        run: Run = UpstreamRun(request, pool, exchange)
        now = self.loop.time()
        if target not in self.pools:
            run.end(Termination.TARGET_DRAINED)
        elif obstacle := self._send_obstacle(run, now):
            run.end(obstacle)
        elif connection := pool.take(request.request_id):
            connection.send(run, now)
        else:
            self._dial(run)
        return run

    def probe(self, target: str, exchange: Exchange[Message]) -> Run:
        """Raise NotImplementedError: placement does not probe backends."""
        raise NotImplementedError("backends are not probed")

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a backend."""
        if pool := self.pools.get(target):
            pool.close_idle()

    # Connections

    def _send_obstacle(self, run: Run, now: float) -> Termination | None:
        """Return why a run must not be sent now; None if it may."""
        if not run.pool.ready:
            return Termination.TARGET_DRAINED
        if now >= min(run.exchange.deadline, run.exchange.start_before):
            return Termination.NOT_SENT
        return None

    def _dial(self, run: Run) -> None:
        run.dial = self.connect(
            run.pool, partial(self._on_connected, run), partial(self._on_connect_failed, run)
        )

    def connect(
        self,
        pool: BackendPool,
        on_connected: Callable[[UpstreamConnection], None],
        on_failed: Callable[[Termination], None],
    ) -> Dialing:
        """Open a connection to a backend; exactly one of the callbacks is called (see `Dialer.dial`)."""
        if self.connections >= self.max_connections:
            self._close_oldest()
        self.connections += 1
        self.dials += 1
        return self.dialer.dial(
            pool.address,
            self.loop.time() + CONNECT_TIMEOUT_S,
            partial(UpstreamConnection, self, pool),
            on_connected,
            partial(self._on_dial_failed, on_failed),
        )

    def _on_dial_failed(self, on_failed: Callable[[Termination], None], termination: Termination) -> None:
        self.connections -= 1
        on_failed(termination)

    def start_end_check(
        self, pool: BackendPool, on_result: Callable[[bool], None]
    ) -> EndCheck[UpstreamConnection]:
        """Check whether a backend still runs, and report it to `on_result` later."""
        return EndCheck(self.loop, PoolConnector(self, pool), on_result)

    def _on_connected(self, run: Run, connection: UpstreamConnection) -> None:
        now = self.loop.time()
        run.on_dial_ended()
        if run.over:
            self.return_to_pool(connection)
        elif connection.closed or connection.transport.is_closing():
            run.end(Termination.BROKEN_BEFORE_SENT)
        elif obstacle := self._send_obstacle(run, now):
            self.return_to_pool(connection)
            run.end(obstacle)
        else:
            connection.send(run, now)

    def _on_connect_failed(self, run: Run, termination: Termination) -> None:
        run.on_dial_ended()
        run.end(termination)

    def return_to_pool(self, connection: UpstreamConnection, response: Message | None = None) -> None:
        """Return an idle connection to its pool, and apply the `Keep-Alive` time-out of `response`."""
        pool = connection.pool
        if not pool.ready or connection.closed or connection.transport.is_closing():
            connection.close()
            return
        if response and (keep_alive := keep_alive_seconds(response)) is not None:
            pool.idle_timeout = keep_alive * KEEP_ALIVE_RATIO
        connection.idle_since = self.loop.time()
        pool.idle.append(connection)

    def _close_oldest(self) -> None:
        idle = (pool for pool in self.pools.values() if pool.idle)
        oldest = min(idle, key=lambda pool: pool.idle[0].idle_since, default=None)
        if oldest:
            oldest.idle.pop(0).close()

    def sweep(self, now: float) -> None:
        """Close idle connections well before the backend would, and abort stalled streams."""
        for pool in self.pools.values():
            if pool.idle:
                pool.close_idle(now - pool.idle_timeout)
        for connection in list(self.streams):
            connection.check_stall(now)


class PoolConnector:
    """Opens connections to the backend of one pool for checks of that backend."""

    def __init__(self, upstreams: Upstreams, pool: BackendPool) -> None:
        self._upstreams, self._pool = upstreams, pool

    def connect(
        self,
        on_connected: Callable[[UpstreamConnection], None],
        on_failed: Callable[[Termination], None],
    ) -> Dialing:
        """Open a connection; exactly one of the callbacks is called (see `Dialer.dial`)."""
        return self._upstreams.connect(self._pool, on_connected, on_failed)

    def keep(self, connection: UpstreamConnection) -> None:
        """Return a new connection to the pool."""
        self._upstreams.return_to_pool(connection)


def keep_alive_seconds(response: Message) -> float | None:
    """Return the time-out in a response's `Keep-Alive` header in seconds; None if there is none."""
    for parameter in response.fields.get(b"keep-alive", b"").split(b","):
        name, _, value = parameter.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
