"""Attempts without an event: suspicion, hedges, and what is left alone."""

from __future__ import annotations

import pytest

from firvane.core import interface as api
from firvane.fleet.placement import health
from firvane.fleet.placement.events import StreamProgress
from firvane.fleet.placement.rows import decode_row
from firvane.fleet.placement.server_view import PeerLoad
from tests.fleet.placement.helpers import SERVICE, Harness, long_prompt, only


def warm_up(one: Harness, count: int = 40) -> None:
    """Teach the speeds: first events after 50 ms."""
    for _ in range(count):
        [send] = only(one.submit(), api.Send)
        one.start_response(send)
        one.end_attempt(send, api.Result.OK, finished=True)
        one.now += 0.01


def fire_timer(one: Harness, send: api.Send, after: float) -> list[api.Action]:
    return one.handle(api.TimerFired(send.id + 1), after)


def respond_elsewhere(one: Harness, server: str) -> None:
    """Signs of life of all servers but one."""
    for other in one.balancer.services[SERVICE].ready:
        if other.id != server:
            health.record_response(other, one.now)


def unanswered_request(one: Harness, **fields: object) -> api.Send:
    [send] = only(one.submit(**fields), api.Send)
    return send


def test_an_unresponsive_server_is_detected_within_half_a_second() -> None:
    one = Harness()
    warm_up(one)
    send = unanswered_request(one)
    began = one.now
    one.now += 0.05
    respond_elsewhere(one, send.server)
    while one.now < began + 0.5 and not one.balancer.pending_requests[send.id].attempted_servers - {
        send.server
    }:
        fire_timer(one, send, after=0.02)
    server = one.balancer.services[SERVICE].servers[send.server]
    assert health.is_suspect(server)
    assert one.now - began < 0.5


def test_a_retryable_request_is_rerouted_from_an_unresponsive_server_after_a_cancel() -> None:
    one = Harness()
    warm_up(one)
    send = unanswered_request(one)
    one.now += 0.05
    respond_elsewhere(one, send.server)
    actions = fire_timer(one, send, after=0.4)
    kinds = [type(action) for action in actions if isinstance(action, api.Cancel | api.Send)]
    assert kinds == [api.Cancel, api.Send]
    assert only(actions, api.Send)[0].server != send.server
    again = one.end_attempt(send, api.Result.CANCELLED)
    assert not only(again, api.Send) and not only(again, api.Fail)


def test_a_request_that_is_not_retryable_is_not_rerouted() -> None:
    one = Harness()
    warm_up(one)
    send = unanswered_request(one, **long_prompt(1))
    one.now += 0.05
    respond_elsewhere(one, send.server)
    actions = []
    for _ in range(20):
        actions += fire_timer(one, send, after=0.2)
    assert not only(actions, api.Send) and not only(actions, api.Cancel)
    assert health.is_suspect(one.balancer.services[SERVICE].servers[send.server])


def test_no_server_is_suspect_while_none_responds() -> None:
    one = Harness()
    warm_up(one)
    send = unanswered_request(one)
    for _ in range(10):
        fire_timer(one, send, after=0.1)
    assert not any(map(health.is_ejected, one.balancer.services[SERVICE].ready))


def test_a_server_that_makes_progress_is_not_suspect() -> None:
    one = Harness()
    warm_up(one)
    running = unanswered_request(one)
    one.start_response(running)
    sends = [unanswered_request(one) for _ in range(6)]
    send = next(each for each in sends if each.server == running.server)
    for _ in range(10):
        one.handle(StreamProgress(running.server))
        respond_elsewhere(one, running.server)
        fire_timer(one, send, after=0.1)
    assert not health.is_ejected(one.balancer.services[SERVICE].servers[running.server])


def test_a_suspicion_is_announced_at_once() -> None:
    one = Harness(peers=(1, 2))
    warm_up(one)
    send = unanswered_request(one)
    one.now += 0.05
    respond_elsewhere(one, send.server)
    rows = [decode_row(tell.payload) for tell in only(fire_timer(one, send, after=0.4), api.SendToPeer)]
    assert any(entry.suspect for row in rows for entry in row.entries)


def test_a_request_behind_a_long_prompt_is_rerouted_in_time_for_its_latency_target() -> None:
    one = Harness(servers=2)
    warm_up(one)
    late = unanswered_request(one)
    one.balancer.services[SERVICE].servers[late.server].update_peer_load(2, PeerLoad(1, 20_000, one.now))
    assert [send.server for send in only(fire_timer(one, late, after=0.16), api.Send)] != [late.server]
    assert one.balancer.pending_requests[late.id].attempts_reached == 2


@pytest.mark.parametrize("left", [0, 1])
def test_no_reroute_beyond_the_attempts_or_the_budget(left: int) -> None:
    one = Harness(slack=0.0)
    one.balancer.services[SERVICE].retry_budget.ratio = 0.0 if left else 0.2
    warm_up(one)
    send = unanswered_request(one, max_attempts=1 + left)
    one.now += 0.05
    respond_elsewhere(one, send.server)
    actions = [action for _ in range(10) for action in fire_timer(one, send, after=0.1)]
    assert not only(actions, api.Send) and not only(actions, api.Cancel)


def test_timed_out_attempts_do_not_eject_a_server_that_responds_to_others() -> None:
    """They may wait behind long prompts; what is lost is sent elsewhere, one by one."""
    one = Harness()
    warm_up(one)
    server = one.balancer.services[SERVICE].servers[one.serve()]
    lost = 0
    for number in range(200):
        one.fill_budget()  # what is lost is more than a fifth
        send = unanswered_request(one, max_attempts=2, chain=((number, 300),))
        if send.server != server.id:
            one.start_response(send)
            one.end_attempt(send, api.Result.OK, finished=True)
            continue
        lost += 1
        server.last_response_at = one.now + 1.0  # its answers to peers, until the look
        [again] = only(fire_timer(one, send, after=1.0), api.Send)
        assert again.server != server.id
        one.end_attempt(send, api.Result.CANCELLED)
        one.end_attempt(again, api.Result.OK, attempt=1, finished=True)
    assert lost >= 4
    assert server.consecutive_failures == 0 and not health.is_ejected(server)
