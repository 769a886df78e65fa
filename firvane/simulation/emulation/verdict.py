"""What a judge has found: the rules, how grave a finding is, the finding itself, and all of a run's."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from msgspec import Struct


class Rule(Enum):
    """What a proxy promises. The value is how operators read it."""

    LOST = "a request lost its answer"
    ANSWERED_TWICE = "a request answered twice"
    FOREIGN = "an answer that no box made for it"
    HELD_BACK = "an answer held back"
    AFTER_END = "an attempt after the request's end"
    SENT_ON = "requests sent on for clients that had left"
    UNKNOWN = "an id that no client sent"
    ATTEMPTS = "too many attempts"
    COPIES = "more than one second copy"
    EFFECTS = "effects that may not repeat"
    DRAINED = "new work after a drain"
    PUSHED_OVER = "a cold box pushed over"
    CRASHED = "a proxy crashed"
    LEAK = "growth without bound"
    OVER = "more than a proxy may hold"
    DATAGRAM = "a datagram that is not allowed"
    TWO_EPOCHS = "a request decided by two policies"
    OLDER = "a request taken by an older policy"
    FAILED_CAME = "a failed change in force"
    TAKEN_BACK = "a change in force taken back"
    ENDLESS = "a change without an end"


class Grade(Enum):
    """How grave a finding is."""

    BROKEN = "broken"  # a rule: the run counts for nothing
    COSTS = "costs"  # part of the request's worth
    NEAR = "near"  # nothing was broken, but it was near


class Breach(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One finding. Times are seconds since the run began; a name that does not apply is empty."""

    rule: Rule
    at: float
    text: str  # what happened, in one line, with the other times
    grade: Grade = Grade.BROKEN
    call: str = ""
    box: str = ""
    proxy: str = ""
    fraction: float = 0.0  # of what a cold box may be sent
    replay: str = ""  # the command that plays the run again


SHOWN = 20


class Findings:
    """All of a run's. At most `SHOWN` of a rule and a grade are kept in full, the others are counted."""

    def __init__(self, replay: str = "") -> None:
        self.replay = replay
        self.counts: Counter[tuple[Grade, Rule]] = Counter()
        self._kept: list[Breach] = []

    def add(
        self,
        rule: Rule,
        at: float,
        text: str,
        grade: Grade = Grade.BROKEN,
        *,
        call: str = "",
        box: str = "",
        proxy: str = "",
        fraction: float = 0.0,
    ) -> None:
        self.counts[grade, rule] += 1
        if self.counts[grade, rule] <= SHOWN:
            found = Breach(
                rule=rule,
                at=at,
                text=text,
                grade=grade,
                call=call,
                box=box,
                proxy=proxy,
                fraction=fraction,
                replay=self.replay,
            )
            self._kept.append(found)

    def of(self, grade: Grade) -> list[Breach]:
        """Those of one grade, in the order of their times."""
        return sorted((one for one in self._kept if one.grade is grade), key=lambda one: one.at)
