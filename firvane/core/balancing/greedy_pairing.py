"""Forecast of arrivals, and greedy pairing of overloaded with underloaded slices."""

from __future__ import annotations

from heapq import heappop, heapreplace

from firvane.core.balancing.records import total

NEGLIGIBLE_LOAD = 1e-6  # requests; smaller remainders count as 0


def forecast(history: list[int]) -> float:
    """Return the next value of the least-squares line through `history`, at least 0."""
    n, mean, mid = len(history), sum(history) / len(history), (len(history) - 1) / 2
    squares = total((i - mid) ** 2 for i in range(n)) or 1.0
    return max(0.0, mean + total((i - mid) * h for i, h in enumerate(history)) / squares * (n - mid))


def pair(theta: dict[int, float]) -> list[tuple[int, int, float]]:
    """Return the moves (source, sink, amount) that balance `theta`, by greedy pairing.

    The largest excess (most negative) moves to the largest free capacity until either is used up; `theta` is
    updated to the remainders.
    """
    moves = []
    sources = sorted((t, n) for n, t in theta.items() if t < 0)  # a sorted list is a heap
    sinks = sorted((-t, n) for n, t in theta.items() if t > 0)
    while sources and sinks:
        (excess, source), (free, sink) = sources[0], sinks[0]  # both negative
        moved = min(-excess, -free)
        moves.append((source, sink, moved))
        theta[source], theta[sink] = excess + moved, -free - moved
        for heap, left, n in ((sources, excess + moved, source), (sinks, free + moved, sink)):
            heapreplace(heap, (left, n)) if left < -NEGLIGIBLE_LOAD else heappop(heap)
    return moves
