"""When a proxy calls for its list, and when a call or a watch has fallen silent: one clock for all of them.

Rules that hold here and nowhere else:

1. Where the list is sent unasked, the agent that answers is on the proxy's own machine: a call is free and
   one that failed is made again soon, since what the list says binds a proxy whether it has it or not.
2. Where it is asked for, one service answers the whole fleet, so much a second; whoever waits too long in its
   queue fails, and has cost it as much. So a fleet that starts together with a list of old calls spread over
   a span that grows with its size up to MOST; after a failure each pause is twice the last. All are drawn:
   proxies that failed together must not call together again.
3. A proxy that knows no list at all calls at once: there is nothing that it could do meanwhile.
4. A watch that has brought a line is silent SILENCE after its last one. Discovery writes one every 2 s, and
   what a silent watch misses binds 6 s after it fell silent: two lines are missed by then, and more than a
   second is left to hear on another one.
5. Where calls are free, the agent answers at once. One that has brought no byte within ANSWER is made anew,
   and at once: the agent may be deaf to what was asked while discovery was down, and what it gets at the
   return binds at once. No pause is added, so that some call stands at nearly every moment.
6. An answer that has begun there, and has no line yet, may stop for ANSWER; each further one that stopped
   there may for twice as long, up to SILENCE in all: an agent that is only slow is heard in the end.
   Whoever has a list to go on with (the start) waits no longer than ANSWER in any case.
7. Where calls cost, one may wait in the queue: it is given SILENCE from its beginning on, and no less.
8. Any line, be it empty, is an answer: the next failure is the first again.
9. Whatever failed before, a change binds 6 s after discovery has it and could be reached. So no pause is
   longer than MOST, nor a fleet's span, however large it is: that leaves a call the time that it may wait.
   One after a silence, which has taken most of those 6 s, is the first again.
"""

from __future__ import annotations

import random
from typing import NamedTuple

# s before a call is made again, where it is free. What the agent has binds whether a watch is open or not,
# after a drain's grace, which may be as short as a quarter of a second.
FIRST, LONGEST = 0.1, 0.2
ANSWER = 0.2  # s without a byte after which a free call is given up; bound as those are
SILENCE = 4.5  # s without a line, empty or not, after which a watch is given up
EACH = 0.1  # s of a fleet's calls that each proxy of it is given, where one service answers them all
MOST = 3.0  # s between two calls there, and of the span, at the most


class Heard(NamedTuple):
    """What has been heard on one watch, as times on the loop's clock; None: nothing yet."""

    called: float  # when the call began
    asked: float | None  # when its connection stood, and the request went out
    byte: float | None  # when anything last came
    line: float | None  # when a line did

    def out_at(self) -> float:
        """Since when the call is out, as far as is known."""
        return self.called if self.asked is None else self.asked


class Pauses:
    """How long to wait before each call, and for its answer."""

    def __init__(self, fleet: int, dice: random.Random) -> None:
        """`fleet` proxies call one service, or 0 where calls are free."""
        self.span, self.dice = min(EACH * fleet, MOST), dice
        self.told()

    def told(self) -> None:
        """A call was answered: the next failure is the first again."""
        self.pause = self.span or FIRST
        self.begun = ANSWER  # s for which an answer may stop before its first line

    def before_first(self, known: bool) -> float:
        """s before the first call; `known` where some list is there already."""
        return self.dice.uniform(0.0, self.span) if known else 0.0

    def before_next(self, silent: bool = False) -> float:
        """s after a call that failed or a watch that broke; `silent`: it was given up for its silence."""
        if silent and not self.span:
            return 0.0
        if silent:
            self.pause = self.span
        pause, most = self.pause, MOST if self.span else LONGEST
        self.pause = min(most, 2.0 * pause)
        return pause * self.dice.uniform(0.5, 1.0) if self.span else pause

    def silent_at(self, heard: Heard) -> float:
        """When a watch of which no more than this has been heard has fallen silent."""
        if heard.line is not None:
            return heard.line + SILENCE
        if self.span:
            return heard.called + SILENCE
        asked = heard.out_at()
        if heard.byte is not None:
            return min(heard.byte + self.begun, asked + SILENCE)
        return asked + ANSWER

    def answer_at(self, heard: Heard | None) -> float:
        """Until when a call may be waited for before its first line where nothing else is: for free ones."""
        return 0.0 if heard is None or self.span else heard.out_at() + ANSWER

    def gave_up(self, heard: Heard) -> None:
        """A watch was judged silent with no more heard on it than this."""
        if heard.line is None and heard.byte is not None:
            self.begun = min(SILENCE, 2.0 * self.begun)
