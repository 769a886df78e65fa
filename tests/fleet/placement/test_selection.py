"""Which server a prompt goes to."""

from __future__ import annotations

from firvane.core import interface as api
from firvane.fleet.placement.events import ServiceInfo
from firvane.fleet.placement.server_view import PeerLoad
from tests.fleet.placement.helpers import SERVICE, Harness, letter, only


def sent(one: Harness, **fields: object) -> str:
    [send] = only(one.ask(**fields), api.Send)
    return send.server


def test_a_long_prompt_waits_at_home_rather_than_be_read_anew() -> None:
    one = Harness(5)
    assert len({sent(one, **letter(1, own)) for own in range(4)}) == 1


def test_a_long_prompt_leaves_a_home_that_is_far_behind() -> None:
    one = Harness(5)
    home = sent(one, **letter(1))
    one.balancer.services[SERVICE].servers[home].learn(2, PeerLoad(40, 2_000_000, one.now))
    assert sent(one, **letter(1, 2)) != home


def test_what_a_client_would_not_wait_for_is_read_elsewhere() -> None:
    one = Harness(5)
    home = one.serve(**letter(1))
    speed = one.balancer.services[SERVICE].speeds.reading.value
    server = one.balancer.services[SERVICE].servers[home]
    server.learn(2, PeerLoad(4, 2.0 * speed, one.now))
    assert sent(one, **letter(1, 2)) == home
    server.learn(2, PeerLoad(4, 4.0 * speed, one.now))
    assert sent(one, **letter(1, 3)) != home


def test_short_prompts_keep_off_servers_that_read_long_ones() -> None:
    one = Harness(3)
    busy = sent(one, **letter(1))
    assert busy not in {sent(one) for _ in range(20)}


def test_what_peers_have_sent_counts_as_much() -> None:
    one = Harness(3)
    busy = one.balancer.services[SERVICE].servers["i-01"]
    busy.learn(2, PeerLoad(2, 30_000, one.now))
    assert "i-01" not in {sent(one) for _ in range(20)}


def test_short_prompts_spread_by_load() -> None:
    one = Harness(4)
    servers = [sent(one) for _ in range(40)]
    counts = [servers.count(f"i-{number:02}") for number in range(4)]
    assert max(counts) - min(counts) <= 6


def test_an_idle_fleet_serves_small_shared_parts_at_their_home() -> None:
    one = Harness(4)
    homes = {one.serve() for _ in range(20)}
    assert len(homes) == 1


def test_connections_of_a_backend_are_shared_among_the_routers() -> None:
    one = Harness(2, peers=(1, 2, 3, 4, 5, 6, 7, 8, 9, 10))
    one.give(ServiceInfo(SERVICE, 64, 400_000, 4, 100))
    sends = [action for _ in range(40) for action in only(one.ask(), api.Send)]
    assert len(sends) == 2 * 9
    assert len(one.balancer.held) == 22


def test_full_backends_are_passed_over_and_then_refuse() -> None:
    one = Harness(2)
    [first] = only(one.ask(), api.Send)
    [second] = only(one.ends(first, api.Result.OVERLOADED), api.Send)
    assert {first.server, second.server} == {"i-00", "i-01"}
    [refuse] = only(one.ends(second, api.Result.OVERLOADED, attempt=1), api.Reject)
    assert 0.05 <= refuse.retry_after <= 1.0
    held = one.ask()
    assert not only(held, api.Send) and not only(held, api.Reject)  # held for room
    assert only(one.window(), api.Send)


def test_the_most_urgent_are_served_first_when_room_comes() -> None:
    one = Harness(1)
    [first] = only(one.ask(max_attempts=1), api.Send)
    one.ends(first, api.Result.OVERLOADED)
    one.ask(priority=3, aim=2.0)
    one.ask(priority=0, aim=2.0)
    one.balancer.services[SERVICE].servers["i-00"].full_until = 0.0
    assert [send.id for send in only(one.window(0.01), api.Send)] == [3, 2]


def test_many_backends_are_compared_in_part() -> None:
    one = Harness(80)
    used = {one.serve(**letter(subject)) for subject in range(400)}
    assert len(used) > 60
