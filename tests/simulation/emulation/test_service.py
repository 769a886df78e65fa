"""Tests of the service figures against a simple computation, on random and hand-written histories."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.simulation.emulation import records as r
from firvane.simulation.emulation.metrics import ServiceResult
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.service import Service
from tests.proxy.net.helpers import seeded
from tests.simulation.emulation.histories import answered, arrived, asked, box, finished, in_order

DAY = Scenario(name="day", seconds=16.0, warm_up_s=2.5)


def figures(history: list[r.Record], scenario: Scenario = DAY) -> ServiceResult:
    service = Service(scenario)
    for record in in_order(history):
        service.see(record)
    return service.result()


# A try as drawn: the wait before it, how long it took, how it ended, and of each attempt made for it the
# part of that time after which it was done and whether it was wanted.
Told = tuple[float, float, str, list[tuple[float, bool]]]
Drawn = tuple[float, float, float, float, str, list[Told]]
ENDS = {"served": 200, "foreign": 200, "refused": 503, "failed": 502, "cut": 0}
HOW = st.sampled_from(["served"] * 6 + [*ENDS, "abandoned", "never", "unreached"])
DONE = st.lists(st.tuples(st.floats(0.1, 1.2), st.booleans()), max_size=3)
TRIES = st.lists(st.tuples(st.floats(0.0, 0.5), st.floats(0.001, 0.9), HOW, DONE), min_size=1, max_size=3)
COMMUNITIES = ("lagos", "abuja", "kano")
WORTH, COMMUNITY = st.sampled_from([1.0, 1.0, 0.1]), st.sampled_from(COMMUNITIES)
REQUEST = st.tuples(st.floats(0.0, 15.9), st.floats(0.0, 0.3), st.floats(0.01, 0.08), WORTH, COMMUNITY, TRIES)


def history_of(requests: list[Drawn]) -> list[r.Record]:
    history: list[r.Record] = [box(0.0, "warm")]
    for n, (meant, late, work, worth, community, tries) in enumerate(requests):
        at = meant + late
        for m, (wait, took, how, boxes) in enumerate(tries):
            at, call = at + (wait if m else 0.0), f"r{n}.{m}"
            more = {"first": f"r{n}.0", "work": work, "worth": worth, "community": community}
            history.append(asked(at, call, meant=at if m else meant, taken=how != "unreached", **more))
            if how == "unreached":
                continue
            for part, wanted in boxes:
                history += [arrived(at, call), finished(at + part * took, call, "b", part * work, wanted)]
            at += took
            if how in ENDS:
                history.append(answered(at, call, ENDS[how], "x" if how == "foreign" else None))
            elif how == "abandoned":
                history.append(r.Abandoned(at, call, "p"))
            else:
                break  # a try that never ends is its client's last
    return in_order(history)


class Fate(NamedTuple):
    """The outcome of one request."""

    first: r.Asked
    took: float
    end: str
    failed_late: bool
    sent: int
    spent: float
    wasted: float


def fate(first: r.Asked, history: list[r.Record]) -> Fate:
    tries = [one for one in history if isinstance(one, r.Asked) and one.first == first.call]
    ends = {one.call: one for one in history if isinstance(one, r.Answered | r.Abandoned)}
    mine = [ends[one.call] for one in tries if one.call in ends]
    good = [one for one in mine if isinstance(one, r.Answered) and one.body_of == one.call]
    served, aim, last = good[0].at if good else inf, first.meant + first.aim, ends.get(tries[-1].call)
    if good:
        end = "in_time" if served <= aim else "late"
    elif isinstance(last, r.Answered):
        end = "refused" if last.status == 503 else "failed"
    else:
        end = "unanswered" if tries[-1].taken else "failed"
    held = any(
        one.taken and one.at <= aim and (one.call not in ends or ends[one.call].at > aim) for one in tries
    )
    calls = {one.call for one in tries}
    done = [one for one in history if isinstance(one, r.Finished) and one.call in calls]
    made = [one.work for one in done if good and one.call == good[0].call and one.wanted and one.at <= served]
    sent = sum(isinstance(one, r.Arrived) and one.call in calls for one in history)
    spent = sum(one.work for one in done)
    return Fate(first, served - first.meant, end, held and served > aim, sent, spent, spent - sum(made[:1]))


def service(fates: list[Fate]) -> float:
    worth = [(one.first.work * one.first.worth, one.end == "in_time") for one in fates]
    whole = sum(each for each, _ in worth)
    return sum(each for each, earned in worth if earned) / whole if whole else 1.0


@seeded
@given(st.lists(REQUEST, max_size=25))
def test_the_figures_equal_a_simple_computation(requests: list[Drawn]) -> None:
    history = history_of(requests)
    firsts = [one for one in history if isinstance(one, r.Asked) and one.call == one.first]
    fates = [fate(first, history) for first in firsts if first.meant >= DAY.warm_up_s]
    seconds = [int(one.first.meant - DAY.warm_up_s) for one in fates]
    windows = [
        service([one for one, second in zip(fates, seconds, strict=True) if begin <= second < begin + 10])
        for begin in range(4)
    ]
    within = [one for one in fates if one.first.worth == 1.0]
    least = [service([one for one in within if one.first.community == name]) for name in COMMUNITIES]
    parts = [service(fates), min(service(fates), *windows), min(least)]
    worth = sum(one.first.work * one.first.worth for one in fates) or inf
    late = sum(one.first.work * one.first.worth for one in fates if one.failed_late) / worth
    wasted, work = sum(one.wasted for one in fates), sum(one.first.work for one in fates) or inf
    score = 0.6 * parts[0] + 0.15 * parts[1] + 0.25 * parts[2] - 0.08 * late - 0.04 * wasted / work
    got = figures(history)
    told = [got.service, got.worst_10_s, got.worst_community, got.score, got.waste.wasted, got.waste.spent]
    plain = [*parts, score, wasted, sum(one.spent for one in fates)]
    assert told == pytest.approx(plain, abs=1e-9)
    assert got.attempts.sent == sum(one.sent for one in fates) and got.requests.asked == len(fates)
    for name in ("in_time", "late", "refused", "failed", "unanswered"):
        assert getattr(got.requests, name) == sum(one.end == name for one in fates)
    took = sorted(1e3 * one.took for one in fates if one.took < inf)
    if took:
        assert got.latency_ms["max"] == pytest.approx(took[-1], rel=0.002)
        assert got.latency_ms["p50"] == pytest.approx(took[-(-len(took) // 2) - 1], rel=0.002)


def test_the_worst_10_s_may_be_the_last_and_no_window_is_cut_short() -> None:
    day = Scenario(name="day", seconds=15.0, warm_up_s=2.0)
    served: list[r.Record] = [answered(at + 0.1, f"c{at}") for at in range(2, 14)]
    got = figures([*(asked(at, f"c{at}") for at in range(2, 14)), *served, asked(14.5)], day)
    assert (got.worst_10_s, got.worst_10_s_at) == (pytest.approx(0.9), 5.0)
    # A last second in which nobody asks belongs to a window all the same.
    few = [asked(2.0, "a"), answered(2.1, "a"), asked(5.0, "b"), asked(9.0, "c"), answered(9.1, "c")]
    assert figures(few, day).worst_10_s == pytest.approx(0.5)


def test_worth_has_failed_late_only_if_a_proxy_held_it_when_its_aim_passed() -> None:
    refused = [asked(5.0, "a"), answered(5.1, "a", status=503)]
    again = asked(5.6, "b", first="a")
    assert figures([*refused, again]).penalties["failed_late"] == 0.0
    assert figures([*refused, again._replace(at=5.4)]).penalties["failed_late"] == pytest.approx(0.08)
    late = [asked(5.0, "a"), answered(5.6, "a")]
    assert figures(late).penalties["failed_late"] == pytest.approx(0.08)


def test_latency_runs_from_the_intended_send_however_late_the_client_was() -> None:
    stalled = [asked(5.0, "c", meant=4.0), answered(5.1, "c")]
    got = figures(stalled)
    assert got.latency_ms["max"] == pytest.approx(1100, rel=0.001)
    assert got.requests.late == 1 and got.service == 0.0


def test_what_a_community_asks_beyond_its_share_weighs_little_and_not_on_its_own_service() -> None:
    history = [
        asked(5.0, "a"),
        answered(5.1, "a"),
        asked(5.0, "b", worth=0.1),
        asked(5.0, "c", community="kano"),
    ]
    got = figures([*history, answered(5.1, "c")])
    assert got.service == pytest.approx(2.0 / 2.1)
    assert got.communities == {"kano": 1.0, "lagos": 1.0}


def test_a_box_is_measured_by_what_it_could_do_and_a_cold_one_can_do_less() -> None:
    boxes = DAY.boxes
    history = [box(0.0, "cold", capacity=4.0 * boxes.cold_share), box(0.0, "warm", "w", capacity=2.0)]
    history += [finished(n + 0.9, f"c{n}", "w", work=1.0) for n in range(12)]
    history.append(finished(1.5, "before", "w", work=2.0))
    got = figures([*history, box(12.2, "silent", "w"), asked(13.0)]).boxes
    assert got["w"].load == pytest.approx(0.5 * 10 / 10) and got["w"].work == pytest.approx(14.0)
    assert got["w"].capacity[11:] == [2.0, None, None] and got["w"].worked[12] == 0.0
    half = 4.0 * (boxes.cold_share + (1 - boxes.cold_share) * 10.5 / boxes.warm_s)
    assert got["b"].capacity[10] == pytest.approx(half)


def test_proxies_are_measured_over_all_their_lives() -> None:
    used = [r.Used(1.0, "p", 0.5, 100, 10), r.Used(2.0, "p", 1.3, 300, 30), r.Used(5.0, "p", 0.2, 200, 20)]
    got = figures([*used, r.Sent(5.0, "p", 200, True), r.Sent(5.0, "p", 56, False)]).proxies["p"]
    assert (got.cpu_s, got.memory_most, got.sockets_most) == (pytest.approx(1.5), 300, 30)
    assert got.cores_most == pytest.approx(0.8) and got.memory == [None, 100, 300, None, None, 200]
    assert (got.datagrams, got.datagram_bytes, got.datagrams_lost) == (2, 256, 1)


def test_penalties_count_crossings_probes_and_messages_for_each_request() -> None:
    history = [box(0.0, "warm"), box(0.0, "warm", "far"), asked(5.0), arrived(5.0), answered(5.1)]
    history[1] = history[1]._replace(zone="y")
    history += [arrived(5.0, box="far"), r.Probed(5.0, "p", "b"), r.Sent(5.0, "p", 128, True)]
    history.append(r.Sent(5.0, "p", 256, False))  # never delivered
    got = figures(history)
    assert got.penalties["crossings"] == pytest.approx(0.02)
    assert got.penalties["probes"] == pytest.approx(0.01) and got.penalties["messages"] == pytest.approx(
        0.005
    )


def test_long_runs_keep_bounded_series_and_forget_what_is_settled() -> None:
    service = Service(Scenario(name="long", seconds=1000.0))
    for n in range(10_000):
        service.see(asked(n / 10, f"c{n}"))
        service.see(answered(n / 10 + 0.05, f"c{n}"))
        assert len(service._calls) < 300
    assert Service(DAY).progress().service == 1.0
    progress = service.progress()
    assert progress.service == 1.0 and progress.asked == 10_000 and 49 < progress.p99_ms < 51
    over_time = service.result().over_time
    assert over_time.step_s == 4.0 and sum(over_time.first_tries) == 10_000
    lengths = {len(getattr(over_time, name)) for name in ("asked", "service", "p99_ms", "again", "attempts")}
    assert lengths == {250}
