"""What the decision module believes, read out of it in words that receivers can be told.

Rules that hold here and nowhere else:

1. Nothing is decided here: power, room, coldness, budgets and doubts are the module's own, asked as it asks
   itself before a send.
2. A box that the list names as draining or does not name is not among those read, whatever is believed.
3. The receivers stand for one proxy of the tier, this one. Its part of a cold box's budget is theirs.
"""

from __future__ import annotations

from collections.abc import Mapping

from firvane.address import Address
from firvane.choice import Balancer
from firvane.control.words import Box
from firvane.rooms import cold

LEAST = 1e-3  # power is never less: a box is left alone for a reason, not for a small number
TRIAL = 2.0  # requests a second to a box that is being tried again


def read(balancer: Balancer, addresses: Mapping[str, Address], now: float) -> tuple[Box, ...]:
    """Each box that may be sent to, in the order of their names."""
    found = []
    for server in balancer.up:
        name = server.entry.id
        if name not in addresses:
            continue
        budget = None
        if balancer.evidence.is_cold(server, now):
            senders = balancer.senders(server)
            allowed = senders > 0 and now >= balancer.heard_at
            budget = cold.rate(balancer.evidence, server, senders, now)[0] if allowed else 0.0
        elif server.fails > 1:
            budget = TRIAL
        found.append(
            Box(
                name,
                addresses[name],
                server.entry.zone,
                max(LEAST, balancer.evidence.power(server, now)),
                server.room,
                budget,
                server.retry_at > now,
            )
        )
    return tuple(found)
