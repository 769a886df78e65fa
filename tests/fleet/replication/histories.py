"""Kinds of histories in which deliberate faults of the code show: worlds of one temper, by name and seed."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from tests.fleet.replication.oracle import ViolationError
from tests.fleet.replication.scenarios import SCENARIOS
from tests.fleet.replication.settings import COLLIDING_ELECTIONS, FaultTrigger, Settings, settings_of
from tests.fleet.replication.simulated_cluster import patched_limits, run_seed


class Ending(enum.Enum):
    """How a history ends."""

    PASSED = "passed"
    VIOLATED = "violated"  # a promise was broken
    CRASHED = "crashed"  # anything else was raised


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of one history; `invariant` is the one that was broken, `reason` the error's text."""

    ending: Ending
    invariant: str = ""
    reason: str = ""


def _power(seed: int) -> Settings:
    """The power goes, here and everywhere, often while something is written."""
    return Settings(
        machines=(3, 5, 7)[seed % 3],
        target_size=(3, 5, 7)[seed % 3],
        duration=4.0,
        mean_fault_interval=0.4,
        mean_request_interval=0.02,
        fault_kinds=("lose_power", "lose_power_all", "kill", "partition"),
        targeted_rate=0.2,
        targeted_faults=(
            "power_cycle_machine",
            "power_cycle_all",
            "power_cycle_some",
            "kill_then_power_cycle",
        ),
        compaction_bytes=(500, 2_000)[seed % 2],
        command_size=(16, 200)[seed % 2],
    )


def _elections(seed: int) -> Settings:
    """Elections collide, and processes start again at once."""
    return Settings(
        machines=(3, 5)[seed % 2],
        target_size=(3, 5)[seed % 2],
        duration=5.0,
        mean_fault_interval=0.2,
        mean_request_interval=0.03,
        fault_kinds=("restart_quickly", "cut_links", "partition", "kill"),
        targeted_rate=0.3,
        triggers=(FaultTrigger.VOTED, FaultTrigger.ELECTED),
        loss_rate=0.05,
        contention=True,
        timing=COLLIDING_ELECTIONS,
        sync_time=0.02,
    )


def _leases(seed: int) -> Settings:
    """Leaders are cut off or frozen; messages are late."""
    return Settings(
        machines=(3, 5)[seed % 2],
        target_size=(3, 5)[seed % 2],
        duration=6.0,
        mean_fault_interval=0.3,
        mean_request_interval=0.01,
        fault_kinds=("partition", "partition_one_way", "cut_links", "freeze", "stall", "restart_quickly"),
        targeted_rate=0.1,
        targeted_faults=("isolate_machine", "freeze_machine", "restart_some"),
        delay_rate=0.1,
        max_delay=0.3,
    )


def _planned_ends(seed: int) -> Settings:
    """Owners hand over, also while machines are cut off."""
    return Settings(
        machines=(3, 5)[seed % 2],
        target_size=3,
        duration=6.0,
        mean_fault_interval=0.3,
        mean_request_interval=0.01,
        fault_kinds=("terminate", "terminate", "slow_disk", "partition_one_way"),
        delay_rate=0.3,
        max_delay=0.1,
    )


def _members(seed: int) -> Settings:
    """Disks are lost, machines replaced, while links fail."""
    return Settings(
        machines=(4, 5, 6)[seed % 3],
        target_size=(3, 5, 5)[seed % 3],
        duration=8.0,
        mean_fault_interval=0.3,
        mean_request_interval=0.03,
        fault_kinds=("wipe", "wipe", "replace", "partition", "cut_links", "kill", "lose_power"),
        targeted_rate=0.1,
        targeted_faults=("wipe_one", "isolate_machine", "cut_some_links", "power_cycle_machine"),
        max_append_bytes=(1, 1_000_000)[seed % 2],
    )


