"""The trial start of a version beside the fleet: on a separate socket, with this process as only client."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import socket
import subprocess

from firvane.core.address import Address
from firvane.proxy.rollout import readiness_probe
from firvane.proxy.rollout.plan import Version

POLL_INTERVAL_S = 0.05
ANSWER_TIMEOUT_S = 2.0
BACKLOG = 64
PR_SET_PDEATHSIG = 1


async def try_version(version: Version, ready_timeout_s: float, termination_timeout_s: float) -> str:
    """Start a version, and return why it cannot be rolled out.

    The version must bind its admin API with SO_REUSEADDR, as firvane does: this process reserves the port
    with a bound socket that does not listen.

    Args:
        version: The command and environment of the version.
        ready_timeout_s: Seconds to become ready and to answer a request.
        termination_timeout_s: Seconds to exit after SIGTERM.

    Returns:
        The reason; "" if the version became ready, answered a request, and exited after SIGTERM.
    """
    with socket.create_server(("127.0.0.1", 0), backlog=BACKLOG) as listener, _reserve_port() as reserved:
        listen, ops = listener.getsockname(), reserved.getsockname()
        env = {**os.environ, **version.environment, "NODE_SOCKET_FD": str(listener.fileno())}
        env |= {"NODE_LISTEN": "{}:{}".format(*listen), "NODE_OPS": "{}:{}".format(*ops)}
        try:
            process = _start(version, env, listener.fileno())
        except OSError as error:
            return f"it cannot be started: {error.filename or version.command[0]}: {error.strerror}"
        try:
            reason = await _check_serving(process, listen, ops, ready_timeout_s)
            return reason or await _check_termination(process, termination_timeout_s)
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()


def _start(version: Version, env: dict[str, str], socket_fd: int) -> subprocess.Popen[bytes]:
    prctl = ctypes.CDLL(None).prctl
    return subprocess.Popen(
        version.command,
        env=env,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        pass_fds=(socket_fd,),
        preexec_fn=lambda: prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0),
    )


async def _check_serving(
    process: subprocess.Popen[bytes], listen: Address, ops: Address, timeout_s: float
) -> str:
    """Return why the process is not ready or answers no request; "" if it is ready and answers."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not await readiness_probe.is_ready(ops, ANSWER_TIMEOUT_S):
        if process.poll() is not None:
            return f"it ended with code {process.returncode} at its start"
        if loop.time() >= deadline:
            return f"it is not ready after {timeout_s:g} s"
        await asyncio.sleep(POLL_INTERVAL_S)
    while not (await readiness_probe.probe(listen, (process.pid,), ANSWER_TIMEOUT_S)).is_answered:
        if process.poll() is not None:
            return f"it ended with code {process.returncode} under its first request"
        if loop.time() >= deadline:
            return "it reports ready but answers no requests"
        await asyncio.sleep(POLL_INTERVAL_S)
    return ""


async def _check_termination(process: subprocess.Popen[bytes], timeout_s: float) -> str:
    """Terminate the process; return an error text if it does not exit in time, else ""."""
    loop = asyncio.get_running_loop()
    process.terminate()
    deadline = loop.time() + timeout_s
    while process.poll() is None:
        if loop.time() >= deadline:
            return f"it does not exit within {timeout_s:g} s after SIGTERM"
        await asyncio.sleep(POLL_INTERVAL_S)
    return ""


def _reserve_port() -> socket.socket:
    """Return a bound socket that reserves a port while it is open.

    The kernel does not assign the port to sockets that bind port 0, but a socket with SO_REUSEADDR can bind
    it explicitly. If this socket were closed before the version binds the port, another process could get it.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock
