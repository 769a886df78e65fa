"""Findings of the judges: the rules, the grades, one finding, and the collection of a run's findings."""

from __future__ import annotations

from collections import Counter
from enum import Enum

from msgspec import Struct


class Rule(Enum):
    """The rules that proxies must keep. The value is the text that operators read."""

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
    """The severity of a finding."""

    BROKEN = "broken"  # a rule is broken: the run is void
    COSTS = "costs"  # the request loses part of its worth
    NEAR = "near"  # no rule is broken, but the limit was close


class Breach(Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One finding. Times are seconds since the run began; names that don't apply are empty."""

    rule: Rule
    at: float
    text: str  # what happened, in one line, with the other times
    grade: Grade = Grade.BROKEN
    call: str = ""
    box: str = ""
    proxy: str = ""
    fraction: float = 0.0  # of the work that a cold backend may be sent
    replay: str = ""  # the command that repeats the run


SHOWN = 20


class Findings:
    """A run's findings. At most `SHOWN` per rule and grade are kept in full; the others are only counted."""

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
        """Return the kept findings of one grade, in order of time."""
        return sorted((one for one in self._kept if one.grade is grade), key=lambda one: one.at)
