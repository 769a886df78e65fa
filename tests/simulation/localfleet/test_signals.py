"""Signals of the real daemons: only the first thread may receive them.

A signal to the process goes to any thread that does not block it. At the end the first thread does, and a
second SIGTERM that reached another one after the loop has closed would end the process out of order.
"""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from firvane.core.process_signals import SIGNALS
from firvane.simulation.localfleet.daemons import Daemon
from firvane.simulation.localfleet.layout import find_free_ports, make_layout
from firvane.simulation.localfleet.settings_files import PlatformTerms
from tests.signal_masks import blocked_by_thread

TIME_LIMIT = 30.0  # s, only for a run that hangs


async def until_listening(daemon: Daemon, port: int) -> None:
    while True:
        assert daemon.runs, daemon.log_text()
        try:
            _, writer = await asyncio.open_connection(daemon.node.host, port)
        except OSError:
            continue
        writer.close()
        return


async def until_unblocked(daemon: Daemon) -> list[set[signal.Signals]]:
    """The blocked signals of each thread, first thread first, once the first one accepts signals."""
    while True:
        await asyncio.sleep(0)
        try:
            blocked = blocked_by_thread(daemon.pid)
        except (FileNotFoundError, ProcessLookupError):
            continue  # the thread has just ended
        if not blocked[0]:
            return blocked


def test_only_the_first_thread_of_a_daemon_receives_signals(tmp_path: Path) -> None:
    async def scene() -> None:
        layout = make_layout(1, 1, find_free_ports(1, 1, 0))
        ports = (layout.ports.control, layout.ports.front)
        for node, port in zip(layout.nodes, ports, strict=True):
            daemon = Daemon(node, layout, PlatformTerms(), tmp_path)
            await daemon.start()
            try:
                await until_listening(daemon, port)
                first, *others = await until_unblocked(daemon)
                assert not first and others
                assert all(blocked == set(SIGNALS) for blocked in others), (node.name, others)
            finally:
                await daemon.stop(5.0)
            assert not daemon.own_ends and await daemon.wait_end() == 0

    asyncio.run(asyncio.wait_for(scene(), TIME_LIMIT))
