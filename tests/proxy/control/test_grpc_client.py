"""A third-party client: the `xds:///` resolver of gRPC, with endpoints from the control service."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from collections import Counter
from typing import Any

import grpc

from tests.proxy.control.live import TIMEOUT_S, Stage, stage
from tests.proxy.net.helpers import run

CLIENT = """
import json, sys
from collections import Counter
import grpc
channel = grpc.insecure_channel("xds:///web")
call = channel.unary_unary("/read/Get")
for line in sys.stdin:  # number of calls and the first key; each call has its own key
    found, first = Counter(), int(line.split()[1])
    for n in range(first, first + int(line.split()[0])):
        try:
            found[call(b"", timeout=60, metadata=(("x-route-hash", f"key-{n}"),)).decode()] += 1
        except grpc.RpcError as error:
            found[f"failed: {error.code().name} {error.details()}"] += 1
    print(json.dumps(found), flush=True)
"""


class Backend(grpc.GenericRpcHandler):  # type: ignore[misc]
    """A backend that answers with its name."""

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
    """The client process."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process, self.first = process, 0

    async def calls(self, count: int) -> Counter[str]:
        assert self.process.stdin and self.process.stdout
        self.process.stdin.write(f"{count} {self.first}\n".encode())
        self.first += count
        async with asyncio.timeout(TIMEOUT_S):
            return Counter(json.loads(await self.process.stdout.readline()))

    async def wait_for_backends(self, names: str) -> None:
        """Call until exactly these backends answer; no call may fail meanwhile."""
        async with asyncio.timeout(TIMEOUT_S):
            while set(found := await self.calls(60)) != set(names):
                assert not [outcome for outcome in found if len(outcome) > 1], found


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


async def scenario(here: Stage) -> None:
    service = await here.service()
    servers, ports = await backends("abc")
    here.discovery.update(**ports)
    caller = await client(service.port)
    try:
        await caller.wait_for_backends("abc")
        by_backend = await caller.calls(600)
        assert min(by_backend.values()) > 100 and sum(by_backend.values()) == 600
        caller.first -= 600
        assert await caller.calls(600) == by_backend  # the same key is sent to the same backend

        here.discovery.update(b="draining")
        await caller.wait_for_backends("ac")
        here.discovery.set_weight("c", 4.0)
        async with asyncio.timeout(TIMEOUT_S):
            while (found := await caller.calls(200))["c"] < 2 * found["a"]:
                assert set(found) == {"a", "c"}

        # The service is replaced at the same address; meanwhile the client uses its last endpoints.
        port = service.port
        here.services.remove(service)
        await service.stop()
        assert set(await caller.calls(100)) == {"a", "c"}
        await here.service(listen=f"127.0.0.1:{port}")
        here.discovery.update(a="draining")
        await caller.wait_for_backends("c")
    finally:
        assert caller.process.stdin
        caller.process.stdin.close()
        await caller.process.wait()
        for server in servers:
            await server.stop(None)


def test_a_grpc_client_follows_drains_weights_and_a_restart_and_loses_no_call() -> None:
    async def run_scenario() -> None:
        async with stage() as here:
            await scenario(here)

    run(run_scenario())
