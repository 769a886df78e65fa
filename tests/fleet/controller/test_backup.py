"""Backup and restore, as described for operators in docs/operations-fleet.md."""

from __future__ import annotations

import asyncio
import json
import shutil
from pathlib import Path

from firvane.core.logs import QUIET
from firvane.fleet.cluster.agent import ClusterAgent, Member, Role
from firvane.fleet.controller.configuration_publisher import CONFIGURATION_KEY
from tests.fleet.controller.test_controller import ControllerCluster, document, run_cluster, until, until_true

ALL = (1, 2, 3)


async def back_up(cluster: ControllerCluster, tmp_path: Path, number: int) -> None:
    """Stop one controller gracefully, copy its folder, restart it, and wait until it has caught up."""
    version = max(each.state.version for each in cluster.controllers.values())
    await cluster.controllers.pop(number).stop()
    shutil.copytree(tmp_path / "data" / str(number), tmp_path / "copies" / str(number))
    await cluster.start(number)
    await until_true(lambda: cluster.controllers[number].state.version == version)


def restore(tmp_path: Path, *numbers: int) -> None:
    for number in numbers:
        shutil.copytree(tmp_path / "copies" / str(number), tmp_path / "data" / str(number))


def lose_disks(cluster: ControllerCluster, tmp_path: Path, *numbers: int) -> None:
    cluster.kill(*numbers)
    for number in numbers:
        shutil.rmtree(tmp_path / "data" / str(number))


def test_backups_of_all_controllers_restore_the_configuration(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(*ALL, first=True)
        await cluster.replace(5, 0)
        await cluster.replace(8, 5, timeout_ms=1234)
        for number in ALL:
            await back_up(cluster, tmp_path, number)
        lose_disks(cluster, tmp_path, *ALL)
        restore(tmp_path, *ALL)
        await cluster.start(*ALL)
        assert await cluster.read() == document(8, timeout_ms=1234)
        await cluster.replace(9, 8)

    run_cluster(tmp_path / "data", scenario)


def test_backups_of_a_majority_admit_a_controller_with_an_empty_disk(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(*ALL, first=True)
        await cluster.replace(5, 0)
        for number in (1, 2):
            await back_up(cluster, tmp_path, number)
        lose_disks(cluster, tmp_path, *ALL)
        restore(tmp_path, 1, 2)
        await cluster.start(*ALL)
        assert await cluster.read() == document(5)
        await until_true(lambda: cluster.controllers[3].state.version == 5)

        async def votes() -> bool:
            status = cluster.controllers[3].host.status(0)
            return status is not None and status.replicas[0].is_voter

        await until(votes)

    run_cluster(tmp_path / "data", scenario)


def test_routers_replace_their_configuration_only_by_a_higher_version(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(*ALL, first=True)
        await cluster.replace(7, 0)
        saved = await cluster.read()
        await cluster.replace(8, 7, timeout_ms=1234)
        router = start_router(cluster)
        await router.start()
        try:
            await until_true(lambda: version_at(router) == 8)
            lose_disks(cluster, tmp_path, *ALL)
            await cluster.start(*ALL, first=True)
            await cluster.replace(saved["config_version"], 0)
            await until_true(lambda: newest_at(cluster, 1) == 8)
            assert (cluster.controllers[1].state.version, version_at(router)) == (7, 8)
            await cluster.replace(9, 7)
            await until_true(lambda: version_at(router) == 9)
        finally:
            router.close()

    run_cluster(tmp_path / "data", scenario)


def start_router(cluster: ControllerCluster) -> ClusterAgent:
    """Create, but don't start, a cluster member that keeps running when the controllers stop."""
    return ClusterAgent(
        asyncio.get_running_loop(),
        Member(("127.0.0.9", cluster.port), Role.ROUTER, "zone-1", None, 1),
        [cluster.address(number) for number in ALL],
        QUIET,
        on_item=lambda item: None,
        on_members=lambda: None,
        on_message=lambda sender, channel, payload: None,
    )


def version_at(router: ClusterAgent) -> int:
    item = router.item(CONFIGURATION_KEY)
    return item.version if item else 0


def newest_at(cluster: ControllerCluster, number: int) -> int:
    return version_at(cluster.controllers[number].agent)


def test_a_new_cluster_accepts_a_configuration_read_from_the_old_one(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(*ALL, first=True)
        await cluster.replace(8, 0, timeout_ms=1234)
        saved = await cluster.read()
        lose_disks(cluster, tmp_path, *ALL)
        await cluster.start(*ALL, first=True)

        async def is_accepted() -> bool:
            status, answer = await cluster.call(
                1, "POST", "/v1/config/replace", json.dumps(saved).encode(), 0
            )
            assert status in (0, 200, 307, 503), answer
            return status == 200

        await until(is_accepted)
        assert await cluster.read() == document(8, timeout_ms=1234)

    run_cluster(tmp_path / "data", scenario)
