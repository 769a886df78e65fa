"""Envelopes: round trips, and invalid bytes."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.fleet.cluster.envelope import (
    MAX_SECTIONS,
    EnvelopeError,
    Plane,
    Section,
    decode_envelope,
    encode_envelope,
)

sections = st.lists(st.builds(Section, st.sampled_from(Plane), st.binary(max_size=50)), max_size=8)


@settings(derandomize=True, deadline=None)
@given(sections)
def test_sections_are_decoded_as_they_were_encoded(original: list[Section]) -> None:
    assert decode_envelope(encode_envelope(original)) == original


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=100))
def test_invalid_bytes_raise_only_envelope_errors(data: bytes) -> None:
    for invalid in (data, b"\x01" + data):
        with contextlib.suppress(EnvelopeError):
            decode_envelope(invalid)


def test_lengths_versions_planes_and_counts_are_checked() -> None:
    one = Section(Plane.SUMMARY, b"abcd")
    encoded = encode_envelope([one])
    wrong = [encoded[:length] for length in range(len(encoded)) if length != 1]
    wrong += [b"\x02" + encoded[1:], encoded[:1] + b"\x09" + encoded[2:]]
    wrong.append(encode_envelope([one] * (MAX_SECTIONS + 1)))
    for data in wrong:
        with pytest.raises(EnvelopeError):
            decode_envelope(data)
