"""The instance poller: poll intervals, retries after failures, and release of the poll role."""

from __future__ import annotations

import asyncio
import json

from firvane.core.logs import QUIET
from firvane.fleet.cluster.agent import Item
from firvane.fleet.controller.instance_poller import MAX_BACKOFF_S, POLL_INTERVAL_S, InstancePoller
from firvane.fleet.controller.instance_records import InstanceRecords
from firvane.fleet.controller.platform_client import PlatformError, PlatformReply

ScriptedReply = PlatformReply | PlatformError


def page(*ids: str, token: str | None = None) -> PlatformReply:
    instances = [
        {"id": name, "service": "a", "address": f"10.0.0.1:{8000 + number}", "state": "ready", "zone": "z"}
        for number, name in enumerate(ids)
    ]
    return PlatformReply(200, json.dumps({"instances": instances, "next_token": token}).encode())


class FakePlatform:
    """A platform with scripted replies, the published items, and a sleep that records its durations."""

    def __init__(self, *replies: ScriptedReply) -> None:
        self.replies = list(replies)
        self.requested: list[str] = []
        self.sleeps: list[float] = []
        self.published: list[Item] = []
        self.replies_exhausted = asyncio.Event()

    async def get(self, target: str) -> PlatformReply:
        self.requested.append(target)
        if not self.replies:
            self.replies_exhausted.set()
            await asyncio.Event().wait()
        reply = self.replies.pop(0)
        if isinstance(reply, PlatformError):
            raise reply
        return reply

    async def sleep(self, duration_s: float) -> None:
        self.sleeps.append(duration_s)
        await asyncio.sleep(0)

    def poller(self) -> InstancePoller:
        loop = asyncio.get_running_loop()
        records = InstanceRecords(QUIET)
        return InstancePoller(loop, self, records, self.published.append, QUIET, self.sleep)


def play(*replies: ScriptedReply) -> FakePlatform:
    """Own the poll role until all scripted replies are sent, then release it."""

    async def run() -> FakePlatform:
        platform = FakePlatform(*replies)
        poller = platform.poller()
        poller.acquire(1)
        await platform.replies_exhausted.wait()
        poller.release()
        await asyncio.sleep(0)
        assert len(asyncio.all_tasks()) == 1
        return platform

    return asyncio.run(run())


def test_the_first_poll_is_immediate_and_others_follow_at_intervals() -> None:
    platform = play(page("i-1"), page("i-1"), page("i-1", "i-2"))
    assert platform.requested == ["/instances"] * 4
    assert len(platform.published) == 2
    assert all(0.9 * POLL_INTERVAL_S < duration_s <= POLL_INTERVAL_S for duration_s in platform.sleeps)


def test_all_pages_form_one_list() -> None:
    platform = play(page("i-1", token="p 1"), page("i-2"))
    assert platform.requested[:2] == ["/instances", "/instances?page_token=p%201"]
    assert len(platform.published) == 1


def test_failures_cause_backoff_and_publish_nothing() -> None:
    failures = [PlatformError("timed out"), PlatformReply(429, b"", 30.0), PlatformReply(200, b"{")] * 3
    platform = play(page("i-1", token="t"), *failures, page("i-1", "i-2"))
    assert len(platform.published) == 1
    assert platform.requested == ["/instances", "/instances?page_token=t", *["/instances"] * 10]
    assert all(0.2 < duration_s <= MAX_BACKOFF_S for duration_s in platform.sleeps)


def test_an_exception_while_publishing_does_not_stop_polling() -> None:
    async def run() -> FakePlatform:
        platform = FakePlatform(page("i-1"), page("i-1", "i-2"))
        poller = platform.poller()

        def publish(item: Item) -> None:
            platform.published.append(item)
            if len(platform.published) == 1:
                raise ValueError("publishing failed")

        poller._publish = publish
        poller.acquire(1)
        await platform.replies_exhausted.wait()
        poller.release()
        return platform

    assert len(asyncio.run(run()).published) == 2


def test_acquiring_the_role_twice_starts_one_poll_task() -> None:
    async def run() -> FakePlatform:
        platform = FakePlatform(page("i-1"))
        poller = platform.poller()
        poller.acquire(1)
        poller.acquire(2)
        await platform.replies_exhausted.wait()
        poller.release()
        poller.release()
        return platform

    platform = asyncio.run(run())
    assert len(platform.requested) == 2
    assert platform.published[0].version >> 32 == 2
