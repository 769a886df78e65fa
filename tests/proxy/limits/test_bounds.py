"""The bounds at work on connections: the account closes, nothing stalls, nothing taken is lost."""

from __future__ import annotations

import asyncio
import errno
import socket
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core import interface as api
from firvane.core.body_leases import BodyLeases
from firvane.core.net.http_reader import MAX_BODY_BYTES
from firvane.core.net.request_scan import scan_is_retry, scan_tenant
from firvane.core.net.transport_pool import TransportPool
from firvane.core.terminations import Termination
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.limits.memory_account import MAX_UNLEASED_BODY_BYTES, MemoryUse
from firvane.proxy.net import listening_socket
from firvane.proxy.net.client_connection import ClientConnection
from firvane.proxy.net.connection_limiter import ConnectionLimiter
from firvane.proxy.net.discovery_watch import DiscoveryWatch
from firvane.proxy.net.endpoint_list import EndpointListError, EndpointListReader
from firvane.proxy.net.listening_socket import SocketAcceptor
from firvane.proxy.net.managed_connection import BUSY
from firvane.proxy.net.peer_datagrams import DATAGRAM_BURST, PeerDatagrams
from firvane.proxy.net.upstream_pool import Pool, Run
from tests.core.net.test_http import GET, POST, Taken, answer, listener, statuses, turn
from tests.helpers import settings
from tests.proxy.net.helpers import (
    PAY,
    READ,
    Clock,
    Ended,
    Wire,
    endpoint,
    make_monitor,
    make_places,
    run,
    seeded,
)
from tests.proxy.net.test_upstream_pool import connected, unwired
from tests.proxy.net.test_upstream_pool import request as a_request

LARGE = POST.replace(b"Length: 4", b"Length: 20000").replace(b"body", b"")


def make_limiter(places: int = 100) -> tuple[ConnectionLimiter, Taken, Clock]:
    clock, taken = Clock(), Taken()
    made = ConnectionLimiter(clock, taken, settings(classes=(READ, PAY)), make_monitor(clock, places))  # type: ignore[arg-type]
    made.ready = True
    return made, taken, clock


class Crowd:
    """Some clients on one limiter, moved by a test's steps; every request has an id of its own."""

    def __init__(self) -> None:
        self.limiter, self.taken, self.clock = make_limiter()
        self.limiter.monitor.leases = BodyLeases(2 * (MAX_BODY_BYTES + 1), MAX_BODY_BYTES + 1)
        self.wires = [Wire(self.limiter.accept()) for _ in range(4)]
        self.number = 0

    def ask(self, wire: Wire, form: bytes, times: int, cut: int) -> None:
        data = b""
        for _ in range(times):
            self.number += 1
            data += form.replace(b"9b1f", b"%x" % self.number)
        data += b"x" * (20000 if form is LARGE else 0)
        for start in range(0, len(data), cut):
            if not wire.paused and not wire.closed:  # as the loop does: nothing comes while reading is paused
                wire.protocol.data_received(data[start : start + cut])

    def open_flows(self) -> list[Any]:
        return [flow for flow, _ in self.taken.flows if flow.client.flow is flow]

    def step(self, kind: str, which: int, size: int) -> None:
        wire = self.wires[which % len(self.wires)]
        if kind == "get" and not wire.closed:
            self.ask(wire, GET, 1 + size % 5, 1 + size)
        elif kind == "post" and not wire.closed:
            self.ask(wire, LARGE, 1, 1000 + size)
        elif kind == "answer" and (flows := self.open_flows()):
            flow = flows[which % len(flows)]
            (flow.client.on_response(answer(b"y" * size)) if size % 3 else flow.client.on_rejected(0.1))
        elif kind == "stick":
            wire.stuck = True
        elif kind == "unstick" and wire.buffered:
            wire.unstick()
        elif kind == "close":
            wire.close()
        elif kind == "shut":
            self.limiter.shed((1.0,) if size % 2 else (0.0,), 0.1)
        elif kind == "turn":
            self.clock.turn()
        assert all(held >= 0 for held in self.limiter.account.bytes_by_use)
        assert sum(self.limiter.account.bytes_by_use) == self.limiter.account.used_bytes


KINDS = ["get", "get", "post", "answer", "answer", "stick", "unstick", "close", "shut", "turn"]


