"""When a proxy calls for its list: soon where that costs nobody anything, in turn with its fleet elsewhere.

Rules that hold here and nowhere else:

1. Where the list is sent unasked, the agent that answers is on the proxy's own machine: a call is free and
   one that failed is made again soon, since what the list says binds a proxy whether it has it or not.
2. Where it is asked for, one service answers the whole fleet, so much a second; whoever waits too long in its
   queue fails, and has cost it as much. So a fleet that starts together with a list of old calls spread over
   a span that grows with its size, and after a failure each pause is twice the last. All of them are drawn:
   proxies that failed together must not call together again.
3. A proxy that knows no list at all calls at once: there is nothing that it could do meanwhile.
"""

from __future__ import annotations

import random

FIRST, LONGEST = 0.1, 1.0  # s before a call is made again, where it is free; what is told binds within 6 s
EACH = 0.1  # s of a fleet's calls that each proxy of it is given, where one service answers them all
MOST = 16.0  # s between two calls there at the most


class Pauses:
    """How long to wait before each call."""

    def __init__(self, fleet: int, dice: random.Random) -> None:
        """`fleet` proxies call one service, or 0 where calls are free."""
        self.span, self.dice = EACH * fleet, dice
        self.told()

    def told(self) -> None:
        """A call was answered: the next failure is the first again."""
        self.pause = self.span or FIRST

    def before_first(self, known: bool) -> float:
        """s before the first call; `known` where some list is there already."""
        return self.dice.uniform(0.0, self.span) if known else 0.0

    def before_next(self) -> float:
        """s after a call that failed or a watch that broke."""
        pause, most = self.pause, max(self.span, MOST) if self.span else LONGEST
        self.pause = min(most, 2.0 * pause)
        return pause * self.dice.uniform(0.5, 1.0) if self.span else pause
