"""The proxy as a process: its configuration, requests through it, reload and graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from pathlib import Path
from typing import Any

import pytest

from firvane.__main__ import main, read_config
from tests.proxy.net.helpers import endpoint, run
from tests.proxy.test_simulator_adapter import PARAMS

# Deadlines that a busy machine meets, as these tests do not measure response times.
LONG_DEADLINES = [{**cls, "give-up-ns": 60_000_000_000} for cls in PARAMS["classes"]]


def config(folder: Path, **changes: Any) -> dict[str, str]:
    settings = {**PARAMS, "discovery": "push", "siblings": 1, "dcs": ["a"], "machine-types": ["big"]}
    settings["classes"] = LONG_DEADLINES
    data = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings,
        **changes,
    }
    path = folder / "config.json"
    path.write_text(json.dumps(data))
    return {"NODE_CONFIG": str(path)}


@pytest.mark.parametrize(
    ("changes", "word"),
    [
        ({"listen": "nowhere"}, "listen"),
        ({"settings": None}, "settings"),
        ({"settings": {**PARAMS, "classes": []}}, "classes"),
        ({"limits": {"sockets": 3}}, "sockets"),
        ({"peers": 5}, "peers"),
        ({"seed": "?"}, "seed"),
        ({"discovery": None}, "discovery"),
        ({"log": {"level": "loud"}}, "log.level"),
    ],
)
def test_an_invalid_configuration_is_one_line_on_standard_error(
    changes: dict[str, Any],
    word: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    for name in ("NODE_LISTEN", "NODE_DISCOVERY"):
        monkeypatch.delenv(name, raising=False)
    monkeypatch.setenv("NODE_CONFIG", config(tmp_path, **changes)["NODE_CONFIG"])
    assert main() == 2
    error = capsys.readouterr().err
    assert word in error and error.count("\n") == 1


def test_the_environment_overrides_the_file(tmp_path: Path) -> None:
    more = {"NODE_LISTEN": "127.0.0.1:8", "NODE_NAME": "n7", "FIRVANE_LOG_LEVEL": "error"}
    read = read_config({**config(tmp_path, log={"format": "json"}), **more})
    assert (read.log_level, read.log_format) == ("error", "json")
    assert read.listen == ("127.0.0.1", 8) and read.name == "n7" and read.seed == 0x8C1F30D27A5BE964


HEARTBEAT_S = 1.0  # between empty lines from discovery, without which the proxy ends the watch


async def start_discovery(index: int, port: int, requests: list[str]) -> asyncio.Server:
    """Start a discovery server that lists one target and then sends heartbeats only."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        requests.append((await reader.readuntil(b"\r\n\r\n")).decode().split()[1])
        line = json.dumps({"index": index, "snapshot": True, "endpoints": [endpoint("s1", port)]}) + "\n"
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(f"{head}{len(line):x}\r\n{line}\r\n".encode())
        with contextlib.suppress(OSError):
            while not reader.at_eof():
                try:
                    async with asyncio.timeout(HEARTBEAT_S):
                        await reader.read()
                except TimeoutError:
                    writer.write(b"1\r\n\n\r\n")
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


async def start_program(env: dict[str, str]) -> tuple[asyncio.subprocess.Process, asyncio.StreamReader]:
    made = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "firvane", env={**os.environ, **env}, stderr=asyncio.subprocess.PIPE
    )
    assert made.stderr
    return made, made.stderr


async def wait_for_log(log: asyncio.StreamReader, words: str) -> str:
    """Return the next log line that contains these words."""
    while words not in (line := (await log.readline()).decode()):
        assert line, f"the log ended without {words!r}"
    return line


