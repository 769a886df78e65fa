"""Rows of both versions, what is made of them, and who hears them."""

from __future__ import annotations

import struct
from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core.balancing.records import Backend
from firvane.proxy.routing.peer_load import FORGOTTEN, MOST, Heard
from firvane.proxy.routing.row_codec import ASK, KNOWS, LARGEST, Head, Teller, pack_new, pack_old, unpack
from firvane.proxy.routing.send_schedule import ALL, FAR, NEAR, ROUND, SILENT, SendSchedule
from firvane.proxy.routing.server_names import Names, long_name
from tests.proxy.net.helpers import garbage, seeded
from tests.proxy.routing.samples import box, fleet, operations

HEAD = Head(ASK, 2, 1_700_000_000_123, 70_000, 12.5, 30.0, 31.0, 99.0, 41)


def read_as_before(payload: bytes) -> tuple[float | int, list[tuple[int, int]]]:
    """What proxies made of a row before there was a second version: its flags and its entries."""
    _, flags, *_, count = (fields := struct.Struct("<BBBQHffffB")).unpack_from(payload)
    out = list(struct.Struct("<HB").iter_unpack(payload[fields.size :]))
    if payload[0] != 1 or len(out) != count:
        raise ValueError("not a row")
    return flags, out


def heard(servers: list[Backend]) -> Heard:
    made = Heard()
    for server in servers:
        made.join(server)
    return made


def test_rows_come_back_as_sent_and_old_proxies_read_what_is_written_for_them() -> None:
    row = pack_new(HEAD, True, [(5, 3), (1 << 31, 999)], [(1 << 63, 7)])
    assert unpack(row, 8.0)[1:] == (ASK | 8, 2, HEAD.sequence, 0xFFFF, 12.5, 30.0, 31.0, 99.0, 8.0, 41, True,
                                    [(5, 3), (1 << 31, 255)], [(1 << 63, 7)])  # fmt: skip
    with pytest.raises((ValueError, struct.error)):
        read_as_before(row)
    flags, entries = read_as_before(old := pack_old(HEAD, [(n << 16 | n % 75, 3) for n in range(150)]))
    assert len(old) <= LARGEST and flags == ASK | KNOWS and entries == [(n, 6) for n in range(70)]
    news = unpack(old, 8.0)
    assert news.out == entries and news.knows and news.whole and news.held == -1
    schedule = SendSchedule(0, 3)  # the new version goes only to those who showed that they read it
    schedule.hear(1, news.knows)
    schedule.hear(2, unpack(row, 1.0).knows)
    assert schedule.all_read([1, 2]) and not schedule.all_read([1, 3])
    schedule.hear(2, unpack(old[:1] + bytes([ASK]) + old[2:], 8.0).knows)  # went back to the old program
    assert not schedule.all_read([1, 2]) and schedule.all_read([1])


@seeded
@given(garbage)
def test_what_is_no_row_is_refused_and_what_is_cut_too(data: bytes) -> None:
    reader, row = Heard(), pack_new(HEAD, True, [(5, 3)], [(7, 1)])
    for payload in (data, b"\x01" + data, b"\x02" + data, row[: len(data) % len(row)]):
        try:
            reader.hear(3, unpack(payload, 1.0))
        except (ValueError, struct.error):
            continue
        assert len(payload) <= LARGEST
    for number in range(30):  # and who names ever more boxes is kept small
        reader.hear(1, unpack(pack_new(HEAD, False, [(number * 40 + i, 1) for i in range(40)], []), 1.0))
    assert len(reader.senders[1].counts) <= MOST


def test_two_boxes_with_one_name_are_told_apart_and_an_old_row_is_divided() -> None:
    twins, other = [box(1, salt=77), box(2, salt=77)], box(3, salt=78)
    assert long_name(twins[0]) != long_name(twins[1])
    reader = heard([*twins, other])
    twins[0].in_flight, twins[1].in_flight, other.in_flight = 9, 2, 4
    reader.hear(1, unpack(Teller().row(HEAD, [*twins, other], reader.names, {1}), 1.0))
    assert [s.peers_in_flight for s in (*twins, other)] == [9, 2, 4]
    # A sender that knows one of the two calls it by the short name: nobody can tell whom it means.
    reader.hear(1, unpack(Teller().row(HEAD, twins[:1], Names(), {1}), 2.0))
    assert sorted(s.peers_in_flight for s in twins) == [4, 5] and other.peers_in_flight == 0
    reader.hear(2, unpack(pack_old(HEAD, [(78, 6), (77, 4)]), 1.0))
    assert sorted(s.peers_in_flight for s in twins) == [6, 7] and other.peers_in_flight == 6
    reader.leave(twins[1])
    assert twins[0].peers_in_flight == 13 and twins[1].peers_in_flight == 0


