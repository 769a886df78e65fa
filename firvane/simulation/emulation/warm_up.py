"""What a box can do at a moment, and how near a cold one came to falling over: from records alone.

Rules that hold here and nowhere else:

1. A box does `cold_share` of its all when it starts, and more, evenly by the clock, until it is warm after
   `warm_s`. A pause changes nothing in that.
2. Within any `fall_s` the proxies together may send a cold box `fall_multiple` times what it can do in that
   time at its present capacity; what it turns away counts as sent, what it does not hear does not.
3. The proxies pushed it over if it fell and two thirds of that work came from such as knew of its start:
   told of it, or counted as told 6 s later.
4. What comes near the budget is told with its fraction, and so is a fall that nobody could know of.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from firvane.simulation.emulation.records import Arrived, BoxState
from firvane.simulation.emulation.scenario import Boxes
from firvane.simulation.emulation.verdict import Findings, Grade, Rule

KNOWING_PART = 2 / 3
NEAR = 0.8  # of the budget
TOLD_BY = 6.0  # s after a box's start by when everybody counts as told
UP = ("warm", "cold", "paused", "back")


class Level:
    """One box's capacity, as last told."""

    __slots__ = ("began", "full", "start")

    def __init__(self, start: int, began: float) -> None:
        self.start = start
        self.began = began  # -inf where it was warm from the first
        self.full = 0.0  # standard cores once warm


class Capacity:
    """What each box can do. A box that is gone can do nothing and is forgotten."""

    def __init__(self, boxes: Boxes) -> None:
        self.boxes = boxes
        self.levels: dict[str, Level] = {}

    def see(self, record: BoxState) -> None:
        if record.state not in UP:
            self.levels.pop(record.box, None)
            return
        level = self.levels.get(record.box)
        if level is None or level.start != record.start:
            began = record.at if record.state == "cold" else -1e9
            self.levels[record.box] = level = Level(record.start, began)
        if record.capacity > 0:
            level.full = record.capacity / self._warmth(level, record.at)

    def of(self, box: str, now: float) -> float:
        """Standard cores, 0 for one that is not up."""
        level = self.levels.get(box)
        return level.full * self._warmth(level, now) if level else 0.0

    def is_cold(self, box: str, now: float) -> bool:
        level = self.levels.get(box)
        return level is not None and now < level.began + self.boxes.warm_s

    def _warmth(self, level: Level, now: float) -> float:
        age = min(1.0, max(0.0, now - level.began) / self.boxes.warm_s) if self.boxes.warm_s > 0 else 1.0
        return self.boxes.cold_share + (1.0 - self.boxes.cold_share) * age


class Peak(NamedTuple):
    """What the last `fall_s` before `at` held for a cold box."""

    at: float
    fraction: float  # of the work that it may be sent
    knowing: float  # part of that work from proxies that knew of its start
    proxies: tuple[str, ...]  # who sent it, most first


class Sent(NamedTuple):
    at: float
    work: float
    proxy: str
    knew: bool


class Window:
    """What one cold box was sent within the last `fall_s`."""

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


class ColdBoxes:
    """The windows of all boxes that are cold at the moment, and what is found on them."""

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
            self._find(box, record.at, window.worst, Grade.BROKEN if known else Grade.NEAR, "fell")
        elif window:
            self._near(box, window)

    def arrived(self, record: Arrived, told: bool) -> None:
        """`told`: whether its proxy was told of this start of the box."""
        window, at = self.windows.get(record.box), record.at
        if window is None or window.start != record.start or record.verdict == "unheard":
            return
        if not self.capacity.is_cold(record.box, at):
            return
        sent = Sent(at, record.work, record.proxy, told or at >= window.began + TOLD_BY)
        window.add(sent, at - self.boxes.fall_s)
        budget = self.boxes.fall_multiple * self.boxes.fall_s * self.capacity.of(record.box, at)
        if budget > 0 and window.total > window.worst.fraction * budget:
            window.worst = window.peak(at, budget)

    def end(self) -> None:
        """The run is over."""
        for box, window in sorted(self.windows.items()):
            self._near(box, window)

    def _near(self, box: str, window: Window) -> None:
        if window.worst.fraction >= NEAR:
            self._find(box, window.worst.at, window.worst, Grade.NEAR, "stood")

    def _find(self, box: str, at: float, peak: Peak, grade: Grade, how: str) -> None:
        text = (
            f"{how}; at {peak.at:.3f} s it had been sent {peak.fraction:.2f} of what it may be in"
            f" {self.boxes.fall_s:g} s, {peak.knowing:.0%} of it by proxies that knew of its start"
            f" ({', '.join(peak.proxies)})"
        )
        proxy = peak.proxies[0] if peak.proxies else ""
        self.findings.add(Rule.PUSHED_OVER, at, text, grade, box=box, proxy=proxy, fraction=peak.fraction)
