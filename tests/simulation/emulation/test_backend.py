"""Tests of the emulated backend: speed, cache, warm-up, faults, and overload of cold backends."""

from __future__ import annotations

from math import inf, sqrt
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from firvane.simulation.emulation.backend import Completion, EmulatedBackend, JobEnd
from firvane.simulation.emulation.scenario import Boxes, Kind
from tests.proxy.net.helpers import seeded

KIND = Kind(name="plain", share=1.0, cores=2, speed=(1.0, 1.0))
PLAIN = Boxes(
    kinds=(KIND,), crowded_loss=0.0, remembers_s=(5.0, 5.0), remembered_saves=(0.5, 0.5),
    probe_work_ms=(1.0, 1.0), connect_work_ms=2.0,
)  # fmt: skip


def box(boxes: Boxes = PLAIN, warm: bool = True) -> EmulatedBackend:
    return EmulatedBackend("box-1", boxes.kinds[0], boxes, "a", 1, 0.0, warm)


def offers(at: EmulatedBackend, now: float, *work: float) -> list[str]:
    return [at.offer(now, f"{now}-{n}", "", each).verdict for n, each in enumerate(work)]


def ends(at: EmulatedBackend, now: float) -> list[tuple[float, JobEnd]]:
    return [(round(done.at, 9), done.end) for done in at.advance(now)]


def test_work_shares_the_cores_and_none_runs_faster_than_one() -> None:
    one, four, crowded = box(), box(), box(replace(PLAIN, crowded_loss=0.25))
    offers(one, 0.0, 0.1)
    assert one.next_at() == pytest.approx(0.1)  # not 0.05: a request can't use a second core
    one.slow(0.05, 0.5)
    assert one.next_at() == pytest.approx(0.15)
    offers(four, 0.0, 0.1, 0.1, 0.1, 0.2)
    assert ends(four, 1.0) == [(0.2, JobEnd.COMPLETED)] * 3 + [(0.3, JobEnd.COMPLETED)]
    offers(crowded, 0.0, *[0.1] * 16)
    assert crowded.next_at() == pytest.approx(0.2 / 0.75)  # a full backend loses a quarter of its speed
    full = box()  # queued work starts in order
    assert offers(full, 0.0, *[0.1] * 20) == ["taken"] * 16 + ["turned away"] * 4  # 4 slots, a queue of 12
    assert [done.call for done in full.advance(9.0)] == [f"0.0-{n}" for n in range(16)]


def test_a_cached_key_saves_work_until_it_expires_or_is_evicted() -> None:
    one = box(replace(PLAIN, remembers_keys=2))
    met = [(0.0, "a"), (1.0, "a"), (5.9, "a"), (11.0, "a"), (11.1, "b"), (11.2, "a"), (11.3, "c")]
    costs = [one.offer(now, str(now), key, 0.1).cost for now, key in met]
    assert costs == [0.1, 0.05, 0.05, 0.1, 0.1, 0.05, 0.1]
    assert [one.offer(11.4, key, key, 0.1).cost for key in "ab"] == [0.05, 0.1]  # b was longer ago
    one.restart(12.1)
    assert one.offer(12.2, "after", "b", 0.1).cost == 0.1


def test_capacity_rises_linearly_during_warm_up_and_work_takes_accordingly_long() -> None:
    cold = box(warm=False)
    assert [cold.capacity(t) for t in (0.0, 11.0, 22.0, 30.0)] == pytest.approx([0.26, 1.13, 2.0, 2.0])
    cold.offer(0.0, "one", "", 0.5)
    # 0.13 t + 0.87 t²/44 = 0.5
    assert cold.next_at() == pytest.approx((-0.13 + sqrt(0.0169 + 4 * 0.5 * 0.87 / 44)) / (2 * 0.87 / 44))
    cold.offer(0.0, "long", "", 20.0)
    seen = []
    while (at := cold.next_at()) < inf:
        seen.append((at, [done.call for done in cold.advance(at)], cold.state))
    assert [told for _, *told in seen] == [[["one"], "cold"], [[], "warm"], [["long"], "warm"]]
    # Warm at 22 s; by then the request had 12.43 s of one core, without sharing it.
    assert seen[-1][0] == pytest.approx(22.0 + 20.0 - 12.43)
    half = box(warm=False)
    half.offer(0.0, "one", "", 9.0)
    half.cancel(11.0, "one")
    assert half.advance(11.0)[0].spent == pytest.approx(11 * (0.13 + 0.565) / 2)


def test_a_pause_suspends_all_work_and_silence_loses_it() -> None:
    still = box()
    offers(still, 0.0, 0.1, 0.3)
    still.pause(0.05, 5.0)
    still.pause(0.06, 2.0)
    assert (still.state, still.next_at()) == ("paused", 5.0)
    assert offers(still, 1.0, 0.1) == ["taken"]
    assert ends(still, 5.0) == [] and still.state == "warm"
    # Three requests share two cores for a while.
    assert ends(still, 5.2) == [(5.075, JobEnd.COMPLETED), (5.125, JobEnd.COMPLETED)]
    still.silence(5.25)
    assert still.advance(5.25) == [Completion("0.0-1", 5.25, pytest.approx(0.275), JobEnd.LOST)]
    assert offers(still, 5.3, 0.1) == ["unheard"] and not still.connect(5.3) and not still.probe(5.3)
    assert still.restart(9.0) and (still.state, still.start) == ("cold", 1)


