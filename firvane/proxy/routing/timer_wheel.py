"""A timer wheel for timers that mostly never fire, in place of one event loop timer for each.

Invariants:

1. Time advances in steps of `resolution`. A timer expires at the first step at or after its time: never
   early, and late by less than one step, plus the time until its owner calls `expire`.
2. All timers of a step are in one list, and a heap holds the steps that have a list. Setting a timer costs
   O(1) if its step has others, else O(log steps): 2.5 s are 500 steps of 5 ms, however many timers there are.
3. A cancelled timer is forgotten at once; its id stays in its step's list until the step expires, or until
   more than half of all ids are of cancelled timers.
4. Timers expire in the order of their steps, and within a step in the order in which they were set.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from math import ceil, inf

MIN_CANCELLED = 1024  # ids of cancelled timers, above which they may be compacted
MAX_DELAY_S = 1e9


class TimerWheel:
    """Timers by id. Times are seconds on the caller's clock."""

    def __init__(self, resolution: float = 0.005) -> None:
        """Create a wheel.

        Args:
            resolution: length of a step in seconds.

        Raises:
            ValueError: the resolution is not above 0.
        """
        if not resolution > 0.0:
            raise ValueError(f"a resolution of {resolution} s is not above 0")
        self.resolution = resolution
        self.tokens: dict[int, int] = {}  # by id, of pending timers
        self.steps: dict[int, list[int]] = {}  # ids by step, of cancelled timers too
        self.step_heap: list[int] = []
        self.cancelled = 0  # ids of cancelled timers in the steps
        self.last_id = 0

    def __len__(self) -> int:
        return len(self.tokens)

    def set(self, now: float, at: float, token: int) -> int:
        """Set a timer that yields `token` at `at`, or at once if that is past; return its id."""
        at = min(max(at, now), now + MAX_DELAY_S)
        step = ceil(at / self.resolution)
        if step * self.resolution < at:  # the quotient was rounded down
            step += 1
        self.last_id += 1
        self.tokens[self.last_id] = token
        timer_ids = self.steps.get(step)
        if timer_ids is None:
            self.steps[step] = [self.last_id]
            heappush(self.step_heap, step)
        else:
            timer_ids.append(self.last_id)
        return self.last_id

    def cancel(self, timer_id: int) -> None:
        """Cancel a timer; no effect if it has expired or been cancelled."""
        if self.tokens.pop(timer_id, None) is not None:
            self.cancelled += 1
            if self.cancelled > MIN_CANCELLED and self.cancelled > len(self.tokens):
                self.compact()

    def expire(self, now: float) -> list[int]:
        """Remove the expired timers and return their tokens."""
        found: list[int] = []
        while self.step_heap and self.step_heap[0] * self.resolution <= now:
            for timer_id in self.steps.pop(heappop(self.step_heap)):
                token = self.tokens.pop(timer_id, None)
                if token is None:
                    self.cancelled -= 1
                else:
                    found.append(token)
        return found

    def next_at(self) -> float:
        """Return when the next timer expires; inf if there is none."""
        while self.step_heap:
            timer_ids = self.steps[self.step_heap[0]]
            while timer_ids and timer_ids[-1] not in self.tokens:
                timer_ids.pop()
                self.cancelled -= 1
            if timer_ids:
                return self.step_heap[0] * self.resolution
            del self.steps[heappop(self.step_heap)]
        return inf

    def compact(self) -> None:
        """Remove the ids of cancelled timers from the steps."""
        steps: dict[int, list[int]] = {}
        for step, timer_ids in self.steps.items():
            if pending := [timer_id for timer_id in timer_ids if timer_id in self.tokens]:
                steps[step] = pending
        self.steps, self.step_heap, self.cancelled = steps, list(steps), 0
        heapify(self.step_heap)
