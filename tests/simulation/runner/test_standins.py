"""Boxes on a loop, the seals of what they are asked, doors, and the relay between the proxies."""

from __future__ import annotations

import asyncio
import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from firvane.simulation.emulation.records import Arrived, BoxState, Dropped, Finished, Probed, Sent
from firvane.simulation.runner.listeners import Door, SocketDoor, reset
from firvane.simulation.runner.plan import Plan, claim_net
from firvane.simulation.runner.relay import Relay
from firvane.simulation.runner.wire import AnyJobs, Ask, Seals, field, head_of, quick_answer, quick_ask
from tests.proxy.net.helpers import run as on_sockets
from tests.proxy.net.helpers import seeded
from tests.simulation.runner.standin_helpers import BOXES, SEALS, Bench, benched, request
from tests.simulation.runner.virtual_helpers import Noted

# What a request and its answer say


@seeded
@given(st.integers(0, 10**6), st.binary(min_size=1, max_size=3), st.integers(1, 60))
def test_whatever_changes_in_a_sealed_request_or_body_is_noticed(us: int, noise: bytes, at: int) -> None:
    path = SEALS.path(b"c1", "k", us / 1e6)
    job = SEALS.job(Ask(path, b"c1", b""))
    assert job and job.key == "k" and round(job.work * 1e6) == us
    broken = path[:at] + noise + path[at + len(noise) :]
    if broken != path:
        assert SEALS.job(Ask(broken, b"c1", b"")) is None
    assert SEALS.job(Ask(path, b"c2", b"")) is None and SEALS.job(Ask(path, b"", b"")) is None
    body = SEALS.body(b"c1")
    assert len(body) >= 100 - 26 and SEALS.made_for(body) == "c1"
    broken = body[:at] + noise + body[at + len(noise) :]
    assert broken == body or SEALS.made_for(broken) == ""
    assert Seals(2, "view", 100).made_for(body) == "" == SEALS.made_for(body[:-1])


def test_the_quick_reader_takes_only_what_it_can_tell_without_a_parser() -> None:
    plain = request()
    assert quick_ask(plain) == (plain[4 : plain.find(b" HTTP")], b"c1", plain)
    for odd in (plain[:-1], plain + plain, plain.replace(b"X-Call-Id", b"x-call-id"), b"POST" + plain[3:]):
        assert quick_ask(odd) is None
    assert quick_ask(plain[:-2] + b"Content-Length: 1\r\n\r\n") is None
    answer = b"HTTP/1.1 503 X\r\nretry-after: 0.5\r\nContent-Length: 2\r\n\r\nno"
    assert quick_answer(answer) == (503, b"no") and field(head_of(answer), b"retry-after") == b"0.5"
    for odd in (
        answer[:-1],
        answer + b"x",
        b"HTTP/1.1 100 X" + answer[14:],
        answer.replace(b"Content-L", b"Y"),
    ):
        assert quick_answer(odd) is None


# A box


@benched()
async def test_an_attempt_counts_with_its_last_byte_and_its_answer_names_its_call(b: Bench) -> None:
    b.host()
    proxy = await b.dial()
    proxy.transport.write(request()[:30])
    await asyncio.sleep(1.0)
    assert not b.of(Arrived)
    proxy.transport.write(request()[30:])
    await asyncio.sleep(1.0)
    assert quick_answer(proxy.data) == (200, SEALS.body(b"c1"))
    (arrived,), (finished,) = b.of(Arrived), b.of(Finished)
    assert (
        arrived[1:6] == ("c1", "n0", "b1", 0, pytest.approx(arrived.at - 1.0)) and arrived.verdict == "taken"
    )
    assert finished.wanted and finished.work == pytest.approx(0.1)
    assert finished.at == pytest.approx(arrived.at + 0.1)


@benched()
async def test_what_no_client_sent_is_turned_down_and_probes_are_counted(b: Bench) -> None:
    b.host()
    proxy = await b.dial()
    for asked, status in (
        (request(path=b"/view/other?w=1&s=00000000"), b" 400 "),
        (b"GET / HTTP/1.1\r\n\r\n", b" 404 "),
        (b"GET /alive HTTP/1.1\r\n\r\n", b" 200 "),
    ):
        proxy.data = b""
        proxy.transport.write(asked)
        await asyncio.sleep(0.1)
        assert status in proxy.data[:20]
    assert [record.verdict for record in b.of(Arrived)] == ["unknown call"]
    assert len(b.of(Probed)) == 1


