"""The results that the replicated state returns for orders, and its snapshots."""

from __future__ import annotations

import json
import struct
from typing import Any

import pytest

from firvane.fleet.configuration import state as states
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.item import pack_item, read_item
from firvane.fleet.configuration.order_history import MAX_ORDERS
from firvane.fleet.configuration.orders import MAX_BODY_BYTES, Order, OrderKind, RecordError, Result
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


def apply(state: ConfigurationState, order: Order) -> Result:
    return Result.unpack(state.apply(1, order.pack()))


def started(**changes: Any) -> ConfigurationState:
    state = ConfigurationState()
    assert apply(state, replacement(0, make_document(5, **changes))).code is ResultCode.ACCEPTED
    return state


def codes(result: Result) -> list[ResultCode]:
    return [problem.code for problem in result.problems]


def test_the_first_configuration_is_accepted_on_base_0() -> None:
    state = ConfigurationState()
    assert (state.version, state.document) == (0, b"{}")
    assert apply(state, replacement(0, make_document(5))) == Result(ResultCode.ACCEPTED, 5)
    assert state.version == 5
    assert json.loads(state.document) == make_document(5)


def test_check_returns_the_result_of_apply_without_changing_the_state() -> None:
    state = started()
    order = replacement(5, make_document(9))
    assert state.check(order) == Result(ResultCode.ACCEPTED, 9)
    assert state.version == 5
    assert apply(state, order) == Result(ResultCode.ACCEPTED, 9)


def test_of_two_orders_with_the_same_base_the_later_one_conflicts() -> None:
    state = started()
    first, second = (
        replacement(5, make_document(7)),
        replacement(5, make_document(7, routes=[route("other")])),
    )
    assert state.check(first).code is state.check(second).code is ResultCode.ACCEPTED
    assert apply(state, first).code is ResultCode.ACCEPTED
    assert apply(state, second) == Result(ResultCode.CONFLICT, 7)
    assert json.loads(state.document) == make_document(7)


def test_an_applied_order_is_acknowledged_again_after_others_and_a_reload() -> None:
    state = started()
    order = modification(5, change(8, upsert={"routes": [route("new")]}))
    assert apply(state, order).code is ResultCode.ACCEPTED
    assert apply(state, order) == Result(ResultCode.REPEATED, 8)
    assert apply(state, replacement(8, make_document(11))).code is ResultCode.ACCEPTED
    reloaded = ConfigurationState()
    reloaded.load(state.save())
    for each in (state, reloaded):
        assert apply(each, order) == Result(ResultCode.REPEATED, 11)
        assert apply(each, Order(OrderKind.REPLACE, order.base, order.body)).code is ResultCode.CONFLICT
        assert apply(each, Order(order.kind, 8, order.body)).code is ResultCode.CONFLICT
        assert each.version == 11


def test_the_order_history_is_bounded() -> None:
    state = ConfigurationState()
    orders = [replacement(version, make_document(version + 1)) for version in range(MAX_ORDERS + 1)]
    for order in orders:
        assert apply(state, order).code is ResultCode.ACCEPTED
    reloaded = ConfigurationState()
    reloaded.load(state.save())
    for each in (state, reloaded):
        assert (
            each.check(orders[0]).code is ResultCode.FORGOTTEN
        )  # the order was applied, so it must not be rejected
        assert each.check(orders[1]).code is ResultCode.REPEATED
        assert each.check(replacement(0, make_document(7))).code is ResultCode.FORGOTTEN
        assert each.check(replacement(1, make_document(7))).code is ResultCode.CONFLICT
    assert len(state.save()) < MAX_ORDERS * 24 + 1000


def test_an_order_with_a_base_never_reached_is_a_conflict() -> None:
    state = started()
    assert apply(state, replacement(5, make_document(9))).code is ResultCode.ACCEPTED
    assert state.check(replacement(7, make_document(20))).code is ResultCode.CONFLICT
    assert state.check(replacement(12, make_document(20))).code is ResultCode.CONFLICT


def test_the_first_order_stays_known_and_another_with_its_base_conflicts() -> None:
    state = ConfigurationState()
    first = replacement(0, make_document(3))
    assert apply(state, first).code is ResultCode.ACCEPTED
    for version in range(3, 1003):
        assert apply(state, replacement(version, make_document(version + 1))).code is ResultCode.ACCEPTED
    assert apply(state, first).code is ResultCode.REPEATED
    assert apply(state, replacement(0, make_document(4))).code is ResultCode.CONFLICT


