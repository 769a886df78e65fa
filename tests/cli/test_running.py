"""Commands that run a proxy, emulated backends or a rehearsal, as real processes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from firvane.cli import main
from firvane.simulation.runner.plan import claim_net
from tests.proxy.config.samples import CONFIG, SCENARIO
from tests.proxy.net.helpers import run
from tests.proxy.test_program import listen_address, wait_for_log

Reader = asyncio.StreamReader
LOAD = "request_class = 'read'\ndeadline_s = 60.0"


@contextlib.asynccontextmanager
async def command(*args: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run the command in a new process, which is killed at the end of the context."""
    start = "from firvane.cli import run; run()"
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", start, *args, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


async def target(name: bytes) -> asyncio.Server:
    async def serve(reader: Reader, writer: asyncio.StreamWriter) -> None:
        while await reader.read(4096):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + name)
        writer.close()

    return await asyncio.start_server(serve, "127.0.0.1", 0)


async def send_request(reader: Reader, writer: asyncio.StreamWriter, call: int) -> bytes:
    """Send a request of the class in the samples, and return the body of the response."""
    writer.write(b"GET /read/x HTTP/1.1\r\nX-Call-Id: %d\r\nX-Budget-Ms: 60000\r\n\r\n" % call)
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
    return await reader.readexactly(1)


def test_a_reload_replaces_the_static_list_and_rejects_an_invalid_file(tmp_path: Path) -> None:
    async def work() -> None:
        one, two = await target(b"1"), await target(b"2")
        ports = [server.sockets[0].getsockname()[1] for server in (one, two)]
        file = tmp_path / "firvane.toml"

        def configure(port: int, more: str = "") -> None:
            text = CONFIG.replace("127.0.0.1:9", f"127.0.0.1:{port}").replace("= 2000", "= 60_000")
            text = text.replace(', { address = "127.0.0.1:10", name = "two", weight = 2.5 }', "")
            file.write_text(text + more)

        configure(ports[0], "[log]\nformat = 'json'\n")
        async with command("serve", str(file)) as proxy:
            assert proxy.stderr
            ready = json.loads(await wait_for_log(proxy.stderr, '"ready"'))
            assert ready["proxy"] == "edge" and ready["targets"] == 1
            host, port = ready["listen"].split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            assert await send_request(reader, writer, 1) == b"1"
            configure(ports[1], "[oops]\n")
            proxy.send_signal(signal.SIGHUP)
            assert "oops: unknown key" in await wait_for_log(proxy.stderr, "config_rejected")
            assert await send_request(reader, writer, 2) == b"1"
            configure(ports[1])
            proxy.send_signal(signal.SIGHUP)
            await wait_for_log(proxy.stderr, "config_reloaded")
            assert await send_request(reader, writer, 3) == b"2"
            proxy.terminate()
            writer.close()
            assert await proxy.wait() == 0

    run(work())


def test_a_separate_proxy_uses_the_emulated_backends(tmp_path: Path) -> None:
    async def work() -> None:
        small = tmp_path / "small.toml"
        small.write_text(SCENARIO.replace("[load]", "[boxes]\ncount = 3\n[load]\n" + LOAD))
        file = tmp_path / "firvane.toml"
        # A loopback network that no other fleet on this machine uses.
        net, claim = claim_net()
        first, discovery = f"127.{net}.7.1:9001", f"127.{net}.7.1:8500"
        call = ("boxes", str(small), "--boxes", first, "--discovery", discovery, "--config", str(file))
        async with command(*call) as fleet:
            assert fleet.stdout
            await wait_for_log(fleet.stdout, "firvane serve")
            file.write_text(file.read_text().replace("127.0.0.1:8080", "127.0.0.1:0"))
            async with command("serve", str(file)) as proxy:
                assert proxy.stderr
                host, port = listen_address(await wait_for_log(proxy.stderr, "event=ready"))
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /read/x HTTP/1.1\r\nX-Call-Id: 7\r\nX-Budget-Ms: 60000\r\n\r\n")
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 ")
                assert (await reader.readuntil(b" ")) == b"7 "
                writer.close()
            fleet.send_signal(signal.SIGINT)
            assert await fleet.wait() == 0
        claim.close()

    run(work())


def test_a_rehearsal_is_checked_stored_and_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    Path("short.toml").write_text(SCENARIO)
    for name in ("a", "b"):
        assert (
            main(["rehearse", "short.toml", "--seed", "4", "--json", f"{name}.json", "--html", "a.html"]) == 0
        )
    out, err = capsys.readouterr()
    assert "All rules kept." in out and "firvane rehearse short.toml --virtual --seed 4" in out
    assert "service 1.00" in err  # progress, as separate lines without a terminal
    a, b = (json.loads(Path(f"{name}.json").read_text()) for name in ("a", "b"))
    assert a["result_hash"] == b["result_hash"] and a["seed"] == 4
    assert Path("a.html").read_text().startswith("<!")
    assert main(["report", "a.json", "b.json", "--html", "two.html"]) == 0
    assert "too short to tell" in capsys.readouterr().out
    os.truncate("b.json", 100)
    assert main(["report", "b.json"]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1
