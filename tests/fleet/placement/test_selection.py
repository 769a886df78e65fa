"""Which server a prompt goes to."""

from __future__ import annotations

from firvane.core import interface as api
from firvane.fleet.placement.events import ServiceInfo
from firvane.fleet.placement.server_view import PeerLoad
from tests.fleet.placement.helpers import SERVICE, Harness, long_prompt, only


def sent(one: Harness, **fields: object) -> str:
    [send] = only(one.submit(**fields), api.Send)
    return send.server


def test_a_long_prompt_waits_at_home_rather_than_be_prefilled_again() -> None:
    one = Harness(5)
    assert len({sent(one, **long_prompt(1, own)) for own in range(4)}) == 1


def test_a_long_prompt_leaves_a_home_with_a_long_backlog() -> None:
    one = Harness(5)
    home = sent(one, **long_prompt(1))
    one.balancer.services[SERVICE].servers[home].update_peer_load(2, PeerLoad(40, 2_000_000, one.now))
    assert sent(one, **long_prompt(1, 2)) != home


def test_a_prompt_for_which_the_client_would_not_wait_leaves_its_home() -> None:
    one = Harness(5)
    home = one.serve(**long_prompt(1))
    speed = one.balancer.services[SERVICE].throughput.prefill_rate.value
    server = one.balancer.services[SERVICE].servers[home]
    server.update_peer_load(2, PeerLoad(4, 2.0 * speed, one.now))
    assert sent(one, **long_prompt(1, 2)) == home
    server.update_peer_load(2, PeerLoad(4, 4.0 * speed, one.now))
    assert sent(one, **long_prompt(1, 3)) != home


def test_short_prompts_avoid_servers_that_prefill_long_ones() -> None:
    one = Harness(3)
    busy = sent(one, **long_prompt(1))
    assert busy not in {sent(one) for _ in range(20)}


def test_the_load_of_peers_counts_as_much() -> None:
    one = Harness(3)
    busy = one.balancer.services[SERVICE].servers["i-01"]
    busy.update_peer_load(2, PeerLoad(2, 30_000, one.now))
    assert "i-01" not in {sent(one) for _ in range(20)}


def test_short_prompts_spread_by_load() -> None:
    one = Harness(4)
    servers = [sent(one) for _ in range(40)]
    counts = [servers.count(f"i-{number:02}") for number in range(4)]
    assert max(counts) - min(counts) <= 6


def test_an_idle_fleet_serves_small_shared_blocks_at_their_home() -> None:
    one = Harness(4)
    prompt_homes = {one.serve() for _ in range(20)}
    assert len(prompt_homes) == 1


def test_connections_of_a_backend_are_shared_among_the_routers() -> None:
    one = Harness(2, peers=(1, 2, 3, 4, 5, 6, 7, 8, 9, 10))
    one.handle(ServiceInfo(SERVICE, 64, 400_000, 4, 100))
    sends = [action for _ in range(40) for action in only(one.submit(), api.Send)]
    assert len(sends) == 2 * 9
    assert len(one.balancer.queue) == 22


def test_saturated_backends_are_avoided_and_then_requests_are_rejected() -> None:
    one = Harness(2)
    [first] = only(one.submit(), api.Send)
    [second] = only(one.end_attempt(first, api.Result.OVERLOADED), api.Send)
    assert {first.server, second.server} == {"i-00", "i-01"}
    [refuse] = only(one.end_attempt(second, api.Result.OVERLOADED, attempt=1), api.Reject)
    assert 0.05 <= refuse.retry_after <= 1.0
    actions = one.submit()
    assert not only(actions, api.Send) and not only(actions, api.Reject)  # queued
    assert only(one.window(), api.Send)


def test_queued_requests_are_sent_by_priority_when_capacity_is_back() -> None:
    one = Harness(1)
    [first] = only(one.submit(max_attempts=1), api.Send)
    one.end_attempt(first, api.Result.OVERLOADED)
    one.submit(priority=3, latency_target=2.0)
    one.submit(priority=0, latency_target=2.0)
    one.balancer.services[SERVICE].servers["i-00"].saturated_until = 0.0
    assert [send.id for send in only(one.window(0.01), api.Send)] == [3, 2]


def test_many_backends_are_compared_in_part() -> None:
    one = Harness(80)
    used = {one.serve(**long_prompt(subject)) for subject in range(400)}
    assert len(used) > 60
