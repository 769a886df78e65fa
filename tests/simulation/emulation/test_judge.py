"""Tests of the judge: hand-written histories that break each rule, and others that barely keep it."""

from __future__ import annotations

import msgspec
import pytest

from firvane.simulation.emulation.judge import Judge
from firvane.simulation.emulation.leaks import Floors
from firvane.simulation.emulation.records import Abandoned, Asked, Dropped, Record, Sent, Used
from firvane.simulation.emulation.scenario import Load, Network, Scenario
from firvane.simulation.emulation.verdict import SHOWN, Grade, Rule
from tests.simulation.emulation.histories import (
    REPLAY,
    SOME,
    answered,
    arrived,
    asked,
    box,
    finished,
    judged,
    proxy,
    rules,
    told,
)

ONCE = Scenario(name="once", load=Load(may_repeat=False))
ALONE = Scenario(name="alone", network=Network(peers=False))
DOWN = [told(1.0, "up"), told(2.0, "draining")]


def at_boxes(*names: str) -> list[Record]:
    return [asked(1.0), *(arrived(1.1 + 0.1 * n, box=name) for n, name in enumerate(names))]


BROKEN: list[tuple[Rule, list[Record]]] = [
    (Rule.LOST, [asked(1.0)]),
    (Rule.LOST, [asked(1.0), arrived(1.1), answered(2.06)]),
    (Rule.LOST, [asked(1.0), arrived(1.1), answered(1.2, status=0)]),
    (Rule.LOST, [asked(1.0), Abandoned(2.0, "c", "p")]),
    (Rule.LOST, [asked(1.0, proxy="q"), asked(1.0, "d"), proxy(1.5, "killed")]),
    (Rule.LOST, [proxy(1.0, "ending"), asked(1.2), proxy(1.5, "ended")]),
    (Rule.LOST, [proxy(1.0, "ending"), asked(1.8, deadline=9.0), proxy(5.0, "killed")]),
    (Rule.ANSWERED_TWICE, [asked(1.0), answered(1.2), answered(1.3)]),
    (Rule.FOREIGN, [asked(1.0), asked(1.0, "d"), answered(1.2, body_of="d"), answered(1.2, "d")]),
    (Rule.FOREIGN, [asked(1.0), answered(1.2, body_of="")]),
    (Rule.AFTER_END, [asked(1.0), answered(1.2, status=503), arrived(1.3)]),
    (Rule.AFTER_END, [asked(1.0), Abandoned(1.2, "c", "p"), arrived(1.3)]),
    (Rule.UNKNOWN, [arrived(1.0, "never")]),
    (Rule.UNKNOWN, [asked(1.0), arrived(1.1, verdict="unknown call"), answered(1.2, status=503)]),
    (Rule.ATTEMPTS, [*at_boxes(*"abcd"), *(Dropped(1.15 + 0.1 * n, "c", "abcd"[n]) for n in range(4)),
                     answered(1.6)]),
    (Rule.ATTEMPTS, [asked(1.0), arrived(1.1, verdict="turned away"), arrived(1.2, verdict="turned away"),
                     asked(1.3), arrived(1.4, verdict="turned away"), arrived(1.5), answered(1.6)]),
    (Rule.COPIES, [*at_boxes("a", "b", "c"), answered(1.6)]),
    (Rule.DRAINED, [*DOWN, asked(3.0), arrived(3.06), answered(3.1)]),
    (Rule.DRAINED, [told(2.0, "removed"), asked(3.0), arrived(3.06), answered(3.1)]),
    (Rule.CRASHED, [asked(1.0), proxy(1.2, "ended", code=1)]),
    (Rule.DATAGRAM, [Sent(1.0, "p", 257, True)]),
    (Rule.OVER, [Used(1.0, "p", 0.0, 0, 513)]),
    (Rule.OVER, [Used(1.0, "p", 0.0, 65 << 20, 1)]),
]  # fmt: skip
KEPT: list[list[Record]] = [
    [asked(1.0), arrived(1.1), answered(2.05)],
    [asked(1.0), arrived(1.1), answered(1.2, status=503)],
    [asked(1.0), Abandoned(1.9, "c", "p")],
    [asked(1.0), proxy(1.5, "killed"), answered(1.5, status=0)],
    [asked(1.0, taken=False)],
    [proxy(0.5, "killed"), asked(1.0), answered(1.0, status=0), proxy(2.0, "started")],
    [proxy(1.0, "ending"), asked(1.6, deadline=9.0), proxy(5.0, "killed")],
    [proxy(1.0, "ending"), asked(1.2), answered(1.4), proxy(1.5, "ended", code=1)],
    [asked(1.0), asked(1.1), arrived(1.2), answered(1.3)],  # it crossed the end of its connection
    [asked(1.0), answered(1.2, status=503), arrived(1.24)],
    [asked(1.0), answered(1.2, status=503), arrived(1.3, began=1.2)],  # what it was sent to stood still
    [*at_boxes("a", "b"), Dropped(1.25, "c", "a"), arrived(1.3, box="d"), answered(1.6)],
    [*at_boxes("a", "b"), finished(1.25, box="a"), arrived(1.3, box="d"), answered(1.6)],
    [*at_boxes("a", "b"), arrived(1.3, box="d", verdict="turned away"), answered(1.6)],
    [*at_boxes("a", "b", "c", "d")[:3], arrived(1.3, verdict="unheard"), answered(1.6)],
    [*DOWN, asked(2.9), arrived(3.04), answered(3.1)],
    [*DOWN, asked(2.9), arrived(3.2, began=3.04), answered(3.3)],  # its first byte counts
    [*DOWN, told(3.0, "up", start=1), asked(4.0), arrived(4.1, start=1), answered(4.2)],
    [*DOWN, proxy(3.0, "killed"), proxy(4.0, "started"), asked(5.0), arrived(5.1), answered(5.2)],
    [told(2.0, "draining", to="q"), asked(4.0), arrived(4.1), answered(4.2)],
    [Sent(1.0, "p", 256, True), Used(1.0, "p", 0.0, 64 << 20, 512)],
]  # fmt: skip


