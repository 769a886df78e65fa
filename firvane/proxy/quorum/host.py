"""Interface of the proxy that the policy consensus runs in."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from firvane.core import interface as api
from firvane.core.logs import Log
from firvane.core.net.dialer import Dialer
from firvane.proxy.config.proxy_config import Config


class PeerTransport(Protocol):
    """Sends datagrams to the other proxies."""

    def send_datagram(self, peer: int | None, payload: bytes) -> None:
        """Send the payload to a peer; None sends it to all peers."""


class Host(Protocol):
    """The proxy, as used by the consensus."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of the proxy."""

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
        """Sends datagrams to the other proxies."""

    @property
    def wall(self) -> Callable[[], float]:
        """A function that returns Unix time in seconds."""

    def unfit_reason(self, settings: api.Settings) -> str:
        """Return why the proxy lacks the capacity for these settings; "" if it does not."""

    def apply_policy(self, settings: api.Settings) -> None:
        """Apply these settings, which have been validated, to all requests that arrive from now on."""
