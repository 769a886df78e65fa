"""One exchange on its way to a server, as the upstream connections of the proxy and the router share it."""

from __future__ import annotations

from typing import Any, Generic, Protocol, TypeVar

from firvane.core.engine_protocols import Exchange
from firvane.core.net.dialer import Dialing
from firvane.core.net.http import Message
from firvane.core.terminations import Termination


class RunConnection(Protocol):
    """A connection that carries one run at a time."""

    run: Any
    idle_since: float  # loop time in s

    def close(self) -> None:
        """End the connection at once."""


RequestT = TypeVar("RequestT")
ConnectionT = TypeVar("ConnectionT", bound=RunConnection)
PoolT = TypeVar("PoolT")


class UpstreamRun(Generic[RequestT, ConnectionT, PoolT]):
    """An exchange on its way to a server, over an idle connection of its pool or a new one."""

    __slots__ = ("connection", "dial", "exchange", "over", "pool", "request")

    def __init__(self, request: RequestT, pool: PoolT, exchange: Exchange[Message]) -> None:
        self.request, self.pool, self.exchange = request, pool, exchange
        self.connection: ConnectionT | None = None
        self.dial: Dialing | None = None
        self.over = False

    def cancel(self) -> None:
        """Give it up. The connection goes with it: that is how the server learns of it."""
        self.over = True
        if self.connection:
            self.connection.run = None
            self.connection.close()
        elif self.dial:
            self.dial.close()

    def end(self, ending: Termination, answer: Message | None = None) -> None:
        """Report its end, once."""
        if not self.over:
            self.over = True
            self.exchange.on_ended(ending, answer)


def close_idle(idle: list[ConnectionT], before: float = float("inf")) -> None:
    """Close and remove the connections idle since before a loop time; the oldest come first."""
    while idle and idle[0].idle_since < before:
        idle.pop(0).close()
