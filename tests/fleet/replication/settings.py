"""What a simulated world is like, drawn from its seed or stated."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

from firvane.fleet.replication.types import DEFAULT_TIMING, Timing

SYNC = 0.005  # seconds
CROWDED = Timing(
    election_timeout_max_s=0.303, pre_vote_timeout_min_s=0.050, pre_vote_timeout_max_s=0.052
)  # elections collide


class WeakMoment(enum.Enum):
    """Moments at which a fault is aimed."""

    ELECTED = 1
    COMMITTED = 2
    COMPACTING = 3
    VOTED = 4  # for another
    FOLLOWING = 5
    WRITING = 6  # entries


@dataclass
class Settings:
    """What a world is like."""

    machines: int = 3
    target_size: int = 3
    duration: float = 8.0  # seconds with faults
    calm: float = 4.0  # seconds without, at the end
    fault_gap: float = 0.7  # seconds between two faults, on average
    operation_gap: float = 0.06  # seconds between two calls of clients, on average
    loss: float = 0.01
    doubled: float = 0.01
    late: float = 0.02  # messages that are late, by up to `late_by`
    late_by: float = 0.3
    command_size: int = 16
    through_codec: bool = False
    compact_bytes: int = 2_000
    keep_bytes: int = 400
    compact_entries: int = 1_000_000
    append_bytes: int = 1_000_000  # entries in one message
    sync_time: float = SYNC
    contention: bool = False  # elections collide: hardly any spread, no reservation of pre-votes
    timing: Timing = DEFAULT_TIMING
    fault_kinds: int = 23  # how many kinds of faults strike in this world
    aimed: float = 0.0  # the share of weak moments at which a fault strikes
    first_fault: float = 1.0
    extreme_clocks: bool = False  # as fast or as slow as is assumed
    kinds: tuple[str, ...] = ()  # the kinds of faults; drawn where none is named
    moments: tuple[WeakMoment, ...] = ()  # the weak moments that are aimed at; all where none is named
    blows: tuple[str, ...] = ()  # what strikes at them; drawn where none is named


def settings_of(seed: int) -> Settings:
    """The kind of world that a seed stands for."""
    draw = random.Random(seed * 7 + 1)
    sizes = (
        *((3, 3), (3, 3), (3, 3), (3, 3), (3, 3), (4, 3), (5, 5), (5, 5), (5, 3)),
        *((7, 7), (7, 5), (1, 1), (2, 2)),
    )
    machines, target = draw.choice(sizes)
    settings = Settings(
        machines=machines,
        target_size=target,
        duration=draw.choice((3.0, 5.0, 8.0)),
        fault_gap=draw.choice((0.15, 0.4, 0.7, 1.5)),
        operation_gap=draw.choice((0.02, 0.06)),
        loss=draw.choice((0.0, 0.01, 0.1)),
        late=draw.choice((0.0, 0.02, 0.1, 0.2)),
        late_by=draw.choice((0.05, 0.3, 1.0)),
        command_size=draw.choice((16, 200)),
        compact_bytes=draw.choice((500, 2_000, 1_000_000)),
        append_bytes=draw.choice((1, 200, 1_000_000)),
        sync_time=draw.choice((SYNC, SYNC, 0.02, 0.08)),
        through_codec=draw.random() < 0.15,
        contention=draw.random() < 0.3,
        fault_kinds=draw.choice((2, 3, 5, 23)),
        aimed=draw.choice((0.0, 0.02, 0.1, 0.3)),
        first_fault=draw.choice((1.0, 2.0)),
    )
    if settings.contention:
        settings.timing = CROWDED
    settings.compact_entries = draw.choice((10, 64, 1_000_000))
    return settings
