"""Runs model servers and the platform's list alone, for manually started daemons.

`python -m firvane.simulation.localfleet.stand_ins` serves at the addresses of `deploy/fleet.example` until
interrupted.
"""

from __future__ import annotations

import asyncio
import contextlib

from firvane.simulation.localfleet.backends import Backends
from firvane.simulation.localfleet.layout import MAX_BACKENDS, Layout, Ports, make_layout
from firvane.simulation.localfleet.profiles import ServerProfile
from firvane.simulation.localfleet.settings_files import PlatformTerms

EXAMPLE_PORT = 7300  # the first port in deploy/fleet.example


def example_layout() -> Layout:
    """The addresses in `deploy/fleet.example`: one controller and one router."""
    return make_layout(1, 1, Ports(EXAMPLE_PORT))


def stand_ins(*, backends: int = 2) -> None:
    """Serve a list of model servers, and the model servers, until interrupted.

    :param backends: number of model servers
    """
    if not 1 <= backends <= MAX_BACKENDS:
        raise SystemExit(f"backends: {backends} is not between 1 and {MAX_BACKENDS}")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(backends))


async def _serve(count: int) -> None:
    layout = example_layout()
    servers = Backends(asyncio.get_running_loop(), layout, ServerProfile(), PlatformTerms(), seed=1)
    try:
        await servers.start(count)
        print("Model servers:", *(":".join(map(str, layout.backend(number))) for number in range(count)))
        print("List: http://{}:{}/instances".format(*layout.platform), flush=True)
        await asyncio.Event().wait()
    finally:
        servers.close()


if __name__ == "__main__":
    import defopt

    defopt.run(stand_ins)
