"""The state machine of a roll: which place gets which version when, what stops it, and how it goes back.

Rules that hold here and nowhere else:

1. What stands in `transitions.TABLE` happens; where the plan says "stay", `STAYS` comes before it. Every
   state that is no end has a time after which it is left.
2. A place is out while it is ordered to change, replaces, serves nothing, cannot be reached, or has not been
   heard yet. An order goes to a place only while its zone has no more out than the plan says, that place
   among them, and no more than `at_once` are ordered or replace. Who is out already makes a zone no worse.
3. An order is on disk before it is given, and stands until the place says what became of it. A place that was
   away, or that an earlier controller ordered, says it with what it serves now. Of an order that is `order_s`
   old the keeper has ended whatever it did: it counts as failed.
4. A stage has no more places of the new version than it says; a place that is down keeps the version that it
   was last known to have. One that comes back with the old one is changed when a place is wanted again.
5. Each comparison begun is the k-th of the roll and has alpha / (k (k + 1)): all that can ever be begun have
   alpha together, however often a controller starts anew.
6. Going back waits for no stage, no comparison, and for those that are down no longer than `back_s`. Whoever
   serves nothing goes first.
"""

from __future__ import annotations

from dataclasses import dataclass

from firvane.proxy.rollout.messages import (
    ENDS,
    Action,
    Ask,
    Back,
    Before,
    Call,
    Cause,
    Compare,
    Down,
    Event,
    Finding,
    Found,
    Judged,
    Keep,
    Kept,
    Note,
    Observe,
    Operator,
    Replace,
    Replaced,
    ReplaceFailed,
    State,
    Stop,
    Tick,
    Tried,
    Try,
    Verdict,
)
from firvane.proxy.rollout.plan import Plan, Stage
from firvane.proxy.rollout.transitions import FORWARD, STAYS, TABLE

KEEP_EVERY = 5.0  # s: so much of a stage's time a controller that dies forgets at the most


@dataclass
class _Place:
    """What is known of a place."""

    name: str
    zone: str
    version: str | None = None  # that served there last, as far as is known
    heard: bool = False  # it answers
    serves: bool = False
    busy: bool = False  # it says that it replaces
    lost: bool = True  # it was away, or an earlier controller ordered it: what it says ends an order
    due: float = 0.0  # when an order to it has ended, one way or the other
    stuck: str = ""  # why it cannot go back


