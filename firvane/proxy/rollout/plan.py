"""The plan of a rollout: versions, slots, stages, comparison settings and harm thresholds.

Invariants:

1. A plan is complete: it defines every slot and version that it refers to.
2. `_s` means seconds, parts are fractions of 1, harms are differences between the new and the old side.
3. At least one slot per zone may be unavailable, however small the allowed part is.

The field names are the keys of the plan file.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from math import ceil
from typing import Annotated, Literal

from msgspec import Meta, Struct

from firvane.core import validation

ORDER_MARGIN_S = 5.0
DIGEST_BYTES = 16
ROUNDING = 1e-9  # so that floating-point errors do not change the rounding of integer products

Positive = Annotated[float, Meta(gt=0)]
Seconds = Annotated[float, Meta(ge=0)]
Part = Annotated[float, Meta(gt=0, le=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[
    str, Meta(pattern=r"[A-Za-z0-9_.-]{1,40}", extra={"form": "a name of letters, digits, '_', '.' and '-'"})
]


class _Section(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all sections of the plan file."""


class RollSettings(_Section, frozen=True, kw_only=True):
    """The version to roll out, its time-outs, and the reaction if it does worse."""

    version: Name
    old: Name
    kind: Literal["program", "settings"] = "program"
    on_worse: Literal["back", "stay"] = "back"
    before_s: Seconds = 30.0  # how long the fleet is measured before the first stage
    least_before: Share = 0.5  # minimum in-time share of that measurement; below it the rollout pauses
    ready_s: Positive = 15.0  # for the new process to report ready and answer requests
    prove_s: Seconds = 3.0  # how long the new process must keep answering its first requests
    end_s: Positive = 10.0  # for the old process to exit before it is killed
    tries: Annotated[int, Meta(ge=1, le=10)] = 2  # failed replacements after which the rollout stops
    ask_s: Positive = 86400.0  # how long a pause waits for an operator
    back_s: Positive = 600.0  # how long a revert waits for unreachable slots
    most_of_zone: Part = 0.34  # part of a zone's slots that may be unavailable at a time
    at_once: Annotated[int, Meta(ge=1)] = 1  # replacements in progress at a time

    @property
    def order_timeout_s(self) -> float:
        """The seconds after which an order without a result counts as failed."""
        return self.ready_s + self.prove_s + self.end_s + ORDER_MARGIN_S


class Stage(_Section, frozen=True, kw_only=True):
    """One stage: how many slots get the new version, how long they are compared, and what follows."""

    part: Literal["one"] | Part
    soak_s: Positive = 120.0  # minimum compared time
    longest_s: Positive = 900.0  # from the first replacement; after that the rollout pauses
    at_end: Literal["go", "pause"] = "go"


class HarmThresholds(_Section, frozen=True, kw_only=True):
    """The smallest difference that counts as harm, by metric."""

    refused: Positive = 0.02  # share of received requests
    failed: Positive = 0.02
    late: Positive = 0.03  # share not answered in time, for any reason
    slow: Positive = 0.05  # share above the old side's 0.9 quantile
    attempts: Positive = 0.15  # per request
    cpu: Positive = 0.25  # CPU time per request, relative to the old side's
    memory: Positive = 0.4  # MB per minute
    descriptors: Positive = 10.0  # per minute
    errors: Positive = 0.2  # log lines per second


class ComparisonSettings(_Section, frozen=True, kw_only=True):
    """How the old and the new version are compared."""

    alpha: Annotated[float, Meta(gt=0, lt=0.5)] = 0.05  # probability of a false alarm, over the whole rollout
    unsure: Annotated[float, Meta(gt=0, lt=0.5)] = 0.1  # probability that FINE misses harm above a threshold
    block_s: Positive = 2.0
    settle_s: Seconds = 20.0  # minimum uptime of a compared process
    least_requests: Annotated[int, Meta(ge=1)] = 40  # per block and side; smaller blocks are merged
    least_key: Annotated[int, Meta(ge=0)] = 400  # on the new side; FINE does not wait for keys with fewer
    tenant_times: Annotated[float, Meta(ge=1)] = 3.0  # threshold for tenants, relative to that for classes
    fleet_harm: Share = 0.1  # drop of the in-time share below the baseline that suspends the comparison
    harms: HarmThresholds = HarmThresholds()


