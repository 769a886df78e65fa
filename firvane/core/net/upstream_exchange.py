"""One exchange with a server: the common part of the upstream connections of the proxy and the router."""

from __future__ import annotations

from typing import Any, Generic, Protocol, TypeVar

from firvane.core.engine_protocols import Exchange
from firvane.core.net.dialer import Dialing
from firvane.core.net.http_message import Message
from firvane.core.terminations import Termination


class RunConnection(Protocol):
    """An upstream connection, which carries one run at a time."""

    run: Any
    idle_since: float  # loop time in s

    def close(self) -> None:
        """End the connection at once."""


RequestT = TypeVar("RequestT")
ConnectionT = TypeVar("ConnectionT", bound=RunConnection)
PoolT = TypeVar("PoolT")


class UpstreamRun(Generic[RequestT, ConnectionT, PoolT]):
    """An attempt of the engine on the network, over an idle connection of its pool or a new one.

    A run and its dial refer to each other until the dial has ended, a run and its connection until the
    exchange has ended. The run drops both references, so that neither keeps the request in memory after its
    end.
    """

    __slots__ = ("connection", "dial", "exchange", "over", "pool", "request")

    def __init__(self, request: RequestT, pool: PoolT, exchange: Exchange[Message]) -> None:
        self.request, self.pool, self.exchange = request, pool, exchange
        self.connection: ConnectionT | None = None
        self.dial: Dialing | None = None
        self.over = False

    def cancel(self) -> None:
        """Cancel the run and close its connection, which tells the server."""
        self.over = True
        connection, dial = self.connection, self.dial
        self.release()
        if connection:
            connection.run = None
            connection.close()
        elif dial:
            dial.close()

    def on_dial_ended(self) -> None:
        """Drop the reference to the dial, which has ended."""
        self.dial = None

    def release(self) -> None:
        """Drop the references to the dial and the connection."""
        self.connection = self.dial = None

    def end(self, termination: Termination, answer: Message | None = None) -> None:
        """Report to the engine how the run ended, once."""
        if not self.over:
            self.over = True
            self.release()
            self.exchange.on_ended(termination, answer)


def close_idle(idle: list[ConnectionT], before: float = float("inf")) -> None:
    """Close and remove the connections that became idle before a loop time in s; the oldest come first."""
    while idle and idle[0].idle_since < before:
        idle.pop(0).close()
