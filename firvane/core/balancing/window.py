"""The arithmetic of a window: from the load of the slices to the shares that move between them.

A slice is known by the number of its router. All functions are pure, and sums run in the order of the
mappings handed in, so that equal inputs give equal bits.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from firvane.core.balancing.greedy_pairing import pair
from firvane.core.balancing.records import total

WINDOW = 0.25  # s; well under the seconds over which demand moves
SHARE_GAIN = 0.3  # part of the excess that a window adds to the shares: rows are a window or two late
SHARE_RETENTION = 0.85  # part of a share that a window keeps
CROSS_ZONE_MARGIN = 0.15  # excess below this part of the target stays in its zone
MIN_SHARE = 0.01  # a share that has faded to this is dropped

Shares = dict[tuple[int, int], float]  # part of the giver's demand that goes to the taker, by both


def growth(forecast: float, arrivals: float, served: float, age: float) -> float:
    """What a row adds to the load ahead, equation (1): its forecast, and the windows since it arrived.

    Args:
        forecast: requests of the next window.
        arrivals: requests of the last window.
        served: answers a second.
        age: seconds since the row arrived.
    """
    return forecast + age // WINDOW * (arrivals - served * WINDOW)


def ahead(load: Mapping[int, float], grown: Mapping[int, float], spread: bool) -> dict[int, float]:
    """The load of each slice ahead; `spread`: all demand grows alike, as keys spread it over the slices."""
    if not spread:
        return {n: max(0.0, load[n] + grown[n]) for n in load}
    swapped = total(grown.values()) / (total(load.values()) or 1.0)
    return {n: max(0.0, load[n] * (1.0 + swapped)) for n in load}


def excess(load: Mapping[int, float], target: Mapping[int, float]) -> dict[int, float]:
    """The free capacity (above 0) or excess (below 0) of each slice.

    What may be chance in a count is no excess: moving it takes keys off their warm servers for nothing.
    """
    theta = {n: target[n] - load[n] for n in load}
    return {n: math.copysign(max(0.0, abs(t) - math.sqrt(target[n])), t) for n, t in theta.items()}


def step(
    load: Mapping[int, float], mu: Mapping[int, float], zones: Mapping[int, int], shares: Shares
) -> Shares:
    """The next shares: weighted targets (2, 3), and the greedy pairing (4), zones first.

    `load` is the load ahead, `mu` what each slice can do, over the same slices; `shares` are the last ones.
    """
    scale = total(load.values()) / (total(mu.values()) or 1.0)
    target = {n: mu[n] * scale for n in load}
    theta, flows = excess(load, target), list[tuple[int, int, float]]()
    by_zone = dict[int, dict[int, float]]()
    for n in load:
        by_zone.setdefault(zones[n], {})[n] = theta[n]
    for zone in sorted(by_zone):
        flows += pair(by_zone[zone])
        theta.update(by_zone[zone])
    flows += pair({n: min(0.0, t + CROSS_ZONE_MARGIN * target[n]) if t < 0 else t for n, t in theta.items()})
    following = {k: share * SHARE_RETENTION for k, share in shares.items() if share > MIN_SHARE}
    for giver, taker, moved in flows:
        following[giver, taker] = following.get((giver, taker), 0.0) + SHARE_GAIN * moved / load[giver]
    return following


def moves(shares: Shares) -> dict[int, list[tuple[int, float]]]:
    """The takers of each giver with their shares, in the order of their numbers."""
    found = dict[int, list[tuple[int, float]]]()
    for (giver, taker), share in sorted(shares.items()):
        found.setdefault(giver, []).append((taker, share))
    return found
