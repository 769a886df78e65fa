"""The calls of a supervisor's API: one line per connection, as in the admin API.

Invariants:

1. A parsed call is complete and valid; for any other line `InvalidCallError` is raised, whose text does not
   repeat input.
2. All calls but `place-status` carry the fencing token of the rollout; a slot rejects a lower token.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from firvane.proxy.admin_api.calls import MAX_LINE_BYTES, InvalidCallError

MIN_STATUS_LINES = 2


class Command(Enum):
    """The commands of a supervisor; the values are their names in the API."""

    STATUS = "place-status"
    CLAIM = "place-claim"
    REPLACE = "place-replace"
    BACK = "place-back"
    ABANDON = "place-abandon"


class ParsedCall(NamedTuple):
    """A complete, valid call."""

    command: Command
    argument: str = ""  # the version, or the name of a controller
    token: int = 0  # the fencing token


ARGUMENTS: dict[Command, str] = {
    Command.STATUS: "",
    Command.CLAIM: "ROLL NAME",
    Command.REPLACE: "VERSION ROLL",
    Command.BACK: "ROLL",
    Command.ABANDON: "ROLL",
}
COMMANDS = {command.value: command for command in Command}


def format_call(command: Command, argument: str = "", token: int = 0) -> str:
    """Return the line of a call without its line feed."""
    arguments = ARGUMENTS[command].replace("VERSION", argument).replace("NAME", argument)
    return f"{command.value} {arguments.replace('ROLL', str(token))}".rstrip()


def parse_call(data: bytes) -> ParsedCall:
    """Return the call in a line without its line feed.

    Raises:
        InvalidCallError: The line is not a valid call.
    """
    if len(data) > MAX_LINE_BYTES:
        raise InvalidCallError(f"a call has {MAX_LINE_BYTES} bytes at the most")
    name, *arguments = data.decode("ascii", "replace").split() or [""]
    command = COMMANDS.get(name)
    if command is None:
        raise InvalidCallError("unknown call: there are " + ", ".join(COMMANDS))
    names = ARGUMENTS[command].split()
    if len(arguments) != len(names):
        raise InvalidCallError(f"the call is {command.value} {ARGUMENTS[command]}".rstrip())
    values = dict(zip(names, arguments, strict=True))
    token, argument = values.pop("ROLL", "0"), next(iter(values.values()), "")
    if not re.fullmatch("[0-9]{1,9}", token):
        raise InvalidCallError(f"{command.value}: the roll is not a whole number")
    if values and not re.fullmatch("[A-Za-z0-9_.-]{1,40}", argument):
        raise InvalidCallError(f"{command.value}: a name has letters, digits, '_', '.' and '-', up to 40")
    return ParsedCall(command, argument, int(token))


def format_status(fields: Mapping[str, str | int]) -> str:
    """Return a status as text, with a name and its value on each line."""
    return "\n".join(f"{name} {value}" for name, value in fields.items())


def parse_status(response: str) -> dict[str, str]:
    """Return the status in a response.

    Raises:
        ValueError: The response is not a status.
    """
    lines = response.splitlines()
    if len(lines) < MIN_STATUS_LINES or lines[-1] != ".":
        raise ValueError(response.strip().removeprefix("-ERR ") or "nothing")
    return {name: value for name, _, value in (line.partition(" ") for line in lines[:-1])}
