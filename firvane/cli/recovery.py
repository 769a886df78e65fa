"""`firvane recovery`: prints the state of a proxy's recovery from a loss of power."""

from __future__ import annotations

import click


@click.group("recovery", context_settings={"help_option_names": ["-h", "--help"]})
def command() -> None:
    """Ask a proxy where it is on its way back from a loss of power.

    \b
    Examples:
      firvane recovery status 127.0.0.1:9090
    """


@command.command("status")
@click.argument("doors", nargs=-1, required=True, metavar="ADDRESS...")
@click.pass_context
def status(ctx: click.Context, doors: tuple[str, ...]) -> None:
    """Show the state of recovery, its reason, age and sources, of each proxy whose `ops` is at ADDRESS.

    Exit code 1 if a proxy does not answer or has no recovery, 2 for an invalid address.
    """
    from firvane.cli import admin_connection

    ctx.exit(admin_connection.show("recovery status", doors, "recovery"))
