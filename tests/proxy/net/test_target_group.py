"""Discovery's list and the peers' datagrams: valid news however cut, garbage, and what follows from each."""

from __future__ import annotations

import asyncio
import json
from functools import partial
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core import interface as api
from firvane.core.address import parse_address
from firvane.proxy.net.discovery_watch import DiscoveryWatch
from firvane.proxy.net.endpoint_list import EndpointListError, EndpointListReader
from firvane.proxy.net.peer_datagrams import PeerDatagrams
from firvane.proxy.net.target_group import TargetGroup
from tests.proxy.net.helpers import Clock, Wire, cut, endpoint, garbage, places, run, seeded

READER = EndpointListReader(("a", "b"), ("big", "small"))


def news(index: int, *endpoints: dict[str, Any], snapshot: bool = False) -> bytes:
    return json.dumps({"index": index, "snapshot": snapshot, "endpoints": list(endpoints)}).encode() + b"\n"


def group() -> tuple[TargetGroup, list[api.ServerList], dict[str, tuple[Any, bool]]]:
    lists: list[api.ServerList] = []
    told: dict[str, tuple[Any, bool]] = {}
    loop: Any = Clock()
    made = TargetGroup(
        loop, ("127.0.0.1", 1), READER, lambda n, a, up: told.update({n: (a, up)}), lists.append
    )
    return made, lists, told


def chunked(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(body), body)


@seeded
@given(places)
def test_lines_come_out_whole_however_they_are_cut(where: list[int]) -> None:
    body = news(4, endpoint("s1", 1), snapshot=True) + b"\n" + news(5, endpoint("s1", 1, status="draining"))
    lines: list[bytes] = []
    watch = DiscoveryWatch(b"GET", 1 << 20, lines.append, lambda why: None)
    Wire(watch)
    for piece in cut(chunked(body), where):
        watch.data_received(piece)
    assert lines == body.split(b"\n")[:-1]


@seeded
@given(garbage, places, st.booleans())
def test_garbage_from_discovery_only_ends_the_watch(data: bytes, where: list[int], framed: bool) -> None:
    made, lists, _ = group()
    ends: list[str] = []

    watch = DiscoveryWatch(b"GET", 1 << 20, made._handle_line, ends.append)
    wire = Wire(watch)
    for piece in cut(chunked(data + b"\n") if framed else data, where):
        if not wire.closed:
            watch.data_received(piece)
    assert not lists and len(ends) <= 1


@pytest.mark.parametrize(
    "change",
    [
        {"address": "host:80"},
        {"address": None},
        {"status": "odd"},
        {"name": 3},
        {"name": "s\ud800"},
        {"name": "\udc00"},
        {"since_ms": -1},
        {"weight": "x"},
    ],
)
def test_a_bad_entry_leaves_the_list_as_it_was(change: dict[str, Any]) -> None:
    made, lists, told = group()
    with pytest.raises(EndpointListError):
        made.apply_list({"index": 1, "endpoints": [endpoint("s0", 1), {**endpoint("s1", 1), **change}]})
    assert not lists and not told and not made.index


def test_absent_from_a_snapshot_is_removed_and_unix_time_is_kept() -> None:
    made, lists, told = group()
    made.apply_list(json.loads(news(1, endpoint("s1", 1), endpoint("s2", 2), snapshot=True)), cached=True)
    made.apply_list(
        json.loads(news(2, endpoint("s1", 1, since_ms=1_700_000_000_500, zone="b"), snapshot=True))
    )
    assert told == {"s1": (("127.0.0.1", 1), True), "s2": (None, False)}
    assert [n.kind for n in lists] == [api.ListKind.CACHED, api.ListKind.COMPLETE]
    assert lists[1].servers[0].up_since == 1_700_000_000.5 and lists[1].servers[0].zone == 1
    made.apply_list(json.loads(news(3, endpoint("s1", 1, status="removed", address=None))))
    assert not made.servers and told["s1"] == (None, False)


def test_a_whole_list_that_is_asked_for_is_told_as_it_is_known_then() -> None:
    # Forty proxies asked before the list they were started with was read, were told an empty one after it,
    # and refused everything from then on.
    made, lists, _ = group()
    clock: Any = made.loop
    made.refresh()
    made.apply_list(json.loads(news(1, endpoint("s1", 1), snapshot=True)), cached=True)
    clock.advance(0.0)
    assert [(n.kind, len(n.servers)) for n in lists] == [
        (api.ListKind.CACHED, 1),
        (api.ListKind.COMPLETE, 1),
    ]