@pytest.mark.parametrize("busy", [30, 45, 46, 300])
def test_however_many_are_busy_a_row_keeps_within_its_bytes_and_all_is_told_in_turn(busy: int) -> None:
    random, boxes, teller, wrong, out, size = Random(5), fleet(400), Teller(), 0, 0, 0
    reader = heard(boxes)
    for number in range(120):
        for server in random.sample(boxes[:busy], 8):
            server.in_flight = random.choice([0, 1, 2, 5])
        row = teller.row(HEAD, boxes, reader.names, {1})
        assert len(row) <= LARGEST
        if random.random() > 0.05:
            reader.hear(1, unpack(row, 1.0))
        if number > 60:
            wrong, out, size = (wrong + sum(abs(s.peers_in_flight - s.in_flight) for s in boxes),
                                out + sum(s.in_flight for s in boxes), size + len(row))  # fmt: skip
    assert wrong < 0.05 * out  # as many rows are lost
    assert busy != 30 or size / 59 < 100  # changes, where whole rows have 150
    assert unpack(teller.row(HEAD, boxes[:20], reader.names, {1, 2}), 1.0).whole  # for whoever is new
    for server in boxes:
        server.in_flight = 0
    for _ in range(FORGOTTEN + 10):
        reader.hear(1, unpack(teller.row(HEAD, boxes, reader.names, {1, 2}), 1.0))
    assert not any(s.peers_in_flight for s in boxes) and not reader.sums


@seeded
@given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 9), st.integers(0, 3)), max_size=60))
def test_after_any_history_loads_are_what_the_last_rows_say(steps: list[tuple[int, int, int]]) -> None:
    """Boxes come and go, peers too; one of these writes the old rows."""
    boxes = [box(n, salt=n if n % 4 else 1 << 16) for n in range(10)]
    reader, here, said = Heard(), set[Backend](), dict[int, Counter[int]]()
    for what, number, count in steps:
        server, peer = boxes[number], number % 3
        if what == 0:
            here.add(server)
            reader.join(server)
        elif what == 1:
            here.discard(server)
            reader.leave(server)
        elif what == 2:
            said.pop(peer, None)
            reader.forget(peer)
        else:
            out = {s.id_hash: count for s in boxes[number : number + 4] if count}
            pairs, said[peer] = list(out.items()), Counter()
            for salt, each in pairs:
                said[peer][salt if peer else -1 - (salt & 0xFFFF)] += each
            reader.hear(peer, unpack(pack_new(HEAD, True, pairs, []) if peer else pack_old(HEAD, pairs), 1.0))
    loads = Counter[Backend]()
    for name, total in sum(said.values(), Counter[int]()).items():
        meant = [s for s in here if (s.id_hash == name if name >= 0 else s.id_hash & 0xFFFF == -1 - name)]
        for i, server in enumerate(sorted(meant, key=lambda s: s.entry.id)):
            loads[server] += total // len(meant) + (i < total % len(meant))
    assert {s: s.peers_in_flight for s in boxes if s.peers_in_flight} == +loads


def test_a_row_costs_by_its_entries_not_by_the_fleet() -> None:
    costs = []
    for count in (100, 5000):
        reader = heard(boxes := fleet(count))
        row = pack_new(HEAD, True, [(s.id_hash, 3) for s in boxes[:45]], [])
        costs.append(operations(lambda row=row, reader=reader: reader.hear(1, unpack(row, 1.0))))
    assert costs[1] == costs[0] < 45 * 120


@pytest.mark.parametrize("proxies", [3, ALL, 30, 60, 500])
def test_each_hears_and_sends_a_bounded_number_of_rows_and_all_hear_all(proxies: int) -> None:
    zones = {number: number % 3 for number in range(proxies) if number % 7 or number < 7}
    schedule = {number: SendSchedule(number, proxies) for number in zones}
    last, worst = dict[tuple[int, int], int](), 0
    for one in schedule.values():
        one.arrange(zones)
        assert one.everyone == (proxies <= ALL)
    for window in range(0 if proxies <= ALL else 60):
        hears = Counter[int]()
        for me, one in schedule.items():
            sent = [*one.near_now(window), *one.far_now(window)]
            assert len(sent) == len(set(sent)) and me not in sent
            hears.update(sent)
            for peer in sent:
                gap = window - last.get((me, peer), 0)
                assert peer not in schedule or SILENT * (gap - 1) <= schedule[peer].silent_after(me)
                last[me, peer] = window
        worst = max(worst, *hears.values())
    assert worst <= NEAR + FAR and NEAR / ROUND + FAR <= 28
    assert proxies <= ALL or all((me, n) in last for me in zones for n in range(proxies) if me != n)
