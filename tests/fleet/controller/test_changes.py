"""After hundreds of changes, restarted controllers catch up, disks stay small, and old orders are known."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
import uvloop

from firvane.fleet.controller import replication_host as hosts
from firvane.fleet.replication import group as groups
from tests.fleet.controller.changes import ChangeRun, run_changes
from tests.fleet.controller.test_controller import ControllerCluster

CHANGES, ROUTES = 240, 20
COMPACTION_BYTES = 20_000  # causes a snapshot every few dozen changes
MAX_DISK_BYTES = 400_000  # a snapshot and a segment of each of three partitions, and those being replaced
CATCH_UP = 4.0  # s: `catch_up_s`


def test_disks_stay_small_and_restarted_controllers_catch_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(groups, "COMPACTION_BYTES", COMPACTION_BYTES)
    monkeypatch.setattr(groups, "RETAINED_LOG_BYTES", 2_000)

    async def scenario() -> None:
        run, cluster = await run_changes(tmp_path, CHANGES, ROUTES)
        try:
            await check(run, cluster)
        finally:
            cluster.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(scenario())


async def check(run: ChangeRun, cluster: ControllerCluster) -> None:
    assert run.version == CHANGES + 1
    assert run.measurements.max_disk_bytes < MAX_DISK_BYTES
    assert all(seconds < CATCH_UP for seconds in run.measurements.catch_up_s.values()), (
        run.measurements.catch_up_s
    )
    assert all(each.host.status(0) is not None for each in cluster.controllers.values())
    for base, body in (run.bodies[0], run.bodies[CHANGES // 2], run.bodies[-1]):
        for number in cluster.controllers:
            assert await run.status_of(number, base, body) == 200
            assert await run.status_of(number, base, body + b" ") == 412
    assert len({each.state.document for each in cluster.controllers.values()}) == 1
    assert hosts.MAX_CONTACT_AGE_S < CATCH_UP
