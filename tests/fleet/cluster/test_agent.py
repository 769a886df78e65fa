"""`ClusterAgent` on real sockets: agents on 127.0.0.1, 127.0.0.2 ..., all with the same port."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import ClassVar

import pytest
import uvloop

from firvane.core import logs
from firvane.core.address import Address
from firvane.fleet.cluster.agent import Channel, ClusterAgent, Item, Member, Role

TIMEOUT = 5.0


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Process:
    """An agent and the items, messages and member changes that it reported."""

    def __init__(self, number: int, port: int, seeds: list[Address], incarnation: int = 0) -> None:
        self.address = (f"127.0.0.{number}", port)
        role = Role.CONTROLLER if number <= 2 else Role.ROUTER
        control = (self.address[0], port + 1) if role is Role.CONTROLLER else None
        identity = Member(self.address, role, f"zone-{number % 2}", control, incarnation or 1000 + number)
        self.items: list[Item] = []
        self.messages: list[tuple[Address, Channel, bytes]] = []
        self.changed = asyncio.Event()
        self.agent = ClusterAgent(
            asyncio.get_running_loop(),
            identity,
            seeds,
            logs.make(write=lambda line: None),
            on_item=self._on_item,
            on_members=self.changed.set,
            on_message=self._on_message,
        )

    def _on_item(self, item: Item) -> None:
        self.items.append(item)
        self.changed.set()

    def _on_message(self, sender: Address, channel: Channel, payload: bytes) -> None:
        self.messages.append((sender, channel, payload))
        self.changed.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    def sees(self, count: int) -> Callable[[], bool]:
        return lambda: len(self.agent.members()) == count


@pytest.fixture(params=["asyncio", "uvloop"], autouse=True)
def loop_factory(request: pytest.FixtureRequest) -> Iterator[None]:
    """Run each test on both event loops."""
    EventLoop.new_loop = asyncio.new_event_loop if request.param == "asyncio" else uvloop.new_event_loop
    yield


class EventLoop:
    """The event loop that the test uses."""

    new_loop: ClassVar[Callable[[], asyncio.AbstractEventLoop]]


def run_scenario(scenario: Callable[[list[Process]], Awaitable[None]], count: int) -> None:
    async def run() -> None:
        port = free_port()
        seeds = [("127.0.0.1", port), ("127.0.0.2", port)]
        processes = [Process(number, port, seeds) for number in range(1, count + 1)]
        try:
            for process in processes:
                await process.agent.start()
            await scenario(processes)
        finally:
            for process in processes:
                process.agent.close()

    with asyncio.Runner(loop_factory=EventLoop.new_loop) as runner:
        runner.run(run())


def test_processes_join_through_the_seeds() -> None:
    async def scenario(processes: list[Process]) -> None:
        for process in processes:
            await process.until(process.sees(5))
        assert len(processes[4].agent.members(Role.CONTROLLER)) == 2
        assert processes[4].agent.members(Role.CONTROLLER)[0].control is not None

    run_scenario(scenario, 5)


def test_small_and_large_items_reach_all_members_and_a_late_joiner() -> None:
    small, large = Item(b"small", 3, b"x" * 40), Item(b"large", 7, bytes(range(256)) * 300)

    async def scenario(processes: list[Process]) -> None:
        for process in processes:
            await process.until(process.sees(4))
        processes[0].agent.publish(small)
        processes[0].agent.publish(large)
        for process in processes[1:]:
            await process.until(lambda process=process: len(process.items) == 2)
            assert process.agent.item(b"large") == large
        assert processes[0].items == []
        port = processes[0].address[1]
        late_joiner = Process(9, port, [("127.0.0.2", port)])
        processes.append(late_joiner)
        await late_joiner.agent.start()
        await late_joiner.until(lambda: {item.key for item in late_joiner.items} == {b"small", b"large"})

    run_scenario(scenario, 4)


def test_small_and_large_messages_are_delivered_in_both_directions() -> None:
    async def scenario(processes: list[Process]) -> None:
        first, second = processes
        large = b"y" * 100_000
        first.agent.send(second.address, Channel.REPLICATION, large)
        await second.until(lambda: (first.address, Channel.REPLICATION, large) in second.messages)
        second.agent.send(first.address, Channel.REPLICATION, large)
        second.agent.send(first.address, Channel.ROWS, b"row")
        await first.until(lambda: len(first.messages) == 2)
        assert (second.address, Channel.ROWS, b"row") in first.messages

    run_scenario(scenario, 2)


def test_a_leaving_process_is_removed_at_once() -> None:
    async def scenario(processes: list[Process]) -> None:
        for process in processes:
            await process.until(process.sees(3))
        processes[2].agent.close()
        for process in processes[:2]:
            await process.until(process.sees(2))

    run_scenario(scenario, 3)


def test_a_process_restarted_with_a_lower_incarnation_rejoins_and_receives_the_items() -> None:
    async def scenario(processes: list[Process]) -> None:
        for process in processes:
            await process.until(process.sees(3))
        processes[0].agent.publish(Item(b"configuration", 1, b"z"))
        processes[2].agent.close(leave=False)
        port = processes[0].address[1]
        restarted = Process(3, port, [processes[0].address, processes[1].address], incarnation=5)
        processes.append(restarted)
        await restarted.agent.start()
        await restarted.until(lambda: len(restarted.items) == 1)
        await restarted.until(lambda: restarted.agent.identity.incarnation > 1003)
        await processes[0].until(lambda: restarted.agent.identity in processes[0].agent.members())

    run_scenario(scenario, 3)
