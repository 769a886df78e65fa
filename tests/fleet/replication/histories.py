"""Kinds of histories in which deliberate faults of the code show: worlds of one temper, by name and seed."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from tests.fleet.replication.oracle import ViolationError
from tests.fleet.replication.scenarios import SCENARIOS
from tests.fleet.replication.settings import CROWDED, Settings, WeakMoment, settings_of
from tests.fleet.replication.simulated_cluster import limits_of, play


class Ending(enum.Enum):
    """How a history ends."""

    PASSED = "passed"
    VIOLATED = "violated"  # a promise was broken
    CRASHED = "crashed"  # anything else was raised


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of one history; `promise` is the one that was broken, `reason` the error's text."""

    ending: Ending
    promise: str = ""
    reason: str = ""


def _power(seed: int) -> Settings:
    """The power goes, here and everywhere, often while something is written."""
    return Settings(
        machines=(3, 5, 7)[seed % 3],
        target_size=(3, 5, 7)[seed % 3],
        duration=4.0,
        fault_gap=0.4,
        operation_gap=0.02,
        kinds=("lose_power", "lose_power_all", "kill", "cut"),
        aimed=0.2,
        blows=("power_cycle_here", "power_cycle_all", "power_cycle_some", "kill_then_power_cycle"),
        compact_bytes=(500, 2_000)[seed % 2],
        command_size=(16, 200)[seed % 2],
    )


def _elections(seed: int) -> Settings:
    """Elections collide, and processes start again at once."""
    return Settings(
        machines=(3, 5)[seed % 2],
        target_size=(3, 5)[seed % 2],
        duration=5.0,
        fault_gap=0.2,
        operation_gap=0.03,
        kinds=("restart_quickly", "cut_pairs", "cut", "kill"),
        aimed=0.3,
        moments=(WeakMoment.VOTED, WeakMoment.ELECTED),
        loss=0.05,
        contention=True,
        timing=CROWDED,
        sync_time=0.02,
    )


def _leases(seed: int) -> Settings:
    """Leaders are cut off or frozen; messages are late."""
    return Settings(
        machines=(3, 5)[seed % 2],
        target_size=(3, 5)[seed % 2],
        duration=6.0,
        fault_gap=0.3,
        operation_gap=0.01,
        kinds=("cut", "cut_one_way", "cut_pairs", "freeze", "stall", "restart_quickly"),
        aimed=0.1,
        blows=("cut_off_here", "freeze_here", "restart_some"),
        late=0.1,
        late_by=0.3,
    )


def _planned_ends(seed: int) -> Settings:
    """Owners hand over, also while machines are cut off."""
    return Settings(
        machines=(3, 5)[seed % 2],
        target_size=3,
        duration=6.0,
        fault_gap=0.3,
        operation_gap=0.01,
        kinds=("terminate", "terminate", "slow_disk", "cut_one_way"),
        late=0.3,
        late_by=0.1,
    )


def _members(seed: int) -> Settings:
    """Disks are lost, machines replaced, while links fail."""
    return Settings(
        machines=(4, 5, 6)[seed % 3],
        target_size=(3, 5, 5)[seed % 3],
        duration=8.0,
        fault_gap=0.3,
        operation_gap=0.03,
        kinds=("wipe", "wipe", "replace", "cut", "cut_pairs", "kill", "lose_power"),
        aimed=0.1,
        blows=("wipe_one", "cut_off_here", "cut_some_pairs", "power_cycle_here"),
        append_bytes=(1, 1_000_000)[seed % 2],
    )


