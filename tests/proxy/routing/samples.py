"""Shared by the tests of routing structures: servers, a count of operations, and a plain key ring."""

from __future__ import annotations

import gc
import sys
from bisect import bisect_left
from collections.abc import Callable, Sequence
from typing import Any
from zlib import crc32

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, mix
from firvane.proxy.routing.hash_ring import POINTS, ROUNDING_SEED, WEIGHT_UNIT

KEYS = [mix(number, 4711) for number in range(20_000)]


def make_server(
    number: int, weight: float = 1.0, kind: int = 0, zone: int = 0, salt: int | None = None
) -> Backend:
    name = f"s-{mix(number, 5):08x}"
    entry = api.Server(name, kind=kind, zone=zone, weight=weight)
    return Backend(entry, crc32(name.encode()) if salt is None else salt, weight, None)


def fleet(count: int, zones: int = 1, start: int = 0) -> list[Backend]:
    """Return large and small servers, about as many of each, spread evenly over the zones."""
    kinds = [(n, n // zones % 2) for n in range(start, start + count)]
    return [make_server(n, weight=4.0 - 2.0 * kind, kind=kind, zone=n % zones) for n, kind in kinds]


def count_operations(call: Callable[[], Any]) -> int:
    """Return the cost of a call: bytecodes and calls into C, the same on every run."""
    count = 0

    def trace(frame: Any, event: str, arg: object) -> Any:
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    def profile(frame: Any, event: str, arg: object) -> None:
        nonlocal count
        count += event == "c_call"

    before, collects = (sys.gettrace(), sys.getprofile()), gc.isenabled()
    gc.disable()  # callbacks of a collection that begins within the call would be counted
    sys.settrace(trace)
    sys.setprofile(profile)
    try:
        call()
    finally:
        sys.settrace(before[0])
        sys.setprofile(before[1])
        if collects:
            gc.enable()
    return count


def reference_ring(
    servers: Sequence[Backend], rounded: bool = False, sizes: Sequence[float] = (1.0,), fraction: float = 1.0
) -> Callable[[int], Backend | None]:
    """Return the lookup of a key ring built from scratch by the rules of `hash_ring.py`.

    `rounded`: with plain rounding of the counts of points.
    """
    ordered = sorted(servers, key=lambda s: s.entry.id)
    weights = {id(s): max(1, round(s.weight * WEIGHT_UNIT)) for s in ordered}
    by_salt = {s.id_hash: s for s in reversed(ordered)}  # of servers with the same salt the lower id
    total = sum(weights[id(s)] for s in by_salt.values())

    def count(s: Backend) -> int:
        size = sizes[s.entry.kind % len(sizes)]
        if rounded:
            return round(POINTS * (s.weight / (sum(s.weight for s in ordered) / len(ordered))) * size) or 1
        rounding = 2 * mix(s.id_hash, ROUNDING_SEED) + 1
        whole = ((POINTS * weights[id(s)] * len(by_salt) << 33) + rounding * total) // (total << 33)
        return max(1, int(round(whole * size) * fraction + rounding / 2**33))

    ring = sorted((mix(s.id_hash, i + 1), s.id_hash, s) for s in by_salt.values() for i in range(count(s)))
    points = [point for point, _, _ in ring]
    return lambda key: ring[bisect_left(points, key) % len(ring)][2] if ring else None
