"""A planned end, crossed at every point of a request's way: all that was taken gets its final answer."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path

import pytest

from firvane.core.net.transport_pool import TRANSPORT_WORKERS
from firvane.core.process_signals import SIGNALS
from firvane.proxy.net.listening_socket import MAX_ACCEPTS_PER_TURN
from firvane.proxy.shutdown_timing import LAME_DUCK_S
from tests.crossings.harness import (
    ERROR,
    FULL,
    MS,
    OK,
    Agent,
    Link,
    Program,
    Rig,
    Target,
    a_class,
    configured,
    connect,
    entry,
    params,
    play,
    program,
    request,
    rig,
)
from tests.signal_masks import blocked_by_thread

SHORT = 500  # ms: a deadline with which an end takes little time


def lasting(span: int) -> dict[str, object]:
    """Settings whose longest deadline is so many ms."""
    each = {"slo-ns": span * MS // 2, "give-up-ns": span * MS}
    return params(classes=[a_class("read", **each), a_class("pay", repeat="side_effect", **each)])


async def asked(link: Link, call: str) -> bytes:
    """One request and its whole answer's head; empty where the connection ended with nothing of one."""
    try:
        await link.send(request(call))
        head = await link.until(b"\r\n\r\n")
        await link.exactly(int(head.lower().partition(b"content-length: ")[2].partition(b"\r\n")[0]))
    except (EOFError, ConnectionError):
        assert not link.buffer, "an answer was cut"
        return b""
    return head


async def keeps_asking(made: Rig, name: str) -> list[bytes]:
    """A client that asks and asks, on each connection that stays open; what it got."""
    got: list[bytes] = []
    while True:
        try:
            link = await made.client()
        except ConnectionRefusedError:
            return got
        used = False
        while head := await asked(link, f"{name}-{len(got)}"):
            used = True
            got.append(head)
            if b"Connection: close" in head:
                break
        # Between requests a proxy may close; a new connection that has brought its request has an answer.
        assert used, f"a new connection was closed with no answer after {len(got)}"
        link.fin()


@pytest.mark.parametrize("span", [100, SHORT, 2000, 10_000])
def test_who_goes_on_asking_gets_an_answer_to_each(tmp_path: Path, span: int) -> None:
    async def work() -> None:
        async with rig(tmp_path, settings=lasting(span)) as made:
            await made.start()
            made.later(made.targets[0].serve())
            clients = [made.later(keeps_asking(made, f"c{n}")) for n in range(3)]
            quiet, new = await made.client(), await made.client()
            assert b" 200 " in await asked(quiet, "q1")
            told, limiter = made.loop.time(), made.proxy.limiter
            ending = made.later(made.proxy.drain())
            await made.see(lambda: limiter.drain_deadline < float("inf"))
            longest = min(span / 1000, 3.0)
            # What comes up to 0.7 s after the order has most of its time, whatever the longest deadline is;
            # and all has its answer before SIGKILL may come.
            assert LAME_DUCK_S + longest / 2 < limiter.drain_deadline - told < LAME_DUCK_S + longest
            assert not made.proxy.acceptor.sock.fileno() < 0
            assert b" 200 " in await asked(new, "n1")
            for client in clients:
                assert await client
            await ending
            if span >= 2000:  # else a machine at its limit is not quick enough for a figure in real time
                assert made.loop.time() - told < LAME_DUCK_S + longest
            assert await quiet.gone() == "fin" and not quiet.buffer  # in order: it had no request
            assert made.at_rest() == (0, 0, 0)

    play(work())


def test_who_is_here_is_served_on_after_the_door_is_closed(tmp_path: Path) -> None:
    # Clients may have no other proxy to go to yet; and who is in a request has until the very last to end it.
    async def work() -> None:
        async with rig(tmp_path, settings=lasting(2000)) as made:
            await made.start()
            made.later(made.targets[0].serve())
            client, half = await made.client(), await made.client()
            await half.send(request("h1")[:30])
            assert b" 200 " in await asked(client, "c1")
            made.later(made.proxy.drain())
            await made.see(lambda: made.proxy.acceptor.sock.fileno() < 0)
            closed = made.loop.time()
            await made.see(lambda: made.loop.time() > closed + 0.1)
            head = await asked(client, "c2")
            assert b" 200 " in head and b"Connection: close" not in head
            await made.see(lambda: made.proxy.limiter.closing)
            closing = made.loop.time()
            await made.see(lambda: made.loop.time() > closing + 0.1)
            assert await client.gone() == "fin"
            await half.send(request("h1")[30:])
            head = await half.until(b"\r\n\r\n")
            assert b" 200 " in head and b"Connection: close" in head

    play(work())


