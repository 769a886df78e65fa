"""Connections to the backends: a pool for each, dials, and who gets which connection.

Each way to an exchange's first byte passes `Upstreams._barred`: the backend must still be ready and the
exchange's time not over. What it bars never ran. Rules of a connection stand in `upstream_connection`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from firvane.core.address import Address
from firvane.core.engine_protocols import Exchange
from firvane.core.net.dialer import Dialer
from firvane.core.net.http import Message
from firvane.core.net.upstream_exchange import UpstreamRun
from firvane.core.terminations import Termination
from firvane.fleet.router.requests import ProxiedRequest
from firvane.fleet.router.upstream_connection import Pool, Run, UpstreamConnection

CONNECT_TIMEOUT = 0.25  # s for a connection to a backend
IDLE_PART = 0.6  # of the time that the backend names


def ignore_progress(backend: str) -> None:
    """Nobody asks for progress of streams."""


def always_continued(request: ProxiedRequest) -> bool:
    """Whatever is given up goes on elsewhere."""
    return True


class Upstreams:
    """The pools of all backends; `on_progress` is told of backends whose streams go on.

    `may_continue` says of a request whose stream has fallen silent whether another backend would take it up.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, dialer: Dialer, most: int) -> None:
        """`most` is the number of connections that may be open at once."""
        self.loop, self.dialer, self.most = loop, dialer, most
        self.pools: dict[str, Pool] = {}
        self.streams: dict[UpstreamConnection, None] = {}
        self.on_progress: Callable[[str], None] = ignore_progress
        self.may_continue: Callable[[ProxiedRequest], bool] = always_continued
        self.connections = 0
        self.dials = 0  # ever made

    # What the list of instances says

    def set_backends(self, ready: dict[str, Address], leaving: dict[str, Address]) -> None:
        """The backends that take new requests, and those that only finish what they have."""
        for name in self.pools.keys() - ready.keys() - leaving.keys():
            pool = self.pools.pop(name)
            pool.ready = False
            pool.close_idle()
        for name, address in ready.items():
            if name not in self.pools:
                self.pools[name] = Pool(name, address)
        for name in leaving:
            if pool_leaving := self.pools.get(name):
                pool_leaving.ready = False
                pool_leaving.close_idle()

    # The engine's side

    def forward(self, request: ProxiedRequest, target: str, exchange: Exchange[Message]) -> Run:
        pool = self.pools.get(target) or Pool(target, ("0.0.0.0", 0))
        run: Run = UpstreamRun(request, pool, exchange)
        now = self.loop.time()
        if target not in self.pools:
            run.end(Termination.TARGET_DRAINED)
        elif barred := self._barred(run, now):
            run.end(barred)
        elif connection := pool.take(request.request_id):
            connection.send(run, now)
        else:
            self._dial(run, now)
        return run

    def probe(self, target: str, exchange: Exchange[Message]) -> Run:
        raise NotImplementedError("backends are not probed")

    def close_idle(self, target: str) -> None:
        if pool := self.pools.get(target):
            pool.close_idle()

    # Connections

    def _barred(self, run: Run, now: float) -> Termination | None:
        """What forbids a run's first byte now, if anything (rule 2)."""
        if not run.pool.ready:
            return Termination.TARGET_DRAINED
        if now >= min(run.exchange.deadline, run.exchange.start_before):
            return Termination.NOT_SENT
        return None

    def _dial(self, run: Run, now: float) -> None:
        if self.connections >= self.most:
            self._close_oldest()
        self.connections += 1
        self.dials += 1
        run.dial = self.dialer.dial(
            run.pool.address,
            now + CONNECT_TIMEOUT,
            partial(UpstreamConnection, self, run.pool),
            partial(self._up, run),
            partial(self._not_up, run),
        )

    def _up(self, run: Run, connection: UpstreamConnection) -> None:
        now = self.loop.time()
        if run.over:
            self.park(connection)
        elif connection.lost or connection.transport.is_closing():
            run.end(Termination.BROKEN_BEFORE_SENT)
        elif barred := self._barred(run, now):
            self.park(connection)
            run.end(barred)
        else:
            connection.send(run, now)

    def _not_up(self, run: Run, ending: Termination) -> None:
        self.connections -= 1
        run.end(ending)

    def park(self, connection: UpstreamConnection, answer: Message | None = None) -> None:
        """Keep an idle connection for the next exchange."""
        pool = connection.pool
        if not pool.ready or connection.lost or connection.transport.is_closing():
            connection.close()
            return
        if answer and (named := keep_alive_seconds(answer)) is not None:
            pool.idle_limit = named * IDLE_PART
        connection.idle_since = self.loop.time()
        pool.idle.append(connection)

    def _close_oldest(self) -> None:
        idle = (pool for pool in self.pools.values() if pool.idle)
        oldest = min(idle, key=lambda pool: pool.idle[0].idle_since, default=None)
        if oldest:
            oldest.idle.pop(0).close()

    def sweep(self, now: float) -> None:
        """Close what has been idle for long, well before the backend would, and silent streams."""
        for pool in self.pools.values():
            if pool.idle:
                pool.close_idle(now - pool.idle_limit)
        for connection in list(self.streams):
            connection.check_silence(now)


def keep_alive_seconds(message: Message) -> float | None:
    """The time that an answer's `Keep-Alive` names, in seconds."""
    for part in message.fields.get(b"keep-alive", b"").split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.strip().lower() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None
