"""The exchange of rows between routers: liveness, applied reports, and bounds on the number of rows."""

from __future__ import annotations

import random

import pytest

from firvane.core import interface as api
from firvane.core.balancing.window import WINDOW
from firvane.fleet.placement import health
from firvane.fleet.placement.events import InstancesChanged, PeersChanged
from firvane.fleet.placement.peers import MAX_ROWS_PER_WINDOW, Peers
from firvane.fleet.placement.rows import Row, RowFlags, ServerEntry, decode_row, encode_row
from tests.fleet.placement.helpers import SERVICE, Harness, instances, long_prompt, only


def pair() -> tuple[Harness, Harness]:
    both = Harness(3, me=1, peers=(1, 2)), Harness(3, me=2, peers=(1, 2))
    for router in both:
        router.now += 0.1  # time since the row that was sent at the start
    return both


def deliver(actions: list[api.Action], sender: int, peer: Harness) -> list[api.Action]:
    """Deliver the rows among some actions to another router, and return its actions."""
    return [
        reply
        for message in only(actions, api.SendToPeer)
        for reply in peer.handle(api.PeerMessage(sender, message.payload))
    ]


def test_rows_are_sent_every_second_window_and_on_request() -> None:
    router, peer = pair()
    announced = [len(only(router.window(), api.SendToPeer)) for _ in range(6)]
    assert sum(announced) == 3
    replies = deliver(only(router.balancer.start(router.now), api.SendToPeer)[:1], 1, peer)
    assert [message.peer for message in only(replies, api.SendToPeer)] == [1]


def test_a_long_prompt_is_announced_at_once_and_peers_avoid_its_server() -> None:
    router, peer = pair()
    actions = router.submit(**long_prompt(1))
    [send] = only(actions, api.Send)
    deliver(actions, 1, peer)
    busy = peer.balancer.services[SERVICE].servers[send.server]
    assert busy.prefill_backlog(20_000.0, peer.now) > 0.5
    assert send.server not in {only(peer.submit(), api.Send)[0].server for _ in range(10)}


def test_unscheduled_rows_are_bounded() -> None:
    router = Harness(3, peers=tuple(range(1, 200)))
    announced = sum(len(only(router.submit(**long_prompt(n)), api.SendToPeer)) for n in range(20))
    assert announced <= 1


def test_large_fleets_send_rows_less_often() -> None:
    peers = Peers(1)
    assert peers.row_interval == 2
    numbers = tuple(range(1, 381))
    peers.update(numbers, (0,) * 380, 0.0)
    assert 380 / peers.row_interval <= MAX_ROWS_PER_WINDOW * 1.1


def test_a_timed_out_peer_is_not_live_until_its_next_row() -> None:
    router, peer = pair()
    row = only(peer.window(), api.SendToPeer) or only(peer.window(), api.SendToPeer)
    router.handle(api.PeerMessage(2, row[0].payload))
    assert router.balancer.exchange.live == [1, 2]
    for _ in range(8):
        router.window()
    assert router.balancer.exchange.live == [1]
    for _ in range(8):
        deliver(peer.window(), 2, router)
    router.window(after=0.0)
    assert router.balancer.exchange.live == [1, 2]


def test_the_load_of_a_removed_peer_is_dropped() -> None:
    router, peer = pair()
    deliver(peer.submit(**long_prompt(1)), 2, router)
    servers = router.balancer.services[SERVICE].ready
    assert sum(server.peers_in_flight for server in servers) == 1
    router.handle(PeersChanged((1,), (0,)))
    assert sum(server.peers_in_flight for server in servers) == 0


def test_outdated_rows_and_rows_of_unknown_senders_are_ignored() -> None:
    router, peer = pair()
    actions = peer.submit(**long_prompt(1))
    later = (
        peer.submit(
            **long_prompt(2),
        )
        + peer.window()
        + peer.window()
    )
    deliver(later, 2, router)
    before = [server.peers_in_flight for server in router.balancer.services[SERVICE].ready]
    deliver(actions, 2, router)
    deliver(actions, 9, router)
    deliver(actions, 1, router)
    assert [server.peers_in_flight for server in router.balancer.services[SERVICE].ready] == before


def test_the_rows_of_a_restarted_peer_are_accepted_at_once() -> None:
    peers = Peers(1)
    peers.update((1, 2), (0, 0), 0.0)
    assert peers.record_row(2, Row(RowFlags.NONE, 0, 90_000, 0, (), (), ()), 1.0)
    assert not peers.record_row(2, Row(RowFlags.NONE, 0, 89_500, 0, (), (), ()), 1.1)
    assert peers.record_row(2, Row(RowFlags.NONE, 0, 10, 0, (), (), ()), 1.2)


def test_unexpected_offload_is_flagged_and_the_sender_moves_less() -> None:
    router, peer = (Harness(4, me=me, peers=(1, 2, 3, 4)) for me in (1, 2))
    own_slice = router.balancer.services[SERVICE].slices.by_router[1]
    for number in range(400):
        peer.balancer.services[SERVICE].servers[own_slice[0].id].start_attempt(
            number, 500.0, 0.1, 1e5, peer.now
        )
    risks = [message for message in only(deliver(peer.window() + peer.window(), 2, router), api.SendToPeer)]
    assert any(decode_row(message.payload).flags & RowFlags.RISK for message in risks)
    assert router.balancer.services[SERVICE].unexpected_offloads >= 1
    peer.balancer.services[SERVICE].slices.shares = {(2, 1): 0.5}
    deliver(risks, 1, peer)
    assert peer.balancer.services[SERVICE].slices.shares == {}


