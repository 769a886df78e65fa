"""Assignment of backends to home slices; all routers get the same result from the same two sorted lists.

1. Both lists are traversed together and the shorter one wraps around. So no slice is empty if there is any
   backend, and several slices share a backend if owners outnumber backends.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

Server = TypeVar("Server")


def assign_round_robin(servers: Sequence[Server], owners: Sequence[int]) -> list[tuple[int, Server]]:
    """Return the pairs of owner and server, paired by rank; empty if either list is empty."""
    if not servers or not owners:
        return []
    ranks = range(max(len(servers), len(owners)))
    return [(owners[i % len(owners)], servers[i % len(servers)]) for i in ranks]
