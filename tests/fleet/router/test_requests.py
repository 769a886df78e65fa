"""What the headers of a request say of its prompt, and which of them make it unusable."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core.net.http_message import HttpError, Message
from firvane.fleet.router.requests import check_framing, client_deadline_ms, prompt_shape


def message(**fields: bytes) -> Message:
    made = Message()
    for name, value in fields.items():
        key = name.replace("_", "-").encode()
        made.headers.append((key, value))
        made.fields[key] = value
    return made


def test_a_prompt_is_read_from_its_headers() -> None:
    shape = prompt_shape(message(x_token_count=b"1460,80", x_prompt_prefix=b"5c1e07a2:800, 91bd3f06:410"))
    assert shape.chain == ((0x5C1E07A2, 800), (0x91BD3F06, 410))
    assert (shape.tokens_in, shape.tokens_out) == (1460, 80)


@given(st.binary(), st.binary())
def test_headers_that_make_no_sense_count_as_none(count: bytes, prefix: bytes) -> None:
    shape = prompt_shape(message(x_token_count=count, x_prompt_prefix=prefix))
    assert shape.tokens_in >= 0 and shape.tokens_out >= 0
    assert all(tokens >= 0 for _, tokens in shape.chain)


@pytest.mark.parametrize(
    ("given_text", "expected"),
    [(b"10000", 10000), (b"", None), (b"-5", None), (b"1e9", None), (b"9" * 12, None)],
)
def test_a_deadline_that_cannot_be_read_is_none(given_text: bytes, expected: int | None) -> None:
    assert client_deadline_ms(message(x_deadline_ms=given_text)) == expected


def test_ambiguous_framing_is_rejected() -> None:
    check_framing(message(transfer_encoding=b"chunked"))
    for fields in (
        {"transfer_encoding": b"gzip, chunked"},
        {"transfer_encoding": b"chunked", "content_length": b"5"},
    ):
        with pytest.raises(HttpError):
            check_framing(message(**fields))
    twice = message(host=b"a")
    twice.repeated_fields.append(b"host")
    with pytest.raises(HttpError):
        check_framing(twice)
