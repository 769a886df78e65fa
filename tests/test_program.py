"""The program as it is started: its configuration, one request through it, and its end in order."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

import pytest

from firvane.__main__ import main, read_config
from tests.net_helpers import endpoint, run
from tests.test_benchlink import PARAMS


def config(folder: Path, **changes: Any) -> dict[str, str]:
    settings = {**PARAMS, "discovery": "push", "siblings": 1, "dcs": ["a"], "machine-types": ["big"]}
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
    ],
)
def test_a_bad_configuration_is_one_plain_line(
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
    read = read_config({**config(tmp_path), "NODE_LISTEN": "127.0.0.1:8", "NODE_NAME": "n7"})
    assert read.listen == ("127.0.0.1", 8) and read.name == "n7" and read.seed == 0x8C1F30D27A5BE964


def test_a_request_goes_through_and_a_planned_end_loses_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        came, release = asyncio.Event(), asyncio.Event()

        async def target(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while (await reader.read(4096)).startswith(b"GET /read/x?a=1 "):
                came.set()
                await release.wait()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            writer.close()

        async def discovery(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            port = targets.sockets[0].getsockname()[1]
            line = json.dumps({"index": 1, "snapshot": True, "endpoints": [endpoint("s1", port)]}) + "\n"
            head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(f"{head}{len(line):x}\r\n{line}\r\n".encode())

        targets = await asyncio.start_server(target, "127.0.0.1", 0)
        agent = await asyncio.start_server(discovery, "127.0.0.1", 0)
        env = config(tmp_path, discovery=f"127.0.0.1:{agent.sockets[0].getsockname()[1]}")
        program = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "firvane", env={**os.environ, **env}, stderr=asyncio.subprocess.PIPE
        )
        assert program.stderr
        try:
            while b"ready on" not in (line := await program.stderr.readline()):
                assert line, "it ended before it was ready"
            host, port = line.decode().split()[-1].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /up HTTP/1.1\r\n\r\n")
            assert b" 200 " in await reader.readuntil(b"\r\n\r\n200\n")
            writer.write(b"GET /read/x?a=1 HTTP/1.1\r\nX-Call-Id: 1\r\nX-Budget-Ms: 1900\r\n\r\n")
            await came.wait()
            program.terminate()
            while b"is ending" not in await program.stderr.readline():
                pass
            # New connections are still taken, and what is out is still finished.
            late_reader, late_writer = await asyncio.open_connection(host, int(port))
            late_writer.write(b"GET /read/x?a=1 HTTP/1.1\r\nX-Call-Id: 2\r\nX-Budget-Ms: 1900\r\n\r\n")
            release.set()
            for stream in (reader, late_reader):
                answer = await stream.read()
                assert b" 200 OK" in answer and b"Connection: close" in answer and answer.endswith(b"hi")
            assert await program.wait() == 0
            writer.close()
            late_writer.close()
        finally:
            if program.returncode is None:
                program.kill()

    run(work())