def _one_by_one(seed: int) -> Settings:
    """One entry a message, leaders lost right after their election: old terms' entries spread slowly."""
    return Settings(
        machines=(3, 5)[seed % 2],
        target_size=(3, 5)[seed % 2],
        duration=6.0,
        mean_fault_interval=0.25,
        mean_request_interval=0.02,
        fault_kinds=("partition", "cut_links", "restart_quickly"),
        targeted_rate=0.4,
        triggers=(FaultTrigger.ELECTED, FaultTrigger.FOLLOWING, FaultTrigger.WRITING),
        targeted_faults=("isolate_machine", "cut_some_links", "power_cycle_machine", "freeze_machine"),
        max_append_bytes=1,
        compaction_bytes=(300, 2_000)[seed // 2 % 2],
        retained_log_bytes=100,
        loss_rate=0.05,
        delay_rate=0.1,
        max_delay=0.05,
    )


def _spoilt(seed: int) -> Settings:
    """Bytes that were synced are spoilt; processes end in the middle of writes."""
    return Settings(
        machines=3,
        target_size=3,
        duration=6.0,
        mean_fault_interval=0.4,
        mean_request_interval=0.02,
        fault_kinds=("damage_disk", "damage_disk", "kill", "lose_power"),
        compaction_bytes=(1_000, 4_000)[seed % 2],
        command_size=200,
    )


def _full(seed: int) -> Settings:
    """Disks are full, slow or hang, and machines lose their power meanwhile."""
    return Settings(
        machines=3,
        target_size=3,
        duration=6.0,
        mean_fault_interval=0.2,
        mean_request_interval=0.02,
        fault_kinds=("fill_disk", "fill_disk", "lose_power", "lose_power_all", "kill_all", "slow_disk"),
        compaction_bytes=(500, 2_000)[seed % 2],
        command_size=200,
    )


def _halves(seed: int) -> Settings:
    """The machines are cut in two again and again, and one side starts again."""
    machines = (3, 4, 5, 7)[seed % 4]
    return Settings(
        machines=machines,
        target_size=(3, 3, 5, 5)[seed % 4],
        duration=8.0,
        mean_fault_interval=0.8,
        mean_request_interval=0.015,
        fault_kinds=("partition_in_halves", "partition_in_halves", "partition_one_way", "kill_all", "freeze"),
        targeted_rate=0.05,
        targeted_faults=("isolate_machine", "freeze_machine", "power_cycle_machine"),
        compaction_bytes=(500, 2_000)[seed // 4 % 2],
    )


def _dark(seed: int) -> Settings:
    """Disks are lost, the oldest first, while all other machines lose their power; machines are replaced."""
    machines = (3, 4, 5, 6)[seed % 4]
    return Settings(
        machines=machines,
        target_size=(3, 3, 5, 5)[seed % 4],
        duration=10.0,
        mean_fault_interval=0.6,
        mean_request_interval=0.02,
        fault_kinds=(
            "wipe_oldest_during_power_loss",
            "wipe_oldest_during_power_loss",
            "replace_during_link_cuts",
            "replace",
            "wipe",
        ),
        targeted_rate=0.05,
        targeted_faults=("power_cycle_all", "wipe_one"),
        compaction_bytes=(500, 1_000_000)[seed // 4 % 2],
    )


def _many_changes(seed: int) -> Settings:
    """Hundreds of orders and a snapshot every few of them, while members are away for a long time."""
    machines = (3, 5)[seed % 2]
    return Settings(
        machines=machines,
        target_size=machines,
        duration=8.0,
        mean_fault_interval=1.2,
        mean_request_interval=0.004,
        fault_kinds=("partition", "partition_in_halves", "kill", "lose_power", "freeze", "wipe"),
        targeted_rate=0.02,
        triggers=(FaultTrigger.COMPACTING, FaultTrigger.ELECTED),
        compaction_bytes=(300, 1_500)[seed // 2 % 2],
        retained_log_bytes=(0, 400)[seed // 4 % 2],
        max_append_bytes=(200, 1_000_000)[seed // 2 % 2],
        loss_rate=0.05,
    )


def _drawn(seed: int) -> Settings:
    """What the seed stands for in the test command."""
    return settings_of(seed)


KINDS: dict[str, Callable[[int], Settings]] = {
    "drawn": _drawn,
    "power": _power,
    "elections": _elections,
    "leases": _leases,
    "planned ends": _planned_ends,
    "members": _members,
    "one by one": _one_by_one,
    "spoilt": _spoilt,
    "full": _full,
    "halves": _halves,
    "in the dark": _dark,
    "many changes": _many_changes,
}


def outcome(kind: str, seed: int) -> Outcome:
    """Play one history to its end, whatever that is."""
    try:
        if kind in SCENARIOS:
            with patched_limits(Settings()):
                SCENARIOS[kind](seed)
        else:
            run_seed(seed, KINDS[kind](seed))
    except ViolationError as error:
        return Outcome(Ending.VIOLATED, error.invariant.value, str(error))
    except Exception as error:
        return Outcome(Ending.CRASHED, "", f"{type(error).__name__}: {error}")
    return Outcome(Ending.PASSED)


def outcomes(kind: str, seeds: Sequence[int]) -> list[Outcome]:
    """The ends of several histories of one kind."""
    return [outcome(kind, seed) for seed in seeds]
