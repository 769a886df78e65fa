"""Encoding and decoding of rows."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.fleet.placement.rows import (
    AGE_UNIT_S,
    FAILURE_UNIT,
    MAX_ENTRIES,
    MAX_ROW_BYTES,
    NO_RECENT_RESPONSE,
    VERSION,
    CachedBlock,
    Row,
    RowError,
    RowFlags,
    Section,
    ServerEntry,
    decode_row,
    encode_row,
    max_cached_blocks,
)

U32 = st.integers(0, 0xFFFFFFFF)
RATE = st.floats(0, 1e8, width=32)
SECTIONS = st.builds(Section, U32, RATE, RATE, RATE, RATE, RATE, RATE, st.integers(0, 0xFFFF))
AGES = st.none() | st.integers(0, NO_RECENT_RESPONSE - 1).map(lambda units: units * AGE_UNIT_S)
FAILURES = st.integers(0, 255).map(lambda units: units * FAILURE_UNIT)
ENTRIES = st.builds(ServerEntry, U32, st.integers(0, 0xFFFF), U32, st.booleans(), AGES, FAILURES)
BLOCKS = st.builds(CachedBlock, U32, U32, st.integers(0, 0xFFFF).map(lambda units: units * 16))
ROWS = st.builds(
    Row,
    st.sampled_from([RowFlags.NONE, RowFlags.ASK, RowFlags.RISK, RowFlags.ASK | RowFlags.RISK]),
    st.integers(0, 255),
    st.integers(0, (1 << 64) - 1),
    U32,
    st.lists(SECTIONS, max_size=16).map(tuple),
    st.lists(ENTRIES, max_size=MAX_ENTRIES).map(tuple),
    st.lists(BLOCKS, max_size=10).map(tuple),
)


@given(ROWS)
def test_a_row_is_decoded_as_it_was_encoded(row: Row) -> None:
    payload = encode_row(row)
    assert len(payload) <= MAX_ROW_BYTES
    assert decode_row(payload) == row


@given(st.binary(max_size=200) | st.binary(max_size=200).map(lambda data: bytes([VERSION]) + data))
def test_any_bytes_are_decoded_or_raise_row_error(payload: bytes) -> None:
    try:
        row = decode_row(payload)
    except RowError:
        return
    assert len(row.entries) <= MAX_ENTRIES or len(payload) <= MAX_ROW_BYTES


@given(ROWS, st.data())
def test_a_truncated_or_changed_row_raises_row_error_at_most(row: Row, data: st.DataObject) -> None:
    payload = bytearray(encode_row(row))
    position = data.draw(st.integers(0, len(payload) - 1))
    payload[position] ^= data.draw(st.integers(1, 255))
    for changed in (bytes(payload), bytes(payload[:position])):
        try:
            decode_row(changed)
        except RowError:
            continue


def test_rates_that_are_not_finite_are_rejected() -> None:
    row = Row(RowFlags.NONE, 0, 1, 0, (Section(1, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1),), (), ())
    payload = bytearray(encode_row(row))
    payload[-6:-2] = b"\xff\xff\xff\x7f"
    with pytest.raises(RowError):
        decode_row(bytes(payload))


@pytest.mark.parametrize(
    ("age", "decoded"), [(None, None), (0.0, 0.0), (0.034, 0.04), (2.54, 2.54), (2.55, None), (60.0, None)]
)
def test_the_age_of_a_response_is_rounded_up(age: float | None, decoded: float | None) -> None:
    entry = ServerEntry(7, 1, 10, True, age, 0.0)
    row = decode_row(encode_row(Row(RowFlags.NONE, 0, 1, 0, (), (entry,), ())))
    decoded_age = row.entries[0].response_age
    assert decoded_age == (None if decoded is None else pytest.approx(decoded))


def test_entries_and_blocks_beyond_the_limits_are_omitted() -> None:
    entries = tuple(ServerEntry(number, 1, 10, False, None, 0.0) for number in range(300))
    blocks = tuple(CachedBlock(number, number, 160) for number in range(300))
    payload = encode_row(Row(RowFlags.NONE, 0, 1, 0, (), entries, blocks))
    row = decode_row(payload)
    assert row.entries == entries[:MAX_ENTRIES]
    assert row.cached_blocks == blocks[: max_cached_blocks(0, 300)] and len(row.cached_blocks) > 30
    assert len(payload) <= MAX_ROW_BYTES


@pytest.mark.parametrize("suspect", [False, True])
@pytest.mark.parametrize("failed_trial", [False, True])
def test_flags_of_an_entry_are_decoded_alone_and_together(suspect: bool, failed_trial: bool) -> None:
    entry = ServerEntry(7, 1, 10, suspect, None, 0.5, failed_trial)
    row = decode_row(encode_row(Row(RowFlags.NONE, 0, 1, 0, (), (entry,), ())))
    assert row.entries == (entry,)
