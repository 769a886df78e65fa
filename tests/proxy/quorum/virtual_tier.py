"""Proxies with a policy consensus in virtual time, each on its own host with an admin API and a folder."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from firvane.proxy.admin_api import calls
from firvane.proxy.config import policy as policies
from firvane.proxy.config.proxy_config import Config, PolicyOptions
from firvane.proxy.policy_text import digest_of
from firvane.proxy.quorum.store import bootstrap
from firvane.proxy.settings import parse_settings
from firvane.simulation.runner.process import Process
from firvane.simulation.runner.virtual import VirtualLoop
from firvane.simulation.runner.virtual_proxy import VirtualProxy
from tests.proxy.net.helpers import endpoint
from tests.proxy.test_simulator_adapter import PARAMS
from tests.simulation.runner.virtual_helpers import Noted

REQUEST = b"GET /%s/x HTTP/1.1\r\nX-Call-Id: %d\r\nX-Budget-Ms: 1900\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
RETRY = {"retry_after": True, "max_retry_after": 2.0}
BACKEND, CLIENT = "10.1.0.0", "10.9.0.1"


class Backend(Noted):
    """A backend that answers at once."""

    def data_received(self, data: bytes) -> None:
        self.transport.write(ANSWER)


class Lines:
    """A log that records events and their times."""

    def __init__(self, time: Callable[[], float] = lambda: 0.0) -> None:
        self.time, self.entries = time, list[tuple[float, str, dict[str, Any]]]()

    def info(self, event: str, **fields: Any) -> None:
        self.entries.append((self.time(), event, fields))

    debug = warning = error = info

    def bind(self, **fields: Any) -> Lines:
        return self

    def is_enabled_for(self, level: int) -> bool:
        return False

    def events(self) -> list[str]:
        return [event for _, event, _ in self.entries]


class Tier:
    """The configurations of proxies; `voters` are bootstrapped with a policy of the configured settings."""

    def __init__(
        self, folder: Path, proxies: int = 3, voters: tuple[int, ...] = (0, 1, 2), **options: Any
    ) -> None:
        self.folder, self.voters, self.options = folder, voters, {"sends_epoch": True, **options}
        self.hosts = [f"10.0.{p}.1" for p in range(proxies)]
        self.text = policies.render(self.config(0).settings)
        for voter in voters:
            bootstrap(folder / str(voter), self.text, voters)

    def config(self, p: int) -> Config:
        settings = parse_settings({**PARAMS, "siblings": len(self.hosts), "me": p, "dcs": ["a"]})
        settings = replace(settings, limits=replace(settings.limits, max_open_requests=500, **RETRY))
        peers = tuple((host, 7946) for host in self.hosts)
        addresses = tuple((host, 9100) for host in self.hosts)
        known = {
            "index": 1,
            "snapshot": True,
            "endpoints": [{**endpoint("s", 80), "address": f"{BACKEND}:80"}],
        }
        policy = PolicyOptions(
            folder=str(self.folder / str(p)), voters=self.voters, admin_addresses=addresses, **self.options
        )
        return Config(
            name=f"n{p}", seed=p, listen=(self.hosts[p], 8080), discovery=None, known=known, zones=("a",),
            kinds=("big",), settings=settings, peer_listen=peers[p], peers=peers, peers_all=None,
            sockets=256, cores=1.0, memory_mb=64, ops=addresses[p], policy=policy,
        )  # fmt: skip


class Fleet(Tier):
    """A running tier."""

    def __init__(self, loop: VirtualLoop, folder: Path, **options: Any) -> None:
        super().__init__(folder, **options)
        self.loop, self.request_count = loop, 0
        self.logs = [Lines(loop.time) for _ in self.hosts]
        self.proxies = [VirtualProxy(loop, loop.time, lambda *state: None, log) for log in self.logs]  # type: ignore
        Process(loop, "box", BACKEND).call(loop.memory.listen, (BACKEND, 80), Backend)
        for p in range(len(self.hosts)):
            self.start(p)

    def start(self, p: int) -> None:
        self.proxies[p].start(self.config(p))

    async def send(self, address: tuple[str, int], data: bytes, timeout_s: float = 1.0) -> bytes:
        """Send data on a new connection; return the answer, b"" if the connection fails."""
        connections: list[Noted] = []

        def up(transport: Any, protocol: Noted) -> None:
            connections.append(protocol)

        self.loop.memory.connect(CLIENT, address, lambda: Noted(data), up, lambda error: None)
        end = self.loop.time() + timeout_s
        while self.loop.time() < end:
            await asyncio.sleep(0.01)
            if connections and (
                connections[0].data.endswith((b"\n", b"hi")) or "end" in connections[0].heard()
            ):
                break
        if connections:
            connections[0].transport.abort()
        return connections[0].data if connections else b""

    async def call(self, p: int, line: str) -> str:
        return (await self.send((self.hosts[p], 9100), line.encode() + b"\n")).decode()

    async def get(self, p: int, cls: bytes = b"read") -> tuple[int, int]:
        """Send a request; return the status and the epoch of the answer, 0 for each that is missing."""
        self.request_count += 1
        answer = await self.send((self.hosts[p], 8080), REQUEST % (cls, self.request_count))
        _, _, epoch = answer.partition(b"X-Policy-Epoch: ")
        return int(answer[9:12] or 0), int(epoch.split(b"\r\n")[0] or 0)

    async def up(self, p: int) -> bool:
        return b" 200 " in await self.send((self.hosts[p], 8080), b"GET /up HTTP/1.1\r\n\r\n")

    async def propose(self, p: int, text: bytes) -> str:
        """Upload a text to a proxy and propose it; return the answer to the proposal."""
        for line in calls.format_put_calls(digest_of(text), text):
            assert (await self.call(p, line)).startswith("+OK"), line
        return await self.call(p, f"policy-propose {digest_of(text).hex()}")

    async def outcome(self, p: int, text: bytes, timeout_s: float = 30.0) -> str:
        """Return the outcome of a proposal once it is no longer open, or the last one at the timeout."""
        end, answer = self.loop.time() + timeout_s, ""
        while self.loop.time() < end:
            answer = await self.call(p, f"policy-outcome {digest_of(text).hex()}")
            if not answer.startswith("+OK open"):
                break
            await asyncio.sleep(0.1)
        return answer

    def epochs(self) -> list[int]:
        return [proxy.proxy.policy_agreement.epoch if proxy.proxy else -1 for proxy in self.proxies]  # type: ignore
