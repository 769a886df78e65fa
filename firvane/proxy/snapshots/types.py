"""What is kept of a proxy, and how each field is read back.

Rules that hold here and nowhere else:

1. `TRUST` says of each field how it is read back, until when, and what confirms it. What is not in it is
   neither kept nor read.
2. Never a verdict about who is up: doubts, silences, failures and full tables are not kept.
3. What is read back is a prior: it says where to begin, and the first evidence of this life goes before it.
   Nothing of it opens a box's budget; the steps of a recovery start a little higher, `MOST_ROOM` at most.
4. An age below 0 (the clock has stepped back) counts as unknown, which is `OLDEST`: priors are gone by then,
   the list stands until discovery speaks.
"""

from __future__ import annotations

from enum import Enum
from math import isfinite
from typing import Any, NamedTuple

from msgspec import Struct

from firvane.core import interface as api

FORMAT = 2
OLDEST = 7 * 86_400.0  # s from which on only the list is read
HALF_SCALE, HALF_ROOM = 6 * 3600.0, 600.0  # s in which a prior loses half of what it says
FIRST_ROOM, MOST_ROOM = 4.0, 8.0  # a room that nobody knows; the largest that a recovery begins with


class How(Enum):
    """How a field is read back."""

    AS_IS = "as it is"
    PRIOR = "as a prior that evidence overrules"
    AGED = "aged by a half-life"


class Trust(NamedTuple):
    """One row of the table."""

    field: str
    how: How
    until: str
    confirmed: str


TRUST = (
    Trust("listed", How.AS_IS, "discovery's own word", "discovery; what drained stays out till then"),
    Trust("scale", How.PRIOR, f"{OLDEST / 86_400:.0f} days, halved every {HALF_SCALE / 3600:.0f} h",
          "answers of warm boxes; the median of peers, within 4 times"),
    Trust("kinds", How.PRIOR, f"{OLDEST / 86_400:.0f} days", "answers of warm boxes of the kind"),
    Trust("rooms", How.AGED, f"halved every {HALF_ROOM / 60:.0f} min towards {FIRST_ROOM:g}",
          "answers, one by one; a restart of the box voids it"),
    Trust("starts", How.AS_IS, "the list names a later start", "the list, and most peers"),
)  # fmt: skip


class Box(Struct, frozen=True, kw_only=True):
    """One box: its room for this proxy, and its last start in Unix time, where that is known."""

    room: float
    start: float | None = None


class Snapshot(Struct, frozen=True, kw_only=True):
    """All that is kept."""

    saved_at: float  # Unix time
    proxy: str
    listed: dict[str, Any] | None = None  # the list in discovery's form; None: none was known
    scale: float = 0.0  # answers a second and weight of a warm box; 0: not known
    kinds: dict[str, float] = {}  # the same by kind
    boxes: dict[str, Box] = {}


def made(proxy: str, now: float, listed: dict[str, Any] | None, held: api.RestoredEstimates) -> Snapshot:
    """What is kept at `now`, in Unix time."""
    starts = held.start_times
    boxes = {name: Box(room=room, start=starts.get(name)) for name, room in held.capacities.items()}
    return Snapshot(
        saved_at=now, proxy=proxy, listed=listed, scale=held.scale, kinds=dict(held.kinds), boxes=boxes
    )


def age(snapshot: Snapshot, now: float) -> float:
    """Seconds since it was saved; `OLDEST` where clocks make no sense of it."""
    since = now - snapshot.saved_at
    return since if isfinite(since) and 0.0 <= since < OLDEST else OLDEST


def remembered(snapshot: Snapshot, now: float) -> api.RestoredEstimates:
    """What the decisions are told of it, `now` in Unix time."""
    old = age(snapshot, now)
    if old >= OLDEST:
        return api.RestoredEstimates(old)
    fades = 2.0 ** (-old / HALF_ROOM)
    rooms = {name: FIRST_ROOM + (box.room - FIRST_ROOM) * fades for name, box in snapshot.boxes.items()}
    starts = {name: box.start for name, box in snapshot.boxes.items() if box.start is not None}
    scale = snapshot.scale * 2.0 ** (-old / HALF_SCALE)
    return api.RestoredEstimates(old, scale, dict(snapshot.kinds), rooms, starts)
