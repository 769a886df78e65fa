"""Settings of a simulated cluster, stated or drawn at random from a seed."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

from firvane.fleet.replication.types import DEFAULT_TIMING, Timing

SYNC_TIME = 0.005  # seconds
COLLIDING_ELECTIONS = Timing(
    election_timeout_max_s=0.303, pre_vote_timeout_min_s=0.050, pre_vote_timeout_max_s=0.052
)  # elections collide


class FaultTrigger(enum.Enum):
    """Events of the protocol after which a targeted fault may be injected."""

    ELECTED = 1
    COMMITTED = 2
    COMPACTING = 3
    VOTED = 4  # for another replica
    FOLLOWING = 5  # another leader
    WRITING = 6  # log entries


@dataclass
class Settings:
    """Size, load, network, disks and faults of a simulated cluster."""

    machines: int = 3
    target_size: int = 3
    duration: float = 8.0  # seconds with faults
    recovery_time: float = 4.0  # seconds without faults at the end
    mean_fault_interval: float = 0.7  # seconds
    mean_request_interval: float = 0.06  # seconds between two requests of clients
    loss_rate: float = 0.01
    duplicate_rate: float = 0.01
    delay_rate: float = 0.02  # the share of messages that are delayed, by up to `max_delay`
    max_delay: float = 0.3  # seconds
    command_size: int = 16
    through_codec: bool = False
    compaction_bytes: int = 2_000
    retained_log_bytes: int = 400
    compaction_entries: int = 1_000_000
    max_append_bytes: int = 1_000_000  # of entries in one message
    sync_time: float = SYNC_TIME
    contention: bool = False  # elections collide: similar timeouts, no reservation of pre-votes
    timing: Timing = DEFAULT_TIMING
    fault_kind_count: int = 23  # how many kinds of faults are drawn
    targeted_rate: float = 0.0  # the share of trigger events after which a fault is injected
    first_fault_at: float = 1.0
    extreme_clocks: bool = False  # each clock is as fast or as slow as the bound allows
    fault_kinds: tuple[str, ...] = ()  # method names of `Faults`; drawn at random if empty
    triggers: tuple[FaultTrigger, ...] = ()  # events that may trigger a targeted fault; all if empty
    targeted_faults: tuple[str, ...] = ()  # method names of `Faults`; the default ones if empty


def settings_of(seed: int) -> Settings:
    """Draw the settings of a cluster from a seed."""
    draw = random.Random(seed * 7 + 1)
    machines_and_targets = (
        *((3, 3), (3, 3), (3, 3), (3, 3), (3, 3), (4, 3), (5, 5), (5, 5), (5, 3)),
        *((7, 7), (7, 5), (1, 1), (2, 2)),
    )
    machines, target = draw.choice(machines_and_targets)
    settings = Settings(
        machines=machines,
        target_size=target,
        duration=draw.choice((3.0, 5.0, 8.0)),
        mean_fault_interval=draw.choice((0.15, 0.4, 0.7, 1.5)),
        mean_request_interval=draw.choice((0.02, 0.06)),
        loss_rate=draw.choice((0.0, 0.01, 0.1)),
        delay_rate=draw.choice((0.0, 0.02, 0.1, 0.2)),
        max_delay=draw.choice((0.05, 0.3, 1.0)),
        command_size=draw.choice((16, 200)),
        compaction_bytes=draw.choice((500, 2_000, 1_000_000)),
        max_append_bytes=draw.choice((1, 200, 1_000_000)),
        sync_time=draw.choice((SYNC_TIME, SYNC_TIME, 0.02, 0.08)),
        through_codec=draw.random() < 0.15,
        contention=draw.random() < 0.3,
        fault_kind_count=draw.choice((2, 3, 5, 23)),
        targeted_rate=draw.choice((0.0, 0.02, 0.1, 0.3)),
        first_fault_at=draw.choice((1.0, 2.0)),
    )
    if settings.contention:
        settings.timing = COLLIDING_ELECTIONS
    settings.compaction_entries = draw.choice((10, 64, 1_000_000))
    return settings
