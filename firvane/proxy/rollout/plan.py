"""The plan of a rollout: versions, slots, stages, how versions are compared and which harm counts.

Invariants:

1. A plan is complete: every slot and version that it names is in it.
2. `_s` is seconds, parts are fractions of one, harms are differences between the new side and the old one.
3. In a zone one slot may always be unavailable, however small the allowed part is.

The names of the fields are the keys of the file.
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
ROUNDING = 1e-9  # so that a part of a count that is whole stays whole

Positive = Annotated[float, Meta(gt=0)]
Seconds = Annotated[float, Meta(ge=0)]
Part = Annotated[float, Meta(gt=0, le=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[
    str, Meta(pattern=r"[A-Za-z0-9_.-]{1,40}", extra={"form": "a name of letters, digits, '_', '.' and '-'"})
]


class _Section(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of all sections."""


class RollSettings(_Section, frozen=True, kw_only=True):
    """What is rolled out, with its time-outs, and what is done when it does worse."""

    version: Name
    old: Name
    kind: Literal["program", "settings"] = "program"
    on_worse: Literal["back", "stay"] = "back"
    before_s: Seconds = 30.0  # how long the fleet is measured before the first stage
    least_before: Share = 0.5  # share of requests answered in time then; below it the rollout pauses first
    ready_s: Positive = 15.0  # until the new process answers ready and serves
    prove_s: Seconds = 3.0  # how long it must go on doing so under its first requests
    end_s: Positive = 10.0  # until the old process is killed
    tries: Annotated[int, Meta(ge=1, le=10)] = 2  # replacements that may fail before the rollout stops
    ask_s: Positive = 86400.0  # how long a pause waits for an operator
    back_s: Positive = 600.0  # how long going back waits for slots that are down
    most_of_zone: Part = 0.34  # of its slots may be unavailable at a time
    at_once: Annotated[int, Meta(ge=1)] = 1  # replacements in progress

    @property
    def order_timeout_s(self) -> float:
        """Time after which an order without a result counts as failed."""
        return self.ready_s + self.prove_s + self.end_s + ORDER_MARGIN_S


class Stage(_Section, frozen=True, kw_only=True):
    """How many slots have the new version, for how long, and what follows."""

    part: Literal["one"] | Part
    soak_s: Positive = 120.0  # of compared time, at least
    longest_s: Positive = 900.0  # from its first replacement; then the rollout pauses
    at_end: Literal["go", "pause"] = "go"


class HarmThresholds(_Section, frozen=True, kw_only=True):
    """The least harm that counts, by metric."""

    refused: Positive = 0.02  # share of the requests taken
    failed: Positive = 0.02
    late: Positive = 0.03  # not in time, for whatever reason
    slow: Positive = 0.05  # share above the old side's 0.9 quantile
    attempts: Positive = 0.15  # a request
    cpu: Positive = 0.25  # of a request, as a part of the old side's
    memory: Positive = 0.4  # MB a minute
    descriptors: Positive = 10.0  # a minute
    errors: Positive = 0.2  # lines a second


class ComparisonSettings(_Section, frozen=True, kw_only=True):
    """How the old and the new version are compared."""

    alpha: Annotated[float, Meta(gt=0, lt=0.5)] = 0.05  # probability of a false alarm, over the whole rollout
    unsure: Annotated[float, Meta(gt=0, lt=0.5)] = 0.1  # probability that FINE overlooks a harm that counts
    block_s: Positive = 2.0
    settle_s: Seconds = 20.0  # uptime of a process from which on it is compared
    least_requests: Annotated[int, Meta(ge=1)] = 40  # a block and side; smaller blocks are joined
    least_key: Annotated[int, Meta(ge=0)] = (
        400  # of a key on the new side; FINE does not wait for smaller ones
    )
    tenant_times: Annotated[float, Meta(ge=1)] = (
        3.0  # the threshold of a tenant, as a multiple of that of a class
    )
    fleet_harm: Share = 0.1  # in-time share below that before, at which nothing is compared
    harms: HarmThresholds = HarmThresholds()


