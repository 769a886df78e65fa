"""The codec of dissemination: round trips, and invalid bytes."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.fleet.dissemination.codec import (
    Kind,
    Message,
    MessageError,
    Version,
    decode_message,
    encode_message,
    item_size,
)
from firvane.fleet.dissemination.items import Item

keys = st.binary(max_size=255)
uint64s = st.integers(0, 2**64 - 1)
items = st.builds(Item, keys, uint64s, st.binary(max_size=200))
versions = st.builds(Version, keys, uint64s, st.integers(0, 2**32 - 1))
WITH_PAYLOADS = (Kind.PUSH, Kind.REPAIR)
WITH_VERSIONS = (Kind.DIGEST, Kind.ANNOUNCE, Kind.REQUEST, Kind.ACCEPT, Kind.REJECT)
messages = st.one_of(
    st.builds(lambda summary: Message(Kind.SUMMARY, summary=summary), st.integers(0, 2**32 - 1)),
    st.builds(
        lambda kind, content: Message(kind, items=tuple(content)),
        st.sampled_from(WITH_PAYLOADS),
        st.lists(items, max_size=5),
    ),
    st.builds(
        lambda kind, content: Message(kind, tuple(content)),
        st.sampled_from(WITH_VERSIONS),
        st.lists(versions, max_size=8),
    ),
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(messages)
def test_a_message_is_decoded_as_it_was_encoded(message: Message) -> None:
    assert decode_message(encode_message(message)) == message


@settings(derandomize=True, max_examples=60, deadline=None)
@given(items)
def test_item_size_is_the_number_of_bytes_that_an_item_adds(item: Item) -> None:
    empty = len(encode_message(Message(Kind.PUSH)))
    assert len(encode_message(Message(Kind.PUSH, items=(item,)))) == empty + item_size(item)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.binary(max_size=200), st.sampled_from(Kind))
def test_invalid_bytes_raise_only_message_errors(data: bytes, kind: Kind) -> None:
    for invalid in (data, bytes((1, kind)) + data):
        with contextlib.suppress(MessageError):
            decode_message(invalid)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(messages, st.data())
def test_damaged_messages_raise_only_message_errors_or_decode(message: Message, data: st.DataObject) -> None:
    encoded = bytearray(encode_message(message))
    encoded[data.draw(st.integers(0, len(encoded) - 1))] = data.draw(st.integers(0, 255))
    with contextlib.suppress(MessageError):
        decode_message(bytes(encoded))


@settings(derandomize=True, max_examples=60, deadline=None)
@given(messages)
def test_every_truncation_and_every_addition_is_rejected(message: Message) -> None:
    encoded = encode_message(message)
    for wrong in (*(encoded[:length] for length in range(len(encoded))), encoded + b"x"):
        with pytest.raises(MessageError):
            decode_message(wrong)


def test_unknown_versions_and_kinds_are_rejected() -> None:
    encoded = encode_message(Message(Kind.SUMMARY))
    for wrong in (b"\x02" + encoded[1:], encoded[:1] + b"\x63" + encoded[2:]):
        with pytest.raises(MessageError):
            decode_message(wrong)
