"""UpstreamPools over real sockets on this machine: how each ends, and what becomes of its connection."""

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
NOBODY = SocketDialer(Clock(), TransportPool(Clock()))  # type: ignore[arg-type]  # never asked to dial
Target = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def has_no_input() -> bool:
    return True


def unwired(clock: Clock) -> UpstreamPools:
    """UpstreamPools whose connections are made by hand."""
    limits = api.Limits(max_attempts=3, connection_idle_timeout=30.0)
    return UpstreamPools(clock, limits, RULES, make_monitor(clock), NOBODY)  # type: ignore


def connected(pools: UpstreamPools, pool: Pool) -> Connection:
    pools.monitor.descriptors.count(Use.TARGETS)
    return Connection(pools, pool, has_no_input)


def request() -> Message:
    reader = MessageReader(httptools.HttpRequestParser)
    reader.feed(b"GET /read/x HTTP/1.1\r\nHost: app\r\nX-Call-Id: 1\r\nX-Budget-Ms: 1000\r\n\r\n")
    return reader.completed[0]


LEFT = 1000.0  # s that a forward has: what ends it is never that a busy machine was late


class Bench:
    """UpstreamPools with one target `s` that behaves as the test says."""

    def __init__(self, max_sockets: int = 10, connect_timeout: float = LEFT) -> None:
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

    async def rested(self) -> None:
        """What is idle may be used again."""
        for connection in self.pools.pools["s"].idle:
            while self.loop.time() <= connection.idle_since + REUSE_DELAY_S:
                await asyncio.sleep(0)

    async def send(self) -> Ended:
        await self.rested()
        ended = Ended(self.loop.time() + LEFT)
        self.pools.forward(request(), "s", ended)
        await ended.over.wait()
        return ended


@pytest.mark.parametrize(
    ("reply", "close", "ending"),
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
def test_what_comes_back_decides_the_ending(reply: bytes, close: bool, ending: Termination) -> None:
    async def work() -> None:
        bench = Bench()
        await bench.target(reply, close)
        ended = await bench.send()
        assert ended.endings == [ending]
        assert b"X-Call-Id: 1\r\n" in bench.heads[0]
        assert 0 < int(bench.heads[0].split(b"X-Budget-Ms: ")[1]) <= 1000 * LEFT
        bench.transports.close()

    run(work())


def test_on_a_connection_that_was_used_what_turns_away_and_closes_is_a_full_queue() -> None:
    async def work() -> None:
        bench = Bench()
        await bench.target(OK)
        await bench.send()
        bench.reply = TOO_MANY
        assert (await bench.send()).endings == [Termination.REJECTED] and bench.connections == 1
        bench.transports.close()

    run(work())


def test_connections_are_reused_and_a_cancel_closes_one() -> None:
    async def work() -> None:
        bench = Bench()
        await bench.target(OK)
        await bench.send()
        await bench.send()
        assert bench.connections == 1 and bench.pools.monitor.descriptors.open[Use.TARGETS] == 1
        await bench.rested()
        bench.pools.forward(request(), "s", ended := Ended(bench.loop.time() + LEFT)).cancel()
        assert not bench.pools.pools["s"].idle
        await bench.send()
        assert bench.connections == 2 and not ended.endings
        bench.transports.close()

    run(work())


def test_a_refused_dial_could_not_connect() -> None:
    async def work() -> None:
        bench = Bench()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            bench.pools.update_target("s", free.getsockname(), True)
            assert (await bench.send()).endings == [Termination.CONNECTION_REFUSED]
        assert bench.pools.monitor.descriptors.open[Use.TARGETS] == 0
        bench.transports.close()

    run(work())


def test_a_dial_that_never_comes_up_expires() -> None:
    async def work() -> None:
        bench = Bench(connect_timeout=0.2)
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)  # nobody accepts, and two wait at the most
            bench.pools.update_target("s", full.getsockname(), True)
            waiting = [socket.socket() for _ in range(4)]
            for one in waiting:
                one.setblocking(False)
                one.connect_ex(full.getsockname())
            assert (await bench.send()).endings == [Termination.CONNECT_TIMEOUT]
            for one in waiting:
                one.close()
        bench.transports.close()

    run(work())


