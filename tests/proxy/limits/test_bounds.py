"""Tests of the limits on connections: charges are released, nothing stalls, no accepted request is lost."""

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
from tests.core.net.test_http import GET, POST, RecordingEngine, answer, make_connection, statuses, turn
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
from tests.proxy.net.test_upstream_pool import make_pools, make_target_connection
from tests.proxy.net.test_upstream_pool import request as make_request

LARGE = POST.replace(b"Length: 4", b"Length: 20000").replace(b"body", b"")


def make_limiter(places: int = 100) -> tuple[ConnectionLimiter, RecordingEngine, Clock]:
    clock, taken = Clock(), RecordingEngine()
    limiter = ConnectionLimiter(clock, taken, settings(classes=(READ, PAY)), make_monitor(clock, places))  # type: ignore[arg-type]
    limiter.ready = True
    return limiter, taken, clock


class Clients:
    """Clients of one limiter, driven by the steps of a test; each request has its own id."""

    def __init__(self) -> None:
        self.limiter, self.taken, self.clock = make_limiter()
        self.limiter.monitor.leases = BodyLeases(2 * (MAX_BODY_BYTES + 1), MAX_BODY_BYTES + 1)
        self.wires = [Wire(self.limiter.accept()) for _ in range(4)]
        self.number = 0

    def send(self, wire: Wire, form: bytes, times: int, cut: int) -> None:
        data = b""
        for _ in range(times):
            self.number += 1
            data += form.replace(b"9b1f", b"%x" % self.number)
        data += b"x" * (20000 if form is LARGE else 0)
        for start in range(0, len(data), cut):
            if not wire.paused and not wire.closed:  # like the event loop: no data while reading is paused
                wire.protocol.data_received(data[start : start + cut])

    def open_flows(self) -> list[Any]:
        return [flow for flow, _ in self.taken.flows if flow.client.flow is flow]

    def step(self, kind: str, which: int, size: int) -> None:
        wire = self.wires[which % len(self.wires)]
        if kind == "get" and not wire.closed:
            self.send(wire, GET, 1 + size % 5, 1 + size)
        elif kind == "post" and not wire.closed:
            self.send(wire, LARGE, 1, 1000 + size)
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


STEP_KINDS = ["get", "get", "post", "answer", "answer", "stick", "unstick", "close", "shut", "turn"]


@seeded
@given(
    st.lists(st.tuples(st.sampled_from(STEP_KINDS), st.integers(0, 20), st.integers(1, 3000)), max_size=50)
)
def test_after_any_sequence_of_events_all_charges_are_released(steps: list[tuple[str, int, int]]) -> None:
    clients = Clients()
    for step in steps:
        clients.step(*step)
    for wire in clients.wires:
        if wire.buffered:
            wire.unstick()
        wire.stuck = False
    for _ in range(400):  # open requests are answered and waiting ones proceed: nothing stalls
        clients.clock.turn()
        for flow in clients.open_flows():
            flow.client.on_response(answer())
    for wire in clients.wires:
        assert wire.closed or not (wire.protocol.unparsed or wire.paused or wire.protocol.queued)
    taken = len(clients.taken.flows)
    left = len(clients.taken.left)
    assert sum(status in (200, 503) for wire in clients.wires for status in statuses(wire)) >= taken - left
    account = clients.limiter.account
    assert (
        account.used_bytes
        == account.bytes_by_use[MemoryUse.CLIENTS] + account.bytes_by_use[MemoryUse.READING]
    )
    for wire in clients.wires:
        wire.close()
    assert account.used_bytes == 0 and not any(account.bytes_by_use)
    assert not clients.limiter.monitor.leases.holders and not clients.limiter.monitor.leases.queue
    assert clients.limiter.monitor.descriptors.open[Use.CLIENTS] == 0 and not clients.limiter.open_ids


def test_large_bodies_wait_for_a_lease_and_proceed_in_order() -> None:
    limiter, taken, _ = make_limiter()
    limiter.monitor.leases = BodyLeases(1, 1)
    wires = [Wire(limiter.accept()) for _ in range(3)]
    for n, wire in enumerate(wires):
        wire.protocol.data_received(LARGE.replace(b"9b1f", b"%d" % n) + b"x" * (MAX_UNLEASED_BODY_BYTES + 1))
    assert [wire.paused for wire in wires] == [False, True, True]
    wires[0].protocol.data_received(b"x" * (20000 - MAX_UNLEASED_BODY_BYTES - 1))
    assert len(taken.flows) == 1
    wires[0].protocol.on_response(answer())
    assert [wire.paused for wire in wires] == [False, False, True]
    wires[1].close()
    assert not wires[2].paused