def _one_by_one(seed: int) -> Settings:
    """One entry a message, leaders lost right after their election: old terms' entries spread slowly."""
    return Settings(
        machines=(3, 5)[seed % 2],
        target_size=(3, 5)[seed % 2],
        duration=6.0,
        fault_gap=0.25,
        operation_gap=0.02,
        kinds=("cut", "cut_pairs", "restart_quickly"),
        aimed=0.4,
        moments=(WeakMoment.ELECTED, WeakMoment.FOLLOWING, WeakMoment.WRITING),
        blows=("cut_off_here", "cut_some_pairs", "power_cycle_here", "freeze_here"),
        append_bytes=1,
        compact_bytes=(300, 2_000)[seed // 2 % 2],
        keep_bytes=100,
        loss=0.05,
        late=0.1,
        late_by=0.05,
    )


def _spoilt(seed: int) -> Settings:
    """Bytes that were synced are spoilt; processes end in the middle of writes."""
    return Settings(
        machines=3,
        target_size=3,
        duration=6.0,
        fault_gap=0.4,
        operation_gap=0.02,
        kinds=("damage_disk", "damage_disk", "kill", "lose_power"),
        compact_bytes=(1_000, 4_000)[seed % 2],
        command_size=200,
    )


def _full(seed: int) -> Settings:
    """Disks are full, slow or hang, and machines lose their power meanwhile."""
    return Settings(
        machines=3,
        target_size=3,
        duration=6.0,
        fault_gap=0.2,
        operation_gap=0.02,
        kinds=("fill_disk", "fill_disk", "lose_power", "lose_power_all", "kill_all", "slow_disk"),
        compact_bytes=(500, 2_000)[seed % 2],
        command_size=200,
    )


def _halves(seed: int) -> Settings:
    """The machines are cut in two again and again, and one side starts again."""
    machines = (3, 4, 5, 7)[seed % 4]
    return Settings(
        machines=machines,
        target_size=(3, 3, 5, 5)[seed % 4],
        duration=8.0,
        fault_gap=0.8,
        operation_gap=0.015,
        kinds=("cut_in_halves", "cut_in_halves", "cut_one_way", "kill_all", "freeze"),
        aimed=0.05,
        blows=("cut_off_here", "freeze_here", "power_cycle_here"),
        compact_bytes=(500, 2_000)[seed // 4 % 2],
    )


def _dark(seed: int) -> Settings:
    """Disks are lost, the oldest first, while all other machines lose their power; machines are replaced."""
    machines = (3, 4, 5, 6)[seed % 4]
    return Settings(
        machines=machines,
        target_size=(3, 3, 5, 5)[seed % 4],
        duration=10.0,
        fault_gap=0.6,
        operation_gap=0.02,
        kinds=("wipe_oldest_in_the_dark", "wipe_oldest_in_the_dark", "replace_in_a_cut", "replace", "wipe"),
        aimed=0.05,
        blows=("power_cycle_all", "wipe_one"),
        compact_bytes=(500, 1_000_000)[seed // 4 % 2],
    )


def _many_changes(seed: int) -> Settings:
    """Hundreds of orders and a snapshot every few of them, while members are away for a long time."""
    machines = (3, 5)[seed % 2]
    return Settings(
        machines=machines,
        target_size=machines,
        duration=8.0,
        fault_gap=1.2,
        operation_gap=0.004,
        kinds=("cut", "cut_in_halves", "kill", "lose_power", "freeze", "wipe"),
        aimed=0.02,
        moments=(WeakMoment.COMPACTING, WeakMoment.ELECTED),
        compact_bytes=(300, 1_500)[seed // 2 % 2],
        keep_bytes=(0, 400)[seed // 4 % 2],
        append_bytes=(200, 1_000_000)[seed // 2 % 2],
        loss=0.05,
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
            with limits_of(Settings()):
                SCENARIOS[kind](seed)
        else:
            play(seed, KINDS[kind](seed))
    except ViolationError as error:
        return Outcome(Ending.VIOLATED, error.promise.value, str(error))
    except Exception as error:
        return Outcome(Ending.CRASHED, "", f"{type(error).__name__}: {error}")
    return Outcome(Ending.PASSED)


def outcomes(kind: str, seeds: Sequence[int]) -> list[Outcome]:
    """The ends of several histories of one kind."""
    return [outcome(kind, seed) for seed in seeds]
