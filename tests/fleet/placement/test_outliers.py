"""Servers that fail more than the others: who is left out, for how long, and whose word counts."""

from __future__ import annotations

import pytest

from firvane.core import interface as api
from firvane.fleet.placement import health, outliers
from firvane.fleet.placement.prefix_cache import PrefixCacheView
from firvane.fleet.placement.server_view import PeerLoad, ServerView
from tests.fleet.placement.helpers import Harness, only

NOW = 100.0
ROUTERS = 5


def servers(count: int = 8) -> list[ServerView]:
    return [ServerView(f"i-{n}", "model", "a", 16, PrefixCacheView(1e6, 100)) for n in range(count)]


def play(
    all_servers: list[ServerView], failing: dict[int, float], rounds: int = 20, now: float = NOW
) -> None:
    """Requests in turn to all servers, so many of which fail by number of server."""
    owed = [0.0] * len(all_servers)
    for step in range(rounds):
        at = now - (rounds - step) * 0.05
        for number, server in enumerate(all_servers):
            owed[number] += failing.get(number, 0.0)
            if owed[number] >= 1.0:
                owed[number] -= 1.0
                health.record_end(server, api.Result.ERROR, False, at)
            else:
                health.record_first_event(server, at)


def test_a_server_that_fails_part_of_its_requests_is_ejected() -> None:
    all_servers = servers()
    play(all_servers, {3: 0.4})
    assert not health.is_ejected(all_servers[3])  # never so many in a row
    assert outliers.eject_outliers(all_servers, 1, NOW) == [all_servers[3]]
    assert all_servers[3] not in health.usable(all_servers, NOW + 0.1)
    assert all_servers[3] in health.usable(all_servers, NOW + outliers.FIRST_EJECTION_S)


def test_progress_of_its_streams_does_not_end_the_ejection() -> None:
    all_servers = servers()
    play(all_servers, {3: 0.4})
    outliers.eject_outliers(all_servers, 1, NOW)
    health.record_progress(all_servers[3], NOW + 0.1)
    assert all_servers[3] not in health.usable(all_servers, NOW + 0.2)


def test_no_server_is_ejected_where_all_fail_alike() -> None:
    all_servers = servers()
    play(all_servers, dict.fromkeys(range(8), 0.4))
    assert outliers.eject_outliers(all_servers, 1, NOW) == []


def test_few_failures_of_each_router_add_up() -> None:
    all_servers = servers()
    for server in all_servers:
        health.record_first_event(server, NOW - 0.3)
    for peer in range(2, 2 + ROUTERS):
        all_servers[3].update_peer_load(peer, PeerLoad(1, 0, NOW - 0.1, failures=0.9))
    assert outliers.eject_outliers(all_servers, ROUTERS, NOW) == [all_servers[3]]


def test_the_failures_of_a_faulty_router_do_not_count() -> None:
    all_servers = servers()
    for server in all_servers:
        health.record_first_event(server, NOW - 0.3)
    for server in all_servers[:4]:
        server.update_peer_load(2, PeerLoad(1, 0, NOW, failures=9.0))
    assert outliers.eject_outliers(all_servers, ROUTERS, NOW) == []
    for server in all_servers[3:]:
        server.update_peer_load(2, None)
        server.update_peer_load(2, PeerLoad(1, 0, NOW))
    assert outliers.eject_outliers(all_servers, ROUTERS, NOW) == all_servers[:3]


def test_own_failures_at_many_servers_mean_that_this_router_is_faulty() -> None:
    all_servers = servers()
    play(all_servers, dict.fromkeys(range(4), 0.6))
    assert outliers.eject_outliers(all_servers, 1, NOW) == []


def test_the_ejection_time_doubles_and_is_reset_after_a_while() -> None:
    one = servers()[0]
    pauses, now = list[float](), NOW
    for _ in range(5):
        outliers.eject(one, now)
        pauses.append(one.outlier_until - now)
        now = one.outlier_until + 0.5
    assert pauses == pytest.approx([0.8, 1.6, 3.2, 4.0, 4.0])
    outliers.eject(one, now + outliers.EJECTION_RESET_S)
    assert one.outlier_until == pytest.approx(now + outliers.EJECTION_RESET_S + outliers.FIRST_EJECTION_S)


def test_failures_decay() -> None:
    all_servers = servers()
    play(all_servers, {3: 0.4})
    assert outliers.eject_outliers(all_servers, 1, NOW + 3.0) == []


