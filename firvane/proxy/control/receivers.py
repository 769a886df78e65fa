"""The receivers that follow, what each sends, and what they say of the boxes.

Rules that hold here and nowhere else:

1. A receiver is its node's id. It follows from its first stream until `keep` seconds after the end of its
   last: for as long its part of the demand is left to it, for it goes on by what it was told last.
2. What it sends is what it reports, smoothed, at the least `assumed` until its second report. One that stops
   to report keeps its last rate while it follows.
3. A report is bounded before it is believed: its receiver must follow, counts are no more than `most` a
   second allows, boxes must be listed. What does not fit is cut, and counted in `cut`.
4. What receivers say of a box's failures is what most of them say: the median where three or more have sent
   enough there, the least where there are fewer. One alone that lies harms nothing that others use.
5. Counts are let out evenly over the interval between reports, in whole numbers that lose nothing.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from statistics import median

from firvane.proxy.capacity.load_reports import Sum
from firvane.proxy.control.types import NOWHERE, Report

KEEP = 15.0  # s that a receiver without a stream is still counted
ASSUMED, MOST = 10.0, 100_000.0  # requests a second of a receiver that has not said; that one may say
SMOOTH = 0.5  # of a rate, with each report
ENOUGH = 3  # attempts at a box from which a receiver has a say about it
QUIET = 2.5  # intervals in which work was issued and nothing has ended, and a box counts as silent
MOST_RECEIVERS = 20_000


class Seen:
    """What one receiver has seen of one box, of late."""

    __slots__ = ("ended_at", "failed", "held", "issued", "out", "served", "waits_since")

    def __init__(self, now: float) -> None:
        self.served = self.failed = self.issued = 0.0  # a second, smoothed
        self.out, self.held = 0, 0.0  # in progress: now, and smoothed
        self.ended_at = now
        self.waits_since = 0.0  # since when something is out and nothing has ended; 0: nothing is


class Receiver:
    """One that follows."""

    def __init__(self, name: str, zone: int, now: float) -> None:
        self.name, self.zone = name, zone
        self.streams = 0
        self.left_at = now
        self.reported_at: float | None = None
        self.reports = 0
        self.rate = 0.0  # requests a second
        self.boxes: dict[str, Seen] = {}


class Ledger:
    """Times are seconds on one clock; `interval` is that between reports."""

    def __init__(
        self, interval: float, keep: float = KEEP, assumed: float = ASSUMED, most: float = MOST
    ) -> None:
        self.interval, self.keep, self.assumed, self.most = interval, keep, assumed, most
        self.receivers: dict[str, Receiver] = {}
        self.cut = 0
        self._pending: dict[str, list[float]] = {}  # served, failed, issued: not let out yet, by box
        self._taken_at: float | None = None

    def come(self, name: str, zone: int, now: float) -> bool:
        """A stream of it stands; False where there are too many to keep account of."""
        receiver = self.receivers.get(name)
        if receiver is None:
            if len(self.receivers) >= MOST_RECEIVERS:
                return False
            receiver = self.receivers[name] = Receiver(name, zone, now)
        receiver.zone = zone
        receiver.streams += 1
        return True

    def go(self, name: str, now: float) -> None:
        if receiver := self.receivers.get(name):
            receiver.streams = max(0, receiver.streams - 1)
            receiver.left_at = now

    def report(
        self,
        name: str,
        told: Mapping[str, Report],
        listed: Collection[str],
        span: float,
        now: float,
        dropped: int = 0,
    ) -> None:
        """What it has done in `span` seconds, and what it dropped as it was told to: that is demand, too."""
        receiver = self.receivers.get(name)
        if receiver is None:
            self.cut += 1
            return
        span = min(max(span, 0.1), 60.0)
        most, whole = self.most * span, 0.0
        for box, one in told.items():
            if box not in listed:
                self.cut += 1
                continue
            counts = [float(max(0, n)) for n in (one.served, one.failed, one.issued)]
            left = max(0.0, most - whole)
            if counts[2] > left or max(counts[:2]) > most:
                self.cut += 1
                counts = [min(n, left) for n in counts]
            whole += counts[2]
            self._see(receiver, box, counts, min(max(0, one.out), int(most)), span, now)
        for box in receiver.boxes.keys() - told.keys():
            self._see(receiver, box, [0.0, 0.0, 0.0], 0, span, now)
        whole = min(most, whole + max(0, dropped))
        first = receiver.reports == 0
        receiver.reports += 1
        receiver.reported_at = now
        receiver.rate = whole / span if first else receiver.rate + SMOOTH * (whole / span - receiver.rate)

    def _see(
        self, receiver: Receiver, box: str, counts: list[float], out: int, span: float, now: float
    ) -> None:
        seen = receiver.boxes.get(box)
        if seen is None:
            seen = receiver.boxes[box] = Seen(now)
        served, failed, issued = counts
        seen.served += SMOOTH * (served / span - seen.served)
        seen.failed += SMOOTH * (failed / span - seen.failed)
        seen.issued += SMOOTH * (issued / span - seen.issued)
        seen.out = out
        seen.held += SMOOTH * (out - seen.held)
        if served or failed or not out:
            seen.ended_at, seen.waits_since = now, 0.0
        elif not seen.waits_since:
            seen.waits_since = now
        pending = self._pending.setdefault(box, [0.0, 0.0, 0.0])
        for i, n in enumerate(counts):
            pending[i] += n

    def sweep(self, listed: Collection[str], now: float) -> list[str]:
        """Forget who is gone, and boxes that are; the names of receivers that have just gone."""
        gone = [
            name for name, one in self.receivers.items() if not one.streams and now > one.left_at + self.keep
        ]
        for name in gone:
            del self.receivers[name]
        known = set(listed)
        for receiver in self.receivers.values():
            for box in receiver.boxes.keys() - known:
                del receiver.boxes[box]
        for box in self._pending.keys() - known:
            del self._pending[box]
        return gone

    def rate(self, receiver: Receiver) -> float:
        return max(receiver.rate, self.assumed) if receiver.reports < 2 else receiver.rate

    def demand(self) -> dict[int, float]:
        """Requests a second by zone of those who follow."""
        found: dict[int, float] = {}
        for receiver in self.receivers.values():
            found[receiver.zone] = found.get(receiver.zone, 0.0) + self.rate(receiver)
        return found

    def largest(self) -> dict[int, float]:
        """By zone, the largest part of all demand that one receiver has; NOWHERE's where a zone has none."""
        total = sum(self.demand().values()) or 1.0
        found = {NOWHERE: 0.0}
        for receiver in self.receivers.values():
            found[receiver.zone] = max(found.get(receiver.zone, 0.0), self.rate(receiver) / total)
        return found

    def take(self, now: float) -> dict[str, Sum]:
        """What has been done since the last time, by box."""
        span = min(self.interval, now - self._taken_at) if self._taken_at is not None else 0.0
        self._taken_at = now
        part = min(1.0, max(0.0, span / self.interval))
        by_box: dict[str, list[Seen]] = {}
        for receiver in self.receivers.values():
            for box, seen in receiver.boxes.items():
                by_box.setdefault(box, []).append(seen)
        found = {}
        for box, all_seen in by_box.items():
            found[box] = self._sum(self._let_out(box, part), all_seen, now)
        bad = [one.bad for one in found.values() if one.rate]
        usual = median(bad) if len(bad) > 2 else 0.0
        return {box: one._replace(worse=_beyond(one.bad, usual)) for box, one in found.items()}

    def _let_out(self, box: str, part: float) -> tuple[int, int, int]:
        pending = self._pending.get(box)
        if pending is None:
            return 0, 0, 0
        out = []
        for i, n in enumerate(pending):
            whole = int(min(n, max(1.0, n * part)))
            pending[i] = n - whole
            out.append(whole)
        return out[0], out[1], out[2]

    def _sum(self, counts: tuple[int, int, int], all_seen: list[Seen], now: float) -> Sum:
        say = []
        silent = heard = 0
        for seen in all_seen:
            ended = seen.served + seen.failed
            if (ended or seen.issued) * self.interval * 2 >= ENOUGH and ended:
                say.append(seen.failed / ended)
            if seen.waits_since and now > seen.waits_since + QUIET * self.interval:
                silent += 1
            elif seen.served + seen.failed > 0.01:
                heard += 1
        bad = 0.0
        if say:
            bad = float(median(say)) if len(say) >= 3 else min(say)
        return Sum(
            *counts,
            out=sum(seen.held for seen in all_seen),
            rate=sum(seen.served + seen.failed for seen in all_seen),
            bad=bad,
            silent=silent > heard,
        )


def _beyond(bad: float, usual: float) -> float:
    """A part that fails, beyond what is usual."""
    return max(0.0, (bad - usual) / (1.0 - usual)) if usual < 1.0 else 0.0
