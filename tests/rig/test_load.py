"""The usual clients: when they ask, what they count as what, and that a stall hides nothing."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from benchmarks.rig.load import Load, Phase, Spec, schedule
from tests.proxy.net.helpers import run

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[bool]]
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"


async def play(serve: Serve, calls: int, **more: Any) -> tuple[Load, list[bytes]]:
    """As many calls, due at once, against a server that does as told with each request; the heads it saw.

    `serve` is told how many requests came before this one, and returns whether the connection goes on.
    """
    heads: list[bytes] = []

    async def serve_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                heads.append(await reader.readuntil(b"\r\n\r\n"))
                if not await serve(reader, writer, len(heads) - 1):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()

    server = await asyncio.start_server(serve_all, "127.0.0.1", 0)
    now = time.monotonic()
    # A phase that is over: all its calls are overdue, so that nothing depends on the moment. They have a
    # minute where the test gives them no less, from when the connections stand.
    times = {"aim": 60.0, "budget": 60.0, **more}
    spec = Spec(server.sockets[0].getsockname()[1], 1, [("only", now - 1e-6, now, 0.0)], **times)
    load = Load(asyncio.get_running_loop(), spec)
    await load.start()
    load.dues = iter([(time.monotonic(), load.phases[0])] * calls)
    load.next = next(load.dues)
    load.tick()
    await load.finished.wait()
    server.close()
    return load, heads


def test_the_schedule_has_the_rate_of_its_phase_and_is_drawn_from_the_seed() -> None:
    def phases() -> list[Phase]:
        return [
            Phase("low", 0.0, 10.0, 100.0),
            Phase("none", 10.0, 20.0, 0.0),
            Phase("high", 20.0, 30.0, 400.0),
        ]

    one, again, other = ([(at, phase.name) for at, phase in schedule(phases(), seed)] for seed in (7, 7, 8))
    assert one == again != other
    assert one == sorted(one)
    low = [at for at, name in one if name == "low"]
    assert abs(len(low) - 1000) < 100 and max(low) < 10.0
    assert abs(len(one) - len(low) - 4000) < 200


def test_a_stall_counts_for_all_that_were_due_during_it() -> None:
    async def test() -> None:
        stalled = 0.0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, before: int) -> bool:
            nonlocal stalled
            if not before:
                began = time.monotonic()
                await asyncio.sleep(0.2)  # the stall itself
                stalled = time.monotonic() - began
            writer.write(OK)
            return True

        load, heads = await play(serve, 10)
        took = load.phases[0].took
        # One connection: nine of them were not even sent while the first one stalled.
        assert len(heads) == len(took) == 10 and min(took) >= stalled

    run(test())


def test_a_refused_call_comes_again_as_told_and_says_so() -> None:
    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, before: int) -> bool:
            refusal = b"HTTP/1.1 503 Busy\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n"
            writer.write(OK if before == 2 else refusal)
            return True

        load, heads = await play(serve, 1, retries=2)
        assert load.phases[0].counts == {"offered": 1, "in time": 1}
        assert load.phases[0].took[0] >= 0.1  # both waits count: they are its client's
        assert [b"X-Again: 1" in head for head in heads] == [False, True, True]
        ids = {line for head in heads for line in head.split(b"\r\n") if line.startswith(b"X-Call-Id")}
        assert len(ids) == 3

        load, heads = await play(serve, 1, retries=1)
        assert load.phases[0].counts == {"offered": 1, "refused": 1} and len(heads) == 2

    run(test())


def test_a_close_costs_one_more_send_and_the_second_one_the_call() -> None:
    async def test() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, before: int) -> bool:
            if before:
                writer.write(OK)
            return before > 0

        load, heads = await play(serve, 1)
        assert load.phases[0].counts == {"offered": 1, "in time": 1} and len(heads) == 2

        async def hang_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, before: int) -> bool:
            return False

        load, heads = await play(hang_up, 1)
        assert load.phases[0].counts == {"offered": 1, "lost": 1} and len(heads) == 2

        async def half(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, before: int) -> bool:
            writer.write(OK[:10])  # once part of an answer has come, it had been read
            return False

        load, heads = await play(half, 1)
        assert load.phases[0].counts == {"offered": 1, "lost": 1} and len(heads) == 1

    run(test())


def test_what_has_no_answer_by_its_time_is_unanswered_and_its_client_goes() -> None:
    async def test() -> None:
        gone = asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, before: int) -> bool:
            await reader.read()
            gone.set()
            return False

        load, _ = await play(serve, 2, budget=0.1)
        # The other one never had a connection: there may be one only.
        assert load.phases[0].counts == {"offered": 2, "unanswered": 1, "never sent": 1}
        await gone.wait()

    run(test())