@benched()
async def test_to_close_a_connection_gives_its_attempt_up_and_to_talk_out_of_turn_breaks_it(b: Bench) -> None:
    b.host()
    closing, talking = await b.dial(), await b.dial("n1")
    closing.transport.write(request("c1", 5.0))
    talking.transport.write(request("c2", 5.0))
    await asyncio.sleep(0.1)
    closing.transport.write_eof()
    talking.transport.write(request("c3"))
    await asyncio.sleep(0.1)
    assert talking.heard()[-1] == "ConnectionResetError"
    assert [record.call for record in b.of(Dropped)] == ["c1", "c2"]
    assert [(r.call, r.wanted) for r in b.of(Finished)] == [("c1", False), ("c2", False)]


@benched()
async def test_connections_are_capped_cost_a_handshake_and_end_when_idle(b: Bench) -> None:
    b.host(replace(BOXES, connections=1, connect_s=0.05, idle_s=10.0))
    first, second = await b.dial(), await b.dial()
    for expected in (0.17, 0.12):  # 0.01 s each way, and the handshake once
        first.transport.write(request(f"{expected}", 0.1))
        asked = b.loop.time()
        while not first.data.endswith(b"..."):
            await asyncio.sleep(0.001)
        assert b.loop.time() - asked == pytest.approx(expected, abs=0.002)
        first.data = b""
    second.transport.write(request("c3"))
    await asyncio.sleep(0.1)
    assert b" 503 " in second.data and second.heard()[-1] == "lost"
    await asyncio.sleep(9.9)
    assert first.heard()[-1] == "lost"
    third = await b.dial()
    third.transport.write(request("c4"))
    await asyncio.sleep(0.3)
    assert b" 200 " in third.data  # there is room again


@benched()
async def test_a_silent_box_hears_nothing_lets_dials_hang_and_comes_back_cold(b: Bench) -> None:
    host = b.host()
    proxy = await b.dial()
    proxy.transport.write(request("c1", 5.0))
    await asyncio.sleep(0.1)
    host.box.silence(b.clock.now())
    host.settle(b.clock.now())
    proxy.transport.write(request("c2"))
    assert await b.hangs()
    await asyncio.sleep(10.0)
    assert proxy.heard() == ["made"] and b.of(Arrived)[-1].verdict == "unheard"
    host.restart(b.clock.now())
    await asyncio.sleep(0.1)
    assert proxy.heard() == ["made", "ConnectionResetError"]
    assert [(s.state, s.start) for s in b.of(BoxState)] == [("warm", 0), ("silent", 0), ("cold", 1)]
    again = await b.dial()
    again.transport.write(request("c3", 0.01))
    await asyncio.sleep(1.0)
    assert b" 200 " in again.data and b.of(Arrived)[-1].start == 1


@benched()
async def test_a_crash_resets_and_refuses_until_the_box_starts_again_where_it_was(b: Bench) -> None:
    host = b.host()
    proxy = await b.dial()
    proxy.transport.write(request("c1", 5.0))
    await asyncio.sleep(0.1)
    host.box.stop(b.clock.now())
    host.settle(b.clock.now())
    await asyncio.sleep(0.1)
    assert proxy.heard()[-1] == "ConnectionResetError" and not b.of(Finished)[0].wanted
    with pytest.raises(ConnectionRefusedError):
        await b.dial()
    host.restart(b.clock.now())
    await b.dial()
    host.close()


@benched()
async def test_a_cut_is_for_one_proxy_and_resets_only_what_was_lost_on(b: Bench) -> None:
    host = b.host()
    asked, idle, closed, other = [await b.dial() for _ in range(3)] + [await b.dial("n1")]
    closed.transport.write(request("c1", 60.0))
    await asyncio.sleep(0.1)
    host.cut("n0")
    asked.transport.write(request("c2"))
    closed.transport.close()
    assert await b.hangs() and not await b.hangs("n1")
    other.transport.write(request("c3", 0.01))
    await asyncio.sleep(1.0)
    assert b" 200 " in other.data and host.box.inside == 1  # it has yet to learn of the close
    host.break_connections()
    await asyncio.sleep(0.1)
    assert idle.heard() == ["made"] and other.heard()[-1] == "ConnectionResetError"
    host.heal("n0")
    await asyncio.sleep(0.1)
    assert idle.heard()[-1] == "ConnectionResetError"
    assert host.box.inside == 0 and asked.heard() == ["made", "ConnectionResetError"]
    assert not await b.hangs()


@benched()
async def test_a_paused_box_takes_requests_and_says_nothing_until_it_goes_on(b: Bench) -> None:
    host = b.host()
    proxy, probing = await b.dial(), await b.dial()
    host.box.pause(b.clock.now(), b.clock.now() + 2.0)
    host.settle(b.clock.now())
    proxy.transport.write(request("c1", 0.1))
    probing.transport.write(b"GET /alive HTTP/1.1\r\n\r\n")
    await asyncio.sleep(1.9)
    assert proxy.data == probing.data == b"" and len(b.of(Arrived)) == 1
    await asyncio.sleep(0.3)
    assert b" 200 " in probing.data and b" 200 " in proxy.data
    assert [s.state for s in b.of(BoxState)] == ["warm", "paused", "back"]


