"""Scenarios of the placement simulation: workloads, faults and results."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from tests.fleet.placement.emulated_server import PrefillLog, Profile

REPEATED_PREFILL_PRICE = 0.94  # value deducted per 1,000 tokens of shared blocks prefilled again


@dataclass(frozen=True)
class Workload:
    """Requests of one type; times are in seconds, and sizes are lognormal (mean, sigma)."""

    name: str
    rate: float  # requests per second over all routers
    latency_target: float
    deadline: float
    value: float
    late_value: float
    priority: int
    max_attempts: int
    resumable: bool
    shared: tuple[tuple[float, float, int], ...]  # per shared block: tokens, sigma, number of variants
    own: tuple[float, float]  # tokens, sigma
    events: tuple[float, float]
    event_gap_target: float = 0.2


# long prompts whose shared block is one of few, for streams that may run only once
LONG_PROMPTS = Workload(
    "letter", 8.0, 0.8, 10.0, 2.0, 0.6, 1, 1, False, ((13_300, 0.7, 44),), (3_720, 1.1), (30, 1.4)
)
# short, urgent prompts of streams that another backend may continue
SHORT_PROMPTS = Workload(
    "reply", 110.0, 0.4, 5.0, 3.0, 0.9, 0, 2, True,
    ((55, 0.4, 40), (37, 0.7, 1462)), (291, 1.4), (11.3, 1.4),
)  # fmt: skip


@dataclass(frozen=True)
class Fault:
    """A fault of one server, or a change of the traffic."""

    kind: str  # "crash", "dark" (no output), "hot" (one shared block dominates), "burst", "replace";
    # "errors" and "mute": part of the server's requests fail or get no response
    at: float
    duration: float
    strength: float = 1.0  # part of the requests that are affected, or factor of the traffic


@dataclass(frozen=True)
class Scenario:
    """The configuration of a simulation."""

    routers: int = 6
    servers: int = 5
    duration: float = 24.0
    workloads: tuple[Workload, ...] = (LONG_PROMPTS, SHORT_PROMPTS)
    profile: Profile = field(default_factory=Profile)
    faults: tuple[Fault, ...] = ()
    load: float = 1.0
    imbalance: float = 0.4  # maximum relative deviation of a router's traffic from the mean
    reports_progress: bool = True


@dataclass
class WorkloadStats:
    """Results of one workload's requests."""

    possible_value: float = 0.0
    actual_value: float = 0.0
    requests: int = 0
    served: int = 0
    late: int = 0
    rejected: int = 0
    first_event_times: list[float] = field(default_factory=list)


@dataclass
class Result:
    """Results of a simulation."""

    stats_by_workload: dict[str, WorkloadStats]
    log: PrefillLog
    retries: int
    arrivals: int
    sent: int
    rows: int

    @property
    def ratio(self) -> float:
        """The achieved value minus the price of repeated prefills, as a ratio of the possible value."""
        possible_value = sum(each.possible_value for each in self.stats_by_workload.values())
        actual_value = sum(each.actual_value for each in self.stats_by_workload.values())
        return (actual_value - REPEATED_PREFILL_PRICE * self.log.repeated_tokens / 1000) / possible_value

    def value_ratio(self, name: str) -> float:
        stats = self.stats_by_workload[name]
        return stats.actual_value / stats.possible_value

    def line(self) -> str:
        columns = [f"{self.ratio:.4f}"]
        for name, stats in self.stats_by_workload.items():
            times = sorted(stats.first_event_times) or [0.0]
            p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
            columns.append(
                f"{name} {self.value_ratio(name):.4f} served {stats.served}/{stats.requests}"
                f" late {stats.late}"
                f" p50 {p50 * 1000:.0f} p99 {p99 * 1000:.0f} ms"
            )
        columns.append(
            f"prefilled again {self.log.repeated_tokens / 1000:.0f}k"
            f" wasted {self.log.wasted_tokens / 1000:.0f}k"
        )
        columns.append(f"retries {self.retries} rows {self.rows}")
        return "  ".join(columns)


def lognormal(rng: random.Random, mean: float, sigma: float, maximum: float = math.inf) -> float:
    if not sigma:
        return mean
    return min(maximum, rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma))
