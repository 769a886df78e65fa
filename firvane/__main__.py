"""The entry point for the platform: reads the configuration, runs one proxy and handles its signals."""

from __future__ import annotations

from firvane.core import process_signals

if __name__ == "__main__":
    process_signals.block()  # before the imports, since a signal may arrive at any time

import asyncio
import gc
import importlib
import logging
import os
import signal
import sys
from collections.abc import Callable
from functools import partial

import uvloop

from firvane.proxy import native

if __name__ == "__main__":
    native.activate()  # before anything that is compiled is imported

from firvane.core.logs import Log, LoggingBridge
from firvane.core.worker_threads import start_loop_threads
from firvane.proxy.config.platform import read_config
from firvane.proxy.config.proxy_config import Config
from firvane.proxy.extensions import PolicyAgreement, SnapshotStore
from firvane.proxy.proxy import Proxy

MakeSnapshotStore = Callable[[Log], SnapshotStore]
MakePolicyAgreement = Callable[[Proxy], PolicyAgreement]


async def run(
    config: Config,
    reload_config: Callable[[], Config],
    snapshot_store: MakeSnapshotStore | None,
    policy_agreement: MakePolicyAgreement | None,
) -> None:
    """Run a proxy until SIGTERM or SIGINT; SIGHUP reloads the configuration."""
    loop = asyncio.get_running_loop()
    proxy = Proxy(loop, config, snapshot_store=snapshot_store, policy_agreement=policy_agreement)
    logging.getLogger().addHandler(LoggingBridge(proxy.log))
    proxy.log.info("native", **native.state()._asdict())
    shutdown = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shutdown.set)
    loop.add_signal_handler(signal.SIGHUP, proxy.reload, reload_config)
    if config.peer_listen:
        await start_loop_threads(loop)
    # Pending signals are delivered now: SIGHUP reloads the file, which may have changed since it was read;
    # SIGTERM shuts the proxy down gracefully.
    process_signals.unblock()
    # SIGTERM ends the proxy also while it waits for the first endpoint list.
    tasks = loop.create_task(proxy.start()), loop.create_task(shutdown.wait())
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    if tasks[0].done():
        tasks[0].result()
        # Objects that live as long as the proxy are excluded from garbage collection.
        gc.collect()
        gc.freeze()
        gc.set_threshold(10_000, 20, 20)  # requests create no cycles, so rare collections suffice
        await shutdown.wait()
    proxy.log.info("ending", open=proxy.engine.unanswered)
    await proxy.drain()
    # The loop and its signal handlers close next: a further signal must not change the exit code.
    process_signals.block()


def serve(
    config: Config,
    reload_config: Callable[[], Config],
    snapshot_store: MakeSnapshotStore | None = None,
    policy_agreement: MakePolicyAgreement | None = None,
) -> int:
    """Run a proxy until a signal ends it.

    Args:
        config: The configuration.
        reload_config: Returns the reloaded configuration; called at each SIGHUP.
        snapshot_store: Creates the store of the snapshots; None if there are none.
        policy_agreement: Creates the participant in the agreement on one policy; None if there is none.

    Returns:
        The exit code: 0, or 2 if the proxy cannot start.
    """
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(config, reload_config, snapshot_store, policy_agreement))
    except OSError as error:
        print(f"firvane: cannot start: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    """Run the proxy that the environment configures, and return the exit code."""
    try:
        config = read_config(os.environ)
    except (ValueError, OSError) as error:
        print(f"firvane: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    snapshot_store = None
    if config.snapshot:  # imported by name, so that a process without the key does not load the module
        snapshots = importlib.import_module("firvane.proxy.snapshots.file")
        snapshot_store = partial(snapshots.SnapshotStore, config.snapshot, config.name)
    policy_agreement = None
    if config.policy:
        policy_agreement = importlib.import_module("firvane.proxy.quorum.driver").PolicyConsensus
    return serve(config, partial(read_config, os.environ, again=True), snapshot_store, policy_agreement)


if __name__ == "__main__":
    sys.exit(main())
