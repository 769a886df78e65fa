"""`firvane serve`: runs one proxy with the configuration in a `firvane.toml`."""

from __future__ import annotations

import click


@click.command("serve")
@click.argument("file", type=click.Path())
@click.pass_context
def command(ctx: click.Context, file: str) -> None:
    """Run one proxy, in the foreground, from the configuration in FILE.

    SIGTERM shuts it down gracefully: open requests are finished. SIGHUP reloads FILE: a static list of
    targets, or the address of discovery, takes effect at once; an invalid FILE changes nothing.
    The log goes to standard error.

    \b
    Examples:
      firvane serve deploy/firvane.example.toml
      firvane check firvane.toml && kill -HUP $(pidof -s firvane)
    """
    from functools import partial

    from firvane.core import process_signals
    from firvane.proxy import native

    process_signals.block()  # until the proxy handles signals, so that one during the start is not lost
    native.activate()  # before any compiled module is imported

    from firvane.__main__ import serve
    from firvane.cli.descriptor_limit import raise_limit
    from firvane.proxy.config.file import read_file

    config = read_file(file)
    raise_limit(file, config.sockets)
    snapshot_store = None
    if config.snapshot:
        from firvane.proxy.snapshots.file import SnapshotStore

        snapshot_store = partial(SnapshotStore, config.snapshot, config.name)
    policy_agreement = None
    if config.policy:
        from firvane.proxy.quorum.driver import PolicyConsensus

        policy_agreement = PolicyConsensus
    ctx.exit(serve(config, partial(read_file, file), snapshot_store, policy_agreement))
