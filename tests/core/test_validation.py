"""Invalid files: every violation is reported on one line, and no input raises another error."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core import validation
from tests.proxy.net.helpers import seeded


class Part(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    name: Annotated[str, msgspec.Meta(min_length=1)]
    least_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    most_s: float = 1.0
    how: Literal["fast", "slow"] = "slow"


class Whole(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    count: Annotated[int, msgspec.Meta(ge=1, le=9)]
    parts: tuple[Part, ...] = ()
    pair: tuple[float, float] = (0.0, 1.0)
    either: str | tuple[str, ...] | None = None
    on: bool = False


def order(part: Part) -> Iterator[tuple[str, str]]:
    if part.least_s > part.most_s:
        yield "least_s", "is above most_s"


def lines(text: str) -> list[str]:
    with pytest.raises(validation.ValidationError) as caught:
        validation.build(validation.parse(text.encode(), "f"), Whole, "f", {Part: order})
    return str(caught.value).splitlines()


def test_all_violations_are_reported_with_key_and_value() -> None:
    # The invalid first part hides neither its other violations nor those of checks in the second part.
    text = """
        count = 12
        pair = [1, "2"]
        either = [1]
        onn = true
        [[parts]]
        least_s = -1
        how = "fasst"
        most = 3
        [[parts]]
        name = "b"
        least_s = 3
    """
    assert lines(text) == [
        "f: count: must be a whole number of at least 1 and of at most 9, given 12",
        "f: parts[0].name: is missing: a text that is not empty",
        "f: parts[0].least_s: must be a number of at least 0, given -1",
        'f: parts[0].how: must be one of "fast", "slow", given "fasst"; did you mean fast?',
        "f: parts[0].most: unknown key; did you mean most_s?",
        "f: parts[1].least_s: is above most_s",
        'f: pair[1]: must be a number, given "2"',
        "f: either[0]: must be a text, given 1",
        "f: onn: unknown key; did you mean on?",
    ]


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("a =\n", "line 1, column"),
        ("count = 3\ncount = 4\n", "line 2"),
        ('{"count": 3', "JSON"),
        ("[" * 100_000, "line 1"),
        ("x = " + "[" * 100_000, "nested too deep"),
        ('{"x":' * 100_000, "nested too deep"),
        ("a." * 100_000 + "b = 1", "nested too deep"),  # the standard library would need 40 GB for it
        ("'a'." * 50_000 + "b = 1", "nested too deep"),
        ("count = " + "9" * 5000, "digits"),
        ("count = 0x" + "f" * 5000, "a number of 20000 bits"),
        ("count = inf", "a whole number"),
        ("count = 1\npair = [nan, 1]", "given nan"),
        ("count = 1\non = 1979-05-27", "given 1979-05-27"),
        ('"\\u0007 key" = 1', r'"\u0007 key": unknown key'),
        ("y" * (validation.MAX_FILE_BYTES + 1), "larger than"),
    ],
)
def test_an_unusable_file_is_reported_on_one_line(text: str, words: str) -> None:
    found = [line for line in lines(text) if "count: is missing" not in line]
    assert len(found) == 1 and words in found[0] and len(found[0]) < 300


def test_violations_beyond_the_limit_are_counted() -> None:
    found = lines("\n".join(f"k{i} = 1" for i in range(500)))
    assert (
        len(found) == validation.MAX_LISTED_VIOLATIONS + 1
        and found[-1] == f"f: {501 - validation.MAX_LISTED_VIOLATIONS} more faults"
    )


@pytest.mark.parametrize("name", ["missing.toml", ".", "a\0b", "\udcff"])
def test_an_unreadable_file_is_a_violation(name: str, tmp_path: Path) -> None:
    with pytest.raises(validation.ValidationError, match="cannot be read"):
        validation.read(f"{tmp_path}/{name}", Whole)


def test_invalid_utf_8_is_a_violation_and_a_byte_order_mark_is_not(tmp_path: Path) -> None:
    path = tmp_path / "f.toml"
    path.write_bytes(b"count = 1 # \xff")
    with pytest.raises(validation.ValidationError, match="not UTF-8 at byte 12"):
        validation.read(path, Whole)
    path.write_bytes(b"\xef\xbb\xbfcount = 1")
    assert validation.read(path, Whole) == Whole(count=1)


@seeded
@given(st.binary(max_size=300) | st.text(alphabet='abc=.[]{}"\n\\ 1#\x00\u2028', max_size=80).map(str.encode))
def test_any_bytes_give_a_value_or_violations_of_one_line(data: bytes) -> None:
    try:
        validation.build(validation.parse(data, "f"), Whole, "f", {Part: order})
    except validation.ValidationError as faults:
        assert len(str(faults).splitlines()) == len(faults.violations) > 0


scalars = st.none() | st.booleans() | st.integers(-2, 12) | st.floats() | st.sampled_from(["", "fast", "b"])
values = st.recursive(scalars, lambda inner: st.lists(inner, max_size=3), max_leaves=5)
part = st.fixed_dictionaries(
    {"name": st.just("p")}, optional={"least_s": scalars, "how": scalars, "other": scalars}
)
whole = st.fixed_dictionaries(
    {"count": st.just(1) | scalars},
    optional={"parts": st.lists(part | values, max_size=2), "pair": values, "either": values, "on": scalars},
)


@seeded
@given(whole)
def test_the_values_that_msgspec_rejects_are_violations(raw: dict[str, Any]) -> None:
    # msgspec decides for all values but non-finite numbers, which it accepts.
    finite = "Infinity" not in (text := json.dumps(raw)) and "NaN" not in text
    try:
        wanted = msgspec.convert(raw, Whole) if finite else None
    except msgspec.ValidationError:
        wanted = None
    try:
        assert validation.build(raw, Whole, "f") == wanted
    except validation.ValidationError:
        assert wanted is None


@pytest.mark.parametrize(
    ("given", "why"),
    [
        ([], "recovery is not an object"),
        ({"stepz": True}, "recovery.stepz is not one of ask, first_tries, snapshot, .*"),
        ({"steps": 1}, "recovery.steps is 1"),
        ({"snapshot_every": 0}, "recovery.snapshot_every is 0"),
    ],
)
def test_the_recovery_section_of_the_platform_settings_is_checked(given: object, why: str) -> None:
    from firvane.proxy.config.platform import _recovery

    with pytest.raises(ValueError, match=f"^{why}$"):
        _recovery(given)