@pytest.mark.parametrize("stops", [True, False])
def test_cancelled_running_work_stops_or_completes_and_queued_work_never_starts(stops: bool) -> None:
    busy = box(replace(PLAIN, stops_on_cancel=stops))
    offers(busy, 0.0, *[0.1] * 6)
    for call in ("0.0-0", "0.0-5", "0.0-0", "never seen"):
        busy.cancel(0.1, call)
    done = {one.call[-1]: (one.end, round(one.at, 9), round(one.spent, 9)) for one in busy.advance(9.0)}
    assert done["0"] == ((JobEnd.CANCELLED, 0.1, 0.05) if stops else (JobEnd.UNWANTED, 0.2, 0.1))
    assert done["4"] == (JobEnd.COMPLETED, 0.25 if stops else 0.3, 0.1)  # at once in the free slot
    assert done["5"] == (JobEnd.CANCELLED, 0.1, 0.0) and len(done) == 6


def test_connections_are_limited_and_cost_work_like_probes() -> None:
    one = box(replace(PLAIN, connections=2))
    offers(one, 0.0, 0.1)
    assert [one.connect(0.0), one.connect(0.0), one.connect(0.0), one.probe(0.0)] == [True, True, False, True]
    due = one.next_at()
    assert due == pytest.approx(0.1 + (2 * 0.002 + 0.001) / 2)
    one.advance(due)
    offers(one, due, 0.1)
    assert one.next_at() == pytest.approx(due + 0.1)  # the overhead counts once
    one.disconnect(0.2)
    assert one.connect(0.2)
    one.restart(1.0)
    one.connect(1.0)
    one.disconnect(1.0, start=0)  # of the previous start: not counted any more
    assert one.connections == 1


def test_a_draining_backend_completes_its_requests_and_a_stopped_one_loses_them() -> None:
    one = box()
    offers(one, 0.0, 0.1, 0.3)
    one.drain(0.05)
    assert offers(one, 0.06, 0.1) == ["turned away"] and not one.probe(0.06)
    one.stop(0.2)
    assert [done.end for done in one.advance(0.2)] == [JobEnd.COMPLETED, JobEnd.LOST]
    assert one.state == "down" and one.next_at() == inf
    assert one.restart(1.0) and offers(one, 1.1, 0.1) == ["taken"]


Script = list[tuple[str, float, float]]


def drive(boxes: Boxes, warm: bool, script: Script) -> tuple[list[str], list[Completion], float]:
    """Run a script on a backend; return accepted calls, completions, and the work (s) it had capacity for."""
    at, now = box(boxes, warm), 0.0
    taken: list[str] = []
    done: list[Completion] = []
    could = 0.0
    for number, (step, wait, size) in enumerate([*script, ("stop", 60.0, 0.0)]):
        until = now + wait
        while now < until:
            then = min(until, max(at.next_at(), now))
            mean = (at.capacity(now) + at.capacity(then)) / 2
            could += 0.0 if at.state == "paused" else mean * (then - now)
            now = then
            done += at.advance(now)
        if step == "offer":
            taken += [f"c{number}"] * (at.offer(now, f"c{number}", f"k{number % 5}", size).verdict == "taken")
        elif step == "cancel":
            at.cancel(now, taken[int(size * 1e4) % len(taken)] if taken else "")
        elif step in ("pause", "slow"):
            getattr(at, step)(now, now + size * 20 if step == "pause" else size * 5)
        else:
            getattr(at, step)(now)
    assert at.inside == 0
    return taken, done + at.advance(now), could


OTHERS = ["connect", "probe", "pause", "slow", "silence", "stop", "restart"]
kinds = st.sampled_from(["offer"] * 12 + ["cancel"] * 3 + OTHERS)
waits = st.sampled_from([0.0, 0.001, 0.004, 0.02, 0.02, 0.1, 1.0, 5.0])


@seeded
@given(st.lists(st.tuples(kinds, waits, st.floats(0.001, 0.2)), max_size=60), st.booleans(), st.booleans())
def test_every_attempt_ends_once_and_work_never_exceeds_capacity(
    script: Script, warm: bool, stops: bool
) -> None:
    boxes = replace(PLAIN, stops_on_cancel=stops, crowded_loss=0.25, warm_s=4.0)
    taken, done, could = drive(boxes, warm, script)
    assert sorted(one.call for one in done) == sorted(taken)
    assert sum(one.spent for one in done) <= could + 1e-9
    assert [one.at for one in done] == sorted(one.at for one in done)
    assert drive(boxes, warm, script) == (taken, done, could)


def too_much(sent: list[tuple[float, float]], capacity: float) -> bool:
    """Whether the work sent exceeds the overload limit, computed independently of the backend."""
    late = [work for at, work in sent if at > sent[-1][0] - PLAIN.fall_s]
    chance = sqrt(sum(work * work for work in late))
    return sum(late) - chance > PLAIN.fall_multiple * PLAIN.fall_s * capacity


def test_a_cold_backend_falls_exactly_by_the_overload_rule() -> None:
    fell_at = []
    for seed in range(40):
        dice, cold, now = Random(seed), box(warm=False), 0.0
        sent: list[tuple[float, float]] = []
        while cold.is_up and now < 25.0:
            now += dice.uniform(0.0, 0.1)
            capacity = 2 * min(1.0, 0.13 + 0.87 * now / 22)
            # Close to the limit, with some heavy requests: whether it falls is random.
            work = dice.choice((0.3, 1.0, 1.0, 1.7)) * 0.05 * 2.5 * capacity * (0.7 + seed / 40)
            cold.advance(now)
            cold.offer(now, str(now), "", work)
            sent.append((now, work))
            assert (cold.state == "fell") == (now < 22.0 and too_much(sent, capacity))
        fell_at += [] if cold.is_up else [now]
        assert cold.is_up or not (cold.restart(now) or cold.connect(now))
    assert 5 < len(fell_at) < 35 and max(fell_at) > 3.0
    warm = box()
    assert offers(warm, 0.0, *[1.0] * 40)[-1] == "turned away" and warm.state == "warm"
