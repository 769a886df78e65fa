"""What boxes and proxies did and used over time: from records alone.

Rules that hold here and nowhere else:

1. Work is booked to the second in which the box ended it. Capacity is that of the middle of each second.
2. A box's load is its work as a part of what it could have done while it was up: the warm-up is left out.
3. CPU is told since a proxy's start: a figure below the last one belongs to a new life.
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
    """Sees records in the order of their times."""

    def __init__(self, scenario: Scenario) -> None:
        self.warm_up = scenario.warm_up_s
        self.capacity = Capacity(scenario.boxes)
        self.boxes: dict[str, BoxUse] = {}
        self.proxies: dict[str, ProxyUse] = {}
        self.delivered = 0  # bytes of datagrams
        self._worked: dict[str, dict[int, float]] = {}
        self._able: dict[str, dict[int, float]] = {}
        self._last: dict[str, Used] = {}
        self._second = 0  # whose middle is the next to come
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
                self._able[box][self._second] = self.capacity.of(box, self._second + 0.5)
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
        worked = self._worked.get(record.box)
        if worked is not None:
            second = int(record.at)
            worked[second] = worked.get(second, 0.0) + record.work

    def _box(self, record: BoxState) -> None:
        self.capacity.see(record)
        if record.box not in self.boxes:
            self.boxes[record.box] = BoxUse(kind=record.kind, zone=record.zone)
            self._worked[record.box] = {}
            self._able[record.box] = {}

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
        use, last = self._proxy(record.proxy), self._last.get(record.proxy)
        self._last[record.proxy] = record
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
        """Over so many seconds, with series of so many seconds a step."""
        for name, use in self.boxes.items():
            worked, able = self._worked[name], self._able[name]
            use.work = sum(worked.values())
            counted = [second for second in able if second >= self.warm_up]
            could = sum(able[second] for second in counted)
            use.load = sum(worked.get(second, 0.0) for second in counted) / could if could else 0.0
            use.worked = [*merged((worked.get(second, 0.0) for second in range(seconds)), per)]
            use.capacity = [_mean([able.get(second) for second in step]) for step in _steps(seconds, per)]
        return dict(sorted(self.boxes.items()))

    def proxy_uses(self, seconds: int, per: int) -> dict[str, ProxyUse]:
        """As `box_uses`; series hold the most of each step."""
        for use in self.proxies.values():
            for name in ("cores", "memory", "sockets"):
                series = getattr(use, name)
                padded = series + [None] * (seconds - len(series))
                setattr(use, name, [_most([padded[i] for i in step]) for step in _steps(seconds, per)])
        return dict(sorted(self.proxies.items()))


def _steps(seconds: int, per: int) -> list[range]:
    return [range(begin, min(begin + per, seconds)) for begin in range(0, seconds, per)]


def _mean(values: Series) -> float | None:
    """Of those that there are."""
    there = [value for value in values if value is not None]
    return sum(there) / len(there) if there else None


def _most(values: Series) -> float | None:
    return max((value for value in values if value is not None), default=None)
