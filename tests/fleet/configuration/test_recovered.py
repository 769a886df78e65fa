"""The recovered version is the one that applying the recovered orders gives."""

from __future__ import annotations

import json
from typing import Any

import pytest

from firvane.fleet.configuration.orders import Order, OrderKind
from firvane.fleet.configuration.recovered import recovered_version
from firvane.fleet.configuration.state import ConfigurationState
from tests.fleet.configuration.documents import change, make_document, route


def order(kind: OrderKind, base: int, document: Any) -> bytes:
    return Order(kind, base, json.dumps(document).encode()).pack()


FIRST = order(OrderKind.REPLACE, 0, make_document(5))
SECOND = order(OrderKind.MODIFY, 5, change(8, upsert={"routes": [route("new")]}))
LATE = order(OrderKind.REPLACE, 0, make_document(9))
HISTORIES = [[], [FIRST], [FIRST, SECOND], [FIRST, LATE], [FIRST, FIRST, SECOND, SECOND], [SECOND]]


@pytest.mark.parametrize("records", HISTORIES)
def test_the_recovered_version_is_that_of_applying_the_orders(records: list[bytes]) -> None:
    state = ConfigurationState()
    for index, record in enumerate(records, 1):
        state.apply(index, record)
    assert recovered_version(0, records) == state.version


def test_recovery_continues_from_the_applied_version() -> None:
    assert recovered_version(5, [SECOND]) == 8
    assert recovered_version(9, [FIRST, SECOND]) == 9


@pytest.mark.parametrize(
    "record",
    [
        b"",
        b"\xff" * 40,
        FIRST[:-1],
        Order(OrderKind.REPLACE, 5, b"").pack(),
        Order(OrderKind.REPLACE, 5, b"[" * 100_000).pack(),
        Order(OrderKind.REPLACE, 5, b'{"config_version": "9"}').pack(),
        Order(OrderKind.REPLACE, 5, b'{"config_version": 4}').pack(),
    ],
)
def test_a_malformed_order_does_not_change_the_version(record: bytes) -> None:
    assert recovered_version(5, [record]) == 5
