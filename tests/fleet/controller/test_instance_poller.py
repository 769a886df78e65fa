"""The poll duty: when the list is asked for, what comes of failures, and when it stops."""

from __future__ import annotations

import asyncio
import json

from firvane.core.logs import QUIET
from firvane.fleet.cluster.agent import Item
from firvane.fleet.controller.instance_poller import MAX_BACKOFF_S, POLL_INTERVAL_S, InstancePoller
from firvane.fleet.controller.instance_records import InstanceRecords
from firvane.fleet.controller.platform_client import PlatformError, PlatformReply

Answer = PlatformReply | PlatformError


def page(*ids: str, token: str | None = None) -> PlatformReply:
    instances = [
        {"id": name, "service": "a", "address": f"10.0.0.1:{8000 + number}", "state": "ready", "zone": "z"}
        for number, name in enumerate(ids)
    ]
    return PlatformReply(200, json.dumps({"instances": instances, "next_token": token}).encode())


class World:
    """A platform that gives scripted answers, and a clock that only sleeping moves."""

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.asked: list[str] = []
        self.slept: list[float] = []
        self.published: list[Item] = []
        self.out_of_answers = asyncio.Event()

    async def get(self, target: str) -> PlatformReply:
        self.asked.append(target)
        if not self.answers:
            self.out_of_answers.set()
            await asyncio.Event().wait()
        answer = self.answers.pop(0)
        if isinstance(answer, PlatformError):
            raise answer
        return answer

    async def sleep(self, span: float) -> None:
        self.slept.append(span)
        await asyncio.sleep(0)

    def poller(self) -> InstancePoller:
        loop = asyncio.get_running_loop()
        records = InstanceRecords(QUIET)
        return InstancePoller(loop, self, records, self.published.append, QUIET, self.sleep)


def play(*answers: Answer) -> World:
    """Hold the duty until all answers have been given, then release it."""

    async def run() -> World:
        world = World(*answers)
        poller = world.poller()
        poller.acquire(1)
        await world.out_of_answers.wait()
        poller.release()
        await asyncio.sleep(0)
        assert len(asyncio.all_tasks()) == 1
        return world

    return asyncio.run(run())


def test_the_first_poll_is_at_once_and_others_follow() -> None:
    world = play(page("i-1"), page("i-1"), page("i-1", "i-2"))
    assert world.asked == ["/instances"] * 4
    assert len(world.published) == 2
    assert all(0.9 * POLL_INTERVAL_S < span <= POLL_INTERVAL_S for span in world.slept)


def test_all_pages_make_one_list() -> None:
    world = play(page("i-1", token="p 1"), page("i-2"))
    assert world.asked[:2] == ["/instances", "/instances?page_token=p%201"]
    assert len(world.published) == 1


def test_failures_are_followed_by_pauses_and_change_nothing() -> None:
    failures = [PlatformError("timed out"), PlatformReply(429, b"", 30.0), PlatformReply(200, b"{")] * 3
    world = play(page("i-1", token="t"), *failures, page("i-1", "i-2"))
    assert len(world.published) == 1
    assert world.asked == ["/instances", "/instances?page_token=t", *["/instances"] * 10]
    assert all(0.2 < span <= MAX_BACKOFF_S for span in world.slept)


def test_a_fault_of_our_own_does_not_end_the_duty() -> None:
    async def run() -> World:
        world = World(page("i-1"), page("i-1", "i-2"))
        poller = world.poller()

        def publish(item: Item) -> None:
            world.published.append(item)
            if len(world.published) == 1:
                raise ValueError("a fault")

        poller._publish = publish
        poller.acquire(1)
        await world.out_of_answers.wait()
        poller.release()
        return world

    assert len(asyncio.run(run()).published) == 2


def test_taking_over_twice_polls_once() -> None:
    async def run() -> World:
        world = World(page("i-1"))
        poller = world.poller()
        poller.acquire(1)
        poller.acquire(2)
        await world.out_of_answers.wait()
        poller.release()
        poller.release()
        return world

    world = asyncio.run(run())
    assert len(world.asked) == 2
    assert world.published[0].version >> 32 == 2