def test_a_large_response_waits_for_a_lease_too() -> None:
    pools = make_pools(Clock())
    pools.monitor.leases = BodyLeases(1, 1)
    pool, wires, ended = Pool("s"), [], []
    for _ in range(2):
        connection = make_target_connection(pools, pool)
        wires.append(Wire(connection))
        ended.append(Ended(1001.0))
        connection.send(Run(make_request(), pool, ended[-1]))
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


def test_no_request_is_accepted_while_the_memory_account_is_under_pressure() -> None:
    connection, wire, taken = make_connection()
    connection.context.account.under_pressure = True
    connection.data_received(GET)
    connection.data_received(POST)  # a request with a body is read before it is rejected
    for _ in range(3):
        turn(connection)
    assert statuses(wire) == [503, 503] and not taken.flows and not wire.closed
    connection.context.account.under_pressure = False
    connection.data_received(GET)
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
def test_only_input_that_is_exactly_one_request_without_a_body_is_rejected_unparsed(
    data: bytes, tenant: bytes | None
) -> None:
    assert scan_tenant(data) == tenant
    assert scan_is_retry(GET) and not scan_is_retry(GET.replace(b"Again: 1", b"Again: 0"))


def test_marked_retries_are_rejected_while_shedding_includes_them() -> None:
    connection, wire, taken = make_connection()
    connection.context.shed((0.0001,), 1.2, again=True)
    for n, form in enumerate((GET, GET.replace(b"X-Again: 1", b"X-Again: 0"))):
        connection.data_received(form.replace(b"9b1f", b"%d" % n))
        turn(connection)
    assert statuses(wire) == [503] and len(taken.flows) == 1


def test_a_connection_that_waits_for_a_rejection_is_neither_idle_nor_evicted() -> None:
    # Nothing of its request is kept, so the connection looked idle and was closed before its response.
    connection, wire, _ = make_connection()
    connection.context.shed((1.0,), 0.2)
    connection.data_received(GET)
    make_places(connection.context.monitor, 1)
    connection.idle_since -= 100.0
    connection.expires_at = 0.0
    connection.context.sweep()
    connection.context.close_idle()
    connection.context._evict()
    assert not wire.closed and connection.retention_priority()[0] == BUSY
    turn(connection)
    assert statuses(wire) == [503] and connection.is_idle()


def test_requests_shed_by_the_fractions_do_not_reach_the_decisions() -> None:
    connection, wire, taken = make_connection()
    connection.context.settings = settings(
        limits=api.Limits(max_attempts=3, retry_after=True, max_retry_after=1.2)
    )
    connection.context.shed((0.5,), 0.2)
    for n in range(6):
        connection.data_received(GET.replace(b"9b1f", b"%d" % n))
        turn(connection)
        if connection.flow:
            connection.on_response(answer())
    assert statuses(wire) == [200, 503] * 3 and len(taken.flows) == 3
    assert wire.written.count(b"Retry-After: ") == 3 and connection.context.gate.shed == 3


def test_an_endpoint_list_or_line_beyond_its_bound_is_rejected_as_a_whole() -> None:
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


def test_datagrams_of_a_flooding_peer_are_limited_to_its_rate() -> None:
    clock, received = Clock(), list[bytes]()
    peers = PeerDatagrams(0, [("h", 1), ("h", 2)], None, lambda n, data: received.append(data), clock.time)
    for _ in range(1000):
        peers.datagram_received(b"row", ("h", 2))
    assert len(received) == DATAGRAM_BURST
    clock.advance(1.0)
    peers.datagram_received(b"row", ("h", 2))
    assert len(received) == DATAGRAM_BURST + 1


def test_accepting_stops_while_no_connection_can_be_evicted_until_one_closes() -> None:
    limiter, _, clock = make_limiter(places=6)
    accepting = list[bool]()
    limiter.set_accepting = accepting.append
    wires = [Wire(limiter.accept()) for _ in range(6)]
    for n, wire in enumerate(wires):
        wire.protocol.data_received(GET.replace(b"9b1f", b"%d" % n))
    late = Wire(limiter.accept())  # accepted before accepting could stop
    late.protocol.data_received(GET.replace(b"9b1f", b"late"))
    clock.advance(1.0)
    assert accepting == [False] and not any(wire.closed for wire in (*wires, late))
    late.protocol.on_response(answer())
    assert late.closed  # one connection beyond the limit
    clock.advance(0.1)
    assert accepting == [False]
    wires[4].close()
    clock.advance(0.1)
    assert accepting == [False, True]


