"""The rules of requests: homes, retries, rejections, draining and cancellation."""

from __future__ import annotations

import pytest

from firvane.core import interface as api
from firvane.fleet.discovery.instances import InstanceState
from firvane.fleet.placement.events import InstancesChanged, PromptRequest, RequestKind
from tests.fleet.placement.helpers import SERVICE, Harness, instance, instances, long_prompt, only

NEVER_RAN = [
    api.Result.OVERLOADED,
    api.Result.CONNECTIONS_FULL,
    api.Result.CONNECT_FAILED,
    api.Result.NOT_SENT,
]


def test_a_request_goes_to_a_ready_backend() -> None:
    router = Harness()
    [send] = only(router.submit(), api.Send)
    assert send.server in {"i-00", "i-01", "i-02"}


def test_without_an_instance_list_a_request_is_queued_briefly_and_rejected() -> None:
    router = Harness(servers=0)
    assert not only(router.submit(latency_target=0.4), api.Reject)
    assert not only(router.handle(api.TimerFired(2), after=0.05), api.Reject)
    [reject] = only(router.handle(api.TimerFired(2), after=0.04), api.Reject)
    assert reject.retry_after == pytest.approx(1.0, rel=0.2)
    assert not router.balancer.pending_requests


def test_queued_requests_are_sent_when_the_instance_list_arrives() -> None:
    router = Harness(servers=0)
    router.submit()
    router.submit(priority=0)
    sent = only(router.handle(InstancesChanged(SERVICE, instances(3)), after=0.05), api.Send)
    assert len(sent) == 2


def test_without_a_ready_backend_a_request_is_rejected_with_a_short_retry_after() -> None:
    router = Harness(servers=1)
    router.handle(InstancesChanged(SERVICE, ()))
    [reject] = only(router.submit(), api.Reject)
    assert reject.retry_after == pytest.approx(0.3)


def test_a_service_without_a_ready_backend_is_not_drawn() -> None:
    router = Harness()
    for _ in range(20):
        assert only(router.submit(services=(("gone", 99.0), (SERVICE, 1.0))), api.Send)


def test_services_are_drawn_by_weight() -> None:
    router = Harness()
    router.handle(InstancesChanged("other", instances(1, "other")))
    drawn = [router.submit(services=((SERVICE, 9.0), ("other", 1.0))) for _ in range(400)]
    others = sum(router.balancer.pending_requests[n + 1].service == "other" for n in range(len(drawn)))
    assert 20 <= others <= 65


def test_a_long_prompt_goes_to_its_home_and_all_routers_agree() -> None:
    routers = [Harness(5, me=me, peers=(1, 2, 3)) for me in (1, 2, 3)]
    for shared_id in range(40):
        prompt_homes = {
            only(router.submit(**long_prompt(shared_id)), api.Send)[0].server for router in routers
        }
        assert len(prompt_homes) == 1


