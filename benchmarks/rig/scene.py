"""One run of a greed: usual clients on a calm proxy, the greed beside them, SIGTERM while all goes on."""

from __future__ import annotations

import asyncio
import time
from contextlib import AsyncExitStack
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.rig.abusive_clients import ALL, GREEDS
from benchmarks.rig.procs import Child, Cores, Usage, forget_peak
from benchmarks.rig.proxy import Limits, Proxy, name_of
from benchmarks.rig.watch import Watch

LEAD = 0.2  # s from the word to begin until the first request is due
FRONT = 0.3  # s after SIGTERM in which clients still come to this proxy
END = 5.0  # s that the proxy has to end: beyond what the platform gives it


@dataclass(frozen=True)
class Scene:
    """How the usual clients, the boxes and the run are set up. Rates a second, times in s."""

    rate: float = 200.0
    connections: int = 30
    boxes: int = 32  # so many that greedy answers leave them room: the limits are the proxy's
    size: int = 2000  # bytes of a usual answer
    wait_ms: float = 5.0
    calm: float = 2.0
    greedy: float = 5.0
    aim: float = 0.5
    kill: bool = False
    seed: int = 1


def latencies(phase: dict[str, Any]) -> dict[str, float]:
    """p50, p99 and the longest in ms, from the intended send."""
    histogram = HdrHistogram.decode(phase["histogram"])
    if not histogram.get_total_count():
        return {"p50": 0.0, "p99": 0.0, "max": 0.0}
    return {
        "p50": histogram.get_value_at_percentile(50) / 1000,
        "p99": histogram.get_value_at_percentile(99) / 1000,
        "max": histogram.get_max_value() / 1000,
    }


def share(phase: dict[str, Any]) -> float:
    """The part of what was offered that was served in time."""
    counts = phase["counts"]
    return float(counts.get("in time", 0) / max(1, counts.get("offered", 0)))


def owed(phase: dict[str, Any]) -> int:
    """Requests that never had their one answer."""
    return int(phase["counts"].get("unanswered", 0) + phase["counts"].get("lost", 0))


async def play(root: Path, greed: str, scene: Scene, limits: Limits, cores: Cores) -> dict[str, Any]:
    """One row of the table; `greed` is a name, `all` or `none`."""
    names = ALL if greed == "all" else () if greed == "none" else (greed,)
    async with AsyncExitStack() as stack:
        boxes = await Child.start(
            "backends",
            {"boxes": scene.boxes, "size": scene.size, "wait_ms": scene.wait_ms, "seed": scene.seed},
            cores.rest,
        )
        stack.push_async_callback(boxes.stop)
        discovery = await Child.start("discovery", {"ports": boxes.ready["ports"]}, cores.rest)
        stack.push_async_callback(discovery.stop)
        agents = discovery.ready["ports"]
        proxy = await Proxy.start(root, limits, cores, agents, aim_ms=1000 * scene.aim)
        stack.push_async_callback(proxy.stop)
        turn, end = scene.calm, scene.calm + scene.greedy
        spec: dict[str, Any] = {"port": proxy.port, "peer_listen": proxy.peer_listen, "peer": proxy.peer}
        # They go on past the end: the proxy is to end while they do.
        spec |= {"begin": turn, "end": end + FRONT + 1.0}
        starts = [
            Child.start("abusive_clients", {**spec, "greed": name, "seed": scene.seed + i}, cores.rest)
            for i, name in enumerate(names)
        ]
        greedy = await asyncio.gather(*starts)
        for child in greedy:
            stack.push_async_callback(child.stop)
        usual = await Child.start(
            "load",
            {
                "port": proxy.port,
                "connections": scene.connections,
                "most": 100,
                "aim": scene.aim,
                "phases": [
                    ("calm", 0.0, turn, scene.rate),
                    ("greedy", turn, end, scene.rate),
                    ("end", end, end + FRONT, scene.rate),
                ],
                "seed": scene.seed,
            },
            cores.rest,
        )
        stack.push_async_callback(usual.stop)
        begin = time.monotonic() + LEAD
        for child in (usual, *greedy):
            child.begin(begin)
        turn, end = begin + turn, begin + end
        watch = Watch(proxy.pid, proxy.port, limits.memory_mb, scene.kill)
        watching = asyncio.create_task(watch.run())
        await asyncio.sleep(turn - time.monotonic())
        calm = Usage.of(proxy.pid)
        forget_peak(proxy.pid)
        for name in names:
            for order in GREEDS[name].orders:
                discovery.tell(**order)
        reloads = any(GREEDS[name].reloads for name in names)
        reloading = asyncio.create_task(_reload(proxy, agents)) if reloads else None
        await asyncio.sleep(end - time.monotonic())
        try:
            last: Usage | None = Usage.of(proxy.pid)
        except OSError:
            last = None
        if reloading:
            reloading.cancel()
        took, status = await proxy.end(END)
        watching.cancel()
        result = await usual.result(10)
        theirs = {name: (await child.result(10))["counts"] for name, child in zip(names, greedy, strict=True)}
        phases = result["phases"]
        return {
            "root": name_of(root),
            "greed": greed,
            "limits": asdict(limits),
            "scene": asdict(scene),
            "peak_mb": max(last.peak if last else 0.0, watch.most(turn, end + END)),
            "own_mb": watch.most(turn, end + END, own=True),
            "calm_mb": calm.rss,
            "end_mb": watch.most(end, end + END),
            "over_after_s": None if watch.over_at is None else watch.over_at - turn,
            "killed": watch.killed_at is not None,
            "crashed": last is None and watch.killed_at is None,
            "descriptors": last.descriptors if last else 0,
            "calm": {**latencies(phases["calm"]), "share": share(phases["calm"])},
            "greedy": {**latencies(phases["greedy"]), "share": share(phases["greedy"])},
            "counts": {name: phase["counts"] for name, phase in phases.items()},
            "clients": result["counts"],
            "owed": sum(owed(phase) for phase in phases.values()),
            "up_calm_ms": watch.worst_up(begin, turn),
            "up_ms": watch.worst_up(turn, end),
            "lag_ms": proxy.lag_ms(),
            "cpu": (last.cpu - calm.cpu) / scene.greedy if last else 0.0,
            "kept_off": (last.kept_off - calm.kept_off) / scene.greedy if last else 0.0,
            "ended_s": took,
            "status": status,
            "greeds": theirs,
            "rig_late_p99_ms": max(phase["late_p99_ms"] for phase in phases.values()),
            "rig_stalled_ms": watch.stalled_ms(begin, end),
        }


async def _reload(proxy: Proxy, agents: list[int]) -> None:
    """SIGHUP after SIGHUP, each with discovery at the other address."""
    turn = 0
    while proxy.process.returncode is None:
        await asyncio.sleep(0.3)
        turn += 1
        proxy.move(agents[turn % len(agents)])
