"""Failures and silence of servers: what ejects them, and how they come back."""

from __future__ import annotations

import pytest

from firvane.core import interface as api
from firvane.fleet.placement import health
from firvane.fleet.placement.health import Signal
from firvane.fleet.placement.server_view import KeptParts, PeerLoad, Server

NOW = 100.0


def server(name: str = "i-1", mine: bool = True) -> Server:
    found = Server(name, "model", "a", 64, KeptParts(1e6, 100))
    found.mine = mine
    found.heard_at = NOW - 1.0
    return found


@pytest.mark.parametrize("signal", list(Signal))
def test_failures_in_a_row_eject(signal: Signal) -> None:
    one = server()
    for _ in range(signal.value - 1):
        health.note_failure(one, signal, NOW)
    assert not health.is_ejected(one)
    health.note_failure(one, signal, NOW)
    assert health.is_ejected(one) and health.usable([one, server("i-2")], NOW) != [one]


def test_the_pause_doubles_and_any_answer_ends_it() -> None:
    one, pauses = server(), []
    health.note_failure(one, Signal.UNREACHABLE, NOW)
    for _ in range(6):
        health.note_failure(one, Signal.UNREACHABLE, NOW)
        pauses.append(one.retry_at - NOW)
    assert pauses == pytest.approx([0.3, 0.6, 1.2, 2.4, 4.0, 4.0])
    health.note_end(one, api.Result.OK, True, NOW)
    assert not health.is_ejected(one) and one.failures == 0


def test_one_trial_at_a_time() -> None:
    one, other = server(), server("i-2")
    health.note_silent(one, NOW)
    assert health.usable([one, other], NOW + 0.1) == [other]
    assert health.usable([one, other], NOW + 0.31) == [one, other]
    health.start_trial(one, NOW + 0.31)
    assert health.usable([one, other], NOW + 0.4) == [other]
    health.note_end(one, api.Result.CANCELLED, False, NOW + 0.4)  # the trial's client left
    assert health.usable([one, other], NOW + 0.5) == [one, other]


def test_a_trial_that_fails_doubles_the_pause() -> None:
    one = server()
    health.note_silent(one, NOW)
    health.start_trial(one, NOW + 0.3)
    health.note_end(one, api.Result.RESET, False, NOW + 0.5)
    assert one.retry_at == pytest.approx(NOW + 0.5 + 0.6)


def test_half_of_a_service_stays_in_use_whatever_it_does() -> None:
    servers = [server(f"i-{number}") for number in range(5)]
    for number, one in enumerate(servers):
        health.note_silent(one, NOW + number / 100)
    found = health.usable(servers, NOW + 0.1)
    assert found == servers[:3]  # those whose trial is due first


def test_a_full_server_is_not_a_failed_one() -> None:
    one = server()
    for _ in range(10):
        health.note_end(one, api.Result.OVERLOADED, False, NOW)
    assert not health.is_ejected(one) and one.full_until > NOW


@pytest.mark.parametrize(
    ("result", "started"),
    [(api.Result.CANCELLED, False), (api.Result.NOT_SENT, False), (api.Result.TIMEOUT, True)],
)
def test_ends_that_say_nothing_of_a_server(result: api.Result, started: bool) -> None:
    one = server()
    for _ in range(10):
        health.note_end(one, result, started, NOW)
    assert not health.is_ejected(one)


def test_two_peers_are_believed_and_one_only_beside_silence_here() -> None:
    one = server()
    one.learn(2, PeerLoad(1, 0, NOW, suspect=True))
    health.hear_suspicion(one, NOW)
    assert not health.is_ejected(one)
    one.learn(3, PeerLoad(1, 0, NOW, suspect=True))
    health.hear_suspicion(one, NOW)
    assert health.is_suspect(one)
    other = server()
    other.sent(1, 100, 0.1, 1e4, NOW - 0.3)
    other.learn(2, PeerLoad(1, 0, NOW, suspect=True))
    health.hear_suspicion(other, NOW)
    assert health.is_suspect(other)


def test_peers_are_not_believed_of_a_server_that_has_just_answered() -> None:
    one = server()
    one.heard_at = NOW - 0.05
    for peer in (2, 3, 4):
        one.learn(peer, PeerLoad(1, 0, NOW, suspect=True))
        health.hear_suspicion(one, NOW)
    assert not health.is_ejected(one)


