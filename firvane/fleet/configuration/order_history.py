"""History of the applied orders by base version, to tell a repeated order from a conflicting one.

Each applied order leads from its base to a higher version, so no two have the same base. The history is
complete from version `complete_from` on: an order with such a base was applied if and only if the history
contains its digest. Orders with an older base are unknown.
"""

from __future__ import annotations

import enum
import struct
from typing import NamedTuple

from firvane.fleet.configuration.orders import DIGEST_BYTES, Order, RecordError

MAX_ORDERS = 4096  # in the history

_HEADER = struct.Struct("!QII")  # `complete_from`, numbers of orders and of digests without a base
_ENTRY = struct.Struct(f"!Q{DIGEST_BYTES}s")  # base, digest


class OrderStatus(enum.Enum):
    """Whether an order was applied whose base is older than the version in force."""

    APPLIED = enum.auto()
    NOT_APPLIED = enum.auto()
    UNKNOWN = enum.auto()  # its base is older than the history


class OrderHistory:
    """The most recently applied orders, oldest first."""

    def __init__(self, limit: int = MAX_ORDERS) -> None:
        self._limit = limit
        self._digests: dict[int, bytes] = {}  # by base, ascending
        self._complete_from = 0
        self._digests_without_base: frozenset[bytes] = frozenset()  # from a snapshot of format 1

    def add(self, order: Order) -> None:
        """Add an order that is being applied to the version in force."""
        self._digests[order.base] = order.digest()
        if len(self._digests) > self._limit:
            oldest = next(iter(self._digests))
            del self._digests[oldest]
            self._complete_from = next(iter(self._digests))
            self._digests_without_base = frozenset()

    def status_of(self, order: Order) -> OrderStatus:
        """Whether an order with an older base was applied."""
        digest = order.digest()
        if self._digests.get(order.base) == digest or digest in self._digests_without_base:
            return OrderStatus.APPLIED
        return OrderStatus.NOT_APPLIED if order.base >= self._complete_from else OrderStatus.UNKNOWN

    def pack(self) -> bytes:
        """Encode as part of a snapshot."""
        entries = [_ENTRY.pack(base, digest) for base, digest in self._digests.items()]
        header = _HEADER.pack(self._complete_from, len(entries), len(self._digests_without_base))
        return header + b"".join(entries) + b"".join(sorted(self._digests_without_base))

    @classmethod
    def unpack(cls, record: bytes, start: int) -> DecodedHistory:
        """Decode the history in a snapshot; `RecordError` if it is malformed."""
        try:
            complete_from, count, digest_count = _HEADER.unpack_from(record, start)
        except struct.error:
            raise RecordError("the history of orders is truncated") from None
        orders_start = start + _HEADER.size
        digests_start = orders_start + count * _ENTRY.size
        end = digests_start + digest_count * DIGEST_BYTES
        if end > len(record):
            raise RecordError("the history of orders is truncated")
        history = cls()
        history._complete_from = complete_from
        history._digests = dict(_ENTRY.iter_unpack(record[orders_start:digests_start]))
        history._digests_without_base = frozenset(split_digests(record[digests_start:end]))
        return DecodedHistory(history, end)

    @classmethod
    def without_bases(cls, digests: bytes, is_complete: bool, version: int) -> OrderHistory:
        """Create the history of a format 1 snapshot, without bases; `is_complete`: with every order."""
        history = cls()
        history._digests_without_base = frozenset(split_digests(digests))
        history._complete_from = 0 if is_complete else version
        return history


class DecodedHistory(NamedTuple):
    """A decoded history, and the offset of the byte that follows."""

    history: OrderHistory
    end: int


def split_digests(data: bytes) -> list[bytes]:
    """Split concatenated digests."""
    return [data[start : start + DIGEST_BYTES] for start in range(0, len(data), DIGEST_BYTES)]
