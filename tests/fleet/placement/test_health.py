"""Passive health checks: what ejects a server, and what ends the ejection."""

from __future__ import annotations

import pytest

from firvane.core import interface as api
from firvane.fleet.placement import health
from firvane.fleet.placement.health import Signal
from firvane.fleet.placement.prefix_cache import PrefixCacheView
from firvane.fleet.placement.server_view import PeerLoad, ServerView

NOW = 100.0


def make_server(name: str = "i-1", in_own_slice: bool = True) -> ServerView:
    server = ServerView(name, "model", "a", 64, PrefixCacheView(1e6, 100))
    server.in_own_slice = in_own_slice
    server.last_response_at = NOW - 1.0
    return server


@pytest.mark.parametrize("signal", list(Signal))
def test_consecutive_failures_eject(signal: Signal) -> None:
    server = make_server()
    for _ in range(signal.value - 1):
        health.record_failure(server, signal, NOW)
    assert not health.is_ejected(server)
    health.record_failure(server, signal, NOW)
    assert health.is_ejected(server) and health.usable([server, make_server("i-2")], NOW) != [server]


def test_the_ejection_time_doubles_and_any_response_ends_it() -> None:
    server, ejection_times = make_server(), []
    health.record_failure(server, Signal.UNREACHABLE, NOW)
    for _ in range(6):
        health.record_failure(server, Signal.UNREACHABLE, NOW)
        ejection_times.append(server.ejected_until - NOW)
    assert ejection_times == pytest.approx([0.3, 0.6, 1.2, 2.4, 4.0, 4.0])
    health.record_end(server, api.Result.OK, True, NOW)
    assert not health.is_ejected(server) and server.consecutive_failures == 0


def test_one_trial_at_a_time() -> None:
    server, other = make_server(), make_server("i-2")
    health.eject_unresponsive(server, NOW)
    assert health.usable([server, other], NOW + 0.1) == [other]
    assert health.usable([server, other], NOW + 0.31) == [server, other]
    health.start_trial(server, NOW + 0.31)
    assert health.usable([server, other], NOW + 0.4) == [other]
    health.record_end(server, api.Result.CANCELLED, False, NOW + 0.4)  # the trial's client disconnected
    assert health.usable([server, other], NOW + 0.5) == [server, other]


def test_a_failed_trial_doubles_the_ejection_time() -> None:
    server = make_server()
    health.eject_unresponsive(server, NOW)
    health.start_trial(server, NOW + 0.3)
    health.record_end(server, api.Result.RESET, False, NOW + 0.5)
    assert server.ejected_until == pytest.approx(NOW + 0.5 + 0.6)


def test_half_of_a_service_stays_in_use() -> None:
    servers = [make_server(f"i-{number}") for number in range(5)]
    for number, server in enumerate(servers):
        health.eject_unresponsive(server, NOW + number / 100)
    usable = health.usable(servers, NOW + 0.1)
    assert usable == servers[:3]  # those whose trial is due first


def test_rejections_for_lack_of_capacity_do_not_eject() -> None:
    server = make_server()
    for _ in range(10):
        health.record_end(server, api.Result.OVERLOADED, False, NOW)
    assert not health.is_ejected(server) and server.saturated_until > NOW


@pytest.mark.parametrize(
    ("result", "started"),
    [(api.Result.CANCELLED, False), (api.Result.NOT_SENT, False), (api.Result.TIMEOUT, True)],
)
def test_outcomes_that_do_not_depend_on_the_server_do_not_eject(result: api.Result, started: bool) -> None:
    server = make_server()
    for _ in range(10):
        health.record_end(server, result, started, NOW)
    assert not health.is_ejected(server)


def test_two_suspecting_peers_make_a_server_suspect_and_one_does_so_with_a_local_timeout() -> None:
    server = make_server()
    server.update_peer_load(2, PeerLoad(1, 0, NOW, suspect=True))
    health.apply_peer_suspicion(server, NOW)
    assert not health.is_ejected(server)
    server.update_peer_load(3, PeerLoad(1, 0, NOW, suspect=True))
    health.apply_peer_suspicion(server, NOW)
    assert health.is_suspect(server)
    other = make_server()
    other.start_attempt(1, 100, 0.1, 1e4, NOW - 0.3)
    other.update_peer_load(2, PeerLoad(1, 0, NOW, suspect=True))
    health.apply_peer_suspicion(other, NOW)
    assert health.is_suspect(other)


def test_peer_suspicions_of_a_server_that_has_just_responded_are_ignored() -> None:
    server = make_server()
    server.last_response_at = NOW - 0.05
    for peer in (2, 3, 4):
        server.update_peer_load(peer, PeerLoad(1, 0, NOW, suspect=True))
        health.apply_peer_suspicion(server, NOW)
    assert not health.is_ejected(server)


