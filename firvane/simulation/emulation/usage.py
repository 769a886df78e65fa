"""Computes the work and resource use of backends and proxies over time from records.

Invariants of this module:

1. Work counts in the second in which the backend ended it. Capacity is that at the middle of each second.
2. A backend's load is its work divided by its capacity while it was up; the warm-up is left out.
3. CPU time counts from a proxy's start: a value below the last one belongs to a new process.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from firvane.simulation.emulation.metrics import BoxUse, ProxyUse, Series
from firvane.simulation.emulation.records import Arrived, BoxState, Finished, Record, Sent, Used
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.value import merged
from firvane.simulation.emulation.warm_up import Capacity


class Usage:
    """Accumulates records, given in order of time."""

    def __init__(self, scenario: Scenario) -> None:
        self.warm_up = scenario.warm_up_s
        self.capacity = Capacity(scenario.boxes)
        self.boxes: dict[str, BoxUse] = {}
        self.proxies: dict[str, ProxyUse] = {}
        self.delivered = 0  # bytes of datagrams
        self._work_by_second: dict[str, dict[int, float]] = {}
        self._capacity_by_second: dict[str, dict[int, float]] = {}
        self._last_used: dict[str, Used] = {}
        self._second = 0  # the next second to sample at its middle
        self._handlers: dict[type, Callable[[Any], None]] = {
            BoxState: self._box,
            Arrived: self._arrived,
            Finished: self._finished,
            Used: self._used,
            Sent: self._sent,
        }

    def see(self, record: Record) -> None:
        while record.at > self._second + 0.5:
            for box in self.capacity.levels:
                self._capacity_by_second[box][self._second] = self.capacity.of(box, self._second + 0.5)
            self._second += 1
        handler = self._handlers.get(type(record))
        if handler:
            handler(record)

    def _arrived(self, record: Arrived) -> None:
        use = self.boxes.get(record.box)
        if use and record.verdict != "unheard":
            use.arrived += 1
            use.turned_away += record.verdict == "turned away"

    def _finished(self, record: Finished) -> None:
        worked = self._work_by_second.get(record.box)
        if worked is not None:
            second = int(record.at)
            worked[second] = worked.get(second, 0.0) + record.work

    def _box(self, record: BoxState) -> None:
        self.capacity.see(record)
        if record.box not in self.boxes:
            self.boxes[record.box] = BoxUse(kind=record.kind, zone=record.zone)
            self._work_by_second[record.box] = {}
            self._capacity_by_second[record.box] = {}

    def _proxy(self, name: str) -> ProxyUse:
        if name not in self.proxies:
            self.proxies[name] = ProxyUse()
        return self.proxies[name]

    def _sent(self, record: Sent) -> None:
        use = self._proxy(record.proxy)
        use.datagrams += 1
        use.datagram_bytes += record.size
        use.datagrams_lost += not record.arrived
        self.delivered += record.size if record.arrived else 0

    def _used(self, record: Used) -> None:
        use, last = self._proxy(record.proxy), self._last_used.get(record.proxy)
        self._last_used[record.proxy] = record
        since, at = (last.cpu, last.at) if last and last.cpu <= record.cpu else (0.0, record.at)
        spent = record.cpu - since
        use.cpu_s += spent
        cores = spent / (record.at - at) if record.at > at else 0.0
        use.cores_most = max(use.cores_most, cores)
        use.memory_most = max(use.memory_most, record.memory)
        use.sockets_most = max(use.sockets_most, record.sockets)
        second = int(record.at)
        for series, value in (
            (use.cores, cores),
            (use.memory, record.memory),
            (use.sockets, record.sockets),
        ):
            series += [None] * (second + 1 - len(series))
            series[second] = max(series[second] or 0.0, float(value))

    def box_uses(self, seconds: int, per: int) -> dict[str, BoxUse]:
        """Return the use of each backend over `seconds`, with series in steps of `per` seconds."""
        for name, use in self.boxes.items():
            worked, available = self._work_by_second[name], self._capacity_by_second[name]
            use.work = sum(worked.values())
            counted = [second for second in available if second >= self.warm_up]
            total = sum(available[second] for second in counted)
            use.load = sum(worked.get(second, 0.0) for second in counted) / total if total else 0.0
            use.worked = [*merged((worked.get(second, 0.0) for second in range(seconds)), per)]
            use.capacity = [
                _mean([available.get(second) for second in step]) for step in _steps(seconds, per)
            ]
        return dict(sorted(self.boxes.items()))

    def proxy_uses(self, seconds: int, per: int) -> dict[str, ProxyUse]:
        """Return the use of each proxy; like `box_uses`, but series hold the maximum of each step."""
        for use in self.proxies.values():
            for name in ("cores", "memory", "sockets"):
                series = getattr(use, name)
                padded = series + [None] * (seconds - len(series))
                setattr(use, name, [_maximum([padded[i] for i in step]) for step in _steps(seconds, per)])
        return dict(sorted(self.proxies.items()))


def _steps(seconds: int, per: int) -> list[range]:
    return [range(begin, min(begin + per, seconds)) for begin in range(0, seconds, per)]


def _mean(values: Series) -> float | None:
    """Return the mean of the values that are not None; None if there are none."""
    present = [value for value in values if value is not None]
    return sum(present) / len(present) if present else None


def _maximum(values: Series) -> float | None:
    return max((value for value in values if value is not None), default=None)
