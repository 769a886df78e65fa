"""Client of the admin API: sends one line and returns the answer.

A truncated answer is an error, since part of a sentence may state the opposite of the whole.
"""

from __future__ import annotations

from collections.abc import Iterable

import click

from firvane.cli import InvalidInputError
from firvane.core.address import Address, parse_address
from firvane.core.printable import plain

TIMEOUT_S = 5.0  # for a call with its answer
MAX_ANSWER_BYTES = 1 << 20


def addresses(command: str, texts: Iterable[str]) -> list[Address]:
    """Parse addresses of admin APIs; raises `InvalidInputError` for an invalid one."""
    try:
        return [parse_address(text) for text in texts]
    except ValueError as error:
        raise InvalidInputError(f"{command}: {error}") from None


def call(address: Address, line: str) -> str:
    """Return the answer of an admin API to one line; raises `OSError` if it is missing or truncated."""
    import socket
    import time

    deadline = time.monotonic() + TIMEOUT_S
    with socket.create_connection(address, TIMEOUT_S) as connection:
        connection.sendall(line.encode() + b"\n")
        answer = b""
        while chunk := connection.recv(1 << 16):
            answer += chunk
            if len(answer) > MAX_ANSWER_BYTES:
                raise OSError("the answer is too long")
            if (remaining := deadline - time.monotonic()) <= 0:
                raise TimeoutError("timed out")
            connection.settimeout(remaining)
    is_line = answer[:1] in (b"+", b"-") and answer.endswith(b"\n")
    if not is_line and not answer.endswith(b"\n.\n"):
        raise OSError("the answer was cut off" if answer else "the call was closed")
    return answer.decode(errors="replace")


def show(command: str, texts: Iterable[str], line: str) -> int:
    """Print the answer of each admin API to a line; return 1 if one fails, else 0."""
    code = 0
    for address in addresses(command, texts):
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
            lines = (f"  {plain(text)}" for text in answer.splitlines() if text != ".")
            click.echo("\n".join([where, *lines]))
    return code