@seeded
@given(st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 20), st.integers(1, 3000)), max_size=50))
def test_whatever_comes_in_whatever_order_the_account_closes(steps: list[tuple[str, int, int]]) -> None:
    crowd = Crowd()
    for step in steps:
        crowd.step(*step)
    for wire in crowd.wires:
        if wire.buffered:
            wire.unstick()
        wire.stuck = False
    for _ in range(400):  # whoever is still here is answered, whatever waited goes on: nothing stalls
        crowd.clock.turn()
        for flow in crowd.open_flows():
            flow.client.on_response(answer())
    for wire in crowd.wires:
        assert wire.closed or not (wire.protocol.unparsed or wire.paused or wire.protocol.queued)
    taken = len(crowd.taken.flows)
    left = len(crowd.taken.left)
    assert sum(status in (200, 503) for wire in crowd.wires for status in statuses(wire)) >= taken - left
    account = crowd.limiter.account
    assert (
        account.used_bytes
        == account.bytes_by_use[MemoryUse.CLIENTS] + account.bytes_by_use[MemoryUse.READING]
    )
    for wire in crowd.wires:
        wire.close()
    assert account.used_bytes == 0 and not any(account.bytes_by_use)
    assert not crowd.limiter.monitor.leases.holders and not crowd.limiter.monitor.leases.queue
    assert crowd.limiter.monitor.descriptors.open[Use.CLIENTS] == 0 and not crowd.limiter.open_ids


def test_large_bodies_wait_for_a_lease_and_go_on_in_order() -> None:
    made, taken, _ = make_limiter()
    made.monitor.leases = BodyLeases(1, 1)
    wires = [Wire(made.accept()) for _ in range(3)]
    for n, wire in enumerate(wires):
        wire.protocol.data_received(LARGE.replace(b"9b1f", b"%d" % n) + b"x" * (MAX_UNLEASED_BODY_BYTES + 1))
    assert [wire.paused for wire in wires] == [False, True, True]
    wires[0].protocol.data_received(b"x" * (20000 - MAX_UNLEASED_BODY_BYTES - 1))
    assert len(taken.flows) == 1
    wires[0].protocol.on_response(answer())
    assert [wire.paused for wire in wires] == [False, False, True]
    wires[1].close()
    assert not wires[2].paused


def test_a_large_answer_waits_for_a_lease_too() -> None:
    pools = unwired(Clock())
    pools.monitor.leases = BodyLeases(1, 1)
    pool, wires, ended = Pool("s"), [], []
    for _ in range(2):
        connection = connected(pools, pool)
        wires.append(Wire(connection))
        ended.append(Ended(1001.0))
        connection.send(Run(a_request(), pool, ended[-1]))
        connection.data_received(
            b"HTTP/1.1 200 OK\r\nContent-Length: 20000\r\n\r\n" + b"x" * (MAX_UNLEASED_BODY_BYTES + 1)
        )
    account = pools.monitor.account
    assert [wire.paused for wire in wires] == [False, True] and account.bytes_by_use[
        MemoryUse.ANSWERS
    ] > 2 * MAX_UNLEASED_BODY_BYTES
    wires[0].protocol.data_received(b"x" * (20000 - MAX_UNLEASED_BODY_BYTES - 1))
    assert ended[0].endings == [Termination.SERVED] and not wires[1].paused
    for wire in wires:
        wire.close()
    assert account.used_bytes == 0 and not pools.monitor.leases.holders


def test_nothing_is_taken_on_while_the_account_is_pressed() -> None:
    made, wire, taken = listener()
    made.context.account.under_pressure = True
    made.data_received(GET)
    made.data_received(POST)  # one with a body is read first
    for _ in range(3):
        turn(made)
    assert statuses(wire) == [503, 503] and not taken.flows and not wire.closed
    made.context.account.under_pressure = False
    made.data_received(GET)
    assert len(taken.flows) == 1


@pytest.mark.parametrize(
    ("data", "tenant"),
    [
        (GET, b"acme"),
        (GET.replace(b"X-Caller: acme\r\n", b""), b""),
        (GET + GET, None),
        (GET[:-1], None),
        (POST, None),
        (GET.replace(b"Host: app", b"content-length: 5"), None),
        (GET.replace(b"Host: app", b"Connection: close"), None),
        (GET.replace(b"HTTP/1.1", b"HTTP/1.0"), None),
        (b"GET /up HTTP/1.1\r\n\r\n", None),
        (b"rubbish\r\n\r\n", None),
    ],
)
def test_only_what_is_surely_one_request_without_a_body_is_refused_unread(
    data: bytes, tenant: bytes | None
) -> None:
    assert scan_tenant(data) == tenant
    assert scan_is_retry(GET) and not scan_is_retry(GET.replace(b"Again: 1", b"Again: 0"))


