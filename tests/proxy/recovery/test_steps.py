"""The slow start by steps against simulated backends: it finds their capacity and never overloads them."""

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

TARGET_S = 0.5


def backend(capacity: float = 1.0) -> Backend:
    server = Backend(api.Server("a"), 1, 1.0, None)
    steps.begin(server, capacity)
    return server


def end_attempt(server: Backend, result: api.Result, duration_s: float, now: float, lent: int = 0) -> None:
    steps.on_attempt_ended(
        server, None, TARGET_S, api.Outcome(1, 0, "a", result, duration_s, True), lent, now
    )


def saturate(
    cores: int, speed: float, seconds: float, client_timeout_s: float, first: float = 1.0
) -> tuple[EmulatedBackend, int, float]:
    """Use all the capacity of a cold backend; return it, the timely responses and the last capacity."""
    box = EmulatedBackend(
        "a", Kind(name="k", share=1, cores=cores, speed=(speed, speed)), Boxes(), "z", 1, 0.0, False
    )
    server, in_flight, due = backend(first), dict[str, float](), list[tuple[float, str]]()
    now, calls, in_time = 0.0, 0, 0
    while now < seconds and box.is_up:
        while len(in_flight) < server.stepped_capacity:
            calls += 1
            call = f"{calls:x}"
            in_flight[call] = now
            box.offer(now, call, call, 0.042)
            heapq.heappush(due, (now + client_timeout_s, call))
            if not box.is_up:
                break
        now = max(now, min(box.next_at(), due[0][0]))
        for done in box.advance(now):
            sent = in_flight.pop(done.call, None)
            if sent is not None and done.end is JobEnd.COMPLETED:
                server.in_flight, in_time = len(in_flight), in_time + (now - sent <= TARGET_S)
                end_attempt(server, api.Result.OK, now - sent, now)
        while due and due[0][0] <= now:
            call = heapq.heappop(due)[1]
            if call in in_flight:
                box.cancel(now, call)
                sent = in_flight.pop(call)
                server.in_flight = len(in_flight)
                end_attempt(server, api.Result.TIMEOUT, now - sent, now)
    return box, in_time, server.stepped_capacity


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    cores=st.integers(1, 16),
    speed=st.floats(0.2, 1.5),
    client_timeout_s=st.floats(0.6, 2.5),
    first=st.floats(1.0, steps.MAX_FIRST_CAPACITY),
)
def test_no_backend_is_overloaded_whatever_its_size_and_restored_capacity(
    cores: int, speed: float, client_timeout_s: float, first: float
) -> None:
    box, _, capacity = saturate(cores, speed, 24.0, client_timeout_s, first)
    assert box.is_up and capacity >= 1.0


@pytest.mark.parametrize("cores", [2, 4, 16])
def test_most_of_the_capacity_of_a_backend_is_found_within_seconds(cores: int) -> None:
    _, in_time, _ = saturate(cores, 1.0, 22.0, 2.0)
    possible = cores * 22.0 * (Boxes().cold_share + 1.0) / 2 / 0.042
    assert in_time > 0.8 * possible


def test_a_capacity_doubles_with_each_round_trip_until_a_response_is_not_quick() -> None:
    server = backend()
    for wanted in (2, 4, 8):
        for left in reversed(range(int(server.stepped_capacity))):
            server.in_flight = max(left, int(server.stepped_capacity) - 1)
            end_attempt(server, api.Result.OK, 0.1, 1.0)
        assert server.stepped_capacity == wanted
    end_attempt(server, api.Result.OK, 0.35, 2.0)
    assert server.stepped_capacity == 8 and not server.is_stepping
    server.in_flight = 7
    end_attempt(server, api.Result.OK, 0.1, 2.1)
    assert 8 < server.stepped_capacity < 9


@pytest.mark.parametrize(
    ("result", "duration_s", "left"),
    [
        (api.Result.OK, 0.45, 8 * steps.LATE_FACTOR),
        (api.Result.OVERLOADED, 0.01, 8 * steps.FAILURE_FACTOR),
        (api.Result.TIMEOUT, 1.0, 8 * steps.FAILURE_FACTOR),
        (api.Result.CONNECT_FAILED, 0.0, 1.0),
        (api.Result.ERROR, 0.1, 8.0),
    ],
)
def test_attempts_that_fail_together_cut_the_capacity_once(
    result: api.Result, duration_s: float, left: float
) -> None:
    server = backend(8.0)
    for later in (0.0, 0.2 * duration_s):
        end_attempt(server, result, duration_s, 10.0 + later)
    assert server.stepped_capacity == pytest.approx(left)


def test_an_unused_capacity_does_not_grow_unless_peers_use_it() -> None:
    server = backend(8.0)
    end_attempt(server, api.Result.OK, 0.1, 1.0)
    assert server.stepped_capacity == 8.0
    end_attempt(server, api.Result.OK, 0.1, 1.0, lent=5)
    assert server.stepped_capacity > 8.0


def test_a_request_expected_to_miss_its_latency_target_is_not_sent() -> None:
    server = backend()
    assert steps.fits_target(server, 9.0, TARGET_S) and steps.fits_target(server, None, TARGET_S)
    request = api.Request(1, 0, 2.0, work=0.04)
    steps.on_attempt_ended(
        server, request, TARGET_S, api.Outcome(1, 0, "a", api.Result.OK, 0.4, True), 0, 1.0
    )
    assert steps.fits_target(server, 0.05, TARGET_S) and not steps.fits_target(server, 0.051, TARGET_S)
    server.in_flight = 1
    steps.decay_pace(server)  # its response will update the pace
    assert not steps.fits_target(server, 0.051, TARGET_S)
    server.in_flight = 0
    steps.decay_pace(server)
    assert steps.fits_target(server, 0.051, TARGET_S) and not steps.fits_target(server, 0.07, TARGET_S)
