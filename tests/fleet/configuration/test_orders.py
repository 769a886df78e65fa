"""Records of orders and results: round trips, and errors for malformed records."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import (
    MAX_BODY_BYTES,
    MAX_PROBLEMS,
    MAX_VERSION,
    Order,
    OrderKind,
    Problem,
    RecordError,
    Result,
)

orders = st.builds(Order, st.sampled_from(OrderKind), st.integers(0, MAX_VERSION), st.binary(max_size=200))
texts = st.text(max_size=80).filter(lambda text: "\ud800" <= text <= "\udfff" or text.isprintable())
problems = st.builds(Problem, st.sampled_from(ResultCode), texts, texts)
results = st.builds(
    Result,
    st.sampled_from(ResultCode),
    st.integers(0, MAX_VERSION),
    st.lists(problems, max_size=5).map(tuple),
)


@given(orders)
def test_an_order_survives_a_round_trip(order: Order) -> None:
    assert Order.unpack(order.pack()) == order


@given(results)
def test_a_result_survives_a_round_trip(result: Result) -> None:
    assert Result.unpack(result.pack()) == result


@settings(max_examples=200)
@given(order=orders, data=st.data())
def test_a_corrupt_order_is_decoded_or_rejected(order: Order, data: st.DataObject) -> None:
    record = corrupted(order.pack(), data)
    with contextlib.suppress(RecordError):
        assert Order.unpack(record).pack() == record


@settings(max_examples=200)
@given(result=results, data=st.data())
def test_a_corrupt_result_is_decoded_or_rejected(result: Result, data: st.DataObject) -> None:
    record = corrupted(result.pack(), data)
    with contextlib.suppress(RecordError):
        assert Result.unpack(record).pack() == record


@settings(max_examples=200)
@given(st.binary(max_size=60).map(lambda tail: b"\x01" + tail))
def test_any_bytes_are_decoded_or_rejected(record: bytes) -> None:
    for unpack in (Order.unpack, Result.unpack):
        with contextlib.suppress(RecordError):
            unpack(record)


def corrupted(record: bytes, data: st.DataObject) -> bytes:
    bytes_ = bytearray(record)
    for _ in range(data.draw(st.integers(0, 3))):
        bytes_[data.draw(st.integers(0, len(bytes_) - 1))] = data.draw(st.integers(0, 255))
    end = data.draw(st.integers(0, len(bytes_)))
    return bytes(bytes_[:end]) + data.draw(st.binary(max_size=3))


def test_an_order_out_of_bounds_is_not_packed() -> None:
    for order in (
        Order(OrderKind.REPLACE, -1, b""),
        Order(OrderKind.REPLACE, MAX_VERSION + 1, b""),
        Order(OrderKind.REPLACE, 0, bytes(MAX_BODY_BYTES + 1)),
    ):
        with pytest.raises(RecordError):
            order.pack()


def test_long_texts_and_many_problems_are_truncated() -> None:
    problem = Problem(ResultCode.WRONG_TYPE, "ü" * 300, "\ud800")
    result = Result.unpack(Result(ResultCode.INVALID, 3, (problem,) * (MAX_PROBLEMS + 5)).pack())
    assert len(result.problems) == MAX_PROBLEMS
    assert result.problems[0] == Problem(ResultCode.WRONG_TYPE, "ü" * 200, "?")


def test_the_digest_differs_by_kind_base_and_body() -> None:
    all_orders = [
        Order(OrderKind.REPLACE, 1, b"x"),
        Order(OrderKind.MODIFY, 1, b"x"),
        Order(OrderKind.REPLACE, 2, b"x"),
        Order(OrderKind.REPLACE, 1, b"y"),
    ]
    assert len({order.digest() for order in all_orders}) == 4
    assert all_orders[0].digest() == Order(OrderKind.REPLACE, 1, b"x").digest()


def test_a_problem_is_formatted_as_one_line() -> None:
    assert str(Problem(ResultCode.NO_TIMEOUT, "routes[a]", "must be")) == "2010 routes[a]: must be"
    assert str(Problem(ResultCode.NOT_JSON, "", "no JSON")) == "2001 no JSON"
