"""The commands of `firvane-admin` for the configuration, one function each, and the list of all commands."""

from __future__ import annotations

import json as json_format
from pathlib import Path

from firvane.admin.answers import AnswerError, read_answer, read_version
from firvane.admin.calls import DEFAULT_ROUNDS, Answered, CallFailover, NoClearAnswer
from firvane.admin.client import Request, call
from firvane.admin.fleet_commands import behind, hand_over, members, parts
from firvane.admin.output import (
    BAD_USAGE,
    DONE,
    NO_ANSWER,
    parse_addresses,
    print_error,
    print_failure,
    print_result,
)
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import Order, OrderKind, Result

READ_PATH = "/v1/config/read"
ORDER_PATHS = {OrderKind.REPLACE: "/v1/config/replace", OrderKind.MODIFY: "/v1/config/modify"}


def check(file: Path, *, on: Path | None = None, json: bool = False) -> int:
    """Name every fault of a configuration without sending it.

    :param file: the configuration; with `--on` a change (`upsert`, `remove`) is possible too
    :param on: the configuration that the file builds on
    :param json: print one JSON object
    """
    from firvane.fleet.configuration.checker import Checker
    from firvane.fleet.configuration.state import ConfigurationState

    state = ConfigurationState()
    if on is not None:
        base_order = Order(OrderKind.REPLACE, 0, _read_file(on))
        base_result = Result.unpack(state.apply(0, base_order.pack()))
        if base_result.code is not ResultCode.ACCEPTED:
            return print_result(base_result, json)
    body = _read_file(file)
    order = Order(_kind_of(body) if on else OrderKind.REPLACE, state.version, body)
    return print_result(Checker(state, order).finish(), json)


def read(*addresses: str, rounds: int = DEFAULT_ROUNDS, json: bool = False) -> int:
    """Print the newest configuration.

    :param addresses: controllers' API addresses, HOST:PORT
    :param rounds: how often all addresses are tried
    :param json: print it as it came, on one line
    """
    outcome = _read(addresses, rounds)
    if isinstance(outcome, NoClearAnswer) or outcome.reply.status != 200:
        return print_failure(outcome, json)
    document = outcome.reply.body
    try:
        text = document.decode() if json else json_format.dumps(json_format.loads(document), indent=2)
    except (ValueError, RecursionError) as error:
        return print_error(f"the answer is not JSON: {error}", NO_ANSWER)
    print(text)
    return DONE


def version(*addresses: str, rounds: int = DEFAULT_ROUNDS, json: bool = False) -> int:
    """Print the newest configuration's version.

    :param addresses: controllers' API addresses, HOST:PORT
    :param rounds: how often all addresses are tried
    :param json: print one JSON object
    """
    outcome = _read(addresses, rounds)
    if isinstance(outcome, NoClearAnswer) or outcome.reply.status != 200:
        return print_failure(outcome, json)
    try:
        number = read_version(outcome.reply.body)
    except AnswerError as error:
        return print_error(str(error), NO_ANSWER)
    print(json_format.dumps({"config_version": number}) if json else number)
    return DONE


def replace(file: Path, *addresses: str, base: int, rounds: int = DEFAULT_ROUNDS, json: bool = False) -> int:
    """Replace the whole configuration.

    :param file: the new configuration
    :param addresses: controllers' API addresses, HOST:PORT
    :param base: the version that it builds on, 0 for the first
    :param rounds: how often all addresses are tried
    :param json: print one JSON object
    """
    return _send(Order(OrderKind.REPLACE, base, _read_file(file)), addresses, rounds, json)


def modify(file: Path, *addresses: str, base: int, rounds: int = DEFAULT_ROUNDS, json: bool = False) -> int:
    """Add, replace or remove named items of the configuration.

    :param file: the change: `config_version`, `upsert`, `remove`
    :param addresses: controllers' API addresses, HOST:PORT
    :param base: the version that it builds on
    :param rounds: how often all addresses are tried
    :param json: print one JSON object
    """
    return _send(Order(OrderKind.MODIFY, base, _read_file(file)), addresses, rounds, json)


COMMANDS = [check, read, version, replace, modify, members, parts, behind, hand_over]


def _read(addresses: tuple[str, ...], rounds: int) -> Answered | NoClearAnswer:
    return call(CallFailover(parse_addresses(addresses), READ_PATH, rounds), Request("GET"))


def _send(order: Order, addresses: tuple[str, ...], rounds: int, json: bool) -> int:
    headers = {"X-Base-Version": str(order.base), "Content-Type": "application/json"}
    failover = CallFailover(parse_addresses(addresses), ORDER_PATHS[order.kind], rounds)
    outcome = call(failover, Request("POST", order.body, headers))
    if isinstance(outcome, NoClearAnswer):
        return print_failure(outcome, json)
    try:
        return print_result(read_answer(outcome.reply.body), json)
    except AnswerError:
        return print_failure(outcome, json)


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise SystemExit(print_error(f"{path}: {error.strerror}", BAD_USAGE)) from None


def _kind_of(body: bytes) -> OrderKind:
    """Return the kind of a document: a change has `upsert` or `remove`, a complete configuration neither."""
    try:
        document = json_format.loads(body)
    except (ValueError, RecursionError):
        return OrderKind.REPLACE
    is_change = isinstance(document, dict) and ("upsert" in document or "remove" in document)
    return OrderKind.MODIFY if is_change else OrderKind.REPLACE
