"""Checks that a backend still runs after it has ended a response without framing.

The end of such a response is the end of its connection, and the kernel ends the connections of a killed
process in the same way. Only a running backend accepts a new connection. The kernel may close the listening
socket of a killed process after its connections, so that the check waits for a moment. The new connection is
kept for the next request, as the response has used up its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from firvane.core.net.dialer import Dialing
from firvane.core.terminations import Termination

CLOSING_TIME_S = 0.1  # in which the kernel closes all sockets of a killed process
MAX_DIALS = 3  # packets may be lost on the way to a running backend

ConnectionT = TypeVar("ConnectionT")


class Connector(Protocol[ConnectionT]):
    """Opens connections to one backend, and keeps those that are not needed."""

    def connect(
        self, on_connected: Callable[[ConnectionT], None], on_failed: Callable[[Termination], None]
    ) -> Dialing:
        """Open a connection; exactly one of the callbacks is called (see `Dialer.dial`)."""

    def keep(self, connection: ConnectionT) -> None:
        """Keep a new connection for later requests."""


class EndCheck(Generic[ConnectionT]):
    """One check of one backend, which reports once whether the backend runs, unless it is cancelled."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connector: Connector[ConnectionT],
        on_result: Callable[[bool], None],
    ) -> None:
        """Start the check; `on_result` is called later with whether the backend accepted a connection."""
        self._connector = connector
        self._on_result: Callable[[bool], None] | None = on_result
        self._dialing: Dialing | None = None
        self._dials = 0
        self._timer: asyncio.TimerHandle | None = loop.call_later(CLOSING_TIME_S, self._dial)

    def _dial(self) -> None:
        self._timer = None  # it refers to this check
        self._dials += 1
        dialing = self._connector.connect(self._on_connected, self._on_failed)
        if self._on_result:
            self._dialing = dialing

    def cancel(self) -> None:
        """End the check without a result."""
        self._on_result = None
        if self._timer:
            self._timer.cancel()
            self._timer = None
        dialing, self._dialing = self._dialing, None
        if dialing:
            dialing.close()

    def _on_connected(self, connection: ConnectionT) -> None:
        self._connector.keep(connection)
        self._report(True)

    def _on_failed(self, termination: Termination) -> None:
        if self._on_result and termination is Termination.CONNECT_TIMEOUT and self._dials < MAX_DIALS:
            self._dial()
        else:
            self._report(False)

    def _report(self, is_running: bool) -> None:
        on_result, self._on_result, self._dialing = self._on_result, None, None
        if on_result:
            on_result(is_running)