def test_an_order_with_other_spacing_is_another_order() -> None:
    state = ConfigurationState()
    first = replacement(0, make_document(3))
    spaced = Order(first.kind, first.base, first.body + b" ")
    assert apply(state, first).code is ResultCode.ACCEPTED
    assert apply(state, spaced).code is ResultCode.CONFLICT
    assert apply(state, first).code is ResultCode.REPEATED


def old_snapshot(digests: list[bytes], version: int) -> bytes:
    """A snapshot of format 1, written before the history contained the bases of orders."""
    item = pack_item(version, json.dumps(make_document(version)).encode())
    return struct.pack("!BHI", 1, len(digests), len(item)) + b"".join(digests) + item


def test_a_snapshot_without_bases_keeps_its_history() -> None:
    orders = [replacement(version, make_document(version + 1)) for version in range(5)]
    state = ConfigurationState()
    state.load(old_snapshot([order.digest() for order in orders], 5))
    reloaded = ConfigurationState()
    reloaded.load(state.save())
    for each in (state, reloaded):
        assert each.version == 5
        assert all(each.check(order).code is ResultCode.REPEATED for order in orders)
        assert each.check(replacement(2, make_document(9))).code is ResultCode.CONFLICT
        assert each.check(replacement(5, make_document(9))).code is ResultCode.ACCEPTED


def test_a_full_snapshot_without_bases_does_not_reject_unknown_orders() -> None:
    digests = [bytes([1]) * 14 + number.to_bytes(2, "big") for number in range(1023)]
    kept = replacement(90, make_document(95))
    state = ConfigurationState()
    state.load(old_snapshot([*digests, kept.digest()], 100))
    assert state.check(kept).code is ResultCode.REPEATED
    assert state.check(replacement(2, make_document(9))).code is ResultCode.FORGOTTEN
    assert apply(state, replacement(100, make_document(103))).code is ResultCode.ACCEPTED
    assert state.check(replacement(100, make_document(104))).code is ResultCode.CONFLICT


@pytest.mark.parametrize("cut", [1, 4, 5, 12, 30])
def test_a_truncated_snapshot_changes_nothing(cut: int) -> None:
    state = started()
    snapshot = state.save()
    before = state.save()
    with pytest.raises(RecordError):
        state.load(snapshot[:cut])
    assert state.save() == before


def test_a_snapshot_of_an_unknown_version_is_rejected() -> None:
    with pytest.raises(RecordError, match="unknown version 9 of a snapshot"):
        ConfigurationState().load(b"\x09" + bytes(40))


@pytest.mark.parametrize("version", [5, 4, 1])
def test_a_version_that_is_not_above_the_current_is_invalid(version: int) -> None:
    result = apply(started(), replacement(5, make_document(version)))
    assert (result.code, codes(result)) == (ResultCode.INVALID, [ResultCode.VERSION_NOT_ABOVE])
    assert result.version == 5