class SlotPlan(_Section, frozen=True, kw_only=True):
    """One proxy's slot in the tier."""

    name: Name
    zone: Name
    door: Annotated[str, Meta(min_length=1)]  # the API of its supervisor
    ops: Annotated[str, Meta(min_length=1)]  # the admin API of its proxy


class Version(_Section, frozen=True, kw_only=True):
    """How a supervisor starts a version."""

    command: Annotated[tuple[str, ...], Meta(min_length=1)]
    environment: dict[str, str] = {}


class Plan(_Section, frozen=True, kw_only=True):
    """A whole plan."""

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
        """Return how many slots have the new version in a stage."""
        part = self.stage[stage].part
        return 1 if part == "one" else max(1, ceil(part * len(self.place) - ROUNDING))

    def max_unavailable(self, zone: str) -> int:
        """Return how many slots of a zone may be unavailable at a time."""
        size = sum(slot.zone == zone for slot in self.place)
        return max(1, int(self.roll.most_of_zone * size + ROUNDING))

    def replacement_order(self) -> tuple[str, ...]:
        """Return the slots in the order of their replacement: from zone to zone, in each as planned."""
        zones: dict[str, list[str]] = {}
        for slot in self.place:
            zones.setdefault(slot.zone, []).append(slot.name)
        rounds = max(map(len, zones.values()))
        # The largest zones first: there the new version has old neighbours to be compared with.
        by_size = sorted(zones.values(), key=len, reverse=True)
        return tuple(names[n] for n in range(rounds) for names in by_size if n < len(names))


def find_inconsistencies(plan: Plan) -> Iterator[tuple[str, str]]:
    """Yield the key and the reason of each value that does not fit the others."""
    for key in ("version", "old"):
        name = getattr(plan.roll, key)
        if plan.roll.kind == "program" and name not in plan.version:
            yield f"roll.{key}", f"must be one of {', '.join(sorted(plan.version)) or 'the versions'}"
    if plan.roll.version == plan.roll.old:
        yield "roll.version", "is the old one"
    yield from _find_duplicates(plan.place)
    yield from _find_stage_inconsistencies(plan)


def _find_duplicates(slots: Sequence[SlotPlan]) -> Iterator[tuple[str, str]]:
    for key in ("name", "door", "ops"):
        seen: dict[str, int] = {}
        for n, slot in enumerate(slots):
            value = getattr(slot, key)
            if value in seen:
                yield f"place[{n}].{key}", f"is that of place[{seen[value]}] already"
            seen.setdefault(value, n)


def _find_stage_inconsistencies(plan: Plan) -> Iterator[tuple[str, str]]:
    parts = [0.0 if stage.part == "one" else stage.part for stage in plan.stage]
    for n in range(1, len(parts)):
        if parts[n - 1] >= parts[n]:
            yield f"stage[{n}].part", "must be more than the stage's before it"
    last = len(parts) - 1
    if plan.target_count(last) < len(plan.place):
        yield f"stage[{last}].part", "must be 1.0: the last stage is all"
    for n, stage in enumerate(plan.stage):
        least = stage.soak_s + plan.compare.settle_s
        if stage.longest_s <= least:
            yield f"stage[{n}].longest_s", f"must be above soak_s and compare.settle_s together, {least:g}"


CHECKS: validation.Checks = {Plan: find_inconsistencies}


def parse(text: bytes, name: str = "plan") -> Plan:
    """Return the plan in a text.

    Raises:
        ValidationError: With everything that is wrong with it.
    """
    return validation.build(validation.parse(text, name), Plan, name, CHECKS)


def digest(text: bytes) -> str:
    """Return the digest that identifies a plan in the stored state of its rollout."""
    return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