def test_the_router_whose_slice_contains_the_server_sends_the_trial() -> None:
    own_slice_server, other_slice_server = make_server(), make_server(in_own_slice=False)
    for server in (own_slice_server, other_slice_server):
        health.eject_unresponsive(server, NOW)
    assert other_slice_server.ejected_until - NOW == pytest.approx(
        health.OTHER_SLICE_FACTOR * (own_slice_server.ejected_until - NOW)
    )
    for step in range(30):
        other_slice_server.update_peer_load(2, PeerLoad(0, 0, NOW + step, suspect=True))
        health.apply_peer_suspicion(other_slice_server, NOW + step)
    assert other_slice_server.ejected_until <= NOW + 13.0  # the trial is delayed, but not for ever


def test_a_server_that_responds_to_a_peer_is_not_unresponsive() -> None:
    server = make_server()
    health.eject_unresponsive(server, NOW)
    health.apply_peer_response(server, NOW - 0.1, NOW + 0.1)  # older than the suspicion
    assert health.is_ejected(server)
    health.apply_peer_response(server, NOW + 0.2, NOW + 0.3)
    assert not health.is_ejected(server)
    assert server.last_response_at == pytest.approx(NOW + 0.2 - health.PEER_LATENCY_S)


def test_a_response_to_a_peer_ends_the_ejection_in_another_slice_too() -> None:
    other_slice_server = make_server(in_own_slice=False)
    health.eject_unresponsive(other_slice_server, NOW)
    health.apply_peer_response(other_slice_server, NOW + 0.35, NOW + 0.4)
    assert not health.is_ejected(other_slice_server)  # before its ejection time of 0.9 s is over
    other_slice_server.consecutive_failures = health.MAX_FAILURES_EXCUSED_BY_PEERS
    health.eject_unresponsive(other_slice_server, NOW + 0.5)
    health.apply_peer_response(other_slice_server, NOW + 0.85, NOW + 0.9)
    assert (
        health.is_ejected(other_slice_server) and other_slice_server.ejected_until == NOW + 0.9
    )  # its trial is due


def test_a_response_to_a_peer_does_not_excuse_failures() -> None:
    server = make_server()
    for _ in range(Signal.UNREACHABLE.value):
        health.record_failure(server, Signal.UNREACHABLE, NOW)
    health.apply_peer_response(server, NOW + 0.2, NOW + 0.25)
    assert health.is_ejected(server) and server.ejected_until == pytest.approx(NOW + health.FIRST_EJECTION_S)


def test_the_trial_is_due_after_repeated_failures_if_peers_get_responses() -> None:
    server = make_server()
    for step in range(health.MAX_FAILURES_EXCUSED_BY_PEERS):
        health.eject_unresponsive(server, NOW + step)
        health.apply_peer_response(server, NOW + step + 0.4, NOW + step + 0.5)
    health.eject_unresponsive(server, NOW + 9)
    health.apply_peer_response(server, NOW + 9.4, NOW + 9.5)
    assert health.is_ejected(server) and server.ejected_until == NOW + 9.5  # its trial is due


def test_a_suspicion_taken_over_from_peers_is_not_announced() -> None:
    server = make_server()
    for peer in (2, 3):
        server.update_peer_load(peer, PeerLoad(1, 0, NOW, suspect=True))
    health.apply_peer_suspicion(server, NOW)
    assert health.is_suspect(server) and not health.is_suspected_locally(server)
    other = make_server("i-2")
    other.start_attempt(1, 100, 0.1, 1e4, NOW - 0.3)
    other.update_peer_load(2, PeerLoad(1, 0, NOW, suspect=True))
    health.apply_peer_suspicion(other, NOW)
    assert health.is_suspected_locally(other)


def test_a_response_is_announced_only_by_the_router_that_got_it() -> None:
    server = make_server()
    health.apply_peer_response(server, NOW - 0.1, NOW)
    assert health.response_age(server, NOW) is None
    health.record_response(server, NOW)
    assert health.response_age(server, NOW + 0.2) == pytest.approx(0.2)
    assert health.response_age(server, NOW + health.MAX_ANNOUNCED_RESPONSE_AGE_S + 0.01) is None


def test_streams_are_stalled_only_if_progress_is_reported_and_other_servers_respond() -> None:
    server, other = make_server(), make_server("i-2")
    server.start_attempt(1, 10, 0.1, 1e4, NOW - 1.0)
    server.end_prefill(1, 1e4, NOW - 0.9)
    server.last_response_at, other.last_response_at = NOW - 0.4, NOW - 0.01
    assert not health.streams_are_stalled(server, [server, other], NOW)
    server.progress_events = health.MIN_PROGRESS_EVENTS
    assert health.streams_are_stalled(server, [server, other], NOW)
    other.last_response_at = server.last_response_at
    assert not health.streams_are_stalled(server, [server, other], NOW)
