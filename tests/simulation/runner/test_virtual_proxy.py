"""The real proxy in virtual time: it serves, dies, ends in order, and does the same in every run."""

from __future__ import annotations

import asyncio
import json
import os
import random
import subprocess
import sys
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from firvane.core.terminations import Termination
from firvane.proxy.config.platform import Config
from firvane.proxy.settings import parse_settings
from firvane.simulation.runner.process import Process
from firvane.simulation.runner.virtual import VirtualLoop
from firvane.simulation.runner.virtual_proxy import KILLED, MemoryDialer, VirtualProxy
from tests.proxy.net.helpers import endpoint
from tests.proxy.test_simulator_adapter import PARAMS
from tests.simulation.runner.virtual_helpers import CLIENT, SERVER, Net, Noted, virtual

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
ASK = "GET /read/x HTTP/1.1\r\nX-Call-Id: {0}\r\nX-Route-Hash: {1}\r\nX-Budget-Ms: 1900\r\n\r\n"
BOXES, PROXIES = 4, 2


class Box(Noted):
    """Answers each request after a while that depends on the request alone."""

    def __init__(self, world: World, name: str) -> None:
        super().__init__()
        self.lost = partial(world.note, "left", name)

    def data_received(self, data: bytes) -> None:
        call = data.split(b"X-Call-Id: ")[1].split(b"\r\n")[0]
        wait = 0.02 + random.Random(call).random() / 10
        self.loop.call_later(wait, self.transport.write, ANSWER % (len(call), call))

    def connection_lost(self, error: Exception | None) -> None:
        self.lost()


