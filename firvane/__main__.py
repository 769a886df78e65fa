"""The platform's entry: reads its configuration, starts one real proxy, and passes signals on."""

from __future__ import annotations

from firvane.core import process_signals

if __name__ == "__main__":
    process_signals.block()  # before all that takes time: a signal may come from here on

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
from firvane.proxy.config.node import Config
from firvane.proxy.config.platform import read_config
from firvane.proxy.extensions import PolicyAgreement, SnapshotStore
from firvane.proxy.proxy import Proxy

MakeSnapshotStore = Callable[[Log], SnapshotStore]
MakePolicyAgreement = Callable[[Proxy], PolicyAgreement]


async def run(
    config: Config,
    read_again: Callable[[], Config],
    snapshot_store: MakeSnapshotStore | None,
    policy_agreement: MakePolicyAgreement | None,
) -> None:
    """Run a proxy from its start to its shutdown, by signals."""
    loop = asyncio.get_running_loop()
    proxy = Proxy(loop, config, snapshot_store=snapshot_store, policy_agreement=policy_agreement)
    logging.getLogger().addHandler(LoggingBridge(proxy.log))
    proxy.log.info("native", **native.state()._asdict())
    shutdown = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, shutdown.set)
    loop.add_signal_handler(signal.SIGHUP, proxy.reload, read_again)
    if config.peer_listen:
        await start_loop_threads(loop)
    # Signals that were pending since the first line are delivered now: a SIGHUP reads the file anew, which
    # may have changed since; SIGTERM shuts down in order.
    process_signals.unblock()
    # SIGTERM ends the proxy also while it waits for the first endpoint list.
    waits = loop.create_task(proxy.start()), loop.create_task(shutdown.wait())
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    if waits[0].done():
        waits[0].result()
        # What lives as long as the proxy need not be examined in each collection.
        gc.collect()
        gc.freeze()
        gc.set_threshold(10_000, 20, 20)  # requests leave no cycles behind: what else does can wait
        await shutdown.wait()
    proxy.log.info("ending", open=proxy.engine.unanswered)
    await proxy.drain()
    # The loop closes next, and its handlers with it: a further signal must not change the exit code.
    process_signals.block()


def serve(
    config: Config,
    read_again: Callable[[], Config],
    snapshot_store: MakeSnapshotStore | None = None,
    policy_agreement: MakePolicyAgreement | None = None,
) -> int:
    """Run a proxy until a signal ends it.

    Args:
        config: The configuration.
        read_again: Reads it again, at each SIGHUP.
        snapshot_store: Makes the store of its snapshots, where they are kept.
        policy_agreement: Makes its part in the agreement on one policy, where there is one.

    Returns:
        The exit code: 0, or 2 where it cannot start.
    """
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(config, read_again, snapshot_store, policy_agreement))
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
    if config.snapshot:  # imported by name: without the key no process loads the module
        snapshots = importlib.import_module("firvane.proxy.snapshots.file")
        snapshot_store = partial(snapshots.SnapshotStore, config.snapshot, config.name)
    policy_agreement = None
    if config.policy:
        policy_agreement = importlib.import_module("firvane.proxy.quorum.driver").PolicyConsensus
    return serve(config, partial(read_config, os.environ, again=True), snapshot_store, policy_agreement)


if __name__ == "__main__":
    sys.exit(main())
