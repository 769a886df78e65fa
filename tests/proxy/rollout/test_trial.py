"""A trial's version has its addresses to itself from before it starts."""

from __future__ import annotations

import sys

from firvane.proxy.rollout.plan import Version
from firvane.proxy.rollout.trial_start import try_version
from tests.proxy.net.helpers import run

# A version that tries for its operators' door as anybody else would before it takes that itself.
PROGRAM = """
import os, signal, socket, sys
signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
host, port = os.environ["NODE_OPS"].split(":")
with socket.socket() as another:
    try:
        another.bind((host, int(port)))
        sys.exit(9)
    except OSError:
        pass
with socket.create_server((host, int(port))) as door, door.accept()[0] as asked:
    assert asked.recv(6) == b"ready\\n"
    asked.sendall(b"+OK\\n")
with socket.socket(fileno=int(os.environ["NODE_SOCKET_FD"])) as held, held.accept()[0] as client:
    client.recv(1 << 16)
    client.sendall(b"HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n")
    while True:
        signal.pause()
"""


def test_nobody_else_can_have_the_door_of_a_version_that_is_still_to_bind_it() -> None:
    version = Version(command=(sys.executable, "-c", PROGRAM))

    async def work() -> None:
        assert await try_version(version, 20.0, 20.0) == ""

    run(work())
