"""Checks the proxies' rules against the records of a run, one record at a time.

Invariants of this module:

1. Every limit on sockets is extended by 50 ms.
2. Requests open at a proxy that is killed are not counted as lost. A proxy that was ordered to end and ends
   has lost the requests that it left unanswered; one that is killed after the order has lost those sent to
   it more than 0.7 s after the order.
3. In strict mode a request unanswered at its deadline is lost. The platform counts it as failed instead,
   since a machine that runs proxies, backends and clients at once may stall, and does the same if the
   connection ends with no attempt sent. Virtual time does not stall: there the proxy caused the delay. So
   strict is the default, and live runs are judged leniently.
4. An answer held back has the grade COSTS and breaks no rule. An attempt that began after its request's end
   breaks a rule in virtual time; in live runs it may be a race and has the grade COSTS.
5. A request is forgotten some time after its end: memory is bounded by the rate, not by the length of the
   run.
6. A request whose client disconnected while it was queued must not be forwarded more than `LEFT` s later; a
   share of over `LEFT_PART` of such cases breaks a rule. It was queued if none of its attempts was in
   progress at a backend when its client disconnected: none had arrived completely, or all had ended. A
   request forwarded that late was queued, whatever other attempts were in progress. The disconnect is timed
   at the client, the arrival of an attempt at the backend; the limit is the operators' own, without slack.
   Requests sent to a proxy before it was stalled are left out.

Cold backends are judged in `warm_up.py`, the proxies' resources in `incarnations.py`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from firvane.simulation.emulation.incarnations import DRAIN_GRACE, Incarnation, Incarnations
from firvane.simulation.emulation.metrics import Leavers
from firvane.simulation.emulation.records import (
    Abandoned,
    Answered,
    Arrived,
    Asked,
    BoxState,
    Dropped,
    Finished,
    ProxyState,
    Record,
    Sent,
    Told,
    Used,
)
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.verdict import Breach, Findings, Grade, Rule
from firvane.simulation.emulation.warm_up import ColdBackends

SLACK = 0.05  # s by which every limit is longer
GRACE = 1.0  # s after a proxy was notified that a backend drains or is removed
ATTEMPTS, AT_ONCE = 3, 2
HELD_PART = 0.5  # of a request's time, after which a rejection without an attempt counts as held back
KEPT = 10.0  # least s for which an ended request is kept
REFUSALS = (429, 503)
LEFT = 0.3  # s after its client's disconnect within which a queued request may still be forwarded
LEFT_PART = 0.25  # the share of such cases forwarded later above which a rule is broken


class Try:
    """The state of one try, as its client sees it."""

    __slots__ = (
        "accepted_by",
        "answered",
        "asked",
        "attempts",
        "done",
        "due",
        "ended",
        "in_progress",
        "incarnation",
        "left",
        "unheard",
        "waited",
        "written",
    )  # fmt: skip

    def __init__(self, asked: Asked, incarnation: Incarnation) -> None:
        self.asked = asked
        self.incarnation = incarnation  # the incarnation of the proxy that accepted it
        self.due = asked.deadline + SLACK
        self.ended = -1.0  # end time; below 0 while it is open
        self.answered = False  # whether the client received a final answer
        self.attempts = 0  # number of attempts that arrived at a backend
        self.written = False  # whether any attempt was completely written to a backend
        self.in_progress: list[str] = []  # backends with an attempt in progress
        self.accepted_by = ""  # the first backend that accepted it
        self.done = False  # whether a backend has produced its answer
        self.unheard = False  # whether an attempt went to an unreachable backend; such an attempt never ends
        self.left = -1.0  # when its client disconnected before the deadline; below 0 if it did not
        self.waited = False  # whether it was queued at the disconnect, or was forwarded late and is counted


class Judge:
    """Judges records, given in order of time. `replay` is the command that repeats the same run."""

    def __init__(self, scenario: Scenario, *, strict: bool = True, replay: str = "") -> None:
        self.strict = strict
        self.may_repeat = scenario.load.may_repeat
        self.leavers = Leavers()
        self._late: Breach | None = None  # the first request forwarded after its client's disconnect
        self.findings = Findings(replay)
        self.incarnations = Incarnations(scenario, self.findings)
        self.cold = ColdBackends(scenario.boxes, self.findings)
        self.tries: dict[str, Try] = {}
        self._due: list[tuple[float, str]] = []  # heap of open tries by the time from which they are overdue
        # Stalled processes resume: their attempts may arrive that long after the request's end.
        self._kept = KEPT + max((trouble.for_s for trouble in scenario.troubles), default=0.0)
        self._over: deque[tuple[float, Try]] = deque()  # ended tries and when to forget them
        self._handlers: dict[type, Callable[[Any], None]] = {
            Asked: self._asked,
            Answered: self._answered,
            Abandoned: self._abandoned,
            Arrived: self._arrived,
            Finished: self._finished,
            Dropped: lambda record: self._end_attempt(record.call, record.box),
            BoxState: self.cold.see,
            Told: lambda record: self.incarnations.of(record.proxy).told(record),
            ProxyState: self._proxy,
            Used: self.incarnations.used,
            Sent: self.incarnations.sent,
        }

    def see(self, record: Record) -> None:
        self._advance(record.at)
        handler = self._handlers.get(type(record))
        if handler:
            handler(record)

    def end(self, at: float) -> None:
        """End the run: all records up to `at` have been seen."""
        self._advance(at)
        self.cold.end()
        self.incarnations.end(at)
        found, late = self.leavers, self._late
        if late and found.sent_on > LEFT_PART * found.waiting:
            text = (
                f"of {found.waiting} requests whose clients left while they waited {found.sent_on} were sent"
                f" on over {LEFT:g} s later, {found.share:.0%} (at most {LEFT_PART:.0%}); this the first:"
                f" {late.text}"
            )
            self.findings.add(late.rule, late.at, text, call=late.call, box=late.box, proxy=late.proxy)

    def breaches(self, grade: Grade = Grade.BROKEN) -> list[Breach]:
        """Return the findings of one grade, in order of time."""
        return self.findings.of(grade)

    # Clients.

    def _advance(self, now: float) -> None:
        """Report the open tries that were due before `now`, and forget old ones."""
        while self._due and self._due[0][0] < now:
            due, call = heappop(self._due)
            try_ = self.tries.get(call)
            if try_ and try_.ended < 0 and try_.due == due:
                self._unanswered(try_, due)
        while self._over and self._over[0][0] < now:
            _, try_ = self._over.popleft()
            if self.tries.get(try_.asked.call) is try_:
                del self.tries[try_.asked.call]

    def _asked(self, record: Asked) -> None:
        incarnation = self.incarnations.of(record.proxy)
        if not record.taken or not incarnation.running:
            return
        try_ = Try(record, incarnation)
        old = self.tries.get(record.call)
        if old and old.ended < 0:  # resent on another connection: the attempts add up
            try_.attempts, try_.written, try_.in_progress, try_.accepted_by = (
                old.attempts,
                old.written,
                old.in_progress,
                old.accepted_by,
            )
            try_.done, try_.unheard = old.done, old.unheard
        else:
            incarnation.open += 1
        self.tries[record.call] = try_
        heappush(self._due, (try_.due, record.call))

    def _answered(self, record: Answered) -> None:
        try_ = self.tries.get(record.call)
        if try_ is None:
            return
        if try_.ended >= 0:
            if try_.answered and record.status:
                self._report(try_, Rule.ANSWERED_TWICE, record.at, f"answered before at {try_.ended:.3f} s")
            return
        try_.answered = record.status != 0
        if record.status == 0:
            if self.strict or try_.written:
                self._report(try_, Rule.LOST, record.at, "its connection ended without a complete answer")
        elif record.status == 200:
            if record.body_of != record.call:
                made = f"was made for {record.body_of}" if record.body_of else "came from no backend"
                self._report(try_, Rule.FOREIGN, record.at, f"the body {made}")
        else:
            self._check_rejection(try_, record)
        self._close(try_, record.at)

    def _check_rejection(self, try_: Try, record: Answered) -> None:
        took, time = record.at - try_.asked.at, try_.asked.deadline - try_.asked.at
        if not try_.written and took > HELD_PART * time + SLACK:
            text = f"answered {record.status} after {took:.3f} of {time:.3f} s, no attempt sent to a backend"
            self._report(try_, Rule.HELD_BACK, record.at, text, Grade.COSTS)
        if record.status in REFUSALS and try_.accepted_by and not self.may_repeat:
            text = f"answered {record.status}, safe to retry, though {try_.accepted_by} had accepted it"
            self._report(try_, Rule.EFFECTS, record.at, text, box=try_.accepted_by)

    def _abandoned(self, record: Abandoned) -> None:
        try_ = self.tries.get(record.call)
        if try_ is None or try_.ended >= 0:
            return
        if record.at >= try_.asked.deadline - 0.001:
            self._unanswered(try_, record.at)
        else:  # the client disconnected before its deadline: no answer is due
            self._count_disconnect(try_, record.at)
            self._close(try_, record.at)

    def _count_disconnect(self, try_: Try, at: float) -> None:
        """Count a client that disconnected before its deadline."""
        if try_.incarnation.excuses(try_.asked.at):
            return
        try_.left = at
        try_.waited = not (try_.in_progress or try_.done or try_.unheard)
        self.leavers.left += 1
        self.leavers.waiting += try_.waited

    def _unanswered(self, try_: Try, at: float) -> None:
        text = f"not answered by its deadline, {try_.asked.deadline:.3f} s"
        if try_.incarnation.excuses(try_.asked.at):
            self._close(try_, at)
            return
        if self.strict:
            self._report(try_, Rule.LOST, at, text)
        if not try_.written:
            self._report(try_, Rule.HELD_BACK, at, f"{text}, no attempt sent to a backend", Grade.COSTS)
        self._close(try_, at)

    def _report(
        self, try_: Try, rule: Rule, at: float, text: str, grade: Grade = Grade.BROKEN, box: str = ""
    ) -> None:
        text = f"sent at {try_.asked.at:.3f} s; {text}"
        self.findings.add(rule, at, text, grade, call=try_.asked.call, box=box, proxy=try_.asked.proxy)

    def _close(self, try_: Try, at: float) -> None:
        try_.ended = at
        try_.incarnation.closed(at)
        self._over.append((at + self._kept, try_))

    # Backends.

    def _arrived(self, record: Arrived) -> None:
        incarnation = self.incarnations.of(record.proxy)
        down = incarnation.down.get(record.box)
        if down is not None and record.began > down + GRACE + SLACK:
            text = f"began {record.began - down:.3f} s after the proxy was notified at {down:.3f} s"
            self._report_attempt(Rule.DRAINED, record, text)
        self.cold.arrived(record, incarnation.up.get(record.box, -1) >= record.start)
        try_ = self.tries.get(record.call)
        if try_ is None or record.verdict == "unknown call":
            if incarnation.running:
                self._report_attempt(Rule.UNKNOWN, record, "no client sent it, or it ended long ago")
            return
        try_.written = True
        if try_.left >= 0 and record.at > try_.left + LEFT:
            self._count_forwarded(try_, record)
        if record.verdict == "unheard":
            try_.unheard = True
        else:
            self._check_attempt(try_, record)

    def _count_forwarded(self, try_: Try, record: Arrived) -> None:
        """Count a request forwarded long after its client's disconnect; each request counts once."""
        if try_.incarnation.excuses(try_.asked.at):  # its proxy was stalled since
            return
        if self._late is None:
            text = f"sent at {try_.asked.at:.3f} s, its client left at {try_.left:.3f} s"
            self._late = Breach(
                rule=Rule.SENT_ON, at=record.at, text=text, call=record.call, box=record.box,
                proxy=record.proxy,
            )  # fmt: skip
        self.leavers.waiting += not try_.waited
        self.leavers.sent_on += 1
        try_.waited, try_.left = True, -1.0

    def _report_attempt(self, rule: Rule, record: Arrived, text: str) -> None:
        self.findings.add(rule, record.at, text, call=record.call, box=record.box, proxy=record.proxy)

    def _check_attempt(self, try_: Try, record: Arrived) -> None:
        """Judge an attempt that arrived at a reachable backend."""
        at, box = record.at, record.box
        if 0 <= try_.ended < record.began - SLACK and not try_.incarnation.excuses(try_.asked.at):
            text = f"began at {record.began:.3f} s, the request had ended at {try_.ended:.3f} s"
            grade = Grade.BROKEN if self.strict else Grade.COSTS
            self._report(try_, Rule.AFTER_END, at, text, grade, box)
        try_.attempts += 1
        if try_.attempts > ATTEMPTS:
            self._report(try_, Rule.ATTEMPTS, at, f"attempt {try_.attempts}", box=box)
        if record.verdict == "taken":
            if try_.accepted_by and not self.may_repeat:
                self._report(try_, Rule.EFFECTS, at, f"{try_.accepted_by} had accepted it before", box=box)
            try_.accepted_by = try_.accepted_by or box
            try_.in_progress.append(box)
            if len(try_.in_progress) > AT_ONCE:
                self._report(
                    try_, Rule.COPIES, at, f"in progress at once at {', '.join(try_.in_progress)}", box=box
                )

    def _finished(self, record: Finished) -> None:
        if record.wanted and (try_ := self.tries.get(record.call)):
            try_.done = True
        self._end_attempt(record.call, record.box)

    def _end_attempt(self, call: str, box: str) -> None:
        """Remove an attempt from those in progress."""
        try_ = self.tries.get(call)
        if try_ and box in try_.in_progress:
            try_.in_progress.remove(box)

    # Proxies.

    def _proxy(self, record: ProxyState) -> None:
        if not self.incarnations.see(record):
            return
        told = self.incarnations.of(record.proxy).ending
        for try_ in self.tries.values():
            if try_.ended < 0 and try_.asked.proxy == record.proxy:
                if told is not None and (record.state == "ended" or try_.asked.at > told + DRAIN_GRACE):
                    text = f"the proxy, ordered to end at {told:.3f} s, left it unanswered"
                    self._report(try_, Rule.LOST, record.at, text)
                self._close(try_, record.at)
