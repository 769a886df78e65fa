"""The commands of `firvane-admin` for the fleet: members, parts, who is behind, a part handed over."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from firvane.admin.answers import AnswerError, describe_failure, read_answer
from firvane.admin.calls import DEFAULT_ROUNDS, Answered, CallWalk, GivenUp
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
    DONE,
    NO_ANSWER,
    NOT_WELL,
    REFUSED,
    complain,
    parse_addresses,
    print_failure,
    print_result,
)
from firvane.core.address import Address, parse_address
from firvane.fleet.cluster.reports import HandOverRequest, HandOverResponse, PartReport, PartsResponse

MEMBERS_PATH = "/v1/fleet/members"
PARTS_PATH = "/v1/fleet/parts"
HAND_OVER_PATH = "/v1/fleet/hand-over"
ONE_ROUND = 1  # of a question that goes to one controller beside those that were named

T = TypeVar("T")


def members(*addresses: str, rounds: int = DEFAULT_ROUNDS, json: bool = False) -> int:
    """Print each process that the asked controller knows of.

    :param addresses: controllers' API addresses, HOST:PORT; the first that answers is asked
    :param rounds: how often all addresses are tried
    :param json: print one JSON object
    """
    answer = _ask(parse_addresses(addresses), MEMBERS_PATH, read_members, rounds, json)
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
    found = _ask_parts(parse_addresses(addresses), rounds, json)
    if json:
        _print_json({"parts": found})
    else:
        print(parts_table(found))
    unowned = [part.part for part in found if not part.owned]
    for number in unowned:
        complain(f"part {number}: has no owner that can be reached", NOT_WELL)
    return NOT_WELL if unowned else DONE


def behind(*addresses: str, rounds: int = DEFAULT_ROUNDS, json: bool = False) -> int:
    """Print where another version than the newest is in force; 4 where there is such a process.

    :param addresses: controllers' API addresses, HOST:PORT; the first that answers is asked, then all others
    :param rounds: how often all addresses are tried
    :param json: print one JSON object
    """
    first = _ask(parse_addresses(addresses), MEMBERS_PATH, read_members, rounds, json)
    answers = [first, *_ask_others(other_controllers(first), MEMBERS_PATH, read_members)]
    found = merge_versions(answers)
    if json:
        _print_json(found)
    else:
        print(behind_text(found))
    return DONE if found.is_well else NOT_WELL


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
    known = _ask_parts(parse_addresses(addresses), rounds, json)
    found = next((each for each in known if each.part == part), None)
    if found is None:
        return complain(f"there is no part {part}", REFUSED)
    if not found.owned or found.owner_control is None:
        return complain(f"part {part}: has no owner that can be reached", NO_ANSWER)
    order = msgspec.json.encode(HandOverRequest(part, found.term, to))
    walk = CallWalk([parse_address(found.owner_control), *parse_addresses(addresses)], HAND_OVER_PATH, rounds)
    outcome = call(walk, Request("POST", order, {"Content-Type": "application/json"}))
    return _print_hand_over(outcome, json)


def _print_hand_over(outcome: Answered | GivenUp, json: bool) -> int:
    if isinstance(outcome, GivenUp):
        return print_failure(outcome, json)
    if outcome.reply.status != 200:
        return _print_refusal(outcome, json)
    try:
        answer = msgspec.json.decode(outcome.reply.body, type=HandOverResponse)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return complain(f"the body is not an answer: {error}", NO_ANSWER)
    if json:
        _print_json(answer)
    else:
        print(f"{answer.code} Part {answer.part} is owned by {answer.owner}.")
    return DONE


def _print_refusal(outcome: Answered, json: bool) -> int:
    """An answer that is final and no success."""
    try:
        print_result(read_answer(outcome.reply.body), json)
    except AnswerError:
        print_failure(outcome, json)
    return REFUSED


def _ask_parts(addresses: Sequence[Address], rounds: int, json: bool) -> list[PartReport]:
    """The parts as their owners see them, where these can be reached."""
    first = _ask(addresses, PARTS_PATH, read_parts, rounds, json)
    answers: list[PartsResponse] = [first, *_ask_others(owner_addresses(first), PARTS_PATH, read_parts)]
    return merge_parts(answers)


def _ask(addresses: Sequence[Address], path: str, read: Callable[[bytes], T], rounds: int, json: bool) -> T:
    """What the first of the controllers says that answers; ends the command where none does."""
    outcome = call(CallWalk(addresses, path, rounds), Request("GET"))
    if isinstance(outcome, GivenUp):
        raise SystemExit(print_failure(outcome, json))
    if outcome.reply.status != 200:
        raise SystemExit(_print_refusal(outcome, json))
    try:
        return read(outcome.reply.body)
    except AnswerError as error:
        raise SystemExit(complain(str(error), NO_ANSWER)) from None


def _ask_others(controls: Sequence[str], path: str, read: Callable[[bytes], T]) -> list[T]:
    """What further controllers say; who does not answer is named on standard error and left out."""
    answers = []
    for control in controls:
        try:
            answers.append(_ask_one(parse_address(control), path, read))
        except ValueError as error:
            complain(f"{control}: {error}", NO_ANSWER)
    return answers


def _ask_one(address: Address, path: str, read: Callable[[bytes], T]) -> T:
    """What one controller says; `ValueError` where it gives no answer."""
    outcome = call(CallWalk([address], path, ONE_ROUND), Request("GET"))
    if isinstance(outcome, GivenUp):
        raise ValueError("; ".join(outcome.reasons.values()))
    if outcome.reply.status != 200:
        raise ValueError(describe_failure(outcome.reply.status, outcome.reply.body))
    return read(outcome.reply.body)


def _check_address(text: str) -> None:
    try:
        parse_address(text)
    except ValueError as error:
        raise SystemExit(complain(str(error), BAD_USAGE)) from None


def _print_json(answer: object) -> None:
    print(msgspec.json.encode(answer).decode())
