"""Tenants in a configuration: validation, storage, and decoding by routers."""

from __future__ import annotations

import json
from typing import Any

import pytest

from firvane.fleet.configuration.checker import Checker
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.item import ItemError, read_document, read_item, read_tenants
from firvane.fleet.configuration.orders import Order, Result
from firvane.fleet.configuration.routes import Tenant, key_digest
from firvane.fleet.configuration.state import ConfigurationState
from tests.fleet.configuration.documents import change, make_document, modification, replacement, route


def tenant(name: str = "huka270", **changes: Any) -> dict[str, Any]:
    fields = {
        "name": name,
        "api_keys": [f"{name}-1", f"{name}-2"],
        "priority": 1,
        "unit": "token_count",
        "uncached_tokens": 200,
        "rate_per_s": 279322,
        "burst_size": 279322,
    }
    return {**fields, **changes}


def checked(state: ConfigurationState, order: Order) -> Result:
    """Validate an order fully, apply it if it is accepted, and return the result."""
    result = Checker(state, order).finish()
    if result.code is ResultCode.ACCEPTED:
        assert Result.unpack(state.apply(1, order.pack())) == result
    return result


def test_tenants_are_read_with_the_digests_of_their_keys() -> None:
    read = read_document(json.dumps(make_document(tenants=[tenant(), {"name": "bare"}])).encode(), 1)
    assert read.tenants == (
        Tenant(
            "huka270",
            (key_digest(b"huka270-1"), key_digest(b"huka270-2")),
            1,
            True,
            200,
            279322.0,
            279322.0,
        ),
        Tenant("bare"),
    )
    assert "huka270-1" not in repr(read)


def test_read_tenants_gives_the_tenants_of_the_complete_configuration() -> None:
    text = json.dumps(make_document(tenants=[tenant(), {"name": "bare"}])).encode()
    assert read_tenants(text) == read_document(text, 1).tenants
    assert read_tenants(json.dumps(make_document()).encode()) == ()
    for bad in (b"", b"[]", b'{"tenants":7}'):
        with pytest.raises(ItemError):
            read_tenants(bad)


@pytest.mark.parametrize(("given", "read"), [(..., None), (None, None), ([], ())])
def test_absent_tenants_differ_from_an_empty_list(given: Any, read: tuple[Tenant, ...] | None) -> None:
    assert read_document(json.dumps(make_document(tenants=given)).encode(), 1).tenants == read


def test_a_route_may_be_anonymous() -> None:
    read = read_document(
        json.dumps(make_document(routes=[route("a", anonymous=True), route("b")])).encode(), 1
    )
    assert [each.anonymous for each in read.routes] == [True, False]


def test_two_tenants_that_share_a_key_make_a_configuration_invalid() -> None:
    shared = [tenant("a"), tenant("b", api_keys=["b-1", "a-2"])]
    state = ConfigurationState()
    order = replacement(0, make_document(tenants=shared))
    for result in (Checker(state, order).finish(), state.check(order)):
        assert result.code is ResultCode.INVALID
        assert [(each.code, each.place) for each in result.problems] == [
            (ResultCode.SHARED_KEY, "tenants[b]")
        ]
        assert "a-2" not in str(result.problems)


def test_a_modification_with_a_key_of_another_tenant_is_rejected() -> None:
    state = ConfigurationState()
    assert checked(
        state, replacement(0, make_document(1, tenants=[tenant("a"), tenant("b")]))
    ).code.is_acknowledgement
    stolen = modification(1, change(2, upsert={"tenants": [tenant("c", api_keys=["a-1"])]}))
    assert checked(state, stolen).code is ResultCode.INVALID
    moved = modification(
        1, change(2, upsert={"tenants": [tenant("a", api_keys=[]), tenant("c", api_keys=["a-1"])]})
    )
    assert checked(state, moved).code is ResultCode.ACCEPTED
    assert (read_item(state.item_payload()).tenants or ())[0].key_digests == ()


def test_one_tenant_may_list_a_key_twice() -> None:
    order = replacement(0, make_document(tenants=[tenant("a", api_keys=["k", "k"])]))
    assert checked(ConfigurationState(), order).code is ResultCode.ACCEPTED


@pytest.mark.parametrize(
    ("tenants", "code"),
    [
        ({"name": "a"}, ResultCode.WRONG_TYPE),
        ([7], ResultCode.WRONG_TYPE),
        ([{"api_keys": []}], ResultCode.MISSING_FIELD),
        ([tenant("a"), tenant("a", api_keys=[])], ResultCode.DUPLICATE_NAME),
        ([tenant(api_keys="k")], ResultCode.WRONG_TYPE),
        ([tenant(api_keys=[7])], ResultCode.WRONG_TYPE),
        ([tenant(api_keys=[""])], ResultCode.OUT_OF_RANGE),
        ([tenant(rate_per_s=-1)], ResultCode.OUT_OF_RANGE),
        ([tenant(burst_size="much")], ResultCode.WRONG_TYPE),
        ([tenant(priority=1.5)], ResultCode.WRONG_TYPE),
        ([tenant(uncached_tokens=True)], ResultCode.WRONG_TYPE),
    ],
)
def test_problems_of_tenants_are_reported(tenants: Any, code: ResultCode) -> None:
    result = checked(ConfigurationState(), replacement(0, make_document(tenants=tenants)))
    assert result.code is ResultCode.INVALID
    assert code in {each.code for each in result.problems}
