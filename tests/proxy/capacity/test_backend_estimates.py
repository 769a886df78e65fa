"""Tests of the estimates of servers: properties of the attempt accounting, and simulated fault situations."""

from __future__ import annotations

import random
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.small_world import SITUATIONS, Situation, World
from firvane.core import interface as api
from firvane.core.balancing.records import Backend, OpenRequest
from firvane.core.balancing.rows import decode_row, encode_row
from firvane.proxy.capacity import kind_counts, tenant_admission
from firvane.proxy.capacity.backend_estimates import (
    LATE_DURATIONS,
    LATE_TARGET_FRACTION,
    LIGHT_WORK_FRACTION,
    LONG_DURATIONS,
    MIN_LOSS_RATE,
    PACE_MARGIN,
    BackendEstimates,
)
from firvane.proxy.capacity.excluded_servers import count_excluded
from firvane.proxy.capacity.slow_start import refill
from tests.helpers import RULES, SAFE, server, settings, started
from tests.proxy.net.helpers import seeded
from tests.proxy.routing.samples import KEYS


def make_estimates() -> tuple[BackendEstimates, Backend]:
    return BackendEstimates(settings(), random.Random(1), 90.0), Backend(
        server("a"), 1, 1.0, None, response_gap=0.05
    )


RESULTS = [api.Result.OK, api.Result.ERROR, api.Result.OVERLOADED, api.Result.RESET, api.Result.TIMEOUT,
           api.Result.CANCELLED, api.Result.CONNECT_FAILED]  # fmt: skip


@seeded
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 30), st.sampled_from(RESULTS)), max_size=80))
def test_an_attempt_counts_until_it_ends_or_is_lost_and_is_removed_once(
    steps: list[tuple[int, int, api.Result]],
) -> None:
    estimates, backend = make_estimates()
    lost_by_number, lost_count, now = dict[int, bool](), 0, 100.0
    for n, (step, choice, result) in enumerate(steps):
        now += 0.05
        if step == 0:
            estimates.on_attempt_sent(backend, 0, None, (n, 0), now)
            lost_by_number[n] = False
        elif lost_by_number and step == 1:
            key = list(lost_by_number)[choice % len(lost_by_number)]
            if not lost_by_number[key] and estimates.is_attempt_lost(estimates.in_flight[key, 0], now):
                estimates.mark_lost(estimates.in_flight[key, 0], backend)
                lost_by_number[key] = True
                lost_count += 1
        elif lost_by_number:
            key = list(lost_by_number)[choice % len(lost_by_number)]
            estimates.on_attempt_ended(
                backend, api.Request(key, 0, 1.0), api.Outcome(key, 0, "a", result, 0.1, True), now
            )
            # A duplicate.
            estimates.on_attempt_ended(backend, None, api.Outcome(key, 0, "a", result, 0.1, True), now)
            del lost_by_number[key]
        assert (
            backend.in_flight
            == sum(not is_lost for is_lost in lost_by_number.values())
            == len(backend.attempts)
        )
        assert (
            len(estimates.in_flight) == len(lost_by_number)
            and backend.capacity >= 1.0
            and 0.0 <= estimates.loss_rate <= 1.0
        )


def respond(
    estimates: BackendEstimates,
    backend: Backend,
    number: int,
    result: api.Result,
    now: float,
    finished: bool = False,
) -> None:
    estimates.on_attempt_sent(backend, 0, None, (number, 0), now)
    estimates.on_attempt_ended(
        backend, api.Request(number, 0, 1.0), api.Outcome(number, 0, "a", result, 0.01, finished), now
    )


def test_a_server_that_mostly_fails_is_ejected_and_tried_until_it_serves() -> None:
    # Guards against a server that attracts all requests because it fails quickly.
    estimates, backend = make_estimates()
    for n in range(3):
        respond(estimates, backend, n, api.Result.ERROR, 100.0 + n / 10)
    assert backend.retry_at <= 100.3  # a few errors are no evidence yet
    for n in range(3, 8):
        respond(estimates, backend, n, api.Result.ERROR, 100.0 + n / 10)
    assert backend.retry_at > 101.0 and count_excluded([backend], 100.8) == 1
    now = 102.0
    for n in range(8, 14):
        respond(estimates, backend, n, api.Result.OK, now)
        now = max(now + 0.01, backend.retry_at)
    assert backend.retry_at < now and backend.error_rate < 0.5 and not count_excluded([backend], now)