Act = Callable[[Link, Target], Awaitable[None]]


async def nothing(client: Link, target: Target) -> None:
    """Only connected."""


async def half_a_head(client: Link, target: Target) -> None:
    await client.send(request("c1")[:30])


async def last_byte_but_one(client: Link, target: Target) -> None:
    await client.send(request("c1")[:-1])


async def whole(client: Link, target: Target) -> None:
    await client.send(request("c1"))


async def at_its_target(client: Link, target: Target) -> None:
    await client.send(request("c1"))
    await target.taken()


@pytest.mark.parametrize(
    ("before", "also"),
    [
        (nothing, ()),
        (half_a_head, ()),
        (last_byte_but_one, ()),
        (whole, ()),
        (at_its_target, ()),
        (half_a_head, (signal.SIGTERM, signal.SIGHUP)),
        (at_its_target, (signal.SIGHUP, signal.SIGINT)),
    ],
)
def test_what_has_begun_is_served(tmp_path: Path, before: Act, also: tuple[signal.Signals, ...]) -> None:
    async def work() -> None:
        agent, target = Agent(), Target()
        async with program(configured(tmp_path, agent, lasting(SHORT))) as made:
            watch = await agent.watch()
            await watch.tell(1, entry("s1", target))
            client = await connect(await made.ready())
            await before(client, target)
            made.signal(signal.SIGTERM, *also)
            await made.said("event=ending")
            sent = {nothing: 0, half_a_head: 30, last_byte_but_one: -1}.get(before)
            if sent is not None:
                await client.send(request("c1")[sent:] if sent else request("c1"))
            link = target.links[0] if target.links else await target.taken()
            made.signal(*also)
            await link.send(OK)
            assert b" 200 " in await client.until(b"\r\n\r\nhi")
            assert await made.ended() == 0 and target.calls == ["c1"]

    play(work())


def test_no_thread_but_the_first_takes_signals(tmp_path: Path) -> None:
    """Those of the loop are started by a proxy's datagrams; a signal that one takes ends the process."""

    async def work() -> None:
        agent, target = Agent(), Target()
        peers = {"peers": ["127.0.0.1:9"], "peer_listen": "127.0.0.1:0"}
        async with program(configured(tmp_path, agent, params(limits={"peers": True}), **peers)) as made:
            watch = await agent.watch()
            await watch.tell(1, entry("s1", target))
            await made.ready()
            first, *others = blocked_by_thread(made.process.pid)
            assert not first and others
            assert all(blocked == set(SIGNALS) for blocked in others)

    play(work())


def test_a_target_that_hangs_costs_the_request_and_not_its_answer(tmp_path: Path) -> None:
    async def work() -> None:
        agent, target = Agent(), Target()
        async with program(configured(tmp_path, agent, lasting(10_000))) as made:
            watch = await agent.watch()
            await watch.tell(1, entry("s1", target))
            client = await connect(await made.ready())
            await client.send(request("c1", "/pay/x", 9900, body=b"money"))
            await target.taken()
            made.signal(signal.SIGTERM)
            assert b" 502 " in await client.until(b"\r\n\r\nfailed\n")
            assert await client.gone() == "fin" and await made.ended() == 0
            assert target.calls == ["c1"]

    play(work())


@pytest.mark.parametrize("first", [None, FULL, ERROR], ids=["dial", "turned away", "error"])
def test_a_dial_in_flight_and_the_next_attempt_are_waited_for(tmp_path: Path, first: bytes | None) -> None:
    async def work() -> None:
        async with rig(tmp_path, targets=2, settings=lasting(2000)) as made:
            await made.start()
            client = await made.client()
            one, other = made.targets
            if first is None:
                made.dialer.holding = True
                await client.send(request("c1"))
            else:
                await client.send(request("c1"))
                came = [made.later(target.link()) for target in (one, other)]
                done, _ = await asyncio.wait(came, return_when=asyncio.FIRST_COMPLETED)
                link = done.pop().result()
                taken = one if link in one.links else other
                await taken.ask(link)
                made.dialer.holding = True
                await link.send(first)
                for task in came:
                    task.cancel()
            await made.dialer.came.wait()
            made.later(made.proxy.drain())
            await made.see(lambda: made.proxy.limiter.draining)
            made.dialer.let_go()
            for target in made.targets:
                made.later(target.serve())
            assert b" 200 " in await client.until(b"\r\n\r\nhi")

    play(work())


