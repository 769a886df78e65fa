"""The send budget of a server in slow start: tokens, shared by the proxies that send to it.

Invariants:

1. The budget is 1.25 to 1.8 times the estimated rate of the server, in equal parts for its senders.
2. In a small fleet only the owners of its slices send; a partitioned peer keeps its part, since it may
   reassign the slices. In a large fleet all proxies send, as a single owner sees few of its slice's keys.
3. Where all proxies send, each starts with a random fraction of a token: full ones would be spent together.
4. The budget is an estimate, so the attempts of all known proxies there also stay within its capacity.
"""

from __future__ import annotations

import random

from firvane.core.balancing.records import Backend
from firvane.proxy.capacity.backend_estimates import BackendEstimates

OVERCOMMIT = 1.25  # budget relative to the estimated rate of the server
POOLED_OVERCOMMIT = 1.8  # the same where all proxies send, as one capacity bounds them all
BURST_FRACTION = 0.3  # of the tokens of the rules' `fall_window`: the most that a proxy may hold


def rate(estimates: BackendEstimates, server: Backend, senders: int, now: float) -> tuple[float, float]:
    """Return the tokens a second of a server in slow start for this proxy, and the most that it may hold."""
    kind_rate = estimates.relative_rate.get(server.entry.kind, 1.0)
    estimated_rate = estimates.slow_start_fraction(server, now) * (server.weight * kind_rate)
    overcommit = POOLED_OVERCOMMIT if estimates.is_pooled else OVERCOMMIT
    token_rate = max(overcommit * estimated_rate * estimates.fleet_rate, 1.0) / senders
    return token_rate, max(1.0, BURST_FRACTION * token_rate * estimates.settings.rules.fall_window)


def refill(
    estimates: BackendEstimates, server: Backend, senders: int, now: float, rng: random.Random
) -> bool:
    """Refill a server's tokens; return whether tokens and capacity allow a send."""
    token_rate, max_tokens = rate(estimates, server, senders, now)
    if estimates.is_pooled and server.tokens_at < (server.started_at or 0.0):
        server.tokens, server.tokens_at = rng.random(), now
    server.tokens, server.tokens_at = (
        min(max_tokens, server.tokens + token_rate * (now - server.tokens_at)),
        now,
    )
    total_in_flight = server.in_flight + server.peers_in_flight if estimates.is_pooled else 0
    return server.tokens >= 1.0 and total_in_flight < max(1.0, server.capacity)
