"""Complete controllers on loopback: orders, redirects, polling, transfers, restarts, a lost disk."""

from __future__ import annotations

import asyncio
import contextlib
import json
import shutil
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from firvane.core import logs
from firvane.core.address import Address
from firvane.fleet.controller.configuration_publisher import CONFIGURATION_KEY
from firvane.fleet.controller.controller import Controller
from firvane.fleet.controller.instance_records import item_key
from firvane.fleet.controller.options import ControllerOptions
from firvane.fleet.discovery.codec import decode_instances
from firvane.fleet.partitions import ALL_PARTITIONS, partition_of
from tests.fleet.controller.test_operator_api import document

WAIT_TIMEOUT_S = 15.0  # for a condition that must come true
CHECK_INTERVAL_S = 0.02  # for conditions without an event


def free_port() -> int:
    """Return a free port whose successor is free too."""
    while True:
        with socket.socket() as first, socket.socket() as second:
            first.bind(("127.0.0.1", 0))
            port = int(first.getsockname()[1])
            with contextlib.suppress(OSError, OverflowError):
                second.bind(("127.0.0.1", port + 1))
                return port


class Platform:
    """A platform that lists one ready instance of each service."""

    def __init__(self) -> None:
        self.services = ["s"]
        self.server: asyncio.Server | None = None

    async def start(self) -> Address:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return host, port

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await reader.readuntil(b"\r\n\r\n"):
                instances = [
                    {
                        "id": f"i-{name}",
                        "service": name,
                        "address": "10.0.0.9:80",
                        "state": "ready",
                        "zone": "z",
                    }
                    for name in self.services
                ]
                body = json.dumps({"instances": instances, "next_token": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        writer.close()


class ControllerCluster:
    """Three controllers and their platform."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.port = folder, free_port()
        self.platform = Platform()
        self.platform_address: Address | None = None
        self.controllers: dict[int, Controller] = {}
        self.lines: list[str] = []
        self.incarnation = 1000

    def address(self, number: int) -> Address:
        return f"127.0.0.{number}", self.port

    async def start(self, *numbers: int, first: bool = False) -> None:
        if self.platform_address is None:
            self.platform_address = await self.platform.start()
        for number in numbers:
            self.controllers[number] = self.make(number, first)
        await asyncio.gather(*(self.controllers[number].start() for number in numbers))

    def make(self, number: int, first: bool) -> Controller:
        self.incarnation += 1
        host, port = self.address(number)
        options = ControllerOptions(
            zone=f"zone-{number}",
            internal=(host, port),
            control=(host, port + 1),
            seeds=tuple(self.address(seed) for seed in (1, 2, 3)),
            directory=self.folder / str(number),
            first_start=first,
            incarnation=self.incarnation,
            tolerated_losses=1,
            region_of_zone={},
            tolerates_region_loss=False,
            platform=self.platform_address,
            grace_period_s=5.0,
        )
        return Controller(asyncio.get_running_loop(), options, logs.make(write=self.lines.append))

    def kill(self, *numbers: int) -> None:
        """Close controllers without telling the cluster that they leave."""
        for number in numbers:
            controller = self.controllers.pop(number)
            controller.agent.close(leave=False)
            controller.close()

    def close(self) -> None:
        self.kill(*self.controllers)
        if self.platform.server:
            self.platform.server.close()

    def owner(self, partition: int = 0) -> int | None:
        owners = [number for number, each in self.controllers.items() if each.host.is_owner(partition)]
        return owners[0] if owners else None

    async def call(
        self, number: int, method: str, path: str, body: bytes = b"", base: int = 0
    ) -> tuple[int, bytes]:
        """Call one controller and follow redirects; status 0 if there is no response."""
        address = (self.address(number)[0], self.port + 1)
        for _ in range(3):
            try:
                status, location, answer = await exchange(address, method, path, body, base)
            except (OSError, asyncio.IncompleteReadError):
                return 0, b""
            if status != 307:
                return status, answer
            host, _, port = location.removeprefix("http://").partition("/")[0].partition(":")
            address = (host, int(port))
        return 307, b""

    async def replace(self, version: int, base: int, **route: Any) -> None:
        """Send a configuration to each controller in turn until it is acknowledged, as an operator does."""
        body = json.dumps(document(version, **route)).encode()

        async def is_accepted() -> bool:
            for number in list(self.controllers):
                status, answer = await self.call(number, "POST", "/v1/config/replace", body, base)
                assert status in (0, 200, 307, 503), answer
                if status == 200:
                    return True
            return False

        await until(is_accepted)

    async def read(self) -> Any:
        """The configuration, from the first controller that returns it."""
        found: list[Any] = []

        async def responded() -> bool:
            for number in list(self.controllers):
                status, answer = await self.call(number, "GET", "/v1/config/read")
                if status == 200:
                    found.append(json.loads(answer))
                    return True
            return False

        await until(responded)
        return found[0]


async def exchange(
    address: Address, method: str, path: str, body: bytes, base: int
) -> tuple[int, str, bytes]:
    reader, writer = await asyncio.open_connection(*address)
    fields = {"Host": "a", "X-Base-Version": base, "Content-Length": len(body)}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
    try:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:] if line)
        answer = await reader.readexactly(int(headers["Content-Length"]))
    finally:
        writer.close()
    return int(lines[0].split(" ")[1]), headers.get("Location", ""), answer


async def until(condition: Callable[[], Awaitable[bool]]) -> None:
    """Return once the condition holds, which is checked at intervals by a timer of the event loop."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await condition():
            timer = loop.create_future()
            loop.call_later(CHECK_INTERVAL_S, timer.set_result, None)
            await timer


async def until_true(condition: Callable[[], bool]) -> None:
    async def holds() -> bool:
        return condition()

    await until(holds)


def run_cluster(folder: Path, scenario: Callable[[ControllerCluster], Awaitable[None]]) -> ControllerCluster:
    async def run_scenario() -> ControllerCluster:
        cluster = ControllerCluster(folder)
        try:
            await scenario(cluster)
        finally:
            cluster.close()
        return cluster

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        cluster = runner.run(run_scenario())
    assert not [line for line in cluster.lines if "exception=" in line]
    return cluster


def test_the_first_configuration_is_acknowledged_published_and_read_everywhere(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        for number in cluster.controllers:
            status, answer = await cluster.call(number, "GET", "/v1/config/read")
            assert (status, json.loads(answer)) == (200, document(5))

        def everywhere() -> bool:
            items = [each.agent.item(CONFIGURATION_KEY) for each in cluster.controllers.values()]
            return all(item is not None and item.version == 5 for item in items)

        await until_true(everywhere)

    run_cluster(tmp_path, scenario)


def test_the_list_is_polled_published_and_stored(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)

        def kept_everywhere() -> bool:
            partitions = [each.partitions[partition_of("s")] for each in cluster.controllers.values()]
            return all(partition.version_of("s") > 0 for partition in partitions)

        await until_true(kept_everywhere)
        item = cluster.controllers[1].agent.item(item_key("s"))
        assert item and [each.id for each in decode_instances(item.payload)] == ["i-s"]

    run_cluster(tmp_path, scenario)


def test_stop_transfers_leadership_and_the_successor_acknowledges(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        owner = cluster.owner()
        assert owner
        stopped = cluster.controllers.pop(owner)
        owned = [partition for partition in ALL_PARTITIONS if stopped.host.is_owner(partition)]
        began = len(cluster.lines)
        await stopped.stop()
        # Successors are elected before the owner has stopped: no election timeout has to expire.
        elected = [line for line in cluster.lines[began:] if "leader_elected" in line]
        assert len(elected) >= len(owned)
        await cluster.replace(6, 5)
        assert cluster.owner() not in (None, owner)
        await cluster.start(owner)
        await until_true(lambda: cluster.controllers[owner].state.version == 6)

    cluster = run_cluster(tmp_path, scenario)
    assert any("controller_stopped" in line for line in cluster.lines)


def test_acknowledged_orders_survive_the_end_of_all_processes(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        await cluster.replace(8, 5, timeout_ms=1234)
        cluster.kill(1, 2, 3)
        cluster.platform.services = []
        await cluster.start(1, 2, 3)
        assert await cluster.read() == document(8, timeout_ms=1234)

    run_cluster(tmp_path, scenario)


def test_the_start_is_logged_with_the_version_on_disk(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        assert "version=0" in started_lines(cluster)[-1]
        await cluster.replace(5, 0)
        await cluster.replace(8, 5)
        owner = cluster.owner()
        assert owner
        cluster.kill(1, 2, 3)
        await cluster.start(owner)  # alone: without a majority it does not know what is committed
        assert cluster.controllers[owner].state.version == 0
        assert "version=8" in started_lines(cluster)[-1]

    run_cluster(tmp_path, scenario)


def started_lines(cluster: ControllerCluster) -> list[str]:
    return [line for line in cluster.lines if "controller_started" in line]


def test_a_controller_that_lost_its_disk_rejoins(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        owner = cluster.owner()
        assert owner
        cluster.kill(owner)
        shutil.rmtree(tmp_path / str(owner))
        await cluster.start(owner)
        await cluster.replace(6, 5)
        await until_true(lambda: cluster.controllers[owner].state.version == 6)

    run_cluster(tmp_path, scenario)


def test_without_a_majority_nothing_is_acknowledged(tmp_path: Path) -> None:
    async def scenario(cluster: ControllerCluster) -> None:
        await cluster.start(1, 2, 3, first=True)
        await cluster.replace(5, 0)
        alone = cluster.owner()
        assert alone
        cluster.kill(*(number for number in (1, 2, 3) if number != alone))
        body = json.dumps(document(6)).encode()
        for _ in range(2):
            assert (await cluster.call(alone, "POST", "/v1/config/replace", body, 5))[0] == 503
        assert (await cluster.call(alone, "GET", "/v1/config/read"))[0] == 503

    run_cluster(tmp_path, scenario)
