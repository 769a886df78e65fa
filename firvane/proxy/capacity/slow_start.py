"""The budget of a server in slow start: tokens, shared by the proxies that send to it.

Invariants:

1. The budget is some 1.25 to 1.8 times what the server is estimated to do, in even parts for its senders.
2. In a small fleet the owners of its slices send, and a partitioned peer is left its part: it may deal the
   slices anew. In a large one all proxies send, as the one owner of a slice sees few of its keys.
3. Where all send, each starts with a random part of a token: full ones would be spent together.
4. The budget is an estimate, so the attempts there, of all proxies as far as known, stay within its capacity.
"""

from __future__ import annotations

import random

from firvane.core.balancing.records import Backend
from firvane.proxy.capacity.backend_estimates import BackendEstimates

OVERCOMMIT = 1.25  # of what a server in slow start is estimated to do
POOLED_OVERCOMMIT = 1.8  # the same where all proxies send, as one capacity bounds them
BURST_FRACTION = 0.3  # of the tokens of the rule's window, that a proxy may have at once


def rate(evidence: BackendEstimates, server: Backend, senders: int, now: float) -> tuple[float, float]:
    """Tokens a second that a server in slow start gets here, and how many it may have."""
    part = evidence.relative_rate.get(server.entry.kind, 1.0)
    able = evidence.slow_start_fraction(server, now) * (server.weight * part)
    overcommit = POOLED_OVERCOMMIT if evidence.is_pooled else OVERCOMMIT
    each = max(overcommit * able * evidence.fleet_rate, 1.0) / senders
    return each, max(1.0, BURST_FRACTION * each * evidence.settings.rules.fall_window)


def refill(
    evidence: BackendEstimates, server: Backend, senders: int, now: float, dice: random.Random
) -> bool:
    """Refill its tokens; whether they allow a send."""
    each, most = rate(evidence, server, senders, now)
    if evidence.is_pooled and server.tokens_at < (server.started_at or 0.0):
        server.tokens, server.tokens_at = dice.random(), now
    server.tokens, server.tokens_at = min(most, server.tokens + each * (now - server.tokens_at)), now
    held = server.in_flight + server.peers_in_flight if evidence.is_pooled else 0
    return server.tokens >= 1.0 and held < max(1.0, server.capacity)
