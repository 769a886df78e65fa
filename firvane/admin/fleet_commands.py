"""The commands of `firvane-admin` for the fleet: members, parts, outdated processes, handover of a part."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from firvane.admin.answers import AnswerError, describe_failure, read_answer
from firvane.admin.calls import DEFAULT_ROUNDS, Answered, CallFailover, NoClearAnswer
from firvane.admin.client import Request, call
from firvane.admin.fleet_tables import behind_text, members_table, parts_table
from firvane.admin.fleet_views import (
    merge_parts,
    merge_versions,
    other_controllers,
    owner_addresses,
    read_members,
    read_parts,
)
from firvane.admin.output import (
    BAD_USAGE,
    DEGRADED,
    DONE,
    NO_ANSWER,
    REFUSED,
    parse_addresses,
    print_error,
    print_failure,
    print_result,
)
from firvane.core.address import Address, parse_address
from firvane.fleet.cluster.reports import HandOverRequest, HandOverResponse, PartReport, PartsResponse

MEMBERS_PATH = "/v1/fleet/members"
PARTS_PATH = "/v1/fleet/parts"
HAND_OVER_PATH = "/v1/fleet/hand-over"
ONE_ROUND = 1  # for a query to a controller that was not named on the command line

T = TypeVar("T")


def members(*addresses: str, rounds: int = DEFAULT_ROUNDS, json: bool = False) -> int:
    """Print each process that the asked controller knows of.

    :param addresses: controllers' API addresses, HOST:PORT; the first that answers is asked
    :param rounds: how often all addresses are tried
    :param json: print one JSON object
    """
    answer = _query(parse_addresses(addresses), MEMBERS_PATH, read_members, rounds, json)
    if json:
        _print_json(answer)
    else:
        print(members_table(answer))
    return DONE


def parts(*addresses: str, rounds: int = DEFAULT_ROUNDS, json: bool = False) -> int:
    """Print owner, term and replicas of each part, as its owner sees them; 4 where a part has no owner.

    :param addresses: controllers' API addresses, HOST:PORT; the first that answers is asked, then the owners
    :param rounds: how often all addresses are tried
    :param json: print one JSON object
    """
    reports = _query_parts(parse_addresses(addresses), rounds, json)
    if json:
        _print_json({"parts": reports})
    else:
        print(parts_table(reports))
    unowned = [part.part for part in reports if not part.owned]
    for number in unowned:
        print_error(f"part {number}: has no owner that can be reached", DEGRADED)
    return DEGRADED if unowned else DONE


def behind(*addresses: str, rounds: int = DEFAULT_ROUNDS, json: bool = False) -> int:
    """Print where another version than the newest is in force; 4 where there is such a process.

    :param addresses: controllers' API addresses, HOST:PORT; the first that answers is asked, then all others
    :param rounds: how often all addresses are tried
    :param json: print one JSON object
    """
    first = _query(parse_addresses(addresses), MEMBERS_PATH, read_members, rounds, json)
    answers = [first, *_query_others(other_controllers(first), MEMBERS_PATH, read_members)]
    report = merge_versions(answers)
    if json:
        _print_json(report)
    else:
        print(behind_text(report))
    return DONE if report.is_current else DEGRADED


def hand_over(
    part: int, *addresses: str, to: str | None = None, rounds: int = DEFAULT_ROUNDS, json: bool = False
) -> int:
    """Let the owner of a part pass it to another controller.

    :param part: the number of the part
    :param addresses: controllers' API addresses, HOST:PORT
    :param to: the controller to pass it to, by its internal or its API address; the best one by default
    :param rounds: how often all addresses are tried
    :param json: print one JSON object
    """
    if to is not None:
        _check_address(to)
    all_parts = _query_parts(parse_addresses(addresses), rounds, json)
    target = next((candidate for candidate in all_parts if candidate.part == part), None)
    if target is None:
        return print_error(f"there is no part {part}", REFUSED)
    if not target.owned or target.owner_control is None:
        return print_error(f"part {part}: has no owner that can be reached", NO_ANSWER)
    order = msgspec.json.encode(HandOverRequest(part, target.term, to))
    failover = CallFailover(
        [parse_address(target.owner_control), *parse_addresses(addresses)], HAND_OVER_PATH, rounds
    )
    outcome = call(failover, Request("POST", order, {"Content-Type": "application/json"}))
    return _print_hand_over(outcome, json)


def _print_hand_over(outcome: Answered | NoClearAnswer, json: bool) -> int:
    if isinstance(outcome, NoClearAnswer):
        return print_failure(outcome, json)
    if outcome.reply.status != 200:
        return _print_refusal(outcome, json)
    try:
        answer = msgspec.json.decode(outcome.reply.body, type=HandOverResponse)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return print_error(f"the body is not an answer: {error}", NO_ANSWER)
    if json:
        _print_json(answer)
    else:
        print(f"{answer.code} Part {answer.part} is owned by {answer.owner}.")
    return DONE


def _print_refusal(outcome: Answered, json: bool) -> int:
    """Print a final answer that is not a success, and return the exit code."""
    try:
        print_result(read_answer(outcome.reply.body), json)
    except AnswerError:
        print_failure(outcome, json)
    return REFUSED


def _query_parts(addresses: Sequence[Address], rounds: int, json: bool) -> list[PartReport]:
    """Return the parts as their owners report them, as far as these are reachable."""
    first = _query(addresses, PARTS_PATH, read_parts, rounds, json)
    answers: list[PartsResponse] = [first, *_query_others(owner_addresses(first), PARTS_PATH, read_parts)]
    return merge_parts(answers)


def _query(addresses: Sequence[Address], path: str, read: Callable[[bytes], T], rounds: int, json: bool) -> T:
    """Return the answer of the first controller that gives one; ends the command if none does."""
    outcome = call(CallFailover(addresses, path, rounds), Request("GET"))
    if isinstance(outcome, NoClearAnswer):
        raise SystemExit(print_failure(outcome, json))
    if outcome.reply.status != 200:
        raise SystemExit(_print_refusal(outcome, json))
    try:
        return read(outcome.reply.body)
    except AnswerError as error:
        raise SystemExit(print_error(str(error), NO_ANSWER)) from None


def _query_others(controls: Sequence[str], path: str, read: Callable[[bytes], T]) -> list[T]:
    """Return the answers of further controllers; failures are printed on standard error and skipped."""
    answers = []
    for control in controls:
        try:
            answers.append(_query_one(parse_address(control), path, read))
        except ValueError as error:
            print_error(f"{control}: {error}", NO_ANSWER)
    return answers


def _query_one(address: Address, path: str, read: Callable[[bytes], T]) -> T:
    """Return the answer of one controller; raises `ValueError` if there is none."""
    outcome = call(CallFailover([address], path, ONE_ROUND), Request("GET"))
    if isinstance(outcome, NoClearAnswer):
        raise ValueError("; ".join(outcome.reasons.values()))
    if outcome.reply.status != 200:
        raise ValueError(describe_failure(outcome.reply.status, outcome.reply.body))
    return read(outcome.reply.body)


def _check_address(text: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        raise SystemExit(print_error(str(error), BAD_USAGE)) from None


def _print_json(answer: object) -> None:
    print(msgspec.json.encode(answer).decode())