def test_others_leave_the_trial_to_the_router_that_holds_the_server() -> None:
    mine, theirs = server(), server(mine=False)
    for one in (mine, theirs):
        health.note_silent(one, NOW)
    assert theirs.retry_at - NOW == pytest.approx(health.OTHERS_FACTOR * (mine.retry_at - NOW))
    for step in range(30):
        theirs.learn(2, PeerLoad(0, 0, NOW + step, suspect=True))
        health.hear_suspicion(theirs, NOW + step)
    assert theirs.retry_at <= NOW + 13.0  # put off, not for ever


def test_a_server_that_answers_a_peer_is_not_silent() -> None:
    one = server()
    health.note_silent(one, NOW)
    health.hear_alive(one, NOW - 0.1, NOW + 0.1)  # older than the silence
    assert health.is_ejected(one)
    health.hear_alive(one, NOW + 0.2, NOW + 0.3)
    assert not health.is_ejected(one)
    assert one.heard_at == pytest.approx(NOW + 0.2 - health.PEER_LATENCY)


def test_an_answer_to_a_peer_brings_back_a_server_of_another_slice_too() -> None:
    theirs = server(mine=False)
    health.note_silent(theirs, NOW)
    health.hear_alive(theirs, NOW + 0.35, NOW + 0.4)
    assert not health.is_ejected(theirs)  # long before its own pause of 0.9 s is over
    theirs.failures = health.WORDS_TO_DOUBT
    health.note_silent(theirs, NOW + 0.5)
    health.hear_alive(theirs, NOW + 0.85, NOW + 0.9)
    assert health.is_ejected(theirs) and theirs.retry_at == NOW + 0.9  # its trial is due


def test_an_answer_to_a_peer_does_not_excuse_failures() -> None:
    one = server()
    for _ in range(Signal.UNREACHABLE.value):
        health.note_failure(one, Signal.UNREACHABLE, NOW)
    health.hear_alive(one, NOW + 0.2, NOW + 0.25)
    assert health.is_ejected(one) and one.retry_at == pytest.approx(NOW + health.FIRST_PAUSE)


def test_where_only_this_router_hears_nothing_a_trial_decides() -> None:
    one = server()
    for step in range(health.WORDS_TO_DOUBT):
        health.note_silent(one, NOW + step)
        health.hear_alive(one, NOW + step + 0.4, NOW + step + 0.5)
    health.note_silent(one, NOW + 9)
    health.hear_alive(one, NOW + 9.4, NOW + 9.5)
    assert health.is_ejected(one) and one.retry_at == NOW + 9.5  # its trial is due


def test_what_peers_say_is_not_passed_on_as_if_it_had_been_seen() -> None:
    one = server()
    for peer in (2, 3):
        one.learn(peer, PeerLoad(1, 0, NOW, suspect=True))
    health.hear_suspicion(one, NOW)
    assert health.is_suspect(one) and not health.is_witnessed(one)
    other = server("i-2")
    other.sent(1, 100, 0.1, 1e4, NOW - 0.3)
    other.learn(2, PeerLoad(1, 0, NOW, suspect=True))
    health.hear_suspicion(other, NOW)
    assert health.is_witnessed(other)


def test_a_server_is_told_to_answer_only_by_who_was_answered() -> None:
    one = server()
    health.hear_alive(one, NOW - 0.1, NOW)
    assert health.answer_age(one, NOW) is None
    health.note_alive(one, NOW)
    assert health.answer_age(one, NOW + 0.2) == pytest.approx(0.2)
    assert health.answer_age(one, NOW + health.ANSWER_AGE + 0.01) is None


def test_silent_streams_count_where_progress_is_hinted_and_others_answer() -> None:
    one, other = server(), server("i-2")
    one.sent(1, 10, 0.1, 1e4, NOW - 1.0)
    one.started(1, 1e4, NOW - 0.9)
    one.heard_at, other.heard_at = NOW - 0.4, NOW - 0.01
    assert not health.streams_are_silent(one, [one, other], NOW)
    one.hints = health.HINTS_TO_TRUST
    assert health.streams_are_silent(one, [one, other], NOW)
    other.heard_at = one.heard_at
    assert not health.streams_are_silent(one, [one, other], NOW)
