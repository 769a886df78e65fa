"""The rules, checked from outside: from records alone, one after the other.

Rules that hold here and nowhere else:

1. Every limit is 50 ms longer on sockets than it is written.
2. A proxy that is killed takes its requests with it, and nobody lost them. One that was told to end and
   ends, lost what it had not answered; one that is killed after it was told, what came more than 0.7 s
   after that.
3. Strictly, a request that is unanswered at its time is lost. The platform is kinder on days of service and
   says that it has failed, since a machine that plays proxies, boxes and clients at once may stall; so it
   says of one whose connection ends with nothing sent on for it. Virtual time does not stall: what is late
   there, the proxy made late. So strict is the default; live runs are judged leniently.
4. An answer held back costs and breaks no rule. An attempt that began after its request's end breaks one in
   virtual time; where a machine may stall it may be a race, and is graded as costing.
5. A request is forgotten some time after its end: memory is bounded by the rate, not by the length of the
   run.
6. A request whose client has left while it waited is not sent on `LEFT` s later; over `LEFT_PART` of such
   cases break a rule. It waited if no attempt of it was out at a box when its client left: none had come
   whole to one, or all that had were over. One that is sent on that late waited somewhere, whatever else
   was out. When a client left is known at its own side, when an attempt came whole at the box's; the
   figure is the operators' own, with no slack. What a proxy was asked before it stood still is left out.

Cold boxes are judged in `cold.py`, what proxies hold in `lives.py`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from firvane.simulation.emulation.incarnations import LAME, Life, Lives
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
from firvane.simulation.emulation.warm_up import ColdBoxes

SLACK = 0.05  # s by which every limit is longer
GRACE = 1.0  # s after the word that a box drains or is gone
ATTEMPTS, AT_ONCE = 3, 2
HELD_PART = 0.5  # of a request's time, after which a refusal without an attempt was held back
KEPT = 10.0  # s for which a request that is over is remembered, at least
REFUSALS = (429, 503)
LEFT = 0.3  # s after its client has left in which a request that waited may still be sent on
LEFT_PART = 0.25  # of such cases, beyond which they break a rule


class Try:
    """One request as its client knows it."""

    __slots__ = (
        "answered", "asked", "attempts", "done", "due", "ended", "left", "life", "out", "ran", "unheard",
        "waited", "written",
    )  # fmt: skip

    def __init__(self, asked: Asked, life: Life) -> None:
        self.asked = asked
        self.life = life  # of its proxy, in which it was taken
        self.due = asked.deadline + SLACK
        self.ended = -1.0  # when; below 0 while it is open
        self.answered = False  # a final answer has come
        self.attempts = 0  # that arrived
        self.written = False  # whether any was written whole
        self.out: list[str] = []  # the boxes that may still answer
        self.ran = ""  # the box that took it first
        self.done = False  # a box has made its answer
        self.unheard = False  # an attempt is out at a box that does not hear it, and never ends there
        self.left = -1.0  # when its client went before its time; below 0 where it did not
        self.waited = False  # and nothing of it was out then; or it was sent on late, and has been counted


class Judge:
    """Sees records in the order of their times. `replay` is the command that plays the same run again."""

    def __init__(self, scenario: Scenario, *, strict: bool = True, replay: str = "") -> None:
        self.strict = strict
        self.may_repeat = scenario.load.may_repeat
        self.leavers = Leavers()
        self._late: Breach | None = None  # the first that was sent on for a client that had left
        self.findings = Findings(replay)
        self.lives = Lives(scenario, self.findings)
        self.cold = ColdBoxes(scenario.boxes, self.findings)
        self.tries: dict[str, Try] = {}
        self._due: list[tuple[float, str]] = []  # heap: when an open try is overdue
        # What stood still goes on where it was: attempts may arrive that long after their request's end.
        self._kept = KEPT + max((trouble.for_s for trouble in scenario.troubles), default=0.0)
        self._over: deque[tuple[float, Try]] = deque()  # when a try that has ended is forgotten
        self._handlers: dict[type, Callable[[Any], None]] = {
            Asked: self._asked,
            Answered: self._answered,
            Abandoned: self._abandoned,
            Arrived: self._arrived,
            Finished: self._finished,
            Dropped: lambda record: self._in(record.call, record.box),
            BoxState: self.cold.see,
            Told: lambda record: self.lives.of(record.proxy).told(record),
            ProxyState: self._proxy,
            Used: self.lives.used,
            Sent: self.lives.sent,
        }

    def see(self, record: Record) -> None:
        self._pass(record.at)
        handler = self._handlers.get(type(record))
        if handler:
            handler(record)

    def end(self, at: float) -> None:
        """The run is over: everything that came by `at` has been seen."""
        self._pass(at)
        self.cold.end()
        self.lives.end(at)
        found, late = self.leavers, self._late
        if late and found.sent_on > LEFT_PART * found.waiting:
            text = (
                f"of {found.waiting} requests whose clients left while they waited {found.sent_on} were sent"
                f" on over {LEFT:g} s later, {found.share:.0%} (at most {LEFT_PART:.0%}); this the first:"
                f" {late.text}"
            )
            self.findings.add(late.rule, late.at, text, call=late.call, box=late.box, proxy=late.proxy)

    def breaches(self, grade: Grade = Grade.BROKEN) -> list[Breach]:
        """The findings of one grade in the order of their times."""
        return self.findings.of(grade)

    # Clients.

    def _pass(self, now: float) -> None:
        """What was due before now and has not come."""
        while self._due and self._due[0][0] < now:
            due, call = heappop(self._due)
            one = self.tries.get(call)
            if one and one.ended < 0 and one.due == due:
                self._unanswered(one, due)
        while self._over and self._over[0][0] < now:
            _, one = self._over.popleft()
            if self.tries.get(one.asked.call) is one:
                del self.tries[one.asked.call]

    def _asked(self, record: Asked) -> None:
        life = self.lives.of(record.proxy)
        if not record.taken or not life.running:
            return
        one = Try(record, life)
        old = self.tries.get(record.call)
        if old and old.ended < 0:  # sent again on another connection: one request, whose attempts add up
            one.attempts, one.written, one.out, one.ran = old.attempts, old.written, old.out, old.ran
            one.done, one.unheard = old.done, old.unheard
        else:
            life.open += 1
        self.tries[record.call] = one
        heappush(self._due, (one.due, record.call))

    def _answered(self, record: Answered) -> None:
        one = self.tries.get(record.call)
        if one is None:
            return
        if one.ended >= 0:
            if one.answered and record.status:
                self._on(one, Rule.ANSWERED_TWICE, record.at, f"answered before at {one.ended:.3f} s")
            return
        one.answered = record.status != 0
        if record.status == 0:
            if self.strict or one.written:
                self._on(one, Rule.LOST, record.at, "its connection ended without a whole answer")
        elif record.status == 200:
            if record.body_of != record.call:
                made = f"was made for {record.body_of}" if record.body_of else "came from no box"
                self._on(one, Rule.FOREIGN, record.at, f"the body {made}")
        else:
            self._given_up(one, record)
        self._close(one, record.at)

    def _given_up(self, one: Try, record: Answered) -> None:
        took, time = record.at - one.asked.at, one.asked.deadline - one.asked.at
        if not one.written and took > HELD_PART * time + SLACK:
            text = f"answered {record.status} after {took:.3f} of {time:.3f} s, no attempt written to a box"
            self._on(one, Rule.HELD_BACK, record.at, text, Grade.COSTS)
        if record.status in REFUSALS and one.ran and not self.may_repeat:
            text = f"answered {record.status}, that it is harmless to ask again, though {one.ran} took it"
            self._on(one, Rule.EFFECTS, record.at, text, box=one.ran)

    def _abandoned(self, record: Abandoned) -> None:
        one = self.tries.get(record.call)
        if one is None or one.ended >= 0:
            return
        if record.at >= one.asked.deadline - 0.001:
            self._unanswered(one, record.at)
        else:  # an impatient client: nobody owes it anything
            self._left(one, record.at)
            self._close(one, record.at)

    def _left(self, one: Try, at: float) -> None:
        """A client has gone before its time."""
        if one.life.excuses(one.asked.at):
            return
        one.left = at
        one.waited = not (one.out or one.done or one.unheard)
        self.leavers.left += 1
        self.leavers.waiting += one.waited

    def _unanswered(self, one: Try, at: float) -> None:
        text = f"not answered by {one.asked.deadline:.3f} s, its time"
        if one.life.excuses(one.asked.at):
            self._close(one, at)
            return
        if self.strict:
            self._on(one, Rule.LOST, at, text)
        if not one.written:
            self._on(one, Rule.HELD_BACK, at, f"{text}, no attempt written to a box", Grade.COSTS)
        self._close(one, at)

    def _on(
        self, one: Try, rule: Rule, at: float, text: str, grade: Grade = Grade.BROKEN, box: str = ""
    ) -> None:
        text = f"asked at {one.asked.at:.3f} s; {text}"
        self.findings.add(rule, at, text, grade, call=one.asked.call, box=box, proxy=one.asked.proxy)

    def _close(self, one: Try, at: float) -> None:
        one.ended = at
        one.life.closed(at)
        self._over.append((at + self._kept, one))

    # Boxes.

    def _arrived(self, record: Arrived) -> None:
        life = self.lives.of(record.proxy)
        down = life.down.get(record.box)
        if down is not None and record.began > down + GRACE + SLACK:
            text = f"began {record.began - down:.3f} s after the proxy was told at {down:.3f} s"
            self._at_box(Rule.DRAINED, record, text)
        self.cold.arrived(record, life.up.get(record.box, -1) >= record.start)
        one = self.tries.get(record.call)
        if one is None or record.verdict == "unknown call":
            if life.running:
                self._at_box(Rule.UNKNOWN, record, "no client sent it, or long ago")
            return
        one.written = True
        if one.left >= 0 and record.at > one.left + LEFT:
            self._sent_on(one, record)
        if record.verdict == "unheard":
            one.unheard = True
        else:
            self._attempt(one, record)

    def _sent_on(self, one: Try, record: Arrived) -> None:
        """An attempt for a client that left long ago; a request counts once."""
        if one.life.excuses(one.asked.at):  # it stood still since
            return
        if self._late is None:
            text = f"asked at {one.asked.at:.3f} s, its client left at {one.left:.3f} s"
            self._late = Breach(
                rule=Rule.SENT_ON, at=record.at, text=text, call=record.call, box=record.box,
                proxy=record.proxy,
            )  # fmt: skip
        self.leavers.waiting += not one.waited
        self.leavers.sent_on += 1
        one.waited, one.left = True, -1.0

    def _at_box(self, rule: Rule, record: Arrived, text: str) -> None:
        self.findings.add(rule, record.at, text, call=record.call, box=record.box, proxy=record.proxy)

    def _attempt(self, one: Try, record: Arrived) -> None:
        """One that has reached a box which hears it."""
        at, box = record.at, record.box
        if 0 <= one.ended < record.began - SLACK and not one.life.excuses(one.asked.at):
            text = f"began at {record.began:.3f} s, the request had ended at {one.ended:.3f} s"
            grade = Grade.BROKEN if self.strict else Grade.COSTS
            self._on(one, Rule.AFTER_END, at, text, grade, box)
        one.attempts += 1
        if one.attempts > ATTEMPTS:
            self._on(one, Rule.ATTEMPTS, at, f"attempt {one.attempts}", box=box)
        if record.verdict == "taken":
            if one.ran and not self.may_repeat:
                self._on(one, Rule.EFFECTS, at, f"{one.ran} took it before", box=box)
            one.ran = one.ran or box
            one.out.append(box)
            if len(one.out) > AT_ONCE:
                self._on(one, Rule.COPIES, at, f"out at once at {', '.join(one.out)}", box=box)

    def _finished(self, record: Finished) -> None:
        if record.wanted and (one := self.tries.get(record.call)):
            one.done = True
        self._in(record.call, record.box)

    def _in(self, call: str, box: str) -> None:
        """An attempt is out no longer."""
        one = self.tries.get(call)
        if one and box in one.out:
            one.out.remove(box)

    # Proxies.

    def _proxy(self, record: ProxyState) -> None:
        if not self.lives.see(record):
            return
        told = self.lives.of(record.proxy).ending
        for one in self.tries.values():
            if one.ended < 0 and one.asked.proxy == record.proxy:
                if told is not None and (record.state == "ended" or one.asked.at > told + LAME):
                    text = f"the proxy, told to end at {told:.3f} s, left it unanswered"
                    self._on(one, Rule.LOST, record.at, text)
                self._close(one, record.at)
