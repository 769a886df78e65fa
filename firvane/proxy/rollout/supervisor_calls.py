"""The calls of a supervisor's API: one line to a connection, as the admin API has them.

Invariants:

1. A call that is read is complete and valid; any other one is an `InvalidCallError` whose reason repeats
   nothing of it.
2. All calls but `place-status` carry the fencing token of the rollout: a slot rejects a lower one.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from firvane.proxy.admin_api.calls import MAX_LINE_BYTES, InvalidCallError

MIN_STATUS_LINES = 2


class Command(Enum):
    """What can be asked of a supervisor; the values are the words of the API."""

    STATUS = "place-status"
    CLAIM = "place-claim"
    REPLACE = "place-replace"
    BACK = "place-back"
    ABANDON = "place-abandon"


class ParsedCall(NamedTuple):
    """A complete call."""

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
    """Return the line of a call, without its line feed."""
    arguments = ARGUMENTS[command].replace("VERSION", argument).replace("NAME", argument)
    return f"{command.value} {arguments.replace('ROLL', str(token))}".rstrip()


def parse_call(data: bytes) -> ParsedCall:
    """Return the call of a line without its line feed.

    Raises:
        Useless: The line is no call.
    """
    if len(data) > MAX_LINE_BYTES:
        raise InvalidCallError(f"a call has {MAX_LINE_BYTES} bytes at the most")
    name, *words = data.decode("ascii", "replace").split() or [""]
    command = COMMANDS.get(name)
    if command is None:
        raise InvalidCallError("unknown call: there are " + ", ".join(COMMANDS))
    names = ARGUMENTS[command].split()
    if len(words) != len(names):
        raise InvalidCallError(f"the call is {command.value} {ARGUMENTS[command]}".rstrip())
    values = dict(zip(names, words, strict=True))
    token, argument = values.pop("ROLL", "0"), next(iter(values.values()), "")
    if not re.fullmatch("[0-9]{1,9}", token):
        raise InvalidCallError(f"{command.value}: the roll is not a whole number")
    if values and not re.fullmatch("[A-Za-z0-9_.-]{1,40}", argument):
        raise InvalidCallError(f"{command.value}: a name has letters, digits, '_', '.' and '-', up to 40")
    return ParsedCall(command, argument, int(token))


def format_status(fields: Mapping[str, str | int]) -> str:
    """Return a status as text: a name and its value on each line."""
    return "\n".join(f"{name} {value}" for name, value in fields.items())


def parse_status(answer: str) -> dict[str, str]:
    """Return the status in an answer.

    Raises:
        ValueError: The answer is no status.
    """
    lines = answer.splitlines()
    if len(lines) < MIN_STATUS_LINES or lines[-1] != ".":
        raise ValueError(answer.strip().removeprefix("-ERR ") or "nothing")
    return {name: value for name, _, value in (line.partition(" ") for line in lines[:-1])}
