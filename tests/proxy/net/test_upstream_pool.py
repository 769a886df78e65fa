"""UpstreamPools over local sockets: the termination of runs, and the reuse of their connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import httptools
import pytest

from firvane.core import interface as api
from firvane.core.net.dialer import SocketDialer
from firvane.core.net.http_message import Message
from firvane.core.net.http_reader import MessageReader
from firvane.core.net.transport_pool import TransportPool
from firvane.core.terminations import Termination
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.net.upstream_pool import REUSE_DELAY_S, Connection, Pool, Run, UpstreamPools
from tests.helpers import RULES
from tests.proxy.net.helpers import Clock, Ended, Wire, make_monitor, run

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
TOO_MANY = b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
UNUSED_DIALER = SocketDialer(Clock(), TransportPool(Clock()))  # type: ignore[arg-type]  # never dials
Target = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def has_no_input() -> bool:
    return True


def make_pools(clock: Clock) -> UpstreamPools:
    """Return UpstreamPools whose connections the test makes itself."""
    limits = api.Limits(max_attempts=3, connection_idle_timeout=30.0)
    return UpstreamPools(clock, limits, RULES, make_monitor(clock), UNUSED_DIALER)  # type: ignore


def make_target_connection(pools: UpstreamPools, pool: Pool) -> Connection:
    pools.monitor.descriptors.count(Use.TARGETS)
    return Connection(pools, pool, has_no_input)


def request() -> Message:
    reader = MessageReader(httptools.HttpRequestParser)
    reader.feed(b"GET /read/x HTTP/1.1\r\nHost: app\r\nX-Call-Id: 1\r\nX-Budget-Ms: 1000\r\n\r\n")
    return reader.completed[0]


TIME_LEFT_S = 1000.0  # deadline of requests: long, so that no test depends on the speed of the machine


class Harness:
    """UpstreamPools with one target `s`, whose responses the test sets."""

    def __init__(self, max_sockets: int = 10, connect_timeout: float = TIME_LEFT_S) -> None:
        self.loop = asyncio.get_running_loop()
        limits = api.Limits(max_attempts=3, connect_timeout=connect_timeout, connection_idle_timeout=30.0)
        self.transports = TransportPool(self.loop)
        self.dialer = SocketDialer(self.loop, self.transports)
        self.pools = UpstreamPools(
            self.loop, limits, RULES, make_monitor(self.loop, max_sockets), self.dialer
        )
        self.transports.start()
        self.heads: list[bytes] = []
        self.connections = 0

    async def target(self, reply: bytes, close: bool = False) -> None:
        self.reply = reply

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.connections += 1
            while True:
                try:
                    self.heads.append(await reader.readuntil(b"\r\n\r\n"))
                except (asyncio.IncompleteReadError, ConnectionError):
                    break
                writer.write(self.reply)
                if close:
                    break
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.pools.update_target("s", server.sockets[0].getsockname()[:2], True)

    async def wait_until_reusable(self) -> None:
        """Wait until the idle connections may be reused."""
        for connection in self.pools.pools["s"].idle:
            while self.loop.time() <= connection.idle_since + REUSE_DELAY_S:
                await asyncio.sleep(0)

    async def send(self) -> Ended:
        await self.wait_until_reusable()
        ended = Ended(self.loop.time() + TIME_LEFT_S)
        self.pools.forward(request(), "s", ended)
        await ended.over.wait()
        return ended


@pytest.mark.parametrize(
    ("reply", "close", "termination"),
    [
        (OK, False, Termination.SERVED),
        (b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK, False, Termination.SERVED),
        (
            b"HTTP/1.1 101 No\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + OK,
            False,
            Termination.BAD_RESPONSE,
        ),
        (OK + OK, False, Termination.SERVED),
        (OK + b"\0noise\r\n\r\n", False, Termination.SERVED),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end", True, Termination.SERVED),
        (b"HTTP/1.1 200 OK\r\n\r\nto the end, or not", True, Termination.BROKEN_AFTER_SENT),
        (b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", False, Termination.BAD_REQUEST),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n\r\nhi",
            False,
            Termination.BAD_RESPONSE,
        ),
        (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", False, Termination.SERVER_ERROR),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", False, Termination.SERVER_ERROR),
        (b"HTTP/1.1 503 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", False, Termination.REJECTED),
        (b"HTTP/1.1 504 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", False, Termination.REJECTED),
        (TOO_MANY, False, Termination.CONNECTION_REJECTED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n", False, Termination.BAD_RESPONSE),
        (b"rubbish\r\n\r\n", False, Termination.BAD_RESPONSE),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", True, Termination.BROKEN_AFTER_SENT),
        (b"", True, Termination.BROKEN_AFTER_SENT),
    ],
)
def test_the_response_determines_the_termination(reply: bytes, close: bool, termination: Termination) -> None:
    async def work() -> None:
        harness = Harness()
        await harness.target(reply, close)
        ended = await harness.send()
        assert ended.endings == [termination]
        assert b"X-Call-Id: 1\r\n" in harness.heads[0]
        assert 0 < int(harness.heads[0].split(b"X-Budget-Ms: ")[1]) <= 1000 * TIME_LEFT_S
        harness.transports.close()

    run(work())


def test_a_rejection_with_close_on_a_used_connection_rejects_the_request() -> None:
    async def work() -> None:
        harness = Harness()
        await harness.target(OK)
        await harness.send()
        harness.reply = TOO_MANY
        assert (await harness.send()).endings == [Termination.REJECTED] and harness.connections == 1
        harness.transports.close()

    run(work())


def test_connections_are_reused_and_a_cancel_closes_one() -> None:
    async def work() -> None:
        harness = Harness()
        await harness.target(OK)
        await harness.send()
        await harness.send()
        assert harness.connections == 1 and harness.pools.monitor.descriptors.open[Use.TARGETS] == 1
        await harness.wait_until_reusable()
        harness.pools.forward(request(), "s", ended := Ended(harness.loop.time() + TIME_LEFT_S)).cancel()
        assert not harness.pools.pools["s"].idle
        await harness.send()
        assert harness.connections == 2 and not ended.endings
        harness.transports.close()

    run(work())


def test_a_refused_dial_ends_as_connection_refused() -> None:
    async def work() -> None:
        harness = Harness()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            harness.pools.update_target("s", free.getsockname(), True)
            assert (await harness.send()).endings == [Termination.CONNECTION_REFUSED]
        assert harness.pools.monitor.descriptors.open[Use.TARGETS] == 0
        harness.transports.close()

    run(work())


def test_a_dial_without_an_answer_times_out() -> None:
    async def work() -> None:
        harness = Harness(connect_timeout=0.2)
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)  # nothing is accepted, and at most two connections are queued
            harness.pools.update_target("s", full.getsockname(), True)
            waiting = [socket.socket() for _ in range(4)]
            for one in waiting:
                one.setblocking(False)
                one.connect_ex(full.getsockname())
            assert (await harness.send()).endings == [Termination.CONNECT_TIMEOUT]
            for one in waiting:
                one.close()
        harness.transports.close()

    run(work())


def test_no_request_is_sent_after_the_drain_grace() -> None:
    # The dial may take longer than the drain grace; its request must not be sent then.
    async def work() -> None:
        harness = Harness()
        await harness.target(OK)
        ended = Ended(harness.loop.time() + TIME_LEFT_S)
        harness.pools.forward(request(), "s", ended)
        harness.pools.update_target("s", harness.pools.pools["s"].address, False)
        harness.pools.pools["s"].draining_since = harness.loop.time() - RULES.drain_grace
        await ended.over.wait()
        assert ended.endings == [Termination.TARGET_DRAINED] and not harness.heads
        assert (await harness.send()).endings == [Termination.TARGET_DRAINED]
        harness.transports.close()

    run(work())


def test_sockets_are_bounded_and_idle_ones_are_closed_for_new_dials() -> None:
    async def work() -> None:
        harness = Harness(max_sockets=1)
        await harness.target(OK)
        address = harness.pools.pools["s"].address
        assert (await harness.send()).endings == [Termination.SERVED]
        harness.pools.update_target("t", address, True)
        held = Ended(harness.loop.time() + TIME_LEFT_S)
        harness.pools.forward(request(), "t", held)
        await held.over.wait()
        assert held.endings == [Termination.SERVED] and not harness.pools.pools["s"].idle
        harness.transports.close()

    run(work())


@pytest.mark.parametrize(
    ("buffered", "termination"), [(0, Termination.BROKEN_AFTER_SENT), (9, Termination.BROKEN_BEFORE_SENT)]
)
def test_a_break_before_the_last_byte_means_not_executed(buffered: int, termination: Termination) -> None:
    pools = make_pools(Clock())
    connection = make_target_connection(pools, Pool("s"))
    wire = Wire(connection)
    wire.buffered = buffered
    ended = Ended(1001.0)
    connection.send(Run(request(), connection.pool, ended))
    wire.close()
    assert ended.endings == [termination]


def test_idle_connections_are_closed_before_the_target_closes_them() -> None:
    clock = Clock()
    pools = make_pools(clock)
    pools.update_target("s", ("127.0.0.1", 1), True)
    wires = []
    for _ in range(2):
        connection = make_target_connection(pools, pools.pools["s"])
        wires.append(Wire(connection))
        pools.park(connection)
        clock.advance(10.0)
    pools.sweep()
    assert [wire.closed for wire in wires] == [True, False]
    wires[1].protocol.data_received(b"unasked")
    assert wires[1].closed and not pools.pools["s"].idle


@pytest.mark.parametrize("left", [b"", OK])
def test_a_connection_with_input_while_idle_is_not_reused(left: bytes) -> None:
    # The kernel has the end or a second response that the loop has not read yet: the next request would end
    # with a reset after it may have been executed, or with the response to another request.
    async def work() -> None:
        harness = Harness()
        with socket.socket() as target:
            target.bind(("127.0.0.1", 0))
            target.listen()
            harness.pools.update_target("s", target.getsockname(), True)
            for _ in range(2):
                ended = Ended(harness.loop.time() + TIME_LEFT_S)
                harness.pools.forward(request(), "s", ended)
                peer, _ = target.accept()  # the second connection is new as well
                peer.setblocking(False)
                assert b"X-Call-Id: 1" in await harness.loop.sock_recv(peer, 4096)
                await harness.loop.sock_sendall(peer, OK)
                await ended.over.wait()
                assert ended.endings == [Termination.SERVED]
                if left:
                    peer.send(left)
                else:
                    peer.close()
        harness.transports.close()

    run(work())


def test_a_connection_is_not_reused_immediately() -> None:
    # Extra data may follow a response immediately; it must not be taken for the next response.
    clock = Clock()
    pools = make_pools(clock)
    pool = Pool("s")
    made = [make_target_connection(pools, pool) for _ in range(4)]
    for connection in made:
        Wire(connection)
        pools.park(connection)
        clock.advance(0.4 * REUSE_DELAY_S)
    order = [pool.take(clock.time() - REUSE_DELAY_S) for _ in made]
    assert order == [made[1], made[0], None, None] and pool.idle == made[2:]


def test_a_removed_target_is_dropped_with_its_connections() -> None:
    pools = make_pools(Clock())
    pools.update_target("s", ("127.0.0.1", 1), True)
    idle = make_target_connection(pools, pools.pools["s"])
    out = make_target_connection(pools, pools.pools["s"])
    wires = [Wire(idle), Wire(out)]
    pools.park(idle)
    pools.update_target("s", None, False)
    pools.update_target("t", ("127.0.0.1", 1), True)
    pools.park(out)  # the connection in use ends later
    assert [wire.closed for wire in wires] == [True, True]
    assert list(pools.pools) == ["t"] and not pools.pools["t"].idle
