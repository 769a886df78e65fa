"""Tests of the structures that the balancer updates incrementally against recomputed ones."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from firvane.core import interface as api
from firvane.proxy.balancer import Balancer
from firvane.proxy.routing.load_index import WEIGHT_UNIT
from tests.helpers import changes, full_list, outcome, sends, settings
from tests.proxy.routing.samples import KEYS


def entries(random: Random, names: list[str]) -> list[api.Server]:
    """Return random list entries of some servers."""
    states = [api.ServerState.UP] * 6 + [api.ServerState.DRAINING, api.ServerState.GONE]
    return [
        api.Server(
            name,
            kind=random.randrange(2),
            zone=random.randrange(2),
            state=random.choice(states),
            weight=random.choice([1.0, 1.0, 2.5]),
        )
        for name in names
    ]


def row(random: Random, tags: list[int]) -> bytes:
    """Return the row of a peer with attempts in flight at some servers."""
    peer = Balancer(settings(me=1, proxies=2), 1, 100.0)
    peer.start(100.0)
    update = full_list(*(api.Server(f"s{tag}") for tag in tags))
    peer.handle(update, 100.0)
    for server in peer.servers.values():
        server.in_flight = random.randrange(9)
    peer.actions = []
    peer.announce(100.0 + random.random(), 0)
    return next(a.payload for a in peer.actions if isinstance(a, api.SendToPeer))


def check_list(balancer: Balancer) -> None:
    """Check the servers, tags, peers' attempts and key ring against recomputed ones."""
    up = [s for _, s in sorted(balancer.servers.items()) if s.entry.state is api.ServerState.UP]
    assert balancer.up == up
    tags = {s.id_hash & 0xFFFF: s for s in up}
    assert {tag: balancer.listing.by_tag(tag) for tag in balancer.listing.tags} == tags
    peers = dict.fromkeys(up, 0)
    for n, row in balancer.rows.items():
        for tag, in_flight in row.in_flight if n != balancer.settings.me else ():
            if tag in tags:
                peers[tags[tag]] += in_flight
    assert {s: s.peers_in_flight for s in up} == peers
    other = Balancer(balancer.settings, 3, 100.0)
    other.start(100.0)
    other.kind_sizes = balancer.kind_sizes
    if up:
        other.handle(full_list(*(s.entry for s in up)), 100.0)
    for key in KEYS[:200]:
        owner, recomputed = balancer.ring.owner(key), other.ring.owner(key)
        assert (owner and owner.entry.id) == (recomputed and recomputed.entry.id)


@pytest.mark.parametrize("seed", range(12))
def test_after_any_lists_and_rows_the_state_equals_a_recomputed_one(seed: int) -> None:
    random = Random(seed)
    balancer = Balancer(settings(proxies=3), 7, 100.0)
    balancer.start(100.0)
    # Some of these share a tag: of those that are up the last by name counts.
    tags = [11623, 18000, 11622, 18001, *range(30)] if seed % 2 else list(range(40))
    names = [f"s{tag}" for tag in dict.fromkeys(tags)]
    for step in range(40):
        now, chosen_names = 100.0 + step, random.sample(names, random.randrange(1, 12))
        update = entries(random, chosen_names)
        balancer.handle(full_list(*update) if random.random() < 0.1 else changes(*update), now)
        if random.random() < 0.3:
            number = random.choice([1, 2])
            balancer.handle(api.PeerMessage(number, row(random, random.sample(tags, 9))), now)
        if random.random() < 0.2:
            balancer.estimates.kind_sizes = {0: 1.0, 1: random.choice([1.0, 0.4])}
            balancer.resize_kinds()
        # The ring applies weights with the next change of the list: make one.
        balancer.handle(changes(api.Server(f"new-{step}")), now)
        check_list(balancer)


def check_indexes(balancer: Balancer, now: float) -> None:
    """Check the values in the indexes against those of the servers."""
    for number, servers in balancer.slices.items():
        index = balancer.large.index(number, now)
        assert index and set(index.records) == set(servers)
        for server, record in index.records.items():
            cold, weight = (
                balancer.estimates.is_in_slow_start(server, now),
                balancer.estimates.effective_weight(server, now),
            )
            assert record.load == server.in_flight + server.peers_in_flight
            assert record.utilization == (server.in_flight / server.capacity if server.in_flight else 0.0)
            assert record.weight / WEIGHT_UNIT == pytest.approx(weight, rel=0.025)
            if not cold:
                assert record.usable == (server.retry_at <= now)
                assert server not in balancer.large.spares.records
            else:
                assert not record.usable or (
                    server in balancer.own_slice and balancer.refill_budget(server, now + 0.01)
                )
            if cold and server in balancer.own_slice:
                spare = balancer.large.spares.is_usable(server)
                assert not spare or (balancer.refill_budget(server, now + 0.01) and server.tokens > 1.9)
        for kind in index.kinds.values():
            records = [record for record in index.records.values() if record.usable and record.kind is kind]
            assert (kind.load, kind.weight) == (sum(s.load for s in records), sum(s.weight for s in records))


