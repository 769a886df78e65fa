"""What the decision module believes, read out of it in words that receivers can be told.

Rules that hold here and nowhere else:

1. Nothing is decided here: power, room, coldness, budgets and doubts are the module's own, asked as it asks
   itself before a send.
2. A box that the list names as draining or does not name is not among those read, whatever is believed.
3. Where the module holds back because a box has no room, receivers are held to the rate that fills the room:
   the room divided by the time that an answer takes there.
4. The receivers stand for as many proxies of the tier as the service has places in it. Each place believes
   for itself, of its part of what receivers do; their budgets and rooms add up.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import replace

from firvane.core.address import Address
from firvane.proxy.balancer import Balancer
from firvane.proxy.capacity import slow_start
from firvane.proxy.control.types import Box

LEAST = 1e-3  # power is never less: a box is left alone for a reason, not for a small number
TRIAL = 2.0  # requests a second to a box that is being tried again


def read(
    balancer: Balancer, addresses: Mapping[str, Address], took: Mapping[str, float], now: float
) -> tuple[Box, ...]:
    """Each box that may be sent to, in the order of their names; `took` is s that an answer takes, by box."""
    found = []
    for server in balancer.up:
        name = server.entry.id
        if name not in addresses:
            continue
        budget = max(1.0, server.capacity) / took[name] if took.get(name) else None
        is_cold = balancer.estimates.is_in_slow_start(server, now)
        if is_cold:
            senders = balancer.slow_start_senders(server)
            allowed = senders > 0 and now >= balancer.peers_known_at
            part = slow_start.rate(balancer.estimates, server, senders, now)[0] if allowed else 0.0
            budget = part if budget is None else min(part, budget)
        elif server.failures > 1:
            budget = TRIAL
        found.append(
            Box(
                name,
                addresses[name],
                server.entry.zone,
                max(LEAST, balancer.estimates.power(server, now)),
                server.capacity,
                budget,
                is_cold,
                server.retry_at > now,
            )
        )
    return tuple(found)


def joined(places: Sequence[Sequence[Box]]) -> list[Box]:
    """What several places of one service believe, as one: each has its own part of a box."""
    if len(places) == 1:
        return list(places[0])
    by_name: dict[str, list[Box]] = {}
    for boxes in places:
        for box in boxes:
            by_name.setdefault(box.name, []).append(box)
    found = []
    for name in sorted(by_name):
        some = by_name[name]
        budgets = [box.budget for box in some]
        found.append(
            replace(
                some[0],
                power=sum(box.power for box in some),
                room=sum(box.room for box in some),
                # Without a bound at one place there is none: it is that one which sends more.
                budget=None if None in budgets else sum(budget or 0.0 for budget in budgets),
                cold=any(box.cold for box in some),
                doubted=2 * sum(box.doubted for box in some) >= len(some),
            )
        )
    return found