class RollStateMachine:
    """A roll from its plan; `kept` is what an earlier controller left. `begin` comes first, then `hear`."""

    def __init__(self, plan: Plan, digest: str, now: float, kept: Kept | None = None) -> None:
        if kept is None:
            kept = Kept(digest)
        self.plan, self.digest = plan, digest
        self.state, self.stage, self.roll = kept.state, kept.stage, kept.roll
        self.began = now - kept.spent  # this state; of replacing and comparing, the stage
        self.since = now  # comparing
        self.ordered = dict(kept.ordered)
        self.failures = dict(kept.failures)
        self.comparisons, self.before, self.tried = kept.comparisons, kept.before, kept.tried
        self.accepts, self.cause, self.why = kept.accepts, kept.cause, kept.why
        self.finding: Finding | None = None
        self.places = {place.name: _Place(place.name, place.zone) for place in plan.place}
        self.turns = [self.places[name] for name in plan.order()]
        for name in kept.new:
            self.places[name].version = plan.roll.version
        for name in self.ordered:
            self.places[name].due = now + plan.roll.order_s
        self._observed = False
        self._compares = False
        self._dirty = False
        self._kept_at = now
        self._out: list[Action] = []

    # What others see

    @property
    def ended(self) -> bool:
        return self.state in ENDS

    def kept(self, now: float) -> Kept:
        """Where it is."""
        return Kept(
            plan=self.digest,
            roll=self.roll,
            state=self.state,
            stage=self.stage,
            spent=now - self.began,
            ordered=dict(self.ordered),
            new=tuple(self.new_places()),
            failures=dict(self.failures),
            comparisons=self.comparisons,
            before=self.before,
            tried=self.tried,
            accepts=self.accepts,
            cause=self.cause,
            why=self.why,
        )

    def new_places(self) -> list[str]:
        """Places that were last known to have the new version, in the order of turns: the new side."""
        return [place.name for place in self.turns if place.version == self.plan.roll.version]

    # What goes in

    def begin(self, now: float) -> list[Action]:
        """What is to be done at the start or at a take-over."""
        if self.ended:
            return [Note(f"the roll has ended: {self.state.value}; {self.why}")]
        self.roll += 1
        self._dirty = True
        self._do(Ask(tuple(self.places)))
        if self.state is State.PLANNED:
            self._prepare(now)
        elif self.state in FORWARD:
            self._compare()
        return self._flush(now)

    def hear(self, event: Event, now: float) -> list[Action]:
        """What follows from an event: done in that order."""
        if self.ended:
            return []
        match event:
            case Tried(wrong):
                self._on_tried(wrong, now)
            case Before(share):
                if self.state is State.PLANNED:
                    self.before, self._observed = share, True
            case Found(name, version, busy):
                self._on_found(self.places[name], version, busy)
            case Replaced(name, version):
                self._answered(self.places[name], version)
                self._end_order(name)
            case ReplaceFailed(name, why):
                self._on_failed(name, why, now)
            case Down(name):
                place = self.places[name]
                place.heard = place.serves = place.busy = False
                place.lost = True
            case Judged(finding, number):
                self._on_judged(finding, number, now)
            case Operator(call):
                self._on_call(call, now)
            case Tick():
                pass
        self._step(now)
        return self._flush(now)

    def _on_tried(self, wrong: str, now: float) -> None:
        if self.state is not State.PLANNED:
            return
        if wrong:
            self._go(Cause.REFUSED, now, f"the new version was not begun: {wrong}")
        elif not self.tried:
            self.tried = self._dirty = True

    def _on_found(self, place: _Place, version: str, busy: bool) -> None:
        wanted = self.ordered.get(place.name)
        # What it said before it had the order says nothing of the order.
        if not busy and (place.lost or version == wanted):
            self._end_order(place.name)
        self._answered(place, version)
        place.busy = busy

    def _answered(self, place: _Place, version: str) -> None:
        place.heard, place.serves, place.busy, place.lost = True, bool(version), False, False
        if version:
            self._dirty |= self.plan.roll.version in (version, place.version) and version != place.version
            place.version = version

    def _end_order(self, name: str) -> None:
        if self.ordered.pop(name, None) is not None:
            self._dirty = True

    def _on_failed(self, name: str, why: str, now: float) -> None:
        wanted = self.ordered.get(name)
        self.places[name].busy = False
        if wanted is None:
            return
        self._end_order(name)
        forward = wanted == self.plan.roll.version
        self._do(Note(f"{name} did not change to {wanted}: {why}"))
        if forward != (self.state is not State.GOING_BACK):
            return  # it was ordered before the roll turned round
        self.failures[name] = self.failures.get(name, 0) + 1
        if forward and self.state in FORWARD and sum(self.failures.values()) >= self.plan.roll.tries:
            self._go(Cause.FAILED, now, f"{name} did not take the new version: {why}")
        elif not forward and self.failures[name] >= self.plan.roll.tries:
            self.places[name].stuck = why

    def _on_judged(self, finding: Finding, number: int, now: float) -> None:
        if self.state not in FORWARD or number != self.comparisons or not self._compares:
            return
        self.finding = finding
        if finding.verdict is Verdict.WORSE:
            self._go(Cause.WORSE, now, finding.why)

    def _on_call(self, call: Call, now: float) -> None:
        table = TABLE[self.state]
        if call is Call.PAUSE and Cause.PAUSE in table:
            self._go(Cause.PAUSE, now, "an operator paused it")
        elif call is Call.BACK and Cause.BACK in table:
            self._go(Cause.BACK, now, "an operator sent it back")
        elif call is Call.GO and self.state is State.PAUSED:
            self._on_go(now)
        else:
            self._do(Note(f"{call.value} says nothing to a roll that is {self.state.value}"))

    def _on_go(self, now: float) -> None:
        why = "an operator let it go on"
        self.failures.clear()
        if not self.tried:
            self._go(Cause.AGAIN, now, why)
        elif not self.accepts:
            self._go(Cause.GO, now, why)
        elif self._is_last:
            self._go(Cause.ACCEPTED, now, "an operator accepted the last stage" + self._missing())
        else:
            self._next_stage()
            self._go(Cause.GO, now, why)

    # What is due

    def _step(self, now: float) -> None:
        for name in [name for name in self.ordered if now >= self.places[name].due]:
            place = self.places[name]
            if not place.busy:
                if self.ordered[name] == self.plan.roll.version:
                    place.version = self.plan.roll.version  # it may have it, until it says what it has
                place.heard, place.serves, place.lost = False, False, True
                self._on_failed(name, "nothing was heard of the order in time", now)
            else:
                place.due = now + self.plan.roll.order_s  # it says itself that it is not done
        match self.state:
            case State.PLANNED:
                self._step_planned(now)
            case State.REPLACING | State.COMPARING:
                self._step_forward(now)
            case State.PAUSED:
                if now - self.began >= self.plan.roll.ask_s:
                    self._go(Cause.UNANSWERED, now, f"nobody answered the pause in time; before: {self.why}")
            case State.GOING_BACK:
                self._step_back(now)

    def _step_planned(self, now: float) -> None:
        roll = self.plan.roll
        late = now - self.began >= max(roll.before_s, roll.order_s) + roll.order_s
        if not self.tried:
            if late:
                self._go(Cause.REFUSED, now, "the new version was not begun: its trial did not end in time")
        elif self._observed or late:
            if self.before is not None and self.before < roll.least_before:
                share, least = f"{self.before:.1%}", f"{roll.least_before:.0%}"
                why = f"{share} of the requests were answered in time before the roll; {least} is the least"
                self._go(Cause.UNWELL, now, why)
            else:
                self._go(Cause.BEGUN, now, "the trial of the new version went well")

    def _step_forward(self, now: float) -> None:
        last, stage = self._is_last, self._stage
        filled = self._fill(now)
        if self.state is State.REPLACING and filled:
            self._go(Cause.REPLACED, now, f"stage {self.stage + 1} has the new version")
            self.since = now
        missing = self._missing() if last else ""
        fine = (
            self.state is State.COMPARING
            and filled
            and now - self.since >= stage.soak_s
            and self.finding is not None
            and self.finding.verdict is Verdict.FINE
        )
        long = now - self.began >= stage.longest_s
        why = self.finding.why if self.finding else "nothing could be compared"
        if fine and not (missing and not long):
            if stage.at_end == "pause":
                self._go(Cause.AT_END, now, f"the plan asks after stage {self.stage + 1}: {why}")
            elif last:
                self._go(Cause.LAST, now, why + missing)
            else:
                self._next_stage()
                self._go(Cause.FINE, now, why)
        elif long:
            self._go(Cause.TOO_LONG, now, f"stage {self.stage + 1} took its longest time: {self._waits(why)}")

    def _waits(self, why: str) -> str:
        if self.state is State.COMPARING:
            return why
        return "places wait for their turn" + (self._missing() if self._missing() else "")

    def _fill(self, now: float) -> bool:
        """Orders the new version where a place is wanted; whether all that can have it do."""
        new = self.plan.roll.version
        wanted = self.plan.goal(self.stage)
        wanted -= sum(new in (place.version, self.ordered.get(place.name)) for place in self.turns)
        waits = False
        for place in self.turns:
            if wanted <= 0:
                break
            if place.version == new or not place.serves or place.name in self.ordered or place.busy:
                continue
            if self._may(place):
                self._order(place, now)
                wanted -= 1
            else:
                waits = True
        some = any(place.version == new for place in self.turns)
        return some and not (waits or self.ordered)

    def _step_back(self, now: float) -> None:
        new = self.plan.roll.version
        waits = False
        for place in sorted(reversed(self.turns), key=lambda place: place.serves):
            if place.name in self.ordered or place.busy:
                waits = True
            elif place.version != new or place.stuck:
                continue  # it is back, never had the new one, or cannot go back
            else:
                waits = True
                if place.heard and self._may(place):
                    self._order(place, now)
        if waits and now - self.began < self.plan.roll.back_s:
            return
        left = [place for place in self.turns if waits and (place.name in self.ordered or place.busy)]
        left += [p for p in self.turns if p not in left and p.version == new]
        if left:
            told = ", ".join(f"{p.name} ({p.stuck or ('down' if not p.heard else 'not done')})" for p in left)
            self._go(Cause.LEFT, now, f"{self.why}; could not go back: {told}")
        else:
            self._go(Cause.WHOLE, now, self.why)

    def _missing(self) -> str:
        new = self.plan.roll.version
        names = [place.name for place in self.turns if place.version != new]
        return f"; without the new version: {', '.join(names)}" if names else ""

    @property
    def _stage(self) -> Stage:
        return self.plan.stage[self.stage]

    @property
    def _is_last(self) -> bool:
        return self.plan.goal(self.stage) == len(self.plan.place)

    def _next_stage(self) -> None:
        """The next one that has more places: in a small tier one and a tenth are the same."""
        goal = self.plan.goal(self.stage)
        while self.plan.goal(self.stage) == goal:
            self.stage += 1

    # Orders

    def _is_out(self, place: _Place) -> bool:
        return place.name in self.ordered or place.busy or not place.serves

    def _may(self, place: _Place) -> bool:
        """Whether an order may go to a place that answers and is not at it."""
        if sum(one.name in self.ordered or one.busy for one in self.turns) >= self.plan.roll.at_once:
            return False
        out = sum(one.zone == place.zone and self._is_out(one) for one in self.turns)
        return self._is_out(place) or out < self.plan.most_out(place.zone)

    def _order(self, place: _Place, now: float) -> None:
        back = self.state is State.GOING_BACK
        version = self.plan.roll.old if back else self.plan.roll.version
        self.ordered[place.name] = version
        place.due = now + self.plan.roll.order_s
        self._dirty = True
        self._do((Back if back else Replace)(place.name, version, self.roll))

    # The table

    def _go(self, cause: Cause, now: float, why: str) -> None:
        before = self.state
        to = TABLE[before][cause]
        if self.plan.roll.on_worse == "stay":
            to = STAYS.get(cause, to)
        in_stage = before is State.REPLACING and to is State.COMPARING
        self.accepts = before is State.COMPARING and cause in (Cause.AT_END, Cause.TOO_LONG, Cause.WORSE)
        self.state, self.cause, self.why = to, cause, why
        if not in_stage:
            self.began = now
            if self._compares:
                self._compares = False
                self._do(Stop())
        self._dirty = True
        self._do(Note(f"{before.value} -> {to.value}: {why}"))
        if to is State.GOING_BACK:
            self.failures.clear()
        elif to is State.REPLACING:
            self._compare()
        elif to is State.PLANNED:
            self._prepare(now)

    def _prepare(self, now: float) -> None:
        self._observed = False
        self.began = now
        self._do(Try(self.plan.roll.version))
        self._do(Observe(self.plan.roll.before_s))

    def _compare(self) -> None:
        self.comparisons += 1
        self.finding, self._compares, self._dirty = None, True, True
        alpha = self.plan.compare.alpha / (self.comparisons * (self.comparisons + 1))
        self._do(Compare(self.comparisons, alpha, self._stage.soak_s, self.before, self._is_last))

    def _do(self, action: Action) -> None:
        self._out.append(action)

    def _flush(self, now: float) -> list[Action]:
        if now - self._kept_at >= KEEP_EVERY and not self.ended:
            self._dirty = True
        out, self._out = self._out, []
        if self._dirty:
            self._dirty, self._kept_at = False, now
            out.insert(0, Keep(self.kept(now)))
        return out
