"""Encoding and parsing of prompt headers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.simulation.localfleet.prompts import Prompt, PromptChunk, PromptError, parse_prompt

PARTS = st.lists(st.builds(PromptChunk, st.integers(0, 2**32 - 1), st.integers(1, 100_000)), max_size=64)


@given(PARTS, st.integers(1, 10_000))
def test_encoded_prompts_are_parsed(parts: list[PromptChunk], output: int) -> None:
    prompt = Prompt(tuple(parts), output)
    assert parse_prompt(prompt.token_count_header.encode(), prompt.prefix_header.encode()) == prompt


def test_the_example_of_the_protocol() -> None:
    prompt = parse_prompt(b"1460,80", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250")
    assert prompt.tokens == 1460
    assert prompt.output_tokens == 80
    assert prompt.parts[0] == PromptChunk(0x5C1E07A2, 800)


@pytest.mark.parametrize(
    ("count", "prefix"),
    [
        (b"", b""),
        (b"5", b"1:5"),
        (b"5,1", b"1:4"),
        (b"5,0", b"1:5"),
        (b"5,1", b"1:5,"),
        (b"0,1", b"1:0"),
        (b"-5,1", b"1:-5"),
    ],
)
def test_invalid_headers_are_rejected(count: bytes, prefix: bytes) -> None:
    with pytest.raises(PromptError):
        parse_prompt(count, prefix)


@given(st.binary(max_size=30), st.binary(max_size=60))
def test_any_bytes_are_a_prompt_or_a_prompt_error(count: bytes, prefix: bytes) -> None:
    try:
        prompt = parse_prompt(count, prefix)
    except PromptError:
        return
    assert prompt.output_tokens >= 1
