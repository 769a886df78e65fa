"""Computes the assignment of each group from the backends' estimates and the receivers' demand.

1. Budgets bound the sum over all receivers. If all backends have budgets, receivers drop the excess.
2. Demand is distributed in proportion to power, as in the decision module. The excess demand of one zone
   moves to other zones by the same greedy pairing; an excess within `ZONE_MARGIN` of its zone's target stays.
3. All receivers of a group get the same assignment. It consists of shares of their traffic, so that
   the sum over all receivers is as intended.
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


def distribute_within_budgets(
    demand: float, powers: Sequence[float], budgets: Sequence[float | None]
) -> list[float]:
    """Return each backend's share of the demand, by power within budgets; all budgets may bind below it."""
    shares = [0.0] * len(powers)
    # The tightest budget first: if a budget does not bind, no later one binds.
    by_tightness = sorted(
        (budget / power, i)
        for i, (power, budget) in enumerate(zip(powers, budgets, strict=True))
        if budget is not None
    )
    remaining, unbound_power = demand, sum(powers)
    bound_indices = set()
    for load_limit, i in by_tightness:
        if unbound_power <= ZERO_WEIGHT or load_limit * unbound_power >= remaining:
            break
        budget = budgets[i] or 0.0
        shares[i] = min(budget, remaining)
        remaining -= shares[i]
        unbound_power -= powers[i]
        bound_indices.add(i)
    if unbound_power > MIN_WEIGHT and remaining > 0:
        for i, power in enumerate(powers):
            if i not in bound_indices:
                shares[i] = remaining * power / unbound_power
    return shares


def compute_assignments(
    backends: Sequence[BackendEstimate], demand: Mapping[int, float]
) -> dict[int, Assignment]:
    """Compute an assignment for each zone with backends or receivers, and for receivers in no zone.

    `demand` is that of the receivers in each zone, in requests a second. Without any demand each zone counts
    as having one request a second, so that the weights are the powers.
    """
    eligible = [backend for backend in backends if not backend.ejected]
    if not eligible:  # all are ejected: use all of them
        eligible = list(backends)
    zones = sorted({backend.zone for backend in backends} | set(demand) - {UNKNOWN_ZONE})
    zone_demand = {zone: max(0.0, demand.get(zone, 0.0)) for zone in zones}
    unknown_zone_demand = max(0.0, demand.get(UNKNOWN_ZONE, 0.0))
    total = sum(zone_demand.values()) + unknown_zone_demand
    if total <= 0.0:
        zone_demand, total = dict.fromkeys(zones, 1.0), float(len(zones) or 1)
    shares = distribute_within_budgets(
        total, [backend.power for backend in eligible], [backend.budget_rps for backend in eligible]
    )
    zone_targets = dict.fromkeys(zones, 0.0)
    fully_budgeted = {zone: True for zone in zones}
    for backend, share in zip(eligible, shares, strict=True):
        zone_targets[backend.zone] += share
        fully_budgeted[backend.zone] = fully_budgeted[backend.zone] and backend.budget_rps is not None
    served_fraction = sum(zone_targets.values()) / total  # less than 1 if all backends are at their budgets
    flows = _cross_zone_flows(
        zone_demand, zone_targets, fully_budgeted, served_fraction, unknown_zone_demand / total
    )
    served_by = _demand_by_serving_zone(zone_demand, zone_targets, flows, served_fraction)
    assigned_demand = {zone: zone_targets[zone] * (unknown_zone_demand / total) for zone in zones}
    for zone in zones:
        for other, amount in served_by[zone].items():
            assigned_demand[other] += amount
        if zone_demand[zone] * served_fraction <= 0.0:  # for the first receiver: local backends, if any
            served_by[zone] = {zone: 1.0} if zone_targets[zone] > 0.0 else dict(served_by[UNKNOWN_ZONE])
    return _assignments(backends, eligible, served_by, assigned_demand, served_fraction)


def _assignments(
    backends: Sequence[BackendEstimate],
    eligible: Sequence[BackendEstimate],
    served_by: Mapping[int, Mapping[int, float]],
    assigned_demand: Mapping[int, float],
    served_fraction: float,
) -> dict[int, Assignment]:
    # Receivers drop the demand that exceeds the budgets of its serving zone, also of demand that stays in its
    # own zone; all of it if no backend may get requests.
    backend_shares = _backend_shares(backends, eligible, assigned_demand)
    excess_fraction = {
        zone: max(0.0, assigned_demand[zone] - sum(backend_shares[zone].values()))
        / (assigned_demand[zone] or 1.0)
        for zone in assigned_demand
    }
    assignments = {}
    for group in (UNKNOWN_ZONE, *assigned_demand):
        by_zone = served_by[group]
        total = sum(by_zone.values())
        dropped_fraction = (
            sum(amount / total * excess_fraction[zone] for zone, amount in by_zone.items())
            if total > 0.0
            else 0.0
        )
        accepted_fraction = served_fraction * (1.0 - dropped_fraction) if backends else 0.0
        assignments[group] = Assignment(
            tuple(_localities(backends, by_zone, backend_shares)),
            round(DROP_DENOMINATOR * min(1.0, max(0.0, 1.0 - accepted_fraction))),
        )
    return assignments


