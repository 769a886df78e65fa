"""Rows between routers: who is live, what is learnt, and the bounds on how many go."""

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
    for one in both:
        one.now += 0.1  # since the row of the start
    return both


def carry(actions: list[api.Action], sender: int, other: Harness) -> list[api.Action]:
    """Hand the rows among some actions to the other router."""
    return [
        answer
        for tell in only(actions, api.SendToPeer)
        for answer in other.handle(api.PeerMessage(sender, tell.payload))
    ]


def test_rows_are_sent_every_second_window_and_on_request() -> None:
    one, other = pair()
    announced = [len(only(one.window(), api.SendToPeer)) for _ in range(6)]
    assert sum(announced) == 3
    answers = carry(only(one.balancer.start(one.now), api.SendToPeer)[:1], 1, other)
    assert [tell.peer for tell in only(answers, api.SendToPeer)] == [1]


def test_a_long_prompt_is_announced_at_once_and_peers_avoid_its_server() -> None:
    one, other = pair()
    actions = one.submit(**long_prompt(1))
    [send] = only(actions, api.Send)
    carry(actions, 1, other)
    busy = other.balancer.services[SERVICE].servers[send.server]
    assert busy.prefill_backlog(20_000.0, other.now) > 0.5
    assert send.server not in {only(other.submit(), api.Send)[0].server for _ in range(10)}


def test_rows_out_of_turn_are_bounded() -> None:
    one = Harness(3, peers=tuple(range(1, 200)))
    announced = sum(len(only(one.submit(**long_prompt(n)), api.SendToPeer)) for n in range(20))
    assert announced <= 1


def test_large_fleets_send_rows_less_often() -> None:
    peers = Peers(1)
    assert peers.row_interval == 2
    numbers = tuple(range(1, 381))
    peers.update(numbers, (0,) * 380, 0.0)
    assert 380 / peers.row_interval <= MAX_ROWS_PER_WINDOW * 1.1


def test_a_timed_out_peer_is_not_live_until_its_next_row() -> None:
    one, other = pair()
    row = only(other.window(), api.SendToPeer) or only(other.window(), api.SendToPeer)
    one.handle(api.PeerMessage(2, row[0].payload))
    assert one.balancer.exchange.live == [1, 2]
    for _ in range(8):
        one.window()
    assert one.balancer.exchange.live == [1]
    for _ in range(8):
        carry(other.window(), 2, one)
    one.window(after=0.0)
    assert one.balancer.exchange.live == [1, 2]


def test_the_load_of_a_peer_is_dropped_with_it() -> None:
    one, other = pair()
    carry(other.submit(**long_prompt(1)), 2, one)
    servers = one.balancer.services[SERVICE].ready
    assert sum(server.peers_in_flight for server in servers) == 1
    one.handle(PeersChanged((1,), (0,)))
    assert sum(server.peers_in_flight for server in servers) == 0


def test_stale_foreign_and_own_rows_change_nothing() -> None:
    one, other = pair()
    actions = other.submit(**long_prompt(1))
    later = (
        other.submit(
            **long_prompt(2),
        )
        + other.window()
        + other.window()
    )
    carry(later, 2, one)
    before = [server.peers_in_flight for server in one.balancer.services[SERVICE].ready]
    carry(actions, 2, one)
    carry(actions, 9, one)
    carry(actions, 1, one)
    assert [server.peers_in_flight for server in one.balancer.services[SERVICE].ready] == before


def test_the_rows_of_a_restarted_peer_are_accepted_at_once() -> None:
    peers = Peers(1)
    peers.update((1, 2), (0, 0), 0.0)
    assert peers.record_row(2, Row(RowFlags.NONE, 0, 90_000, 0, (), (), ()), 1.0)
    assert not peers.record_row(2, Row(RowFlags.NONE, 0, 89_500, 0, (), (), ()), 1.1)
    assert peers.record_row(2, Row(RowFlags.NONE, 0, 10, 0, (), (), ()), 1.2)


def test_unexpected_offload_is_flagged_and_the_sender_moves_less() -> None:
    one, other = (Harness(4, me=me, peers=(1, 2, 3, 4)) for me in (1, 2))
    mine = one.balancer.services[SERVICE].slices.by_router[1]
    for number in range(400):
        other.balancer.services[SERVICE].servers[mine[0].id].start_attempt(number, 500.0, 0.1, 1e5, other.now)
    risks = [tell for tell in only(carry(other.window() + other.window(), 2, one), api.SendToPeer)]
    assert any(decode_row(tell.payload).flags & RowFlags.RISK for tell in risks)
    assert one.balancer.services[SERVICE].unexpected_offloads >= 1
    other.balancer.services[SERVICE].slices.shares = {(2, 1): 0.5}
    carry(risks, 1, other)
    assert other.balancer.services[SERVICE].slices.shares == {}


def test_all_routers_know_where_shared_blocks_are_cached() -> None:
    one, other = pair()
    one.now, other.now = one.now + 1.0, other.now + 1.0
    actions = one.submit(**long_prompt(1))
    [send] = only(actions, api.Send)
    assert carry(actions, 1, other) == []
    prompt = other.balancer.pending_requests.get(1) or one.balancer.pending_requests[1]
    kept = other.balancer.services[SERVICE].servers[send.server].prefix_cache.cached_tokens(prompt.prompt, 2)
    assert kept == 13_000


