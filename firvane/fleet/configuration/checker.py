"""Full validation of an order before it is proposed, in steps between which the event loop can run."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.document import (
    LIMITS,
    ROUTES,
    SERVICES,
    TENANTS,
    Document,
    is_same_json,
    name_of,
)
from firvane.fleet.configuration.item import ItemError, read_entry
from firvane.fleet.configuration.orders import MAX_PROBLEMS, Order, Problem, Result, invalid
from firvane.fleet.configuration.schema import ItemSchemas
from firvane.fleet.configuration.state import ConfigurationState
from firvane.fleet.configuration.structure import item_place

ITEMS_PER_STEP = 8  # takes about 1 ms
MAX_DEPTH = 32  # of nested lists and objects in an item


class _ChangedItem(NamedTuple):
    key: str  # of the document member that contains the item
    place: str
    item: Any


class Checker:
    """Validates one order against a state, a batch of items per step.

    Iterate to the end, then read `result`: `ACCEPTED` means that the order may be proposed. Items that are
    unchanged from the document in force are not validated again. The last step decodes the document as
    routers do. The state may change between steps; `apply` repeats the checks that depend on it.
    """

    def __init__(
        self,
        state: ConfigurationState,
        order: Order,
        schemas: ItemSchemas | None = None,
        items_per_step: int = ITEMS_PER_STEP,
    ) -> None:
        self._state = state
        self._order = order
        self._schemas = schemas or ItemSchemas()
        self._items_per_step = items_per_step
        self._steps = self._check()
        self.result: Result | None = None

    def __iter__(self) -> Iterator[None]:
        return self

    def __next__(self) -> None:
        """Run one step; raise `StopIteration` once `result` is set."""
        next(self._steps)

    def finish(self) -> Result:
        """Run all remaining steps and return the result."""
        for _ in self:
            pass
        assert self.result is not None
        return self.result

    def _check(self) -> Iterator[None]:
        version = self._state.version
        accepted = self._state.parsed
        outcome = self._state.draft(self._order)
        yield
        if isinstance(outcome, Result):
            self.result = outcome
            return
        problems: list[Problem] = []
        items = list(_changed_items(outcome.document, accepted))
        yield
        for start in range(0, len(items), self._items_per_step):
            for key, place, item in items[start : start + self._items_per_step]:
                problems.extend(self._item_problems(key, place, item))
            if len(problems) >= MAX_PROBLEMS:
                break
            yield
        problems = problems or _decoding_problems(outcome.text)
        self.result = invalid(version, problems) if problems else Result(ResultCode.ACCEPTED, outcome.version)

    def _item_problems(self, key: str, place: str, item: Any) -> Iterator[Problem]:
        if exceeds_depth(item, MAX_DEPTH):
            yield Problem(ResultCode.TOO_DEEP, place, f"is nested more than {MAX_DEPTH} deep")
        elif self._schemas.has_schema(key):
            yield from self._schemas.find_problems(key, item, place)


def _decoding_problems(text: bytes) -> list[Problem]:
    try:
        read_entry(text)
    except ItemError as error:
        return [Problem(ResultCode.WRONG_TYPE, "", str(error))]
    return []


def _changed_items(document: Document, accepted: Document) -> Iterator[_ChangedItem]:
    for key, value in document.items():
        before = accepted.get(key)
        if key in (ROUTES, SERVICES, TENANTS) and isinstance(value, list):
            yield from _changed_list_items(key, value, before)
        elif (key == LIMITS or isinstance(value, (dict, list))) and not is_same_json(value, before):
            yield _ChangedItem(key, key, value)


def _changed_list_items(key: str, items: list[Any], before: Any) -> Iterator[_ChangedItem]:
    accepted_by_name = {name_of(item): item for item in before} if isinstance(before, list) else {}
    for position, item in enumerate(items):
        if not is_same_json(item, accepted_by_name.get(name_of(item))):
            yield _ChangedItem(key, item_place(key, position, item), item)


def exceeds_depth(value: Any, max_depth: int) -> bool:
    """Whether lists and objects are nested more than `max_depth` deep."""
    if not isinstance(value, (dict, list)):
        return False
    if max_depth == 0:
        return True
    children = value.values() if isinstance(value, dict) else value
    return any(exceeds_depth(child, max_depth - 1) for child in children)
