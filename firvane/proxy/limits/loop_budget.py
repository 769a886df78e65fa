"""The work budget of one event loop iteration, and the queues of work for later iterations.

Invariants:

1. An iteration has `ITERATION_UNITS` of work, of which one connection gets `CONNECTION_UNITS`. All work that
   a client can cause counts: reading a request, answering one without a decision, and, as the most
   expensive, having one decided.
2. A worker that exceeds the budget is queued, once at most, and continues in order. A worker that has used up
   its own units, has pipelined requests, or sends far more than others, waits in a low-priority queue, which
   gets `LOW_PRIORITY_UNITS` of each iteration, and more only when no other worker waits.
3. The queue is no longer than can be served in the time that a request may wait in it. Requests that arrive
   when it is full are rejected; those of clients that send far more than others, when it is a quarter full.
4. Rejections have their own budget, `REJECTIONS_PER_ITERATION`, and their own queue, so that they cost a
   bounded fraction of each iteration however many there are.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

ITERATION_UNITS = 156  # in an iteration, over all connections
CONNECTION_UNITS = 52  # in an iteration, for one connection
READ_UNITS = 1  # to read a request, or answer it without a decision
DECISION_UNITS = 12  # to have a request decided, and send it
LOW_PRIORITY_UNITS = 52  # in an iteration, for the low-priority queue
CHUNKED_READ_UNITS = 8  # to read a step of a chunked body, whose chunks may have one byte each
REJECTIONS_PER_ITERATION = 30
MAX_EXTRA_REJECTIONS = 30  # per iteration, growing with the length of their queue
MIN_QUEUE_LENGTH = 48  # always admitted, whatever the measured rate


class Worker(Protocol):
    """An object with work that can wait for a later iteration."""

    queued: bool

    def process_input(self, has_turn: bool = False) -> None:
        """Work as long as `spend` allows; `has_turn`: whether it was queued for this iteration."""

    def reject_unparsed(self) -> None:
        """Reject the pending request."""


class LoopBudget:
    """The work done in one iteration, and the queues of workers that have more."""

    def __init__(self, call_soon: Callable[[Callable[[], None]], object], max_wait_s: float) -> None:
        """`call_soon` runs a callback in the next iteration; `max_wait_s` bounds the wait in the queue."""
        self.call_soon, self.max_wait_s = call_soon, max_wait_s
        self.queue: deque[Worker] = deque()
        self.low_priority: deque[Worker] = deque()  # workers that have used up their own units
        self.rejections: deque[Worker] = deque()  # workers whose request is to be rejected
        self.spent = 0  # units in this iteration
        self.spent_by_worker = 0  # of these by the current worker
        self.decided = 0  # requests passed to the decisions since the start
        self.rate = 0.0  # requests decided a second, in the last period with a backlog
        self._is_scheduled = False

    def full(self, greedy: bool = False) -> bool:
        """Return whether the queue is full; `greedy`: for a client that sends far more than others."""
        max_length = max(MIN_QUEUE_LENGTH, int(self.rate * self.max_wait_s))
        return 4 * len(self.queue) >= max_length if greedy else len(self.queue) >= max_length

    def begin(self) -> None:
        """Start the account of another worker: units spent from now on are charged to it."""
        self.spent_by_worker = 0

    def spend(self, units: int) -> bool:
        """Return whether the iteration and the worker may spend so many more units, and count them if so."""
        if self.spent + units > ITERATION_UNITS or self.spent_by_worker + units > CONNECTION_UNITS:
            return False
        self.spent += units
        self.spent_by_worker += units
        if units >= DECISION_UNITS:
            self.decided += 1
        self._schedule()
        return True

    def wait(self, worker: Worker, low_priority: bool = False) -> None:
        """Queue a worker for a later iteration; `low_priority` forces the low-priority queue."""
        if not worker.queued:
            worker.queued = True
            (
                self.low_priority
                if low_priority or self.spent_by_worker + DECISION_UNITS > CONNECTION_UNITS
                else self.queue
            ).append(worker)
            self._schedule()

    def queue_rejection(self, worker: Worker) -> None:
        """Queue a worker for rejection at the end of an iteration, together with others.

        A batch costs less: the process that reads the responses is woken once, by the first of them.
        """
        if not worker.queued:
            worker.queued = True
            self.rejections.append(worker)
            self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self.call_soon(self.run_iteration)

    def run_iteration(self) -> None:
        """Run the next iteration: queued workers continue in order, each once at most."""
        self._is_scheduled, self.spent = False, 0
        self._run_queued(
            self.queue, ITERATION_UNITS - LOW_PRIORITY_UNITS if self.low_priority else ITERATION_UNITS
        )
        self._run_queued(
            self.low_priority, ITERATION_UNITS if not self.queue else self.spent + LOW_PRIORITY_UNITS
        )
        waiting = len(self.rejections)
        for _ in range(min(waiting, REJECTIONS_PER_ITERATION + min(MAX_EXTRA_REJECTIONS, waiting // 32))):
            worker = self.rejections.popleft()
            worker.queued = False
            worker.reject_unparsed()
        if self.queue or self.low_priority or self.rejections:
            self._schedule()

    def _run_queued(self, queue: deque[Worker], max_units: int) -> None:
        for _ in range(len(queue)):
            if self.spent > max_units - DECISION_UNITS - READ_UNITS:
                return
            worker = queue.popleft()
            worker.queued = False
            worker.process_input(has_turn=True)
