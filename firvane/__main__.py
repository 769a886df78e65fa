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

from firvane.core.logs import Bridge, Log
from firvane.core.worker_threads import start_loop_threads
from firvane.proxy.config.node import Config
from firvane.proxy.config.platform import read_config
from firvane.proxy.extensions import Agreement, Keeper
from firvane.proxy.proxy import Proxy

MakeKeeper = Callable[[Log], Keeper]
MakeAgreement = Callable[[Proxy], Agreement]


async def run(
    config: Config,
    read_again: Callable[[], Config],
    keeper: MakeKeeper | None,
    agreement: MakeAgreement | None,
) -> None:
    """One proxy from its start to its end, by signals."""
    loop = asyncio.get_running_loop()
    # `OSError` where what it is to inherit is not there.
    proxy = Proxy(loop, config, keeper=keeper, agreement=agreement)
    logging.getLogger().addHandler(Bridge(proxy.log))
    proxy.log.info("native", **native.state()._asdict())
    told = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    loop.add_signal_handler(signal.SIGHUP, proxy.reload, read_again)
    if config.peer_listen:
        await start_loop_threads(loop)
    # Whatever came since the first line comes now: a SIGHUP reads the file anew, which may be newer than what
    # was read; an order to end is obeyed in order.
    process_signals.unblock()
    # An order to end is obeyed also while discovery has yet to give the first list.
    waits = loop.create_task(proxy.start()), loop.create_task(told.wait())
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    if waits[0].done():
        waits[0].result()
        # What lives as long as the proxy need not be looked at again in each collection.
        gc.collect()
        gc.freeze()
        gc.set_threshold(10_000, 20, 20)  # requests leave no cycles behind: what else does can wait
        await told.wait()
    proxy.log.info("ending", open=proxy.engine.unanswered)
    await proxy.drain()
    # The loop closes next, and its handlers go with it: one more order must not end in another exit code.
    process_signals.block()


def serve(
    config: Config,
    read_again: Callable[[], Config],
    keeper: MakeKeeper | None = None,
    agreement: MakeAgreement | None = None,
) -> int:
    """One proxy until a signal ends it; the exit code. `read_again` is called for each SIGHUP, `keeper` makes
    what keeps its snapshots, `agreement` its part in the agreement on one policy."""
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(config, read_again, keeper, agreement))
    except OSError as error:
        print(f"firvane: cannot start: {error}", file=sys.stderr)
        return 2
    return 0


def main() -> int:
    try:
        config = read_config(os.environ)
    except (ValueError, OSError) as error:
        print(f"firvane: {' '.join(str(error).split())}", file=sys.stderr)
        return 2
    keeper = None
    if config.snapshot:  # by name: the platform sets no such key, and its processes load no tool
        kept = importlib.import_module("firvane.proxy.snapshots.file")
        keeper = partial(kept.Keeper, config.snapshot, config.name)
    agreement = None
    if config.policy:
        agreement = importlib.import_module("firvane.proxy.quorum.driver").PolicyConsensus
    return serve(config, partial(read_config, os.environ, again=True), keeper, agreement)


if __name__ == "__main__":
    sys.exit(main())
