"""Failures and silence of servers: what ejects them, and how they come back."""

from __future__ import annotations

import pytest

from firvane.core import interface as api
from firvane.fleet.placement import health
from firvane.fleet.placement.health import Signal
from firvane.fleet.placement.prefix_cache import PrefixCacheView
from firvane.fleet.placement.server_view import PeerLoad, ServerView

NOW = 100.0


def server(name: str = "i-1", mine: bool = True) -> ServerView:
    found = ServerView(name, "model", "a", 64, PrefixCacheView(1e6, 100))
    found.in_own_slice = mine
    found.last_response_at = NOW - 1.0
    return found


@pytest.mark.parametrize("signal", list(Signal))
def test_consecutive_failures_eject(signal: Signal) -> None:
    one = server()
    for _ in range(signal.value - 1):
        health.record_failure(one, signal, NOW)
    assert not health.is_ejected(one)
    health.record_failure(one, signal, NOW)
    assert health.is_ejected(one) and health.usable([one, server("i-2")], NOW) != [one]


def test_the_ejection_time_doubles_and_any_response_ends_it() -> None:
    one, pauses = server(), []
    health.record_failure(one, Signal.UNREACHABLE, NOW)
    for _ in range(6):
        health.record_failure(one, Signal.UNREACHABLE, NOW)
        pauses.append(one.ejected_until - NOW)
    assert pauses == pytest.approx([0.3, 0.6, 1.2, 2.4, 4.0, 4.0])
    health.record_end(one, api.Result.OK, True, NOW)
    assert not health.is_ejected(one) and one.consecutive_failures == 0


def test_one_trial_at_a_time() -> None:
    one, other = server(), server("i-2")
    health.eject_unresponsive(one, NOW)
    assert health.usable([one, other], NOW + 0.1) == [other]
    assert health.usable([one, other], NOW + 0.31) == [one, other]
    health.start_trial(one, NOW + 0.31)
    assert health.usable([one, other], NOW + 0.4) == [other]
    health.record_end(one, api.Result.CANCELLED, False, NOW + 0.4)  # the trial's client left
    assert health.usable([one, other], NOW + 0.5) == [one, other]


def test_a_failed_trial_doubles_the_ejection_time() -> None:
    one = server()
    health.eject_unresponsive(one, NOW)
    health.start_trial(one, NOW + 0.3)
    health.record_end(one, api.Result.RESET, False, NOW + 0.5)
    assert one.ejected_until == pytest.approx(NOW + 0.5 + 0.6)


def test_half_of_a_service_stays_in_use() -> None:
    servers = [server(f"i-{number}") for number in range(5)]
    for number, one in enumerate(servers):
        health.eject_unresponsive(one, NOW + number / 100)
    found = health.usable(servers, NOW + 0.1)
    assert found == servers[:3]  # those whose trial is due first


def test_a_server_at_capacity_is_not_a_failed_one() -> None:
    one = server()
    for _ in range(10):
        health.record_end(one, api.Result.OVERLOADED, False, NOW)
    assert not health.is_ejected(one) and one.saturated_until > NOW


@pytest.mark.parametrize(
    ("result", "started"),
    [(api.Result.CANCELLED, False), (api.Result.NOT_SENT, False), (api.Result.TIMEOUT, True)],
)
def test_outcomes_that_say_nothing_of_a_server(result: api.Result, started: bool) -> None:
    one = server()
    for _ in range(10):
        health.record_end(one, result, started, NOW)
    assert not health.is_ejected(one)


def test_two_peers_make_a_server_suspect_and_one_only_beside_a_local_timeout() -> None:
    one = server()
    one.update_peer_load(2, PeerLoad(1, 0, NOW, suspect=True))
    health.apply_peer_suspicion(one, NOW)
    assert not health.is_ejected(one)
    one.update_peer_load(3, PeerLoad(1, 0, NOW, suspect=True))
    health.apply_peer_suspicion(one, NOW)
    assert health.is_suspect(one)
    other = server()
    other.start_attempt(1, 100, 0.1, 1e4, NOW - 0.3)
    other.update_peer_load(2, PeerLoad(1, 0, NOW, suspect=True))
    health.apply_peer_suspicion(other, NOW)
    assert health.is_suspect(other)


def test_suspicions_are_ignored_of_a_server_that_has_just_responded() -> None:
    one = server()
    one.last_response_at = NOW - 0.05
    for peer in (2, 3, 4):
        one.update_peer_load(peer, PeerLoad(1, 0, NOW, suspect=True))
        health.apply_peer_suspicion(one, NOW)
    assert not health.is_ejected(one)


