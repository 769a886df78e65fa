"""Redirects and retries of the operator's calls, and its configuration documents."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import Order, OrderKind, Result
from firvane.fleet.configuration.state import ConfigurationState
from firvane.simulation.localfleet.configurations import Configurations
from firvane.simulation.localfleet.operator_calls import CallEnded, OperatorCall, SendTo
from firvane.simulation.localfleet.profiles import LONG_PROMPTS, SHORT_PROMPTS, ServerProfile

A, B, C = (("127.0.0.1", 80), ("127.0.0.2", 80), ("127.0.0.3", 80))


def test_a_redirect_is_followed_twice() -> None:
    call = OperatorCall([A, B, C], 0)
    assert call.begin() == SendTo(A)
    assert call.answered(307, "http://127.0.0.3:80/v1") == SendTo(C)
    assert call.answered(307, "http://127.0.0.2:80/v1") == SendTo(B)
    third = call.answered(307, "http://127.0.0.1:80/v1")
    assert isinstance(third, SendTo) and third.address == B and third.pause > 0


@pytest.mark.parametrize("location", [None, "", "http://name:80/x", "nowhere"])
def test_a_redirect_without_a_valid_address_is_a_failure(location: str | None) -> None:
    step = OperatorCall([A, B], 0).answered(307, location)
    assert isinstance(step, SendTo) and step.address == B


@pytest.mark.parametrize("status", [500, 502, 503, 408, 429])
def test_the_call_goes_to_the_next_controller_with_increasing_pauses(status: int) -> None:
    call = OperatorCall([A, B, C], 1)
    steps = [call.answered(status, None) for _ in range(4)]
    assert [step.address for step in steps] == [C, A, B, C]
    timing = [step.pause for step in steps if isinstance(step, SendTo)]
    assert timing == sorted(set(timing))


@pytest.mark.parametrize("status", [200, 400, 409, 412, 413, 422])
def test_final_statuses_end_the_call(status: int) -> None:
    assert OperatorCall([A], 0).answered(status, None) == CallEnded(A, status)


def test_other_client_errors_end_the_call_at_the_third_attempt() -> None:
    call = OperatorCall([A, B], 0)
    assert isinstance(call.answered(404, None), SendTo)
    assert isinstance(call.answered(404, None), SendTo)
    assert call.answered(404, None) == CallEnded(A, 404)


@pytest.mark.parametrize("changes_live_routes", (False, True))
def test_every_order_is_valid_and_leads_to_the_known_document(changes_live_routes: bool) -> None:
    """Checked with the real validation and merging of configurations."""
    state = ConfigurationState()
    kinds = (LONG_PROMPTS, SHORT_PROMPTS)
    configurations = Configurations(kinds, ServerProfile(), changes_live_routes=changes_live_routes)
    for index in range(12):
        order = configurations.change() if index else configurations.first()
        kind = OrderKind.MODIFY if index else OrderKind.REPLACE
        result = Result.unpack(state.apply(index + 1, Order(kind, order.base, order.body).pack()))
        assert result.code is ResultCode.ACCEPTED, result
        configurations.acknowledged(order)
        assert state.version == configurations.version == order.version
        assert json.loads(state.document) == configurations.document


@pytest.mark.parametrize("rival_first", (False, True))
def test_one_of_two_competing_orders_is_accepted_and_leads_to_the_known_document(rival_first: bool) -> None:
    state = ConfigurationState()
    configurations = Configurations((LONG_PROMPTS,), ServerProfile(), changes_live_routes=True)
    first = configurations.first()
    state.apply(1, Order(OrderKind.REPLACE, first.base, first.body).pack())
    configurations.acknowledged(first)
    for index in range(2, 20, 2):
        orders = [configurations.change(), configurations.rival()]
        assert orders[0].version == orders[1].version and orders[0].body != orders[1].body
        if rival_first:
            orders.reverse()
        codes = [
            Result.unpack(
                state.apply(index + at, Order(OrderKind.MODIFY, order.base, order.body).pack())
            ).code
            for at, order in enumerate(orders)
        ]
        assert codes[0] is ResultCode.ACCEPTED is not codes[1]
        configurations.acknowledged(orders[0])
        assert json.loads(state.document) == configurations.document


def test_the_example_is_the_first_configuration() -> None:
    example = Path(__file__).parents[3] / "deploy" / "fleet.example" / "configuration.json"
    order = Configurations((LONG_PROMPTS, SHORT_PROMPTS), ServerProfile()).first()
    assert json.loads(example.read_text()) == json.loads(order.body)


def test_an_order_without_a_response_is_repeated_unchanged() -> None:
    configurations = Configurations((LONG_PROMPTS,), ServerProfile())
    configurations.acknowledged(configurations.first())
    assert configurations.change() == configurations.change()