def test_an_answer_in_the_write_is_written_whole(tmp_path: Path) -> None:
    async def work() -> None:
        agent, target, size = Agent(), Target(), 8 << 20
        async with program(configured(tmp_path, agent, lasting(SHORT))) as made:
            watch = await agent.watch()
            await watch.tell(1, entry("s1", target))
            client = await connect(await made.ready())
            await client.send(request("c1"))
            link = await target.taken()
            await link.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            pouring = asyncio.ensure_future(link.send(bytes(size)))
            await client.until(b"\r\n\r\n")
            made.signal(signal.SIGTERM)
            await made.said("event=ending")
            assert await client.exactly(size) == bytes(size)
            await pouring
            assert await made.ended() == 0

    play(work())


def test_a_request_that_arrives_as_idle_connections_are_closed_is_answered(tmp_path: Path) -> None:
    async def work() -> None:
        async with rig(tmp_path) as made:
            await made.start()
            made.later(made.targets[0].serve())
            client, other = await made.client(), await made.client()
            assert await asked(client, "c1") and await asked(other, "o1")
            client.sock.send(request("c2"))  # with the kernel, and the loop has yet to hear of it
            made.proxy.limiter.closing = True
            made.proxy.limiter.close_idle()
            head = await client.until(b"\r\n\r\n")
            assert b" 200 " in head and b"Connection: close" in head
            assert await other.gone() == "fin"

    play(work())


@pytest.mark.parametrize("why", ["end", "drain"])
def test_who_has_yet_to_ask_is_served_up_to_the_end(tmp_path: Path, why: str) -> None:
    # Its connection was closed once it was 0.5 s old, and a first request on its way there had no answer.
    async def work() -> None:
        async with rig(tmp_path, settings=lasting(2000), ops="127.0.0.1:0") as made:
            await made.start()
            made.later(made.targets[0].serve())
            used = await made.client()
            assert await asked(used, "u1")
            # Under pressure who has asked nothing for 0.5 s makes room, and a busy machine makes loops late.
            made.proxy.monitor.is_active = lambda measure: False  # type: ignore[method-assign]
            if why == "end":
                made.later(made.proxy.drain())
            client = await made.client()
            listener = await made.listener(client)
            if why == "drain":
                ops = await connect(made.proxy.admin_acceptor.address()[1])
                await ops.send(b"drain\n")
                await ops.gone()
            await made.see(lambda: made.proxy.limiter.closing)
            await made.see(lambda: made.loop.time() > listener.idle_since + 0.6)
            made.proxy.limiter.close_idle()
            client.sock.send(request("c1"))  # in the same turn: whatever was closed then does not hear of it
            head = await client.until(b"\r\n\r\n")
            assert b" 200 " in head and b"Connection: close" in head
            assert await used.gone() == "fin" and not used.buffer

    play(work())


def test_who_stands_in_the_queue_as_the_door_closes_is_answered(tmp_path: Path) -> None:
    async def work() -> None:
        async with rig(tmp_path) as made:
            await made.start()
            made.later(made.targets[0].serve())
            address = made.proxy.acceptor.address()
            # The kernel has accepted it, and the loop, whose turn this is, has not.
            waiting = socket.create_connection(address)
            waiting.send(request("c1"))
            made.proxy.acceptor.close()
            client = Link(waiting)
            made.clients.append(client)
            assert b" 200 " in await client.until(b"\r\n\r\nhi")
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)

    play(work())


@pytest.mark.parametrize("many", [MAX_ACCEPTS_PER_TURN, 3 * MAX_ACCEPTS_PER_TURN])
def test_so_are_all_that_stand_there_however_many(tmp_path: Path, many: int) -> None:
    # Of those that come in the turn of the close only as many as a turn lets in were, and the rest reset.
    async def work() -> None:
        async with rig(tmp_path, settings=lasting(2000)) as made:
            await made.start()
            made.later(made.targets[0].serve())
            address, close = made.proxy.acceptor.address(), made.proxy.acceptor.close

            def crossed() -> bool:
                while len(made.clients) < many:
                    made.clients.append(Link(socket.create_connection(address)))
                    made.clients[-1].sock.send(request(f"c{len(made.clients)}"))
                return close()

            made.proxy.acceptor.close = crossed  # type: ignore[method-assign]
            made.later(made.proxy.drain())
            await made.see(lambda: made.proxy.acceptor.sock.fileno() < 0)
            for client in made.clients:
                assert (await client.until(b"\r\n\r\n")).startswith(b"HTTP/1.1 ")
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(address)

    play(work())


