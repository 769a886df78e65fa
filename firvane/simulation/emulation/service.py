"""Computes a run's service figures, latencies and request outcomes from its records.

Invariants of this module:

1. Worth is work times the worth of a unit of work. A request's worth is requested once, at the planned send
   time of its first try; it is earned if any of its tries is answered with its own body within the aim after
   that time. `value.py` sums it up.
2. Worth counts as failed late if a proxy still had one of the request's tries when the aim passed.
3. Work is wasted unless it produced the answer that a client received; of several copies the first to
   complete produced it.
4. Latency is measured from the planned send time of the first try to the answer that served it, so that
   stalls of a client or a proxy are included. Requests never served have no latency; they are counted
   separately.
5. A request's outcome is final when its client can no longer retry. Memory is bounded by the rate, except for
   one number per second and name.
"""

from __future__ import annotations

from array import array
from collections import deque
from collections.abc import Callable
from math import inf
from typing import Any

from msgspec import Struct

from firvane.simulation.emulation.latency import Latencies
from firvane.simulation.emulation.metrics import (
    MESSAGE,
    WEIGHTS,
    Attempts,
    OverTime,
    Requests,
    ServiceResult,
    Tries,
    Waste,
)
from firvane.simulation.emulation.records import Abandoned, Answered, Arrived, Asked, Finished, Probed, Record
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.usage import Usage
from firvane.simulation.emulation.value import Worth, merged

REFUSALS = (429, 503)
MAX_SPREAD = 6  # numbers of attempts counted separately; more are counted with the largest
PROGRESS_S = 5  # s that the progress report covers
POINTS = 300  # most points of a series
EVENTS = ("first_tries", "again", "refused", "failed", "unanswered", "attempts")


class Request:
    """A request: its first try, its retries and its outcome."""

    __slots__ = (
        "aim_at",
        "attempts",
        "calls",
        "counted",
        "done",
        "failed_late",
        "first",
        "last",
        "open",
        "served_at",
    )

    def __init__(self, first: Asked, counted: bool) -> None:
        self.first = first
        self.counted = counted
        self.aim_at = first.meant + first.aim
        self.served_at = inf
        self.failed_late = False
        self.last = ""  # outcome of its last try
        self.calls: list[str] = []
        self.open: dict[str, float] = {}  # open tries and their send times
        self.attempts = 0
        self.done: dict[str, float] = {}  # by call: work of the first completed attempt


class Progress(Struct, frozen=True, kw_only=True):
    """The progress of a run, for display."""

    at: float
    service: float  # of the last seconds whose aims have passed; 1 if they had no requests
    asked: int  # first tries so far
    refused: int
    failed: int
    unanswered: int
    p99_ms: float


