"""A controller without a majority disseminates nothing, acknowledges nothing and rejects nothing."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path

from firvane.core.logs import QUIET
from firvane.fleet.cluster.agent import Channel, ClusterAgent, Item, Member, Role
from firvane.fleet.controller.configuration_publisher import CONFIGURATION_KEY
from firvane.fleet.controller.instance_records import item_key
from firvane.fleet.controller.replication_host import MAX_CONTACT_AGE_S
from firvane.fleet.partitions import ALL_PARTITIONS, CONFIGURATION_PARTITION
from tests.fleet.controller.test_controller import ControllerCluster, document, run_cluster, until, until_true

ROUTER_NUMBER = 77
DISSEMINATION_WAIT_S = 2.5  # longer than the interval of digests: available items arrive within it


class RouterMember:
    """A newly started router in the cluster, with the items that it received."""

    def __init__(self, cluster: ControllerCluster, *seeds: int) -> None:
        self.items: dict[bytes, Item] = {}
        address = cluster.address(ROUTER_NUMBER)
        identity = Member(address, Role.ROUTER, "zone-1", None, random.getrandbits(48))
        self.agent = ClusterAgent(
            asyncio.get_running_loop(),
            identity,
            [cluster.address(seed) for seed in seeds],
            QUIET,
            on_item=self._on_item,
            on_members=lambda: None,
            on_message=self._on_message,
        )

    def _on_item(self, item: Item) -> None:
        self.items[item.key] = item

    @staticmethod
    def _on_message(sender: object, channel: Channel, payload: bytes) -> None:
        """Ignore: this test sends no other messages."""

    def knows_controller(self) -> bool:
        return len(self.agent.members(Role.CONTROLLER)) > 0

    def version(self) -> int:
        item = self.items.get(CONFIGURATION_KEY)
        return item.version if item else 0


async def pass_time(seconds: float) -> None:
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds

    async def over() -> bool:
        return loop.time() >= end

    await until(over)


def test_a_controller_without_a_majority_disseminates_nothing(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        await until_true(lambda: cluster.controllers[3].agent.item(CONFIGURATION_KEY) is not None)
        await until_true(lambda: cluster.controllers[3].agent.item(item_key("s")) is not None)
        cluster.kill(1, 2)

        def lost_majority() -> bool:
            return not any(
                cluster.controllers[3].host.has_quorum_contact(partition) for partition in ALL_PARTITIONS
            )

        await until_true(lost_majority)
        router = RouterMember(cluster, 3)
        await router.agent.start()
        await until_true(router.knows_controller)
        await pass_time(DISSEMINATION_WAIT_S)
        assert router.items == {}
        await cluster.start(1)
        await until_true(lambda: router.version() == 5)
        await until_true(lambda: item_key("s") in router.items)
        router.agent.close()

    run_cluster(tmp_path, scenario)


def test_a_controller_that_starts_alone_disseminates_nothing_from_disk(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        await until_true(lambda: cluster.controllers[2].state.version == 5)
        cluster.kill(1, 2, 3)
        await cluster.start(2)
        router = RouterMember(cluster, 2)
        await router.agent.start()
        await until_true(router.knows_controller)
        await pass_time(DISSEMINATION_WAIT_S)
        assert router.items == {}
        await cluster.start(3)
        await until_true(lambda: router.version() == 5)
        router.agent.close()

    run_cluster(tmp_path, scenario)


def test_controllers_with_a_majority_disseminate_immediately(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        for number in (1, 2, 3):
            controller = cluster.controllers[number]
            await until_true(
                lambda controller=controller: controller.host.is_current(CONFIGURATION_PARTITION)
            )
            router = RouterMember(cluster, number)
            loop = asyncio.get_running_loop()
            began = loop.time()
            await router.agent.start()
            await until_true(lambda router=router: router.version() == 5)
            assert loop.time() - began < MAX_CONTACT_AGE_S
            router.agent.close()

    run_cluster(tmp_path, scenario)


def test_a_controller_without_a_majority_rejects_nothing(tmp_path: Path) -> None:
    orders = {
        "late": (document(9), 0),
        "of another version": (document(9), 7),
        "invalid": (document(9, timeout_ms=0), 5),
        "not above": (document(4), 5),
        "valid": (document(9), 5),
    }

    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        remaining = cluster.owner()
        assert remaining
        expected = {"late": 412, "of another version": 412, "invalid": 400, "not above": 400}
        for name, status in expected.items():
            body, base = orders[name]
            answer = await cluster.call(
                remaining, "POST", "/v1/config/replace", json.dumps(body).encode(), base
            )
            assert answer[0] == status, name
        cluster.kill(*(number for number in (1, 2, 3) if number != remaining))
        await until_true(lambda: not cluster.controllers[remaining].host.is_owner(CONFIGURATION_PARTITION))
        for name, (body, base) in orders.items():
            answer = await cluster.call(
                remaining, "POST", "/v1/config/replace", json.dumps(body).encode(), base
            )
            assert answer[0] == 503, name
        assert (await cluster.call(remaining, "GET", "/v1/config/read"))[0] == 503

    run_cluster(tmp_path, scenario)
