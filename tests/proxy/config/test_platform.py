"""Rules of the platform for `run`: it ends up as one process, dynamically linked against the C library, that
starts no other process and opens only TCP and UDP sockets over IPv4.

An audit hook, which the interpreter loads at its start, records the calls of Python code. Sockets that are
opened below Python (by uvloop) are found in /proc from outside the process. libuv also requests an io_uring
to batch changes of epoll; the platform denies it, and libuv works without.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tomllib
from pathlib import Path

import pytest

from tests.proxy.net.helpers import run
from tests.proxy.test_program import address, config, listen_address, start_discovery, wait_for_log

ROOT = Path(__file__).resolve().parents[3]
WATCH = """
import os, sys
PROGRAMS = ("subprocess.Popen", "os.exec", "os.fork", "os.forkpty", "os.posix_spawn", "os.spawn", "os.system")
KNOWN = {(2, 1), (2, 2)}  # IPv4, as a stream or datagrams
def record(what, out=os.open(os.environ["WATCHED"], os.O_WRONLY | os.O_CREAT | os.O_APPEND)):
    os.write(out, f"{what}\\n".encode())
def hook(event, args):
    if event in PROGRAMS:
        record(event)
    elif event == "socket.__new__" and args[1] != 1 and (args[1], args[2] & 15) not in KNOWN:
        record(f"socket {args[1]} {args[2]}")
    elif event in ("socket.bind", "socket.connect") and isinstance(args[1], (str, bytes)):
        record(f"{event} at a Unix socket")
def refused(name):
    return lambda *args, **more: record(f"os.{name}")
for name in ("sendfile", "splice"):  # these have no event of their own
    setattr(os, name, refused(name))
sys.addaudithook(hook)
"""


def socket_table(pid: int, name: str, column: int) -> dict[str, list[str]]:
    """Return the rows of a socket table in /proc/PID/net by inode."""
    file = Path(f"/proc/{pid}/net/{name}")
    rows = (line.split() for line in (file.read_text() if file.exists() else "").splitlines()[1:])
    return {row[column]: row for row in rows}


def unexpected_resources(pid: int) -> list[str]:
    """Return the sockets and child processes of a process that the platform does not allow."""
    links = []
    for fd in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):  # closed meanwhile
            links.append(os.readlink(fd))
    # Unix sockets without a name are socket pairs.
    pairs = {inode for inode, row in socket_table(pid, "unix", 6).items() if len(row) < 8}
    found = [f"child {child}" for task in Path(f"/proc/{pid}/task").iterdir()
             for child in (task / "children").read_text().split()]  # fmt: skip
    other = {"tcp6": 9, "udp6": 9, "raw": 9, "packet": 8, "netlink": 9, "unix": 6}
    forbidden = {
        inode: name for name, column in other.items()
        for inode in socket_table(pid, name, column) if inode not in pairs
    }  # fmt: skip
    # A connection that has closed meanwhile is in no table; only sockets in one of these tables are reported.
    return found + [forbidden[n] for link in links if (n := link[8:-1]) in forbidden]


def audited_environment(folder: Path) -> dict[str, str]:
    """Return the environment in which an interpreter records its audited calls in `folder`/audited."""
    (folder / "sitecustomize.py").write_text(WATCH)
    return {"PYTHONPATH": f"{folder}:{ROOT}", "WATCHED": str(folder / "audited")}


def test_run_is_one_process_that_opens_only_allowed_sockets(tmp_path: Path) -> None:
    async def work() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while await reader.read(4096):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
            writer.close()

        targets = await asyncio.start_server(serve, "127.0.0.1", 0)
        discovery = await start_discovery(41, targets.sockets[0].getsockname()[1], [])
        line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        line = line.replace(".venv/bin/python", sys.executable)  # the same interpreter in CI
        env = {
            **os.environ,
            **config(tmp_path, discovery=address(discovery)),
            **audited_environment(tmp_path),
        }
        proxy = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", line, cwd=ROOT, env=env, stderr=asyncio.subprocess.PIPE
        )
        assert proxy.stderr
        try:
            host, port = listen_address(await wait_for_log(proxy.stderr, "event=ready"))
            found = unexpected_resources(proxy.pid)
            for _ in range(20):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /read/x HTTP/1.1\r\nX-Call-Id: 1\r\nX-Budget-Ms: 60000\r\n\r\n")
                await reader.readuntil(b"\r\n\r\nhi")
                found += unexpected_resources(proxy.pid)
                writer.close()
            # The shell has replaced itself by the interpreter, which has the same process ID.
            assert os.readlink(f"/proc/{proxy.pid}/exe") == os.path.realpath(sys.executable)
            assert "libc.so" in Path(f"/proc/{proxy.pid}/maps").read_text()
            assert found == [] and (tmp_path / "audited").read_text() == ""
        finally:
            proxy.terminate()
            await proxy.wait()
            targets.close()
            discovery.close()

    run(work())


@pytest.mark.parametrize(
    ("code", "audited", "outside"),
    [
        ("import subprocess; held = subprocess.Popen(['cat'], stdin=-1)", "subprocess.Popen", "child"),
        ("import os; os.fork() or sys.stdin.read()", "os.fork", "child"),
        ("import socket; held = socket.socket(socket.AF_INET6)", "socket 10", ""),
        ("import socket; held = socket.socket(socket.AF_UNIX); held.bind(NAME)", "Unix socket", "unix"),
        ("import os; os.sendfile(1, 0, 0, 1)", "os.sendfile", ""),
    ],
)
def test_the_audit_detects_forbidden_actions(code: str, audited: str, outside: str, tmp_path: Path) -> None:
    async def work() -> None:
        name = f"import sys; NAME = {str(tmp_path / 'name')!r}\n"
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-c", f"{name}{code}\nprint('done', flush=True)\nsys.stdin.read()",
            env={**os.environ, **audited_environment(tmp_path)}, stdin=-1, stdout=-1,
        )  # fmt: skip
        assert child.stdout and child.stdin
        await child.stdout.readline()
        found = unexpected_resources(child.pid)
        child.stdin.close()
        await child.wait()
        assert audited in (tmp_path / "audited").read_text()
        assert (not outside and not found) or any(resource.startswith(outside) for resource in found)

    run(work())
