"""Virtual time: when it moves, in which order, what it refuses, and how a process dies."""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.simulation.runner.process import Process
from firvane.simulation.runner.virtual import FEW, Deadlock, NotVirtual, Stuck, VirtualLoop
from tests.proxy.net.helpers import seeded
from tests.simulation.runner.virtual_helpers import Net, Noted, virtual


@virtual
async def test_time_moves_only_when_nothing_is_ready_and_then_at_once(loop: VirtualLoop, net: Net) -> None:
    seen: list[tuple[str, float]] = []
    loop.call_later(1.0, lambda: seen.append(("timer", loop.time())))
    for _ in range(1000):  # all of them before any time passes
        await asyncio.sleep(0)
    seen.append(("ready", loop.time()))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout_at(86_400.5):
            await asyncio.Event().wait()
    assert seen == [("ready", 0.0), ("timer", 1.0)] and loop.time() == 86_400.5


@seeded
@given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=40))
@virtual
async def test_what_is_due_runs_in_the_order_of_its_time_then_of_its_setting(
    loop: VirtualLoop, net: Net, timers: list[tuple[int, bool]]
) -> None:
    ran: list[tuple[int, int]] = []
    handles = [loop.call_at(at, ran.append, (at, i)) for i, (at, _) in enumerate(timers)]
    for handle, (_, cancelled) in zip(handles, timers, strict=True):
        if cancelled:
            handle.cancel()
    await asyncio.sleep(6)
    assert ran == sorted((at, i) for i, (at, cancelled) in enumerate(timers) if not cancelled)


@virtual
async def test_cancelled_timers_do_not_pile_up(loop: VirtualLoop, net: Net) -> None:
    for _ in range(10 * FEW):
        loop.call_later(100.0, print).cancel()
        await asyncio.sleep(0)
    assert len(loop._due) <= FEW + 2


def test_a_wait_without_an_end_names_who_waits() -> None:
    async def nobody_calls(loop: VirtualLoop, net: Net) -> None:
        loop.call_later(5.0, print).cancel()  # neither helps nor moves the clock
        await asyncio.Event().wait()

    with pytest.raises(Deadlock, match=r"0\.000000 s.*nobody_calls"):
        virtual(nobody_calls)()


@pytest.mark.parametrize("call", ["call_soon", "call_later"])
def test_a_clock_that_stands_still_names_who_is_to_blame(call: str) -> None:
    async def work(loop: VirtualLoop, net: Net) -> None:
        def spins(late: float) -> None:
            getattr(loop, call)(*([] if call == "call_soon" else [0.0]), spins, 0.0)

        spins(0.0)
        await asyncio.sleep(1.0)

    with pytest.raises(Stuck, match="spins"):
        virtual(work)()


@virtual
async def test_there_is_no_other_world(loop: VirtualLoop, net: Net) -> None:
    with pytest.raises(NotVirtual):
        loop.add_signal_handler(signal.SIGTERM, print)
    with pytest.raises(NotVirtual):
        loop.run_in_executor(None, print)
    with pytest.raises(NotVirtual, match="ssl"):
        await loop.create_connection(Noted, "10.0.0.1", 80, ssl=True)


@virtual
async def test_a_killed_process_runs_no_more_and_others_go_on(loop: VirtualLoop, net: Net) -> None:
    ran: list[Any] = []

    def beat(name: str) -> None:
        ran.append(name)
        loop.call_later(1.0, beat, name)

    async def lives(name: str) -> None:
        beat(name)
        try:
            await asyncio.create_task(asyncio.sleep(0.5))  # a task of a task
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            ran.append(f"{name} cancelled")
            loop.call_later(0.1, ran.append, f"{name} after its death")
            raise

    loop.memory.listen(("10.0.0.2", 80), Noted)
    first, second = (Process(loop, name, f"10.0.0.{name}") for name in "12")
    tasks = [process.start(lives(process.name)) for process in (first, second)]
    await asyncio.sleep(1.5)
    first.call(loop.call_soon, ran.append, "too late")
    for port in (80, 81):
        said = partial(ran.append, "heard")
        first.call(loop.memory.connect, first.host, (second.host, port), Noted, said, said)
    first.kill()
    first.kill()  # changes nothing
    await asyncio.sleep(1.0)
    assert ran == ["1", "2", "1", "2", "1 cancelled", "2"]
    assert tasks[0].cancelled() and not tasks[1].done() and not first.tasks
    with pytest.raises(ConnectionAbortedError):
        first.call(loop.memory.listen, ("10.0.0.1", 80), Noted)


@pytest.mark.parametrize("after", [0, 1, 2, 3])
@virtual
async def test_a_task_dies_wherever_it_stands(loop: VirtualLoop, net: Net, after: int) -> None:
    # One whose last wait was over but which had not gone on could otherwise neither run nor be cancelled.
    async def steps() -> None:
        await asyncio.gather(asyncio.sleep(0), asyncio.sleep(0))
        await asyncio.sleep(0)

    process = Process(loop, "p", "10.0.0.1")
    task = process.start(steps())
    for _ in range(after):
        await asyncio.sleep(0)
    process.kill()
    await asyncio.wait([task])
    assert task.cancelled()
