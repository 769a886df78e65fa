"""Responses to a proxy's `measures` call, and the block of measurements between two of them. Pure.

Invariants:

1. Two samples make a block only if they are of the same process and no count decreases.
2. A missing field or another format raises `ValueError`: no values are assumed for a proxy with other counts.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from firvane.proxy.rollout.comparison_types import Block, RequestCounts, ResourceUsage, Side

COUNT_FIELDS = ("taken", "in_time", "refused", "failed", "attempts")


@dataclass(frozen=True)
class Sample:
    """Counts of a process since its start."""

    pid: int
    uptime_s: float
    counts: Mapping[str, RequestCounts]
    usage: ResourceUsage


def parse_sample(answer: str) -> Sample:
    """Return the sample in a response.

    Raises:
        ValueError: The response holds no valid sample.
    """
    values = json.loads(answer.split("\n", 1)[0])
    try:
        counts = {
            f"{kind}:{name}": _parse_counts(entry)
            for kind, table in (("class", "classes"), ("tenant", "tenants"))
            for name, entry in values[table].items()
        }
        usage = ResourceUsage(
            float(values["cpu_s"]),
            float(values["rss_mb"]),
            int(values["descriptors"]),
            int(values["errors"]),
        )
        return Sample(int(values["pid"]), float(values["uptime_s"]), counts, usage)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"the measurements are not valid: {error!r}") from None


def _parse_counts(entry: Mapping[str, Any]) -> RequestCounts:
    latency = {int(bucket): int(count) for bucket, count in entry["latency"].items()}
    return RequestCounts(**{name: int(entry[name]) for name in COUNT_FIELDS}, latency=latency)


def make_block(old: Sample, new: Sample, at: float, zone: str, side: Side, proxy: str) -> Block | None:
    """Return the block between two samples; None if they are not consecutive samples of one process.

    Args:
        old: The earlier sample.
        new: The later sample.
        at: The time of the later sample, in seconds.
        zone: The zone of the proxy.
        side: The version of the proxy.
        proxy: The name of the proxy.
    """
    if old.pid != new.pid or old.uptime_s >= new.uptime_s:
        return None
    nothing = RequestCounts()
    counts = {key: _difference(entry, old.counts.get(key, nothing)) for key, entry in new.counts.items()}
    if any(getattr(entry, name) < 0 for entry in counts.values() for name in COUNT_FIELDS):
        return None
    usage = ResourceUsage(
        max(0.0, new.usage.cpu_s - old.usage.cpu_s),
        new.usage.rss_mb,
        new.usage.descriptors,
        max(0, new.usage.errors - old.usage.errors),
    )
    return Block(at, zone, side, proxy, new.uptime_s, counts, usage)


def _difference(new: RequestCounts, old: RequestCounts) -> RequestCounts:
    latency = {bucket: count - old.latency.get(bucket, 0) for bucket, count in new.latency.items()}
    counts = {name: getattr(new, name) - getattr(old, name) for name in COUNT_FIELDS}
    positive = {bucket: count for bucket, count in latency.items() if count > 0}
    return RequestCounts(**counts, latency=positive)


def to_event(block: Block) -> dict[str, Any]:
    """Return a block as the event log stores it: summed over all classes, so that a request counts once."""
    classes = [counts for key, counts in block.counts.items() if key.startswith("class:")]
    latency: dict[int, int] = {}
    for counts in classes:
        for bucket, count in counts.latency.items():
            latency[bucket] = latency.get(bucket, 0) + count
    sums: dict[str, Any] = {name: sum(getattr(counts, name) for counts in classes) for name in COUNT_FIELDS}
    usage = {"cpu_s": round(block.usage.cpu_s, 4), "rss_mb": round(block.usage.rss_mb, 2)}
    return {"proxy": block.proxy, "side": block.side.value, **sums, "latency": latency, **usage}
