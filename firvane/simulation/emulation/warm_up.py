"""Computes backends' capacity, and how close cold ones came to overload, from records.

Invariants of this module:

1. A backend has `cold_share` of its capacity when it starts. The share rises linearly with time to 1 after
   `warm_s`, also during a pause.
2. Within any `fall_s` all proxies together may send a cold backend `fall_multiple` times the work that it can
   do in that time at its current capacity. Rejected attempts count as sent, unheard ones don't.
3. The proxies overloaded it if it fell and at least two thirds of that work came from proxies that knew of
   its start: those notified of it, and all proxies from 6 s after the start.
4. Peaks near the budget are reported with their fraction of it, as are falls of backends whose start the
   proxies did not know.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from firvane.simulation.emulation.records import Arrived, BoxState
from firvane.simulation.emulation.scenario import Boxes
from firvane.simulation.emulation.verdict import Findings, Grade, Rule

KNOWING_PART = 2 / 3
NEAR = 0.8  # part of the budget
NOTIFIED_AFTER = 6.0  # s after a backend's start from which all proxies count as notified
UP = ("warm", "cold", "paused", "back")


class CapacityLevel:
    """One backend's last recorded capacity."""

    __slots__ = ("began", "full", "start")

    def __init__(self, start: int, began: float) -> None:
        self.start = start
        self.began = began  # far in the past if it was warm from the start
        self.full = 0.0  # standard cores once warm


class Capacity:
    """The capacity of each backend that is up."""

    def __init__(self, boxes: Boxes) -> None:
        self.boxes = boxes
        self.levels: dict[str, CapacityLevel] = {}

    def see(self, record: BoxState) -> None:
        if record.state not in UP:
            self.levels.pop(record.box, None)
            return
        level = self.levels.get(record.box)
        if level is None or level.start != record.start:
            began = record.at if record.state == "cold" else -1e9
            self.levels[record.box] = level = CapacityLevel(record.start, began)
        if record.capacity > 0:
            level.full = record.capacity / self._warmth(level, record.at)

    def of(self, box: str, now: float) -> float:
        """Return the usable standard cores of `box` at `now`, 0 if it is not up."""
        level = self.levels.get(box)
        return level.full * self._warmth(level, now) if level else 0.0

    def is_cold(self, box: str, now: float) -> bool:
        level = self.levels.get(box)
        return level is not None and now < level.began + self.boxes.warm_s

    def _warmth(self, level: CapacityLevel, now: float) -> float:
        age = min(1.0, max(0.0, now - level.began) / self.boxes.warm_s) if self.boxes.warm_s > 0 else 1.0
        return self.boxes.cold_share + (1.0 - self.boxes.cold_share) * age


class Peak(NamedTuple):
    """The work sent to a cold backend in the `fall_s` before `at`."""

    at: float
    fraction: float  # of the budget
    knowing: float  # part of that work sent by proxies that knew of the start
    proxies: tuple[str, ...]  # senders, by descending work


class Sent(NamedTuple):
    at: float
    work: float
    proxy: str
    knew: bool


class Window:
    """The work sent to one cold backend within the last `fall_s`."""

    __slots__ = ("began", "sent", "start", "total", "worst")

    def __init__(self, start: int, began: float) -> None:
        self.start = start
        self.began = began
        self.sent: deque[Sent] = deque()
        self.total = 0.0
        self.worst = Peak(began, 0.0, 0.0, ())

    def add(self, sent: Sent, since: float) -> None:
        self.sent.append(sent)
        self.total += sent.work
        while self.sent[0].at <= since:
            self.total -= self.sent.popleft().work

    def peak(self, at: float, budget: float) -> Peak:
        work: dict[str, float] = {}
        for sent in self.sent:
            work[sent.proxy] = work.get(sent.proxy, 0.0) + sent.work
        knowing = sum(sent.work for sent in self.sent if sent.knew)
        proxies = tuple(sorted(work, key=lambda proxy: (-work[proxy], proxy)))
        return Peak(at, self.total / budget, knowing / self.total, proxies)


class ColdBackends:
    """The windows of all backends that are currently cold, and the findings on them."""

    def __init__(self, boxes: Boxes, findings: Findings) -> None:
        self.boxes = boxes
        self.findings = findings
        self.capacity = Capacity(boxes)
        self.windows: dict[str, Window] = {}

    def see(self, record: BoxState) -> None:
        self.capacity.see(record)
        box, window = record.box, self.windows.get(record.box)
        if record.state == "cold":
            if window is None or window.start != record.start:
                self.windows[box] = Window(record.start, record.at)
            else:
                return
        elif record.state == "warm" or record.state not in UP:
            self.windows.pop(box, None)
        else:
            return
        if window and record.state == "fell":
            known = window.worst.knowing >= KNOWING_PART
            self._report(box, record.at, window.worst, Grade.BROKEN if known else Grade.NEAR, "fell")
        elif window:
            self._report_near(box, window)

    def arrived(self, record: Arrived, notified: bool) -> None:
        """Count an attempt; `notified` is whether its proxy was notified of this start of the backend."""
        window, at = self.windows.get(record.box), record.at
        if window is None or window.start != record.start or record.verdict == "unheard":
            return
        if not self.capacity.is_cold(record.box, at):
            return
        sent = Sent(at, record.work, record.proxy, notified or at >= window.began + NOTIFIED_AFTER)
        window.add(sent, at - self.boxes.fall_s)
        budget = self.boxes.fall_multiple * self.boxes.fall_s * self.capacity.of(record.box, at)
        if budget > 0 and window.total > window.worst.fraction * budget:
            window.worst = window.peak(at, budget)

    def end(self) -> None:
        """End the run: report the remaining windows."""
        for box, window in sorted(self.windows.items()):
            self._report_near(box, window)

    def _report_near(self, box: str, window: Window) -> None:
        if window.worst.fraction >= NEAR:
            self._report(box, window.worst.at, window.worst, Grade.NEAR, "stood")

    def _report(self, box: str, at: float, peak: Peak, grade: Grade, how: str) -> None:
        text = (
            f"{how}; at {peak.at:.3f} s it had been sent {peak.fraction:.2f} of the allowed work in"
            f" {self.boxes.fall_s:g} s, {peak.knowing:.0%} of it by proxies that knew of its start"
            f" ({', '.join(peak.proxies)})"
        )
        proxy = peak.proxies[0] if peak.proxies else ""
        self.findings.add(Rule.PUSHED_OVER, at, text, grade, box=box, proxy=proxy, fraction=peak.fraction)