def test_marked_retries_are_refused_where_they_come_too_late_in_any_case() -> None:
    made, wire, taken = listener()
    made.context.shed((0.0001,), 1.2, again=True)
    for n, form in enumerate((GET, GET.replace(b"X-Again: 1", b"X-Again: 0"))):
        made.data_received(form.replace(b"9b1f", b"%d" % n))
        turn(made)
    assert statuses(wire) == [503] and len(taken.flows) == 1


def test_who_waits_for_a_refusal_is_neither_idle_nor_in_the_way() -> None:
    # Nothing of its request is kept, so it looked idle, and was closed before its answer: a request lost.
    made, wire, _ = listener()
    made.context.shed((1.0,), 0.2)
    made.data_received(GET)
    make_places(made.context.monitor, 1)
    made.idle_since -= 100.0
    made.expires_at = 0.0
    made.context.sweep()
    made.context.close_idle()
    made.context._evict()
    assert not wire.closed and made.retention_priority()[0] == BUSY
    turn(made)
    assert statuses(wire) == [503] and made.is_idle()


def test_what_the_decisions_turn_away_never_reaches_them() -> None:
    made, wire, taken = listener()
    made.context.settings = settings(limits=api.Limits(max_attempts=3, retry_after=True, max_retry_after=1.2))
    made.context.shed((0.5,), 0.2)
    for n in range(6):
        made.data_received(GET.replace(b"9b1f", b"%d" % n))
        turn(made)
        if made.flow:
            made.on_response(answer())
    assert statuses(wire) == [200, 503] * 3 and len(taken.flows) == 3
    assert wire.written.count(b"Retry-After: ") == 3 and made.context.gate.shed == 3


def test_a_list_or_a_line_that_does_not_fit_is_turned_down_whole() -> None:
    reader = EndpointListReader(("a",), ("big",), max_endpoints=3)
    entries = [endpoint(f"s{n}", 1000 + n) for n in range(4)]
    reader.read({"index": 1, "snapshot": True, "endpoints": entries[:3]})
    with pytest.raises(EndpointListError, match="4 endpoints"):
        reader.read({"index": 1, "snapshot": True, "endpoints": entries})
    lines, ends = list[bytes](), list[str]()
    watch = DiscoveryWatch(b"GET", 1000, lines.append, ends.append)
    Wire(watch)
    watch.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for _ in range(20):
        watch.data_received(b"40\r\n" + b"x" * 64 + b"\r\n")
    assert len(ends) == 1 and "1000 bytes" in ends[0] and not lines


def test_a_peer_that_floods_is_heard_no_more_than_its_rate() -> None:
    clock, heard = Clock(), list[bytes]()
    peers = PeerDatagrams(0, [("h", 1), ("h", 2)], None, lambda n, data: heard.append(data), clock.time)
    for _ in range(1000):
        peers.datagram_received(b"row", ("h", 2))
    assert len(heard) == DATAGRAM_BURST
    clock.advance(1.0)
    peers.datagram_received(b"row", ("h", 2))
    assert len(heard) == DATAGRAM_BURST + 1


def test_where_nobody_can_give_way_the_door_shuts_until_somebody_goes() -> None:
    made, _, clock = make_limiter(places=6)
    words = list[bool]()
    made.set_accepting = words.append
    wires = [Wire(made.accept()) for _ in range(6)]
    for n, wire in enumerate(wires):
        wire.protocol.data_received(GET.replace(b"9b1f", b"%d" % n))
    late = Wire(made.accept())  # accepted before the door could shut
    late.protocol.data_received(GET.replace(b"9b1f", b"late"))
    clock.advance(1.0)
    assert words == [False] and not any(wire.closed for wire in (*wires, late))
    late.protocol.on_response(answer())
    assert late.closed  # one more than there are places
    clock.advance(0.1)
    assert words == [False]
    wires[4].close()
    clock.advance(0.1)
    assert words == [False, True]