@pytest.mark.parametrize(("rule", "history"), BROKEN)
def test_a_broken_rule_is_found_and_says_where_and_how_to_see_it_again(
    rule: Rule, history: list[Record]
) -> None:
    (found,) = judged(history)
    assert found.rule is rule
    assert found.proxy and found.text and found.replay == REPLAY
    if rule not in (Rule.CRASHED, Rule.DATAGRAM, Rule.OVER):
        assert found.call
    if rule in (Rule.DRAINED, Rule.UNKNOWN, Rule.ATTEMPTS, Rule.COPIES, Rule.AFTER_END):
        assert found.box


@pytest.mark.parametrize("history", KEPT)
def test_histories_close_to_a_limit_break_no_rule(history: list[Record]) -> None:
    assert judged(history) == []


def test_where_there_are_no_peers_no_datagram_may_leave() -> None:
    assert rules([Sent(1.0, "p", 9, True)], scenario=ALONE) == [Rule.DATAGRAM]


def test_lenient_judging_is_optional() -> None:
    unanswered, cut_off = [asked(1.0), arrived(1.1)], [asked(1.0), answered(1.1, status=0)]
    for history in (unanswered, cut_off):
        assert rules(history) == [Rule.LOST]
        assert not judged(history, strict=False)
    assert judged([*unanswered, answered(1.2, status=0)], strict=False)  # it had been sent on


def test_an_answer_is_held_back_after_half_of_its_time_with_no_attempt_written() -> None:
    late, early = answered(1.6, status=503), answered(1.54, status=503)
    (found,) = judged([asked(1.0), late], Grade.COSTS)
    assert found.rule is Rule.HELD_BACK and found.call == "c"
    assert not judged([asked(1.0), early], Grade.COSTS)
    assert not judged([asked(1.0), arrived(1.1, verdict="unheard"), late], Grade.COSTS)
    assert judged([asked(1.0)], Grade.COSTS, strict=False)


def test_a_class_that_may_not_repeat_runs_once() -> None:
    twice = [asked(1.0), arrived(1.1), Dropped(1.2, "c", "b"), arrived(1.3, box="d"), answered(1.4)]
    refused = [asked(1.0), arrived(1.1), answered(1.2, status=429)]
    failed = [asked(1.0), arrived(1.1), answered(1.2, status=502)]
    turned_away = [asked(1.0), arrived(1.1, verdict="turned away"), arrived(1.3, box="d"), answered(1.4)]
    for history in (twice, refused):
        assert rules(history, scenario=ONCE) == [Rule.EFFECTS]
        assert not judged(history)
    for history in (failed, turned_away):
        assert not judged(history, scenario=ONCE)


