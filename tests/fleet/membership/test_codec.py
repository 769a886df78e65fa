"""The codec of membership: round trips, and invalid bytes."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.fleet.membership.codec import (
    MAX_BUCKETS,
    MAX_RECORDS,
    Kind,
    Message,
    MessageError,
    decode_message,
    encode_message,
    encode_record,
)
from firvane.fleet.membership.members import Record, Status
from tests.fleet.membership.strategies import addresses, make_member, records

PROBE_KINDS = (Kind.PROBE, Kind.ACK, Kind.PROBE_REQUEST)
uint32s = st.integers(0, 2**32 - 1)


@st.composite
def messages(draw: st.DrawFn) -> Message:
    kind = draw(st.sampled_from(Kind))
    probe = {"nonce": draw(uint32s), "target": draw(addresses)} if kind in PROBE_KINDS else {}
    return Message(
        kind,
        tuple(draw(st.lists(records, min_size=1, max_size=4))),
        summary=draw(uint32s),
        buckets=tuple(draw(st.lists(uint32s, max_size=MAX_BUCKETS))),
        **probe,
    )


@settings(derandomize=True, max_examples=60, deadline=None)
@given(messages())
def test_a_message_is_decoded_as_it_was_encoded(message: Message) -> None:
    decoded = decode_message(encode_message(message))
    assert decoded.kind is message.kind
    assert (decoded.summary, decoded.nonce, decoded.target) == (
        message.summary,
        message.nonce,
        message.target,
    )
    assert decoded.buckets == message.buckets
    assert [encode_record(record) for record in decoded.records] == [
        encode_record(record) for record in message.records
    ]
    assert [record.member for record in decoded.records] == [record.member for record in message.records]


@settings(derandomize=True, max_examples=60, deadline=None)
@given(messages(), messages())
def test_encoded_records_are_appended(first: Message, second: Message) -> None:
    encoded = [encode_record(record) for record in second.records]
    decoded = decode_message(encode_message(first, encoded))
    assert len(decoded.records) == len(first.records) + len(second.records)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.binary(max_size=300), st.sampled_from(Kind))
def test_invalid_bytes_raise_only_message_errors(data: bytes, kind: Kind) -> None:
    for invalid in (data, bytes((1, kind)) + data):
        with contextlib.suppress(MessageError):
            decode_message(invalid)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(messages(), st.data())
def test_damaged_messages_raise_only_message_errors_or_decode(message: Message, data: st.DataObject) -> None:
    encoded = bytearray(encode_message(message))
    for _ in range(data.draw(st.integers(1, 3))):
        encoded[data.draw(st.integers(0, len(encoded) - 1))] = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(0, len(encoded)))
    for damaged in (bytes(encoded), bytes(encoded[:cut]), bytes(encoded) + b"x"):
        with contextlib.suppress(MessageError):
            decode_message(damaged)


def test_every_truncation_is_rejected() -> None:
    encoded = encode_message(
        Message(Kind.PROBE, (Record(make_member(1), 5, Status.SUSPECT, 0.4),), buckets=(1, 2))
    )
    for length in range(len(encoded)):
        with pytest.raises(MessageError):
            decode_message(encoded[:length])


def test_counts_are_bounded() -> None:
    record = encode_record(Record(make_member(1), 0, Status.ALIVE))
    assert len(decode_message(encode_message(Message(Kind.UPDATE), [record] * MAX_RECORDS)).records) == 64
    for count in (0, MAX_RECORDS + 1):
        with pytest.raises(MessageError):
            decode_message(encode_message(Message(Kind.UPDATE), [record] * count))
