"""Tests of rows of both versions, the peers' loads from them, and the schedule of sending them."""

from __future__ import annotations

import struct
from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core.balancing.records import Backend
from firvane.proxy.routing.peer_load import EXPIRY_ROWS, MAX_NAMES, PeerLoads
from firvane.proxy.routing.row_codec import (
    FLAG_ASK_ROWS,
    FLAG_READS_V2,
    MAX_ROW_BYTES,
    RowEncoder,
    RowHeader,
    pack_v1,
    pack_v2,
    unpack,
)
from firvane.proxy.routing.send_schedule import (
    FAR_PEERS_PER_WINDOW,
    MAX_FULL_MESH,
    NEAR_PEERS,
    ROUND_WINDOWS,
    SILENT_ROUNDS,
    SendSchedule,
)
from firvane.proxy.routing.server_names import ServerNames, long_name
from tests.proxy.net.helpers import garbage, seeded
from tests.proxy.routing.samples import count_operations, fleet, make_server

HEADER = RowHeader(FLAG_ASK_ROWS, 2, 1_700_000_000_123, 70_000, 12.5, 30.0, 31.0, 99.0, 41)


def decode_v1_only(payload: bytes) -> tuple[float | int, list[tuple[int, int]]]:
    """Decode a row as proxies did before version 2: return its flags and its entries."""
    _, flags, *_, count = (fields := struct.Struct("<BBBQHffffB")).unpack_from(payload)
    out = list(struct.Struct("<HB").iter_unpack(payload[fields.size :]))
    if payload[0] != 1 or len(out) != count:
        raise ValueError("not a row")
    return flags, out


def peer_loads(servers: list[Backend]) -> PeerLoads:
    made = PeerLoads()
    for server in servers:
        made.add_server(server)
    return made


def test_rows_are_decoded_as_sent_and_old_proxies_read_version_1() -> None:
    row = pack_v2(HEADER, True, [(5, 3), (1 << 31, 999)], [(1 << 63, 7)])
    assert unpack(row, 8.0)[1:] == (FLAG_ASK_ROWS | 8, 2, HEADER.sequence, 0xFFFF, 12.5, 30.0, 31.0, 99.0,
                                    8.0, 41, True, [(5, 3), (1 << 31, 255)], [(1 << 63, 7)])  # fmt: skip
    with pytest.raises((ValueError, struct.error)):
        decode_v1_only(row)
    flags, entries = decode_v1_only(old := pack_v1(HEADER, [(n << 16 | n % 75, 3) for n in range(150)]))
    assert (
        len(old) <= MAX_ROW_BYTES
        and flags == FLAG_ASK_ROWS | FLAG_READS_V2
        and entries == [(n, 6) for n in range(70)]
    )
    decoded = unpack(old, 8.0)
    assert (
        decoded.in_flight == entries
        and decoded.reads_v2
        and decoded.is_full
        and decoded.slice_in_flight == -1
    )
    schedule = SendSchedule(0, 3)  # version 2 goes only to peers that have shown that they read it
    schedule.record_version(1, decoded.reads_v2)
    schedule.record_version(2, unpack(row, 1.0).reads_v2)
    assert schedule.all_read_v2([1, 2]) and not schedule.all_read_v2([1, 3])
    # Rolled back to the old program.
    schedule.record_version(2, unpack(old[:1] + bytes([FLAG_ASK_ROWS]) + old[2:], 8.0).reads_v2)
    assert not schedule.all_read_v2([1, 2]) and schedule.all_read_v2([1])


@seeded
@given(garbage)
def test_invalid_and_truncated_rows_are_rejected(data: bytes) -> None:
    loads, row = PeerLoads(), pack_v2(HEADER, True, [(5, 3)], [(7, 1)])
    for payload in (data, b"\x01" + data, b"\x02" + data, row[: len(data) % len(row)]):
        try:
            loads.apply_row(3, unpack(payload, 1.0))
        except (ValueError, struct.error):
            continue
        assert len(payload) <= MAX_ROW_BYTES
    for number in range(30):  # the names kept for one sender are bounded
        loads.apply_row(1, unpack(pack_v2(HEADER, False, [(number * 40 + i, 1) for i in range(40)], []), 1.0))
    assert len(loads.senders[1].counts) <= MAX_NAMES


def test_servers_with_the_same_name_are_distinguished_and_a_shared_name_is_divided() -> None:
    sharing, other = [make_server(1, salt=77), make_server(2, salt=77)], make_server(3, salt=78)
    assert long_name(sharing[0]) != long_name(sharing[1])
    loads = peer_loads([*sharing, other])
    sharing[0].in_flight, sharing[1].in_flight, other.in_flight = 9, 2, 4
    loads.apply_row(1, unpack(RowEncoder().row(HEADER, [*sharing, other], loads.names, {1}), 1.0))
    assert [s.peers_in_flight for s in (*sharing, other)] == [9, 2, 4]
    # A sender that knows only one of the two uses its short name, which is ambiguous here.
    loads.apply_row(1, unpack(RowEncoder().row(HEADER, sharing[:1], ServerNames(), {1}), 2.0))
    assert sorted(s.peers_in_flight for s in sharing) == [4, 5] and other.peers_in_flight == 0
    loads.apply_row(2, unpack(pack_v1(HEADER, [(78, 6), (77, 4)]), 1.0))
    assert sorted(s.peers_in_flight for s in sharing) == [6, 7] and other.peers_in_flight == 6
    loads.remove_server(sharing[1])
    assert sharing[0].peers_in_flight == 13 and sharing[1].peers_in_flight == 0