def left(call: str, at: float, *between: Record) -> list[Record]:
    """A request whose client disconnects at `at`, after the records `between`."""
    return [asked(1.0, call, deadline=5.0), *between, Abandoned(at, call, "p")]


WAITED: list[tuple[tuple[int, int, int], list[Record]]] = [
    ((1, 1, 0), left("c", 1.2)),
    ((1, 1, 0), [*left("c", 1.2), arrived(1.5)]),
    ((1, 1, 1), [*left("c", 1.2), arrived(1.501)]),
    ((1, 1, 1), [*left("c", 1.2), arrived(1.6), arrived(1.7, box="d")]),  # counted once
    ((1, 1, 1), [*left("c", 1.2), arrived(1.6, verdict="unheard")]),  # it was sent on all the same
    ((1, 0, 0), left("c", 1.2, arrived(1.1))),  # out, not waiting
    ((1, 0, 0), left("c", 1.2, arrived(1.1, verdict="unheard"))),
    ((1, 0, 0), left("c", 1.2, arrived(1.1), finished(1.19))),  # its answer was on the way
    ((1, 1, 1), [*left("c", 1.2, arrived(1.1)), arrived(1.6, box="d")]),  # a copy waited
    ((1, 1, 0), left("c", 1.2, arrived(1.1), Dropped(1.15, "c", "b"))),  # between two attempts
    ((1, 1, 0), left("c", 1.2, arrived(1.1, verdict="turned away"))),
    ((1, 1, 0), left("c", 1.2, arrived(1.1), finished(1.15, wanted=False))),
    ((0, 0, 0), [asked(1.0), Abandoned(2.0, "c", "p"), arrived(2.5)]),  # at its deadline: another rule's
    ((0, 0, 0), [asked(1.0, deadline=5.0), proxy(1.1, "stalled"), Abandoned(1.2, "c", "p"),
                 proxy(2.0, "on"), arrived(2.0)]),
]  # fmt: skip


@pytest.mark.parametrize(("counted", "history"), WAITED)
def test_requests_are_counted_that_are_sent_on_for_clients_that_left_while_they_waited(
    counted: tuple[int, int, int], history: list[Record]
) -> None:
    judge = Judge(SOME)
    for record in sorted(history, key=lambda record: record.at):
        judge.see(record)
    found = judge.leavers
    assert (found.left, found.waiting, found.sent_on) == counted
    assert found.share == float(counted == (1, 1, 1))


@pytest.mark.parametrize("strict", [True, False])
def test_over_a_quarter_of_them_break_a_rule(strict: bool) -> None:
    four = [record for call in "cdef" for record in left(call, 1.2)]
    late = [arrived(1.6, "c"), arrived(1.7, "d")]
    assert Rule.SENT_ON not in rules([*four, late[0]], strict=strict)
    (found,) = (one for one in judged([*four, *late], strict=strict) if one.rule is Rule.SENT_ON)
    assert (found.call, found.box, found.proxy, found.at) == ("c", "b", "p", 1.6)
    assert found.text.startswith("of 4 requests whose clients left while they waited 2 were sent on")


def flood(part: float, began: float = 10.0, knows: bool = True, **more: object) -> list[Record]:
    """A box of 4 cores that began cold at 0, and is sent `part` of its budget evenly in 3 s."""
    boxes = SOME.boxes
    able = 4.0 * (boxes.cold_share + (1 - boxes.cold_share) * (began + 2.9) / boxes.warm_s)
    work = part * boxes.fall_multiple * boxes.fall_s * able / 30
    history: list[Record] = [box(0.0, "cold", capacity=4.0 * boxes.cold_share)]
    history += [told(0.1, "up", to="p")] if knows else []
    for n in range(30):
        at = began + n / 10
        history += [asked(at, f"c{n}"), arrived(at, f"c{n}", work=work, **more), answered(at, f"c{n}", 503)]
    return history


