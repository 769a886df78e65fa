"""What a cold box may be sent: tokens, dealt out among the proxies that send to it.

Rules that hold here and nowhere else:

1. The budget is some 1.25 to 1.8 times what the box is thought able to, in even parts for its senders.
2. In a small fleet the box's homes send, and a peer that is not heard is left its part: it may deal the
   slices anew. In a large one all proxies send, heard or not: the one home of a slice of one box sees a
   fortieth of its keys, and so a box whose home alone sent did a fifth of what it could.
3. Where all send, each meets a box with a part of a token: full ones would be spent together.
4. The budget is a guess, so the attempts out there, of all proxies as far as heard, stay within one room.
"""

from __future__ import annotations

import random

from firvane.core.balancing.records import Backend
from firvane.proxy.capacity.backend_estimates import BackendEstimates

BOLD = 1.25  # of what a cold box is thought able to: 1.6 kept the rule on all days tried, 1.9 did not
BOLD_ALL = 1.8  # where all send and one room bounds them: twice that kept the rule on all days tried


def rate(evidence: BackendEstimates, server: Backend, senders: int, now: float) -> tuple[float, float]:
    """Tokens a second that a cold server gets here, and how many it may have."""
    part = evidence.relative_rate.get(server.entry.kind, 1.0)
    able = evidence.slow_start_fraction(server, now) * (server.weight * part)
    bold = BOLD_ALL if evidence.is_pooled else BOLD
    each = max(bold * able * evidence.fleet_rate, 1.0) / senders
    return each, max(1.0, 0.3 * each * evidence.settings.rules.fall_window)


def refill(
    evidence: BackendEstimates, server: Backend, senders: int, now: float, dice: random.Random
) -> bool:
    """Bring its tokens up to date; whether they allow a send."""
    each, most = rate(evidence, server, senders, now)
    if evidence.is_pooled and server.tokens_at < (server.started_at or 0.0):
        server.tokens, server.tokens_at = dice.random(), now
    server.tokens, server.tokens_at = min(most, server.tokens + each * (now - server.tokens_at)), now
    held = server.in_flight + server.peers_in_flight if evidence.is_pooled else 0
    return server.tokens >= 1.0 and held < max(1.0, server.capacity)
