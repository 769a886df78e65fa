"""`firvane recovery`: where a proxy is on its way back."""

from __future__ import annotations

import click

WAIT_S = 5.0  # for an answer


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
    """State, why, for how long, what was trusted and from whom, of each proxy whose `ops` is at ADDRESS.

    Exit code 1 where a proxy does not answer or has no recovery, 2 for what is no address.
    """
    from firvane.address import parse_address
    from firvane.cli import Bad

    code = 0
    try:
        addresses = [parse_address(door) for door in doors]
    except ValueError as error:
        raise Bad(f"recovery status: {error}") from None
    for address in addresses:
        where = "{}:{}".format(*address)
        try:
            answer = call(address, "recovery")
        except OSError as error:
            click.echo(f"{where}: does not answer: {error.strerror or error}", err=True)
            code = 1
            continue
        if answer.startswith("-"):
            click.echo(f"{where}: {answer[1:].strip()}", err=True)
            code = 1
        else:
            click.echo("\n".join([where, *("  " + line for line in answer.splitlines() if line != ".")]))
    ctx.exit(code)


def call(address: tuple[str, int], line: str) -> str:
    """What the operators' door answers to one line; `OSError` where it does not."""
    import socket

    with socket.create_connection(address, WAIT_S) as door:
        door.sendall(line.encode() + b"\n")
        said = b""
        while piece := door.recv(1 << 16):
            said += piece
    return said.decode(errors="replace")