def test_newcomers_by_the_thousand_are_let_in_at_a_bounded_rate_and_usual_clients_stay() -> None:
    # Each newcomer had the least claim looked for among all: a storm of connects took the loop from everyone.
    made, _, clock = make_limiter(places=100)
    opened = [True]
    made.set_accepting = lambda come: opened.append(come)
    usual = [Wire(made.accept()) for _ in range(20)]
    for n, wire in enumerate(usual):
        for ask in range(2):
            wire.protocol.data_received(GET.replace(b"9b1f", b"%d-%d" % (n, ask)))
            wire.protocol.on_response(answer())
    came = 0
    for _ in range(500):  # 5 s
        while opened[-1]:
            Wire(made.accept())
            came += 1
        clock.advance(0.01)
    assert not any(wire.closed for wire in usual)
    assert came < 80 + 5.0 / 0.04 * (2 + 100 // 32) + 10
    assert len(made.connections) <= 101


def test_newcomers_wait_in_the_kernel_while_the_door_is_shut_and_no_descriptor_is_to_be_had(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        transports, came = TransportPool(loop), asyncio.Event()

        class Client(ClientConnection):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                came.set()

            def connection_lost(self, error: Exception | None) -> None: ...

        acceptor, shared = SocketAcceptor(loop, transports), make_limiter()[0]
        transports.start()
        await acceptor.open(("127.0.0.1", 0), lambda *kernel: Client(shared, *kernel))
        acceptor.set_accepting(False)
        newcomer = socket.create_connection(acceptor.address())
        await asyncio.sleep(0)
        assert not came.is_set()

        class Spent:
            """The listening socket of a process that has no descriptor left, once."""

            def __init__(self, sock: socket.socket) -> None:
                self.sock, self.tries = sock, 0

            def accept(self) -> Any:
                self.tries += 1
                if self.tries == 1:
                    raise OSError(errno.EMFILE, "too many open files")
                return self.sock.accept()

            def __getattr__(self, name: str) -> Any:
                return getattr(self.sock, name)

        spent = Spent(acceptor.sock)
        monkeypatch.setattr(acceptor, "sock", spent)
        monkeypatch.setattr(listening_socket, "ACCEPT_BACKOFF_S", 0.0)
        acceptor.set_accepting(True)
        await came.wait()
        assert spent.tries >= 2
        newcomer.close()
        acceptor.close()
        transports.close()

    run(work())


def test_who_has_asked_meanwhile_is_not_closed_as_idle() -> None:
    # At its limit the loop was late to read: a request that had come was lost with its idle connection.
    made, _, clock = make_limiter()
    came = [True, False]
    listeners = [made.accept(lambda n=n: not came[n]) for n in range(2)]
    wires = [Wire(listener) for listener in listeners]
    clock.advance(100.0)
    made.sweep()
    assert [wire.closed for wire in wires] == [False, True]
    make_places(made.monitor, 1)
    made._evict()
    assert not wires[0].closed
    came[0] = False
    made.sweep()
    assert wires[0].closed


def test_many_newcomers_become_connections_in_a_few_turns() -> None:
    # The loop's own server takes one a turn: at the limit most clients had left before their turn came.
    async def work() -> None:
        loop = asyncio.get_running_loop()
        transports, shared = TransportPool(loop), make_limiter(places=200)[0]
        transports.start()
        acceptor = SocketAcceptor(loop, transports)
        await acceptor.open(("127.0.0.1", 0), shared.accept)
        clients = [socket.create_connection(acceptor.address()) for _ in range(64)]
        loop_budget = 0
        while len(shared.connections) < 64:
            await asyncio.sleep(0)
            loop_budget += 1
        assert loop_budget < 32
        for client in clients:
            client.close()
        acceptor.close()
        transports.close()

    run(work())


def test_pressure_reaches_the_decisions_with_what_was_turned_away() -> None:
    made, _, clock = make_limiter()
    told = list[api.OverloadSignal]()
    made.monitor.report_pressure = told.append
    made.monitor.start()
    made.monitor.loop_budget.max_wait_s = 0.0
    for n in range(200):  # more than a line and the turns of a period hold
        Wire(made.accept()).protocol.data_received(GET.replace(b"9b1f", b"%d" % n))
    clock.advance(0.25)
    assert told and told[0].excess_fraction > 0 and sum(told[0].rejected_unseen) == made.gate.overflowed > 0
    clock.advance(5.0)
    assert told[-1].excess_fraction == 0.0
    count = len(told)
    clock.advance(5.0)
    assert len(told) == count  # a calm proxy has nothing to say