def test_invalid_requests_eject_no_server() -> None:
    # Guards against a hostile client that ejects servers by requests that every server rejects.
    estimates, backend = make_estimates()
    for n in range(30):
        respond(estimates, backend, n, api.Result.ERROR, 100.0 + n / 10, finished=True)
    assert not backend.error_rate and not count_excluded([backend], 103.0)


def test_an_attempt_is_lost_only_if_late_and_overtaken_or_long_overdue_among_losses() -> None:
    estimates, backend = make_estimates()
    estimates.typical_duration[0] = 0.1
    attempt = estimates.on_attempt_sent(backend, 0, None, (1, 0), 100.0)
    late, long = 100.0 + LATE_DURATIONS * 0.1, 100.0 + LONG_DURATIONS * 0.1
    # A slow or silent server explains it as well.
    assert not estimates.is_attempt_lost(attempt, long + 9.0)
    attempt.overtaken_by = 1
    assert not estimates.is_attempt_lost(attempt, long - 0.01) and estimates.is_attempt_lost(attempt, long)
    attempt.overtaken_by = 2
    assert not estimates.is_attempt_lost(attempt, late - 0.01) and estimates.is_attempt_lost(attempt, late)
    attempt.overtaken_by, estimates.loss_rate = 0, MIN_LOSS_RATE
    assert not estimates.is_attempt_lost(attempt, long - 0.01) and estimates.is_attempt_lost(attempt, long)


def test_a_response_overtakes_only_attempts_sent_before_its_own() -> None:
    estimates, backend = make_estimates()
    attempts = [estimates.on_attempt_sent(backend, 0, None, (n, 0), 100.0 + n) for n in range(3)]
    estimates.on_attempt_ended(backend, None, api.Outcome(1, 0, "a", api.Result.OK, 0.1, True), 103.0)
    assert [attempt.overtaken_by for attempt in attempts] == [1, 0, 0]
    estimates.on_attempt_ended(backend, None, api.Outcome(2, 0, "a", api.Result.OVERLOADED, 0.1, True), 103.1)
    assert attempts[0].overtaken_by == 1  # a rejection does not queue behind other requests


def test_a_server_is_silent_only_if_random_loss_does_not_explain_it() -> None:
    estimates, backend = make_estimates()
    estimates.typical_duration[0], backend.last_response_at = 0.1, 99.9
    first = estimates.on_attempt_sent(backend, 0, None, (0, 0), 100.0)
    assert estimates.is_silent(first, backend, 101.0)
    estimates.loss_rate = 0.17  # one in six is lost: one or two overdue attempts are no silence
    assert not estimates.is_silent(first, backend, 101.0)
    for n in (1, 2):
        estimates.on_attempt_sent(backend, 0, None, (n, 0), 100.0 + n / 10)
    assert estimates.is_silent(first, backend, 101.0) and not estimates.is_silent(first, backend, 100.3)
    backend.last_response_at = 100.5
    assert not estimates.is_silent(first, backend, 101.0)


def test_a_lost_attempt_changes_no_estimate_of_its_server() -> None:
    estimates, backend = make_estimates()
    backend.attempts.clear()
    attempt = estimates.on_attempt_sent(backend, 0, 0.1, (1, 0), 100.0)
    attempt.overtaken_by = 9
    estimates.mark_lost(attempt, backend)
    before = (
        backend.relative_latency,
        backend.capacity,
        backend.failures,
        dict(estimates.work_pace),
        list(estimates.typical_duration),
    )
    request = api.Request(1, 0, 1.0, work=0.1)
    estimates.on_attempt_ended(backend, request, api.Outcome(1, 0, "a", api.Result.TIMEOUT, 2.0, True), 102.0)
    assert (
        backend.relative_latency,
        backend.capacity,
        backend.failures,
        dict(estimates.work_pace),
        list(estimates.typical_duration),
    ) == before


