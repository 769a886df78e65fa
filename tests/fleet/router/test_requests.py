"""Parsing of the headers that describe a prompt, and rejection of ambiguous framing."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core.net.http_message import HttpError, Message
from firvane.fleet.router.requests import check_framing, client_deadline_ms, parse_prompt_headers


def message(**fields: bytes) -> Message:
    result = Message()
    for name, value in fields.items():
        key = name.replace("_", "-").encode()
        result.headers.append((key, value))
        result.fields[key] = value
    return result


def test_prompt_headers_are_parsed() -> None:
    prompt = parse_prompt_headers(
        message(x_token_count=b"1460,80", x_prompt_prefix=b"5c1e07a2:800, 91bd3f06:410")
    )
    assert prompt.prefix_blocks == ((0x5C1E07A2, 800), (0x91BD3F06, 410))
    assert (prompt.prompt_tokens, prompt.max_response_tokens) == (1460, 80)


@given(st.binary(), st.binary())
def test_invalid_prompt_headers_never_raise(count: bytes, prefix: bytes) -> None:
    prompt = parse_prompt_headers(message(x_token_count=count, x_prompt_prefix=prefix))
    assert prompt.prompt_tokens >= 0 and prompt.max_response_tokens >= 0
    assert all(tokens >= 0 for _, tokens in prompt.prefix_blocks)


@pytest.mark.parametrize(
    ("text", "expected"),
    [(b"10000", 10000), (b"", None), (b"-5", None), (b"1e9", None), (b"9" * 12, None)],
)
def test_an_invalid_deadline_counts_as_absent(text: bytes, expected: int | None) -> None:
    assert client_deadline_ms(message(x_deadline_ms=text)) == expected


def test_ambiguous_framing_is_rejected() -> None:
    check_framing(message(transfer_encoding=b"chunked"))
    for fields in (
        {"transfer_encoding": b"gzip, chunked"},
        {"transfer_encoding": b"chunked", "content_length": b"5"},
    ):
        with pytest.raises(HttpError):
            check_framing(message(**fields))
    repeated = message(host=b"a")
    repeated.repeated_fields.append(b"host")
    with pytest.raises(HttpError):
        check_framing(repeated)
