"""What a proxy's `measures` say, and the block that two of them make. Pure.

Rules that hold here and nowhere else:

1. Two samples make a block where they are of one process and neither of them goes back. Else there is none.
2. What is missing or of another form is a `ValueError`: nothing is guessed for a proxy that counts otherwise.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from firvane.proxy.rollout.messages import Block, Counts, Side, Use

FIELDS = ("taken", "in_time", "refused", "failed", "attempts")


@dataclass(frozen=True)
class Sample:
    """Counts since the start of a process."""

    pid: int
    up: float
    by: Mapping[str, Counts]
    use: Use


def sample(answer: str) -> Sample:
    """What an answer says; `ValueError` where it is none."""
    said = json.loads(answer.split("\n", 1)[0])
    try:
        by = {
            f"{kind}:{name}": _counts(counts)
            for kind, part in (("class", "classes"), ("tenant", "tenants"))
            for name, counts in said[part].items()
        }
        use = Use(float(said["cpu_s"]), float(said["rss_mb"]), int(said["descriptors"]), int(said["errors"]))
        return Sample(int(said["pid"]), float(said["uptime_s"]), by, use)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"these are no measures: {error!r}") from None


def _counts(said: Mapping[str, Any]) -> Counts:
    latency = {int(number): int(count) for number, count in said["latency"].items()}
    return Counts(**{name: int(said[name]) for name in FIELDS}, latency=latency)


def block(old: Sample, new: Sample, at: float, zone: str, side: Side, proxy: str) -> Block | None:
    """What came between two samples; None where they do not follow one another."""
    if old.pid != new.pid or old.up >= new.up:
        return None
    nothing = Counts()
    by = {key: _less(counts, old.by.get(key, nothing)) for key, counts in new.by.items()}
    if any(getattr(counts, name) < 0 for counts in by.values() for name in FIELDS):
        return None
    use = Use(
        max(0.0, new.use.cpu_s - old.use.cpu_s),
        new.use.rss_mb,
        new.use.descriptors,
        max(0, new.use.errors - old.use.errors),
    )
    return Block(at, zone, side, proxy, new.up, by, use)


def _less(new: Counts, old: Counts) -> Counts:
    latency = {n: count - old.latency.get(n, 0) for n, count in new.latency.items()}
    counts = {name: getattr(new, name) - getattr(old, name) for name in FIELDS}
    return Counts(**counts, latency={n: count for n, count in latency.items() if count > 0})


def flat(block: Block) -> dict[str, Any]:
    """A block as the report reads it: classes in one, by which each request counts once."""
    classes = [counts for key, counts in block.by.items() if key.startswith("class:")]
    latency: dict[int, int] = {}
    for counts in classes:
        for number, count in counts.latency.items():
            latency[number] = latency.get(number, 0) + count
    told: dict[str, Any] = {name: sum(getattr(counts, name) for counts in classes) for name in FIELDS}
    use = {"cpu_s": round(block.use.cpu_s, 4), "rss_mb": round(block.use.rss_mb, 2)}
    return {"proxy": block.proxy, "side": block.side.value, **told, "latency": latency, **use}
