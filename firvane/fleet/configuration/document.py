"""Configuration documents as JSON objects: decoding, merging changes, encoding.

A document is an object with `config_version`, lists of items that have a `name` (`routes`, `services` and any
other), and further members such as `limits`. Unknown members are retained unchanged.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain, islice
from typing import Any

import msgspec

from firvane.fleet.configuration import ConfigurationError
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import MAX_PROBLEMS, Order, OrderKind, Problem

Document = dict[str, Any]

VERSION = "config_version"
ROUTES = "routes"
SERVICES = "services"
LIMITS = "limits"
TENANTS = "tenants"
UPSERT = "upsert"
REMOVE = "remove"
EMPTY = b"{}"


class DocumentError(ConfigurationError, ValueError):
    """A document cannot be decoded or merged; `problems` gives the reasons."""

    def __init__(self, *problems: Problem) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = problems


def parse_object(body: bytes) -> Document:
    """Decode a body that is one JSON object; `DocumentError` otherwise."""
    try:
        parsed = msgspec.json.decode(body)
    except RecursionError:
        raise DocumentError(Problem(ResultCode.TOO_DEEP, "", "the body is nested too deeply")) from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise DocumentError(Problem(ResultCode.NOT_JSON, "", f"the body is not JSON: {error}")) from None
    if not isinstance(parsed, dict):
        raise DocumentError(Problem(ResultCode.WRONG_TYPE, "", "the body is not a JSON object"))
    return parsed


def encode(document: Document) -> bytes:
    """Encode canonically: compact JSON that keeps the order of members and items."""
    return msgspec.json.encode(document)


def build(order: Order, current: Document) -> Document:
    """Return the document that results from the order; `current` is not changed.

    Raises:
        DocumentError: If the body cannot be decoded or merged.
    """
    body = parse_object(order.body)
    if order.kind is OrderKind.REPLACE:
        return body
    return merge(current, body)


def merge(current: Document, change: Document) -> Document:
    """Apply the `remove` and `upsert` lists of a change; its other members replace the current ones."""
    upsert = _member_lists(change, UPSERT)
    remove = _member_lists(change, REMOVE)
    problems = list(islice(chain(_upsert_problems(upsert), _remove_problems(remove)), MAX_PROBLEMS))
    problems = problems or list(islice(_contradictions(upsert, remove), MAX_PROBLEMS))
    if problems:
        raise DocumentError(*problems)
    merged = {**current, VERSION: None}  # a change must contain its own version
    merged.update((key, value) for key, value in change.items() if key not in (UPSERT, REMOVE))
    for key in dict.fromkeys((*remove, *upsert)):
        if key in upsert or key in merged:
            merged[key] = _merge_list(key, merged.get(key, []), upsert.get(key, []), remove.get(key, []))
    return merged


def _member_lists(change: Document, member: str) -> dict[str, list[Any]]:
    lists = change.get(member)
    if lists is None:
        return {}
    if not isinstance(lists, dict):
        raise DocumentError(Problem(ResultCode.WRONG_TYPE, member, "must be an object of lists"))
    problems = [
        Problem(ResultCode.WRONG_TYPE, f"{member}.{key}", "must be a list")
        for key, value in lists.items()
        if not isinstance(value, list)
    ]
    if problems:
        raise DocumentError(*problems)
    return lists


def _upsert_problems(upsert: dict[str, list[Any]]) -> Iterator[Problem]:
    for key, items in upsert.items():
        seen: set[str] = set()
        for position, item in enumerate(items):
            place = f"{UPSERT}.{key}[{position}]"
            name = name_of(item)
            if name is None:
                yield Problem(ResultCode.MISSING_FIELD, place, "must be an object with a `name`")
            elif name in seen:
                yield Problem(ResultCode.DUPLICATE_NAME, place, f"{name!r} comes twice")
            else:
                seen.add(name)


def _remove_problems(remove: dict[str, list[Any]]) -> Iterator[Problem]:
    for key, names in remove.items():
        for position, name in enumerate(names):
            if not isinstance(name, str):
                yield Problem(ResultCode.WRONG_TYPE, f"{REMOVE}.{key}[{position}]", "must be a name")


def _contradictions(upsert: dict[str, list[Any]], remove: dict[str, list[Any]]) -> Iterator[Problem]:
    for key, items in upsert.items():
        removed = set(remove.get(key, ()))
        for item in items:
            if item["name"] in removed:
                yield Problem(
                    ResultCode.CONTRADICTION, f"{REMOVE}.{key}", f"{item['name']!r} is added and removed"
                )


def _merge_list(key: str, items: Any, added: list[Any], removed: list[str]) -> list[Any]:
    if not isinstance(items, list):
        raise DocumentError(Problem(ResultCode.WRONG_TYPE, key, "is not a list that can be changed by name"))
    return merge_items(items, added, removed)


def merge_items(items: list[Any], added: list[Any], removed: list[str]) -> list[Any]:
    """Remove items by name, replace others in place, and append new ones."""
    replacements = {item["name"]: item for item in added}
    gone = set(removed)
    merged = []
    for item in items:
        name = name_of(item)
        if name is None:
            merged.append(item)
        elif name not in gone:
            merged.append(replacements.pop(name, item))
    merged.extend(replacements.values())
    return merged


def is_same_json(left: Any, right: Any) -> bool:
    """Whether two values have the same JSON text; 1, 1.0 and true are equal, but their texts differ."""
    return left is right or (left == right and msgspec.json.encode(left) == msgspec.json.encode(right))


def name_of(item: Any) -> str | None:
    """The `name` of an item; None if the item has no name or is not an object."""
    name = item.get("name") if isinstance(item, dict) else None
    return name if isinstance(name, str) else None
