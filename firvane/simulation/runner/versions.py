"""Versions of the proxy with a set fault: a shim round the real one, in virtual time.

Rules that hold here and nowhere else:

1. The proxy is the real one: a fault stands between its parts, and the counts of `measures` see what clients
   see. What the proxy says of its memory and CPU is made up here, as virtual processes share one process.
2. `size` is the fault's, 1 as it is named. What is drawn is drawn from the seed of the process's start.
3. A version that is well takes the same ways as the program alone: with `same` requests are counted here and
   handed on.
"""

from __future__ import annotations

from collections.abc import Callable
from math import exp
from random import Random
from struct import Struct
from typing import Any, Literal

from firvane.proxy.metrics import ResourceUse

VersionName = Literal[
    "same",  # the program as it is
    "cold",  # slower by as much again in its first `COLD_S`
    "better",  # as it is, and the old one is slower by a tenth
    "refuses",  # 5% more
    "slow",  # by half as long again
    "repeats",  # each request goes to a second box, too
    "tenant",  # one tenant is refused
    "leaks",  # 1 MB a minute
    "dies",  # under its first requests
    "misread",  # peers read far more from its rows: rates, and attempts out at boxes
    "no-drains",  # boxes that drain are taken for boxes that are up
]
HARMFUL: tuple[VersionName, ...] = (
    "refuses", "slow", "repeats", "tenant", "leaks", "dies", "misread", "no-drains",
)  # fmt: skip
HARMLESS: tuple[VersionName, ...] = ("same", "cold", "better")
COLD_S = 8.0
FIRST = 20  # requests, under which it dies
HEAD = 30  # bytes of a row before its entries, in either version
RATES = Struct("<4f"), 13  # and its four rates, with where they stand
ENTRY = {1: 3, 2: 5}  # bytes of an entry by the row's version; the last is the attempts out at a box
TIMES = 40  # what peers take these for


class Later:
    """Stands for whoever asked: an answer comes later by a part of what it took."""

    def __init__(self, flow: Any, loop: Any, part: float) -> None:
        self.flow, self.client, self.loop, self.part, self.since = flow, flow.client, loop, part, loop.time()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.client, name)

    def on_response(self, answer: Any) -> None:
        now = self.loop.time()
        self.loop.call_at(now + self.part * (now - self.since), self._served, answer)

    def _served(self, answer: Any) -> None:
        whoever = getattr(self.client, "client", self.client)
        if whoever.flow is self.flow:  # else it has gone away
            self.client.on_response(answer)


class Unheard:
    """An attempt on which nobody waits."""

    def __init__(self, deadline: float) -> None:
        self.deadline = self.start_before = deadline

    def on_request_sent(self) -> None: ...

    def on_body_consumed(self) -> None: ...

    def on_response_started(self, answer: Any) -> None: ...

    def on_ended(self, ending: Any, answer: Any = None) -> None: ...


class Fault:
    """One process's."""

    def __init__(self, proxy: Any, name: str, size: float, seed: int, die: Callable[[], None]) -> None:
        self.proxy, self.name, self.size, self.die = proxy, name, size, die
        self.loop, self.engine = proxy.loop, proxy.engine
        self.draw = Random(f"version/{seed}")
        self.since, self.taken = self.loop.time(), 0
        self.take, self.engine.accept_request = self.engine.accept_request, self._take
        if name == "misread":
            self.tell, proxy.peers.send_datagram = proxy.peers.send_datagram, self._tell
        if name == "no-drains":
            self.read, proxy.target_group.reader.read = proxy.target_group.reader.read, self._read
        if proxy.limiter.metrics is not None:
            proxy.limiter.metrics.resource_use = self.used
            proxy.limiter.metrics.pid = seed

    def used(self) -> ResourceUse:
        """What such a process would say: it grows to its size, its memory jitters, each request costs."""
        up = self.loop.time() - self.since
        held = 30.0 + 2.0 * (1 - exp(-up / 5)) + self.draw.uniform(-0.02, 0.02)
        if self.name == "leaks":
            held += self.size * up / 60
        counts = self.proxy.limiter.metrics.classes.values()
        cpu = sum(0.0005 * one.taken + 0.0002 * one.attempts for one in counts)
        return ResourceUse(cpu, held, sum(self.proxy.monitor.descriptors.open.values()))

    def _take(self, flow: Any, request: Any) -> None:
        self.taken += 1
        match self.name:
            case "refuses" if self.draw.random() < 0.05 * self.size:
                self._refuse(flow)
                return
            case "tenant" if request.tenant == 2 and self.draw.random() < self.size:
                self._refuse(flow)
                return
            case "slow":
                flow.client = Later(flow, self.loop, 0.5 * self.size)
            case "old-slow":
                flow.client = Later(flow, self.loop, 0.1 * self.size)
            case "cold" if self.loop.time() - self.since < COLD_S:
                flow.client = Later(flow, self.loop, self.size)
            case "repeats" if self.draw.random() < self.size:
                self._repeat(flow)
            case "dies" if self.taken == FIRST:
                self.die()
        self.take(flow, request)

    def _refuse(self, flow: Any) -> None:
        flow.open = False
        flow.client.on_rejected(0.1)

    def _repeat(self, flow: Any) -> None:
        boxes = sorted(self.engine.known_targets)
        if boxes:
            box = boxes[int(self.draw.random() * len(boxes))]
            self.proxy.upstream_pools.forward(flow.request, box, Unheard(flow.deadline))
            for counts in getattr(flow.client, "by", ()):
                counts.attempts += 1

    def _tell(self, peer: int | None, payload: bytes) -> None:
        row = bytearray(payload)
        size = ENTRY.get(row[0] if row else 0, 0)
        if size and len(row) >= HEAD:
            form, at = RATES
            form.pack_into(row, at, *(TIMES * self.size * rate for rate in form.unpack_from(row, at)))
            for at in range(HEAD + size - 1, len(row), size):
                row[at] = min(255, round(TIMES * self.size * row[at]))
        self.tell(peer, bytes(row))

    def _read(self, data: Any) -> Any:
        if isinstance(data, dict) and isinstance(data.get("endpoints"), list):
            entries = [
                {**entry, "status": "up"} if entry.get("status") == "draining" else entry
                for entry in data["endpoints"]
            ]
            data = {**data, "endpoints": entries}
        return self.read(data)