def test_a_cold_server_is_estimated_by_the_rules_or_higher_by_its_measured_pace() -> None:
    estimates, _ = make_estimates()
    cold, warm = Backend(server("a"), 1, 1.0, 100.0), Backend(server("b"), 2, 1.0, None)
    fractions = [
        estimates.slow_start_fraction(cold, 100.0 + RULES.slow_start * elapsed)
        for elapsed in (0.0, 0.5, 1.0, 2.0)
    ]
    granted = RULES.start_capacity
    assert fractions == pytest.approx([granted, (1 + granted) / 2, 1.0, 1.0])

    def respond(backend: Backend, number: int, duration: float) -> None:
        estimates.on_attempt_sent(backend, 0, 0.1, (number, 0), 100.0)
        request, outcome = (
            api.Request(number, 0, 1.0, work=0.1),
            api.Outcome(number, 0, "x", api.Result.OK, duration, True),
        )
        estimates.on_attempt_ended(backend, request, outcome, 100.1)

    for number in range(20):
        respond(warm, number, 0.1)
    respond(cold, 90, 0.1)
    # One response is no measurement.
    assert estimates.slow_start_fraction(cold, 100.0) == pytest.approx(granted)
    for number in range(100, 110):
        respond(cold, number, 0.1)
    # As fast as the warm servers, less the margin.
    assert estimates.slow_start_fraction(cold, 100.0) == pytest.approx(PACE_MARGIN)
    for number in range(200, 230):
        respond(cold, number, 0.5)
    assert granted <= estimates.slow_start_fraction(cold, 100.0) < 0.4


def test_the_rate_of_a_kind_is_that_of_its_warm_servers_to_all_proxies() -> None:
    estimates, warm = make_estimates()
    cold = Backend(server("b"), 2, 1.0, 99.0)
    warm.in_flight, warm.peers_in_flight, rates = 2, 4, []
    for window in range(40):
        for n in range(10):
            for backend, number in ((warm, n), (cold, n + 20)):
                estimates.on_attempt_sent(backend, 0, None, (window, number), 100.0)
                outcome = api.Outcome(window, number, "x", api.Result.OK, 0.05, True)
                estimates.on_attempt_ended(backend, None, outcome, 100.0)
        estimates.update_rates([warm], 40.0, 1.0, 0.25)
        rates.append(estimates.best_rate[0])
    assert rates[0] == rates[1] == 0.0  # too few responses
    assert rates[-1] == pytest.approx(10 / 0.25 * 3, rel=0.02)  # responses of the cold server do not count
    estimates.update_rates([], 40.0, 1.0, 0.25)
    # No warm server is left: the rate is kept.
    assert estimates.best_rate[0] == pytest.approx(rates[-1], rel=0.02)


def test_in_a_large_fleet_the_rate_of_a_kind_includes_the_responses_announced_by_peers() -> None:
    # Each of 40 proxies gets some 6 responses a second from 30 small servers, too few to know their rate.
    # They got as many keys as servers with four times the capacity, and rejected three requests in four.
    estimates, warm = (
        BackendEstimates(settings(proxies=40), random.Random(1), 100.0),
        Backend(server("a"), 1, 1.0, None),
    )
    for window in range(80):
        now = 100.0 + window / 4
        if window % 10 == 0:
            estimates.on_attempt_sent(warm, 0, None, (window, 0), now)
            estimates.on_attempt_ended(
                warm, None, api.Outcome(window, 0, "a", api.Result.OK, 0.05, True), now
            )
        if window % 2 == 0:
            for peer in range(1, 5):
                assert estimates.on_peer_message(peer, kind_counts.pack({0: 1000 * peer + 5 * window}, now))
        estimates.update_rates([warm], 80.0, 1.0, 0.25)
    assert estimates.best_rate[0] == pytest.approx(4 * 5 / 0.25, rel=0.1)


@pytest.mark.parametrize("first", [True, False], ids=["no longer", "from now on"])
def test_response_counts_are_pooled_only_while_proxies_exchange_them(first: bool) -> None:
    # Guards against a SIGHUP that changes `peers`: with 40 proxies the responses to all were read as those to
    # one, a rate 40 times too high; in the other direction the known rate only decayed.
    def rate(estimates: BackendEstimates, begin: int) -> float:
        for window in range(begin, begin + 100):
            now = 100.0 + window / 4
            for n in range(11):  # the first one is in flight while the rates are updated
                estimates.on_attempt_sent(warm, 0, None, (window, n), now)
                if n:
                    estimates.on_attempt_ended(
                        warm, None, api.Outcome(window, n, "a", api.Result.OK, 0.05, True), now
                    )
            # Counted only where proxies exchange counts.
            estimates.on_peer_message(1, kind_counts.pack({0: 390 * window}, now))
            estimates.update_rates([warm], 1600.0, 1.0, 0.25)
            estimates.on_attempt_ended(
                warm, None, api.Outcome(window, 0, "a", api.Result.CANCELLED, 0.05, True), now
            )
        return estimates.best_rate[0]

    limits = [api.Limits(max_attempts=4, peers=peers) for peers in (first, not first)]
    estimates = BackendEstimates(settings(proxies=40, limits=limits[0]), random.Random(1), 100.0)
    warm = Backend(server("a"), 1, 1.0, None)
    assert rate(estimates, 0) == pytest.approx(1600.0, rel=0.1)
    estimates.apply_settings(settings(proxies=40, limits=limits[1]))
    assert rate(estimates, 100) == pytest.approx(1600.0, rel=0.1)


