"""Random scenarios within the operators' experience, and the balance of a fleet's capacity and load."""

from __future__ import annotations

from itertools import pairwise
from math import ceil, exp
from random import Random
from typing import NamedTuple, get_args

from msgspec.structs import replace

from firvane.simulation.emulation.clients import popularity
from firvane.simulation.emulation.scenario import (
    Boxes,
    Load,
    Network,
    Retries,
    Scenario,
    Trouble,
    TroubleKind,
)

NEVER_DRAWN = (
    "power",
    "stall",
    "link",
    "away",
    "clock",
    "change",
)  # only used where a scenario names them
KINDS: tuple[TroubleKind, ...] = tuple(kind for kind in get_args(TroubleKind) if kind not in NEVER_DRAWN)
LATEST = 50.0  # s from the start by which all troubles have begun
AT_ONCE = ("kill", "herd", "restart", "reset")
RATE_PER_BOX = 710.0 / 14.0  # requests per second on the operators' ordinary days


class Balance(NamedTuple):
    """Capacity and load in standard cores, as the mean over all draws."""

    capacity: float
    cold: float  # load if no backend ever had a key cached
    warm: float  # load if each key always went to the same backend

    @property
    def utilisation(self) -> float:
        """The utilisation with cached keys."""
        return self.warm / self.capacity


def balance(scenario: Scenario) -> Balance:
    """Return the capacity of a scenario's fleet, and its load outside of troubles."""
    boxes, load = scenario.boxes, scenario.load
    shares = sum(kind.share for kind in boxes.kinds)
    cores = sum(kind.share / shares * kind.cores * sum(kind.speed) / 2.0 for kind in boxes.kinds)
    cold = load.rate * sum(load.work_ms) / 2e3
    _, cumulative = popularity(load, 0)
    parts = [after - before for before, after in pairwise([0.0, *cumulative, 1.0])]
    # A key is cached if it was last requested within the cache time; arrivals are independent.
    seconds = sum(boxes.remembers_s) / 2.0
    warm = sum(part * (1.0 - exp(-part * load.rate * seconds)) for part in parts)
    saved = warm * sum(boxes.remembered_saves) / 2.0
    return Balance(boxes.count * cores, cold, cold * (1.0 - saved))


def draw(seed: int) -> Scenario:
    """Return a scenario of 60 s with three to six troubles of any kinds, of which at least two overlap."""
    rng = Random(f"draw/{seed}")
    boxes = replace(Boxes(), count=rng.randint(10, 20), stops_on_cancel=rng.random() < 0.5)
    retries = Retries(
        most=rng.randint(0, 2),
        how=rng.choice(("none", "at-once", "wait", "lockstep")),
        heeds_retry_after=rng.random() < 0.6,
        marked=rng.random() < 0.8,
    )
    load = replace(
        Load(),
        rate=round(RATE_PER_BOX * boxes.count * rng.uniform(0.8, 1.1), 1),
        keys=rng.randint(1100, 3000),
        popularity=round(rng.uniform(0.56, 0.9), 3),
        retries=retries,
    )
    network = replace(Network(), peer_loss=round(rng.uniform(0.0, 0.1), 3))
    troubles: list[Trouble] = []
    for number in range(rng.randint(3, 6)):
        kind = rng.choice([kind for kind in KINDS if number or kind not in AT_ONCE])
        at = rng.uniform(5.0, 40.0)
        if number == 1:
            # The second trouble begins while the first lasts, whatever else is drawn.
            first = troubles[0]
            at = min(LATEST, first.at_s + rng.uniform(0.0, 0.9) * (first.for_s or first.drain_s))
        troubles.append(trouble(rng, kind, round(at, 2), boxes.count, len(network.zones)))
    return Scenario(
        name=f"drawn-{seed}",
        about=f"Drawn from seed {seed}: {', '.join(one.kind for one in troubles)}.",
        seed=seed,
        boxes=boxes,
        load=load,
        network=network,
        troubles=tuple(sorted(troubles, key=lambda one: one.at_s)),
    )


def trouble(rng: Random, kind: TroubleKind, at: float, boxes: int, zones: int) -> Trouble:
    """Return a trouble of this kind, within the operators' ranges, for numbers of backends and zones."""

    def between(low: float, high: float) -> float:
        return round(rng.uniform(low, high), 3)

    match kind:
        case "silent":
            # Up to a fifth of all backends, all in one zone.
            most = max(1, int(0.2 * boxes)) / ceil(boxes / zones)
            return Trouble(kind=kind, at_s=at, for_s=between(13.0, 29.0), part=between(0.3 * most, most))
        case "burst":
            return Trouble(kind=kind, at_s=at, for_s=between(9.6, 20.0), times=between(2.8, 5.5))
        case "cut":
            return Trouble(kind=kind, at_s=at, for_s=between(5.3, 20.0))
        case "deploy":
            part, within, batch = between(0.4, 0.93), between(23.0, 39.0), between(0.12, 0.2)
            batches = ceil(round(part * boxes) / max(1, int(batch * boxes)))
            return Trouble(
                kind=kind, at_s=at, for_s=within, part=part, batch=batch,
                drain_s=between(1.0, min(6.0, within / batches)),
            )  # fmt: skip
        case "pause":
            return Trouble(kind=kind, at_s=at, for_s=between(2.6, 6.0), part=between(0.07, 0.3))
        case "drain":
            return Trouble(kind=kind, at_s=at, part=between(0.05, 0.1), drain_s=between(2.0, 6.0))
        case "crash":
            return Trouble(kind=kind, at_s=at, for_s=between(1.0, 8.0), part=between(0.05, 0.2))
        case "churn":
            return Trouble(
                kind=kind, at_s=at, for_s=between(10.0, 30.0), every_s=between(3.0, 8.0),
                drain_s=between(2.0, 4.0),
            )  # fmt: skip
        case "lockstep":
            return Trouble(kind=kind, at_s=at, for_s=between(8.0, 20.0))
        case "slow":
            return Trouble(
                kind=kind, at_s=at, for_s=between(5.0, 20.0), part=between(0.07, 0.3),
                part_speed=between(0.2, 0.6),
            )  # fmt: skip
        case "reset":
            return Trouble(kind=kind, at_s=at, part=between(0.1, 1.0))
        case "herd":
            return Trouble(kind=kind, at_s=at, part=between(0.4, 0.8))
        case "kill" | "restart":
            return Trouble(kind=kind, at_s=at)
        case _:
            raise ValueError(f"{kind} is not drawn")