def test_only_the_homes_of_a_removed_backend_move() -> None:
    router, other = Harness(6), Harness(6)
    other.handle(InstancesChanged(SERVICE, instances(5)))
    before = [router.serve(**long_prompt(shared_id)) for shared_id in range(60)]
    after = [other.serve(**long_prompt(shared_id)) for shared_id in range(60)]
    moved = [old for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {"i-05"}


@pytest.mark.parametrize("result", NEVER_RAN)
def test_a_request_that_never_ran_is_rejected_rather_than_failed(result: api.Result) -> None:
    router = Harness(servers=1)
    actions, attempts = router.submit(**long_prompt(1)), 0
    while sends := only(actions, api.Send):
        actions = router.end_attempt(sends[0], result, attempts)
        attempts += 1
    actions += router.handle(api.TimerFired(2), after=0.3)
    assert only(actions, api.Reject) and not only(actions, api.Fail)
    assert attempts <= 8


@pytest.mark.parametrize(
    "result", [api.Result.RESET, api.Result.TIMEOUT, api.Result.ERROR, api.Result.UNKNOWN]
)
@pytest.mark.parametrize("kind", [RequestKind.NON_IDEMPOTENT, RequestKind.STREAM])
def test_a_request_that_may_have_run_is_not_retried(result: api.Result, kind: RequestKind) -> None:
    router = Harness()
    [send] = only(router.submit(kind=kind, resumable=False, max_attempts=3), api.Send)
    actions = router.end_attempt(send, result)
    assert not only(actions, api.Send) and not only(actions, api.Reject)
    assert only(actions, api.Fail)


@pytest.mark.parametrize("result", [api.Result.RESET, api.Result.ERROR, api.Result.OVERLOADED])
@pytest.mark.parametrize(
    "fields", [{"kind": RequestKind.IDEMPOTENT, "resumable": False}, {"kind": RequestKind.STREAM}]
)
def test_a_retryable_request_goes_to_another_backend(result: api.Result, fields: dict[str, object]) -> None:
    router = Harness()
    [first] = only(router.submit(**fields), api.Send)
    [second] = only(router.end_attempt(first, result), api.Send)
    assert second.server != first.server
    actions = router.end_attempt(second, result, attempt=1)
    assert not only(actions, api.Send)  # two backends were reached


def test_failed_connections_do_not_count_as_attempts() -> None:
    router = Harness(servers=4)
    [send] = only(router.submit(max_attempts=1), api.Send)
    tried = [send.server]
    for attempt in range(3):
        [send] = only(router.end_attempt(send, api.Result.CONNECT_FAILED, attempt), api.Send)
        tried.append(send.server)
    assert len(set(tried)) == 4


def test_queued_requests_are_sent_by_priority() -> None:
    router = Harness(servers=2)
    servers = router.balancer.services[SERVICE].servers.values()
    for server in servers:
        server.saturated_until = router.now + 0.04
    for priority in (5, 0, 3, 0):
        assert not only(router.submit(priority=priority), api.Send)
    sent = only(router.window(after=0.05), api.Send)
    assert [send.id for send in sent] == [2, 4, 3, 1]


def test_a_request_without_a_stream_is_not_rerouted_while_its_response_is_generated() -> None:
    router = Harness()
    [send] = only(router.submit(kind=RequestKind.IDEMPOTENT), api.Send)
    actions = [action for _ in range(8) for action in router.handle(api.TimerFired(send.id + 1), after=0.1)]
    assert not only(actions, api.Send) and not only(actions, api.Cancel)


def test_a_broken_stream_is_resumed_at_another_server_until_attempts_are_used_up() -> None:
    router = Harness()
    [first] = only(router.submit(), api.Send)
    router.start_response(first)
    [second] = only(router.end_attempt(first, api.Result.RESET), api.Send)
    assert second.server != first.server
    router.start_response(second, attempt=1)
    assert only(router.end_attempt(second, api.Result.RESET, attempt=1), api.Fail)


def test_a_stalled_stream_may_be_continued_within_its_attempts_and_the_budget() -> None:
    router = Harness()
    [send] = only(router.submit(), api.Send)
    router.start_response(send)
    assert router.balancer.may_continue(send.id, router.now)
    router.balancer.services[SERVICE].retry_budget.routers.record(10_000, router.now)
    while router.balancer.services[SERVICE].retry_budget.allows(router.now):
        router.balancer.services[SERVICE].retry_budget.spend()
    assert not router.balancer.may_continue(send.id, router.now)
    router.fill_budget()
    assert router.balancer.may_continue(send.id, router.now)
    router.end_attempt(send, api.Result.TIMEOUT)
    assert not router.balancer.may_continue(send.id, router.now)  # the second attempt is the last one allowed
    assert not router.balancer.may_continue(send.id + 1, router.now)
    [other] = only(router.submit(resumable=False), api.Send)
    router.start_response(other)
    assert not router.balancer.may_continue(other.id, router.now)


def test_a_stalled_stream_is_not_continued_where_no_server_has_capacity() -> None:
    router = Harness(servers=2)
    [send] = only(router.submit(), api.Send)
    router.start_response(send)
    assert router.balancer.may_continue(send.id, router.now)
    for server in router.balancer.services[SERVICE].servers.values():
        server.saturated_until = router.now + 1.0
    assert not router.balancer.may_continue(send.id, router.now)


def test_a_started_stream_is_never_rejected() -> None:
    router = Harness(servers=1, slack=0.0)
    [send] = only(router.submit(), api.Send)
    router.start_response(send)
    actions = router.end_attempt(send, api.Result.RESET)
    assert only(actions, api.Fail) and not only(actions, api.Reject)


def test_the_attempts_of_a_disconnected_client_are_cancelled() -> None:
    router = Harness()
    [send] = only(router.submit(), api.Send)
    assert only(router.handle(api.ClientGone(send.id)), api.Cancel) == [api.Cancel(send.id, 0)]
    router.end_attempt(send, api.Result.CANCELLED, finished=True)
    assert all(server.in_flight == 0 for server in router.balancer.services[SERVICE].servers.values())


def test_a_draining_backend_gets_no_more_requests() -> None:
    router = Harness(servers=2)
    router.handle(InstancesChanged(SERVICE, (instance(0), instance(1, InstanceState.DRAINING))))
    router.handle(InstancesChanged(SERVICE, (instance(0), instance(1))))  # it never becomes ready again
    assert {router.serve(**long_prompt(number)) for number in range(30)} == {"i-00"}


def test_a_removed_backend_gets_no_more_requests() -> None:
    router = Harness(servers=2)
    router.handle(InstancesChanged(SERVICE, (instance(0), instance(1, InstanceState.GONE))))
    assert {router.serve(**long_prompt(number)) for number in range(30)} == {"i-00"}


def test_retries_stay_within_the_retry_budget() -> None:
    router = Harness(slack=10.0)
    retries = 0
    for _ in range(100):
        [send] = only(router.submit(), api.Send)
        retry_sends = only(router.end_attempt(send, api.Result.ERROR), api.Send)
        retries += len(retry_sends)
        for second in retry_sends:
            router.end_attempt(second, api.Result.OK, attempt=1, finished=True)
    assert 20 <= retries <= 0.2 * 100 + 0.8 * 10


def test_requests_that_are_not_prompts_are_ignored() -> None:
    router = Harness()
    assert router.handle(api.Request(9, 0, 1.0)) == []
    assert isinstance(PromptRequest(1, 0, 1.0), api.Request)
