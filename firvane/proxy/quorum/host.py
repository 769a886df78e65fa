"""What the agreement on one policy needs of the proxy in which it is at work."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from firvane.core import interface as api
from firvane.core.logs import Log
from firvane.core.net.dialer import Dialer
from firvane.proxy.config.node import Config


class Post(Protocol):
    """The way to the other proxies."""

    def tell(self, peer: int | None, payload: bytes) -> None: ...


class Host(Protocol):
    """The proxy, as far as the agreement knows it."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop: ...
    @property
    def config(self) -> Config: ...
    @property
    def log(self) -> Log: ...
    @property
    def dialer(self) -> Dialer: ...
    @property
    def peers(self) -> Post: ...
    @property
    def wall(self) -> Callable[[], float]: ...

    def fits(self, settings: api.Settings) -> str:
        """Why it has no room for these settings; "" where it has."""

    def adopt(self, settings: api.Settings) -> None:
        """All requests that come from now on are decided by these, checked already."""
