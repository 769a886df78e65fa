"""Who gets how much: the module's beliefs and the receivers' demand into an assignment for each group.

Rules that hold here and nowhere else:

1. The sum over all receivers counts. A budgeted box gets no more than its budget of all that they send; what
   finds no place because every box is budgeted is dropped, at once and by the receiver itself.
2. Demand goes by power, as the module's target does, and the excess of one zone moves to others by the same
   greedy pairing; what is within `MARGIN` of its zone's target stays there.
3. Receivers of a group get one assignment, whatever each asks: shares of traffic, so that they add up.
4. The weights of a zone's places add up to about `SUM`, so that receivers which multiply the weight of the
   zone with that of the place and those which first divide by the zone's sum send alike.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from firvane.core.balancing.greedy_pairing import pair
from firvane.proxy.control.types import NOWHERE, Assignment, Box, Health, Locality, Place

MARGIN = 0.15  # of a zone's target: an excess below that crosses no zone
SUM, WHOLE = 100_000, 1000  # of the weights of a zone's places; of the weights of zones
SAME = 0.2  # a weight that differs by less than that part is no news
DROPS = 10_000  # parts that drops are told in


def fill(demand: float, powers: Sequence[float], budgets: Sequence[float | None]) -> list[float]:
    """Demand poured out by power, none over its budget; less than all of it where budgets bind everywhere."""
    shares = [0.0] * len(powers)
    # The tightest first: once one is not bound, none behind it is.
    tight = sorted(
        (budget / power, i)
        for i, (power, budget) in enumerate(zip(powers, budgets, strict=True))
        if budget is not None
    )
    left, weight = demand, sum(powers)
    bound = set()
    for level, i in tight:
        if weight <= 1e-12 or level * weight >= left:
            break
        budget = budgets[i] or 0.0
        shares[i] = min(budget, left)
        left -= shares[i]
        weight -= powers[i]
        bound.add(i)
    if weight > 1e-9 and left > 0:
        for i, power in enumerate(powers):
            if i not in bound:
                shares[i] = left * power / weight
    return shares


def divide(boxes: Sequence[Box], demand: Mapping[int, float]) -> dict[int, Assignment]:
    """An assignment for each zone that has boxes or receivers, and for those who stand in none.

    `demand` is what receivers in a zone send, in requests a second. Where nobody sends anything yet, each
    zone counts as sending one: the weights are then the powers, and budgeted boxes get next to nothing.
    """
    able = [box for box in boxes if not box.doubted]
    if not able:  # nothing is believed to be well: all of them are as good as each other
        able = list(boxes)
    zones = sorted({box.zone for box in boxes} | set(demand) - {NOWHERE})
    asked = {zone: max(0.0, demand.get(zone, 0.0)) for zone in zones}
    nowhere = max(0.0, demand.get(NOWHERE, 0.0))
    total = sum(asked.values()) + nowhere
    if total <= 0.0:
        asked, total = dict.fromkeys(zones, 1.0), float(len(zones) or 1)
    shares = fill(total, [box.power for box in able], [box.budget for box in able])
    target = dict.fromkeys(zones, 0.0)
    bounded = {zone: True for zone in zones}
    for box, share in zip(able, shares, strict=True):
        target[box.zone] += share
        bounded[box.zone] = bounded[box.zone] and box.budget is not None
    placed = sum(target.values())
    part = placed / total  # less than 1 where budgets bind everywhere
    # Who stands nowhere is served by all, as the boxes can; the zones' own demand meets what that leaves.
    theta = {}
    for zone in zones:
        room = target[zone] * (1.0 - nowhere / total) if total else 0.0
        excess = asked[zone] * part - room
        small = not bounded[zone] and 0.0 < excess <= MARGIN * room
        theta[zone] = 0.0 if small else -excess
    flows: dict[int, dict[int, float]] = {zone: {} for zone in zones}
    for giver, taker, moved in pair(dict(theta)):
        flows[giver][taker] = flows[giver].get(taker, 0.0) + moved
    # What each zone's boxes really get, and how that falls on them within their budgets.
    gets = {zone: target[zone] * (nowhere / total) for zone in zones}
    parts: dict[int, dict[int, float]] = {NOWHERE: {zone: target[zone] / (placed or 1.0) for zone in zones}}
    for zone in zones:
        served = asked[zone] * part
        out = sum(flows[zone].values())
        parts[zone] = {**flows[zone], zone: max(0.0, served - out)}
        for other, amount in parts[zone].items():
            gets[other] += amount
        if served <= 0.0:  # nobody there asks now: whoever comes first goes where the boxes are
            parts[zone] = dict(parts[NOWHERE])
            if target[zone] > 0.0:
                parts[zone] = {zone: 1.0}
    # Where nobody is allowed anything, all is dropped; and what crossed no zone must still fit.
    local = _within(boxes, able, zones, gets)
    over = {zone: max(0.0, gets[zone] - sum(local[zone].values())) / (gets[zone] or 1.0) for zone in zones}
    found = {}
    for group in (NOWHERE, *zones):
        row = parts[group]
        whole = sum(row.values())
        lost = sum(amount / whole * over[zone] for zone, amount in row.items()) if whole > 0.0 else 0.0
        kept = part * (1.0 - lost) if boxes else 0.0
        found[group] = Assignment(
            tuple(_localities(boxes, row, local)), round(DROPS * min(1.0, max(0.0, 1.0 - kept)))
        )
    return found


def _within(
    boxes: Sequence[Box], able: Sequence[Box], zones: Iterable[int], gets: Mapping[int, float]
) -> dict[int, dict[str, float]]:
    """What each box gets of what its zone gets."""
    found: dict[int, dict[str, float]] = {}
    for zone in zones:
        here = [box for box in able if box.zone == zone]
        # A zone that gets nothing now still has weights: whoever comes between two states goes by them.
        amount = gets[zone] if gets[zone] > 0.0 else 1e-3
        shares = fill(amount, [box.power for box in here], [box.budget for box in here])
        found[zone] = {box.name: share for box, share in zip(here, shares, strict=True)}
    return found


def _localities(
    boxes: Sequence[Box], row: Mapping[int, float], local: Mapping[int, Mapping[str, float]]
) -> Iterable[Locality]:
    whole = sum(row.values()) or 1.0
    by_zone: dict[int, list[Box]] = {}
    for box in boxes:
        by_zone.setdefault(box.zone, []).append(box)
    for zone, here in sorted(by_zone.items()):
        shares = local[zone]
        total = sum(shares.values())
        places = []
        for box in here:
            weight = round(SUM * shares.get(box.name, 0.0) / total) if total > 0.0 else 0
            # Weight 0 is no weight in xDS: who gets nothing is listed as unwell.
            health = Health.HEALTHY if weight >= 1 else Health.UNHEALTHY
            places.append(Place(box.name, box.address, max(1, weight), health))
        weight = round(WHOLE * row.get(zone, 0.0) / whole)
        yield Locality(zone, weight, tuple(places))


def is_news(old: Assignment | None, new: Assignment) -> bool:
    """Whether receivers should hear of it: another box, health or address, or another weight by enough."""
    if old is None or len(old.localities) != len(new.localities):
        return True
    if _far(old.dropped, new.dropped, 0.02 * DROPS):
        return True
    for before, after in zip(old.localities, new.localities, strict=True):
        if before.zone != after.zone or len(before.places) != len(after.places):
            return True
        if _far(before.weight, after.weight, 0.03 * WHOLE):
            return True
        usual = SUM / (len(after.places) or 1)
        for was, now in zip(before.places, after.places, strict=True):
            if (was.box, was.address, was.health) != (now.box, now.address, now.health):
                return True
            if _far(was.weight, now.weight, 0.1 * usual):
                return True
    return False


def _far(old: float, new: float, least: float) -> bool:
    return abs(new - old) > max(SAME * max(old, new), least)