def test_keys_stay_where_they_are_cached_when_a_server_joins() -> None:
    one, other = pair()
    prompt_homes = {subject: one.serve(**long_prompt(subject)) for subject in range(40)}
    other.now = one.now
    question = encode_row(Row(RowFlags.ASK, 0, int(other.now * 1000), 0, (), (), ()))
    carry(one.handle(api.PeerMessage(2, question)), 1, other)
    for harness in (one, other):
        harness.handle(InstancesChanged(SERVICE, instances(4)))
        assert {subject: harness.serve(**long_prompt(subject)) for subject in range(40)} == prompt_homes
        new = {harness.serve(**long_prompt(subject)) for subject in range(40, 80)}
        assert "i-03" in new


def test_a_starting_router_learns_from_its_peers_what_is_cached() -> None:
    one = Harness(5, me=1, peers=(1, 2))
    prompt_homes = {subject: one.serve(**long_prompt(subject)) for subject in range(40)}
    one.handle(InstancesChanged(SERVICE, instances(6)))
    other = Harness(0, me=2, peers=(2,))
    asked = other.handle(PeersChanged((1, 2), (0, 0)), after=20.0)
    assert any(decode_row(tell.payload).flags & RowFlags.ASK for tell in only(asked, api.SendToPeer))
    carry(carry(asked, 2, one), 1, other)
    other.handle(InstancesChanged(SERVICE, instances(6)))  # known only after the rows
    assert {subject: other.serve(**long_prompt(subject)) for subject in range(40)} == prompt_homes


def test_suspicions_reach_the_peers() -> None:
    routers = [Harness(3, me=me, peers=(1, 2, 3)) for me in (1, 2, 3)]
    for harness in routers:
        for server in harness.balancer.services[SERVICE].ready:
            server.last_response_at = harness.now - 1.0
    for number, harness in enumerate(routers[:2], 1):
        health.eject_unresponsive(harness.balancer.services[SERVICE].servers["i-01"], harness.now)
        carry(harness.window() + harness.window(), number, routers[2])
    assert health.is_suspect(routers[2].balancer.services[SERVICE].servers["i-01"])


@pytest.mark.parametrize(
    "payload", [b"", b"\x01", b"\x02", b"\x02" * 100, encode_row(Row(RowFlags(0), 0, 1, 0, (), (), ()))[:-1]]
)
def test_bytes_that_are_no_row_are_dropped(payload: bytes) -> None:
    one, _ = pair()
    assert one.handle(api.PeerMessage(2, payload)) == []


def test_a_window_sets_the_timer_of_the_next() -> None:
    one, _ = pair()
    assert [timer.delay for timer in only(one.window(), api.SetTimer) if timer.token == 0] == [WINDOW]


@pytest.mark.parametrize("seed", range(20))
def test_peer_loads_are_those_of_the_last_row_of_each_live_peer(seed: int) -> None:
    draw = random.Random(seed)
    peers = (2, 3, 4)
    one = Harness(5, me=1, peers=(1, *peers))
    service = one.balancer.services[SERVICE]
    last = dict[int, dict[int, int]]()
    sequence = 0
    for _ in range(200):
        sequence += 5000
        sender, kind = draw.choice(peers), draw.random()
        hashed_ids = {server.id_hash for server in service.servers.values()} | {99}  # one that is not known
        named = {id_hash: draw.randrange(1, 9) for id_hash in sorted(hashed_ids) if draw.random() < 0.4}
        if kind < 0.8:
            entries = tuple(
                ServerEntry(id_hash, running, 0, False, None, 0.0) for id_hash, running in named.items()
            )
            row = Row(RowFlags.NONE, 0, sequence, 0, (), entries, ())
            one.handle(api.PeerMessage(sender, encode_row(row)), after=0.01)
            last[sender] = named
        elif kind < 0.9:
            left = tuple(peer for peer in peers if peer != sender)
            one.handle(PeersChanged((1, *left), (0,) * 3))
            one.handle(PeersChanged((1, *peers), (0,) * 4))
            last.pop(sender, None)
        else:
            one.handle(InstancesChanged(SERVICE, instances(draw.randrange(2, 6))))
            gone = {server.id_hash for server in service.servers.values()}
            last = {
                peer: {id_hash: n for id_hash, n in announced.items() if id_hash in gone}
                for peer, announced in last.items()
            }
        for server in service.servers.values():
            assert server.peers_in_flight == sum(load.in_flight for load in server.peer_loads.values())
            for peer, load in server.peer_loads.items():
                assert load.in_flight == last[peer][server.id_hash]
        known_pairs = {
            (peer, server.id_hash) for server in service.servers.values() for peer in server.peer_loads
        }
        announced_pairs = {
            (peer, id_hash)
            for peer, announced in last.items()
            for id_hash in announced
            if id_hash in service.by_hash
        }
        assert known_pairs <= announced_pairs
        if kind < 0.8:
            assert {id_hash for peer, id_hash in known_pairs if peer == sender} == set(last[sender]) - {99}
