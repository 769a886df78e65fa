"""Dealing backends into home slices: every router deals alike from the same two sorted lists.

1. Both lists are walked together and the shorter one wraps, so that each slice has a backend where there is
   any, and several slices share a backend where owners outnumber backends.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

Server = TypeVar("Server")


def deal(servers: Sequence[Server], owners: Sequence[int]) -> list[tuple[int, Server]]:
    """The pairs of owner and server by rank; empty where either list is."""
    if not servers or not owners:
        return []
    ranks = range(max(len(servers), len(owners)))
    return [(owners[i % len(owners)], servers[i % len(servers)]) for i in ranks]
