"""What the laboratory plays: kinds of requests, faults, days, and how a day ended."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from tests.fleet.placement.emulated_server import Profile, ReadLog

PRICE_READ_AGAIN = 0.94  # of 1,000 tokens of shared parts


@dataclass(frozen=True)
class Kind:
    """A kind of request."""

    name: str
    rate: float  # a second over all routers
    aim: float
    deadline: float
    worth: float
    late_worth: float
    priority: int
    max_attempts: int
    resumable: bool
    shared: tuple[tuple[float, float, int], ...]  # tokens, spread, how many different, by part
    own: tuple[float, float]  # tokens, spread
    events: tuple[float, float]
    event_gap_target: float = 0.2


LETTER = Kind("letter", 8.0, 0.8, 10.0, 2.0, 0.6, 1, 1, False, ((13_300, 0.7, 44),), (3_720, 1.1), (30, 1.4))
REPLY = Kind(
    "reply", 110.0, 0.4, 5.0, 3.0, 0.9, 0, 2, True,
    ((55, 0.4, 40), (37, 0.7, 1462)), (291, 1.4), (11.3, 1.4),
)  # fmt: skip


@dataclass(frozen=True)
class Fault:
    """Something that happens to one server, or to the traffic."""

    kind: str  # "crash", "dark", "hot", "burst", "replace"; "errors", "mute": part of its requests fail
    at: float
    span: float
    strength: float = 1.0


@dataclass(frozen=True)
class Day:
    """What is played."""

    routers: int = 6
    servers: int = 5
    length: float = 24.0
    kinds: tuple[Kind, ...] = (LETTER, REPLY)
    profile: Profile = field(default_factory=Profile)
    faults: tuple[Fault, ...] = ()
    load: float = 1.0
    uneven: float = 0.4  # how far routers differ in what clients bring
    progress: bool = True


@dataclass
class Tally:
    """What became of the requests of one kind."""

    owed: float = 0.0
    earned: float = 0.0
    requests: int = 0
    served: int = 0
    late: int = 0
    refused: int = 0
    firsts: list[float] = field(default_factory=list)


@dataclass
class Result:
    """A day as it was played."""

    tallies: dict[str, Tally]
    log: ReadLog
    repeats: int
    arrivals: int
    sent: int
    rows: int

    @property
    def ratio(self) -> float:
        """Worth earned, less the price of parts that are read again, of the worth owed."""
        owed = sum(each.owed for each in self.tallies.values())
        earned = sum(each.earned for each in self.tallies.values())
        return (earned - PRICE_READ_AGAIN * self.log.again / 1000) / owed

    def share(self, kind: str) -> float:
        tally = self.tallies[kind]
        return tally.earned / tally.owed

    def line(self) -> str:
        parts = [f"{self.ratio:.4f}"]
        for name, tally in self.tallies.items():
            times = sorted(tally.firsts) or [0.0]
            p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
            parts.append(
                f"{name} {self.share(name):.4f} served {tally.served}/{tally.requests} late {tally.late}"
                f" p50 {p50 * 1000:.0f} p99 {p99 * 1000:.0f} ms"
            )
        parts.append(f"again {self.log.again / 1000:.0f}k wasted {self.log.wasted / 1000:.0f}k")
        parts.append(f"repeats {self.repeats} rows {self.rows}")
        return "  ".join(parts)


def lognormal(rng: random.Random, mean: float, spread: float, most: float = math.inf) -> float:
    if not spread:
        return mean
    return min(most, rng.lognormvariate(math.log(mean) - spread * spread / 2, spread))