@pytest.mark.parametrize("seed", range(6))
def test_after_any_history_the_indexes_hold_the_present_values(seed: int) -> None:
    random, now, balancer = Random(seed), 100.0, Balancer(settings(proxies=2), 7, 100.0)
    balancer.start(now)
    names = [f"s{n}" for n in range(60)]
    balancer.handle(full_list(*(api.Server(name, kind=n % 2) for n, name in enumerate(names))), now)
    balancer.handle(api.PeerMessage(1, row(random, list(range(60)))), now)
    balancer.estimates.fleet_rate, in_flight, timers, number = (
        900.0,
        list[tuple[int, int, str]](),
        list[int](),
        0,
    )
    results = [*[api.Result.OK] * 9, *[r for r in api.Result if r is not api.Result.CANCELLED]]
    for _ in range(500):
        now += random.choice([0.0, 0.001, 0.02])
        choice, actions = random.random(), list[api.Action]()
        if choice < 0.45:
            number += 1
            key, work = random.choice([None, f"k{random.randrange(40)}"]), random.choice([None, 0.01, 0.3])
            actions = balancer.handle(api.Request(number, random.randrange(5), 2.0, key, work=work), now)
        elif choice < 0.8 and in_flight:
            id_, attempt, name = in_flight.pop(random.randrange(len(in_flight)))
            result, took = random.choice(results), random.choice([0.05, 0.1, 0.9])
            actions = balancer.handle(api.Outcome(id_, attempt, name, result, took, False), now)
        elif choice < 0.92 and timers:
            actions = balancer.handle(api.TimerFired(timers.pop(random.randrange(len(timers)))), now)
        elif choice < 0.95:
            balancer.handle(api.PeerMessage(1, row(random, random.sample(range(60), 20))), now)
        elif choice < 0.97:
            name = random.choice(names)
            up_since, weight = random.choice([None, now - 1.0, now - 7.99]), random.choice([1.0, 2.0])
            balancer.handle(changes(api.Server(name, up_since=up_since, weight=weight)), now)
        else:
            actions = balancer.handle(api.TimerFired(0), now)
        for action in actions:
            if isinstance(action, api.Send):
                sent = balancer.open_requests[action.id].attempts_sent - 1
                in_flight.append((action.id, sent, action.server))
            elif isinstance(action, api.SetTimer) and action.token:
                timers.append(action.token)
        check_indexes(balancer, now)
    assert len(in_flight) > 10 and number > 100


def test_proxies_without_peer_rows_do_not_go_through_the_list_together() -> None:
    # Guards against proxies that all send to one server at a time because they follow the list's order.
    limits, names, now = api.Limits(max_attempts=4), [f"s{n}" for n in range(60)], 100.0
    fleet = [Balancer(settings(me=n, proxies=60, limits=limits), 1000 + n, now) for n in range(60)]
    for balancer in fleet:
        balancer.start(now)
        balancer.handle(full_list(*map(api.Server, names)), now)
    for request in range(1, 9):
        if request == 5:  # a change assigns all servers anew
            names.append("s60")
            for balancer in fleet:
                balancer.handle(changes(api.Server("s60")), now)
        sent = [sends(balancer.handle(api.Request(request, 0, 2.0), now))[0] for balancer in fleet]
        assert max(Counter(send.server for send in sent).values()) <= 8  # 4 to 6 by chance
        for balancer, send in zip(fleet, sent, strict=True):
            balancer.handle(outcome(send, 0, api.Result.OK), now)


def test_cold_servers_get_requests_among_many_without_peer_rows() -> None:
    # Guards against cold servers that get nothing because their budgets are rechecked at each window.
    names, limits = [f"s{n}" for n in range(30)], api.Limits(max_attempts=4)
    balancer = Balancer(settings(proxies=40, limits=limits), 7, 100.0)
    balancer.start(100.0)
    balancer.handle(full_list(*map(api.Server, names)), 100.0)
    balancer.handle(changes(*(api.Server(name, up_since=103.0) for name in names[:10])), 103.0)
    chosen = set[str]()
    for request in range(1, 61):  # three a window: a round takes longer than a budget stays valid
        now = 104.0 + request / 12
        if request % 3 == 0:
            balancer.handle(api.TimerFired(0), now)
        (send,) = sends(balancer.handle(api.Request(request, 0, 2.0), now))
        balancer.handle(outcome(send, 0, api.Result.OK), now)
        chosen.add(send.server)
    assert len(chosen & set(names[:10])) == 10
