"""What the tests of the structures share: servers, a count of operations, the plain way to do the same."""

from __future__ import annotations

import sys
from bisect import bisect_left
from collections.abc import Callable, Sequence
from typing import Any
from zlib import crc32

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, mix
from firvane.proxy.routing.hash_ring import POINTS, ROUNDING_SEED, WEIGHT_UNIT

KEYS = [mix(number, 4711) for number in range(20_000)]


def box(number: int, weight: float = 1.0, kind: int = 0, zone: int = 0, salt: int | None = None) -> Backend:
    name = f"s-{mix(number, 5):08x}"
    entry = api.Server(name, kind=kind, zone=zone, weight=weight)
    return Backend(entry, crc32(name.encode()) if salt is None else salt, weight, None)


def fleet(count: int, zones: int = 1, start: int = 0) -> list[Backend]:
    """Big and small boxes, about as many of each, in all zones alike."""
    kinds = [(n, n // zones % 2) for n in range(start, start + count)]
    return [box(n, weight=4.0 - 2.0 * kind, kind=kind, zone=n % zones) for n, kind in kinds]


def operations(call: Callable[[], Any]) -> int:
    """What a call costs: bytecodes and calls into C, the same on every run."""
    count = 0

    def trace(frame: Any, event: str, arg: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    def profile(frame: Any, event: str, arg: object) -> None:
        nonlocal count
        count += event == "c_call"

    before = sys.gettrace(), sys.getprofile()
    sys.settrace(trace)
    sys.setprofile(profile)
    try:
        call()
    finally:
        sys.settrace(before[0])
        sys.setprofile(before[1])
    return count


def plain_ring(
    servers: Sequence[Backend], rounded: bool = False, sizes: Sequence[float] = (1.0,), part: float = 1.0
) -> Callable[[int], Backend | None]:
    """The key ring built anew: by the rule of `ring.py`, or `rounded` as the decisions had it before."""
    up = sorted(servers, key=lambda s: s.entry.id)
    weights = {id(s): max(1, round(s.weight * WEIGHT_UNIT)) for s in up}
    seen = {s.id_hash: s for s in reversed(up)}  # of two with one salt the lower id
    total = sum(weights[id(s)] for s in seen.values())

    def count(s: Backend) -> int:
        size = sizes[s.entry.kind % len(sizes)]
        if rounded:
            return round(POINTS * (s.weight / (sum(s.weight for s in up) / len(up))) * size) or 1
        left = 2 * mix(s.id_hash, ROUNDING_SEED) + 1
        whole = ((POINTS * weights[id(s)] * len(seen) << 33) + left * total) // (total << 33)
        return max(1, int(round(whole * size) * part + left / 2**33))

    ring = sorted((mix(s.id_hash, i + 1), s.id_hash, s) for s in seen.values() for i in range(count(s)))
    points = [point for point, _, _ in ring]
    return lambda key: ring[bisect_left(points, key) % len(ring)][2] if ring else None
