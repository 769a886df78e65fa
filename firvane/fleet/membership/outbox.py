"""Outgoing messages, each with this process's own record and the summary of its table. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from msgspec import Struct
from msgspec.structs import replace

from firvane.core.address import Address
from firvane.fleet.membership.codec import MAX_RECORDS, Message, encode_message
from firvane.fleet.membership.view import MemberView

MAX_BATCH_BYTES = 950
"""Bytes of records in one message, so that checksums, envelope and sender's record also fit."""


class Send(Struct, frozen=True):
    """A message to send."""

    to: Address
    payload: bytes
    is_heartbeat: bool = False
    """Whether it is a heartbeat, in whose datagram the checksum of the disseminated items is sent as well."""
    is_join: bool = False
    """Whether it announces this process to a seed or to the first member that contacted it."""


class Outbox:
    """Collects the messages to send."""

    def __init__(self, view: MemberView) -> None:
        self._view = view
        self._sends: list[Send] = []

    def add(
        self,
        to: Address,
        message: Message,
        records: Sequence[bytes] = (),
        is_heartbeat: bool = False,
        is_join: bool = False,
    ) -> None:
        """Add a message; `records` are encoded and follow this process's own record."""
        message = replace(message, summary=self._view.table.summary())
        payload = encode_message(message, [self._view.own_record(), *records])
        self._sends.append(Send(to, payload, is_heartbeat, is_join))

    def take(self) -> list[Send]:
        """Remove and return all messages."""
        sends, self._sends = self._sends, []
        return sends


def split_into_batches(records: Sequence[bytes]) -> Iterator[list[bytes]]:
    """Split encoded records into batches that each fit a datagram."""
    batch: list[bytes] = []
    size = 0
    for record in records:
        if batch and (size + len(record) > MAX_BATCH_BYTES or len(batch) >= MAX_RECORDS - 1):
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += len(record)
    if batch:
        yield batch
