"""Proxies that agree on policies, in virtual time: each on a host of its own, with a door and a folder."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from firvane.proxy.admin_api import calls
from firvane.proxy.config import policy as policies
from firvane.proxy.config.node import Config, PolicyTold
from firvane.proxy.policy_text import digest_of
from firvane.proxy.quorum.store import bootstrap
from firvane.proxy.settings import parse_settings
from firvane.simulation.runner.process import Process
from firvane.simulation.runner.virtual import VirtualLoop
from firvane.simulation.runner.virtual_proxy import VirtualProxy
from tests.proxy.net.helpers import endpoint
from tests.proxy.test_simulator_adapter import PARAMS
from tests.simulation.runner.virtual_helpers import Noted

ASK = b"GET /%s/x HTTP/1.1\r\nX-Call-Id: %d\r\nX-Budget-Ms: 1900\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
RETRY = {"retry_after": True, "max_retry_after": 2.0}
BOX, CLIENT = "10.1.0.0", "10.9.0.1"


class Box(Noted):
    """Answers at once."""

    def data_received(self, data: bytes) -> None:
        self.transport.write(ANSWER)


class Lines:
    """A log that keeps what is told, with the time."""

    def __init__(self, time: Callable[[], float] = lambda: 0.0) -> None:
        self.time, self.told = time, list[tuple[float, str, dict[str, Any]]]()

    def info(self, event: str, **fields: Any) -> None:
        self.told.append((self.time(), event, fields))

    debug = warning = error = info

    def bind(self, **fields: Any) -> Lines:
        return self

    def is_enabled_for(self, level: int) -> bool:
        return False

    def events(self) -> list[str]:
        return [event for _, event, _ in self.told]


class Tier:
    """What `proxies` of them are told; `voters` of them are founded on one policy: their own settings."""

    def __init__(
        self, folder: Path, proxies: int = 3, voters: tuple[int, ...] = (0, 1, 2), **told: Any
    ) -> None:
        self.folder, self.voters, self.told = folder, voters, {"tell": True, **told}
        self.hosts = [f"10.0.{p}.1" for p in range(proxies)]
        self.text = policies.render(self.config(0).settings)
        for voter in voters:
            bootstrap(folder / str(voter), self.text, voters)

    def config(self, p: int) -> Config:
        settings = parse_settings({**PARAMS, "siblings": len(self.hosts), "me": p, "dcs": ["a"]})
        settings = replace(settings, limits=replace(settings.limits, max_open_requests=500, **RETRY))
        peers = tuple((host, 7946) for host in self.hosts)
        doors = tuple((host, 9100) for host in self.hosts)
        known = {"index": 1, "snapshot": True, "endpoints": [{**endpoint("s", 80), "address": f"{BOX}:80"}]}
        told = PolicyTold(folder=str(self.folder / str(p)), voters=self.voters, doors=doors, **self.told)
        return Config(
            name=f"n{p}", seed=p, listen=(self.hosts[p], 8080), discovery=None, known=known, zones=("a",),
            kinds=("big",), settings=settings, peer_listen=peers[p], peers=peers, peers_all=None,
            sockets=256, cores=1.0, memory_mb=64, ops=doors[p], policy=told,
        )  # fmt: skip


class Fleet(Tier):
    """The same, running."""

    def __init__(self, loop: VirtualLoop, folder: Path, **told: Any) -> None:
        super().__init__(folder, **told)
        self.loop, self.asked = loop, 0
        self.logs = [Lines(loop.time) for _ in self.hosts]
        self.proxies = [VirtualProxy(loop, loop.time, lambda *state: None, log) for log in self.logs]  # type: ignore
        Process(loop, "box", BOX).call(loop.memory.listen, (BOX, 80), Box)
        for p in range(len(self.hosts)):
            self.start(p)

    def start(self, p: int) -> None:
        self.proxies[p].start(self.config(p))

    async def say(self, address: tuple[str, int], data: bytes, most: float = 1.0) -> bytes:
        """What is answered within some seconds, b"" where nobody takes it."""
        noted: list[Noted] = []

        def up(transport: Any, protocol: Noted) -> None:
            noted.append(protocol)

        self.loop.memory.connect(CLIENT, address, lambda: Noted(data), up, lambda error: None)
        end = self.loop.time() + most
        while self.loop.time() < end:
            await asyncio.sleep(0.01)
            if noted and (noted[0].data.endswith((b"\n", b"hi")) or "end" in noted[0].heard()):
                break
        if noted:
            noted[0].transport.abort()
        return noted[0].data if noted else b""

    async def door(self, p: int, line: str) -> str:
        return (await self.say((self.hosts[p], 9100), line.encode() + b"\n")).decode()

    async def get(self, p: int, cls: bytes = b"read") -> tuple[int, int]:
        """A request's status, and the epoch that its answer carries; zeros where there is none."""
        self.asked += 1
        answer = await self.say((self.hosts[p], 8080), ASK % (cls, self.asked))
        _, _, epoch = answer.partition(b"X-Policy-Epoch: ")
        return int(answer[9:12] or 0), int(epoch.split(b"\r\n")[0] or 0)

    async def up(self, p: int) -> bool:
        return b" 200 " in await self.say((self.hosts[p], 8080), b"GET /up HTTP/1.1\r\n\r\n")

    async def propose(self, p: int, text: bytes) -> str:
        """Put a text at a door, and propose it; its digest."""
        for line in calls.format_put_calls(digest_of(text), text):
            assert (await self.door(p, line)).startswith("+OK"), line
        return await self.door(p, f"policy-propose {digest_of(text).hex()}")

    async def outcome(self, p: int, text: bytes, most: float = 30.0) -> str:
        """Once it is no longer open."""
        end, said = self.loop.time() + most, ""
        while self.loop.time() < end:
            said = await self.door(p, f"policy-outcome {digest_of(text).hex()}")
            if not said.startswith("+OK open"):
                break
            await asyncio.sleep(0.1)
        return said

    def epochs(self) -> list[int]:
        return [proxy.proxy.policy_agreement.epoch if proxy.proxy else -1 for proxy in self.proxies]  # type: ignore
