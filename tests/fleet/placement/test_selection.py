"""Server selection for prompts."""

from __future__ import annotations

from firvane.core import interface as api
from firvane.fleet.placement.events import ServiceInfo
from firvane.fleet.placement.server_view import PeerLoad
from tests.fleet.placement.helpers import SERVICE, Harness, long_prompt, only


def sent(router: Harness, **fields: object) -> str:
    [send] = only(router.submit(**fields), api.Send)
    return send.server


def test_a_long_prompt_waits_at_its_home_rather_than_being_prefilled_again() -> None:
    router = Harness(5)
    assert len({sent(router, **long_prompt(1, own_id)) for own_id in range(4)}) == 1


def test_a_long_prompt_leaves_a_home_with_a_long_backlog() -> None:
    router = Harness(5)
    home = sent(router, **long_prompt(1))
    router.balancer.services[SERVICE].servers[home].update_peer_load(2, PeerLoad(40, 2_000_000, router.now))
    assert sent(router, **long_prompt(1, 2)) != home


def test_a_prompt_for_which_the_client_would_not_wait_leaves_its_home() -> None:
    router = Harness(5)
    home = router.serve(**long_prompt(1))
    prefill_rate = router.balancer.services[SERVICE].throughput.prefill_rate.value
    server = router.balancer.services[SERVICE].servers[home]
    server.update_peer_load(2, PeerLoad(4, 2.0 * prefill_rate, router.now))
    assert sent(router, **long_prompt(1, 2)) == home
    server.update_peer_load(2, PeerLoad(4, 4.0 * prefill_rate, router.now))
    assert sent(router, **long_prompt(1, 3)) != home


def test_short_prompts_avoid_servers_that_prefill_long_ones() -> None:
    router = Harness(3)
    busy = sent(router, **long_prompt(1))
    assert busy not in {sent(router) for _ in range(20)}


def test_the_load_of_peers_counts_like_own_load() -> None:
    router = Harness(3)
    busy = router.balancer.services[SERVICE].servers["i-01"]
    busy.update_peer_load(2, PeerLoad(2, 30_000, router.now))
    assert "i-01" not in {sent(router) for _ in range(20)}


def test_short_prompts_spread_by_load() -> None:
    router = Harness(4)
    servers = [sent(router) for _ in range(40)]
    counts = [servers.count(f"i-{number:02}") for number in range(4)]
    assert max(counts) - min(counts) <= 6


def test_an_idle_fleet_serves_small_shared_blocks_at_their_home() -> None:
    router = Harness(4)
    prompt_homes = {router.serve() for _ in range(20)}
    assert len(prompt_homes) == 1


def test_connections_of_a_backend_are_shared_among_the_routers() -> None:
    router = Harness(2, peers=(1, 2, 3, 4, 5, 6, 7, 8, 9, 10))
    router.handle(ServiceInfo(SERVICE, 64, 400_000, 4, 100))
    sends = [action for _ in range(40) for action in only(router.submit(), api.Send)]
    assert len(sends) == 2 * 9
    assert len(router.balancer.queue) == 22


def test_saturated_backends_are_avoided_and_then_requests_are_rejected() -> None:
    router = Harness(2)
    [first] = only(router.submit(), api.Send)
    [second] = only(router.end_attempt(first, api.Result.OVERLOADED), api.Send)
    assert {first.server, second.server} == {"i-00", "i-01"}
    [reject] = only(router.end_attempt(second, api.Result.OVERLOADED, attempt=1), api.Reject)
    assert 0.05 <= reject.retry_after <= 1.0
    actions = router.submit()
    assert not only(actions, api.Send) and not only(actions, api.Reject)  # queued
    assert only(router.window(), api.Send)


def test_queued_requests_are_sent_by_priority_when_capacity_is_back() -> None:
    router = Harness(1)
    [first] = only(router.submit(max_attempts=1), api.Send)
    router.end_attempt(first, api.Result.OVERLOADED)
    router.submit(priority=3, latency_target=2.0)
    router.submit(priority=0, latency_target=2.0)
    router.balancer.services[SERVICE].servers["i-00"].saturated_until = 0.0
    assert [send.id for send in only(router.window(0.01), api.Send)] == [3, 2]


def test_prompts_spread_over_more_backends_than_one_selection_compares() -> None:
    router = Harness(80)
    used = {router.serve(**long_prompt(shared_id)) for shared_id in range(400)}
    assert len(used) > 60
