"""After hundreds of changes: members that were away catch up, disks stay small, old orders are known."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
import uvloop

from firvane.fleet.controller import replication_host as hosts
from firvane.fleet.replication import group as groups
from tests.fleet.controller.changes import ChangingCore, play_changes
from tests.fleet.controller.test_controller import Core

CHANGES, ROUTES = 240, 20
COMPACTION_BYTES = 20_000  # a snapshot every few dozen changes
MOST_ON_DISK = 400_000  # bytes: three parts, each a snapshot and a segment, and those that are being replaced
CATCH_UP = 4.0  # s: `catch_up_s`


def test_hundreds_of_changes_leave_small_disks_and_members_that_catch_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(groups, "COMPACTION_BYTES", COMPACTION_BYTES)
    monkeypatch.setattr(groups, "RETAINED_LOG_BYTES", 2_000)

    async def scene() -> None:
        day, core = await play_changes(tmp_path, CHANGES, ROUTES)
        try:
            await check(day, core)
        finally:
            core.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scene())


async def check(day: ChangingCore, core: Core) -> None:
    assert day.version == CHANGES + 1
    assert day.figures.most_on_disk < MOST_ON_DISK
    assert all(seconds < CATCH_UP for seconds in day.figures.catch_up.values()), day.figures.catch_up
    assert all(each.host.status(0) is not None for each in core.controllers.values())
    for base, body in (day.bodies[0], day.bodies[CHANGES // 2], day.bodies[-1]):
        for number in core.controllers:
            assert await day.status_of(number, base, body) == 200
            assert await day.status_of(number, base, body + b" ") == 412
    assert len({each.state.document for each in core.controllers.values()}) == 1
    assert hosts.MAX_CONTACT_AGE_S < CATCH_UP