def test_what_comes_after_the_last_moment_is_refused_at_once(tmp_path: Path) -> None:
    # Its connection was not idle when the others were closed: it has an answer, and no target hears of it.
    async def work() -> None:
        async with rig(tmp_path) as made:
            await made.start()
            client = await made.client()
            await client.send(request("c1")[:-1])
            listener = await made.listener(client)
            await made.see(lambda: listener.request_started)
            made.proxy.limiter.closing, made.proxy.limiter.drain_deadline = (True, made.loop.time())
            made.proxy.engine.shorten_deadlines(made.proxy.limiter.drain_deadline)
            await client.send(request("c1")[-1:])
            head = await client.until(b"\r\n\r\n")
            assert b" 503 " in head and b"Connection: close" in head
            assert await client.gone() == "fin" and not made.targets[0].waiting()

    play(work())


def test_a_fault_at_a_connection_costs_none_of_the_hands(tmp_path: Path) -> None:
    # There are 16 of them, and without one nobody comes in again, nor does any dial come up.
    async def work() -> None:
        async with rig(tmp_path) as made:
            await made.start()
            made.later(made.targets[0].serve())
            made.loop.set_exception_handler(lambda loop, context: None)
            accept = made.proxy.limiter.accept

            def fails(quiet: object) -> None:
                raise RuntimeError("a fault")

            made.proxy.acceptor.accept = fails
            for _ in range(TRANSPORT_WORKERS):
                assert await (await made.client()).gone() == "fin"
            made.proxy.acceptor.accept = accept
            assert b" 200 " in await asked(await made.client(), "c1")

    play(work())


@pytest.mark.parametrize("span", [100, SHORT])
@pytest.mark.parametrize("size", [30, -1])
def test_half_a_request_is_refused_before_the_end(tmp_path: Path, span: int, size: int) -> None:
    # It may become whole as the process ends, and has been taken then; an exit would answer nothing.
    async def work() -> None:
        agent, target = Agent(), Target()
        async with program(configured(tmp_path, agent, lasting(span))) as made:
            watch = await agent.watch()
            await watch.tell(1, entry("s1", target))
            client = await connect(await made.ready())
            await client.send(request("c1")[:size])
            made.signal(signal.SIGTERM)
            head = await client.until(b"\r\n\r\n")
            assert b" 503 " in head and b"Connection: close" in head
            with suppress(ConnectionError):
                await client.send(request("c1")[size:])
            assert await made.ended() == 0 and not target.calls

    play(work())


# In the start


async def begun(made: Program) -> None:
    """The program is past its first line, and nobody listens for signals yet."""
    await made.said("import time:", "| asyncio\n")


TALKING = {"PYTHONPROFILEIMPORTTIME": "1"}


@pytest.mark.parametrize("often", [False, True], ids=["once", "until-ready"])
def test_a_new_configuration_is_taken_in_from_the_first_moment_on(tmp_path: Path, often: bool) -> None:
    # Before the first line of the program only the system's own answer to a signal is there, which for a
    # SIGHUP was the end: `run` has it ignored until the program holds it, and the file is read after that.
    async def work() -> None:
        parties = old, agent, new, target = Agent(), Agent(), Agent(), Target()
        async with program(configured(tmp_path, old, lasting(SHORT))) as made:
            await made.executed()
            configured(tmp_path, agent, lasting(SHORT))
            made.signal(signal.SIGHUP)
            ready = asyncio.ensure_future(made.ready())
            watching = asyncio.ensure_future(agent.watch())
            while not (ready.done() or watching.done()):
                if often:
                    made.signal(signal.SIGHUP)
                await asyncio.sleep(0.001)
            if ready.done():  # it has ended: without a list nobody is ready
                await ready
            watch = await watching
            await watch.tell(1, entry("s1", target))
            await ready
            assert all(made.hears(number) for number in SIGNALS)
            configured(tmp_path, new, lasting(SHORT))
            made.signal(signal.SIGHUP)
            await new.watch()
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0 and not old.waiting()
        for party in parties:
            party.close()

    play(work())


@pytest.mark.parametrize("order", [signal.SIGTERM, signal.SIGINT])
def test_an_order_to_end_is_obeyed_though_another_signal_was_ignored(
    tmp_path: Path, order: signal.Signals
) -> None:
    async def work() -> None:
        agent, target = Agent(), Target()
        async with program(configured(tmp_path, agent, lasting(100))) as made:
            await made.executed()
            made.signal(signal.SIGHUP)
            watch = await agent.watch()
            await watch.tell(1, entry("s1", target))
            await made.ready()
            made.signal(order, signal.SIGHUP)
            assert await made.ended() == 0
            assert any("event=ending" in line for line in made.lines)

    play(work())


