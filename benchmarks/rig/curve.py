"""The overload curve: what the proxy serves in time when it is offered many times what one core can do."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.rig.load import LONGEST
from benchmarks.rig.procs import Child, Cores, Usage
from benchmarks.rig.proxy import Limits, Proxy, name_of

WARM, WARM_PART = 3.0, 0.5  # s before each step, and the part of the capacity offered then: rooms are learnt
LEAD = 0.2  # s from the word to begin until the first call is due
WELL, QUICK_MS = 0.99, 100.0  # served in time, and the 99th percentile, up to which a rate is within capacity
PROBE = 2.5  # s for which a rate is tried in the search
LATE_MS, BUSY = 5.0, 0.85  # a generator that is later, or more of a core, than this was short of CPU


@dataclass(frozen=True)
class Setting:
    """How the load is made. Times in s, the boxes' in ms."""

    processes: int = 5
    connections: int = 2000  # kept, over all processes: enough for a queue longer than the aim
    retries: int = 2
    heed: bool = True
    aim: float = 0.5
    boxes: int = 16
    size: int = 1000
    wait_ms: float = 5.0
    seconds: float = 60.0
    seed: int = 1


def merged(results: list[dict[str, Any]], phase: str) -> dict[str, Any]:
    """One phase over all generators."""
    counts: Counter[str] = Counter()
    histogram = HdrHistogram(1, LONGEST, 3)
    parts = [result["phases"][phase] for result in results]
    for part in parts:
        counts.update(part["counts"])
        histogram.decode_and_add(part["histogram"])
    seconds = [sum(at) for at in zip(*(part["in_time_by_second"] for part in parts), strict=True)]
    return {
        "counts": dict(counts),
        "in_time_by_second": seconds[: int(parts[0]["seconds"])],
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
    }


