"""An operators' door as the command calls it: a line there, the answer back.

An answer that is cut off is none: half of a sentence may say the opposite of the whole.
"""

from __future__ import annotations

from collections.abc import Iterable

import click

from firvane.cli import Bad
from firvane.core.address import Address, parse_address
from firvane.core.printable import plain

WAIT_S = 5.0  # for an answer
MOST = 1 << 20  # bytes of one


def addresses(command: str, doors: Iterable[str]) -> list[Address]:
    """Those of doors; raises `Bad` for what is none."""
    try:
        return [parse_address(door) for door in doors]
    except ValueError as error:
        raise Bad(f"{command}: {error}") from None


def call(address: Address, line: str) -> str:
    """What the operators' door answers to one line; `OSError` where it does not, or not to the end."""
    import socket
    import time

    until = time.monotonic() + WAIT_S
    with socket.create_connection(address, WAIT_S) as door:
        door.sendall(line.encode() + b"\n")
        said = b""
        while piece := door.recv(1 << 16):
            said += piece
            if len(said) > MOST:
                raise OSError("the answer has no end")
            if (left := until - time.monotonic()) <= 0:
                raise TimeoutError("timed out")
            door.settimeout(left)
    one = said[:1] in (b"+", b"-") and said.endswith(b"\n")
    if not one and not said.endswith(b"\n.\n"):
        raise OSError("the answer was cut off" if said else "the call was closed")
    return said.decode(errors="replace")


def show(command: str, doors: Iterable[str], line: str) -> int:
    """Print what each door tells, under its address; the exit code: 1 where one does not, or says no."""
    code = 0
    for address in addresses(command, doors):
        where = "{}:{}".format(*address)
        try:
            answer = call(address, line)
        except OSError as error:
            click.echo(f"{where}: does not answer: {error.strerror or error}", err=True)
            code = 1
            continue
        if answer.startswith("-"):
            click.echo(plain(f"{where}: {answer[1:].strip()}"), err=True)
            code = 1
        else:
            told = (f"  {plain(one)}" for one in answer.splitlines() if one != ".")
            click.echo("\n".join([where, *told]))
    return code
