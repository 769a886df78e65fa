"""Rooms by steps, against boxes that are what they are: found, kept, and never pushed over."""

from __future__ import annotations

import heapq

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.core import interface as api
from firvane.core.balancing.records import Backend
from firvane.proxy.recovery import steps
from firvane.simulation.emulation.backend import EmulatedBackend, JobEnd
from firvane.simulation.emulation.scenario import Boxes, Kind

AIM = 0.5


def backend(room: float = 1.0) -> Backend:
    server = Backend(api.Server("a"), 1, 1.0, None)
    steps.begin(server, room)
    return server


def heard(server: Backend, result: api.Result, took: float, now: float, lent: int = 0) -> None:
    steps.on_attempt_ended(server, None, AIM, api.Outcome(1, 0, "a", result, took, True), lent, now)


def drive(
    cores: int, speed: float, seconds: float, gives_up: float, first: float = 1.0
) -> tuple[EmulatedBackend, int, float]:
    """A cold box that is asked as often as its room allows; the box, answers in time, and the last room."""
    box = EmulatedBackend(
        "a", Kind(name="k", share=1, cores=cores, speed=(speed, speed)), Boxes(), "z", 1, 0.0, False
    )
    server, out, due = backend(first), dict[str, float](), list[tuple[float, str]]()
    now, calls, in_time = 0.0, 0, 0
    while now < seconds and box.is_up:
        while len(out) < server.stepped_capacity:
            calls += 1
            call = f"{calls:x}"
            out[call] = now
            box.offer(now, call, call, 0.042)
            heapq.heappush(due, (now + gives_up, call))
            if not box.is_up:
                break
        now = max(now, min(box.next_at(), due[0][0]))
        for done in box.advance(now):
            sent = out.pop(done.call, None)
            if sent is not None and done.end is JobEnd.COMPLETED:
                server.in_flight, in_time = len(out), in_time + (now - sent <= AIM)
                heard(server, api.Result.OK, now - sent, now)
        while due and due[0][0] <= now:
            call = heapq.heappop(due)[1]
            if call in out:
                box.cancel(now, call)
                sent = out.pop(call)
                server.in_flight = len(out)
                heard(server, api.Result.TIMEOUT, now - sent, now)
    return box, in_time, server.stepped_capacity


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    cores=st.integers(1, 16),
    speed=st.floats(0.2, 1.5),
    gives_up=st.floats(0.6, 2.5),
    first=st.floats(1.0, steps.MAX_FIRST_CAPACITY),
)
def test_no_box_is_pushed_over_whatever_its_size_and_whatever_was_remembered(
    cores: int, speed: float, gives_up: float, first: float
) -> None:
    box, _, room = drive(cores, speed, 24.0, gives_up, first)
    assert box.is_up and room >= 1.0


@pytest.mark.parametrize("cores", [2, 4, 16])
def test_most_of_what_a_box_can_do_is_found_within_seconds(cores: int) -> None:
    _, in_time, _ = drive(cores, 1.0, 22.0, 2.0)
    could = cores * 22.0 * (Boxes().cold_share + 1.0) / 2 / 0.042
    assert in_time > 0.8 * could


def test_a_room_doubles_with_each_round_trip_until_an_answer_is_not_quick() -> None:
    server = backend()
    for wanted in (2, 4, 8):
        for left in reversed(range(int(server.stepped_capacity))):
            server.in_flight = max(left, int(server.stepped_capacity) - 1)
            heard(server, api.Result.OK, 0.1, 1.0)
        assert server.stepped_capacity == wanted
    heard(server, api.Result.OK, 0.35, 2.0)
    assert server.stepped_capacity == 8 and not server.is_stepping
    server.in_flight = 7
    heard(server, api.Result.OK, 0.1, 2.1)
    assert 8 < server.stepped_capacity < 9


@pytest.mark.parametrize(
    ("result", "took", "left"),
    [
        (api.Result.OK, 0.45, 8 * steps.LATE_FACTOR),
        (api.Result.OVERLOADED, 0.01, 8 * steps.FAILURE_FACTOR),
        (api.Result.TIMEOUT, 1.0, 8 * steps.FAILURE_FACTOR),
        (api.Result.CONNECT_FAILED, 0.0, 1.0),
        (api.Result.ERROR, 0.1, 8.0),
    ],
)
def test_what_cuts_a_room_does_so_once_for_all_that_was_out_together(
    result: api.Result, took: float, left: float
) -> None:
    server = backend(8.0)
    for later in (0.0, 0.2 * took):
        heard(server, result, took, 10.0 + later)
    assert server.stepped_capacity == pytest.approx(left)


def test_a_room_that_is_not_used_does_not_grow_unless_others_use_it() -> None:
    server = backend(8.0)
    heard(server, api.Result.OK, 0.1, 1.0)
    assert server.stepped_capacity == 8.0
    heard(server, api.Result.OK, 0.1, 1.0, lent=5)
    assert server.stepped_capacity > 8.0


def test_work_that_would_take_more_than_its_aim_is_not_sent() -> None:
    server = backend()
    assert steps.fits_target(server, 9.0, AIM) and steps.fits_target(server, None, AIM)
    request = api.Request(1, 0, 2.0, work=0.04)
    steps.on_attempt_ended(server, request, AIM, api.Outcome(1, 0, "a", api.Result.OK, 0.4, True), 0, 1.0)
    assert steps.fits_target(server, 0.05, AIM) and not steps.fits_target(server, 0.051, AIM)
    server.in_flight = 1
    steps.decay_pace(server)  # its answer will tell
    assert not steps.fits_target(server, 0.051, AIM)
    server.in_flight = 0
    steps.decay_pace(server)
    assert steps.fits_target(server, 0.051, AIM) and not steps.fits_target(server, 0.07, AIM)
