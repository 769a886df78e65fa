"""Attempts: what is written to a target, when, and how often, while connections and clients come and go."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from firvane import interface as api
from firvane.endings import Ending
from firvane.limits.descriptors import Use
from firvane.net.dial import SocketDialer
from firvane.net.forward import Connection, Forwards
from firvane.net.hands import Hands
from tests.crossings.harness import (
    FULL,
    MS,
    OK,
    Link,
    Rig,
    Target,
    a_class,
    params,
    play,
    request,
    rig,
)
from tests.helpers import RULES
from tests.net_helpers import Ended, guard
from tests.test_forward import request as message

LEAVES = pytest.mark.parametrize("how", ["fin", "reset"])
CANCEL = pytest.mark.parametrize("cancel", [True, False], ids=["cancel", "no-cancel"])
LONG = 100_000  # bytes of a body that is passed on as it comes
SLOW = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LONG


def brisk(**limits: Any) -> dict[str, Any]:
    """Settings in which a second copy follows after some 40 ms."""
    kinds = {"read": "pure", "keep": "token", "pay": "side_effect"}
    more = {"token": {"dedup-scope": "all", "window-ns": 60_000 * MS}}
    classes = [
        a_class(name, **{"repeat": repeat, "slo-ns": 100 * MS, **more.get(repeat, {})})
        for name, repeat in kinds.items()
    ]
    return params(classes=classes, limits=limits)


async def started(made: Rig, **statuses: str) -> None:
    """As `Rig.start`, with targets that the list has otherwise than up."""
    starting = made.later(made.proxy.start())
    watch = await made.agent.watch()
    await watch.tell(1, *made.entries(**statuses))
    await starting


def listed(made: Rig, **statuses: str) -> None:
    """The list's next word, at this very moment."""
    group = made.proxy.group
    group.learn({"index": group.index + 1, "snapshot": True, "endpoints": made.entries(**statuses)})


async def left(made: Rig, client: Link, how: str) -> None:
    """The client has left by "fin" or "reset", and the proxy knows it: nothing is open any more."""
    client.leave(how)
    await made.see(lambda: not made.proxy.engine.owed)


async def after(made: Rig, call: str = "last") -> list[str]:
    """What has come to all targets by the time that one more request, sent behind all else, is served."""
    for target in made.targets:
        made.later(target.serve())
    client = await made.client()
    await client.send(request(call))
    await client.until(b"hi")
    return sorted(call for target in made.targets for call in target.calls)


async def at_rest(made: Rig) -> None:
    """Nothing of a request is left: flows, clients' places, what the decisions and the account hold."""
    await made.see(lambda: made.proxy.engine.flows == {} and not made.proxy.engine.balancer.jobs)
    assert not made.proxy.engine.balancer.evidence.marks
    assert all(not server.own for server in made.proxy.engine.balancer.servers.values())


async def first(made: Rig) -> tuple[Link, bytes]:
    """The first request that comes to any target, and its connection; those given up bring none."""
    while True:
        target = await made.see(lambda: next((one for one in made.targets if one.waiting()), None))
        with contextlib.suppress(EOFError):
            return target.links[-1], await target.ask(target.links[-1])


async def idle(made: Rig, call: str = "before") -> tuple[Link, Connection]:
    """A connection that has served and is idle: the target's end, the proxy's."""
    client = await made.client()
    await client.send(request(call))
    link, _ = await first(made)
    await link.send(OK)
    await client.until(b"hi")
    pool = next(pool for pool in made.proxy.forwards.pools.values() if pool.idle)
    return link, pool.idle[0]


def ends_at_the_look(
    link: Link, connection: Connection, how: str, seen: bool, then: Callable[[], None] = lambda: None
) -> None:
    """The target ends an idle connection as a request is about to be written to it: just before the last
    look at it, or between that and the write."""
    quiet = connection.quiet

    def look() -> bool:
        before = quiet()
        link.leave(how)
        then()
        return quiet() if seen else before

    connection.quiet = look


