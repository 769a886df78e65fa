"""The messages that one input causes, each with the own record and the summary of the table. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from msgspec import Struct
from msgspec.structs import replace

from firvane.core.address import Address
from firvane.fleet.membership.codec import MAX_RECORDS, Message, encode_message
from firvane.fleet.membership.view import MemberView

MAX_BATCH_BYTES = 950
"""Bytes of records in one message, so that it fits a datagram with checksums, envelope and own record."""


class Send(Struct, frozen=True):
    """A message to send."""

    to: Address
    payload: bytes
    is_heartbeat: bool = False
    """Whether it is the regular heartbeat, to which other planes add what they compare."""
    is_join: bool = False
    """Whether it announces this process to a seed, or to the first member that has contacted it."""


class Outbox:
    """Collects messages until they are taken."""

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
        """Add a message, with encoded records after the own one."""
        message = replace(message, summary=self._view.table.summary())
        payload = encode_message(message, [self._view.own_record(), *records])
        self._sends.append(Send(to, payload, is_heartbeat, is_join))

    def take(self) -> list[Send]:
        """Remove and return all messages."""
        sends, self._sends = self._sends, []
        return sends


def batches(records: Sequence[bytes]) -> Iterator[list[bytes]]:
    """Split encoded records into lists that fit a datagram."""
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
