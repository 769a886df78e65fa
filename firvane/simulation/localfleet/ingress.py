"""Distribution of new connections to routers by the platform. Pure.

A router that fails two consecutive readiness probes gets no new connections until a probe succeeds again.
While fewer than half of all routers are ready, all are used.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

from firvane.core.address import Address

MAX_FAILED_PROBES = 2


class Ingress:
    """The routers' front addresses and their consecutive failed probes."""

    def __init__(self, routers: Sequence[Address]) -> None:
        self._failed_probes = {router: MAX_FAILED_PROBES for router in routers}

    def record_probe(self, router: Address, ready: bool) -> None:
        """Record the result of a readiness probe; a timeout counts as not ready."""
        self._failed_probes[router] = 0 if ready else self._failed_probes[router] + 1

    @property
    def all_ready(self) -> bool:
        """Whether the last probe of each router succeeded."""
        return not any(self._failed_probes.values())

    def choose(self, client: int, attempt: int) -> Address:
        """The router for a new connection of a client; a retry (`attempt` above 0) uses another router."""
        all_routers = list(self._failed_probes)
        ready = [router for router in all_routers if self._failed_probes[router] < MAX_FAILED_PROBES]
        usable = ready if 2 * len(ready) >= len(all_routers) else all_routers
        return usable[(zlib.crc32(b"client %d" % client) + attempt) % len(usable)]