class Making:
    """A dialer whose connections are in the making already: a close does not stop them from coming up."""

    def __init__(self, real: Any) -> None:
        self.real, self.ups = real, list[Callable[[], None]]()
        self.came = asyncio.Event()  # one stands, and is kept back

    def dial(self, address: Any, deadline: float, factory: Any, up: Any, ended: Any) -> Any:
        def stands(connection: Any) -> None:
            self.ups.append(lambda: up(connection))
            self.came.set()

        self.real.dial(address, deadline, factory, stands, ended)
        return self

    def close(self) -> None: ...


# A client that has left


@CANCEL
@LEAVES
def test_a_dial_that_comes_up_late_brings_nobody_s_request(tmp_path: Path, how: str, cancel: bool) -> None:
    async def work() -> None:
        async with rig(tmp_path, settings=params(limits={"cancel": cancel})) as made:
            await made.start()
            made.dialer.holding = True
            client = await made.client()
            await client.send(request("c1"))
            await made.dialer.came.wait()
            await left(made, client, how)
            made.dialer.let_go()
            assert await after(made) == ["last"]
            await at_rest(made)

    play(work())


@CANCEL
@LEAVES
def test_nor_does_one_whose_connection_stands_already(tmp_path: Path, how: str, cancel: bool) -> None:
    async def work() -> None:
        async with rig(tmp_path, settings=params(limits={"cancel": cancel})) as made:
            await made.start()
            making = Making(made.dialer.real)
            made.proxy.forwards.dialer = making  # type: ignore[assignment]
            client = await made.client()
            await client.send(request("c1"))
            await making.came.wait()
            await left(made, client, how)
            made.proxy.forwards.dialer = made.dialer  # type: ignore[assignment]
            making.ups[0]()
            link = await made.targets[0].link()
            assert await link.gone() == "reset" or link.ended == "fin"
            assert link.buffer == b"" and await after(made) == ["last"]
            assert made.proxy.guard.descriptors.held[Use.TARGETS] == 1

    play(work())


@CANCEL
@LEAVES
def test_between_a_failed_attempt_and_the_next(tmp_path: Path, how: str, cancel: bool) -> None:
    # The only target that is up has turned it away; another comes up only once the client has left.
    async def work() -> None:
        async with rig(tmp_path, targets=2, settings=params(limits={"cancel": cancel})) as made:
            await started(made, s2="draining")
            client = await made.client()
            await client.send(request("c1"))
            link = await made.targets[0].taken()
            await link.send(FULL)
            await made.see(lambda: made.proxy.engine.balancer.held)
            await left(made, client, how)
            listed(made, s2="up")
            made.later(made.targets[0].serve())
            assert await after(made) == ["c1", "last"]

    play(work())


@CANCEL
@LEAVES
def test_about_to_get_a_second_copy(tmp_path: Path, how: str, cancel: bool) -> None:
    async def work() -> None:
        async with rig(tmp_path, targets=2, settings=brisk(cancel=cancel)) as made:
            await made.start()
            client = await made.client()
            await client.send(request("c1"))
            link, _ = await first(made)
            made.dialer.holding = True
            await made.dialer.came.wait()  # the copy's
            await left(made, client, how)
            made.dialer.let_go()
            assert await after(made) == ["c1", "last"]
            if cancel:
                assert await link.gone()

    play(work())


@CANCEL
@LEAVES
@pytest.mark.parametrize("ends", ["fin", "reset"])
@pytest.mark.parametrize("seen", [True, False], ids=["seen", "unseen"])
def test_on_an_idle_connection_that_turns_out_closed(
    tmp_path: Path, how: str, cancel: bool, seen: bool, ends: str
) -> None:
    # It would be written anew on a new connection, whose dial comes up late.
    async def work() -> None:
        async with rig(tmp_path, targets=2, settings=params(limits={"cancel": cancel})) as made:
            await started(made, s2="draining")
            ends_at_the_look(*await idle(made), ends, seen, lambda: listed(made, s2="up"))
            made.dialer.holding = True
            client = await made.client()
            await client.send(request("c1"))
            await made.dialer.came.wait()
            await left(made, client, how)
            made.dialer.let_go()
            assert await after(made) == ["before", "last"]

    play(work())


