"""The settings as routes and bounds that receivers can keep: time-outs, retries, how much at once.

Rules that hold here and nowhere else:

1. A class is the first part of a path, as everywhere. A path of no class has no route.
2. A request is tried again where the settings allow it: after anything if a repeat is safe, or if all targets
   drop it together; else only where it never ran. Never more often than the settings' attempts.
3. The receiver's own deadline is the class's. It knows nothing of what a client will wait.
4. How much one receiver may have open is its part of the learnt room, with `SPARE`, in powers of two: that
   changes seldom, and receivers take a changed cluster as a new one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple

from firvane.core import interface as api
from firvane.proxy.control.types import Box

SPARE, LEAST = 2.0, 64  # times its part of the room; requests open at one receiver that are always allowed


class Route(NamedTuple):
    """What receivers do with requests of one class."""

    name: str  # the first part of the path
    deadline: float  # s
    retries: int
    anything: bool  # tried again after anything; else only where it never ran


def routes(settings: api.Settings) -> tuple[Route, ...]:
    """In the order of the settings, without classes that a reload has retired."""
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


def bound(boxes: Iterable[Box], part: float) -> int:
    """Requests that a receiver may have open; `part` is its share of what all receivers send."""
    room = sum(box.room for box in boxes)
    wanted = max(float(LEAST), SPARE * room * min(1.0, max(0.0, part)))
    return int(2 ** math.ceil(math.log2(wanted)))