class Agent(Noted):
    """Discovery: tells the list to whoever asks."""

    def __init__(self, world: World) -> None:
        super().__init__(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.world = world

    def data_received(self, data: bytes) -> None:
        self.tell(BOXES)
        self.world.agents.append(self)

    def tell(self, boxes: int) -> None:
        """The whole list, of the last so many boxes."""
        entries = [{**endpoint(f"s{b}", 80), "address": f"10.1.0.{b}:80"} for b in range(BOXES)][-boxes:]
        line = json.dumps({"index": 1, "snapshot": True, "endpoints": entries}).encode() + b"\n"
        self.transport.write(b"%x\r\n%s\r\n" % (len(line), line))


class Client(Noted):
    """One request, on a connection of its own."""

    def __init__(self, world: World, number: int, call: str) -> None:
        super().__init__(ASK.format(call, len(call)).encode())
        self.call, self.say = call, partial(world.note, call)
        address = (f"10.0.{number}.1", 8080)
        self.loop.memory.connect(
            CLIENT, address, lambda: self, lambda *up: None, lambda _: self.say("refused")
        )

    def data_received(self, data: bytes) -> None:
        super().data_received(data)
        self.say(data[9:12], data.split()[-1])

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.say(type(error).__name__)


class World:
    """Boxes, discovery and proxies, each on a host of its own."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop, self.log, self.agents = loop, list[tuple[Any, ...]](), list[Agent]()
        self.boxes = [Process(loop, f"s{b}", f"10.1.0.{b}") for b in range(BOXES)]
        for box in self.boxes:
            box.call(loop.memory.listen, (box.host, 80), partial(Box, self, box.name))
        self.proxies = [VirtualProxy(loop, loop.time, partial(self.note, p)) for p in range(PROXIES)]
        for p, proxy in enumerate(self.proxies):
            loop.memory.listen((f"10.0.{p}.1", 8500), partial(Agent, self))
            proxy.start(self.config(p))

    def note(self, *what: Any) -> None:
        self.log.append((self.loop.time(), *what))

    def said(self, who: object) -> list[Any]:
        """What was noted of a proxy or a call, without the times and the exit codes."""
        return [entry[2] for entry in self.log if entry[1] == who]

    def config(self, p: int) -> Config:
        settings = {**PARAMS, "discovery": "push", "siblings": PROXIES, "me": p, "dcs": ["a"]}
        host, peers = f"10.0.{p}.1", tuple((f"10.0.{n}.1", 7946) for n in range(PROXIES))
        limits = {"sockets": 256, "cores": 1.0, "memory_mb": 64}
        zones, kinds, parsed = ("a",), ("big",), parse_settings(settings)
        ways = {"peer_listen": peers[p], "peers": peers, "peers_all": None, "known": None}
        own = {"name": f"n{p}", "seed": p, "listen": (host, 8080), "discovery": (host, 8500)}
        return Config(zones=zones, kinds=kinds, settings=parsed, **own, **ways, **limits)


@virtual
async def test_a_kill_loses_what_the_proxy_held_and_its_successor_knows_nothing(
    loop: VirtualLoop, net: Net
) -> None:
    world = World(loop)
    await asyncio.sleep(1)
    killed = world.proxies[0]
    Client(world, 0, "c1")
    await asyncio.sleep(1)
    # Dials and ways there and back, four times 20 ms, and the box's time, to the last digit.
    took = 0.08 + 0.02 + random.Random(b"c1").random() / 10
    assert world.log[-1] == (pytest.approx(2.0 - 1.0 + took), "c1", b"200", b"c1")
    assert killed.sockets == 3  # discovery, a client, a target
    first, held = killed.proxy, [Client(world, 0, f"c{i}") for i in range(2, 5)]
    await asyncio.sleep(0.06)  # the boxes have them
    killed.kill()
    assert killed.proxy is None and killed.sockets == 0
    Client(world, 0, "too early")
    await asyncio.sleep(0.5)
    for client in held:
        assert world.said(client.call) == ["ConnectionResetError"] and client.notes[-1][0] == 2.07
    assert world.said("too early") == ["refused"]
    killed.start(world.config(0))
    with pytest.raises(RuntimeError):
        killed.start(world.config(0))
    await asyncio.sleep(1)
    Client(world, 0, "c9")
    await asyncio.sleep(1)
    assert world.said("c9") == [b"200"] and killed.proxy is not first
    assert world.said(0) == ["started", "ready", "killed", "started", "ready"]
    assert (2.06, 0, "killed", KILLED) in world.log and world.said(1) == ["started", "ready"]


@virtual
async def test_an_end_in_order_answers_what_is_out_and_lets_the_name_go(loop: VirtualLoop, net: Net) -> None:
    loop.memory.listen(("10.0.1.1", 8080), Noted)
    world = World(loop)
    await asyncio.sleep(1)
    assert world.said(1) == ["started", "ended"]  # it cannot start
    Client(world, 0, "out")
    await asyncio.sleep(0.06)
    world.proxies[0].end()
    await asyncio.sleep(4)
    assert world.said("out")[0] == b"200" and world.said(0) == ["started", "ready", "ending", "ended"]
    assert [entry[3] for entry in world.log if entry[1] == 0][-1] == 0
    Client(world, 0, "too late")
    await asyncio.sleep(1)
    assert world.said("too late") == ["refused"]


@virtual
async def test_a_dial_is_up_refused_expired_or_given_up_once(loop: VirtualLoop, net: Net) -> None:
    dialer, said = MemoryDialer(loop.memory, CLIENT), list[Any]()

    def dial(address: tuple[str, int]) -> Any:
        return dialer.dial(address, loop.time() + 0.5, lambda quiet: Noted(), said.append, said.append)

    server = loop.memory.listen(SERVER, Noted)
    dial(SERVER)
    dial((SERVER[0], 81))
    await asyncio.sleep(1)
    assert isinstance(said[0], Noted) and said[1:] == [Termination.CONNECTION_REFUSED]
    server.hangs = True
    dial(SERVER)
    given_up = dial(SERVER)
    given_up.close()
    given_up.close()
    await asyncio.sleep(5)
    assert said[2:] == [Termination.CANCELLED, Termination.CONNECT_TIMEOUT]


@virtual
async def print_transcript(loop: VirtualLoop, net: Net) -> None:
    """All that is seen of a run with much trouble, to the last digit."""
    world, draw = World(loop), random.Random(1)
    loop.call_later(2.0, world.boxes[0].kill)
    loop.call_later(3.0, world.proxies[1].kill)
    loop.call_later(3.5, lambda: world.proxies[1].start(world.config(1)))
    loop.call_later(4.0, setattr, net, "seconds", None)
    loop.call_later(4.5, setattr, net, "seconds", 0.01)
    loop.call_later(5.0, lambda: [agent.tell(1) for agent in world.agents])
    loop.call_later(5.5, world.proxies[0].end)
    for i in range(600):
        loop.call_later(1.0 + 6.0 * draw.random(), Client, world, draw.randrange(PROXIES), f"c{i}")
    await asyncio.sleep(12)
    print(*world.log, sep="\n")


def test_two_runs_are_alike_whatever_the_hashes_are() -> None:
    code = "from tests.simulation.runner.test_virtual_proxy import print_transcript as run; run()"
    runs = []
    for seed in ("2", "4"):  # under which a set of the boxes has other orders
        done = subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": seed},
            cwd=Path(__file__).parents[3],
            capture_output=True,
            check=True,
            timeout=60,
        )
        runs.append(done.stdout.decode())
    assert runs[0] == runs[1]
    for word in ("'c1', b'200', b'c1'", "'refused'", "ConnectionResetError", "'killed'", "'ended'", "'left'"):
        assert word in runs[0]