def test_a_cold_box_that_falls_was_pushed_over_by_those_that_knew_of_its_start() -> None:
    fell = box(13.0, "fell", capacity=0.0)
    (found,) = judged([*flood(1.1), fell])
    assert found.rule is Rule.PUSHED_OVER and found.box == "b" and found.proxy == "p" and "1.10" in found.text
    early, unknown = ([*flood(1.1, began=2.0, knows=knows), box(5.0, "fell")] for knows in (True, False))
    assert judged(early) and not judged(unknown) and judged(unknown, Grade.NEAR)
    late = [*flood(1.1, began=6.1, knows=False), box(9.2, "fell")]
    assert judged(late)  # 6 s after its start everybody counts as told


@pytest.mark.parametrize("verdict", ["taken", "turned away"])
def test_a_cold_box_that_stood_is_told_with_its_fraction_where_it_was_near(verdict: str) -> None:
    (near,) = judged(flood(0.9, verdict=verdict), Grade.NEAR)
    assert near.rule is Rule.PUSHED_OVER and "0.90" in near.text and "stood" in near.text
    assert not judged(flood(0.7, verdict=verdict), Grade.NEAR)
    assert not judged(flood(0.9, verdict="unheard"), Grade.NEAR)
    assert not judged(flood(0.9, began=22.1), Grade.NEAR)  # warm by then
    assert not judged([*flood(0.9, verdict=verdict), box(9.9, "warm")], Grade.NEAR)


def held(at: float, sockets: int = 50, flows: int = -1, memory: int = 0) -> Used:
    return Used(at, "p", 0.0, memory, sockets, flows)


def test_flows_beyond_open_requests_are_a_leak() -> None:
    many = [record for n in range(20) for record in (asked(1.0, f"c{n}"), answered(4.0, f"c{n}"))]
    many = [one._replace(deadline=5.0) if isinstance(one, Asked) else one for one in many]
    fair = [held(at, flows=flows) for at, flows in ((2.0, 28), (3.0, 28), (3.9, 28), (4.05, 28), (4.2, 9))]
    assert not judged([*many, *fair, held(4.3, flows=8)])
    (found,) = judged([*many, *fair, held(4.3, flows=9), held(4.4, flows=9), held(4.5, flows=9)])
    assert found.rule is Rule.LEAK and "9 flows" in found.text
    assert not judged([*many, *fair, held(4.3, flows=9), held(4.4, flows=8), held(4.5, flows=9)])


def test_growth_without_bound_is_told_from_bursts_and_from_pools_that_fill() -> None:
    leak = [held(n, sockets=50 + 3 * n) for n in range(40)]
    assert rules(leak, end=40.0) == [Rule.LEAK]
    assert not judged([held(n, sockets=50 + min(90, 6 * n)) for n in range(40)])
    assert not judged([held(n, sockets=50 + 200 * (n % 7 == 3)) for n in range(40)])
    assert not judged([held(n, sockets=50 + n // 3) for n in range(40)])
    assert not judged([held(n, sockets=300 + 3 * n) for n in range(40)])  # little for so many
    assert not judged([held(n, sockets=50 + 90 * (n > 30)) for n in range(40)])
    memory = [held(n, memory=(20 << 20) + n * (1 << 20)) for n in range(40)]
    assert rules(memory) == [Rule.LEAK]


def test_floors_stay_bounded_however_long_a_life_is() -> None:
    floors = Floors(0.0, 24.0)
    for n in range(100_000):
        floors.see(float(n), 100.0 + n % 50)
    assert len(floors.floors) <= 16 and floors.grown() == 0.0


def test_memory_is_bounded_by_the_rate_and_findings_are_counted() -> None:
    judge = Judge(SOME, replay=REPLAY)
    for n in range(20_000):
        at = n / 100
        judge.see(asked(at, f"c{n}"))
        judge.see(arrived(at, f"c{n}", box="x" if n % 2 else "b"))
        judge.see(told(at, "removed", name=f"old{n}"))
        if n % 2:
            judge.see(answered(at, f"c{n}"))
    judge.end(300.0)
    assert len(judge.breaches()) == SHOWN
    assert judge.findings.counts[Grade.BROKEN, Rule.LOST] == 10_000
    assert len(judge.tries) + len(judge._due) + len(judge._over) < 8_000
    assert msgspec.json.decode(msgspec.json.encode(judge.breaches()[0]), type=type(judge.breaches()[0]))
