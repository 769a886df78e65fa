"""Kinds of simulation runs that reveal deliberate faults of the code, by name and seed."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from tests.fleet.replication.oracle import ViolationError
from tests.fleet.replication.scenarios import SCENARIOS
from tests.fleet.replication.settings import COLLIDING_ELECTIONS, FaultTrigger, Settings, settings_of
from tests.fleet.replication.simulated_cluster import patched_limits, run_seed


class Ending(enum.Enum):
    """How a run ends."""

    PASSED = "passed"
    VIOLATED = "violated"  # an invariant was violated
    CRASHED = "crashed"  # anything else was raised


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of one run; `invariant` is the violated one, `reason` the error's text."""

    ending: Ending
    invariant: str = ""
    reason: str = ""


def _power_losses(seed: int) -> Settings:
    """One or all machines lose power, often during a write."""
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
    """Elections collide, and processes restart at once."""
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
    """Leaders are isolated or frozen; messages are delayed."""
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


def _planned_stops(seed: int) -> Settings:
    """Owners stop as planned, also during partitions."""
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


def _membership_changes(seed: int) -> Settings:
    """Disks are lost and machines replaced while links are cut."""
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


def _single_entry_appends(seed: int) -> Settings:
    """Each message has one entry, and leaders fail after their election: old entries replicate slowly."""
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


def _corrupted_disks(seed: int) -> Settings:
    """Synced bytes are corrupted; processes are killed during writes."""
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


def _full_disks(seed: int) -> Settings:
    """Disks are full or slow, and machines lose power at the same time."""
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
    """The machines are repeatedly partitioned in two halves, and one half restarts."""
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


def _power_off_wipes(seed: int) -> Settings:
    """Disks are lost, the oldest first, while all other machines lose power; machines are replaced."""
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


def _frequent_snapshots(seed: int) -> Settings:
    """Hundreds of commands with frequent snapshots, while members are unreachable for a long time."""
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


def _random_settings(seed: int) -> Settings:
    """Settings drawn at random, as in `test_simulated_cluster`."""
    return settings_of(seed)


KINDS: dict[str, Callable[[int], Settings]] = {
    "drawn": _random_settings,
    "power": _power_losses,
    "elections": _elections,
    "leases": _leases,
    "planned stops": _planned_stops,
    "members": _membership_changes,
    "single-entry appends": _single_entry_appends,
    "corruption": _corrupted_disks,
    "full": _full_disks,
    "halves": _halves,
    "power-off wipes": _power_off_wipes,
    "frequent snapshots": _frequent_snapshots,
}


def run_history(kind: str, seed: int) -> Outcome:
    """Run the simulation of a kind and seed, and return how it ended."""
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


def run_histories(kind: str, seeds: Sequence[int]) -> list[Outcome]:
    """Run the simulation of a kind for several seeds, and return how each ended."""
    return [run_history(kind, seed) for seed in seeds]
