"""Checks a scenario: bounds of its numbers, and consistency of its parts. Each check yields key and reason.

Bounds follow from the names: names ending in `_s` or `_ms` are durations, `share`, `part` and the like are
parts of one, a pair is a range. Other bounds are in `LEAST` and `MOST`.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

from firvane.simulation.emulation.scenario import (
    Boxes,
    Community,
    Kind,
    Load,
    Network,
    Part,
    Proxies,
    Retries,
    Roll,
    Scenario,
    Trouble,
)

Found = Iterator[tuple[str, str]]

OF_ONE = re.compile(
    r"(.*_)?(share|part|loss|chance|error|saves|abandon|vanishing|leaving|leave_reset|slow_readers|batch"
    r"|crowded_from"
    r"|never|late)$"
)
LEAST = {"share": 1e-6, "cores": 0.01, "speed": 0.01, "proxy": -1, "other": -1}  # 0 for other names
LEAST |= {"step_s": -1e9}
LEAST |= dict.fromkeys(("count", "slots_per_core", "connections", "keys", "at_once"), 1)
LEAST |= dict.fromkeys(("quota", "warm_s", "aim_s", "deadline_s", "rate", "work_ms"), 1e-3)
LEAST |= {"lease_s": 0.5}
LEAST |= {"leave_s": 1e-3}
LEAST |= dict.fromkeys(("fall_multiple", "times", "part_speed", "every_s", "beat_s"), 1e-3)
LEAST |= {"seconds": 1.0, "memory_mb": 21, "sockets": 64, "back_s": 0.01}
MOST = {"most": 10, "count": 5000, "rate": 200_000.0, "seconds": 86_400.0, "keys": 10_000_000}
MOST |= {"at_once": 64}
MOST |= {"body_bytes": 65_536, "popularity": 5.0, "cores": 1024, "fall_chance": 10.0, "connections": 100_000}
MOST_PROXIES, MOST_VOTERS = 64, 5


def figures(part: Part) -> Found:
    """Check each number against its bounds, and the order of each pair."""
    for key in part.__struct_fields__:
        value: Any = getattr(part, key)
        pair = isinstance(value, tuple) and len(value) == 2 and isinstance(value[0], int | float)
        if isinstance(value, bool) or not (pair or isinstance(value, int | float)):
            continue
        low, high = value if pair else (value, value)
        least, most = LEAST.get(key, 0), MOST.get(key, 1.0 if OF_ONE.match(key) else None)
        if isinstance(part, Trouble) and key == "part_speed":
            most = 100.0
        if isinstance(part, Trouble) and key in ("aim_s", "deadline_s", "quota"):
            least = 0  # 0 leaves the policy's value unchanged
        if low < least:
            yield key, f"is {low:g}, below {least:g}"
        elif low > high:
            yield key, f"is a range from {low:g} down to {high:g}"
        if most is not None and high > most:
            yield key, f"is {high:g}, above {most:g}"


def _named(key: str, names: list[str]) -> Found:
    if not names:
        yield key, "is empty"
    for index, name in enumerate(names):
        if not name or name in names[:index]:
            yield f"{key}[{index}]", f"has the name {name!r} again" if name else "has no name"


def boxes(part: Boxes) -> Found:
    yield from figures(part)
    yield from _named("kinds", [kind.name for kind in part.kinds])


def load(part: Load) -> Found:
    yield from figures(part)
    yield from _named("communities", [community.name for community in part.communities])
    if part.aim_s > part.deadline_s:
        yield "aim_s", f"is above deadline_s, {part.deadline_s:g}"
    if part.popular >= part.keys:
        yield "popular", f"is {part.popular}, and there are {part.keys} keys"
    if not re.fullmatch(r"[A-Za-z0-9._~-]+", part.request_class) or part.request_class == "up":
        yield "request_class", f"is {part.request_class!r}, which is no first part of a path"


def network(part: Network) -> Found:
    yield from figures(part)
    yield from _named("zones", list(part.zones))


def proxies(part: Proxies) -> Found:
    yield from figures(part)
    if part.count > MOST_PROXIES:
        yield "count", f"is {part.count}, above {MOST_PROXIES}"
    if part.voters > min(part.count, MOST_VOTERS):
        yield "voters", f"is {part.voters}, above {min(part.count, MOST_VOTERS)}"


def roll(part: Roll) -> Found:
    yield from figures(part)
    if not part.stages or list(part.stages) != sorted(set(part.stages)) or part.stages[-1] != 1.0:
        yield "stages", "are not ascending parts up to 1"
    if not all(0 <= stage <= 1 for stage in part.stages):
        yield "stages", "are parts from 0, which is one proxy, to 1"


def scenario(whole: Scenario) -> Found:
    """Check the troubles and the rollout against the rest of the scenario."""
    yield from figures(whole)
    if not whole.name:
        yield "name", "is empty"
    if whole.warm_up_s >= whole.seconds:
        yield "warm_up_s", f"is {whole.warm_up_s:g}, and the whole lasts {whole.seconds:g} s"
    communities = {community.name for community in whole.load.communities}
    if whole.proxies.voters and not whole.network.peers:
        yield (
            "proxies.voters",
            f"is {whole.proxies.voters}, but network.peers is off",
        )
    if whole.roll and whole.proxies.count < 2:
        yield "roll", "needs at least two proxies: new ones are compared with old ones"
    if whole.roll and whole.roll.at_s >= whole.seconds:
        yield "roll.at_s", f"is {whole.roll.at_s:g}, and the whole lasts {whole.seconds:g} s"
    for index, trouble in enumerate(whole.troubles):
        at = f"troubles[{index}]"
        if trouble.at_s >= whole.seconds:
            yield f"{at}.at_s", f"is {trouble.at_s:g}, and the whole lasts {whole.seconds:g} s"
        if trouble.zone and trouble.zone not in whole.network.zones:
            yield f"{at}.zone", f"is {trouble.zone!r}, not one of {', '.join(whole.network.zones)}"
        if trouble.community and trouble.community not in communities:
            yield f"{at}.community", f"is {trouble.community!r}, not one of {', '.join(sorted(communities))}"
        if trouble.proxy >= whole.proxies.count:
            yield f"{at}.proxy", f"is {trouble.proxy}, and there are {whole.proxies.count} proxies, from 0"
        if trouble.other >= whole.proxies.count:
            yield f"{at}.other", f"is {trouble.other}, and there are {whole.proxies.count} proxies, from 0"
        if trouble.never + trouble.late > 1.0:
            yield f"{at}.late", f"and never are {trouble.never + trouble.late:g} together, above 1"
        if trouble.kind == "change" and not whole.proxies.voters and whole.proxies.change_by != "files":
            yield f"{at}.kind", "is a change, and no proxies vote: proxies.voters is 0"
        if trouble.kind == "cut" and len(whole.network.zones) < 2:
            yield f"{at}.kind", "is a cut, and there is one zone"


CHECKS: dict[type, Any] = {
    Boxes: boxes,
    Community: figures,
    Kind: figures,
    Load: load,
    Network: network,
    Proxies: proxies,
    Retries: figures,
    Roll: roll,
    Scenario: scenario,
    Trouble: figures,
}
