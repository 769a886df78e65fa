"""What the policy consensus needs of the proxy that it runs in."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from firvane.core import interface as api
from firvane.core.logs import Log
from firvane.core.net.dialer import Dialer
from firvane.proxy.config.node import Config


class PeerTransport(Protocol):
    """Sends datagrams to the other proxies."""

    def send_datagram(self, peer: int | None, payload: bytes) -> None:
        """Send the payload to that peer; None sends it to all."""


class Host(Protocol):
    """The proxy, as far as the consensus knows it."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop that everything runs in."""

    @property
    def config(self) -> Config:
        """The proxy's own configuration."""

    @property
    def log(self) -> Log:
        """The log of the process."""

    @property
    def dialer(self) -> Dialer:
        """Opens connections."""

    @property
    def peers(self) -> PeerTransport:
        """The way to the other proxies."""

    @property
    def wall(self) -> Callable[[], float]:
        """Returns Unix time in seconds."""

    def unfit_reason(self, settings: api.Settings) -> str:
        """Return why the proxy has no capacity for these settings; "" where it has."""

    def apply_policy(self, settings: api.Settings) -> None:
        """Decide all requests that come from now on by these settings, which have been validated."""
