"""Fixed bytes of configuration records, which every later version must read.

`data/snapshot_format_2` is a snapshot after two orders, with a tenant; `data/item_format_1` is its item, and
`data/document.json` the document that both contain.
`tests/fleet/controller/test_old_formats.py` reads snapshots of format 1.
"""

from __future__ import annotations

from pathlib import Path

from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.item import read_item, read_tenants, unpack_document
from firvane.fleet.configuration.orders import Order, OrderKind, Problem, Result
from firvane.fleet.configuration.routes import Tenant, key_digest
from firvane.fleet.configuration.state import ConfigurationState
from tests.fleet.configuration.documents import LIMITS, change, make_document, modification, replacement
from tests.fleet.configuration.test_tenants import tenant

DATA = Path(__file__).parent / "data"
ORDERS = (
    replacement(0, make_document(3, tenants=[tenant()])),
    modification(3, change(5, limits={**LIMITS, "idle_timeout_ms": 20000})),
)
TENANT = Tenant(
    "huka270", (key_digest(b"huka270-1"), key_digest(b"huka270-2")), 1, True, 200, 279322.0, 279322.0
)
ORDER_HEX = "01020000000000000003000000147b22636f6e6669675f76657273696f6e223a347d"
DIGEST_HEX = "692fbc2962f4cdff614243632cdf63db"
RESULT_HEX = (
    "0107d00000000000000003000107d000170010" + b"routes[chat].timeout_ms".hex() + b"must be positive".hex()
)


def test_an_order_has_the_fixed_bytes_and_digest() -> None:
    order = Order(OrderKind.MODIFY, 3, b'{"config_version":4}')
    assert (order.pack().hex(), order.digest().hex()) == (ORDER_HEX, DIGEST_HEX)
    assert Order.unpack(bytes.fromhex(ORDER_HEX)) == order


def test_a_result_has_the_fixed_bytes() -> None:
    problem = Problem(ResultCode.INVALID, "routes[chat].timeout_ms", "must be positive")
    result = Result(ResultCode.INVALID, 3, (problem,))
    assert result.pack().hex() == RESULT_HEX
    assert Result.unpack(bytes.fromhex(RESULT_HEX)) == result


def test_the_stored_snapshot_is_read_with_its_orders() -> None:
    state = ConfigurationState()
    state.load((DATA / "snapshot_format_2").read_bytes())
    assert (state.version, state.document) == (5, (DATA / "document.json").read_bytes())
    assert [state.check(order).code for order in ORDERS] == [ResultCode.REPEATED] * len(ORDERS)
    assert state.check(modification(3, change(6))).code is ResultCode.CONFLICT


def test_the_same_orders_lead_to_the_stored_state() -> None:
    state = ConfigurationState()
    for index, order in enumerate(ORDERS):
        assert Result.unpack(state.apply(index, order.pack())).code is ResultCode.ACCEPTED
    stored = ConfigurationState()
    stored.load((DATA / "snapshot_format_2").read_bytes())
    assert stored.save() == state.save()


def test_the_stored_item_is_read_with_its_tenant() -> None:
    payload = (DATA / "item_format_1").read_bytes()
    document = (DATA / "document.json").read_bytes()
    assert unpack_document(payload) == (5, document)
    assert read_item(payload).tenants == read_tenants(document) == (TENANT,)
