"""How the platform deals new connections to routers. Pure.

A router that misses two questions for its readiness in a row gets no new connection until it says yes again.
While fewer than half of all are in, all are used.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

from firvane.core.address import Address

MISSES = 2


class Ingress:
    """The routers' front addresses, and which of them are in."""

    def __init__(self, routers: Sequence[Address]) -> None:
        self._misses = {router: MISSES for router in routers}

    def note(self, router: Address, ready: bool) -> None:
        """Take the answer to a question; a timeout counts as no."""
        self._misses[router] = 0 if ready else self._misses[router] + 1

    @property
    def all_ready(self) -> bool:
        """Whether each router said yes when it was last asked."""
        return not any(self._misses.values())

    def choose(self, client: int, attempt: int) -> Address:
        """The router for a new connection of a client; a retry (`attempt` above 0) reaches another one."""
        everyone = list(self._misses)
        ready = [router for router in everyone if self._misses[router] < MISSES]
        usable = ready if 2 * len(ready) >= len(everyone) else everyone
        return usable[(zlib.crc32(b"client %d" % client) + attempt) % len(usable)]
