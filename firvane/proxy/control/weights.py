"""Computes the assignment of each group from the backends' estimates and the receivers' demand.

1. Budgets bound the sum over all receivers. If all backends have budgets, receivers drop the excess.
2. Demand is distributed by power, as in the decision module, and the excess of one zone moves to others by
   the same greedy pairing; an excess within `ZONE_MARGIN` of its zone's target stays there.
3. All receivers of a group get the same assignment: shares of traffic, so that they add up.
4. The weights of a zone's endpoints add up to about `ENDPOINT_WEIGHT_SUM`, so that receivers that multiply
   the weights of zone and endpoint behave like those that normalize within the zone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from firvane.core.balancing.greedy_pairing import pair
from firvane.proxy.control.types import (
    UNKNOWN_ZONE,
    Assignment,
    BackendEstimate,
    Health,
    Locality,
    WeightedEndpoint,
)

ZONE_MARGIN = 0.15  # of a zone's target: a smaller excess stays in the zone
ENDPOINT_WEIGHT_SUM = 100_000  # in one zone
LOCALITY_WEIGHT_SUM = 1000
MIN_ZONE_DEMAND = 1e-3  # so that a zone without demand has weights
ZERO_WEIGHT = 1e-12
MIN_WEIGHT = 1e-9
MIN_DROP_CHANGE = 0.02  # of all requests
MIN_LOCALITY_CHANGE = 0.03  # of all weights
MIN_ENDPOINT_CHANGE = 0.1  # of the average weight
MIN_RELATIVE_CHANGE = 0.2  # of a weight, to be significant
DROP_DENOMINATOR = 10_000


def fill(demand: float, powers: Sequence[float], budgets: Sequence[float | None]) -> list[float]:
    """Distribute demand by power within budgets; less than all of it if budgets bind everywhere."""
    shares = [0.0] * len(powers)
    # The tightest budget first: once one does not bind, none after it does.
    tight = sorted(
        (budget / power, i)
        for i, (power, budget) in enumerate(zip(powers, budgets, strict=True))
        if budget is not None
    )
    left, weight = demand, sum(powers)
    bound = set()
    for level, i in tight:
        if weight <= ZERO_WEIGHT or level * weight >= left:
            break
        budget = budgets[i] or 0.0
        shares[i] = min(budget, left)
        left -= shares[i]
        weight -= powers[i]
        bound.add(i)
    if weight > MIN_WEIGHT and left > 0:
        for i, power in enumerate(powers):
            if i not in bound:
                shares[i] = left * power / weight
    return shares


def divide(backends: Sequence[BackendEstimate], demand: Mapping[int, float]) -> dict[int, Assignment]:
    """Compute an assignment for each zone with backends or receivers, and for receivers in no zone.

    `demand` is that of the receivers in a zone, in requests a second. Without any demand each zone counts as
    having one request a second: the weights are then the powers.
    """
    able = [backend for backend in backends if not backend.ejected]
    if not able:  # all are ejected: use all of them
        able = list(backends)
    zones = sorted({backend.zone for backend in backends} | set(demand) - {UNKNOWN_ZONE})
    asked = {zone: max(0.0, demand.get(zone, 0.0)) for zone in zones}
    nowhere = max(0.0, demand.get(UNKNOWN_ZONE, 0.0))
    total = sum(asked.values()) + nowhere
    if total <= 0.0:
        asked, total = dict.fromkeys(zones, 1.0), float(len(zones) or 1)
    shares = fill(total, [backend.power for backend in able], [backend.budget_rps for backend in able])
    target = dict.fromkeys(zones, 0.0)
    bounded = {zone: True for zone in zones}
    for backend, share in zip(able, shares, strict=True):
        target[backend.zone] += share
        bounded[backend.zone] = bounded[backend.zone] and backend.budget_rps is not None
    part = sum(target.values()) / total  # less than 1 if budgets bind everywhere
    flows = _cross_zone_flows(asked, target, bounded, part, nowhere / total)
    rows = _rows(asked, target, flows, part)
    gets = {zone: target[zone] * (nowhere / total) for zone in zones}
    for zone in zones:
        for other, amount in rows[zone].items():
            gets[other] += amount
        if asked[zone] * part <= 0.0:  # without demand: the next receiver goes where the backends are
            rows[zone] = {zone: 1.0} if target[zone] > 0.0 else dict(rows[UNKNOWN_ZONE])
    return _assignments(backends, able, rows, gets, part)


def _assignments(
    backends: Sequence[BackendEstimate],
    able: Sequence[BackendEstimate],
    rows: Mapping[int, Mapping[int, float]],
    gets: Mapping[int, float],
    part: float,
) -> dict[int, Assignment]:
    # If no backend may get anything, all is dropped; and demand that crossed no zone must fit its budgets.
    local = _within(backends, able, gets)
    over = {zone: max(0.0, gets[zone] - sum(local[zone].values())) / (gets[zone] or 1.0) for zone in gets}
    found = {}
    for group in (UNKNOWN_ZONE, *gets):
        row = rows[group]
        whole = sum(row.values())
        lost = sum(amount / whole * over[zone] for zone, amount in row.items()) if whole > 0.0 else 0.0
        kept = part * (1.0 - lost) if backends else 0.0
        found[group] = Assignment(
            tuple(_localities(backends, row, local)),
            round(DROP_DENOMINATOR * min(1.0, max(0.0, 1.0 - kept))),
        )
    return found


def _cross_zone_flows(
    asked: Mapping[int, float],
    target: Mapping[int, float],
    bounded: Mapping[int, bool],
    part: float,
    unknown_share: float,
) -> dict[int, dict[int, float]]:
    """The demand that moves from each zone to others.

    Receivers in no zone are served by all zones in proportion to their targets; the zones' own demand meets
    what that leaves.
    """
    theta = {}
    for zone, demand in asked.items():
        capacity = target[zone] * (1.0 - unknown_share)
        excess = demand * part - capacity
        is_small = not bounded[zone] and 0.0 < excess <= ZONE_MARGIN * capacity
        theta[zone] = 0.0 if is_small else -excess
    flows: dict[int, dict[int, float]] = {zone: {} for zone in asked}
    for giver, taker, moved in pair(dict(theta)):
        flows[giver][taker] = flows[giver].get(taker, 0.0) + moved
    return flows


def _rows(
    asked: Mapping[int, float],
    target: Mapping[int, float],
    flows: Mapping[int, Mapping[int, float]],
    part: float,
) -> dict[int, dict[int, float]]:
    """The demand of each group by the zone that serves it."""
    placed = sum(target.values())
    rows = {UNKNOWN_ZONE: {zone: target[zone] / (placed or 1.0) for zone in asked}}
    for zone, demand in asked.items():
        moved = sum(flows[zone].values())
        rows[zone] = {**flows[zone], zone: max(0.0, demand * part - moved)}
    return rows


def _within(
    backends: Sequence[BackendEstimate],
    able: Sequence[BackendEstimate],
    gets: Mapping[int, float],
) -> dict[int, dict[str, float]]:
    """The share of each backend in the demand of its zone."""
    found: dict[int, dict[str, float]] = {}
    for zone in gets:
        here = [backend for backend in able if backend.zone == zone]
        # A zone without demand still needs weights, for receivers that connect before the next snapshot.
        amount = gets[zone] if gets[zone] > 0.0 else MIN_ZONE_DEMAND
        shares = fill(amount, [backend.power for backend in here], [backend.budget_rps for backend in here])
        found[zone] = {backend.name: share for backend, share in zip(here, shares, strict=True)}
    return found


def _localities(
    backends: Sequence[BackendEstimate], row: Mapping[int, float], local: Mapping[int, Mapping[str, float]]
) -> Iterable[Locality]:
    whole = sum(row.values()) or 1.0
    by_zone: dict[int, list[BackendEstimate]] = {}
    for backend in backends:
        by_zone.setdefault(backend.zone, []).append(backend)
    for zone, here in sorted(by_zone.items()):
        shares = local[zone]
        total = sum(shares.values())
        endpoints = []
        for backend in here:
            weight = round(ENDPOINT_WEIGHT_SUM * shares.get(backend.name, 0.0) / total) if total > 0.0 else 0
            # xDS has no weight 0: a backend without requests is listed as unhealthy.
            health = Health.HEALTHY if weight >= 1 else Health.UNHEALTHY
            endpoints.append(WeightedEndpoint(backend.name, backend.address, max(1, weight), health))
        weight = round(LOCALITY_WEIGHT_SUM * row.get(zone, 0.0) / whole)
        yield Locality(zone, weight, tuple(endpoints))


def is_significant_change(old: Assignment | None, new: Assignment) -> bool:
    """Whether receivers must get it: another backend, health or address, or a weight that differs enough."""
    if old is None or len(old.localities) != len(new.localities):
        return True
    if _differs(old.dropped, new.dropped, MIN_DROP_CHANGE * DROP_DENOMINATOR):
        return True
    for before, after in zip(old.localities, new.localities, strict=True):
        if before.zone != after.zone or len(before.endpoints) != len(after.endpoints):
            return True
        if _differs(before.weight, after.weight, MIN_LOCALITY_CHANGE * LOCALITY_WEIGHT_SUM):
            return True
        average = ENDPOINT_WEIGHT_SUM / (len(after.endpoints) or 1)
        for was, now in zip(before.endpoints, after.endpoints, strict=True):
            if (was.backend, was.address, was.health) != (now.backend, now.address, now.health):
                return True
            if _differs(was.weight, now.weight, MIN_ENDPOINT_CHANGE * average):
                return True
    return False


def _differs(old: float, new: float, least: float) -> bool:
    return abs(new - old) > max(MIN_RELATIVE_CHANGE * max(old, new), least)
