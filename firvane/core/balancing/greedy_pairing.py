"""The arithmetic of the moves between slices: what is to come, and who gives to whom."""

from __future__ import annotations

from heapq import heappop, heapreplace

from firvane.core.balancing.records import total

NEGLIGIBLE_LOAD = 1e-6  # requests: less than that is paired


def forecast(history: list[int]) -> float:
    """The next value on the least-squares line through the last ones."""
    n, mean, mid = len(history), sum(history) / len(history), (len(history) - 1) / 2
    spread = total((i - mid) ** 2 for i in range(n)) or 1.0
    return max(0.0, mean + total((i - mid) * h for i, h in enumerate(history)) / spread * (n - mid))


def pair(theta: dict[int, float]) -> list[tuple[int, int, float]]:
    """Greedy pairing: the most negative gives to the largest until a sign runs out; theta keeps the rest."""
    moves = []
    givers = sorted((t, n) for n, t in theta.items() if t < 0)  # a sorted list is a heap
    takers = sorted((-t, n) for n, t in theta.items() if t > 0)
    while givers and takers:
        (less, giver), (more, taker) = givers[0], takers[0]
        moved = min(-less, -more)
        moves.append((giver, taker, moved))
        theta[giver], theta[taker] = less + moved, -more - moved
        for heap, left, n in ((givers, less + moved, giver), (takers, more + moved, taker)):
            heapreplace(heap, (left, n)) if left < -NEGLIGIBLE_LOAD else heappop(heap)
    return moves
