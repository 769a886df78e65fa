"""The replicated state of the configuration.

Rules that all replicas apply deterministically:

1. An order that was applied before is acknowledged again, by any incarnation of any process.
2. An order with an older base is rejected as a conflict only if it is known not to have been applied
   (`order_history`); an order whose base was never reached is a conflict as well.
3. An order is invalid unless the resulting document is valid and has a version above the current one.
4. Any other order is applied: the document changes atomically.

`apply` repeats these checks, since two orders with the same base may both have been accepted before either
was applied. `apply` does not run cerberus: `checker.Checker` does so once, before an order is proposed. A
conflict found by `check` is final only on a replica whose state is known to be current.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from msgspec import Struct

from firvane.fleet.configuration import document as documents
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.document import Document, DocumentError
from firvane.fleet.configuration.item import MAX_DOCUMENT_BYTES, ItemError, pack_item, unpack_document
from firvane.fleet.configuration.order_history import OrderHistory, OrderStatus
from firvane.fleet.configuration.orders import (
    DIGEST_BYTES,
    MAX_BODY_BYTES,
    Order,
    OrderKind,
    RecordError,
    Result,
    invalid,
)
from firvane.fleet.configuration.structure import find_problems

__all__ = ["ConfigurationState", "Draft", "Order", "OrderKind", "Result"]

SNAPSHOT_VERSION = 2
SNAPSHOT_WITHOUT_BASES = 1  # an older format, which is still read
MAX_DIGESTS_WITHOUT_BASES = 1024  # in a snapshot of the older format

_SNAPSHOT_HEADER = struct.Struct("!BI")  # version, length of the item; the history and the item follow
_SNAPSHOT_WITHOUT_BASES_HEADER = struct.Struct("!BHI")  # version, number of digests, length of the item


class Draft(Struct, frozen=True):
    """The valid document that would result from an order."""

    version: int
    document: Document
    text: bytes  # the document as canonical JSON


class ConfigurationState:
    """The current document and the orders that led to it; one instance per replica."""

    def __init__(self) -> None:
        self._version = 0
        self._parsed: Document = {}
        self._document = documents.EMPTY
        self._history = OrderHistory()
        self._item: bytes | None = None

    @property
    def version(self) -> int:
        """The version in force; 0 before the first configuration."""
        return self._version

    @property
    def document(self) -> bytes:
        """The complete configuration in force as canonical JSON; `{}` before the first."""
        return self._document

    @property
    def parsed(self) -> Document:
        """The configuration in force as an object, which callers must not change."""
        return self._parsed

    def check(self, order: Order) -> Result:
        """Return the result that `apply` would return now, without changing the state."""
        outcome = self.draft(order)
        return outcome if isinstance(outcome, Result) else Result(ResultCode.ACCEPTED, outcome.version)

    def draft(self, order: Order) -> Draft | Result:
        """Return the document that would result, or the result that rejects or repeats the order."""
        if len(order.body) > MAX_BODY_BYTES:
            return Result(ResultCode.TOO_LARGE, self._version)
        if order.base > self._version:
            return Result(ResultCode.CONFLICT, self._version)
        if order.base < self._version:
            return Result(_RESULT_CODES[self._history.status_of(order)], self._version)
        try:
            document = documents.build(order, self._parsed)
        except DocumentError as error:
            return invalid(self._version, error.problems)
        problems = find_problems(document, self._version, self._parsed)
        if problems:
            return invalid(self._version, problems)
        text = documents.encode(document)
        if len(text) > MAX_DOCUMENT_BYTES:
            return Result(ResultCode.TOO_LARGE, self._version)
        return Draft(document[documents.VERSION], document, text)

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a packed order and return the packed result; `index` (in the log) has no effect."""
        try:
            order = Order.unpack(payload)
        except RecordError:
            return Result(ResultCode.UNREADABLE_RECORD, self._version).pack()
        outcome = self.draft(order)
        if isinstance(outcome, Result):
            return outcome.pack()
        self._history.add(order)
        self._install(outcome)
        return Result(ResultCode.ACCEPTED, self._version).pack()

    def item_payload(self) -> bytes:
        """The configuration in force, encoded for dissemination (`item.read_item`)."""
        if self._item is None:
            self._item = pack_item(self._version, self._document)
        return self._item

    def save(self) -> bytes:
        """Encode a snapshot of the document and the history of orders."""
        item = self.item_payload()
        header = _SNAPSHOT_HEADER.pack(SNAPSHOT_VERSION, len(item))
        return header + self._history.pack() + item

    def load(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot; `RecordError` if it is malformed, with the state unchanged."""
        if not snapshot:
            raise RecordError("the snapshot is empty")
        read = _SNAPSHOT_READERS.get(snapshot[0])
        if read is None:
            raise RecordError(f"unknown version {snapshot[0]} of a snapshot")
        self._history, draft = read(snapshot)
        self._install(draft)

    def _install(self, draft: Draft) -> None:
        self._parsed = draft.document
        self._document = draft.text
        self._version = draft.version
        self._item = None


class _Snapshot(NamedTuple):
    history: OrderHistory
    draft: Draft


def _read_snapshot(snapshot: bytes) -> _Snapshot:
    if len(snapshot) < _SNAPSHOT_HEADER.size:
        raise RecordError("the snapshot is cut off")
    _, item_length = _SNAPSHOT_HEADER.unpack_from(snapshot)
    history, item_start = OrderHistory.unpack(snapshot, _SNAPSHOT_HEADER.size)
    return _Snapshot(history, _read_snapshot_item(snapshot, item_start, item_length))


def _read_snapshot_without_bases(snapshot: bytes) -> _Snapshot:
    if len(snapshot) < _SNAPSHOT_WITHOUT_BASES_HEADER.size:
        raise RecordError("the snapshot is cut off")
    _, count, item_length = _SNAPSHOT_WITHOUT_BASES_HEADER.unpack_from(snapshot)
    item_start = _SNAPSHOT_WITHOUT_BASES_HEADER.size + count * DIGEST_BYTES
    if count > MAX_DIGESTS_WITHOUT_BASES:
        raise RecordError("the length of the snapshot is wrong")
    draft = _read_snapshot_item(snapshot, item_start, item_length)
    digests = snapshot[_SNAPSHOT_WITHOUT_BASES_HEADER.size : item_start]
    is_complete = count < MAX_DIGESTS_WITHOUT_BASES
    return _Snapshot(OrderHistory.without_bases(digests, is_complete, draft.version), draft)


def _read_snapshot_item(snapshot: bytes, start: int, length: int) -> Draft:
    if len(snapshot) != start + length:
        raise RecordError("the length of the snapshot is wrong")
    try:
        version, text = unpack_document(snapshot[start:])
        document = documents.parse_object(text)
    except (ItemError, DocumentError) as error:
        raise RecordError(f"the snapshot is unreadable: {error}") from error
    return Draft(version, document, text)


_RESULT_CODES = {
    OrderStatus.APPLIED: ResultCode.REPEATED,
    OrderStatus.NOT_APPLIED: ResultCode.CONFLICT,
    OrderStatus.UNKNOWN: ResultCode.FORGOTTEN,
}
_SNAPSHOT_READERS = {
    SNAPSHOT_VERSION: _read_snapshot,
    SNAPSHOT_WITHOUT_BASES: _read_snapshot_without_bases,
}
