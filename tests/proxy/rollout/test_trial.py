"""The addresses of a trial start are reserved before the version starts."""

from __future__ import annotations

import sys

from firvane.proxy.rollout.plan import Version
from firvane.proxy.rollout.trial_start import try_version
from tests.proxy.net.helpers import run

# A program that checks that no other socket can bind its admin API's port, and then binds it itself.
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
with socket.create_server((host, int(port))) as listener, listener.accept()[0] as connection:
    assert connection.recv(6) == b"ready\\n"
    connection.sendall(b"+OK\\n")
with socket.socket(fileno=int(os.environ["NODE_SOCKET_FD"])) as inherited, inherited.accept()[0] as client:
    client.recv(1 << 16)
    client.sendall(b"HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n")
    while True:
        signal.pause()
"""


def test_no_other_process_can_bind_the_admin_port_before_the_version_does() -> None:
    version = Version(command=(sys.executable, "-c", PROGRAM))

    async def work() -> None:
        assert await try_version(version, 20.0, 20.0) == ""

    run(work())