def test_no_list_is_not_an_empty_list() -> None:
    made, lists, _ = group()
    clock: Any = made.loop
    made.refresh()
    clock.advance(0.0)
    assert not lists


def test_a_restarted_target_is_gone_before_it_is_back() -> None:
    # Connections to the old process are of no use: each would cost an attempt a reset.
    made, _, _ = group()
    told: list[bool] = []
    made.on_target = lambda name, address, up: told.append(up)
    for since in (5000, 5000, 9000):
        made.apply_list(json.loads(news(1, endpoint("s1", 1, since_ms=since))))
    assert told == [True, True, False, True]


@pytest.mark.parametrize("text", ["1.2.3.4", "1.2.3:80", "1.2.3.400:80", "a.b.c.d:80", "1.2.3.4:99999", 7])
def test_only_numeric_addresses_with_a_port_are_taken(text: Any) -> None:
    with pytest.raises(ValueError, match="address"):
        parse_address(text)


def test_a_watch_that_breaks_is_taken_up_from_where_it_was() -> None:
    async def work() -> None:
        asked: list[str] = []
        second = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append((await reader.readline()).decode().split()[1])
            if len(asked) == 1:
                writer.write(chunked(news(41, endpoint("s1", 1), snapshot=True)))
            elif len(asked) == 2:
                writer.write(chunked(b"not json\n"))
            else:
                second.set()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        made, lists, _ = group()
        made.loop, made.address = asyncio.get_running_loop(), server.sockets[0].getsockname()
        follow = asyncio.create_task(made.follow())
        await second.wait()
        follow.cancel()
        server.close()
        # A line that made no sense may have held anything: after it the whole list is asked for.
        assert asked[:3] == [f"/discovery/hosts?watch=1&from={n}" for n in (0, 41, 0)]
        assert lists[0].version == 41

    run(work())


def test_discovery_that_moves_is_asked_for_the_whole_list_at_once() -> None:
    # The versions of the two need not match, and what the old one still says no longer counts.
    async def work() -> None:
        asked: list[str] = []
        heard = asyncio.Event()
        writers: list[asyncio.StreamWriter] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            asked.append((await reader.readline()).decode().split()[1])
            writers.append(writer)
            writer.write(chunked(news(41 if len(asked) == 1 else 7, endpoint("s1", 1), snapshot=True)))

        servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for _ in range(2)]
        made, lists, _ = group()
        made.on_list = lambda news: (lists.append(news), heard.set())  # type: ignore[func-returns-value]
        made.loop, made.address = asyncio.get_running_loop(), servers[0].sockets[0].getsockname()
        made.start()
        for _ in range(2):
            await heard.wait()
            heard.clear()
            made.set_address(servers[1].sockets[0].getsockname())
        assert asked == ["/discovery/hosts?watch=1&from=0"] * 2
        assert [news.version for news in lists] == [41, 7] and made.index == 7
        made.stop()
        for writer in writers:
            writer.close()

    run(work())


def _given(protocol: asyncio.DatagramProtocol) -> asyncio.DatagramProtocol:
    return protocol


def test_datagrams_are_told_apart_by_their_sender() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        heard: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        seats = [
            PeerDatagrams(i, [], None, lambda n, data: heard.put_nowait((n, data)), loop.time)
            for i in range(2)
        ]
        stranger = asyncio.DatagramProtocol()
        here = ("127.0.0.1", 0)
        made = [await loop.create_datagram_endpoint(partial(_given, p), here) for p in (*seats, stranger)]
        ends = [transport for transport, _ in made]
        addresses = [end.get_extra_info("sockname")[:2] for end in ends[:2]]
        for seat in seats:
            seat.peers, seat.numbers = addresses, {address: n for n, address in enumerate(addresses)}
        ends[2].sendto(b"foreign", addresses[1])
        ends[0].sendto(b"x" * 300, addresses[1])
        seats[0].send_datagram(1, b"y" * 257)  # one longer than the rules allow is never sent
        seats[0].send_datagram(None, b"row")
        assert await heard.get() == (0, b"row") and heard.empty()
        for end in ends:
            end.close()

    run(work())