class Service:
    """Accumulates records, given in order of time; `result` may be called once, at the end."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.worth = Worth(scenario)
        self.usage = Usage(scenario)
        self.latencies = Latencies(scenario.warm_up_s)
        self.requests = Requests()
        self.tries = Tries()
        self.attempts = Attempts(spread=[0] * (MAX_SPREAD + 1))
        self.waste = Waste()
        self._offered = 0.0  # work requested by counted first tries
        self._failed_late = 0.0  # worth
        self._zones: dict[str, str] = {}  # of the proxies
        self._calls: dict[str, Request] = {}
        self._not_final: deque[tuple[float, Request]] = deque()
        self._events: dict[str, array[int]] = {name: array("l") for name in EVENTS}
        self._at = 0.0
        retries = scenario.load.retries
        wait = max(retries.wait_s[1], retries.beat_s) + 1.5  # 1.5 s for a Retry-After
        self._final_after = 1.0 + (retries.most + 1) * (scenario.load.deadline_s + wait)
        self._handlers: dict[type, Callable[[Any], None]] = {
            Asked: self._asked,
            Answered: self._answered,
            Abandoned: self._abandoned,
            Arrived: self._arrived,
            Finished: self._finished,
            Probed: self._probed,
        }

    def see(self, record: Record) -> None:
        self._at = record.at
        while self._not_final and self._not_final[0][0] < record.at:
            self._finalize(self._not_final.popleft()[1])
        handler = self._handlers.get(type(record))
        if handler:
            handler(record)
        self.usage.see(record)

    # Clients.

    def _asked(self, record: Asked) -> None:
        if record.call in self._calls:  # resent on another connection
            return
        self._zones[record.proxy] = record.zone
        self.tries.asked += 1
        request = self._calls.get(record.first)
        if request:
            self.tries.again += 1
            self._count("again")
        elif record.is_retry:  # its request is already final
            return
        else:
            request = self._add_request(record)
        request.calls.append(record.call)
        self._calls[record.call] = request
        if record.taken:
            request.open[record.call] = record.at
        else:
            self.tries.unreached += 1
            request.last = "failed"

    def _add_request(self, record: Asked) -> Request:
        request = Request(record, self.worth.counts(record))
        self._not_final.append((record.at + self._final_after, request))
        self._count("first_tries")
        self.worth.add(record, earned=False)
        if request.counted:
            self.requests.asked += 1
            self._offered += record.work
        return request

    def _answered(self, record: Answered) -> None:
        request = self._end_try(record.call, record.at)
        if request is None:
            return
        if record.status == 200 and record.body_of == record.call:
            self.tries.served += 1
            request.last = "served"
            if request.served_at == inf:
                self._served(request, record)
        elif record.status in REFUSALS:
            self.tries.refused += 1
            self._count("refused")
            request.last = "refused"
        else:
            self.tries.failed += 1
            self._count("failed")
            request.last = "failed"

    def _served(self, request: Request, record: Answered) -> None:
        request.served_at = record.at
        self.latencies.add(request.first.meant, record.at - request.first.meant)
        if record.at <= request.aim_at:
            self.worth.add(request.first, earned=True)
        if request.counted:
            self.waste.wasted -= request.done.pop(record.call, 0.0)

    def _abandoned(self, record: Abandoned) -> None:
        request = self._end_try(record.call, record.at)
        if request:
            self.tries.unanswered += 1
            self._count("unanswered")
            request.last = "unanswered"

    def _end_try(self, call: str, at: float) -> Request | None:
        """End a try and return its request; None if the try had already ended."""
        request = self._calls.get(call)
        since = request.open.pop(call, None) if request else None
        if request is None or since is None:
            return None
        if since <= request.aim_at < at:
            request.failed_late = True
        return request

    def _finalize(self, request: Request) -> None:
        for call in request.calls:
            del self._calls[call]
        if request.open:
            request.last = "unanswered"
            request.failed_late = request.failed_late or min(request.open.values()) <= request.aim_at
        if not request.counted:
            return
        in_time = request.served_at <= request.aim_at
        if request.failed_late and not in_time:
            self._failed_late += request.first.work * request.first.worth
        if in_time:
            self.requests.in_time += 1
        elif request.served_at < inf:
            self.requests.late += 1
        elif request.last == "refused":
            self.requests.refused += 1
        elif request.last == "failed":
            self.requests.failed += 1
        else:
            self.requests.unanswered += 1
        self.attempts.spread[min(request.attempts, MAX_SPREAD)] += 1

    # Backends.

    def _arrived(self, record: Arrived) -> None:
        request = self._calls.get(record.call)
        self._count("attempts")
        if request is None or not request.counted:
            return
        if record.verdict == "unheard":
            self.attempts.unheard += 1
            return
        request.attempts += 1
        self.attempts.sent += 1
        self.attempts.turned_away += record.verdict == "turned away"
        use = self.usage.boxes.get(record.box)
        self.attempts.crossings += use is not None and use.zone != self._zones.get(record.proxy, use.zone)

    def _finished(self, record: Finished) -> None:
        request = self._calls.get(record.call)
        if request.counted if request else record.at >= self.scenario.warm_up_s:
            self.waste.spent += record.work
            self.waste.wasted += record.work
        if request and record.wanted:
            request.done.setdefault(record.call, record.work)

    def _probed(self, record: Probed) -> None:
        self.attempts.probes += record.at >= self.scenario.warm_up_s

    def _count(self, name: str) -> None:
        counts, second = self._events[name], int(self._at)
        if second >= len(counts):
            counts.extend([0] * (second + 1 - len(counts)))
        counts[second] += 1

    # Results.

    def progress(self) -> Progress:
        """Return the current progress; cheap to compute."""
        pair, last = self.worth.all, int(self._at - self.scenario.load.aim_s)
        begin = max(0, last - PROGRESS_S)
        asked, earned = (sum(values[begin:last]) if last > 0 else 0.0 for values in (pair.asked, pair.earned))
        return Progress(
            at=self._at,
            service=earned / asked if asked else 1.0,
            asked=self.tries.asked - self.tries.again,
            refused=self.tries.refused,
            failed=self.tries.failed + self.tries.unreached,
            unanswered=self.tries.unanswered,
            p99_ms=self.latencies.p99_ms(),
        )

    def result(self) -> ServiceResult:
        while self._not_final:
            self._finalize(self._not_final.popleft()[1])
        attempts, waste = self.attempts, self.waste
        attempts.per_request = attempts.sent / self.requests.asked if self.requests.asked else 0.0
        waste.part = waste.wasted / waste.spent if waste.spent else 0.0
        overall, communities = self.worth.counted.service(), self.worth.by_community()
        worst, worst_at = self.worth.worst()
        name = min(communities, key=lambda one: communities[one], default="")
        least = communities.get(name, 1.0)
        penalties = self._penalties()
        weights = WEIGHTS
        goal = weights.whole * overall + weights.worst_10_s * worst + weights.worst_community * least
        seconds = int(self._at) + 1
        per = -(-seconds // POINTS)
        return ServiceResult(
            score=goal - sum(penalties.values()),
            service=overall,
            worst_10_s=worst,
            worst_10_s_at=worst_at,
            worst_community=least,
            worst_community_name=name,
            communities=communities,
            penalties=penalties,
            requests=self.requests,
            tries=self.tries,
            attempts=attempts,
            waste=waste,
            latency_ms=self.latencies.percentiles(),
            latency_curve=self.latencies.curve(),
            boxes=self.usage.box_uses(seconds, per),
            proxies=self.usage.proxy_uses(seconds, per),
            over_time=self._over_time(seconds, per),
        )

    def _penalties(self) -> dict[str, float]:
        worth = sum(self.worth.counted.asked) or inf
        asked = self.requests.asked or inf
        parts = {
            "failed_late": self._failed_late / worth,
            "waste": self.waste.wasted / (self._offered or inf),
            "crossings": self.attempts.crossings / asked,
            "probes": self.attempts.probes / asked,
            "messages": self.usage.delivered / MESSAGE / asked,
        }
        return {name: getattr(WEIGHTS, name) * part for name, part in parts.items()}

    def _over_time(self, seconds: int, per: int) -> OverTime:
        def padded(series: list[Any], nothing: Any) -> list[Any]:
            steps = -(-seconds // per)
            return [*series, *[nothing] * (steps - len(series))][:steps]

        worth, events = self.worth, self._events
        p50, p99 = self.latencies.series(seconds, per)
        return OverTime(
            step_s=float(per),
            asked=padded(merged(worth.all.asked, per), 0.0),
            earned=padded(merged(worth.all.earned, per), 0.0),
            service=padded(worth.all.series(per), None),
            communities={n: padded(one.series(per), None) for n, one in sorted(worth.communities.items())},
            zones={name: padded(one.series(per), None) for name, one in sorted(worth.zones.items())},
            p50_ms=p50,
            p99_ms=p99,
            **{name: padded([int(n) for n in merged(events[name], per)], 0) for name in EVENTS},
        )