def _cross_zone_flows(
    zone_demand: Mapping[int, float],
    zone_targets: Mapping[int, float],
    fully_budgeted: Mapping[int, bool],
    served_fraction: float,
    unknown_share: float,
) -> dict[int, dict[int, float]]:
    """Return the demand that moves from each zone to others.

    Receivers in no zone are served by all zones in proportion to the zones' targets; the rest of each target
    is available to receivers in a zone.
    """
    surplus = {}
    for zone, demand in zone_demand.items():
        capacity = zone_targets[zone] * (1.0 - unknown_share)
        excess = demand * served_fraction - capacity
        is_small = not fully_budgeted[zone] and 0.0 < excess <= ZONE_MARGIN * capacity
        surplus[zone] = 0.0 if is_small else -excess
    flows: dict[int, dict[int, float]] = {zone: {} for zone in zone_demand}
    for source, destination, moved in pair(dict(surplus)):
        flows[source][destination] = flows[source].get(destination, 0.0) + moved
    return flows


def _demand_by_serving_zone(
    zone_demand: Mapping[int, float],
    zone_targets: Mapping[int, float],
    flows: Mapping[int, Mapping[int, float]],
    served_fraction: float,
) -> dict[int, dict[int, float]]:
    """Return the demand of each group by the zone that serves it."""
    placed = sum(zone_targets.values())
    served_by = {UNKNOWN_ZONE: {zone: zone_targets[zone] / (placed or 1.0) for zone in zone_demand}}
    for zone, demand in zone_demand.items():
        moved = sum(flows[zone].values())
        served_by[zone] = {**flows[zone], zone: max(0.0, demand * served_fraction - moved)}
    return served_by


def _backend_shares(
    backends: Sequence[BackendEstimate],
    eligible: Sequence[BackendEstimate],
    assigned_demand: Mapping[int, float],
) -> dict[int, dict[str, float]]:
    """Return the share of each backend in the demand of its zone, by zone."""
    shares_by_zone: dict[int, dict[str, float]] = {}
    for zone in assigned_demand:
        zone_backends = [backend for backend in eligible if backend.zone == zone]
        # A zone without demand still needs weights, for receivers that connect before the next snapshot.
        amount = assigned_demand[zone] if assigned_demand[zone] > 0.0 else MIN_ZONE_DEMAND
        shares = distribute_within_budgets(
            amount,
            [backend.power for backend in zone_backends],
            [backend.budget_rps for backend in zone_backends],
        )
        shares_by_zone[zone] = {
            backend.name: share for backend, share in zip(zone_backends, shares, strict=True)
        }
    return shares_by_zone


def _localities(
    backends: Sequence[BackendEstimate],
    zone_flows: Mapping[int, float],
    backend_shares: Mapping[int, Mapping[str, float]],
) -> Iterable[Locality]:
    total_flow = sum(zone_flows.values()) or 1.0
    by_zone: dict[int, list[BackendEstimate]] = {}
    for backend in backends:
        by_zone.setdefault(backend.zone, []).append(backend)
    for zone, zone_backends in sorted(by_zone.items()):
        shares = backend_shares[zone]
        total = sum(shares.values())
        endpoints = []
        for backend in zone_backends:
            weight = round(ENDPOINT_WEIGHT_SUM * shares.get(backend.name, 0.0) / total) if total > 0.0 else 0
            # xDS has no weight 0: a backend without requests is listed as unhealthy.
            health = Health.HEALTHY if weight >= 1 else Health.UNHEALTHY
            endpoints.append(WeightedEndpoint(backend.name, backend.address, max(1, weight), health))
        weight = round(LOCALITY_WEIGHT_SUM * zone_flows.get(zone, 0.0) / total_flow)
        yield Locality(zone, weight, tuple(endpoints))


def is_significant_change(old: Assignment | None, new: Assignment) -> bool:
    """Return whether a backend, health or address differs, or a weight differs enough to be sent."""
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


def _differs(old: float, new: float, min_change: float) -> bool:
    return abs(new - old) > max(MIN_RELATIVE_CHANGE * max(old, new), min_change)
