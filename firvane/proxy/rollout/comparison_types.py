"""The inputs and the results of a comparison of versions: blocks of measurements, and findings.

Invariants:

1. Times are seconds on one clock of the caller; counts are of one block, not since the process start.
2. Latency buckets are computed by `latency_bucket`, eight per doubling, so that both sides have the same
   bucket boundaries.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import floor, log2

BUCKETS_PER_DOUBLING = 8
MIN_LATENCY_S = 1e-6  # lower latencies are raised to this value
ROUNDING = 1e-9  # so that a boundary value falls into the bucket that starts there


def latency_bucket(latency_s: float) -> int:
    """Return the bucket of a latency: bucket 0 starts at 1 µs, bucket 8 at 2 µs."""
    doublings = log2(max(MIN_LATENCY_S, latency_s) / MIN_LATENCY_S)
    return floor(BUCKETS_PER_DOUBLING * doublings + ROUNDING)


def bucket_start_s(bucket: int) -> float:
    """Return the lowest latency of a bucket, in seconds."""
    return float(MIN_LATENCY_S * 2 ** (bucket / BUCKETS_PER_DOUBLING))


class Side(Enum):
    """The version of a proxy."""

    OLD = "old"
    NEW = "new"


class Verdict(Enum):
    """The verdict of a comparison."""

    WORSE = "worse"
    FINE = "fine"
    CANNOT_TELL = "cannot tell yet"


@dataclass(frozen=True)
class RequestCounts:
    """Counts of the requests of one key that ended in a block.

    A request that is not in time, refused or failed was late.
    """

    taken: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    latency: Mapping[int, int] = field(default_factory=dict)  # answered requests by `latency_bucket`


@dataclass(frozen=True)
class ResourceUsage:
    """Resource usage of one process: CPU and log lines during the block, the rest at its end."""

    cpu_s: float = 0.0
    rss_mb: float = 0.0
    descriptors: int = 0
    errors: int = 0  # error lines of the log


@dataclass(frozen=True)
class Block:
    """The measurements of one proxy from `at - block_s` to `at`."""

    at: float
    zone: str
    side: Side
    proxy: str
    uptime_s: float  # of the process at the block's end
    counts: Mapping[
        str, RequestCounts
    ]  # by "class:NAME" and "tenant:NAME"; a request counts once in each kind
    usage: ResourceUsage = ResourceUsage()


@dataclass(frozen=True)
class Finding:
    """The result of a comparison, and the metric that decided it."""

    verdict: Verdict
    reason: str  # one sentence
    metric: str = ""  # a field of `plan.HarmThresholds`; "" if no single metric decides
    key: str = ""  # of `Block.counts`; "" for the process as a whole
    old: float = 0.0
    new: float = 0.0
    bound: float = 0.0  # bound of the difference: the lower one for WORSE, else the upper one
    threshold: float = 0.0  # the smallest difference that counts as harm
