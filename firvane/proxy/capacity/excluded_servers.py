"""Which listed servers the decisions leave out now: what operators are told of them."""

from __future__ import annotations

from collections.abc import Iterable

from firvane.core import interface as api
from firvane.core.balancing.records import Backend

MOMENT = 0.05  # s: a box that had no room just now is left alone for less


def skipped(servers: Iterable[Backend], now: float) -> int:
    """How many get nothing: they are leaving, or have failed and wait for their next trial."""
    return sum(s.entry.state is not api.ServerState.UP or s.retry_at > now + MOMENT for s in servers)
