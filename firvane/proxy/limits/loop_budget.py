"""Turns of the loop: how much is done in one, and who comes next.

Rules that hold here and nowhere else:

1. A turn has `TURN` units of work, one client `SHARE` of them. All that a client can cause counts: a
   request read, one answered without a decision, and, as the dearest, one that the decisions are asked
   about.
2. Who finds no more room in a turn waits in line, and each goes on in turn; nobody stands in it twice. Who
   has used up its own part, or has sent one request behind another, or asks far more than others do, waits
   in the line behind, of which each turn takes `BEHIND` units, and more only where nobody else is waiting.
3. The line is no longer than can be worked off in the time that a request may wait there. What comes when
   it is full is refused; of those who ask far more than others, when a quarter of it is.
4. Refusals have a budget of their own, `REFUSALS` a turn, and a line of their own. So they cost a bounded
   part of each turn however many there are: what cannot be done does not cost what can. They wait for
   nothing else.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

TURN, SHARE = 156, 52  # units of work in a turn: over all connections, and for one of them
READ_ONE, DECIDE = 1, 12  # units: read a request, or answer it outright; have it decided and sent
BEHIND = 52  # units a turn for those who have had their part
CHUNKED = 8  # units: read a step of a body in chunks, which may be of one byte each
REFUSALS = 30  # in a turn: some 0.7 ms beside the 2 to 3 ms of the requests that are decided in it
MORE_REFUSALS = 30  # and more of them the longer their line is, for none is to wait for long
LEAST_LINE = 48  # who may wait in any case: some four turns


class Worker(Protocol):
    """Who waits in line."""

    queued: bool

    def go_on(self, given: bool = False) -> None:
        """Work as long as `spend` allows; `given` in a turn of its own, for which it has waited."""

    def refuse(self) -> None:
        """Refuse what is here."""


class Turns:
    """The work of one turn, and the line of those who have more."""

    def __init__(self, call_soon: Callable[[Callable[[], None]], object], most_wait: float) -> None:
        """`call_soon` runs a callback in the next turn; `most_wait` is in seconds."""
        self.call_soon, self.most_wait = call_soon, most_wait
        self.line: deque[Worker] = deque()
        self.behind: deque[Worker] = deque()  # those who have had their part
        self.refused: deque[Worker] = deque()  # who waits for a refusal
        self.spent = 0  # units in this turn
        self.mine = 0  # of them by whoever works now
        self.taken = 0  # requests that went to the decisions, ever
        self.rate = 0.0  # of them a second, as last measured while there was more to do than could be done
        self._due = False

    def full(self, greedy: bool = False) -> bool:
        """Whether the line is as long as it may be, for one who asks no more than others or far more."""
        most = max(LEAST_LINE, int(self.rate * self.most_wait))
        return 4 * len(self.line) >= most if greedy else len(self.line) >= most

    def begin(self) -> None:
        """Somebody begins to work; what it spends from now on is its own part."""
        self.mine = 0

    def spend(self, units: int) -> bool:
        """Whether there is room for so much more in this turn, for whoever works now; it is then counted."""
        if self.spent + units > TURN or self.mine + units > SHARE:
            return False
        self.spent += units
        self.mine += units
        if units >= DECIDE:
            self.taken += 1
        self._call()
        return True

    def wait(self, worker: Worker, behind: bool = False) -> None:
        """Let it go on in a turn to come, after those that wait already; `behind` if it has had its part."""
        if not worker.queued:
            worker.queued = True
            (self.behind if behind or self.mine + DECIDE > SHARE else self.line).append(worker)
            self._call()

    def refuse(self, worker: Worker) -> None:
        """Have it refused at the end of the next turn, where its budget allows, with the others in one go.

        Together they cost less: whoever reads the answers is woken by the first.
        """
        if not worker.queued:
            worker.queued = True
            self.refused.append(worker)
            self._call()

    def _call(self) -> None:
        if not self._due:
            self._due = True
            self.call_soon(self.turn)

    def turn(self) -> None:
        """The next turn begins: those who wait go on, in their order, once each at the most."""
        self._due, self.spent = False, 0
        self._take(self.line, TURN - BEHIND if self.behind else TURN)
        self._take(self.behind, TURN if not self.line else self.spent + BEHIND)
        waiting = len(self.refused)
        for _ in range(min(waiting, REFUSALS + min(MORE_REFUSALS, waiting // 32))):
            worker = self.refused.popleft()
            worker.queued = False
            worker.refuse()
        if self.line or self.behind or self.refused:
            self._call()

    def _take(self, line: deque[Worker], most: int) -> None:
        for _ in range(len(line)):
            if self.spent > most - DECIDE - READ_ONE:
                return
            worker = line.popleft()
            worker.queued = False
            worker.go_on(given=True)
