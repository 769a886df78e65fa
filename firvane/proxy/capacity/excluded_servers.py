"""The number of listed servers that get no requests at present, for operators."""

from __future__ import annotations

from collections.abc import Iterable

from firvane.core import interface as api
from firvane.core.balancing.records import Backend

MIN_BACKOFF_S = 0.05  # shorter pauses do not count: a server that rejected for lack of capacity gets one


def count_excluded(servers: Iterable[Backend], now: float) -> int:
    """Return how many servers are draining, or have failed and are backed off until their next trial."""
    return sum(s.entry.state is not api.ServerState.UP or s.retry_at > now + MIN_BACKOFF_S for s in servers)
