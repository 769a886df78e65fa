"""Polls the platform's list of instances while this controller owns the poll role."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from firvane.core.logs import Log
from firvane.fleet.cluster.agent import Item
from firvane.fleet.controller.instance_records import InstanceRecords
from firvane.fleet.controller.platform_client import PlatformError, PlatformReply
from firvane.fleet.discovery.pages import Backoff, CompleteList, Fetch, InstanceListReader, ReadStep

POLL_INTERVAL_S = 1.0  # from the start of a poll to the start of the next
MAX_BACKOFF_S = 1.0  # caps `Retry-After` too: a backend may be draining once the list is available


class Platform(Protocol):
    """The method of the platform client that the poller uses."""

    async def get(self, target: str) -> PlatformReply:
        """Return the reply to `GET target`; `PlatformError` if there is none."""


class InstancePoller:
    """Polls the list of instances while this controller owns the poll role, and publishes changes."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        platform: Platform,
        records: InstanceRecords,
        publish: Callable[[Item], None],
        log: Log,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._loop = loop
        self._platform = platform
        self._records = records
        self._publish = publish
        self._log = log
        self._sleep = sleep
        self._task: asyncio.Task[None] | None = None
        self._failing = False
        self._reader = InstanceListReader()  # shared by all polls: its backoff grows with failures

    def acquire(self, term: int) -> None:
        """Acquire the role in a term of its partition; the first poll starts immediately."""
        self._records.acquire(term)
        if self._task is None:
            self._log.info("poll_role_acquired", term=term)
            self._task = self._loop.create_task(self._run())

    def release(self) -> None:
        """Release the role."""
        self._records.release()
        if self._task is not None:
            self._log.info("poll_role_released")
            self._task.cancel()
            self._task = None

    def merge_published(self, item: Item) -> None:
        """Merge an item that another controller has published."""
        for updated in self._records.merge_published(item):
            self._publish(updated)

    async def _run(self) -> None:
        while True:
            started_at = self._loop.time()
            try:
                await self.poll()
            except Exception:
                self._log.exception("instance_poll_failed")
            await self._sleep(max(0.0, started_at + POLL_INTERVAL_S - self._loop.time()))

    async def poll(self) -> None:
        """Fetch all pages of the list, and publish the services that changed."""
        reader = self._reader
        step: ReadStep = reader.begin(self._loop.time())
        while not isinstance(step, CompleteList):
            if isinstance(step, Backoff):
                await self._wait_for_retry(step)
            step = await self._fetch(reader, step)
        self._log_recovery()
        for item in self._records.observe(step, self._loop.time()):
            self._publish(item)

    async def _fetch(self, reader: InstanceListReader, step: Fetch | Backoff) -> ReadStep:
        try:
            reply = await self._platform.get(step.path)
        except PlatformError as error:
            return reader.on_failure(str(error), self._loop.time())
        next_step = reader.on_reply(reply.status, reply.body, self._loop.time())
        if isinstance(next_step, Backoff) and reply.retry_after_s:
            retry_at = self._loop.time() + reply.retry_after_s
            return Backoff(max(next_step.until, retry_at), next_step.path, next_step.reason)
        return next_step

    async def _wait_for_retry(self, backoff: Backoff) -> None:
        if not self._failing:
            self._failing = True
            self._log.warning("instance_list_unavailable", reason=backoff.reason)
        await self._sleep(min(MAX_BACKOFF_S, max(0.0, backoff.until - self._loop.time())))

    def _log_recovery(self) -> None:
        if self._failing:
            self._failing = False
            self._log.info("instance_list_available")
