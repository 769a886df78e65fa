"""Routes and concurrency limits for receivers, from the settings: timeouts, retries, circuit breakers.

1. A class is the first segment of a path. A path of no class has no route.
2. Retries follow the settings: after any failure if the class is idempotent or all targets share one
   deduplication scope, else only if the request was not processed; at most the configured attempts.
3. The timeout of a route is the deadline of its class.
4. A receiver's limit of open requests is its share of the estimated capacity, times `HEADROOM`, as a power of
   two, so that it rarely changes: receivers treat a changed cluster as a new one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from firvane.core import interface as api
from firvane.proxy.control.types import BackendEstimate

HEADROOM = 2.0  # factor on the receiver's share of the capacity
MIN_OPEN_REQUESTS = 64  # lower bound of a receiver's limit


class Route(NamedTuple):
    """The route of one class."""

    name: str  # the first segment of the path
    deadline: float  # seconds
    retries: int
    retry_any: bool  # retry after any failure; else only if the request was not processed


def routes(settings: api.Settings) -> tuple[Route, ...]:
    """Return the routes of the configured classes, in the order of the settings."""
    return tuple(
        Route(
            cls.name,
            cls.deadline,
            max(0, settings.limits.max_attempts - 1),
            cls.idempotency is api.Idempotency.SAFE
            or (cls.idempotency is api.Idempotency.KEYED and cls.dedup_scope is api.DedupScope.ALL),
        )
        for cls in settings.classes
    )


def max_open_requests(backends: Iterable[BackendEstimate], share: float) -> int:
    """Return a receiver's limit of open requests; `share` is its share of the total demand."""
    capacity = sum(backend.capacity for backend in backends)
    min_limit = max(float(MIN_OPEN_REQUESTS), HEADROOM * capacity * min(1.0, max(0.0, share)))
    return int(2 ** math.ceil(math.log2(min_limit)))