def flatness(by_second: list[int]) -> float:
    """The last 10 s against the first 10 s (thirds, where the step is short): 1 is level."""
    span = min(10, max(1, len(by_second) // 3))
    return sum(by_second[-span:]) / max(1, sum(by_second[:span]))


def short_of_cpu(results: list[dict[str, Any]], phase: str) -> str:
    """Why the generators cannot be trusted with this rate; empty where they can."""
    late = max(result["phases"][phase]["late_p99_ms"] for result in results)
    busy = max(result["cpu"] for result in results)
    if late > LATE_MS or busy > BUSY:
        return (
            f"generators short of CPU: {late:.1f} ms late at the 99th percentile, {100 * busy:.0f}% of a core"
        )
    return ""


async def generate(
    proxy: Proxy, cores: Cores, setting: Setting, phases: list[tuple[str, float, float]]
) -> list[dict[str, Any]]:
    """Offer load from all processes; the phases are [name, seconds, calls a second], one after another."""
    at, told = 0.0, []
    for name, span, rate in phases:
        told.append((name, at, at + span, rate / setting.processes))
        at += span
    spec = {
        "port": proxy.port,
        "connections": setting.connections // setting.processes,
        "aim": setting.aim,
        "retries": setting.retries,
        "heed": setting.heed,
        "phases": told,
    }
    async with AsyncExitStack() as stack:
        starts = [
            Child.start("load", {**spec, "seed": setting.seed + 1000 * i}, cores.rest)
            for i in range(setting.processes)
        ]
        children = await asyncio.gather(*starts)
        for child in children:
            stack.push_async_callback(child.stop)
        begin = time.monotonic() + LEAD
        for child in children:
            child.begin(begin)
        return list(await asyncio.gather(*(child.result(LEAD + at + 20) for child in children)))


async def stand_up(
    stack: AsyncExitStack, root: Path, setting: Setting, limits: Limits, cores: Cores
) -> Proxy:
    """Boxes, discovery and a proxy, until the stack is left."""
    return (await stand_up_with(stack, root, setting, limits, cores))[0]


async def stand_up_with(
    stack: AsyncExitStack, root: Path, setting: Setting, limits: Limits, cores: Cores
) -> tuple[Proxy, Child]:
    """The same, with discovery to give orders to."""
    boxes = await Child.start(
        "backends",
        {"boxes": setting.boxes, "size": setting.size, "wait_ms": setting.wait_ms, "seed": setting.seed},
        cores.rest,
    )
    stack.push_async_callback(boxes.stop)
    discovery = await Child.start("discovery", {"ports": boxes.ready["ports"]}, cores.rest)
    stack.push_async_callback(discovery.stop)
    proxy = await Proxy.start(root, limits, cores, discovery.ready["ports"], aim_ms=1000 * setting.aim)
    stack.push_async_callback(proxy.stop)
    return proxy, discovery


async def search(root: Path, setting: Setting, limits: Limits, cores: Cores) -> float:
    """The largest rate, to a twentieth, that one proxy serves in time without a queue to speak of."""
    few = Setting(**{**asdict(setting), "retries": 0, "connections": min(200, setting.connections)})
    async with AsyncExitStack() as stack:
        proxy = await stand_up(stack, root, few, limits, cores)

        async def well(rate: float) -> bool:
            return await once(rate) or await once(rate)  # one bad moment says nothing

        async def once(rate: float) -> bool:
            results = await generate(proxy, cores, few, [("try", PROBE, rate)])
            tried = merged(results, "try")
            served = tried["counts"].get("in time", 0) / max(1, tried["counts"]["offered"])
            return bool(served >= WELL and tried["p99_ms"] <= QUICK_MS)

        low, high = 0.0, 500.0
        while high < 50_000 and await well(high):
            low, high = high, 1.5 * high
        while high > 1.05 * low and high > 10:
            middle = (low + high) / 2
            low, high = (middle, high) if await well(middle) else (low, middle)
    return low


async def step(
    root: Path, times: float, capacity: float, setting: Setting, limits: Limits, cores: Cores
) -> dict[str, Any]:
    """One point of the curve, on a proxy of its own."""
    async with AsyncExitStack() as stack:
        proxy = await stand_up(stack, root, setting, limits, cores)
        phases = [("warm", WARM, WARM_PART * capacity), ("step", setting.seconds, times * capacity)]
        began = time.monotonic()
        before = Usage.of(proxy.pid)
        results = await generate(proxy, cores, setting, phases)
        after, span = Usage.of(proxy.pid), time.monotonic() - began
        part = merged(results, "step")
        counts, by_second = part["counts"], part["in_time_by_second"]
        clients: Counter[str] = Counter()
        for result in results:
            clients.update(result["counts"])
        return {
            "root": name_of(root),
            "times": times,
            "capacity": capacity,
            "setting": asdict(setting),
            "limits": asdict(limits),
            "goodput": counts.get("in time", 0) / setting.seconds,
            "by_second": by_second,
            "flatness": flatness(by_second),
            "counts": counts,
            "clients": dict(clients),
            "p50_ms": part["p50_ms"],
            "p99_ms": part["p99_ms"],
            "refusal_p99_ms": max(result["phases"]["step"]["refusal_p99_ms"] for result in results),
            "unanswered": counts.get("unanswered", 0) + counts.get("lost", 0),
            "cpu": (after.cpu - before.cpu) / span,
            "kept_off": (after.kept_off - before.kept_off) / span,
            "peak_mb": after.peak,
            "short_of_cpu": short_of_cpu(results, "step"),
        }


def plot(steps: list[dict[str, Any]], path: Path) -> None:
    """Goodput against what was offered, both in multiples of the capacity, a line for each revision."""
    try:
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot
    except ImportError:
        raise SystemExit("the plot needs matplotlib") from None
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for key in sorted({(s["root"], s["setting"]["heed"]) for s in steps}):
        mine = sorted(
            (s for s in steps if (s["root"], s["setting"]["heed"]) == key), key=lambda s: s["times"]
        )
        label = f"{key[0]}, retries {'as told' if key[1] else 'at once'}"
        line = left.plot([s["times"] for s in mine], [s["goodput"] for s in mine], marker="o", label=label)
        right.plot(
            mine[-1]["by_second"], color=line[0].get_color(), label=f"{label}, {mine[-1]['times']:g} times"
        )
    left.set(xlabel="offered, times the capacity", ylabel="served in time, a second", ylim=0)
    right.set(xlabel="s", ylabel="served in time, a second", ylim=0)
    for axes in (left, right):
        axes.legend(fontsize="small")
        axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path)
