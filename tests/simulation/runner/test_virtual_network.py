"""Connections and datagrams in memory: what arrives, when, and how each comes to its end."""

from __future__ import annotations

import asyncio
import itertools
import random
from functools import partial
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.simulation.runner.arrivals import READ
from firvane.simulation.runner.link import HIGH, WINDOW
from firvane.simulation.runner.listeners import reset
from firvane.simulation.runner.process import Process
from firvane.simulation.runner.virtual import VirtualLoop as Loop
from firvane.simulation.runner.virtual_network import MOST_DATAGRAMS
from firvane.simulation.runner.zones import Zones
from tests.proxy.net.helpers import run, seeded
from tests.simulation.runner.virtual_helpers import CLIENT, SERVER, Filled, Net, Noted, pair, virtual

RESET = "ConnectionResetError"
ACTS = ["write", "lines", "pause", "resume", "cut", "heal", "wait"]


@seeded
@given(
    st.lists(st.tuples(st.sampled_from(ACTS), st.integers(0, 300_000)), max_size=30),
    st.booleans(),
    st.randoms(use_true_random=False),
)
@virtual
async def test_bytes_arrive_in_order_and_once_whatever_happens(
    loop: Loop, net: Net, acts: list[tuple[str, int]], fills: bool, draw: random.Random
) -> None:
    # However they are written, whatever the delays, with pauses of the reader and cuts of the link.
    net.delay = lambda now, a, b: None if net.seconds is None else draw.choice((0.0, 0.001, 0.3))
    near, far = await pair(loop, Filled if fills else Noted)
    numbers, sent = itertools.count(), b""
    for act, size in acts:
        data = b"".join(b"%d," % next(numbers) for _ in range(size // (500 if fills else 5)))
        if act == "write":
            near.transport.write(bytearray(data))
        elif act == "lines":
            near.transport.writelines([data[: size // 2], b"", memoryview(data[size // 2 :])])
        elif act in ("pause", "resume"):
            getattr(far.transport, f"{act}_reading")()
        elif act in ("cut", "heal"):
            net.seconds = None if act == "cut" else 0.0
        else:
            await asyncio.sleep(size / 100_000)
        sent += data if act in ("write", "lines") else b""
    net.seconds = 0.0
    far.transport.resume_reading()
    near.transport.close()
    await asyncio.sleep(1000)
    assert far.data == sent
    assert far.heard()[-2:] == ["end", "lost"] and near.heard()[-1] == "lost"


@virtual
async def test_what_is_sent_takes_the_time_of_its_way_and_is_read_together(loop: Loop, net: Net) -> None:
    near, far = await pair(loop)
    began = loop.time()
    near.transport.write(b"a")
    near.transport.writelines([b"b", b"c"])
    await asyncio.sleep(0.005)
    near.transport.write(b"d")
    await asyncio.sleep(1)
    assert far.notes[1:] == [(round(began + 0.01, 6), b"abc"), (round(began + 0.015, 6), b"d")]
    near.transport.write(bytes(READ + 5))
    await asyncio.sleep(1)
    assert max(what for what in far.heard() if isinstance(what, int)) <= READ
    far.transport.write(b"x")
    quiet = [near.transport.is_quiet()]
    loop.call_at(loop.time() + 0.01, lambda: quiet.append(near.transport.is_quiet()))  # before it is read
    near.transport.pause_reading()
    await asyncio.sleep(1)
    assert [*quiet, near.transport.is_quiet()] == [True, False, False]


@virtual
async def test_a_connection_is_up_after_the_way_there_and_back(loop: Loop, net: Net) -> None:
    made: list[Noted] = []
    server = await loop.create_server(lambda: made.append(Noted(b"hi")) or made[-1], SERVER[0], 0)
    address = server.sockets[0].getsockname()
    transport, near = await loop.create_connection(Noted, *address, local_addr=(CLIENT, 0))
    await asyncio.sleep(1)
    assert near.notes == [(0.02, "made"), (0.04, b"hi")] and made[0].notes == [(0.03, "made")]
    assert transport.get_extra_info("peername") == address == made[0].transport.get_extra_info("sockname")
    assert made[0].transport.get_extra_info("peername")[0] == CLIENT
    with pytest.raises(OSError, match="taken"):
        await loop.create_server(Noted, *address)
    server.close()
    began = loop.time()
    with pytest.raises(ConnectionRefusedError):
        await loop.create_connection(Noted, *address)
    assert loop.time() == pytest.approx(began + 0.02)
    transport.write(b"those that are made stay")
    await asyncio.sleep(1)
    assert made[0].data


@virtual
async def test_a_slow_reader_makes_the_buffer_of_the_writer_grow(loop: Loop, net: Net) -> None:
    near, far = await pair(loop)
    far.transport.pause_reading()
    near.transport.write(bytes(WINDOW))
    await asyncio.sleep(1)
    assert near.transport.get_write_buffer_size() == 0 and near.heard() == ["made"] and not far.data
    near.transport.write(bytes(HIGH))
    assert near.heard() == ["made"]
    near.transport.write(b"x")
    assert near.heard() == ["made", "pause"] and near.transport.get_write_buffer_size() == HIGH + 1
    far.transport.resume_reading()
    await asyncio.sleep(1)
    assert near.heard() == ["made", "pause", "resume"] and len(far.data) == WINDOW + HIGH + 1
    # With no buffer allowed a writer hears when its last byte has gone: by this the proxy tells whether a
    # break came before or after it.
    near.transport.set_write_buffer_limits(0)
    near.transport.write(b"small")
    assert near.heard()[3:] == []
    far.transport.pause_reading()
    near.transport.write(bytes(WINDOW))
    assert near.heard()[3:] == ["pause"] and near.transport.get_write_buffer_size() == 5
    far.transport.resume_reading()
    await asyncio.sleep(1)
    assert near.heard()[3:] == ["pause", "resume"] and near.transport.get_write_buffer_size() == 0


@pytest.mark.parametrize("keeps", [False, True])
@virtual
async def test_an_end_of_one_way_leaves_the_other_where_wished(loop: Loop, net: Net, keeps: bool) -> None:
    near, far = await pair(loop, partial(Noted, keeps=keeps))
    near.transport.write(b"last")
    near.transport.write_eof()
    with pytest.raises(RuntimeError):
        near.transport.write(b"more")
    await asyncio.sleep(1)
    far.transport.write(b"answer")
    await asyncio.sleep(1)
    assert far.heard()[1:] == [b"last", "end"] + ([] if keeps else ["lost"])
    assert near.heard()[1:] == ([b"answer"] if keeps else ["end", "lost"])


@pytest.mark.parametrize(("act", "size", "last"), [("close", WINDOW + 9, "end"), ("abort", WINDOW, RESET)])
@virtual
async def test_only_a_close_sends_the_rest(loop: Loop, net: Net, act: str, size: int, last: str) -> None:
    near, far = await pair(loop)
    far.transport.pause_reading()
    near.transport.write(bytes(WINDOW + 9))
    getattr(near.transport, act)()
    near.transport.write(b"too late")
    assert near.transport.is_closing()
    await asyncio.sleep(1)
    far.transport.resume_reading()
    await asyncio.sleep(1)
    assert len(far.data) == size and last in far.heard() and near.heard()[-1] == "lost"


@virtual
async def test_who_goes_with_bytes_unread_or_is_gone_or_at_fault_resets(loop: Loop, net: Net) -> None:
    near, far = await pair(loop)
    far.transport.pause_reading()
    near.transport.write(b"unread")
    await asyncio.sleep(1)
    far.transport.close()
    await asyncio.sleep(1)
    assert near.heard() == ["made", RESET]
    near, far = await pair(loop)
    near.transport.pause_reading()
    far.transport.close()
    near.transport.write(b"crosses the end")
    await asyncio.sleep(1)
    assert near.heard() == ["made"]  # who does not read does not notice
    near.transport.write(b"noticed")
    await asyncio.sleep(1)
    assert near.heard() == ["made", "BrokenPipeError"]
    near, far = await pair(loop)
    faults: list[Any] = []
    loop.set_exception_handler(lambda loop, context: faults.append(context["exception"]))
    far.data_received = lambda data: 1 // 0
    near.transport.write(b"x")
    await asyncio.sleep(1)
    assert isinstance(faults[0], ZeroDivisionError)
    assert far.heard()[-1] == "lost" and near.heard()[-1] == RESET


async def _gone_behind_bytes(
    loop: asyncio.AbstractEventLoop, factory: Any, address: tuple[str, int], by_reset: bool, unread: bool
) -> tuple[list[Any], list[Any]]:
    """What a side hears that does not read while the other one leaves, and what it hears once it reads."""
    made: list[Any] = []
    came = asyncio.Event()

    def accept() -> Any:
        made.append(factory())
        came.set()
        return made[0]

    server = await loop.create_server(accept, *address)
    client, _ = await loop.create_connection(asyncio.Protocol, *server.sockets[0].getsockname()[:2])
    await came.wait()
    await asyncio.sleep(0.05)
    far = made[0]
    far.transport.pause_reading()
    if unread:
        client.write(b"behind this")
        await asyncio.sleep(0.05)
    reset(client) if by_reset else client.close()
    await asyncio.sleep(0.2)
    before = list(far.heard())
    far.transport.resume_reading()
    await asyncio.sleep(0.2)
    server.close()
    return before, far.heard()


@pytest.mark.parametrize("unread", [False, True])
@pytest.mark.parametrize("by_reset", [False, True])
def test_who_does_not_read_notices_neither_an_end_nor_a_reset_as_on_sockets(
    by_reset: bool, unread: bool
) -> None:
    # What clients that left unseen are judged by in virtual time must be as it is on the loop of the program.
    heard: list[Any] = []

    @virtual
    async def in_memory(loop: Loop, net: Net) -> None:
        heard.append(await _gone_behind_bytes(loop, Noted, (SERVER[0], 0), by_reset, unread))

    async def on_sockets() -> None:
        loop = asyncio.get_running_loop()
        heard.append(await _gone_behind_bytes(loop, Noted, ("127.0.0.1", 0), by_reset, unread))

    in_memory()
    run(on_sockets())
    assert heard[0] == heard[1] and heard[0][0] == ["made"] and heard[0][1][-1] in ("lost", RESET)


@pytest.mark.parametrize("by_reset", [False, True])
@virtual
async def test_a_side_can_be_asked_whether_the_other_stands_behind_bytes_that_lie_unread(
    loop: Loop, net: Net, by_reset: bool
) -> None:
    near, far = await pair(loop)
    far.transport.pause_reading()
    near.transport.write(b"unread")
    await asyncio.sleep(1)
    assert far.transport.stands() and near.transport.stands()
    (near.transport.abort if by_reset else near.transport.close)()
    await asyncio.sleep(0.005)
    assert far.transport.stands()  # its word is on its way
    await asyncio.sleep(1)
    assert not far.transport.stands() and far.heard() == ["made"]


@virtual
async def test_a_cut_is_silent_and_what_was_sent_meanwhile_arrives_after_it(loop: Loop, net: Net) -> None:
    near, far = await pair(loop)
    far.transport.write(b"out already")
    net.seconds = None
    near.transport.write(b"a")
    loop.call_later(5.0, near.transport.write, b"b")
    knock = loop.create_task(loop.create_connection(Noted, "10.0.0.9", 1, local_addr=(CLIENT, 0)))
    await asyncio.sleep(10.0)
    assert far.heard() == ["made"] and near.heard() == ["made", b"out already"] and not knock.done()
    net.seconds = 0.01
    with pytest.raises(ConnectionRefusedError):
        await knock
    assert far.heard()[1:] == [b"ab"]


@virtual
async def test_a_door_takes_refuses_or_lets_hang(loop: Loop, net: Net) -> None:
    door = loop.memory.door(SERVER, Noted)
    door.accept()
    await loop.create_connection(Noted, *SERVER)
    door.refuse()
    with pytest.raises(ConnectionRefusedError):
        await loop.create_connection(Noted, *SERVER)
    door.hang()
    loop.call_later(10.0, door.accept)
    await loop.create_connection(Noted, *SERVER)
    assert loop.time() > 10.0
    net.seconds = None
    with pytest.raises(TimeoutError, match="timed out"):  # as the kernel's own patience ends
        await loop.create_connection(Noted, *SERVER, local_addr=(CLIENT, 0))


@pytest.mark.parametrize("silently", [False, True])
@virtual
async def test_the_dead_reset_or_with_their_machine_say_nothing(loop: Loop, net: Net, silently: bool) -> None:
    process, made = Process(loop, "box", SERVER[0]), list[Noted]()
    process.call(loop.memory.listen, SERVER, lambda: made.append(Noted()) or made[-1])
    _, near = await loop.create_connection(Noted, *SERVER, local_addr=(CLIENT, 0))
    await asyncio.sleep(1)
    made[0].transport.write(b"on its way")
    began = loop.time()
    if silently:
        net.seconds = None
        made[0].transport.write(b"never left")
        near.transport.write(b"into the dark")
    process.kill(silently)
    await asyncio.sleep(10)
    assert not process.ends and made[0].heard() == ["made"]  # the dead hear nothing
    if silently:
        assert near.heard() == ["made", b"on its way"]
        net.seconds = 0.01
        await asyncio.sleep(10)
        assert near.heard() == ["made", b"on its way", RESET]
    else:
        assert near.notes[-1] == (round(began + 0.01, 6), RESET)
    with pytest.raises(ConnectionRefusedError):
        await loop.create_connection(Noted, *SERVER)


@virtual
async def test_datagrams_come_late_or_never_and_are_bounded(loop: Loop, net: Net) -> None:
    here, there = ("10.0.0.1", 9), ("10.0.0.2", 9)
    near, _ = await loop.create_datagram_endpoint(Noted, local_addr=here)
    far, ear = await loop.create_datagram_endpoint(Noted, local_addr=there)
    net.datagrams = [0.5, None, 0.1]
    for data in (b"late", b"lost", b"early", b"usual"):
        near.sendto(data, there)
    near.sendto(b"nobody", ("10.0.0.3", 9))
    await asyncio.sleep(1)
    assert ear.heard() == ["made", (b"usual", here), (b"early", here), (b"late", here)]
    with pytest.raises(ValueError, match="too long"):
        near.sendto(bytes(70_000), there)
    with pytest.raises(OSError, match="taken"):
        await loop.create_datagram_endpoint(Noted, local_addr=there)
    for _ in range(2 * MOST_DATAGRAMS):
        near.sendto(b"flood", there)
    await asyncio.sleep(1)
    near.sendto(b"to one that closes", there)
    far.close()
    await asyncio.sleep(1)
    assert len(ear.heard()) == 1 + 3 + MOST_DATAGRAMS + 1 and ear.heard()[-1] == "lost"


def test_hosts_are_as_far_as_their_zones_and_the_silent_hear_nothing() -> None:
    class Links:
        def delay(self, now: float, a: str, b: str) -> float | None:
            return {"ab": 0.5, "ba": 0.5, "aa": 0.1}.get(a + b)

        def datagram(self, now: float, a: str, b: str) -> float | None:
            return 0.7

    zones = Zones(Links(), {"h1": "a", "h2": "b", "h3": "c", "h4": "a"})
    assert [zones.delay(0.0, "h1", h) for h in ("h1", "h2", "h3", "h4", "?")] == [0.0, 0.5, None, 0.1, 0.1]
    assert zones.delay(0.0, "?", "!") == 0.0 and zones.datagram(0.0, "h1", "h2") == 0.7
    assert Zones(Links(), zones.zones, relayed=True).datagram(0.0, "h1", "h2") == 0.5
    zones.silent["h2"] = None
    assert zones.delay(0.0, "h1", "h2") is zones.datagram(0.0, "h2", "h4") is None
