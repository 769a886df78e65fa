"""Computes, once a window, which share of each slice's demand moves to other slices.

A slice is identified by the index of its proxy or router. All functions are pure, and sums run in the order
of the given mappings, so that equal inputs give bit-identical results.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from firvane.core.balancing.greedy_pairing import pair
from firvane.core.balancing.records import total

WINDOW = 0.25  # s; much shorter than the seconds over which demand changes
SHARE_GAIN = 0.3  # part of the excess that is added per window; not 1, as rows are a window or two late
SHARE_RETENTION = 0.85  # part of a share that remains after a window
CROSS_ZONE_MARGIN = 0.15  # excess below this fraction of the target stays in its zone
MIN_SHARE = 0.01  # smaller shares are dropped

Shares = dict[tuple[int, int], float]  # (source, destination): fraction of the source's demand


def growth(forecast: float, arrivals: float, served: float, age: float) -> float:
    """Return a slice's expected growth, equation (1): the forecast, and the windows since its row arrived.

    Args:
        forecast: requests expected in the next window.
        arrivals: requests of the last window.
        served: responses a second.
        age: seconds since the row arrived.
    """
    return forecast + age // WINDOW * (arrivals - served * WINDOW)


def expected_load(load: Mapping[int, float], grown: Mapping[int, float], spread: bool) -> dict[int, float]:
    """Return the expected load of each slice; `spread`: keys spread demand, all grow by the same factor."""
    if not spread:
        return {n: max(0.0, load[n] + grown[n]) for n in load}
    factor = total(grown.values()) / (total(load.values()) or 1.0)
    return {n: max(0.0, load[n] * (1.0 + factor)) for n in load}


def imbalance(load: Mapping[int, float], target: Mapping[int, float]) -> dict[int, float]:
    """Return the free capacity (above 0) or excess load (below 0) of each slice.

    Differences within the random variation of a count are ignored: moving them only costs cache hits.
    """
    theta = {n: target[n] - load[n] for n in load}
    return {n: math.copysign(max(0.0, abs(t) - math.sqrt(target[n])), t) for n, t in theta.items()}


def next_shares(
    load: Mapping[int, float], mu: Mapping[int, float], zones: Mapping[int, int], shares: Shares
) -> Shares:
    """Return the next shares: weighted targets (2, 3) and greedy pairing (4), within zones first.

    `load` is the expected load and `mu` the capacity of the same slices; `shares` are the previous ones.
    """
    scale = total(load.values()) / (total(mu.values()) or 1.0)
    target = {n: mu[n] * scale for n in load}
    theta, flows = imbalance(load, target), list[tuple[int, int, float]]()
    by_zone = dict[int, dict[int, float]]()
    for n in load:
        by_zone.setdefault(zones[n], {})[n] = theta[n]
    for zone in sorted(by_zone):
        flows += pair(by_zone[zone])
        theta.update(by_zone[zone])
    flows += pair({n: min(0.0, t + CROSS_ZONE_MARGIN * target[n]) if t < 0 else t for n, t in theta.items()})
    result = {k: share * SHARE_RETENTION for k, share in shares.items() if share > MIN_SHARE}
    for source, sink, moved in flows:
        result[source, sink] = result.get((source, sink), 0.0) + SHARE_GAIN * moved / load[source]
    return result


def destinations(shares: Shares) -> dict[int, list[tuple[int, float]]]:
    """Return the destinations of each source slice with their shares, in index order."""
    result = dict[int, list[tuple[int, float]]]()
    for (source, sink), share in sorted(shares.items()):
        result.setdefault(source, []).append((sink, share))
    return result
