"""Validation of an order before it is proposed: types and bounds of every field, in steps."""

from __future__ import annotations

import gc
import subprocess
import sys
import tracemalloc
from collections.abc import Iterator
from typing import Any

import pytest

from firvane.fleet.configuration import checker as checkers
from firvane.fleet.configuration import document as documents_module
from firvane.fleet.configuration import structure
from firvane.fleet.configuration.checker import Checker
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import MAX_PROBLEMS, Order, Problem, Result
from firvane.fleet.configuration.schema import ItemSchemas
from firvane.fleet.configuration.state import ConfigurationState
from tests.fleet.configuration.documents import (
    LIMITS,
    change,
    make_document,
    modification,
    replacement,
    route,
    service,
    split,
)


class RecordingSchemas(ItemSchemas):
    """Records the place of each item that is validated."""

    def __init__(self) -> None:
        super().__init__()
        self.places: list[str] = []

    def find_problems(self, key: str, item: Any, place: str) -> Iterator[Problem]:
        self.places.append(place)
        return super().find_problems(key, item, place)


def check(document: Any) -> Result:
    return Checker(ConfigurationState(), replacement(0, document)).finish()


def started(document: Any) -> ConfigurationState:
    state = ConfigurationState()
    assert Result.unpack(state.apply(1, replacement(0, document).pack())).code is ResultCode.ACCEPTED
    return state


def test_a_valid_order_may_be_proposed() -> None:
    document = make_document(3, routes=[route(), split(("writer", 90), ("writer", 10), name="b")])
    assert check(document) == Result(ResultCode.ACCEPTED, 3)


@pytest.mark.parametrize(
    "field", ["priority", "max_attempts", "gap_aim_ms", "stream_resume", "weighted_split"]
)
def test_optional_fields_may_be_null_or_absent(field: str) -> None:
    for value in (None, ...):
        assert check(make_document(3, routes=[route(**{field: value})])).code is ResultCode.ACCEPTED


def engine(**changes: Any) -> dict[str, Any]:
    return service(engine={**service()["engine"], **changes})


@pytest.mark.parametrize(
    ("document", "code", "place"),
    [
        (make_document(routes=[route(kind=3)]), ResultCode.WRONG_TYPE, "routes[chat].kind"),
        (make_document(routes=[route(priority="1")]), ResultCode.WRONG_TYPE, "routes[chat].priority"),
        (make_document(routes=[route(priority=1.5)]), ResultCode.WRONG_TYPE, "routes[chat].priority"),
        (make_document(routes=[route(priority=True)]), ResultCode.WRONG_TYPE, "routes[chat].priority"),
        (
            make_document(routes=[route(max_attempts=-1)]),
            ResultCode.OUT_OF_RANGE,
            "routes[chat].max_attempts",
        ),
        (
            make_document(routes=[route(session_affinity=1)]),
            ResultCode.WRONG_TYPE,
            "routes[chat].session_affinity",
        ),
        (
            make_document(routes=[route(stream_resume="no")]),
            ResultCode.WRONG_TYPE,
            "routes[chat].stream_resume",
        ),
        (
            make_document(routes=[route(target_latency_ms=-1)]),
            ResultCode.OUT_OF_RANGE,
            "routes[chat].target_latency_ms",
        ),
        (make_document(routes=[route(gap_aim_ms=[])]), ResultCode.WRONG_TYPE, "routes[chat].gap_aim_ms"),
        (make_document(routes=[route(timeout_ms=2**60)]), ResultCode.OUT_OF_RANGE, "routes[chat].timeout_ms"),
        (make_document(routes=[route(host="h" * 5000)]), ResultCode.OUT_OF_RANGE, "routes[chat].host"),
        (
            make_document(routes=[split(("writer", 2**60))]),
            ResultCode.OUT_OF_RANGE,
            "routes[chat].weighted_split[0].weight",
        ),
        (make_document(services=[service(tls="x")]), ResultCode.WRONG_TYPE, "services[writer].tls"),
        (make_document(services=[service(engine=3)]), ResultCode.WRONG_TYPE, "services[writer].engine"),
        (
            make_document(services=[engine(slots=True)]),
            ResultCode.WRONG_TYPE,
            "services[writer].engine.slots",
        ),
        (make_document(services=[engine(slots="x")]), ResultCode.WRONG_TYPE, "services[writer].engine.slots"),
        (
            make_document(services=[engine(models=[{}])]),
            ResultCode.MISSING_FIELD,
            "services[writer].engine.models[0].name",
        ),
        (
            make_document(services=[engine(models="m")]),
            ResultCode.WRONG_TYPE,
            "services[writer].engine.models",
        ),
        (
            make_document(limits={**LIMITS, "max_body_bytes": -1}),
            ResultCode.OUT_OF_RANGE,
            "limits.max_body_bytes",
        ),
        (
            make_document(limits={**LIMITS, "idle_timeout_ms": "x"}),
            ResultCode.WRONG_TYPE,
            "limits.idle_timeout_ms",
        ),
    ],
)
def test_a_field_of_wrong_type_or_out_of_bounds_is_reported(
    document: Any, code: ResultCode, place: str
) -> None:
    result = check(document)
    assert result.code is ResultCode.INVALID
    assert [(problem.code, problem.place) for problem in result.problems] == [(code, place)]


