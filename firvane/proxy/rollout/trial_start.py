"""A trial start of a version beside the fleet: on a socket of its own, with no client but this one."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import signal
import socket
import subprocess

from firvane.proxy.rollout import readiness_probe
from firvane.proxy.rollout.plan import Version

LOOK_S = 0.05
ANSWER_S = 2.0
DIE_WITH_PARENT = 1  # PR_SET_PDEATHSIG


async def trial(how: Version, ready_s: float, end_s: float) -> str:
    """Why the version is not fit to be begun; "" where it became ready, answered a request, and ended when
    told to.

    The version must bind its operators' door with SO_REUSEADDR, as every firvane does: the port is kept from
    everybody else by a socket here that is bound and does not listen.
    """
    loop = asyncio.get_running_loop()
    prctl = ctypes.CDLL(None).prctl
    with socket.create_server(("127.0.0.1", 0), backlog=64) as held, _free() as ops:
        env = {**os.environ, **how.environment, "NODE_SOCKET_FD": str(held.fileno())}
        listen, door = held.getsockname(), ops.getsockname()
        env |= {"NODE_LISTEN": "{}:{}".format(*listen), "NODE_OPS": "{}:{}".format(*door)}
        try:
            made = subprocess.Popen(
                how.command,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
                pass_fds=(held.fileno(),),
                preexec_fn=lambda: prctl(DIE_WITH_PARENT, signal.SIGKILL, 0, 0, 0),
            )
        except OSError as error:
            return f"it cannot be started: {error.filename or how.command[0]}: {error.strerror}"
        try:
            until = loop.time() + ready_s
            while not await readiness_probe.ready(door, ANSWER_S):
                if made.poll() is not None:
                    return f"it ended with code {made.returncode} at its start"
                if loop.time() >= until:
                    return f"it is not ready after {ready_s:g} s"
                await asyncio.sleep(LOOK_S)
            while not (await readiness_probe.served(listen, (made.pid,), ANSWER_S))[1]:
                if made.poll() is not None:
                    return f"it ended with code {made.returncode} under its first request"
                if loop.time() >= until:
                    return "it says that it is ready, and serves nothing"
                await asyncio.sleep(LOOK_S)
            made.terminate()
            until = loop.time() + end_s
            while made.poll() is None:
                if loop.time() >= until:
                    return f"it does not end within {end_s:g} s when told to"
                await asyncio.sleep(LOOK_S)
            return ""
        finally:
            with contextlib.suppress(ProcessLookupError):
                made.kill()
            made.wait()


def _free() -> socket.socket:
    """A port that is nobody else's while this is open.

    The kernel gives it to none that asks for any, and lets one beside it that asks for this one and has
    SO_REUSEADDR as well. Closed before the version has come so far, it would go to whoever is first.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock
