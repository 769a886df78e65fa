"""Parsing of an operator's order to transfer the leadership of a partition."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from firvane.core.address import Address, parse_address
from firvane.fleet.cluster.reports import HandOverRequest
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import MAX_VERSION, Problem
from firvane.fleet.controller import ControllerError
from firvane.fleet.partitions import ALL_PARTITIONS

MAX_ORDER_BYTES = 1024


class InvalidTransferOrderError(ControllerError, ValueError):
    """The body is not a valid order; `problem` gives the reason."""

    def __init__(self, code: ResultCode, place: str, detail: str) -> None:
        super().__init__(detail)
        self.problem = Problem(code, place, detail)


class TransferOrder(Struct, frozen=True):
    """A valid order; `successor` is an internal or a control address, or None for any healthy voter."""

    partition: int
    term: int
    successor: Address | None


def parse_transfer_order(body: bytes) -> TransferOrder:
    """Parse the body of a call; `InvalidTransferOrderError` if it is not a valid order."""
    if len(body) > MAX_ORDER_BYTES:
        raise InvalidTransferOrderError(
            ResultCode.OUT_OF_RANGE, "", f"the body has more than {MAX_ORDER_BYTES} bytes"
        )
    order = _decode(body)
    if order.part not in ALL_PARTITIONS:
        raise InvalidTransferOrderError(
            ResultCode.OUT_OF_RANGE, "part", f"must be from 0 to {ALL_PARTITIONS[-1]}"
        )
    if not 1 <= order.term <= MAX_VERSION:
        raise InvalidTransferOrderError(ResultCode.OUT_OF_RANGE, "term", "must be at least 1, and a term")
    return TransferOrder(order.part, order.term, _parse_successor(order.successor))


def _decode(body: bytes) -> HandOverRequest:
    try:
        return msgspec.json.decode(body, type=HandOverRequest)
    except msgspec.ValidationError as error:
        raise InvalidTransferOrderError(ResultCode.WRONG_TYPE, "", str(error)) from None
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise InvalidTransferOrderError(ResultCode.NOT_JSON, "", str(error)) from None


def _parse_successor(text: str | None) -> Address | None:
    if text is None:
        return None
    try:
        return parse_address(text)
    except ValueError:
        raise InvalidTransferOrderError(
            ResultCode.WRONG_TYPE, "successor", "must be HOST:PORT, a numeric address"
        ) from None