def test_a_service_of_two_has_no_outliers() -> None:
    pair = servers(2)
    play(pair, {1: 0.9})
    assert outliers.eject_outliers(pair, 1, NOW) == []


def test_requests_avoid_a_server_that_fails_two_in_five() -> None:
    one = Harness(6)
    bad, sent, failed = "i-02", 0, 0
    late = list[str]()
    for number in range(400):
        [send] = only(one.submit(max_attempts=1), api.Send)
        if number >= 300:
            late.append(send.server)
        sent += send.server == bad
        if send.server == bad and sent % 5 in (1, 3):
            failed += 1
            one.end_attempt(send, api.Result.ERROR, finished=True)
        else:
            one.start_response(send, after=0.0)
            one.end_attempt(send, api.Result.OK, finished=True)
        one.now += 0.01
        if number % 25 == 24:
            one.window(after=0.0)
    assert failed > 1 and len(late) == 100
    assert late.count(bad) < 100 / 6 / 2  # less than half of an even part


def ejected_server(mine: bool) -> ServerView:
    """A server that was left out at `NOW` and whose first pause has just passed."""
    one = servers()[0]
    one.in_own_slice = mine
    outliers.eject(one, NOW)
    return one


def test_only_routers_whose_slice_contains_a_server_send_its_trial_first() -> None:
    after = NOW + outliers.FIRST_EJECTION_S
    for mine, until in ((True, after), (False, after + outliers.TRIAL_DURATION_S)):
        one = ejected_server(mine)
        others = servers()[1:]
        assert one not in health.usable([one, *others], until - 0.01)
        assert one in health.usable([one, *others], until)


def test_one_failure_in_the_trial_ends_it() -> None:
    one, after = ejected_server(mine=True), NOW + outliers.FIRST_EJECTION_S
    assert not outliers.record_failure(one, NOW - 0.1, after + 0.1)  # it was sent before
    assert not outliers.record_failure(
        one, after + outliers.TRIAL_DURATION_S, after + outliers.TRIAL_DURATION_S + 0.1
    )
    assert not outliers.has_failed_trial(one, after + 0.1)
    assert outliers.record_failure(one, after, after + 0.1)
    assert one.outlier_until == pytest.approx(after + 0.1 + 2 * outliers.FIRST_EJECTION_S)
    assert outliers.has_failed_trial(one, after + 0.1)
    assert not outliers.record_failure(one, after, after + 0.2)  # a second one of the same trial
    assert not outliers.has_failed_trial(one, after + 0.11 + outliers.TRIAL_FAILURE_ANNOUNCED_S)


def test_a_peers_failed_trial_counts_once_and_only_while_a_trial_is_due() -> None:
    one, after = ejected_server(mine=False), NOW + outliers.FIRST_EJECTION_S
    outliers.apply_peer_trial_failure(one, after + 0.1)
    until = after + 0.1 + 2 * outliers.FIRST_EJECTION_S + outliers.TRIAL_DURATION_S
    assert one.outlier_until == pytest.approx(until)
    outliers.apply_peer_trial_failure(one, after + 0.1 + outliers.SAME_TRIAL_S / 2)  # the same again
    outliers.apply_peer_trial_failure(one, until)  # an old word, after the trial is over
    assert one.outlier_until == pytest.approx(until)
    well = servers()[0]
    outliers.apply_peer_trial_failure(well, NOW)  # it was never left out here
    assert well in health.usable([well], NOW) and well.outlier_ejections == 0


def test_a_failed_trial_reaches_the_peers_with_the_next_window() -> None:
    one, other = Harness(3, me=1, peers=(1, 2)), Harness(3, me=2, peers=(1, 2))
    bad = one.balancer.services["model"].servers["i-01"]
    far = other.balancer.services["model"].servers["i-01"]
    for server, router in ((bad, one), (far, other)):
        server.in_own_slice = server is bad
        outliers.eject(server, router.now)
    for router in (one, other):
        router.now += outliers.FIRST_EJECTION_S
    [send] = only(one.submit(max_attempts=1), api.Send)
    while send.server != bad.id:
        [send] = only(one.submit(max_attempts=1), api.Send)
    one.end_attempt(send, api.Result.ERROR, finished=True)
    assert bad.outlier_ejections == 2 and far.outlier_ejections == 1
    for tell in only(one.window(after=0.2), api.SendToPeer):
        other.handle(api.PeerMessage(1, tell.payload), after=0.2)
    assert far.outlier_ejections == 2
    assert far not in health.usable(
        other.balancer.services["model"].ready, other.now + 2 * outliers.FIRST_EJECTION_S
    )