def test_a_server_with_a_full_connection_table_is_left_to_proxies_with_connections() -> None:
    # Small servers accept 33 connections, and 40 proxies kept dialling them: up to 400 failed handshakes a
    # second, each of which used up one of a request's three attempts.
    estimates, backend = make_estimates()
    pauses = list[float]()
    for n in range(6):
        now = 100.0 + 20 * n
        estimates.on_attempt_sent(backend, 0, None, (n, 0), now)
        estimates.on_attempt_ended(
            backend, None, api.Outcome(n, 0, "a", api.Result.CONNECTIONS_FULL, 0.01, False), now
        )
        pauses.append(backend.retry_at - now)
    assert all(0.7 * x < pause < 1.3 * x for x, pause in zip((1, 2, 4, 8, 8, 8), pauses, strict=True))
    # A proxy with open connections there does not back off, and sends as many at once as these carry.
    backend.retry_at = 0.0
    for n in (10, 11, 12):
        estimates.on_attempt_sent(backend, 0, None, (n, 0), 300.0)
    estimates.on_attempt_ended(
        backend, None, api.Outcome(12, 0, "a", api.Result.CONNECTIONS_FULL, 0.01, False), 300.0
    )
    assert backend.retry_at == 0.0 and backend.capacity == backend.in_flight == 2 and not backend.failures
    estimates.on_attempt_ended(backend, None, api.Outcome(11, 0, "a", api.Result.OK, 0.1, True), 300.1)
    assert backend.rejected_first_connections == 0


@pytest.mark.parametrize("peers", [True, False])
def test_the_trials_of_a_large_fleet_at_an_unreachable_server_are_spread(peers: bool) -> None:
    # Servers that came back were overloaded within a second, before any response and before the list showed
    # their start: each of forty proxies had sent a trial.
    retry_delays, duration, limits = list[float](), 0.25, api.Limits(max_attempts=4, peers=peers)
    for me in range(40):
        estimates = BackendEstimates(settings(proxies=40, limits=limits), random.Random(me), 90.0)
        backend = Backend(server("a"), 1, 1.0, None)
        estimates.on_attempt_sent(backend, 0, None, (1, 0), 100.0)
        estimates.on_attempt_ended(
            backend, None, api.Outcome(1, 0, "a", api.Result.CONNECT_FAILED, duration, False), 100.25
        )
        retry_delays.append(backend.retry_at - 100.25)
    most_in_a_second = max(sum(at <= other < at + 1.0 for other in retry_delays) for at in retry_delays)
    assert most_in_a_second <= 18 and min(retry_delays) > 5.0 and max(retry_delays) < 12.0


@pytest.mark.parametrize("peers", [True, False])
@pytest.mark.parametrize(("proxies", "failures", "cold"), [(40, 1, True), (3, 1, False), (3, 4, True)])
def test_a_server_that_was_down_starts_cold_for_each_of_many_proxies(
    proxies: int, failures: int, cold: bool, peers: bool
) -> None:
    # 26 servers came back cold before the list showed it. Of forty proxies hardly one had seen four failures
    # of a server, so all treated them as warm: three were overloaded by 3.7 to 4 times their capacity.
    limits = api.Limits(max_attempts=4, peers=peers)  # the size of the fleet does not depend on the exchange
    estimates = BackendEstimates(settings(proxies=proxies, limits=limits), random.Random(1), 90.0)
    backend = Backend(server("a"), 1, 1.0, None)
    for n in range(failures):
        estimates.on_attempt_sent(backend, 0, None, (n, 0), 100.0 + n / 10)
        estimates.on_attempt_ended(
            backend, None, api.Outcome(n, 0, "a", api.Result.CONNECT_FAILED, 0.01, False), 100.0 + n / 10
        )
    estimates.on_attempt_sent(backend, 0, None, (9, 0), 102.0)
    estimates.on_attempt_ended(backend, None, api.Outcome(9, 0, "a", api.Result.OK, 0.1, True), 102.1)
    assert (
        estimates.is_in_slow_start(backend, 102.2) is cold
        and not backend.failures
        and not backend.connection_failures
    )
    # Silence alone, without a failed connection, does not make a server cold.
    estimates.on_silence(backend, 120.0)
    estimates.on_attempt_sent(backend, 0, None, (10, 0), 125.0)
    estimates.on_attempt_ended(backend, None, api.Outcome(10, 0, "a", api.Result.OK, 0.1, True), 125.1)
    assert not estimates.is_in_slow_start(backend, 125.2)


