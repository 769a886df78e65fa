"""What all commands share: exit codes, addresses as arguments, and how results and failures are shown."""

from __future__ import annotations

import json as json_format
import sys
from collections.abc import Sequence
from typing import Any

from firvane.admin.calls import Answered, GivenUp
from firvane.core.address import Address, parse_address
from firvane.fleet.configuration.orders import Result

DONE = 0
REFUSED = 1
BAD_USAGE = 2
NO_ANSWER = 3
NOT_WELL = 4


def complain(text: str, code: int) -> int:
    """Say on standard error what is wrong; the exit code for it."""
    print(text, file=sys.stderr)
    return code


def parse_addresses(texts: Sequence[str]) -> list[Address]:
    """The addresses given as arguments; ends the command where one is none."""
    if not texts:
        raise SystemExit(complain("give the address of a controller, HOST:PORT", BAD_USAGE))
    try:
        return [parse_address(text) for text in texts]
    except ValueError as error:
        raise SystemExit(complain(str(error), BAD_USAGE)) from None


def print_result(result: Result, json: bool) -> int:
    """Show a result with its problems; the exit code for it."""
    if json:
        print(json_format.dumps(_fields(result)))
    else:
        print(f"{result.code.value} {result.code.meaning} Version: {result.version}.")
        for problem in result.problems:
            print(f"  {problem}")
    return DONE if result.code.http_status == 200 else REFUSED


def _fields(result: Result) -> dict[str, Any]:
    return {
        "code": result.code.value,
        "result": result.code.name.lower(),
        "config_version": result.version,
        "problems": [
            {"code": each.code.value, "place": each.place, "detail": each.detail} for each in result.problems
        ],
    }


def print_failure(outcome: Answered | GivenUp, json: bool) -> int:
    """Show that nobody has answered, or that an answer is none of this API; the exit code for it."""
    if isinstance(outcome, GivenUp):
        if json:
            print(json_format.dumps({"reasons": outcome.reasons}))
        for address, reason in outcome.reasons.items():
            complain(f"{address}: {reason}", NO_ANSWER)
        return complain("no clear answer; sending the same order again does no harm", NO_ANSWER)
    host, port = outcome.address
    return complain(f"{host}:{port}: status {outcome.reply.status}", REFUSED)
