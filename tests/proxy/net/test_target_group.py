"""Discovery's list and the peers' datagrams: valid and invalid input, split anywhere, and its effects."""

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
    reported: dict[str, tuple[Any, bool]] = {}
    loop: Any = Clock()
    made = TargetGroup(
        loop, ("127.0.0.1", 1), READER, lambda n, a, up: reported.update({n: (a, up)}), lists.append
    )
    return made, lists, reported


def chunked(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(body), body)


@seeded
@given(places)
def test_lines_are_complete_however_they_are_split(where: list[int]) -> None:
    body = news(4, endpoint("s1", 1), snapshot=True) + b"\n" + news(5, endpoint("s1", 1, status="draining"))
    lines: list[bytes] = []
    watch = DiscoveryWatch(b"GET", 1 << 20, lines.append, lambda why: None)
    Wire(watch)
    for piece in cut(chunked(body), where):
        watch.data_received(piece)
    assert lines == body.split(b"\n")[:-1]


@seeded
@given(garbage, places, st.booleans())
def test_invalid_data_from_discovery_only_ends_the_watch(data: bytes, where: list[int], framed: bool) -> None:
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
def test_an_invalid_entry_leaves_the_list_unchanged(change: dict[str, Any]) -> None:
    made, lists, reported = group()
    with pytest.raises(EndpointListError):
        made.apply_list({"index": 1, "endpoints": [endpoint("s0", 1), {**endpoint("s1", 1), **change}]})
    assert not lists and not reported and not made.index


def test_targets_absent_from_a_complete_list_are_removed_and_start_times_kept() -> None:
    made, lists, reported = group()
    made.apply_list(json.loads(news(1, endpoint("s1", 1), endpoint("s2", 2), snapshot=True)), cached=True)
    made.apply_list(
        json.loads(news(2, endpoint("s1", 1, since_ms=1_700_000_000_500, zone="b"), snapshot=True))
    )
    assert reported == {"s1": (("127.0.0.1", 1), True), "s2": (None, False)}
    assert [n.kind for n in lists] == [api.ListKind.CACHED, api.ListKind.COMPLETE]
    assert lists[1].servers[0].up_since == 1_700_000_000.5 and lists[1].servers[0].zone == 1
    made.apply_list(json.loads(news(3, endpoint("s1", 1, status="removed", address=None))))
    assert not made.servers and reported["s1"] == (None, False)


def test_a_requested_list_is_reported_in_its_state_at_the_callback() -> None:
    # Guards against an empty list reported after the first one, because it was requested before that was
    # read: forty proxies rejected all requests from then on.
    made, lists, _ = group()
    clock: Any = made.loop
    made.refresh()
    made.apply_list(json.loads(news(1, endpoint("s1", 1), snapshot=True)), cached=True)
    clock.advance(0.0)
    assert [(n.kind, len(n.servers)) for n in lists] == [
        (api.ListKind.CACHED, 1),
        (api.ListKind.COMPLETE, 1),
    ]


def test_an_unknown_list_is_not_reported_as_an_empty_list() -> None:
    made, lists, _ = group()
    clock: Any = made.loop
    made.refresh()
    clock.advance(0.0)
    assert not lists


def test_a_restarted_target_is_removed_before_it_is_added() -> None:
    # Connections to the old process are useless: each would reset an attempt.
    made, _, _ = group()
    reported: list[bool] = []
    made.on_target = lambda name, address, up: reported.append(up)
    for since in (5000, 5000, 9000):
        made.apply_list(json.loads(news(1, endpoint("s1", 1, since_ms=since))))
    assert reported == [True, True, False, True]


@pytest.mark.parametrize("text", ["1.2.3.4", "1.2.3:80", "1.2.3.400:80", "a.b.c.d:80", "1.2.3.4:99999", 7])
def test_only_numeric_addresses_with_a_port_are_accepted(text: Any) -> None:
    with pytest.raises(ValueError, match="address"):
        parse_address(text)


def test_a_broken_watch_is_renewed_from_the_current_version() -> None:
    async def work() -> None:
        requests: list[str] = []
        second = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append((await reader.readline()).decode().split()[1])
            if len(requests) == 1:
                writer.write(chunked(news(41, endpoint("s1", 1), snapshot=True)))
            elif len(requests) == 2:
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
        # The content of an invalid line is unknown: the complete list is requested after it.
        assert requests[:3] == [f"/discovery/hosts?watch=1&from={n}" for n in (0, 41, 0)]
        assert lists[0].version == 41

    run(work())


def test_discovery_at_a_new_address_is_asked_for_the_complete_list() -> None:
    # The versions at the two addresses may differ, and later lines of the old one are ignored.
    async def work() -> None:
        requests: list[str] = []
        received = asyncio.Event()
        writers: list[asyncio.StreamWriter] = []

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            requests.append((await reader.readline()).decode().split()[1])
            writers.append(writer)
            writer.write(chunked(news(41 if len(requests) == 1 else 7, endpoint("s1", 1), snapshot=True)))

        servers = [await asyncio.start_server(serve, "127.0.0.1", 0) for _ in range(2)]
        made, lists, _ = group()
        made.on_list = lambda news: (lists.append(news), received.set())  # type: ignore[func-returns-value]
        made.loop, made.address = asyncio.get_running_loop(), servers[0].sockets[0].getsockname()
        made.start()
        for _ in range(2):
            await received.wait()
            received.clear()
            made.set_address(servers[1].sockets[0].getsockname())
        assert requests == ["/discovery/hosts?watch=1&from=0"] * 2
        assert [news.version for news in lists] == [41, 7] and made.index == 7
        made.stop()
        for writer in writers:
            writer.close()

    run(work())


def _identity(protocol: asyncio.DatagramProtocol) -> asyncio.DatagramProtocol:
    return protocol


def test_datagrams_are_identified_by_their_sender() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        received: asyncio.Queue[tuple[int, bytes]] = asyncio.Queue()
        proxies = [
            PeerDatagrams(i, [], None, lambda n, data: received.put_nowait((n, data)), loop.time)
            for i in range(2)
        ]
        stranger = asyncio.DatagramProtocol()
        here = ("127.0.0.1", 0)
        made = [
            await loop.create_datagram_endpoint(partial(_identity, p), here) for p in (*proxies, stranger)
        ]
        ends = [transport for transport, _ in made]
        addresses = [end.get_extra_info("sockname")[:2] for end in ends[:2]]
        for proxy in proxies:
            proxy.peers, proxy.numbers = addresses, {address: n for n, address in enumerate(addresses)}
        ends[2].sendto(b"foreign", addresses[1])
        ends[0].sendto(b"x" * 300, addresses[1])
        proxies[0].send_datagram(1, b"y" * 257)  # a datagram above the size limit is never sent
        proxies[0].send_datagram(None, b"row")
        assert await received.get() == (0, b"row") and received.empty()
        for end in ends:
            end.close()

    run(work())