@seeded
@given(st.binary(max_size=64), st.booleans())
def test_invalid_count_messages_are_rejected_and_change_nothing(payload: bytes, marked: bool) -> None:
    counts = kind_counts.PeerCounts()
    if marked:
        payload = kind_counts.PREFIX + payload
    try:
        counts.update(1, payload)
    except (ValueError, struct.error):
        assert not counts.last


def test_counts_add_up_over_lost_and_late_messages_and_restarts() -> None:
    counts = kind_counts.PeerCounts()
    assert counts.update(1, kind_counts.pack({0: 50, 1: 5}, 1.0)) == {0: 0, 1: 0}  # may be old
    # One message in between was lost.
    assert counts.update(1, kind_counts.pack({0: 70, 1: 6}, 3.0)) == {0: 20, 1: 1}
    assert counts.update(1, kind_counts.pack({0: 60, 1: 6}, 2.0)) == {}  # and arrives late
    assert counts.update(1, kind_counts.pack({0: 4}, 4.0)) == {0: 4}  # the peer has restarted
    assert counts.update(1, kind_counts.pack({n: n for n in range(300)}, 5.0)).keys() == set(
        range(kind_counts.MAX_KINDS)
    )


def test_keys_are_assigned_to_kinds_by_their_rates_and_move_seldom() -> None:
    balancer, owners = started("abcd"), list[Backend]()
    for name in "ab":
        balancer.servers[name].entry = server(name, kind=1)

    def key_fraction(rate: float) -> float:
        balancer.estimates.best_rate = {0: 100.0, 1: rate}
        balancer.estimates.update_rates([], 400.0, 4.0, 0.0)
        if balancer.estimates.kind_sizes != balancer.kind_sizes:
            balancer.resize_kinds()
        owners[:] = [owner for key in KEYS if (owner := balancer.ring.owner(key))]
        return len([s for s in owners if s.entry.kind == 1]) / len(KEYS)

    assert key_fraction(100.0) == pytest.approx(0.5, rel=0.15)
    assert key_fraction(30.0) == pytest.approx(0.3 / 1.3, rel=0.15)
    previous = list(owners)
    assert key_fraction(33.0) and owners == previous
    assert key_fraction(1.0) > 0.1  # a kind with a rate near 0 keeps some keys, or its rate could never rise


def test_late_responses_cut_the_capacity_unless_heavy_work_explains_them() -> None:
    estimates, backend = make_estimates()
    backend.capacity, now = 1.3, 200.0

    def respond(number: int, work: float, duration: float) -> float:
        estimates.on_attempt_sent(backend, 0, work, (number, 0), now)
        request = api.Request(number, 0, 1.0, work=work)
        estimates.on_attempt_ended(
            backend, request, api.Outcome(number, 0, "a", api.Result.OK, duration, True), now
        )
        return backend.capacity

    latency_target = estimates.settings.classes[0].latency_target
    raised = respond(1, LIGHT_WORK_FRACTION * latency_target / 2, LATE_TARGET_FRACTION * latency_target / 2)
    assert raised > 1.3
    lowered = respond(
        2, LIGHT_WORK_FRACTION * latency_target / 2, LATE_TARGET_FRACTION * latency_target * 1.1
    )
    # Late responses come in bunches: only the first one cuts.
    assert (
        lowered < raised
        and respond(3, LIGHT_WORK_FRACTION * latency_target / 2, LATE_TARGET_FRACTION * latency_target * 1.1)
        == lowered
    )
    assert (
        respond(4, LIGHT_WORK_FRACTION * latency_target * 2, LATE_TARGET_FRACTION * latency_target * 1.1)
        > lowered
    )


