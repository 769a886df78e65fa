"""A client that nobody here wrote: gRPC's own resolver of `xds:///`, told where to send by the service."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections import Counter
from typing import Any

import grpc

from tests.proxy.control.live import PATIENCE, Stage, stage
from tests.proxy.net.helpers import run

CLIENT = """
import json, sys
from collections import Counter
import grpc
channel = grpc.insecure_channel("xds:///web")
call = channel.unary_unary("/read/Get")
for line in sys.stdin:  # how many calls, each with a key of its own
    found, first = Counter(), int(line.split()[1])
    for n in range(first, first + int(line.split()[0])):
        try:
            found[call(b"", timeout=60, metadata=(("x-route-hash", f"key-{n}"),)).decode()] += 1
        except grpc.RpcError as error:
            found[f"failed: {error.code().name} {error.details()}"] += 1
    print(json.dumps(found), flush=True)
"""


class Backend(grpc.GenericRpcHandler):  # type: ignore[misc]
    """Says its name."""

    def __init__(self, name: str) -> None:
        self.name = name

    def service(self, call: Any) -> Any:
        async def answer(request: bytes, context: Any) -> bytes:
            return self.name.encode()

        return grpc.unary_unary_rpc_method_handler(answer) if call.method == "/read/Get" else None


async def backends(names: str) -> tuple[list[Any], dict[str, int]]:
    servers, ports = [], {}
    for name in names:
        server = grpc.aio.server()
        server.add_generic_rpc_handlers((Backend(name),))
        ports[name] = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        servers.append(server)
    return servers, ports


class Client:
    """The process that calls."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process, self.first = process, 0

    async def calls(self, count: int) -> Counter[str]:
        assert self.process.stdin and self.process.stdout
        self.process.stdin.write(f"{count} {self.first}\n".encode())
        self.first += count
        async with asyncio.timeout(PATIENCE):
            return Counter(json.loads(await self.process.stdout.readline()))

    async def until(self, names: str) -> None:
        """Until calls go to just these; none may fail meanwhile."""
        async with asyncio.timeout(PATIENCE):
            while set(found := await self.calls(60)) != set(names):
                assert not [what for what in found if len(what) > 1], found


async def client(port: int) -> Client:
    bootstrap = {
        "xds_servers": [
            {
                "server_uri": f"127.0.0.1:{port}",
                "channel_creds": [{"type": "insecure"}],
                "server_features": ["xds_v3"],
            }
        ],
        "node": {"id": "grpc-1", "locality": {"zone": "a"}},
    }
    env = {**os.environ, "GRPC_XDS_BOOTSTRAP_CONFIG": json.dumps(bootstrap)}
    return Client(
        await asyncio.create_subprocess_exec(sys.executable, "-c", CLIENT, env=env, stdin=-1, stdout=-1)
    )


async def scene(here: Stage) -> None:
    service = await here.service()
    servers, ports = await backends("abc")
    here.discovery.tell(**ports)
    made = await client(service.port)
    try:
        await made.until("abc")
        even = await made.calls(600)
        assert min(even.values()) > 100 and sum(even.values()) == 600
        made.first -= 600
        assert await made.calls(600) == even  # a key leads to the same box

        here.discovery.tell(b="draining")
        await made.until("ac")
        here.discovery.weigh("c", 4.0)
        async with asyncio.timeout(PATIENCE):
            while (found := await made.calls(200))["c"] < 2 * found["a"]:
                assert set(found) == {"a", "c"}

        # The service goes and another takes its place at the same address: calls go on by what is known.
        port = service.port
        here.services.remove(service)
        await service.stop()
        assert set(await made.calls(100)) == {"a", "c"}
        await here.service(listen=f"127.0.0.1:{port}")
        here.discovery.tell(a="draining")
        await made.until("c")
    finally:
        assert made.process.stdin
        made.process.stdin.close()
        await made.process.wait()
        for server in servers:
            await server.stop(None)


def test_a_grpc_client_follows_drains_weights_and_a_restart_and_loses_no_call() -> None:
    async def work() -> None:
        async with stage() as here:
            await scene(here)

    run(work())