def test_all_routers_know_where_shared_blocks_are_cached() -> None:
    router, peer = pair()
    router.now, peer.now = router.now + 1.0, peer.now + 1.0
    actions = router.submit(**long_prompt(1))
    [send] = only(actions, api.Send)
    assert deliver(actions, 1, peer) == []
    prompt = peer.balancer.pending_requests.get(1) or router.balancer.pending_requests[1]
    cached_tokens = (
        peer.balancer.services[SERVICE].servers[send.server].prefix_cache.cached_tokens(prompt.prompt, 2)
    )
    assert cached_tokens == 13_000


def test_keys_keep_the_server_that_caches_them_when_a_server_joins() -> None:
    router, peer = pair()
    prompt_homes = {shared_id: router.serve(**long_prompt(shared_id)) for shared_id in range(40)}
    peer.now = router.now
    request_for_rows = encode_row(Row(RowFlags.ASK, 0, int(peer.now * 1000), 0, (), (), ()))
    deliver(router.handle(api.PeerMessage(2, request_for_rows)), 1, peer)
    for each in (router, peer):
        each.handle(InstancesChanged(SERVICE, instances(4)))
        assert {shared_id: each.serve(**long_prompt(shared_id)) for shared_id in range(40)} == prompt_homes
        new = {each.serve(**long_prompt(shared_id)) for shared_id in range(40, 80)}
        assert "i-03" in new


def test_a_starting_router_gets_the_cached_blocks_from_its_peers() -> None:
    router = Harness(5, me=1, peers=(1, 2))
    prompt_homes = {shared_id: router.serve(**long_prompt(shared_id)) for shared_id in range(40)}
    router.handle(InstancesChanged(SERVICE, instances(6)))
    peer = Harness(0, me=2, peers=(2,))
    requested = peer.handle(PeersChanged((1, 2), (0, 0)), after=20.0)
    assert any(
        decode_row(message.payload).flags & RowFlags.ASK for message in only(requested, api.SendToPeer)
    )
    deliver(deliver(requested, 2, router), 1, peer)
    peer.handle(InstancesChanged(SERVICE, instances(6)))  # the servers become known only after the rows
    assert {shared_id: peer.serve(**long_prompt(shared_id)) for shared_id in range(40)} == prompt_homes


def test_suspicions_are_announced_to_the_peers() -> None:
    routers = [Harness(3, me=me, peers=(1, 2, 3)) for me in (1, 2, 3)]
    for each in routers:
        for server in each.balancer.services[SERVICE].ready:
            server.last_response_at = each.now - 1.0
    for number, each in enumerate(routers[:2], 1):
        health.eject_unresponsive(each.balancer.services[SERVICE].servers["i-01"], each.now)
        deliver(each.window() + each.window(), number, routers[2])
    assert health.is_suspect(routers[2].balancer.services[SERVICE].servers["i-01"])


@pytest.mark.parametrize(
    "payload", [b"", b"\x01", b"\x02", b"\x02" * 100, encode_row(Row(RowFlags(0), 0, 1, 0, (), (), ()))[:-1]]
)
def test_bytes_that_are_no_row_are_dropped(payload: bytes) -> None:
    router, _ = pair()
    assert router.handle(api.PeerMessage(2, payload)) == []


def test_a_window_sets_the_timer_of_the_next() -> None:
    router, _ = pair()
    assert [timer.delay for timer in only(router.window(), api.SetTimer) if timer.token == 0] == [WINDOW]


@pytest.mark.parametrize("seed", range(20))
def test_peer_loads_are_those_of_the_last_row_of_each_live_peer(seed: int) -> None:
    rng = random.Random(seed)
    peers = (2, 3, 4)
    router = Harness(5, me=1, peers=(1, *peers))
    service = router.balancer.services[SERVICE]
    last_reported = dict[int, dict[int, int]]()
    sequence = 0
    for _ in range(200):
        sequence += 5000
        sender, kind = rng.choice(peers), rng.random()
        hashed_ids = {server.id_hash for server in service.servers.values()} | {99}  # one unknown server
        reported = {id_hash: rng.randrange(1, 9) for id_hash in sorted(hashed_ids) if rng.random() < 0.4}
        if kind < 0.8:
            entries = tuple(
                ServerEntry(id_hash, running, 0, False, None, 0.0) for id_hash, running in reported.items()
            )
            row = Row(RowFlags.NONE, 0, sequence, 0, (), entries, ())
            router.handle(api.PeerMessage(sender, encode_row(row)), after=0.01)
            last_reported[sender] = reported
        elif kind < 0.9:
            remaining = tuple(peer for peer in peers if peer != sender)
            router.handle(PeersChanged((1, *remaining), (0,) * 3))
            router.handle(PeersChanged((1, *peers), (0,) * 4))
            last_reported.pop(sender, None)
        else:
            router.handle(InstancesChanged(SERVICE, instances(rng.randrange(2, 6))))
            listed = {server.id_hash for server in service.servers.values()}
            last_reported = {
                peer: {id_hash: n for id_hash, n in announced.items() if id_hash in listed}
                for peer, announced in last_reported.items()
            }
        for server in service.servers.values():
            assert server.peers_in_flight == sum(load.in_flight for load in server.peer_loads.values())
            for peer, load in server.peer_loads.items():
                assert load.in_flight == last_reported[peer][server.id_hash]
        known_pairs = {
            (peer, server.id_hash) for server in service.servers.values() for peer in server.peer_loads
        }
        announced_pairs = {
            (peer, id_hash)
            for peer, announced in last_reported.items()
            for id_hash in announced
            if id_hash in service.by_hash
        }
        assert known_pairs <= announced_pairs
        if kind < 0.8:
            assert {id_hash for peer, id_hash in known_pairs if peer == sender} == set(
                last_reported[sender]
            ) - {99}