async def check_liveness(host: str, port: int) -> None:
    """Connect one client and wait for its response, as many unanswered clients would delay a busy proxy."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
    finally:
        writer.close()


def listen_address(line: str) -> list[str]:
    """Return the host and port in the log line of a proxy that is ready."""
    return line.partition("listen=")[2].split()[0].split(":")


def address(server: asyncio.Server) -> str:
    return "{}:{}".format(*server.sockets[0].getsockname()[:2])


def test_a_reload_changes_discovery_and_keeps_requests_in_flight(tmp_path: Path) -> None:
    # Guards against a SIGHUP without a handler, which ends the process and all its requests.
    async def work() -> None:
        received, release = asyncio.Event(), asyncio.Event()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.read(4096):
                received.set()
                await release.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            writer.close()

        targets = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = targets.sockets[0].getsockname()[1]
        requests: list[list[str]] = [[], []]
        servers = [await start_discovery(n, port, requests[i]) for i, n in enumerate((41, 7))]
        # The environment names the first server until the process ends; a reload uses the file.
        env = {**config(tmp_path, discovery=address(servers[0])), "NODE_DISCOVERY": address(servers[0])}
        proxy, log = await start_program(env)
        try:
            host, number = listen_address(await wait_for_log(log, "event=ready"))
            reader, writer = await asyncio.open_connection(host, int(number))
            writer.write(b"GET /read/x HTTP/1.1\r\nX-Call-Id: 1\r\nX-Budget-Ms: 60000\r\n\r\n")
            await received.wait()
            Path(env["NODE_CONFIG"]).write_text("{half a file")
            proxy.send_signal(signal.SIGHUP)
            await wait_for_log(log, "is not JSON")
            config(tmp_path, discovery=address(servers[1]))
            proxy.send_signal(signal.SIGHUP)
            await wait_for_log(log, f"discovery={address(servers[1])}")
            release.set()
            assert (await reader.readuntil(b"\r\n\r\nhi")).startswith(b"HTTP/1.1 200 ")
            proxy.terminate()
            assert await proxy.wait() == 0
            assert requests[0] == ["/discovery/hosts?watch=1&from=0"] == requests[1]
            writer.close()
        finally:
            if proxy.returncode is None:
                proxy.kill()

    run(work())


def test_a_request_is_proxied_and_a_graceful_shutdown_loses_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        received, release = asyncio.Event(), asyncio.Event()

        async def target(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while (await reader.read(4096)).startswith(b"GET /read/x?a=1 "):
                received.set()
                await release.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            writer.close()

        targets = await asyncio.start_server(target, "127.0.0.1", 0)
        discovery = await start_discovery(1, targets.sockets[0].getsockname()[1], [])
        proxy, log = await start_program(config(tmp_path, discovery=address(discovery)))
        try:
            host, port = listen_address(await wait_for_log(log, "event=ready"))
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /up HTTP/1.1\r\n\r\n")
            assert b" 200 " in await reader.readuntil(b"\r\n\r\n200\n")
            writer.write(b"GET /read/x?a=1 HTTP/1.1\r\nX-Call-Id: 1\r\nX-Budget-Ms: 60000\r\n\r\n")
            await received.wait()
            proxy.terminate()
            await wait_for_log(log, "event=ending")
            # New connections are still accepted, and requests in flight finished.
            late_reader, late_writer = await asyncio.open_connection(host, int(port))
            late_writer.write(b"GET /read/x?a=1 HTTP/1.1\r\nX-Call-Id: 2\r\nX-Budget-Ms: 60000\r\n\r\n")
            release.set()
            for stream in (reader, late_reader):
                assert b" 200 OK" in await stream.readuntil(b"\r\n\r\nhi")
            # Connected clients are served until the remaining time is needed to finish.
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                while True:  # until new connections are refused
                    await check_liveness(host, int(port))
            writer.write(b"GET /read/x?a=1 HTTP/1.1\r\nX-Call-Id: 3\r\nX-Budget-Ms: 60000\r\n\r\n")
            assert b" 200 OK" in await reader.readuntil(b"\r\n\r\nhi")
            assert not await late_reader.read()
            assert await proxy.wait() == 0
            writer.close()
            late_writer.close()
        finally:
            if proxy.returncode is None:
                proxy.kill()

    run(work())
