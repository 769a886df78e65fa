"""Latency of updates: a control service as it is started, discovery, receivers in their own processes.

    python -m benchmarks.control --boxes 2000 --receivers 1,100,1000
    python -m benchmarks.control --receivers 100 --drains 20 --json control.json

A drain is timed from the moment that discovery writes its line to the moment that each receiver has taken the
answer and written its ACK: idle, while weights of all boxes change as well, and while all receivers come back
at once. Everything is on loopback; the service runs as `firvane control FILE`, receivers 125 to a process.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import resource
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import uvloop
from envoy.service.discovery.v3 import discovery_pb2

from firvane.simulation.runner.receiver import ENDPOINTS, Receiver
from firvane.simulation.runner.receiver_link import Link

RECEIVERS_PER_PROCESS = 125
ZONES = ("ikeja", "lekki", "yaba")
DRAIN_INTERVAL_S = 1.0
TIMEOUT_S = 60.0

COMMAND = "from firvane.cli import run; run()"
CONFIG_TEMPLATE = """
listen = "127.0.0.1:{port}"
seed = 1
zone = "ikeja"
zones = ["ikeja", "lekki", "yaba"]
[control]
service = "web"
[target_group]
discovery = "127.0.0.1:{discovery}"
[[classes]]
name = "read"
aim_ms = 500
deadline_ms = 2500
repeat = "safe"
[log]
level = "warning"
"""


# Receivers, in a process of their own


class LightReceiver(Receiver):
    """Decodes only the version of endpoints, so that many receivers on one machine cost little."""

    def hear(self, data: bytes) -> bool:
        self.heard_bytes = getattr(self, "heard_bytes", 0) + len(data)
        if not self.resources[ENDPOINTS]:
            return super().hear(data)
        form = discovery_pb2.DeltaDiscoveryResponse if self.delta else discovery_pb2.DiscoveryResponse
        answer = form.FromString(data)
        if answer.type_url != ENDPOINTS:
            return super().hear(data)
        for one in answer.resources:
            self.versions[ENDPOINTS]["web"] = one.version if self.delta else answer.version_info
        self._nonce[ENDPOINTS] = answer.nonce
        self._answer(ENDPOINTS, answer, "")
        return True


async def run_receivers(args: argparse.Namespace) -> None:
    """Read from lines which list version to wait for, and print when all receivers had it."""
    wanted, times, before = 0, dict[str, float](), 0

    def number(receiver: Receiver) -> int:
        text = receiver.versions[ENDPOINTS].get("web", "")
        return int(text.partition(".")[0] or 0)

    def on_update(receiver: Receiver) -> None:
        if receiver.name not in times and number(receiver) >= wanted:
            times[receiver.name] = time.monotonic()
            if len(times) == len(links):
                tell()

    def tell() -> None:
        size = sum(link.receiver.heard_bytes for link in links) - before
        print(json.dumps({"number": wanted, "at": sorted(times.values()), "bytes": size}), flush=True)

    links = []
    for n in range(args.count):
        name = f"r{args.first + n}"
        receiver = LightReceiver(name, delta=n % 2 == 1)  # of no zone: each gets every backend
        receiver.heard_bytes = 0
        links.append(Link(receiver, [f"127.0.0.1:{args.port}"], on_update))
    for link in links:
        link.start()
    reader, loop = asyncio.StreamReader(), asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        word, _, value = line.decode().partition(" ")
        wanted, before = int(value), sum(link.receiver.heard_bytes for link in links)
        times.clear()
        if word == "wait":
            for link in links:
                on_update(link.receiver)
        elif word == "hang":
            for link in links:
                link.receiver.versions[ENDPOINTS].clear()
                link.hang_up()


class ReceiverProcess:
    """A process with some receivers."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    def say(self, words: str) -> None:
        assert self.process.stdin
        self.process.stdin.write(f"{words}\n".encode())

    async def next_times(self) -> dict[str, Any]:
        assert self.process.stdout
        async with asyncio.timeout(TIMEOUT_S):
            line = await self.process.stdout.readline()
        found: dict[str, Any] = json.loads(line)
        return found


# Discovery


class Discovery:
    """A discovery service with a watch."""

    def __init__(self, boxes: int) -> None:
        self.index = 1
        self.boxes = {f"box-{n}": self._entry(n) for n in range(boxes)}
        self.writers: list[asyncio.StreamWriter] = []

    @staticmethod
    def _entry(n: int) -> dict[str, Any]:
        return {
            "name": f"box-{n}", "address": f"127.{1 + n // 60000}.0.1:{1024 + n % 60000}",
            "zone": ZONES[n % 3], "type": "m", "group": 0, "status": "up", "weight": 1.0, "since_ms": 0,
        }  # fmt: skip

    async def start(self) -> int:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port: int = self.server.sockets[0].getsockname()[1]
        return port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._write(writer, list(self.boxes.values()), True)
        self.writers.append(writer)

    def _write(self, writer: asyncio.StreamWriter, entries: list[Any], whole: bool) -> None:
        line = json.dumps({"index": self.index, "snapshot": whole, "endpoints": entries}) + "\n"
        writer.write(f"{len(line):x}\r\n{line}\r\n".encode())

    def tell(self, entries: list[dict[str, Any]]) -> float:
        """Write the changes, and return the time of the write."""
        self.index += 1
        for entry in entries:
            self.boxes[entry["name"]] = entry
        at = time.monotonic()
        for writer in self.writers:
            if not writer.is_closing():
                self._write(writer, entries, False)
        return at

    def drain(self) -> float:
        """Drain one backend, and return the time of the write."""
        name = next(name for name, entry in self.boxes.items() if entry["status"] == "up")
        return self.tell([{**self.boxes[name], "status": "draining"}])

    def weigh(self, weight: float) -> float:
        """Set the weight of every second backend, which changes all weights at the receivers."""
        entries = list(self.boxes.values())[::2]
        return self.tell([{**entry, "weight": weight} for entry in entries])


