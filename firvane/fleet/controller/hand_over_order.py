"""An operator's order to hand a part over: its bytes into checked values. Pure."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from firvane.core.address import Address, parse_address
from firvane.fleet.cluster.reports import HandOverRequest
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import MAX_VERSION, Problem
from firvane.fleet.partitions import ALL_PARTS

MAX_ORDER_BYTES = 1024


class BadOrderError(ValueError):
    """The bytes are no order; `problem` says why."""

    def __init__(self, code: ResultCode, place: str, detail: str) -> None:
        super().__init__(detail)
        self.problem = Problem(code, place, detail)


class HandOver(Struct, frozen=True):
    """A checked order; `successor` is an internal or a control address, None for the best one."""

    part: int
    term: int
    successor: Address | None


def read_order(body: bytes) -> HandOver:
    """The order in the body of a call; `BadOrderError` where there is none."""
    if len(body) > MAX_ORDER_BYTES:
        raise BadOrderError(ResultCode.OUT_OF_RANGE, "", f"the body has more than {MAX_ORDER_BYTES} bytes")
    order = _decode(body)
    if order.part not in ALL_PARTS:
        raise BadOrderError(ResultCode.OUT_OF_RANGE, "part", f"must be from 0 to {ALL_PARTS[-1]}")
    if not 1 <= order.term <= MAX_VERSION:
        raise BadOrderError(ResultCode.OUT_OF_RANGE, "term", "must be at least 1, and a term")
    return HandOver(order.part, order.term, _read_successor(order.successor))


def _decode(body: bytes) -> HandOverRequest:
    try:
        return msgspec.json.decode(body, type=HandOverRequest)
    except msgspec.ValidationError as error:
        raise BadOrderError(ResultCode.WRONG_TYPE, "", str(error)) from None
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise BadOrderError(ResultCode.NOT_JSON, "", str(error)) from None


def _read_successor(text: str | None) -> Address | None:
    if text is None:
        return None
    try:
        return parse_address(text)
    except ValueError:
        raise BadOrderError(
            ResultCode.WRONG_TYPE, "successor", "must be HOST:PORT, a numeric address"
        ) from None
