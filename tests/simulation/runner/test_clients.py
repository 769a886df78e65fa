"""The clients and their front, against proxies written by hand, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import pytest
from msgspec.structs import replace

from firvane.simulation.emulation.records import Abandoned, Answered, Asked
from firvane.simulation.emulation.scenario import Load
from firvane.simulation.runner.clients import SLACK_S, Clients
from firvane.simulation.runner.connections import CROSSED_S, SLOW_S
from tests.simulation.runner.standin_helpers import NO_RETRIES, SEALS, Bench, HandProxy, benched, serve

LOAD = Load(rate=20.0, request_class="view", body_bytes=100, retries=NO_RETRIES, connections=4)
Answers = Callable[[HandProxy, str], None]
Log = list[tuple[HandProxy, str]]


def never(proxy: HandProxy, call: str) -> None:
    """It takes the request and that is all."""


async def played(b: Bench, load: Load, *answers: Answers, seconds: float = 2.0) -> tuple[Clients, Log]:
    """All tries of so many seconds and their ends, with one proxy for each way to answer."""
    log: Log = []
    clients = b.clients(load, len(answers))
    for number, answer in enumerate(answers):
        b.loop.memory.listen((f"10.1.0.{number}", 80), partial(HandProxy, log, answer))
        clients.front.started(f"proxy-{number}")
    await asyncio.sleep(0.5)
    clients.clock.begin(b.loop.time())
    clients.begin(seconds)
    while not clients.is_done:
        await asyncio.sleep(0.1)
    return clients, log


@benched()
async def test_tries_leave_on_time_and_their_answers_are_told_with_whose_they_are(b: Bench) -> None:
    def odd(proxy: HandProxy, call: str) -> None:
        match len(log_of) % 4:
            case 0:
                serve(proxy, "another")
            case 1:
                proxy.say(200, b"not from a box")
            case 2:
                proxy.say(503, b"", b"Retry-After: 0.25\r\n")
            case 3:
                body = SEALS.body(call.encode())
                chunks = b"%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n" % (50, body[:50], len(body) - 50, body[50:])
                proxy.transport.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunks)
        log_of.append(call)

    log_of: list[str] = []
    await played(b, LOAD, odd)
    asked, answered = b.of(Asked), b.of(Answered)
    assert len(asked) == len(answered) > 20 and all(a.taken for a in asked)
    # A connection costs a dial of 0.02 s; where one stands a try leaves when it was meant to.
    late = [round(a.at - a.meant, 6) for a in asked]
    assert min(late) == 0.0 and max(late) <= 0.02 and late.count(0.0) > len(late) / 2
    for n, answer in enumerate(sorted(answered, key=lambda a: log_of.index(a.call))):
        expected = [(200, 0.0, "another"), (200, 0.0, ""), (503, 0.25, ""), (200, 0.0, answer.call)]
        assert (answer.status, answer.retry_after, answer.body_of) == expected[n % 4]


@benched()
async def test_a_proxy_that_never_answers_holds_up_no_other_and_is_given_up_at_the_deadline(b: Bench) -> None:
    _, log = await played(b, LOAD, never, serve)
    asked = {a.call: a for a in b.of(Asked)}
    served = [a for a in b.of(Answered) if a.status == 200]
    assert len(served) > 10 and all(a.at - asked[a.call].meant < 0.1 for a in served)
    given_up = b.of(Abandoned)
    assert len(given_up) + len(served) == len(asked) and len(given_up) > 10
    for record in given_up:
        assert record.at == pytest.approx(asked[record.call].deadline + SLACK_S)
        assert log[[call for _, call in log].index(record.call)][0].transport.is_closing()


@benched(0.001)
async def test_a_request_that_crosses_a_close_goes_once_more_and_one_that_was_read_does_not(b: Bench) -> None:
    seen: list[str] = []

    def ends(proxy: HandProxy, call: str) -> None:
        seen.append(call)
        if len(seen) in (1, 3):  # a new connection; and as if the end had been on its way before
            proxy.transport.close()
        elif len(seen) == 7:  # read, and then lost
            b.loop.call_later(CROSSED_S, proxy.transport.abort)
        else:
            serve(proxy, call)

    await played(b, replace(LOAD, connections=1, rate=5.0), ends)
    assert seen[2] == seen[3] and len(set(seen)) == len(seen) - 1
    assert [a.call for a in b.of(Asked)] == seen
    assert [a.status for a in b.of(Answered)][:7] == [0, 200, 200, 200, 200, 0, 200]


@benched(0.001)
async def test_a_second_answer_is_recorded_as_one(b: Bench) -> None:
    def twice(proxy: HandProxy, call: str) -> None:
        serve(proxy, call)
        b.loop.call_later(0.01, serve, proxy, call)

    await played(b, replace(LOAD, rate=0.5), twice, seconds=9.0)
    await asyncio.sleep(0.1)
    calls = [a.call for a in b.of(Answered)]
    assert calls and all(calls.count(call) == 2 for call in calls)


@benched()
async def test_who_finds_no_proxy_is_recorded_and_tries_again_by_its_habits(b: Bench) -> None:
    load = Load(rate=5.0, request_class="view", body_bytes=100)
    clients = b.clients(load)
    clients.begin(1.0)
    while not clients.is_done:
        await asyncio.sleep(0.1)
    asked = b.of(Asked)
    firsts = [a for a in asked if not a.is_retry]
    assert len(asked) == 3 * len(firsts) > 0 and not any(a.taken for a in asked) and not b.of(Answered)


@benched()
async def test_who_vanishes_goes_early(b: Bench) -> None:
    await played(b, replace(LOAD, vanishing=1.0), never)
    asked = {a.call: a for a in b.of(Asked)}
    for record in b.of(Abandoned):
        first = asked[record.call]
        assert record.at - first.meant <= 0.51 * (first.deadline - first.meant)
    assert len(asked) == len(b.of(Abandoned)) > 0


@pytest.mark.parametrize(("by_reset", "at_once"), [(0.0, 1), (1.0, 1), (0.0, 3), (1.0, 3)])
@benched()
async def test_who_leaves_goes_while_it_waits_by_an_end_or_a_reset(
    b: Bench, by_reset: float, at_once: int
) -> None:
    ends: list[Exception | None] = []

    class Taken(HandProxy):
        def connection_lost(self, error: Exception | None) -> None:
            if self.log:
                ends.append(error)

    load = replace(LOAD, leaving=1.0, leave_s=(0.1, 0.2), leave_reset=by_reset, at_once=at_once)
    log: Log = []
    clients = b.clients(load)
    b.loop.memory.listen(("10.1.0.0", 80), partial(Taken, log, never))
    clients.front.started("proxy-0")
    await asyncio.sleep(0.5)
    clients.clock.begin(b.loop.time())
    clients.begin(2.0)
    while not clients.is_done:
        await asyncio.sleep(0.1)
    asked = {a.call: a for a in b.of(Asked)}
    gone = b.of(Abandoned)
    assert len(asked) == len(gone) > 20 and not b.of(Answered)
    assert all(0.05 < a.at - asked[a.call].meant <= 0.2 for a in gone)
    together = [sum(other.at == one.at for other in asked.values()) for one in asked.values()]
    assert set(together) == {at_once}
    # Those of one client go together, and the other side hears of it once for all of them.
    assert len({a.at for a in gone}) == len(gone) / at_once
    await asyncio.sleep(1.0)
    assert [bool(error) for error in ends] == [bool(by_reset)] * (len(gone) // at_once)


@benched()
async def test_those_that_leave_in_a_burst_go_on_the_beat(b: Bench) -> None:
    await played(b, replace(LOAD, leaving=0.5, leave_s=(0.1, 0.1), leave_beat_s=0.5), never)
    early = [a.at for a in b.of(Abandoned) if a.at < {one.call: one for one in b.of(Asked)}[a.call].deadline]
    assert early and all(at == pytest.approx(round(2 * at) / 2) for at in early)


@benched(0.001)
async def test_what_is_sent_at_once_is_answered_in_its_order_and_goes_again_where_it_was_not_read(
    b: Bench,
) -> None:
    seen: list[bytes] = []

    class Pipelined(HandProxy):
        def data_received(self, data: bytes) -> None:
            if data.startswith(b"GET /up "):
                self.say(200, b"up")
                return
            calls = [part.partition(b"\r\n")[0] for part in data.split(b"X-Call-Id: ")[1:]]
            seen.extend(calls)
            for call in calls[:2]:
                self.say(200, SEALS.body(call))
            if len(calls) > 2:  # the end of the connection crosses the third
                self.transport.close()

    load = replace(LOAD, leaving=1.0, leave_s=(0.3, 0.3), at_once=3)
    clients = b.clients(load)
    b.loop.memory.listen(("10.1.0.0", 80), partial(Pipelined, [], never))
    clients.front.started("proxy-0")
    await asyncio.sleep(0.5)
    clients.clock.begin(b.loop.time())
    clients.begin(2.0)
    while not clients.is_done:
        await asyncio.sleep(0.1)
    served = [a.call.encode() for a in b.of(Answered) if a.status == 200 and a.body_of == a.call]
    assert len(served) > 20 and set(served) == set(seen) and len(served) == len(set(seen))
    assert len(seen) == len(served) * 4 // 3 and not b.of(Abandoned)


@benched()
async def test_a_slow_reader_lets_its_answer_lie(b: Bench) -> None:
    await played(b, replace(LOAD, slow_readers=1.0), serve)
    asked = {a.call: a.at for a in b.of(Asked)}
    assert {round(a.at - asked[a.call], 6) for a in b.of(Answered)} == {SLOW_S}


@benched()
async def test_the_front_admits_leaves_and_notices_late(b: Bench) -> None:
    log: Log = []
    clients = b.clients(replace(LOAD, rate=200.0), 2)
    servers = [b.loop.memory.listen((f"10.1.0.{n}", 80), partial(HandProxy, log, serve)) for n in range(2)]
    for n in range(2):
        clients.front.started(f"proxy-{n}")
    clients.begin(20.0)

    async def parts(seconds: float) -> tuple[float, float]:
        """Of the tries of that time, those at the second proxy, and those that found none."""
        b.records.clear()
        await asyncio.sleep(seconds)
        asked = b.of(Asked)
        at_second = sum(a.proxy == "proxy-1" for a in asked) / len(asked)
        return at_second, sum(not a.taken for a in asked) / len(asked)

    assert (await parts(2.0))[0] == pytest.approx(0.5, abs=0.1)
    # Told to end: new connections stop, those that stand are used for as long as they stand.
    clients.front.ending("proxy-1")
    await asyncio.sleep(0.5)
    assert (await parts(1.0))[0] > 0.2
    for connection in list(clients.banks["proxy-1"].connections):
        connection.transport.abort()
    await asyncio.sleep(0.1)
    assert await parts(1.0) == (0.0, 0.0)
    # Dead without a word: noticed after some seconds.
    servers[0].close()
    clients.front.dead("proxy-0")
    for connection in list(clients.banks["proxy-0"].connections):
        connection.transport.abort()
    for _ in range(2):  # the first of its lives ends before it has said that it is ready
        clients.front.dead("proxy-1")
        clients.front.started("proxy-1")
    await asyncio.sleep(0.1)
    assert (await parts(1.5))[1] == pytest.approx(0.5, abs=0.1)
    await asyncio.sleep(2.5)
    assert await parts(1.0) == (1.0, 0.0)
    assert b.ready == ["proxy-0", "proxy-1", "proxy-1"]
    clients.close()