@CANCEL
@LEAVES
def test_half_written_it_is_not_written_on(tmp_path: Path, how: str, cancel: bool) -> None:
    # The target takes no more, and the kernel holds less than the body: its last byte is still here.
    async def work() -> None:
        async with rig(tmp_path, settings=params(limits={"cancel": cancel})) as made:
            made.targets[0].sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await made.start()
            link, connection = await idle(made)
            narrow = connection.transport.get_extra_info("socket")
            narrow.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            client = await made.client()
            await client.send(request("c1", "/pay/x", body=bytes(60_000)))
            await made.see(lambda: connection.run and not connection.written)
            await left(made, client, how)
            with pytest.raises(EOFError):
                await made.targets[0].ask(link)
            assert await after(made) == ["before", "last"]

    play(work())


# A flow that is answered, or has begun to be


@CANCEL
@pytest.mark.parametrize("answer", [OK, SLOW], ids=["whole", "long"])
def test_a_copy_that_comes_up_after_the_answer_is_not_written(
    tmp_path: Path, cancel: bool, answer: bytes
) -> None:
    async def work() -> None:
        async with rig(tmp_path, targets=2, settings=brisk(cancel=cancel)) as made:
            await made.start()
            client = await made.client()
            await client.send(request("c1"))
            link, _ = await first(made)
            made.dialer.holding = True
            await made.dialer.came.wait()  # the copy's
            await link.send(answer + (b"x" if answer is SLOW else b""))
            await client.until(b"\r\n\r\n")
            made.dialer.let_go()
            assert await after(made) == ["c1", "last"]

    play(work())


@CANCEL
def test_of_two_attempts_in_dials_only_one_gets_a_long_body(tmp_path: Path, cancel: bool) -> None:
    async def work() -> None:
        async with rig(tmp_path, targets=2, settings=brisk(cancel=cancel)) as made:
            await made.start()
            made.dialer.holding = True
            client = await made.client()
            body = bytes(range(250)) * (LONG // 250)
            asking = made.later(client.send(request("c1", "/keep/x", body=body)))
            await made.see(lambda: len(made.dialer.waiting) == 2)
            made.dialer.let_go()
            link, whole = await first(made)
            await asking
            assert whole.endswith(b"\r\n\r\n" + body)
            await link.send(OK)
            await client.until(b"hi")
            assert await after(made) == ["c1", "last"]

    play(work())


# Its own time


def test_nothing_is_written_once_its_time_is_over() -> None:
    async def work() -> None:
        loop, target = asyncio.get_running_loop(), Target()
        hands = Hands(loop)
        hands.start()
        making = Making(SocketDialer(loop, hands))
        limits = api.Limits(max_attempts=3, connect_timeout=5.0, connection_idle=30.0)
        forwards = Forwards(loop, limits, RULES, guard(loop, 10), making)
        forwards.listed("s", ("127.0.0.1", target.port), True)
        forwards.forward(message(), "s", over := Ended(loop.time()))
        assert over.endings == [Ending.WITHDRAWN] and not making.ups  # not even a dial
        forwards.forward(message(), "s", late := Ended(loop.time() + 0.03))
        await making.came.wait()
        while loop.time() < late.deadline:
            await asyncio.sleep(0)
        making.ups.pop()()
        assert late.endings == [Ending.WITHDRAWN] and len(forwards.pools["s"].idle) == 1
        forwards.forward(message(), "s", in_time := Ended(loop.time() + 5.0))
        await (await target.taken()).send(OK)
        await in_time.over.wait()
        assert in_time.endings == [Ending.SERVED] and target.calls == ["1"]
        hands.close()
        target.close()

    play(work())