def test_the_router_whose_slice_contains_the_server_sends_the_trial() -> None:
    mine, theirs = server(), server(mine=False)
    for one in (mine, theirs):
        health.eject_unresponsive(one, NOW)
    assert theirs.ejected_until - NOW == pytest.approx(health.OTHER_SLICE_FACTOR * (mine.ejected_until - NOW))
    for step in range(30):
        theirs.update_peer_load(2, PeerLoad(0, 0, NOW + step, suspect=True))
        health.apply_peer_suspicion(theirs, NOW + step)
    assert theirs.ejected_until <= NOW + 13.0  # put off, not for ever


def test_a_server_that_responds_to_a_peer_is_not_unresponsive() -> None:
    one = server()
    health.eject_unresponsive(one, NOW)
    health.apply_peer_response(one, NOW - 0.1, NOW + 0.1)  # older than the silence
    assert health.is_ejected(one)
    health.apply_peer_response(one, NOW + 0.2, NOW + 0.3)
    assert not health.is_ejected(one)
    assert one.last_response_at == pytest.approx(NOW + 0.2 - health.PEER_LATENCY_S)


def test_a_response_to_a_peer_ends_the_ejection_in_another_slice_too() -> None:
    theirs = server(mine=False)
    health.eject_unresponsive(theirs, NOW)
    health.apply_peer_response(theirs, NOW + 0.35, NOW + 0.4)
    assert not health.is_ejected(theirs)  # long before its own pause of 0.9 s is over
    theirs.consecutive_failures = health.MAX_FAILURES_EXCUSED_BY_PEERS
    health.eject_unresponsive(theirs, NOW + 0.5)
    health.apply_peer_response(theirs, NOW + 0.85, NOW + 0.9)
    assert health.is_ejected(theirs) and theirs.ejected_until == NOW + 0.9  # its trial is due


def test_a_response_to_a_peer_does_not_excuse_failures() -> None:
    one = server()
    for _ in range(Signal.UNREACHABLE.value):
        health.record_failure(one, Signal.UNREACHABLE, NOW)
    health.apply_peer_response(one, NOW + 0.2, NOW + 0.25)
    assert health.is_ejected(one) and one.ejected_until == pytest.approx(NOW + health.FIRST_EJECTION_S)


def test_a_trial_decides_where_only_this_router_gets_no_response() -> None:
    one = server()
    for step in range(health.MAX_FAILURES_EXCUSED_BY_PEERS):
        health.eject_unresponsive(one, NOW + step)
        health.apply_peer_response(one, NOW + step + 0.4, NOW + step + 0.5)
    health.eject_unresponsive(one, NOW + 9)
    health.apply_peer_response(one, NOW + 9.4, NOW + 9.5)
    assert health.is_ejected(one) and one.ejected_until == NOW + 9.5  # its trial is due


def test_a_suspicion_of_peers_is_not_announced_as_a_local_one() -> None:
    one = server()
    for peer in (2, 3):
        one.update_peer_load(peer, PeerLoad(1, 0, NOW, suspect=True))
    health.apply_peer_suspicion(one, NOW)
    assert health.is_suspect(one) and not health.is_suspected_locally(one)
    other = server("i-2")
    other.start_attempt(1, 100, 0.1, 1e4, NOW - 0.3)
    other.update_peer_load(2, PeerLoad(1, 0, NOW, suspect=True))
    health.apply_peer_suspicion(other, NOW)
    assert health.is_suspected_locally(other)


def test_a_response_is_announced_only_by_the_router_that_got_it() -> None:
    one = server()
    health.apply_peer_response(one, NOW - 0.1, NOW)
    assert health.response_age(one, NOW) is None
    health.record_response(one, NOW)
    assert health.response_age(one, NOW + 0.2) == pytest.approx(0.2)
    assert health.response_age(one, NOW + health.MAX_ANNOUNCED_RESPONSE_AGE_S + 0.01) is None


def test_stalled_streams_count_where_progress_is_reported_and_others_respond() -> None:
    one, other = server(), server("i-2")
    one.start_attempt(1, 10, 0.1, 1e4, NOW - 1.0)
    one.end_prefill(1, 1e4, NOW - 0.9)
    one.last_response_at, other.last_response_at = NOW - 0.4, NOW - 0.01
    assert not health.streams_are_stalled(one, [one, other], NOW)
    one.progress_events = health.MIN_PROGRESS_EVENTS
    assert health.streams_are_stalled(one, [one, other], NOW)
    other.last_response_at = one.last_response_at
    assert not health.streams_are_stalled(one, [one, other], NOW)