def nested(depth: int) -> Any:
    return [nested(depth - 1)] if depth else 1


@pytest.mark.parametrize(
    "document",
    [
        make_document(routes=[route(extra=nested(40))]),
        make_document(extra=nested(40)),
        make_document(tenants=[{"name": "t", "extra": nested(40)}]),
    ],
)
def test_deep_nesting_is_rejected(document: Any) -> None:
    assert [problem.code for problem in check(document).problems] == [ResultCode.TOO_DEEP]


def test_an_order_that_the_state_rejects_is_rejected_before_any_item_is_checked() -> None:
    schemas = RecordingSchemas()
    checker = Checker(ConfigurationState(), replacement(4, make_document(9)), schemas)
    assert checker.finish() == Result(ResultCode.CONFLICT, 0)
    assert schemas.places == []


def test_an_order_that_was_applied_is_not_checked_again() -> None:
    state, schemas = started(make_document(3)), RecordingSchemas()
    assert Checker(state, replacement(0, make_document(3)), schemas).finish() == Result(
        ResultCode.REPEATED, 3
    )
    assert schemas.places == []


def test_only_items_that_differ_are_checked() -> None:
    state = started(make_document(3, routes=[route("a"), route("b"), route("c")]))
    schemas = RecordingSchemas()
    order = modification(3, change(4, upsert={"routes": [route("b"), route("c", priority=2), route("d")]}))
    assert Checker(state, order, schemas).finish() == Result(ResultCode.ACCEPTED, 4)
    assert schemas.places == ["routes[c]", "routes[d]"]


def test_a_value_that_is_equal_but_of_another_type_is_checked() -> None:
    state = started(make_document(3, routes=[route(session_affinity=True)]))
    order = modification(3, change(4, upsert={"routes": [route(session_affinity=1)]}))
    assert Checker(state, order).finish().code is ResultCode.INVALID


def test_a_step_checks_a_bounded_number_of_items() -> None:
    schemas = RecordingSchemas()
    routes = [route(f"r{number}") for number in range(40)]
    checker = Checker(
        ConfigurationState(), replacement(0, make_document(3, routes=routes)), schemas, items_per_step=4
    )
    before = 0
    for _ in checker:
        assert len(schemas.places) - before <= 4
        before = len(schemas.places)
        assert checker.result is None
    assert before == 42  # routes, a service, the limits
    assert checker.result == Result(ResultCode.ACCEPTED, 3)


