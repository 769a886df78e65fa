"""Timers that mostly never fire: one structure in place of a loop timer for each.

Rules that hold here and nowhere else:

1. Time goes in steps of `resolution`. A timer falls due at the first step at or after its time: never early,
   and late by less than one step, and by what its owner lets pass before it asks.
2. All timers of a step lie in one list, and a heap holds the steps that have a list. To set one costs O(1)
   where its step has others, and O(log steps) where not: 2.5 s are 500 steps of 5 ms, however many timers.
3. A cancelled timer is forgotten at once; its number stays in its step's list until that is due, or until
   more than half of all numbers are of cancelled ones.
4. Timers fall due in the order of their steps, within a step in the order in which they were set.
"""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from math import ceil, inf

FEWEST = 1024  # numbers of cancelled timers that are not worth a look
LONGEST = 1e9  # s


class Wheel:
    """Timers by number. Times are seconds on the caller's clock."""

    def __init__(self, resolution: float = 0.005) -> None:
        """`resolution` in seconds; `ValueError` where it is not above 0."""
        if not resolution > 0.0:
            raise ValueError(f"a resolution of {resolution} s")
        self.resolution = resolution
        self.tokens: dict[int, int] = {}  # by number: what stands
        self.steps: dict[int, list[int]] = {}  # numbers of timers by step, cancelled ones among them
        self.order: list[int] = []  # the steps, as a heap
        self.cancelled = 0  # numbers in the steps whose timers were cancelled
        self.number = 0

    def __len__(self) -> int:
        return len(self.tokens)

    def set(self, now: float, at: float, token: int) -> int:
        """Have `token` fall due at `at`, or at once where that is past; the number is for `cancel`."""
        at = min(max(at, now), now + LONGEST)
        step = ceil(at / self.resolution)
        if step * self.resolution < at:  # the division was rounded
            step += 1
        self.number += 1
        self.tokens[self.number] = token
        numbers = self.steps.get(step)
        if numbers is None:
            self.steps[step] = [self.number]
            heappush(self.order, step)
        else:
            numbers.append(self.number)
        return self.number

    def cancel(self, number: int) -> None:
        """Forget a timer; harmless where it fell due or was cancelled before."""
        if self.tokens.pop(number, None) is not None:
            self.cancelled += 1
            if self.cancelled > FEWEST and self.cancelled > len(self.tokens):
                self.tidy()

    def due(self, now: float) -> list[int]:
        """The tokens of all timers that are due, each once."""
        found: list[int] = []
        while self.order and self.order[0] * self.resolution <= now:
            for number in self.steps.pop(heappop(self.order)):
                token = self.tokens.pop(number, None)
                if token is None:
                    self.cancelled -= 1
                else:
                    found.append(token)
        return found

    def next_at(self) -> float:
        """When a timer next falls due; inf where none stands."""
        while self.order:
            numbers = self.steps[self.order[0]]
            while numbers and numbers[-1] not in self.tokens:
                numbers.pop()
                self.cancelled -= 1
            if numbers:
                return self.order[0] * self.resolution
            del self.steps[heappop(self.order)]
        return inf

    def tidy(self) -> None:
        """Rid the steps of cancelled timers."""
        steps: dict[int, list[int]] = {}
        for step, numbers in self.steps.items():
            if kept := [number for number in numbers if number in self.tokens]:
                steps[step] = kept
        self.steps, self.order, self.cancelled = steps, list(steps), 0
        heapify(self.order)