def test_a_storm_of_connections_is_accepted_at_a_bounded_rate_and_regular_clients_stay() -> None:
    # Each new connection searched all for one to evict: a storm of connections blocked the event loop.
    limiter, _, clock = make_limiter(places=100)
    accepting = [True]
    limiter.set_accepting = lambda value: accepting.append(value)
    regular = [Wire(limiter.accept()) for _ in range(20)]
    for n, wire in enumerate(regular):
        for number in range(2):
            wire.protocol.data_received(GET.replace(b"9b1f", b"%d-%d" % (n, number)))
            wire.protocol.on_response(answer())
    accepted = 0
    for _ in range(500):  # 5 s
        while accepting[-1]:
            Wire(limiter.accept())
            accepted += 1
        clock.advance(0.01)
    assert not any(wire.closed for wire in regular)
    assert accepted < 80 + 5.0 / 0.04 * (2 + 100 // 32) + 10
    assert len(limiter.connections) <= 101


def test_new_connections_wait_in_the_kernel_while_accepting_is_off_or_descriptors_run_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        transports, accepted = TransportPool(loop), asyncio.Event()

        class Client(ClientConnection):
            def connection_made(self, transport: asyncio.BaseTransport) -> None:
                accepted.set()

            def connection_lost(self, error: Exception | None) -> None: ...

        acceptor, shared = SocketAcceptor(loop, transports), make_limiter()[0]
        transports.start()
        await acceptor.open(("127.0.0.1", 0), lambda *kernel: Client(shared, *kernel))
        acceptor.set_accepting(False)
        client = socket.create_connection(acceptor.address())
        await asyncio.sleep(0)
        assert not accepted.is_set()

        class ExhaustedSocket:
            """A listening socket whose first accept finds no free descriptor."""

            def __init__(self, sock: socket.socket) -> None:
                self.sock, self.tries = sock, 0

            def accept(self) -> Any:
                self.tries += 1
                if self.tries == 1:
                    raise OSError(errno.EMFILE, "too many open files")
                return self.sock.accept()

            def __getattr__(self, name: str) -> Any:
                return getattr(self.sock, name)

        exhausted = ExhaustedSocket(acceptor.sock)
        monkeypatch.setattr(acceptor, "sock", exhausted)
        monkeypatch.setattr(listening_socket, "ACCEPT_BACKOFF_S", 0.0)
        acceptor.set_accepting(True)
        await accepted.wait()
        assert exhausted.tries >= 2
        client.close()
        acceptor.close()
        transports.close()

    run(work())


def test_a_connection_with_an_unread_request_is_not_closed_as_idle() -> None:
    # An overloaded event loop reads late: an unread request was lost with its connection, closed as idle.
    limiter, _, clock = make_limiter()
    has_unread = [True, False]
    listeners = [limiter.accept(lambda n=n: not has_unread[n]) for n in range(2)]
    wires = [Wire(listener) for listener in listeners]
    clock.advance(100.0)
    limiter.sweep()
    assert [wire.closed for wire in wires] == [False, True]
    make_places(limiter.monitor, 1)
    limiter._evict()
    assert not wires[0].closed
    has_unread[0] = False
    limiter.sweep()
    assert wires[0].closed


def test_many_connections_are_accepted_in_a_few_loop_iterations() -> None:
    # The event loop's own server accepts one per iteration: under load most clients left before that.
    async def work() -> None:
        loop = asyncio.get_running_loop()
        transports, shared = TransportPool(loop), make_limiter(places=200)[0]
        transports.start()
        acceptor = SocketAcceptor(loop, transports)
        await acceptor.open(("127.0.0.1", 0), shared.accept)
        clients = [socket.create_connection(acceptor.address()) for _ in range(64)]
        iterations = 0
        while len(shared.connections) < 64:
            await asyncio.sleep(0)
            iterations += 1
        assert iterations < 32
        for client in clients:
            client.close()
        acceptor.close()
        transports.close()

    run(work())


def test_overload_signals_reach_the_decisions_with_the_rejected_requests() -> None:
    limiter, _, clock = make_limiter()
    signals = list[api.OverloadSignal]()
    limiter.monitor.report_pressure = signals.append
    limiter.monitor.start()
    limiter.monitor.loop_budget.max_wait_s = 0.0
    for n in range(200):  # more than the queue and the iterations of a period take
        Wire(limiter.accept()).protocol.data_received(GET.replace(b"9b1f", b"%d" % n))
    clock.advance(0.25)
    assert (
        signals
        and signals[0].excess_fraction > 0
        and sum(signals[0].rejected_unseen) == limiter.gate.overflowed > 0
    )
    clock.advance(5.0)
    assert signals[-1].excess_fraction == 0.0
    count = len(signals)
    clock.advance(5.0)
    assert len(signals) == count  # without pressure nothing is reported