def test_validation_stops_at_the_maximum_number_of_problems() -> None:
    schemas = RecordingSchemas()
    routes = [route(f"r{number}", priority="high") for number in range(2 * MAX_PROBLEMS)]
    result = Checker(ConfigurationState(), replacement(0, make_document(3, routes=routes)), schemas).finish()
    assert len(result.problems) == MAX_PROBLEMS
    assert len(schemas.places) < MAX_PROBLEMS + 2 * checkers.ITEMS_PER_STEP
    assert Result.unpack(result.pack()) == result


@pytest.mark.parametrize(
    "order",
    [
        replacement(0, make_document(3, routes=[{}] * 5_000)),
        replacement(0, make_document(3, routes=[1] * 5_000)),
        replacement(0, make_document(3, tenants=[{"name": "a"}] * 5_000)),
        modification(0, change(3, upsert={"routes": [{}] * 5_000})),
        modification(0, change(3, remove={"routes": [1] * 5_000})),
        modification(
            0,
            change(
                3,
                upsert={"routes": [{"name": f"r{n}"} for n in range(5_000)]},
                remove={"routes": [f"r{n}" for n in range(5_000)]},
            ),
        ),
    ],
    ids=["empty routes", "numbers", "one name", "without names", "no names", "contradictions"],
)
def test_no_more_problems_are_created_than_are_reported(
    order: Order, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against unbounded problem lists: an order with millions of errors blocked the loop for 30 s.
    created: list[Problem] = []

    def create(code: ResultCode, place: str, detail: str) -> Problem:
        created.append(Problem(code, place, detail))
        return created[-1]

    for module in (structure, documents_module):
        monkeypatch.setattr(module, "Problem", create)
    result = Checker(ConfigurationState(), order).finish()
    assert len(result.problems) == MAX_PROBLEMS
    assert len(created) <= MAX_PROBLEMS


def test_removed_names_are_not_searched_linearly() -> None:
    # Guards against quadratic merging: an order that added and removed 20,000 names each took 6 s.
    class NotSearched(list[str]):
        def __contains__(self, name: object) -> bool:
            raise AssertionError("searched")

    items = [{"name": f"r{number}"} for number in range(10)]
    change_of = {"upsert": {"routes": items}, "remove": {"routes": NotSearched(["x"])}}
    assert documents_module.merge({"routes": []}, change_of)["routes"] == items


LONG_TEXT_BYTES = 1_000_000
LONG_TEXT = "x" * LONG_TEXT_BYTES


@pytest.mark.parametrize(
    "members",
    [
        {"routes": [route(host=LONG_TEXT)]},
        {"services": [service(engine={"models": [{"name": LONG_TEXT}]})]},
        {"routes": [route(priority="high", note=LONG_TEXT)]},
        {"routes": [route(note=LONG_TEXT)]},
    ],
    ids=["too long", "too long in a list", "beside a wrong field", "valid"],
)
def test_a_checked_order_is_released_from_memory(members: dict[str, Any]) -> None:
    # Guards against reference cycles that kept values of rejected orders until memory was exhausted.
    schemas = ItemSchemas()
    Checker(ConfigurationState(), replacement(0, make_document(**members)), schemas).finish()
    gc.collect()
    gc.disable()
    tracemalloc.start()
    for version in range(2, 5):
        document = make_document(version, **members)
        Checker(ConfigurationState(), replacement(0, document), schemas).finish()
        del document
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    gc.enable()
    assert kept_bytes < LONG_TEXT_BYTES / 2


def test_routers_import_neither_cerberus_nor_the_validation() -> None:
    code = (
        "import sys, firvane.fleet.configuration.item, firvane.fleet.discovery.codec\n"
        "unwanted = {'cerberus', 'hashlib', 'asyncio', 'firvane.fleet.configuration.state'}\n"
        "assert not unwanted & set(sys.modules)\n"
        "import firvane.fleet.configuration.checker\n"
        "assert 'cerberus' not in sys.modules\n"
    )
    subprocess.run([sys.executable, "-c", code], check=True, cwd=sys.path[0] or ".")