class SlotPlan(_Section, frozen=True, kw_only=True):
    """The slot of one proxy."""

    name: Name
    zone: Name
    door: Annotated[str, Meta(min_length=1)]  # address of its supervisor's API
    ops: Annotated[str, Meta(min_length=1)]  # address of its proxy's admin API


class Version(_Section, frozen=True, kw_only=True):
    """The command and environment with which a supervisor starts a version."""

    command: Annotated[tuple[str, ...], Meta(min_length=1)]
    environment: dict[str, str] = {}


class Plan(_Section, frozen=True, kw_only=True):
    """The plan of a rollout."""

    roll: RollSettings
    version: dict[str, Version]
    place: Annotated[tuple[SlotPlan, ...], Meta(min_length=2)]
    stage: Annotated[tuple[Stage, ...], Meta(min_length=1)] = (
        Stage(part="one"),
        Stage(part=0.1),
        Stage(part=0.5),
        Stage(part=1.0),
    )
    compare: ComparisonSettings = ComparisonSettings()

    def target_count(self, stage: int) -> int:
        """Return the number of slots that have the new version in a stage."""
        part = self.stage[stage].part
        return 1 if part == "one" else max(1, ceil(part * len(self.place) - ROUNDING))

    def max_unavailable(self, zone: str) -> int:
        """Return the number of slots of a zone that may be unavailable at a time."""
        size = sum(slot.zone == zone for slot in self.place)
        return max(1, int(self.roll.most_of_zone * size + ROUNDING))

    def replacement_order(self) -> tuple[str, ...]:
        """Return the slot names in replacement order: round-robin over zones, in plan order within each."""
        zones: dict[str, list[str]] = {}
        for slot in self.place:
            zones.setdefault(slot.zone, []).append(slot.name)
        rounds = max(map(len, zones.values()))
        # Largest zones first: there, old proxies remain in the zone for the comparison.
        by_size = sorted(zones.values(), key=len, reverse=True)
        return tuple(names[n] for n in range(rounds) for names in by_size if n < len(names))


def find_inconsistencies(plan: Plan) -> Iterator[tuple[str, str]]:
    """Yield the key and the reason of each value that is inconsistent with others."""
    for key in ("version", "old"):
        name = getattr(plan.roll, key)
        if plan.roll.kind == "program" and name not in plan.version:
            yield f"roll.{key}", f"must be one of {', '.join(sorted(plan.version)) or 'the versions'}"
    if plan.roll.version == plan.roll.old:
        yield "roll.version", "must differ from roll.old"
    yield from _find_duplicates(plan.place)
    yield from _find_stage_inconsistencies(plan)


def _find_duplicates(slots: Sequence[SlotPlan]) -> Iterator[tuple[str, str]]:
    for key in ("name", "door", "ops"):
        seen: dict[str, int] = {}
        for n, slot in enumerate(slots):
            value = getattr(slot, key)
            if value in seen:
                yield f"place[{n}].{key}", f"is used by place[{seen[value]}] already"
            seen.setdefault(value, n)


def _find_stage_inconsistencies(plan: Plan) -> Iterator[tuple[str, str]]:
    parts = [0.0 if stage.part == "one" else stage.part for stage in plan.stage]
    for n in range(1, len(parts)):
        if parts[n - 1] >= parts[n]:
            yield f"stage[{n}].part", "must be more than that of the previous stage"
    last = len(parts) - 1
    if plan.target_count(last) < len(plan.place):
        yield f"stage[{last}].part", "must be 1.0: the last stage covers all slots"
    for n, stage in enumerate(plan.stage):
        least = stage.soak_s + plan.compare.settle_s
        if stage.longest_s <= least:
            yield f"stage[{n}].longest_s", f"must be above the sum of soak_s and compare.settle_s, {least:g}"


CHECKS: validation.Checks = {Plan: find_inconsistencies}


def parse(text: bytes, name: str = "plan") -> Plan:
    """Return the plan in the text of a plan file.

    Raises:
        ValidationError: The plan is not valid; the error lists all violations.
    """
    return validation.build(validation.parse(text, name), Plan, name, CHECKS)


def digest(text: bytes) -> str:
    """Return the digest that identifies a plan in the stored state of its rollout."""
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
