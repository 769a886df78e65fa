"""The budget of one iteration of the event loop: how much work is done in it, and whose work is next.

Invariants:

1. An iteration has `ITERATION_UNITS` of work, one connection `CONNECTION_UNITS` of them. Everything that a
   client can cause counts: a request that is read, one that is answered without a decision, and, as the
   most expensive, one that needs a decision.
2. A worker that exceeds the budget is queued, once at most, and goes on in order. One that has used up its
   own units, has pipelined requests, or asks far more than others do, waits in a low-priority queue, of
   which each iteration takes `LOW_PRIORITY_UNITS`, and more only where nobody else waits.
3. The queue is no longer than can be served in the time that a request may wait in it. What arrives when it
   is full is rejected; from clients that ask far more than others, when it is a quarter full.
4. Rejections have a budget of their own, `REJECTIONS_PER_ITERATION`, and a queue of their own, so that they
   cost a bounded fraction of each iteration however many there are.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

ITERATION_UNITS = 156  # of work in an iteration, over all connections
CONNECTION_UNITS = 52  # for one connection
READ_UNITS = 1  # to read a request, or answer it outright
DECISION_UNITS = 12  # to have a request decided and sent
LOW_PRIORITY_UNITS = 52  # an iteration, for those that have used up their own
CHUNKED_READ_UNITS = 8  # to read a step of a chunked body, whose chunks may have one byte each
REJECTIONS_PER_ITERATION = 30
MAX_EXTRA_REJECTIONS = 30  # the longer their queue is
MIN_QUEUE_LENGTH = 48  # that is admitted in any case


class Worker(Protocol):
    """Whoever has work that can wait for a later iteration."""

    queued: bool

    def go_on(self, given: bool = False) -> None:
        """Work as long as `spend` allows; `given` where it has waited for this iteration."""

    def refuse(self) -> None:
        """Reject what is pending."""


class LoopBudget:
    """The work of one iteration, and the queues of those that have more."""

    def __init__(self, call_soon: Callable[[Callable[[], None]], object], max_wait_s: float) -> None:
        """`call_soon` runs a callback in the next iteration; `max_wait_s` bounds the wait in the queue."""
        self.call_soon, self.max_wait_s = call_soon, max_wait_s
        self.queue: deque[Worker] = deque()
        self.low_priority: deque[Worker] = deque()  # those that have used up their own units
        self.rejections: deque[Worker] = deque()  # those that wait for a rejection
        self.spent = 0  # units in this iteration
        self.spent_by_worker = 0  # of them by the current worker
        self.decided = 0  # requests that went to the decisions, ever
        self.rate = 0.0  # of them a second, in the last period with a backlog
        self._due = False

    def full(self, greedy: bool = False) -> bool:
        """Whether the queue is full, for a client that asks no more than others or, `greedy`, far more."""
        most = max(MIN_QUEUE_LENGTH, int(self.rate * self.max_wait_s))
        return 4 * len(self.queue) >= most if greedy else len(self.queue) >= most

    def begin(self) -> None:
        """A worker begins; what is spent from now on is its own."""
        self.spent_by_worker = 0

    def spend(self, units: int) -> bool:
        """Whether the iteration and the worker may spend so many units more; they are then counted."""
        if self.spent + units > ITERATION_UNITS or self.spent_by_worker + units > CONNECTION_UNITS:
            return False
        self.spent += units
        self.spent_by_worker += units
        if units >= DECISION_UNITS:
            self.decided += 1
        self._call()
        return True

    def wait(self, worker: Worker, low_priority: bool = False) -> None:
        """Queue a worker for a later iteration; `low_priority` if it has used up its own units."""
        if not worker.queued:
            worker.queued = True
            (
                self.low_priority
                if low_priority or self.spent_by_worker + DECISION_UNITS > CONNECTION_UNITS
                else self.queue
            ).append(worker)
            self._call()

    def queue_rejection(self, worker: Worker) -> None:
        """Queue a worker for rejection at the end of an iteration, together with others.

        Together they cost less: whoever reads the answers is woken by the first.
        """
        if not worker.queued:
            worker.queued = True
            self.rejections.append(worker)
            self._call()

    def _call(self) -> None:
        if not self._due:
            self._due = True
            self.call_soon(self.run_iteration)

    def run_iteration(self) -> None:
        """Begin the next iteration: those that wait go on, in their order, once each at the most."""
        self._due, self.spent = False, 0
        self._take(self.queue, ITERATION_UNITS - LOW_PRIORITY_UNITS if self.low_priority else ITERATION_UNITS)
        self._take(self.low_priority, ITERATION_UNITS if not self.queue else self.spent + LOW_PRIORITY_UNITS)
        waiting = len(self.rejections)
        for _ in range(min(waiting, REJECTIONS_PER_ITERATION + min(MAX_EXTRA_REJECTIONS, waiting // 32))):
            worker = self.rejections.popleft()
            worker.queued = False
            worker.refuse()
        if self.queue or self.low_priority or self.rejections:
            self._call()

    def _take(self, line: deque[Worker], most: int) -> None:
        for _ in range(len(line)):
            if self.spent > most - DECISION_UNITS - READ_UNITS:
                return
            worker = line.popleft()
            worker.queued = False
            worker.go_on(given=True)