@benched()
async def test_a_cold_box_that_is_pushed_over_breaks_its_connections_and_stays_down(b: Bench) -> None:
    host = b.host(replace(BOXES, fall_chance=0.0), warm=False)
    fallen: list[float] = []
    host.on_fall = lambda: fallen.append(b.clock.now())
    proxies = [await b.dial() for _ in range(2)]
    for n, proxy in enumerate(proxies):
        proxy.transport.write(request(f"c{n}", 1.0))
    await asyncio.sleep(0.1)
    assert len(fallen) == 1 and b.of(BoxState)[-1].state == "fell"
    assert [proxy.heard()[-1] for proxy in proxies] == ["ConnectionResetError"] * 2
    host.restart(b.clock.now())
    with pytest.raises(ConnectionRefusedError):
        await b.dial()


def test_boxes_that_stand_alone_serve_any_client_by_the_cost_that_it_gives() -> None:
    jobs = AnyJobs(0.03, 0.05, 10)
    told = jobs.job(Ask(b"/x", b"", b"GET /x HTTP/1.1\r\nx-call-cost: 7000\r\nX-Route-Hash: m\r\n"))
    assert told == ("m", 0.007) and 0.03 <= jobs.job(Ask(b"/x", b"", b"\r\n")).work <= 0.05
    assert len(jobs.body(b"c")) == 10


# Doors on real sockets

SYN_SENT = 2  # in the kernel's table of states


def test_a_door_takes_refuses_and_hangs_and_resets_are_told() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        made: list[Noted] = []
        net, claim = claim_net()  # another run of the tests has another
        address = (f"127.{net}.0.1", 7007)

        def factory() -> Noted:
            made.append(Noted())
            return made[-1]

        def theirs(one: Noted) -> object:
            return one.transport and one.transport.get_extra_info("peername")

        async def dial() -> str:
            """What the kernel says of it: a try that it has not answered within 0.1 s hangs."""
            with socket.socket() as sock:
                sock.setblocking(False)
                sock.connect_ex(address)
                until = loop.time() + 0.1
                while sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == SYN_SENT:
                    if loop.time() > until:
                        return "hangs"
                    await asyncio.sleep(0.001)
                return "refused" if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) else "up"

        door: Door = SocketDoor(loop, address, factory)
        try:
            door.accept()
            assert await dial() == "up"
            door.hang()
            assert [await dial() for _ in range(3)] == ["hangs"] * 3
            door.accept()
            transport, near = await loop.create_connection(Noted, *address)
            ours = transport.get_extra_info("sockname")
            while not (far := [one for one in made if theirs(one) == ours]):
                await asyncio.sleep(0)
            door.refuse()
            assert await dial() == "refused"
            reset(far[0].transport)
            while len(near.heard()) < 2:
                await asyncio.sleep(0)
            assert near.heard()[-1] == "ConnectionResetError"
            door.hang()
            assert await dial() == "hangs"
        finally:
            door.refuse()
            claim.close()

    on_sockets(work())


# The relay


class Ear(asyncio.DatagramProtocol):
    def __init__(self) -> None:
        self.heard: list[tuple[float, bytes, object]] = []

    def datagram_received(self, data: bytes, addr: object) -> None:
        self.heard.append((round(asyncio.get_running_loop().time(), 3), data, addr))


class Post:
    """Says what becomes of the next datagrams."""

    def __init__(self, *delays: float | None) -> None:
        self.delays = list(delays)

    def datagram(self, now: float, a: str, b: str) -> float | None:
        return self.delays.pop(0)


@benched(0.0)
async def test_datagrams_come_late_or_never_from_where_their_sender_is_known(b: Bench) -> None:
    plan, post = Plan(20, 3), Post(0.5, None, 0.2)
    relay = Relay(b.clock, plan, ("n0", "n1", "n2"), ("a", "a", "b"), post, b.records.append)
    await relay.open()
    ears = [await b.loop.create_datagram_endpoint(Ear, local_addr=plan.peer_listen(n)) for n in range(3)]
    send = ears[0][0].sendto
    send(b"to all", plan.peers_all(0))  # to n1 after 0.5 s, to n2 never
    send(b"to one", plan.peer(0, 2))
    send(b"x" * 257, plan.peer(0, 1))
    ears[1][0].sendto(b"not its own address", plan.peer(0, 2))
    await asyncio.sleep(1.0)
    heard = [ear.heard for _, ear in ears]
    assert heard == [[], [(0.5, b"to all", plan.peer(1, 0))], [(0.2, b"to one", plan.peer(2, 0))]]
    assert [(s.size, s.arrived) for s in b.of(Sent)] == [(6, True), (6, False), (6, True), (257, False)]
    relay.close()
