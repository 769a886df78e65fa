"""Outlier ejection: which servers are ejected, for how long, and whose failure counts are used."""

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


def send_requests(
    all_servers: list[ServerView], failing: dict[int, float], rounds: int = 20, now: float = NOW
) -> None:
    """Send requests to all servers in turn; `failing` has the failure ratio by the index of a server."""
    failures_due = [0.0] * len(all_servers)
    for step in range(rounds):
        at = now - (rounds - step) * 0.05
        for number, server in enumerate(all_servers):
            failures_due[number] += failing.get(number, 0.0)
            if failures_due[number] >= 1.0:
                failures_due[number] -= 1.0
                health.record_end(server, api.Result.ERROR, False, at)
            else:
                health.record_first_event(server, at)


def test_a_server_that_fails_part_of_its_requests_is_ejected() -> None:
    all_servers = servers()
    send_requests(all_servers, {3: 0.4})
    assert not health.is_ejected(all_servers[3])  # too few consecutive failures
    assert outliers.eject_outliers(all_servers, 1, NOW) == [all_servers[3]]
    assert all_servers[3] not in health.usable(all_servers, NOW + 0.1)
    assert all_servers[3] in health.usable(all_servers, NOW + outliers.FIRST_EJECTION_S)


def test_progress_of_its_streams_does_not_end_the_ejection() -> None:
    all_servers = servers()
    send_requests(all_servers, {3: 0.4})
    outliers.eject_outliers(all_servers, 1, NOW)
    health.record_progress(all_servers[3], NOW + 0.1)
    assert all_servers[3] not in health.usable(all_servers, NOW + 0.2)


def test_no_server_is_ejected_if_all_fail_alike() -> None:
    all_servers = servers()
    send_requests(all_servers, dict.fromkeys(range(8), 0.4))
    assert outliers.eject_outliers(all_servers, 1, NOW) == []


def test_the_failures_of_all_routers_are_summed() -> None:
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


def test_own_failures_at_many_servers_are_ignored() -> None:
    all_servers = servers()
    send_requests(all_servers, dict.fromkeys(range(4), 0.6))
    assert outliers.eject_outliers(all_servers, 1, NOW) == []


def test_the_ejection_time_doubles_and_is_reset_after_a_while() -> None:
    server = servers()[0]
    ejection_times, now = list[float](), NOW
    for _ in range(5):
        outliers.eject(server, now)
        ejection_times.append(server.outlier_until - now)
        now = server.outlier_until + 0.5
    assert ejection_times == pytest.approx([0.8, 1.6, 3.2, 4.0, 4.0])
    outliers.eject(server, now + outliers.EJECTION_RESET_S)
    assert server.outlier_until == pytest.approx(now + outliers.EJECTION_RESET_S + outliers.FIRST_EJECTION_S)


def test_failures_decay() -> None:
    all_servers = servers()
    send_requests(all_servers, {3: 0.4})
    assert outliers.eject_outliers(all_servers, 1, NOW + 3.0) == []


def test_a_service_of_two_has_no_outliers() -> None:
    pair = servers(2)
    send_requests(pair, {1: 0.9})
    assert outliers.eject_outliers(pair, 1, NOW) == []


def test_requests_avoid_a_server_that_fails_two_in_five() -> None:
    router = Harness(6)
    failing_server, sent, failed = "i-02", 0, 0
    last_servers = list[str]()
    for number in range(400):
        [send] = only(router.submit(max_attempts=1), api.Send)
        if number >= 300:
            last_servers.append(send.server)
        sent += send.server == failing_server
        if send.server == failing_server and sent % 5 in (1, 3):
            failed += 1
            router.end_attempt(send, api.Result.ERROR, finished=True)
        else:
            router.start_response(send, after=0.0)
            router.end_attempt(send, api.Result.OK, finished=True)
        router.now += 0.01
        if number % 25 == 24:
            router.window(after=0.0)
    assert failed > 1 and len(last_servers) == 100
    assert last_servers.count(failing_server) < 100 / 6 / 2  # less than half of an even share


