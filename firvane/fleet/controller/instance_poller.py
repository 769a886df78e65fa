"""The poll duty: asks the platform for its list of instances again and again while the duty is held here."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from firvane.core.logs import Log
from firvane.fleet.cluster.agent import Item
from firvane.fleet.controller.instance_records import InstanceRecords
from firvane.fleet.controller.platform_client import PlatformError, PlatformReply
from firvane.fleet.discovery.pages import CompleteList, Fetch, PageWalk, Pause, WalkStep

POLL_INTERVAL = 1.0  # s from the start of a poll to the start of the next
LONGEST_PAUSE = 1.0  # s, whatever is asked for: a backend may begin to drain as soon as the list is back


class Platform(Protocol):
    """What polling needs of the platform's client."""

    async def get(self, target: str) -> PlatformReply: ...


class InstancePoller:
    """Polls while the duty is held, and publishes what changes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        platform: Platform,
        records: InstanceRecords,
        publish: Callable[[Item], None],
        log: Log,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._loop, self._platform, self._records = loop, platform, records
        self._publish, self._log, self._sleep = publish, log, sleep
        self._task: asyncio.Task[None] | None = None
        self._failing = False
        self._walk = PageWalk()  # kept from poll to poll: its pauses grow with the failures in a row

    def take_over(self, term: int) -> None:
        """Hold the duty: the first poll begins at once."""
        self._records.take_over(term)
        if self._task is None:
            self._log.info("poll_role_acquired", term=term)
            self._task = self._loop.create_task(self._run())

    def release(self) -> None:
        """Give the duty up."""
        self._records.release()
        if self._task is not None:
            self._log.info("poll_role_released")
            self._task.cancel()
            self._task = None

    def learn(self, item: Item) -> None:
        """Take an item that another controller has published."""
        for answer in self._records.learn(item):
            self._publish(answer)

    async def _run(self) -> None:
        while True:
            begun = self._loop.time()
            try:
                await self.poll()
            except Exception:
                self._log.exception("instance_poll_failed")
            await self._sleep(max(0.0, begun + POLL_INTERVAL - self._loop.time()))

    async def poll(self) -> None:
        """Walk through the list until it is complete, and publish what it changes."""
        walk = self._walk
        step: WalkStep = walk.begin(self._loop.time())
        while not isinstance(step, CompleteList):
            if isinstance(step, Pause):
                await self._wait(step)
            step = await self._ask(walk, step)
        self._recovered()
        for item in self._records.observe(step, self._loop.time()):
            self._publish(item)

    async def _ask(self, walk: PageWalk, step: Fetch | Pause) -> WalkStep:
        try:
            reply = await self._platform.get(step.path)
        except PlatformError as error:
            return walk.failure(str(error), self._loop.time())
        following = walk.answer(reply.status, reply.body, self._loop.time())
        if isinstance(following, Pause) and reply.retry_after:
            asked = self._loop.time() + reply.retry_after
            return Pause(max(following.until, asked), following.path, following.reason)
        return following

    async def _wait(self, pause: Pause) -> None:
        if not self._failing:
            self._failing = True
            self._log.warning("instance_list_unavailable", reason=pause.reason)
        await self._sleep(min(LONGEST_PAUSE, max(0.0, pause.until - self._loop.time())))

    def _recovered(self) -> None:
        if self._failing:
            self._failing = False
            self._log.info("instance_list_available")
