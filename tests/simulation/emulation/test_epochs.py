"""Tests of the policy agreement's five guarantees: kept by drawn histories, each broken by one change."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.simulation.emulation.epochs import Epochs
from firvane.simulation.emulation.records import Abandoned, Decided, InUse, Proposed, Record, Said, Shaded
from firvane.simulation.emulation.verdict import Findings, Grade, Rule
from tests.simulation.emulation.histories import arrived, asked, in_order, proxy

NAMES = tuple(f"p{number}" for number in range(5))
SLACK, CHANGE, END = 0.4, 20.0, 60.0
ATTEMPTS = {1: 3, 2: 1, 3: 2, 4: 1}
ALLOWED = {"text-2": 1, "text-3": 2, "bad": 1}


def found(history: list[Record], end: float = END) -> list[Rule]:
    findings = Findings()
    judge = Epochs(findings, NAMES[:3], SLACK, CHANGE, ALLOWED)
    for record in in_order(history):
        judge.see(record)
    judge.end(end)
    assert all("\n" not in one.text for one in findings.of(Grade.BROKEN))
    return [one.rule for one in findings.of(Grade.BROKEN)]


class Fleet:
    """What five proxies that keep the promises may do in a minute: three changes, one of which fails."""

    def __init__(self, seed: int) -> None:
        draw = self.draw = Random(seed)
        self.history: list[Record] = []
        self.calls = 0
        self.swaps = {2: draw.uniform(8.0, 12.0), 3: draw.uniform(40.0, 45.0)}
        # No two proxies swap further apart than the slack.
        self.late = {name: draw.uniform(0.0, SLACK) for name in NAMES}
        again = draw.random() < 0.5  # the failed one is proposed once more, which is another change
        if again:
            self.swaps[4] = 50.0
        self.stands = draw.choice(NAMES), draw.uniform(5.0, 40.0), draw.uniform(0.5, 8.0)
        for _ in range(300):
            self.request(draw.uniform(0.0, 55.0), draw.choice(NAMES))
        name, at, lasts = self.stands
        self.history += [proxy(at, "stalled", name), proxy(at + lasts, "on", name)]
        for epoch in (2, 3):
            swap = self.swaps[epoch]
            self.change(f"text-{epoch}", swap - 5.0, swap + draw.uniform(0.1, 2.0), "in force", epoch)
        self.change("bad", 20.0, 25.0, "failed", 0)
        if again:
            self.change("bad", 46.0, 52.0, "in force", 4)

    def change(self, digest: str, at: float, ends: float, outcome: str, epoch: int) -> None:
        where = self.draw.choice(NAMES)
        self.history += [Proposed(at, where, digest), Said(at + 0.1, where, digest, "open")]
        self.history.append(Said(ends, where, digest, outcome, epoch))
        if epoch:
            self.history += [InUse(ends + self.draw.random(), name, epoch, digest) for name in NAMES]

    def at(self, taken: float, name: str) -> int:
        """The epoch by which a request is taken."""
        return max([1, *(epoch for epoch, swap in self.swaps.items() if taken >= swap + self.late[name])])

    def request(self, sent: float, name: str, epoch: int = 0, attempts: int = 1) -> str:
        stalled, at, lasts = self.stands
        taken = sent + self.draw.uniform(0.0, 0.002)
        if name == stalled and at <= taken < at + lasts:
            taken = at + lasts
        epoch = epoch or self.at(taken, name)
        self.calls += 1
        call = f"c{self.calls}"
        answered = taken + self.draw.uniform(0.01, 3.0)
        self.history.append(asked(sent, call, proxy=name))
        self.history += [
            arrived(taken + 0.003 * n, call, proxy=name) for n in range(min(attempts, ATTEMPTS[epoch]))
        ]
        ended = self.draw.random() < 0.9
        self.history.append(
            Decided(answered, call, name, epoch) if ended else Abandoned(answered, call, name)
        )
        return call


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.integers(0, 2**32))
def test_a_fleet_that_keeps_the_guarantees_has_no_findings(seed: int) -> None:
    assert found(Fleet(seed).history) == []


def answered_by(call: str, at: float, epoch: int, name: str = "p0", answered: float = 0.0) -> list[Record]:
    return [asked(at, call, proxy=name), Decided(answered or at + 0.1, call, name, epoch)]


def twice(fleet: Fleet) -> list[Record]:
    return [*answered_by("x", 5.0, 1), Decided(5.2, "x", "p0", 2)]


def many_attempts(fleet: Fleet) -> list[Record]:
    at = fleet.swaps[2] + 1.0
    tries = [arrived(at + 0.01 * n, "x", proxy="p0") for n in range(3)]  # as epoch 1 allows
    return [*answered_by("x", at, 2), *tries]


def late_by_older(fleet: Fleet) -> list[Record]:
    at = fleet.swaps[2]
    return [*answered_by("y", at, 2, "p1"), *answered_by("x", at + 0.1 + SLACK + 0.01, 1)]


def late_by_what_came_out_later(fleet: Fleet) -> list[Record]:
    at = 3.0  # nothing else is known of the newer epoch yet
    newer = [asked(at, "y", proxy="p1"), arrived(at + 0.1, "y", proxy="p1"), Decided(at + 2.0, "y", "p1", 2)]
    return [*newer, *answered_by("x", at + 0.1 + SLACK + 0.01, 1)]


def stood_still(fleet: Fleet) -> list[Record]:
    """Sent before the newer epoch, but its proxy was stalled until long after."""
    at = fleet.swaps[2]
    stands = [proxy(at - 2.0, "stalled", "p9"), proxy(at + 4.0, "on", "p9")]
    return [*stands, *answered_by("y", at, 2, "p1"), *answered_by("x", at - 1.0, 1, "p9", at + 4.1)]


def failed_is_used(fleet: Fleet) -> list[Record]:
    return [InUse(26.0, "p1", 3, "bad")]


def failed_after_use(fleet: Fleet) -> list[Record]:
    return [InUse(24.0, "p1", 3, "bad")]


def one_epoch_more(fleet: Fleet) -> list[Record]:
    return answered_by("x", 30.0, 3)


def nobody_proposed(fleet: Fleet) -> list[Record]:
    return [InUse(2.0, "p1", 2, "a file on a disk")]


def forgotten(fleet: Fleet) -> list[Record]:
    return answered_by("x", fleet.swaps[2] + 2.0 + SLACK + 0.01, 1)


def another_text(fleet: Fleet) -> list[Record]:
    return [InUse(30.0, "p1", 2, "text-3")]


def never_ends(fleet: Fleet) -> list[Record]:
    return [Proposed(30.0, "p1", "text-9"), Said(30.1, "p1", "text-9", "open")]


def unknown_for_ever(fleet: Fleet) -> list[Record]:
    unknown = Said(33.0, "p4", "text-9", "unknown")
    return [Proposed(30.0, "p4", "text-9"), proxy(31.0, "killed", "p2"), unknown]


SPOILT: list[tuple[Rule, Callable[[Fleet], list[Record]]]] = [
    (Rule.TWO_EPOCHS, twice),
    (Rule.TWO_EPOCHS, many_attempts),
    (Rule.OLDER, late_by_older),
    (Rule.OLDER, late_by_what_came_out_later),
    (Rule.OLDER, stood_still),
    (Rule.FAILED_CAME, failed_is_used),
    (Rule.FAILED_CAME, failed_after_use),
    (Rule.FAILED_CAME, one_epoch_more),
    (Rule.FAILED_CAME, nobody_proposed),
    (Rule.TAKEN_BACK, forgotten),
    (Rule.TAKEN_BACK, another_text),
    (Rule.ENDLESS, never_ends),
    (Rule.ENDLESS, unknown_for_ever),
]


@pytest.mark.parametrize(("rule", "spoil"), SPOILT, ids=[spoil.__name__ for _, spoil in SPOILT])
@pytest.mark.parametrize("seed", range(5))
def test_a_broken_guarantee_is_found(rule: Rule, spoil: Callable[[Fleet], list[Record]], seed: int) -> None:
    fleet = Fleet(seed)
    fleet.stands = NAMES[4], 0.0, 0.0
    fleet.history = [one for one in fleet.history if getattr(one, "state", "") not in ("stalled", "on")]
    assert rule in found([*fleet.history, *spoil(fleet)])


@pytest.mark.parametrize(
    "extra",
    [
        [Proposed(30.0, "p1", "x"), proxy(31.0, "killed", "p0"), proxy(32.0, "killed", "p2")],
        [Proposed(30.0, "p4", "x"), proxy(31.0, "killed", "p4")],  # nobody is asked
        [Proposed(30.0, "p1", "x"), Shaded(31.0, 55.0, "cut lekki")],
        [Proposed(30.0, "p1", "x"), proxy(31.0, "stalled", "p1"), proxy(42.0, "on", "p1")],
        [Proposed(45.0, "p1", "x")],
    ],
    ids=["no majority", "its proxy is gone", "a cut", "its proxy stood still", "not yet"],
)
def test_a_proposal_that_cannot_be_decided_is_no_finding(extra: list[Record]) -> None:
    assert found(extra) == []


def test_bounds_that_prove_nothing_are_no_breach() -> None:
    # Taken by 1 after 2 began, perhaps: it was sent before.
    newer = answered_by("y", 10.0, 2, "p1")
    history = [Proposed(1.0, "p1", "t"), *newer, *answered_by("x", 10.1 + SLACK - 0.01, 1, answered=14.0)]
    assert found(history, 12.0) == []
    # Sent twice: the first sending's attempt tells nothing of when the second was taken.
    again = [asked(9.0, "z", proxy="p2"), asked(9.5, "z", proxy="p2"), arrived(9.6, "z", proxy="p2")]
    history = [Proposed(1.0, "p1", "t"), *again, Decided(11.0, "z", "p2", 2), *answered_by("x", 10.3, 1)]
    assert found(history, 12.0) == []
