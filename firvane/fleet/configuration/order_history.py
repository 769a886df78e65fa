"""The orders that were taken, by the version on which each built: tells a repeated order from a late one.

Each order that is taken leads from its base to a higher version, so no two of them have the same base. Of the
versions from `complete_from` on, all that were ever built upon are here: an order on one of them was taken if
its digest stands here, and was certainly not if it does not. Of older versions nothing can be proved.
"""

from __future__ import annotations

import enum
import struct

from firvane.fleet.configuration.orders import DIGEST_BYTES, Order, RecordError

REMEMBERED_ORDERS = 4096

_HEAD = struct.Struct("!QII")  # the version from which on it is complete, numbers of orders and of digests
_ENTRY = struct.Struct(f"!Q{DIGEST_BYTES}s")  # base, digest


class Fate(enum.Enum):
    """What the history says of an order on an earlier version than the one in force."""

    TAKEN = enum.auto()
    NOT_TAKEN = enum.auto()
    FORGOTTEN = enum.auto()  # its base is older than what is remembered


class OrderHistory:
    """The last orders that were taken, oldest first."""

    def __init__(self, limit: int = REMEMBERED_ORDERS) -> None:
        self._limit = limit
        self._digests: dict[int, bytes] = {}  # by base, rising
        self._complete_from = 0
        self._without_base: frozenset[bytes] = frozenset()  # of a snapshot in the older format

    def add(self, order: Order) -> None:
        """An order was taken on the version in force."""
        self._digests[order.base] = order.digest()
        if len(self._digests) > self._limit:
            oldest = next(iter(self._digests))
            del self._digests[oldest]
            self._complete_from = next(iter(self._digests))
            self._without_base = frozenset()

    def fate_of(self, order: Order) -> Fate:
        """Whether an order on an earlier version was taken."""
        digest = order.digest()
        if self._digests.get(order.base) == digest or digest in self._without_base:
            return Fate.TAKEN
        return Fate.NOT_TAKEN if order.base >= self._complete_from else Fate.FORGOTTEN

    def pack(self) -> bytes:
        """Encode for a snapshot."""
        entries = [_ENTRY.pack(base, digest) for base, digest in self._digests.items()]
        head = _HEAD.pack(self._complete_from, len(entries), len(self._without_base))
        return head + b"".join(entries) + b"".join(sorted(self._without_base))

    @classmethod
    def unpack(cls, record: bytes, start: int) -> tuple[OrderHistory, int]:
        """Decode from a snapshot, and say where it ends; `RecordError` where it is none."""
        try:
            complete_from, count, digest_count = _HEAD.unpack_from(record, start)
        except struct.error:
            raise RecordError("the history of orders is cut off") from None
        begin = start + _HEAD.size
        middle = begin + count * _ENTRY.size
        end = middle + digest_count * DIGEST_BYTES
        if end > len(record):
            raise RecordError("the history of orders is cut off")
        history = cls()
        history._complete_from = complete_from
        history._digests = dict(_ENTRY.iter_unpack(record[begin:middle]))
        history._without_base = frozenset(split_digests(record[middle:end]))
        return history, end

    @classmethod
    def without_bases(cls, digests: bytes, is_complete: bool, version: int) -> OrderHistory:
        """The history of a snapshot that tells no bases; `is_complete`: none had been forgotten."""
        history = cls()
        history._without_base = frozenset(split_digests(digests))
        history._complete_from = 0 if is_complete else version
        return history


def split_digests(data: bytes) -> list[bytes]:
    """Digests that stand one behind the other."""
    return [data[start : start + DIGEST_BYTES] for start in range(0, len(data), DIGEST_BYTES)]