@pytest.mark.parametrize(
    ("document", "code"),
    [
        (make_document(7, config_version=...), ResultCode.MISSING_FIELD),
        (make_document(7, config_version="7"), ResultCode.WRONG_TYPE),
        (make_document(7, config_version=True), ResultCode.WRONG_TYPE),
        (make_document(7, config_version=7.0), ResultCode.WRONG_TYPE),
        (make_document(7, config_version=2**63), ResultCode.OUT_OF_RANGE),
        (make_document(7, config_version=-7), ResultCode.VERSION_NOT_ABOVE),
        (make_document(7, routes=...), ResultCode.MISSING_FIELD),
        (make_document(7, services=...), ResultCode.MISSING_FIELD),
        (make_document(7, routes={}), ResultCode.WRONG_TYPE),
        (make_document(7, limits=[]), ResultCode.WRONG_TYPE),
        (make_document(7, routes=[3]), ResultCode.WRONG_TYPE),
        (make_document(7, routes=[route(name=...)]), ResultCode.MISSING_FIELD),
        (make_document(7, routes=[route(host=...)]), ResultCode.MISSING_FIELD),
        (make_document(7, routes=[route(path_prefix=3)]), ResultCode.MISSING_FIELD),
        (make_document(7, routes=[route(path_prefix="/chat")]), ResultCode.BAD_PATH_PREFIX),
        (make_document(7, routes=[route(path_prefix="chat/")]), ResultCode.BAD_PATH_PREFIX),
        (make_document(7, routes=[route(), route(host="b.example")]), ResultCode.DUPLICATE_NAME),
        (make_document(7, services=[service(), service()]), ResultCode.DUPLICATE_NAME),
        (make_document(7, routes=[route(), route("b", path_prefix="/chat/")]), ResultCode.DUPLICATE_PLACE),
        (
            make_document(7, routes=[route(), route("b", path_prefix="/chat/", host="API.example")]),
            ResultCode.DUPLICATE_PLACE,
        ),
        (make_document(7, routes=[route(service="reader")]), ResultCode.UNKNOWN_SERVICE),
        (make_document(7, services=[]), ResultCode.UNKNOWN_SERVICE),
        (make_document(7, routes=[split(("writer", 1), ("reader", 0))]), ResultCode.UNKNOWN_SERVICE),
        (make_document(7, routes=[split(("writer", 0), ("writer", 0))]), ResultCode.NO_WEIGHT),
        (make_document(7, routes=[split()]), ResultCode.NO_WEIGHT),
        (make_document(7, routes=[split(("writer", -1), ("writer", 2))]), ResultCode.OUT_OF_RANGE),
        (
            make_document(7, routes=[route(service=..., weighted_split=[{"service": "writer"}])]),
            ResultCode.WRONG_TYPE,
        ),
        (make_document(7, routes=[route(service=..., weighted_split={"writer": 1})]), ResultCode.WRONG_TYPE),
        (make_document(7, routes=[route(service=3)]), ResultCode.WRONG_TYPE),
        (make_document(7, routes=[route(service=...)]), ResultCode.NO_TARGET),
        (make_document(7, routes=[{**split(("writer", 1)), "service": "writer"}]), ResultCode.TWO_TARGETS),
        (make_document(7, routes=[route(timeout_ms=0)]), ResultCode.NO_TIMEOUT),
        (make_document(7, routes=[route(timeout_ms=-1)]), ResultCode.NO_TIMEOUT),
        (make_document(7, routes=[route(timeout_ms=...)]), ResultCode.NO_TIMEOUT),
        (make_document(7, routes=[route(timeout_ms="1000")]), ResultCode.NO_TIMEOUT),
        (make_document(7, routes=[route(timeout_ms=True)]), ResultCode.NO_TIMEOUT),
        ([], ResultCode.WRONG_TYPE),
        (None, ResultCode.WRONG_TYPE),
    ],
)
def test_an_invalid_document_is_rejected_with_its_problem(document: Any, code: ResultCode) -> None:
    state = started()
    before = state.save()
    result = apply(state, replacement(5, document))
    assert result.code is ResultCode.INVALID
    assert code in codes(result)
    assert state.save() == before


def test_a_body_truncated_anywhere_is_invalid() -> None:
    state = started()
    body = replacement(5, make_document(7)).body
    for end in range(len(body)):
        result = state.check(Order(OrderKind.REPLACE, 5, body[:end]))
        assert codes(result) == [ResultCode.NOT_JSON]


@pytest.mark.parametrize("body", [b"[" * 100_000, b'{"a":' * 5_000])
def test_extreme_nesting_is_rejected(body: bytes) -> None:
    assert codes(started().check(Order(OrderKind.REPLACE, 5, body))) in (
        [ResultCode.TOO_DEEP],
        [ResultCode.NOT_JSON],
    )


def test_every_problem_is_reported() -> None:
    routes = [
        route("a", timeout_ms=0),
        route("b", service="reader"),
        split(("writer", 0), name="c", path_prefix="/a/"),
    ]
    result = apply(started(), replacement(5, make_document(5, routes=routes)))
    places = {(problem.code, problem.place) for problem in result.problems}
    assert places == {
        (ResultCode.VERSION_NOT_ABOVE, "config_version"),
        (ResultCode.DUPLICATE_PLACE, "routes[c]"),
        (ResultCode.NO_TIMEOUT, "routes[a].timeout_ms"),
        (ResultCode.UNKNOWN_SERVICE, "routes[b].service"),
        (ResultCode.NO_WEIGHT, "routes[c].weighted_split"),
    }


def test_unknown_fields_are_retained_unchanged() -> None:
    document = make_document(
        5,
        routes=[route(colour={"a": [1, 2.5, None, "ü"]}, huge=12345678901234567890123)],
        tenants=[{"name": "t", "quota": 3}],
        pools=[{"name": "t", "quota": 3}, 7],
        comment="kept",
    )
    state = ConfigurationState()
    assert apply(state, replacement(0, document)).code is ResultCode.ACCEPTED
    assert json.loads(state.document) == document


def test_a_document_without_limits_is_accepted() -> None:
    state = started(limits=...)
    assert "limits" not in json.loads(state.document)
    assert read_item(state.item_payload()).limits.idle_timeout_ms == 15_000


