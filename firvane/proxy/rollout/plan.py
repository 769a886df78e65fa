"""A roll's plan: versions, places, stages, what is compared and which harm counts.

Rules that hold here and nowhere else:

1. A plan is whole in itself: every place and version it names stands in it.
2. `_s` is seconds, parts are parts of one, harms are differences of the new side to the old one's.
3. A zone always lets one place go at a time, however small the part that may be out.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from math import ceil
from typing import Annotated, Literal

from msgspec import Meta, Struct

from firvane.core import validation

Positive = Annotated[float, Meta(gt=0)]
Seconds = Annotated[float, Meta(ge=0)]
Part = Annotated[float, Meta(gt=0, le=1)]
Share = Annotated[float, Meta(ge=0, le=1)]
Name = Annotated[
    str, Meta(pattern=r"[A-Za-z0-9_.-]{1,40}", extra={"form": "a name of letters, digits, '_', '.' and '-'"})
]


class _Part(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What all of them are."""


class Roll(_Part, frozen=True, kw_only=True):
    """What changes, and what becomes of it when it does worse."""

    version: Name
    old: Name
    kind: Literal["program", "settings"] = "program"
    on_worse: Literal["back", "stay"] = "back"
    before_s: Seconds = 30.0  # for which the fleet is measured before the first stage
    least_before: Share = 0.5  # of its requests answered in time then: under it the roll asks first
    ready_s: Positive = 15.0  # until the new process answers ready and serves
    prove_s: Seconds = 3.0  # for which it must go on doing so under its first requests
    end_s: Positive = 10.0  # until the old one is killed
    tries: Annotated[int, Meta(ge=1, le=10)] = 2  # orders that may come to nothing before the roll stops
    ask_s: Positive = 86400.0  # for which a pause waits for an operator
    back_s: Positive = 600.0  # for which going back waits for places that are down
    most_of_zone: Part = 0.34  # of its places may be out at a time
    at_once: Annotated[int, Meta(ge=1)] = 1  # replacements

    @property
    def order_s(self) -> float:
        """After which an order of which nothing was heard is taken for lost."""
        return self.ready_s + self.prove_s + self.end_s + 5.0


class Stage(_Part, frozen=True, kw_only=True):
    """How many places have the new version, for how long, and what then."""

    part: Literal["one"] | Part
    soak_s: Positive = 120.0  # of judged time, at the least
    longest_s: Positive = 900.0  # from its first replacement: the roll asks then
    at_end: Literal["go", "pause"] = "go"


class Harms(_Part, frozen=True, kw_only=True):
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


class Limits(_Part, frozen=True, kw_only=True):
    """How old and new are compared."""

    alpha: Annotated[float, Meta(gt=0, lt=0.5)] = 0.05  # false alarms, over the whole roll
    unsure: Annotated[float, Meta(gt=0, lt=0.5)] = 0.1  # chance that FINE overlooks such a harm
    block_s: Positive = 2.0
    settle_s: Seconds = 20.0  # of a new process that are left out
    least_requests: Annotated[int, Meta(ge=1)] = 40  # a block and side: blocks of fewer are joined
    least_key: Annotated[int, Meta(ge=0)] = 400  # of a tenant on the new side, or FINE does not ask for it
    tenant_times: Annotated[float, Meta(ge=1)] = 3.0  # the least harm to a tenant, in harms to a class
    fleet_harm: Share = 0.1  # the old side's share in time under that before, and nothing is judged
    harms: Harms = Harms()


class Place(_Part, frozen=True, kw_only=True):
    """One proxy's place in the tier."""

    name: Name
    zone: Name
    door: Annotated[str, Meta(min_length=1)]  # its keeper's
    ops: Annotated[str, Meta(min_length=1)]  # its proxy's


class Version(_Part, frozen=True, kw_only=True):
    """How a place starts it."""

    command: Annotated[tuple[str, ...], Meta(min_length=1)]
    environment: dict[str, str] = {}


class Plan(_Part, frozen=True, kw_only=True):
    """All of it."""

    roll: Roll
    version: dict[str, Version]
    place: Annotated[tuple[Place, ...], Meta(min_length=2)]
    stage: Annotated[tuple[Stage, ...], Meta(min_length=1)] = (
        Stage(part="one"),
        Stage(part=0.1),
        Stage(part=0.5),
        Stage(part=1.0),
    )
    compare: Limits = Limits()

    def goal(self, stage: int) -> int:
        """How many places have the new version in a stage."""
        part = self.stage[stage].part
        return 1 if part == "one" else max(1, ceil(part * len(self.place) - 1e-9))

    def most_out(self, zone: str) -> int:
        """How many places of a zone may be out at a time."""
        size = sum(place.zone == zone for place in self.place)
        return max(1, int(self.roll.most_of_zone * size + 1e-9))

    def order(self) -> tuple[str, ...]:
        """Places in the order of their turns: from zone to zone, in each as the plan has them."""
        zones: dict[str, list[str]] = {}
        for place in self.place:
            zones.setdefault(place.zone, []).append(place.name)
        rounds = max(map(len, zones.values()))
        # The largest zones first: there the new have neighbours of the old version to be compared with.
        by_size = sorted(zones.values(), key=len, reverse=True)
        return tuple(names[n] for n in range(rounds) for names in by_size if n < len(names))


def whole(plan: Plan) -> Iterator[tuple[str, str]]:
    """What must fit together in a plan."""
    for key in ("version", "old"):
        name = getattr(plan.roll, key)
        if plan.roll.kind == "program" and name not in plan.version:
            yield f"roll.{key}", f"must be one of {', '.join(sorted(plan.version)) or 'the versions'}"
    if plan.roll.version == plan.roll.old:
        yield "roll.version", "is the old one"
    for key in ("name", "door", "ops"):
        seen: dict[str, int] = {}
        for n, place in enumerate(plan.place):
            value = getattr(place, key)
            if value in seen:
                yield f"place[{n}].{key}", f"is that of place[{seen[value]}] already"
            seen.setdefault(value, n)
    goals = [plan.goal(n) for n in range(len(plan.stage))]
    for n in range(1, len(goals)):
        before, now = plan.stage[n - 1].part, plan.stage[n].part
        if (0.0 if before == "one" else before) >= (0.0 if now == "one" else now):
            yield f"stage[{n}].part", "must be more than the stage's before it"
    if goals[-1] < len(plan.place):
        yield f"stage[{len(goals) - 1}].part", "must be 1.0: the last stage is all"
    for n, stage in enumerate(plan.stage):
        least = stage.soak_s + plan.compare.settle_s
        if stage.longest_s <= least:
            yield f"stage[{n}].longest_s", f"must be above soak_s and compare.settle_s together, {least:g}"


CHECKS: validation.Checks = {Plan: whole}


def parse(text: bytes, name: str = "plan") -> Plan:
    """The plan in a text; raises `validation.ValidationError` with everything that is wrong with it."""
    return validation.build(validation.parse(text, name), Plan, name, CHECKS)


def digest(text: bytes) -> str:
    """What a plan goes by in what is kept of its course."""
    return hashlib.blake2b(text, digest_size=16).hexdigest()
