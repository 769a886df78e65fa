"""The content of a snapshot, and the rules for restoring each field.

Invariants:

1. `RESTORE_RULES` lists for each field how it is restored, for how long, and what confirms it. No other field
   is stored or read.
2. No health state is stored: no suspicion, time-out, failure or exhausted connection table.
3. Restored values are priors: initial values that the first observation of this process replaces. They open
   no backend; a recovery only begins its steps at a slightly higher capacity.
4. A negative age (the clock was set back) is treated as `MAX_AGE_S`: no priors are restored, and the endpoint
   list is valid until discovery updates it.
"""

from __future__ import annotations

from enum import Enum
from math import isfinite
from typing import Any, NamedTuple

from msgspec import Struct

from firvane.core import interface as api

FORMAT_VERSION = 2
SECONDS_PER_DAY = 86_400
SECONDS_PER_HOUR = 3600
SECONDS_PER_MINUTE = 60
MAX_AGE_S = 7.0 * SECONDS_PER_DAY  # from this age on only the endpoint list is restored
SCALE_HALF_LIFE_S = 6.0 * SECONDS_PER_HOUR
CAPACITY_HALF_LIFE_S = 600.0
DEFAULT_CAPACITY = 4.0  # attempts, of an unknown backend


class RestoreMode(Enum):
    """Ways to restore a field; the values are shown to operators."""

    AS_IS = "as it is"
    PRIOR = "as a prior that evidence overrules"
    AGED = "aged by a half-life"


class RestoreRule(NamedTuple):
    """How one field is restored, as it is shown to operators."""

    field: str
    mode: RestoreMode
    until: str
    confirmed_by: str


_MAX_AGE_DAYS = f"{MAX_AGE_S / SECONDS_PER_DAY:.0f} days"
RESTORE_RULES = (
    RestoreRule(
        "listed", RestoreMode.AS_IS, "discovery's own word", "discovery; what drained stays out till then"
    ),
    RestoreRule(
        "scale",
        RestoreMode.PRIOR,
        f"{_MAX_AGE_DAYS}, halved every {SCALE_HALF_LIFE_S / SECONDS_PER_HOUR:.0f} h",
        "answers of warm boxes; the median of peers, within 4 times",
    ),
    RestoreRule("kinds", RestoreMode.PRIOR, _MAX_AGE_DAYS, "answers of warm boxes of the kind"),
    RestoreRule(
        "rooms",
        RestoreMode.AGED,
        f"halved every {CAPACITY_HALF_LIFE_S / SECONDS_PER_MINUTE:.0f} min towards {DEFAULT_CAPACITY:g}",
        "answers, one by one; a restart of the box voids it",
    ),
    RestoreRule("starts", RestoreMode.AS_IS, "the list names a later start", "the list, and most peers"),
)


class StoredBackend(Struct, frozen=True, kw_only=True):
    """A stored backend; the names of the fields are part of the file format."""

    room: float  # the capacity for this proxy, in attempts
    start: float | None = None  # the last start in Unix time, if known


class Snapshot(Struct, frozen=True, kw_only=True):
    """The stored state of a proxy; the names of the fields are part of the file format."""

    saved_at: float  # Unix time
    proxy: str
    listed: dict[str, Any] | None = None  # the endpoint list in discovery's format; None if none was known
    scale: float = 0.0  # responses per second and unit of weight of a warm backend; 0: unknown
    kinds: dict[str, float] = {}  # the scale by kind of backend
    boxes: dict[str, StoredBackend] = {}  # backends by name


def make_snapshot(
    proxy: str, now: float, listed: dict[str, Any] | None, estimates: api.RestoredEstimates
) -> Snapshot:
    """Return the snapshot of a proxy at `now`, in Unix time."""
    starts = estimates.start_times
    boxes = {
        name: StoredBackend(room=capacity, start=starts.get(name))
        for name, capacity in estimates.capacities.items()
    }
    return Snapshot(
        saved_at=now,
        proxy=proxy,
        listed=listed,
        scale=estimates.scale,
        kinds=dict(estimates.kinds),
        boxes=boxes,
    )


def age_s(snapshot: Snapshot, now: float) -> float:
    """Return the seconds since a snapshot was saved; `MAX_AGE_S` if its time is after `now`."""
    age = now - snapshot.saved_at
    return age if isfinite(age) and 0.0 <= age < MAX_AGE_S else MAX_AGE_S


def restore_estimates(snapshot: Snapshot, now: float) -> api.RestoredEstimates:
    """Return the estimates of a snapshot, aged to `now`, in Unix time."""
    age = age_s(snapshot, now)
    if age >= MAX_AGE_S:
        return api.RestoredEstimates(age)
    decay = 2.0 ** (-age / CAPACITY_HALF_LIFE_S)
    capacities = {
        name: DEFAULT_CAPACITY + (backend.room - DEFAULT_CAPACITY) * decay
        for name, backend in snapshot.boxes.items()
    }
    starts = {name: backend.start for name, backend in snapshot.boxes.items() if backend.start is not None}
    scale = snapshot.scale * 2.0 ** (-age / SCALE_HALF_LIFE_S)
    return api.RestoredEstimates(age, scale, dict(snapshot.kinds), capacities, starts)