def resource_usage(pid: int) -> tuple[float, float]:
    """The CPU seconds and the peak memory in MB of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = os.sysconf("SC_CLK_TCK")
    status = Path(f"/proc/{pid}/status").read_text()
    peak = next(line for line in status.splitlines() if line.startswith("VmHWM"))
    return (int(fields[11]) + int(fields[12])) / ticks, int(peak.split()[1]) / 1024


def latency_summary(times: list[float]) -> dict[str, float]:
    times = sorted(times)
    return {
        "p50_ms": 1e3 * statistics.median(times),
        "p99_ms": 1e3 * times[min(len(times) - 1, int(0.99 * len(times)))],
        "worst_ms": 1e3 * times[-1],
    }


async def measure(args: argparse.Namespace, count: int) -> list[dict[str, Any]]:
    discovery = Discovery(args.boxes)
    folder = tempfile.mkdtemp()
    import socket

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    file = Path(folder) / "control.toml"
    file.write_text(CONFIG_TEMPLATE.format(port=port, discovery=await discovery.start()))
    service = await asyncio.create_subprocess_exec(sys.executable, "-c", COMMAND, "control", str(file))
    groups = []
    for first in range(0, count, RECEIVERS_PER_PROCESS):
        here = min(RECEIVERS_PER_PROCESS, count - first)
        words = ["--follow", "--first", str(first), "--count", str(here), "--port", str(port)]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.control", *words, stdin=-1, stdout=-1
        )
        groups.append(ReceiverProcess(process))
    rows = []

    async def wait(since: float) -> tuple[list[float], int]:
        next_times = [await group.next_times() for group in groups]
        return [at - since for one in next_times for at in one["at"]], sum(one["bytes"] for one in next_times)

    try:
        for group in groups:
            group.say("wait 1")
        await wait(0.0)
        print(f"{count} receivers, {args.boxes} boxes: all follow", flush=True)
        for name in ("idle", "under a full push"):
            ages: list[float] = []
            sent, cpu = 0, resource_usage(service.pid)[0]
            for n in range(args.drains):
                await asyncio.sleep(DRAIN_INTERVAL_S)
                for group in groups:
                    group.say(f"wait {discovery.index + (2 if name != 'idle' else 1)}")
                await asyncio.sleep(0.05)
                if name != "idle":
                    discovery.weigh(3.0 if n % 2 else 1.0 / 3.0)
                    await asyncio.sleep(0.02)
                found, size = await wait(discovery.drain())
                ages += found
                sent += size
            spent = resource_usage(service.pid)[0] - cpu
            rows.append(
                {
                    "receivers": count, "what": f"drain, {name}", **latency_summary(ages),
                    "kb_each": sent / 1e3 / args.drains / count, "cpu_s": spent / args.drains,
                }
            )  # fmt: skip
        for what in ("all come back", "drain while all come back"):
            await asyncio.sleep(2 * DRAIN_INTERVAL_S)
            cpu, since = resource_usage(service.pid)[0], time.monotonic()
            for group in groups:
                group.say(f"hang {discovery.index + (what != 'all come back')}")
            if what != "all come back":
                await asyncio.sleep(0.3)
                since = discovery.drain()
            found, size = await wait(since)
            rows.append(
                {
                    "receivers": count, "what": what, **latency_summary(found), "kb_each": size / 1e3 / count,
                    "cpu_s": resource_usage(service.pid)[0] - cpu,
                }
            )  # fmt: skip
        for row in rows:
            row["peak_mb"] = resource_usage(service.pid)[1]
    finally:
        for group in groups:
            assert group.process.stdin
            group.process.stdin.close()
            group.process.kill()
        service.terminate()
        await service.wait()
    return rows


async def measure_all(args: argparse.Namespace) -> None:
    rows = []
    for count in map(int, args.receivers.split(",")):
        rows += await measure(args, count)
    names = ("p50_ms", "p99_ms", "worst_ms", "kb_each", "cpu_s", "peak_mb")
    print(f"{'receivers':>9}  {'':28}" + "".join(f"{name:>10}" for name in names))
    for row in rows:
        print(f"{row['receivers']:9}  {row['what']:28}" + "".join(f"{row[name]:10.1f}" for name in names))
    if args.json:
        Path(args.json).write_text(json.dumps(rows, indent=1))


def main() -> None:
    form = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=form)
    parser.add_argument("--receivers", default="1,100,1000")
    parser.add_argument("--boxes", type=int, default=2000)
    parser.add_argument("--drains", type=int, default=10)
    parser.add_argument("--json", default="")
    for name in ("--first", "--count", "--port"):
        parser.add_argument(name, type=int, default=0, help=argparse.SUPPRESS)
    parser.add_argument("--follow", action="store_true", help=argparse.SUPPRESS)
    args = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    what = run_receivers(args) if args.follow else measure_all(args)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(what)


if __name__ == "__main__":
    main()