def test_a_modification_replaces_in_place_adds_at_the_end_and_removes() -> None:
    state = started(routes=[route("a"), route("b"), route("c")], tenants=[{"name": "t"}])
    upsert = {
        "routes": [route("new"), route("b", timeout_ms=77)],
        "services": [service("reader")],
        "pools": [{"name": "p"}],
    }
    order = modification(5, change(9, upsert=upsert, remove={"routes": ["a", "unknown"], "tenants": ["t"]}))
    assert apply(state, order) == Result(ResultCode.ACCEPTED, 9)
    assert json.loads(state.document) == make_document(
        9,
        routes=[route("b", timeout_ms=77), route("c"), route("new")],
        services=[service(), service("reader")],
        tenants=[],
        pools=[{"name": "p"}],
    )


def test_a_modification_may_contain_limits() -> None:
    state = started()
    limits = {**LIMITS, "idle_timeout_ms": 9000}
    assert apply(state, modification(5, change(6, limits=limits))).code is ResultCode.ACCEPTED
    assert json.loads(state.document) == make_document(6, limits=limits)
    assert read_item(state.item_payload()).limits.idle_timeout_ms == 9000


@pytest.mark.parametrize(
    ("document", "code"),
    [
        (change(9, upsert=[]), ResultCode.WRONG_TYPE),
        (change(9, upsert={"routes": route()}), ResultCode.WRONG_TYPE),
        (change(9, upsert={"routes": [3]}), ResultCode.MISSING_FIELD),
        (change(9, upsert={"limits": [{"name": "x"}]}), ResultCode.WRONG_TYPE),
        (change(9, upsert={"routes": [route(name=...)]}), ResultCode.MISSING_FIELD),
        (change(9, upsert={"routes": [route(), route()]}), ResultCode.DUPLICATE_NAME),
        (change(9, remove={"routes": "chat"}), ResultCode.WRONG_TYPE),
        (change(9, remove={"routes": [3]}), ResultCode.WRONG_TYPE),
        (change(9, remove=["chat"]), ResultCode.WRONG_TYPE),
        (change(9, remove={"services": ["writer"]}), ResultCode.UNKNOWN_SERVICE),
        (change(9, remove={"routes": ["chat"]}, upsert={"routes": [route()]}), ResultCode.CONTRADICTION),
        (change(9, upsert={"routes": [route("b", path_prefix="/chat/")]}), ResultCode.DUPLICATE_PLACE),
        (change(9, upsert={"routes": [route(timeout_ms=0)]}), ResultCode.NO_TIMEOUT),
        (change(5, upsert={"routes": [route("b")]}), ResultCode.VERSION_NOT_ABOVE),
        ({"upsert": {"routes": [route("b")]}}, ResultCode.MISSING_FIELD),
    ],
)
def test_an_invalid_modification_is_rejected_with_its_problem(document: Any, code: ResultCode) -> None:
    state = started()
    before = state.save()
    result = apply(state, modification(5, document))
    assert result.code is ResultCode.INVALID
    assert code in codes(result)
    assert state.save() == before


def test_a_conflict_takes_precedence_over_an_invalid_document() -> None:
    assert started().check(Order(OrderKind.REPLACE, 4, b"{")).code is ResultCode.CONFLICT


def test_an_oversized_order_or_document_is_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    state = started()
    assert state.check(Order(OrderKind.REPLACE, 5, bytes(MAX_BODY_BYTES + 1))).code is ResultCode.TOO_LARGE
    monkeypatch.setattr(states, "MAX_DOCUMENT_BYTES", len(state.document) + 100)
    order = modification(5, change(6, upsert={"routes": [route("b")]}))
    assert apply(state, order) == Result(ResultCode.TOO_LARGE, 5)
    assert state.version == 5


def test_a_malformed_record_changes_nothing() -> None:
    state = started()
    before = state.save()
    for payload in (b"", b"\x09", replacement(5, make_document(9)).pack()[:-1]):
        assert Result.unpack(state.apply(1, payload)) == Result(ResultCode.UNREADABLE_RECORD, 5)
    assert state.save() == before


def test_a_malformed_snapshot_leaves_the_state_unchanged() -> None:
    state = started()
    snapshot = state.save()
    for broken in (b"", snapshot[:-1], snapshot + b"x", b"\x07" + snapshot[1:], snapshot[:20]):
        with pytest.raises(RecordError):
            state.load(broken)
        assert state.save() == snapshot


def test_a_state_before_the_first_configuration_can_be_saved() -> None:
    state = started()
    state.load(ConfigurationState().save())
    assert (state.version, state.document) == (0, b"{}")
    assert apply(state, replacement(0, make_document(5))).code is ResultCode.ACCEPTED