@pytest.mark.parametrize("busy", [30, 45, 46, 300])
def test_a_row_keeps_within_its_size_and_all_counts_are_sent_in_turn(busy: int) -> None:
    random, servers, encoder, error, out, size = Random(5), fleet(400), RowEncoder(), 0, 0, 0
    loads = peer_loads(servers)
    for number in range(120):
        for server in random.sample(servers[:busy], 8):
            server.in_flight = random.choice([0, 1, 2, 5])
        row = encoder.row(HEADER, servers, loads.names, {1})
        assert len(row) <= MAX_ROW_BYTES
        if random.random() > 0.05:
            loads.apply_row(1, unpack(row, 1.0))
        if number > 60:
            error, out, size = (error + sum(abs(s.peers_in_flight - s.in_flight) for s in servers),
                                out + sum(s.in_flight for s in servers), size + len(row))  # fmt: skip
    assert error < 0.05 * out  # 5% of the rows are lost
    assert busy != 30 or size / 59 < 100  # delta rows, where full ones have 150 bytes
    assert unpack(encoder.row(HEADER, servers[:20], loads.names, {1, 2}), 1.0).is_full  # for new receivers
    for server in servers:
        server.in_flight = 0
    for _ in range(EXPIRY_ROWS + 10):
        loads.apply_row(1, unpack(encoder.row(HEADER, servers, loads.names, {1, 2}), 1.0))
    assert not any(s.peers_in_flight for s in servers) and not loads.sums


@seeded
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 9), st.integers(0, 3)), max_size=60))
def test_after_any_history_loads_are_those_of_the_last_rows(steps: list[tuple[int, int, int]]) -> None:
    """Servers and peers come and go; one peer sends rows of version 1."""
    servers = [make_server(n, salt=n if n % 4 else 1 << 16) for n in range(10)]
    loads, listed, expected = PeerLoads(), set[Backend](), dict[int, Counter[int]]()
    for step, number, count in steps:
        server, peer = servers[number], number % 3
        if step == 0:
            listed.add(server)
            loads.add_server(server)
        elif step == 1:
            listed.discard(server)
            loads.remove_server(server)
        elif step == 2:
            expected.pop(peer, None)
            loads.remove_peer(peer)
        else:
            out = {s.id_hash: count for s in servers[number : number + 4] if count}
            pairs, expected[peer] = list(out.items()), Counter()
            for salt, each in pairs:
                expected[peer][salt if peer else -1 - (salt & 0xFFFF)] += each
            loads.apply_row(
                peer, unpack(pack_v2(HEADER, True, pairs, []) if peer else pack_v1(HEADER, pairs), 1.0)
            )
    expected_loads = Counter[Backend]()
    for name, total in sum(expected.values(), Counter[int]()).items():
        servers_named = [
            s for s in listed if (s.id_hash == name if name >= 0 else s.id_hash & 0xFFFF == -1 - name)
        ]
        for i, server in enumerate(sorted(servers_named, key=lambda s: s.entry.id)):
            expected_loads[server] += total // len(servers_named) + (i < total % len(servers_named))
    assert {s: s.peers_in_flight for s in servers if s.peers_in_flight} == +expected_loads


def test_the_cost_of_a_row_depends_on_its_entries_and_not_on_the_fleet() -> None:
    costs = []
    for count in (100, 5000):
        loads = peer_loads(servers := fleet(count))
        row = pack_v2(HEADER, True, [(s.id_hash, 3) for s in servers[:45]], [])
        costs.append(count_operations(lambda row=row, loads=loads: loads.apply_row(1, unpack(row, 1.0))))
    assert costs[1] == costs[0] < 45 * 120


@pytest.mark.parametrize("proxies", [3, MAX_FULL_MESH, 30, 60, 500])
def test_each_proxy_sends_and_receives_a_bounded_number_of_rows_and_all_reach_all(proxies: int) -> None:
    zones = {number: number % 3 for number in range(proxies) if number % 7 or number < 7}
    schedule = {number: SendSchedule(number, proxies) for number in zones}
    last, worst = dict[tuple[int, int], int](), 0
    for sender in schedule.values():
        sender.update_near_peers(zones)
        assert sender.is_full_mesh == (proxies <= MAX_FULL_MESH)
    for window in range(0 if proxies <= MAX_FULL_MESH else 60):
        received = Counter[int]()
        for me, sender in schedule.items():
            sent = [*sender.near_peers_at(window), *sender.far_peers_at(window)]
            assert len(sent) == len(set(sent)) and me not in sent
            received.update(sent)
            for peer in sent:
                gap = window - last.get((me, peer), 0)
                assert peer not in schedule or SILENT_ROUNDS * (gap - 1) <= schedule[peer].timeout_windows(me)
                last[me, peer] = window
        worst = max(worst, *received.values())
    assert (
        worst <= NEAR_PEERS + FAR_PEERS_PER_WINDOW and NEAR_PEERS / ROUND_WINDOWS + FAR_PEERS_PER_WINDOW <= 28
    )
    assert proxies <= MAX_FULL_MESH or all((me, n) in last for me in zones for n in range(proxies) if me != n)