def test_no_first_byte_after_the_grace_of_a_drain() -> None:
    # The dial may outlast the grace; what it was for must then not be sent.
    async def work() -> None:
        bench = Bench()
        await bench.target(OK)
        ended = Ended(bench.loop.time() + LEFT)
        bench.pools.forward(request(), "s", ended)
        bench.pools.update_target("s", bench.pools.pools["s"].address, False)
        bench.pools.pools["s"].draining_since = bench.loop.time() - RULES.drain_grace
        await ended.over.wait()
        assert ended.endings == [Termination.TARGET_DRAINED] and not bench.heads
        assert (await bench.send()).endings == [Termination.TARGET_DRAINED]
        bench.transports.close()

    run(work())


def test_sockets_are_bounded_and_idle_ones_give_way() -> None:
    async def work() -> None:
        bench = Bench(max_sockets=1)
        await bench.target(OK)
        address = bench.pools.pools["s"].address
        assert (await bench.send()).endings == [Termination.SERVED]
        bench.pools.update_target("t", address, True)
        held = Ended(bench.loop.time() + LEFT)
        bench.pools.forward(request(), "t", held)
        await held.over.wait()
        assert held.endings == [Termination.SERVED] and not bench.pools.pools["s"].idle
        bench.transports.close()

    run(work())


@pytest.mark.parametrize(
    ("buffered", "ending"), [(0, Termination.BROKEN_AFTER_SENT), (9, Termination.BROKEN_BEFORE_SENT)]
)
def test_a_break_before_the_last_byte_could_not_connect(buffered: int, ending: Termination) -> None:
    pools = unwired(Clock())
    connection = connected(pools, Pool("s"))
    wire = Wire(connection)
    wire.buffered = buffered
    ended = Ended(1001.0)
    connection.send(Run(request(), connection.pool, ended))
    wire.close()
    assert ended.endings == [ending]


def test_idle_connections_are_closed_well_before_the_target_would() -> None:
    clock = Clock()
    pools = unwired(clock)
    pools.update_target("s", ("127.0.0.1", 1), True)
    wires = []
    for _ in range(2):
        connection = connected(pools, pools.pools["s"])
        wires.append(Wire(connection))
        pools.park(connection)
        clock.advance(10.0)
    pools.sweep()
    assert [wire.closed for wire in wires] == [True, False]
    wires[1].protocol.data_received(b"unasked")
    assert wires[1].closed and not pools.pools["s"].idle


@pytest.mark.parametrize("left", [b"", OK])
def test_a_connection_on_which_anything_came_while_idle_is_not_used(left: bytes) -> None:
    # The kernel knows of the end, or of a second answer, the loop does not yet: the next forward would end
    # as a reset that may have run, or be answered with what was made for another.
    async def work() -> None:
        bench = Bench()
        with socket.socket() as target:
            target.bind(("127.0.0.1", 0))
            target.listen()
            bench.pools.update_target("s", target.getsockname(), True)
            for _ in range(2):
                ended = Ended(bench.loop.time() + LEFT)
                bench.pools.forward(request(), "s", ended)
                peer, _ = target.accept()  # also the second is a new one
                peer.setblocking(False)
                assert b"X-Call-Id: 1" in await bench.loop.sock_recv(peer, 4096)
                await bench.loop.sock_sendall(peer, OK)
                await ended.over.wait()
                assert ended.endings == [Termination.SERVED]
                if left:
                    peer.send(left)
                else:
                    peer.close()
        bench.transports.close()

    run(work())


def test_a_connection_rests_before_it_is_used_again() -> None:
    # More than belongs to an answer may come right behind it; the next flow's must not be taken from there.
    clock = Clock()
    pools = unwired(clock)
    pool = Pool("s")
    made = [connected(pools, pool) for _ in range(4)]
    for connection in made:
        Wire(connection)
        pools.park(connection)
        clock.advance(0.4 * REUSE_DELAY_S)
    order = [pool.take(clock.time() - REUSE_DELAY_S) for _ in made]
    assert order == [made[1], made[0], None, None] and pool.idle == made[2:]


def test_a_target_that_is_gone_is_forgotten_and_its_successor_inherits_nothing() -> None:
    pools = unwired(Clock())
    pools.update_target("s", ("127.0.0.1", 1), True)
    idle = connected(pools, pools.pools["s"])
    out = connected(pools, pools.pools["s"])
    wires = [Wire(idle), Wire(out)]
    pools.park(idle)
    pools.update_target("s", None, False)
    pools.update_target("t", ("127.0.0.1", 1), True)
    pools.park(out)  # what was out ends later
    assert [wire.closed for wire in wires] == [True, True]
    assert list(pools.pools) == ["t"] and not pools.pools["t"].idle