def test_a_cold_server_gets_no_more_than_its_capacity_however_large_its_budget() -> None:
    balancer = started("ab", 100.0, key_affinity=False)
    cold = balancer.servers["a"]
    cold.started_at, cold.capacity, cold.in_flight, cold.tokens, cold.tokens_at = 105.0, 3.0, 2, 50.0, 109.0
    open_request = OpenRequest(api.Request(1, 0, 2.0), balancer.settings.classes[0], 120.0, 120.0, 5)
    balancer.estimates.fleet_rate = 1e6
    candidates = balancer.up
    assert balancer.pick_by_scan(open_request, None, candidates, 110.0, 1.0) is cold
    cold.in_flight = 3
    assert balancer.pick_by_scan(open_request, None, candidates, 110.0, 1.0) is balancer.servers["b"]


def test_a_proxy_that_has_just_started_counts_no_request_as_over_quota() -> None:
    tenants = (api.Tenant("lagos", quota_rps=100.0),)
    balancer = started("ab", proxies=3, classes=(SAFE,), tenants=tenants, over_quota_value=0.1)
    for n in range(3):
        balancer.handle(api.Request(n, 0, 2.0, tenant=0), 100.01)
    assert {balancer.capacity_fraction(job) for job in balancer.open_requests.values()} == {1.0}


@pytest.mark.parametrize("proxies", [3, 40])
def test_proxies_without_peer_counts_together_keep_to_the_budget_of_a_cold_server(proxies: int) -> None:
    # Guards against a proxy that reads its own rate as that of all: the server then gets too small a budget.
    limits, fleet, rate = (
        api.Limits(max_attempts=4),
        list[tuple[BackendEstimates, Backend]](),
        60.0 / proxies,
    )
    for me in range(proxies):
        estimates = BackendEstimates(settings(proxies=proxies, limits=limits), random.Random(me), 90.0)
        # Two servers with 30 responses a second each.
        estimates.update_rates([], rate * estimates.represented_proxies, 2.0, 0.0)
        fleet.append((estimates, Backend(server("a", up_since=100.0), 1, 1.0, 100.0)))
    sent = list[int]()
    for step in range(301):  # each proxy starts with one token
        ready = [
            backend
            for estimates, backend in fleet
            if refill(estimates, backend, proxies, 100.0 + step / 100, estimates.rng)
        ]
        for backend in ready:
            backend.tokens -= 1
        sent.append(len(ready))
    granted = 3 * RULES.start_capacity * 30.0
    assert sent[0] == proxies and granted <= sum(sent[1:]) <= 2 * granted


@pytest.mark.parametrize(("arrival_rate", "expected"), [(5.0, 0.1), (10.0, 0.1), (30.0, 0.3)])
def test_a_quota_is_divided_among_proxies_that_exchange_no_rows(arrival_rate: float, expected: float) -> None:
    # Guards against ten proxies that each grant a tenant its whole quota.
    tenants = (api.Tenant("lagos", quota_rps=60.0), api.Tenant("abuja", quota_rps=40.0))
    without_peers = settings(proxies=10, tenants=tenants, limits=api.Limits(max_attempts=4))
    rows = {
        0: decode_row(
            encode_row(0, 0, 1.0, (0, 1.0, arrival_rate / 4, arrival_rate / 4, arrival_rate), []), 1.0
        )
    }
    assert tenant_admission.arrival_fraction(without_peers, rows, arrival_rate) == pytest.approx(expected)
    with_peers = settings(proxies=10, tenants=tenants)
    assert tenant_admission.arrival_fraction(with_peers, rows | {1: rows[0]}, arrival_rate) == 0.5
    assert (
        tenant_admission.arrival_fraction(
            settings(proxies=4, limits=without_peers.limits), rows, arrival_rate
        )
        == 0.25
    )


@pytest.mark.parametrize("situation", SITUATIONS, ids=lambda what: what.name)
def test_faults_cost_little_service_and_few_second_copies(situation: Situation) -> None:
    min_served = {"one in six lost everywhere": 0.97, "one box silent, one in six lost": 0.96}
    min_served |= {"all boxes cold": 0.0, "three proxies, a flood": 0.7}
    figures = World(situation).run(1600)
    assert figures.served >= min_served.get(situation.name, 0.99)
    assert figures.copies <= 0.02 + 1.2 * situation.lost  # no retry storm: copies only replace lost attempts
    assert figures.rate <= 1.1  # no estimate above the true rate
    if not situation.fresh and situation.flood == 1.0:
        assert figures.refused <= 0.005 + situation.lost / 10