def ejected_server(in_own_slice: bool) -> ServerView:
    """Return a server that was ejected as an outlier at `NOW`."""
    server = servers()[0]
    server.in_own_slice = in_own_slice
    outliers.eject(server, NOW)
    return server


def test_only_routers_whose_slice_contains_a_server_send_its_trial_first() -> None:
    after = NOW + outliers.FIRST_EJECTION_S
    for in_own_slice, until in ((True, after), (False, after + outliers.TRIAL_DURATION_S)):
        server = ejected_server(in_own_slice)
        others = servers()[1:]
        assert server not in health.usable([server, *others], until - 0.01)
        assert server in health.usable([server, *others], until)


def test_one_failure_in_the_trial_ends_it() -> None:
    server, after = ejected_server(in_own_slice=True), NOW + outliers.FIRST_EJECTION_S
    assert not outliers.record_failure(server, NOW - 0.1, after + 0.1)  # sent before the trial
    assert not outliers.record_failure(
        server, after + outliers.TRIAL_DURATION_S, after + outliers.TRIAL_DURATION_S + 0.1
    )
    assert not outliers.has_failed_trial(server, after + 0.1)
    assert outliers.record_failure(server, after, after + 0.1)
    assert server.outlier_until == pytest.approx(after + 0.1 + 2 * outliers.FIRST_EJECTION_S)
    assert outliers.has_failed_trial(server, after + 0.1)
    assert not outliers.record_failure(server, after, after + 0.2)  # a second failure of the same trial
    assert not outliers.has_failed_trial(server, after + 0.11 + outliers.TRIAL_FAILURE_ANNOUNCED_S)


def test_a_peers_failed_trial_counts_once_and_only_while_a_trial_is_due() -> None:
    server, after = ejected_server(in_own_slice=False), NOW + outliers.FIRST_EJECTION_S
    outliers.apply_peer_trial_failure(server, after + 0.1)
    until = after + 0.1 + 2 * outliers.FIRST_EJECTION_S + outliers.TRIAL_DURATION_S
    assert server.outlier_until == pytest.approx(until)
    # another report of the same trial
    outliers.apply_peer_trial_failure(server, after + 0.1 + outliers.SAME_TRIAL_S / 2)
    outliers.apply_peer_trial_failure(server, until)  # an outdated report, after the trial has ended
    assert server.outlier_until == pytest.approx(until)
    healthy = servers()[0]
    outliers.apply_peer_trial_failure(healthy, NOW)  # it was never ejected by this router
    assert healthy in health.usable([healthy], NOW) and healthy.outlier_ejections == 0


def test_a_failed_trial_is_announced_to_the_peers_in_the_next_window() -> None:
    router, peer = Harness(3, me=1, peers=(1, 2)), Harness(3, me=2, peers=(1, 2))
    failing_server = router.balancer.services["model"].servers["i-01"]
    peer_view = peer.balancer.services["model"].servers["i-01"]
    for server, each in ((failing_server, router), (peer_view, peer)):
        server.in_own_slice = server is failing_server
        outliers.eject(server, each.now)
    for each in (router, peer):
        each.now += outliers.FIRST_EJECTION_S
    [send] = only(router.submit(max_attempts=1), api.Send)
    while send.server != failing_server.id:
        [send] = only(router.submit(max_attempts=1), api.Send)
    router.end_attempt(send, api.Result.ERROR, finished=True)
    assert failing_server.outlier_ejections == 2 and peer_view.outlier_ejections == 1
    for message in only(router.window(after=0.2), api.SendToPeer):
        peer.handle(api.PeerMessage(1, message.payload), after=0.2)
    assert peer_view.outlier_ejections == 2
    assert peer_view not in health.usable(
        peer.balancer.services["model"].ready, peer.now + 2 * outliers.FIRST_EJECTION_S
    )
