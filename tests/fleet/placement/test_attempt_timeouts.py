"""Attempts without an event: detection of unresponsive servers, and rerouting."""

from __future__ import annotations

import pytest

from firvane.core import interface as api
from firvane.fleet.placement import health
from firvane.fleet.placement.events import StreamProgress
from firvane.fleet.placement.rows import decode_row
from firvane.fleet.placement.server_view import PeerLoad
from tests.fleet.placement.helpers import SERVICE, Harness, long_prompt, only


def warm_up(router: Harness, count: int = 40) -> None:
    """Let the router measure first events after 50 ms."""
    for _ in range(count):
        [send] = only(router.submit(), api.Send)
        router.start_response(send)
        router.end_attempt(send, api.Result.OK, finished=True)
        router.now += 0.01


def fire_timer(router: Harness, send: api.Send, after: float) -> list[api.Action]:
    return router.handle(api.TimerFired(send.id + 1), after)


def respond_from_other_servers(router: Harness, server: str) -> None:
    """Record a response of every server except `server`."""
    for other in router.balancer.services[SERVICE].ready:
        if other.id != server:
            health.record_response(other, router.now)


def unanswered_request(router: Harness, **fields: object) -> api.Send:
    [send] = only(router.submit(**fields), api.Send)
    return send


def test_an_unresponsive_server_is_detected_within_half_a_second() -> None:
    router = Harness()
    warm_up(router)
    send = unanswered_request(router)
    started_at = router.now
    router.now += 0.05
    respond_from_other_servers(router, send.server)
    while router.now < started_at + 0.5 and not router.balancer.pending_requests[
        send.id
    ].attempted_servers - {send.server}:
        fire_timer(router, send, after=0.02)
    server = router.balancer.services[SERVICE].servers[send.server]
    assert health.is_suspect(server)
    assert router.now - started_at < 0.5


def test_a_retryable_request_is_rerouted_from_an_unresponsive_server_after_a_cancel() -> None:
    router = Harness()
    warm_up(router)
    send = unanswered_request(router)
    router.now += 0.05
    respond_from_other_servers(router, send.server)
    actions = fire_timer(router, send, after=0.4)
    kinds = [type(action) for action in actions if isinstance(action, api.Cancel | api.Send)]
    assert kinds == [api.Cancel, api.Send]
    assert only(actions, api.Send)[0].server != send.server
    retry = router.end_attempt(send, api.Result.CANCELLED)
    assert not only(retry, api.Send) and not only(retry, api.Fail)


def test_a_request_that_is_not_retryable_is_not_rerouted() -> None:
    router = Harness()
    warm_up(router)
    send = unanswered_request(router, **long_prompt(1))
    router.now += 0.05
    respond_from_other_servers(router, send.server)
    actions = []
    for _ in range(20):
        actions += fire_timer(router, send, after=0.2)
    assert not only(actions, api.Send) and not only(actions, api.Cancel)
    assert health.is_suspect(router.balancer.services[SERVICE].servers[send.server])


def test_no_server_is_ejected_while_no_server_responds() -> None:
    router = Harness()
    warm_up(router)
    send = unanswered_request(router)
    for _ in range(10):
        fire_timer(router, send, after=0.1)
    assert not any(map(health.is_ejected, router.balancer.services[SERVICE].ready))


def test_a_server_that_makes_progress_is_not_suspect() -> None:
    router = Harness()
    warm_up(router)
    running = unanswered_request(router)
    router.start_response(running)
    sends = [unanswered_request(router) for _ in range(6)]
    send = next(each for each in sends if each.server == running.server)
    for _ in range(10):
        router.handle(StreamProgress(running.server))
        respond_from_other_servers(router, running.server)
        fire_timer(router, send, after=0.1)
    assert not health.is_ejected(router.balancer.services[SERVICE].servers[running.server])


def test_a_suspicion_is_announced_at_once() -> None:
    router = Harness(peers=(1, 2))
    warm_up(router)
    send = unanswered_request(router)
    router.now += 0.05
    respond_from_other_servers(router, send.server)
    rows = [
        decode_row(message.payload) for message in only(fire_timer(router, send, after=0.4), api.SendToPeer)
    ]
    assert any(entry.suspect for row in rows for entry in row.entries)


def test_a_request_behind_a_long_prompt_is_rerouted_in_time_for_its_latency_target() -> None:
    router = Harness(servers=2)
    warm_up(router)
    slow = unanswered_request(router)
    router.balancer.services[SERVICE].servers[slow.server].update_peer_load(
        2, PeerLoad(1, 20_000, router.now)
    )
    assert [send.server for send in only(fire_timer(router, slow, after=0.16), api.Send)] != [slow.server]
    assert router.balancer.pending_requests[slow.id].attempts_reached == 2


@pytest.mark.parametrize("left", [0, 1])
def test_no_reroute_beyond_the_attempts_or_the_budget(left: int) -> None:
    router = Harness(slack=0.0)
    router.balancer.services[SERVICE].retry_budget.ratio = 0.0 if left else 0.2
    warm_up(router)
    send = unanswered_request(router, max_attempts=1 + left)
    router.now += 0.05
    respond_from_other_servers(router, send.server)
    actions = [action for _ in range(10) for action in fire_timer(router, send, after=0.1)]
    assert not only(actions, api.Send) and not only(actions, api.Cancel)


def test_timed_out_attempts_do_not_eject_a_server_that_responds_to_others() -> None:
    """The attempts may be queued behind long prompts; each is rerouted to another server on its own."""
    router = Harness()
    warm_up(router)
    server = router.balancer.services[SERVICE].servers[router.serve()]
    timed_out = 0
    for number in range(200):
        router.fill_budget()  # more than a fifth of the attempts time out
        send = unanswered_request(router, max_attempts=2, chain=((number, 300),))
        if send.server != server.id:
            router.start_response(send)
            router.end_attempt(send, api.Result.OK, finished=True)
            continue
        timed_out += 1
        server.last_response_at = router.now + 1.0  # its responses to peers, up to the time of the check
        [retry] = only(fire_timer(router, send, after=1.0), api.Send)
        assert retry.server != server.id
        router.end_attempt(send, api.Result.CANCELLED)
        router.end_attempt(retry, api.Result.OK, attempt=1, finished=True)
    assert timed_out >= 4
    assert server.consecutive_failures == 0 and not health.is_ejected(server)
