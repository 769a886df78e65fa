"""Parts that all commands share: exit codes, parsing of addresses, and output of results and failures."""

from __future__ import annotations

import json as json_format
import sys
from collections.abc import Sequence
from typing import Any

from firvane.admin.calls import Answered, NoClearAnswer
from firvane.core.address import Address, parse_address
from firvane.fleet.configuration.orders import Result

DONE = 0
REFUSED = 1
BAD_USAGE = 2
NO_ANSWER = 3
DEGRADED = 4


def print_error(text: str, code: int) -> int:
    """Print an error on standard error, and return its exit code."""
    print(text, file=sys.stderr)
    return code


def parse_addresses(texts: Sequence[str]) -> list[Address]:
    """Parse the addresses given as arguments; ends the command if one is invalid."""
    if not texts:
        raise SystemExit(print_error("give the address of a controller, HOST:PORT", BAD_USAGE))
    try:
        return [parse_address(text) for text in texts]
    except ValueError as error:
        raise SystemExit(print_error(str(error), BAD_USAGE)) from None


def print_result(result: Result, json: bool) -> int:
    """Print a result with its problems, and return the exit code."""
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
            {"code": problem.code.value, "place": problem.place, "detail": problem.detail}
            for problem in result.problems
        ],
    }


def print_failure(outcome: Answered | NoClearAnswer, json: bool) -> int:
    """Print that there was no answer, or none of this API, and return the exit code."""
    if isinstance(outcome, NoClearAnswer):
        if json:
            print(json_format.dumps({"reasons": outcome.reasons}))
        for address, reason in outcome.reasons.items():
            print_error(f"{address}: {reason}", NO_ANSWER)
        return print_error("no clear answer; sending the same order again does no harm", NO_ANSWER)
    host, port = outcome.address
    return print_error(f"{host}:{port}: status {outcome.reply.status}", REFUSED)