def test_a_new_configuration_in_the_start_is_taken_in(tmp_path: Path) -> None:
    async def work() -> None:
        old, agent, target = Agent(), Agent(), Target()
        env = configured(tmp_path, old, lasting(SHORT))
        async with program({**env, **TALKING}) as made:
            await begun(made)
            configured(tmp_path, agent, lasting(SHORT))
            made.signal(signal.SIGHUP)
            watch = await agent.watch()
            await watch.tell(1, entry("s1", target))
            await made.ready()
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0

    play(work())


def test_a_new_configuration_while_the_first_is_read_is_taken_in(tmp_path: Path) -> None:
    # Nobody listens yet, and what is read is old already: an order that was not held would be lost there.
    async def work() -> None:
        old, agent, target = Agent(), Agent(), Target()
        env = configured(tmp_path, old, lasting(SHORT))
        path = Path(env["NODE_CONFIG"])
        first = path.read_bytes()
        path.unlink()
        os.mkfifo(path)
        async with program(env) as made:
            pipe = -1
            while pipe < 0:
                with suppress(OSError):  # until it has been opened to be read
                    pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                await asyncio.sleep(0)
            path.unlink()
            configured(tmp_path, agent, lasting(SHORT))
            made.signal(signal.SIGHUP)
            os.write(pipe, first)
            os.close(pipe)
            watch = await agent.watch()
            await watch.tell(1, entry("s1", target))
            await made.ready()
            made.signal(signal.SIGTERM)
            assert await made.ended() == 0
        for party in (old, agent, target):
            party.close()

    play(work())


def test_an_order_to_end_in_the_start_is_obeyed_in_order(tmp_path: Path) -> None:
    async def work() -> None:
        agent = Agent()
        async with program({**configured(tmp_path, agent, lasting(100)), **TALKING}) as made:
            await begun(made)
            made.signal(signal.SIGTERM, signal.SIGHUP)
            assert await made.ended() == 0
            assert any("event=ending" in line for line in made.lines)
            assert not any("event=ready" in line for line in made.lines)

    play(work())


@pytest.mark.parametrize("inherited", [False, True])
def test_an_end_before_the_list_is_here_stays_one(tmp_path: Path, inherited: bool) -> None:
    async def work() -> None:
        with socket.create_server(("127.0.0.1", 0)) as held:
            more = {"NODE_SOCKET_FD": str(os.dup(held.fileno()))} if inherited else {}
            async with rig(tmp_path, settings=lasting(100), env=more, ops="127.0.0.1:0") as made:
                starting = made.later(made.proxy.start())
                watch = await made.agent.watch()
                ops = await connect(made.proxy.admin_acceptor.address()[1])
                ending = made.later(made.proxy.drain())
                await made.see(lambda: made.proxy.limiter.drain_deadline < float("inf"))
                await watch.tell(1, *made.entries())
                if not inherited:  # who comes all the same is refused; in the other case it has gone at once
                    await ops.send(b"ready\n")
                    await ops.gone()
                    assert ops.buffer.startswith(b"-ERR ")
                    assert b" 503 " in await asked(await made.client(), "c1")
                await ending
                await made.see(starting.done)
                assert starting.cancelled() and not made.proxy.limiter.ready
                assert made.proxy.acceptor.sock.fileno() < 0 and not made.targets[0].waiting()
                assert not any("event=ready" in line for line in made.lines)

    play(work())


def test_orders_that_come_until_the_process_is_gone_change_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        agent, target = Agent(), Target()
        async with program(configured(tmp_path, agent, lasting(100))) as made:
            watch = await agent.watch()
            await watch.tell(1, entry("s1", target))
            await made.ready()
            made.signal(signal.SIGTERM)
            await made.said("event=ending")
            ended = asyncio.ensure_future(made.ended())
            while not ended.done():
                with suppress(ProcessLookupError):
                    made.signal(signal.SIGTERM, signal.SIGHUP)
                await asyncio.sleep(0.001)
            assert await ended == 0

    play(work())


def test_a_class_that_is_gone_does_not_lengthen_the_end(tmp_path: Path) -> None:
    # SIGKILL goes by the settings in force.
    async def work() -> None:
        async with rig(tmp_path, settings=lasting(2000)) as made:
            await made.start()
            made.env = configured(tmp_path, made.agent, lasting(SHORT))
            made.proxy.reload(made.read_again)
            told = made.loop.time()
            made.later(made.proxy.drain())
            await made.see(lambda: made.proxy.limiter.drain_deadline < float("inf"))
            assert made.proxy.limiter.drain_deadline < told + LAME_DUCK_S + SHORT / 1000

    play(work())
