"""Validates TOML and JSON against structs, and reports every violation at once.

Invariants:

1. For any input the result is a value or `ValidationError`; no other exception is raised.
2. A violation is one line: file, key, reason, value; for an unknown key the most similar known one.
3. A violation in one part does not hide those in others. Checks across keys run in each part whose own keys
   are valid, whatever other checks find.
4. The input is bounded: `MAX_FILE_BYTES` bytes, `MAX_KEY_DEPTH` levels of dotted keys,
   `MAX_LISTED_VIOLATIONS` violations in full.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple, TypeVar

import msgspec
from msgspec import inspect as mi

from firvane.core.printable import plain

MAX_FILE_BYTES = 512 * 1024  # bytes of a file: far beyond any hand-written one
MAX_KEY_DEPTH = (
    32  # parts of a dotted key: the memory of the standard library's parser grows with their square
)
MAX_LISTED_VIOLATIONS = 100  # listed individually
MAX_SHOWN_CHARS = 60  # of a value
MAX_SHOWN_BITS = 64  # of a number
MAX_FLOAT = 1e300
# One part of a dotted key anywhere in the text, also in strings. Possessive and bounded, so linear in time.
KEY_PART_PATTERN = r"""(?:[A-Za-z0-9_-]++|"(?:\\.|[^"\\\n]){0,200}+"|'[^'\n]{0,200}+')"""
TOO_DEEP_PATTERN = re.compile(rf"(?<![A-Za-z0-9_-])(?:{KEY_PART_PATTERN}[ \t]*+\.[ \t]*+){{{MAX_KEY_DEPTH}}}")
LOCATION_PATTERN = re.compile(r" \(at (line \d+, column \d+|end of document)\)$")

T = TypeVar("T")
# Checks a struct whose keys are valid: yields pairs of a key in it ("" for the whole struct) and a reason.
Check = Callable[[Any], Iterable[tuple[str, str]]]
Checks = Mapping[type, Check]


class Violation(NamedTuple):
    """One error in a file.

    Attributes:
        file: The name of the file.
        key: A dotted path with indices, or "" for the file as a whole.
        reason: The error in words.
        given: The formatted value.
        nearest: The known key that is most similar to an unknown one.
    """

    file: str
    key: str
    reason: str
    given: str = ""
    nearest: str = ""

    def __str__(self) -> str:
        text = f"{self.file}: {self.key}: {self.reason}" if self.key else f"{self.file}: {self.reason}"
        if self.given:
            text += f", given {self.given}"
        return plain(f"{text}; did you mean {self.nearest}?" if self.nearest else text)


class ValidationError(ValueError):
    """A file is invalid; has all violations, in the order of the file's struct."""

    def __init__(self, violations: Sequence[Violation]) -> None:
        self.violations = tuple(violations)
        super().__init__("\n".join(self.lines()))

    def lines(self) -> Iterator[str]:
        """Yield one line for each violation, and a last one for those beyond `MAX_LISTED_VIOLATIONS`."""
        yield from map(str, self.violations[:MAX_LISTED_VIOLATIONS])
        if len(self.violations) > MAX_LISTED_VIOLATIONS:
            unlisted = len(self.violations) - MAX_LISTED_VIOLATIONS
            yield f"{plain(self.violations[0].file)}: {unlisted} more faults"


def read(path: str | Path, kind: type[T], checks: Checks | None = None) -> T:
    """Read a file into a struct; raises `ValidationError`."""
    return build(load(path), kind, str(path), checks)


def load(path: str | Path) -> dict[str, Any]:
    """Read the plain data of a file, TOML or JSON by its content; raises `ValidationError`."""
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:  # ValueError: a name with a zero byte in it
        reason = getattr(error, "strerror", None) or str(error)
        raise ValidationError([Violation(str(path), "", f"cannot be read: {reason}")]) from None
    return parse(data, str(path))


def parse(data: bytes, file: str) -> dict[str, Any]:
    """Parse the plain data in the bytes of a file; raises `ValidationError`."""
    try:
        return _parse(data)
    except RecursionError:
        reason = "nested too deep"
    except UnicodeDecodeError as error:
        reason = f"not UTF-8 at byte {error.start}"
    except ValueError as error:  # includes TOML's and msgspec's errors
        reason = str(error).partition("; use sys.")[0]
        if place := LOCATION_PATTERN.search(reason):
            reason = f"{place[1]}: {reason[: place.start()]}"
    raise ValidationError([Violation(file, "", reason)])


def _parse(data: bytes) -> dict[str, Any]:
    if len(data) > MAX_FILE_BYTES:
        raise ValueError(f"larger than {MAX_FILE_BYTES // 1024} KiB, the most that is read")
    data = data.removeprefix(b"\xef\xbb\xbf")
    if data.lstrip()[:1] == b"{":
        return _json(data)  # TOML never begins with a brace
    import tomllib  # imported only if there is TOML to parse

    text = data.decode("utf-8")
    if TOO_DEEP_PATTERN.search(text):
        raise ValueError(f"nested too deep: a key has more than {MAX_KEY_DEPTH} parts")
    return tomllib.loads(text)


def _json(data: bytes) -> dict[str, Any]:
    try:
        found: dict[str, Any] = msgspec.json.decode(data)
    except msgspec.MsgspecError as error:
        raise ValueError(f"not JSON: {error}") from None
    return found


def build(raw: Any, kind: type[T], file: str, checks: Checks | None = None) -> T:
    """Convert plain data to a struct; raises `ValidationError` with all violations."""
    validator = _Validator(file, checks or {})
    validator.value(raw, mi.type_info(kind), "")
    if validator.violations:
        raise ValidationError(validator.violations)
    try:
        return msgspec.convert(raw, kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise ValidationError([Violation(file, "", str(error))]) from None


def format_value(value: Any) -> str:
    """Return a value as short text on one line."""
    match value:
        case bool():
            return "true" if value else "false"
        case None:
            return "null"
        case int() if value.bit_length() > MAX_SHOWN_BITS:
            return f"a number of {value.bit_length()} bits"
        case int() | float():
            return str(value)
        case str():
            text = json.dumps(value[:MAX_SHOWN_CHARS], ensure_ascii=False)
            return text if len(value) <= MAX_SHOWN_CHARS else text[:-1] + '..."'
        case list():
            return f"a list of {len(value)}"
        case dict():
            return "a table"
    return str(value)  # TOML's dates and times


def join_key(path: str, key: str) -> str:
    """Return the path of a key in the value at `path`."""
    if not re.fullmatch(r"[\w.\[\]-]+", key):
        key = json.dumps(key[:MAX_SHOWN_CHARS], ensure_ascii=False)
    return f"{path}.{key}" if path and key[:1] != "[" else path + key


class _Validator:
    """Validates plain data against a type, and collects violations with their paths.

    Attributes:
        violations: All violations found so far.
        blocking: The number of violations that prevent the struct from being built.
    """

    def __init__(self, file: str, checks: Checks) -> None:
        self.file, self.checks = file, checks
        self.violations: list[Violation] = []
        self.blocking = 0

    def add_violation(self, path: str, reason: str, given: str = "", nearest: str = "") -> None:
        self.violations.append(Violation(self.file, path, reason, given, nearest))
        self.blocking += 1

    def value(self, raw: Any, type_: mi.Type, path: str, means: str = "") -> None:
        """Validate a value against a type; `means` describes the type's pattern."""
        match type_:
            case mi.Metadata():
                self.value(raw, type_.type, path, _form(type_) or means)
            case mi.StructType():
                self._struct(raw, type_, path)
            case mi.VarTupleType() | mi.ListType() | mi.SetType() | mi.FrozenSetType() | mi.TupleType():
                self._list(raw, type_, path)
            case mi.DictType():
                self._dict(raw, type_, path)
            case mi.UnionType():
                self._union(raw, type_, path, means)
            case mi.AnyType():
                pass
            case _:
                if not _fits(raw, type_):
                    one_of = type_.values if isinstance(type_, mi.LiteralType) else ()
                    nearest = _nearest(raw, map(str, one_of)) if isinstance(raw, str) else ""
                    self.add_violation(path, f"must be {expected(type_, means)}", format_value(raw), nearest)

    def _struct(self, raw: Any, type_: mi.StructType, path: str) -> None:
        if not isinstance(raw, dict):
            self.add_violation(path, f"must be {expected(type_)}", format_value(raw))
            return
        before = self.blocking
        known = {field.encode_name: field for field in type_.fields}
        for key, field in known.items():
            if key in raw:
                self.value(raw[key], field.type, join_key(path, key))
            elif field.required:
                self.add_violation(join_key(path, key), f"is missing: {expected(field.type)}")
        if type_.forbid_unknown_fields:
            for key in raw:
                if key not in known:
                    nearest = _nearest(key, known) if len(self.violations) < MAX_LISTED_VIOLATIONS else ""
                    self.add_violation(join_key(path, key), "unknown key", nearest=nearest)
        if before == self.blocking and (check := self.checks.get(type_.cls)):
            for key, reason in check(msgspec.convert(raw, type_.cls)):
                self.violations.append(Violation(self.file, join_key(path, key) if key else path, reason))

    def _list(self, raw: Any, type_: Any, path: str) -> None:
        fixed = type_.item_types if isinstance(type_, mi.TupleType) else None
        least, most = (len(fixed),) * 2 if fixed is not None else (type_.min_length, type_.max_length)
        wrong = not isinstance(raw, list) or len(raw) < (least or 0) or (most is not None and len(raw) > most)
        if wrong:
            self.add_violation(path, f"must be {expected(type_)}", format_value(raw))
            return
        for index, item in enumerate(raw):
            self.value(item, fixed[index] if fixed is not None else type_.item_type, f"{path}[{index}]")

    def _dict(self, raw: Any, type_: mi.DictType, path: str) -> None:
        if not isinstance(raw, dict):
            self.add_violation(path, f"must be {expected(type_)}", format_value(raw))
            return
        for key, item in raw.items():
            self.value(item, type_.value_type, join_key(path, str(key)))

    def _union(self, raw: Any, type_: mi.UnionType, path: str, means: str) -> None:
        """Validate against each type; if none matches, report the violations of the nearest type."""
        attempts: list[list[Violation]] = []
        violations, blocking = self.violations, self.blocking
        for one in type_.types:
            self.violations, self.blocking = [], 0
            self.value(raw, one, path, means)
            if not self.blocking:  # the value has this type, though checks may have found violations
                self.violations, self.blocking = violations + self.violations, blocking
                return
            attempts.append(self.violations)
        self.violations, self.blocking = violations, blocking
        if attempts:
            # A violation in a nested key suggests that this type is meant; the order of the types is
            # arbitrary.
            deep = [violations for violations in attempts if any(one.key != path for one in violations)]
            if deep:
                least = min(deep, key=len)
                self.violations += least
                self.blocking += len(least)
            else:
                self.add_violation(path, f"must be {expected(type_, means)}", format_value(raw))


def _form(type_: mi.Metadata) -> str:
    """Return the description of a pattern: `Meta(pattern=..., extra={"form": "an address"})`."""
    return str((type_.extra or {}).get("form", ""))


def _nearest(key: str, known: Iterable[str]) -> str:
    from difflib import get_close_matches  # imported only for an error

    found = get_close_matches(key[:MAX_SHOWN_CHARS], list(known), 1)
    return found[0] if found else ""


def _fits(raw: Any, type_: mi.Type) -> bool:
    match type_:
        case mi.BoolType():
            return isinstance(raw, bool)
        case mi.IntType():
            return isinstance(raw, int) and not isinstance(raw, bool) and _within(raw, type_)
        case mi.FloatType():
            number = isinstance(raw, int | float) and not isinstance(raw, bool)
            return number and abs(raw) < MAX_FLOAT and math.isfinite(raw) and _within(raw, type_)
        case mi.StrType():
            return isinstance(raw, str) and _fits_text(raw, type_)
        case mi.LiteralType():
            return any(raw == value and type(raw) is type(value) for value in type_.values)
        case mi.EnumType():
            return any(raw == one.value and type(raw) is type(one.value) for one in type_.cls)
        case mi.NoneType():
            return raw is None
    try:  # a type without its own rule here
        msgspec.convert(raw, _python(type_))
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return False
    return True


def _fits_text(raw: str, type_: mi.StrType) -> bool:
    if len(raw) < (type_.min_length or 0):
        return False
    if type_.max_length is not None and len(raw) > type_.max_length:
        return False
    return type_.pattern is None or re.fullmatch(type_.pattern, raw) is not None


def _python(type_: mi.Type) -> Any:
    """Return the Python type, if msgspec has one."""
    return getattr(type_, "cls", Any)


def _within(raw: float, type_: mi.IntType | mi.FloatType) -> bool:
    return (
        (type_.ge is None or raw >= type_.ge)
        and (type_.gt is None or raw > type_.gt)
        and (type_.le is None or raw <= type_.le)
        and (type_.lt is None or raw < type_.lt)
        and (type_.multiple_of is None or raw % type_.multiple_of == 0)
    )


def expected(type_: mi.Type, means: str = "") -> str:
    """Return a description of the values that a type allows."""
    match type_:
        case mi.Metadata():
            return expected(type_.type, _form(type_) or means)
        case mi.BoolType():
            return "true or false"
        case mi.IntType() | mi.FloatType():
            return ("a whole number" if isinstance(type_, mi.IntType) else "a number") + _bounds(type_)
        case mi.StrType():
            return _expected_text(type_, means)
        case mi.LiteralType():
            return "one of " + ", ".join(map(format_value, type_.values))
        case mi.EnumType():
            return "one of " + ", ".join(format_value(one.value) for one in type_.cls)
        case mi.StructType() | mi.DictType():
            return "a table"
        case mi.TupleType() | mi.VarTupleType() | mi.ListType():
            return _expected_list(type_)
        case mi.UnionType():
            kinds = (one for one in type_.types if not isinstance(one, mi.NoneType))
            return " or ".join(expected(one, means) for one in kinds)
    return type(type_).__name__.removesuffix("Type").lower()


def _expected_text(type_: mi.StrType, means: str) -> str:
    if type_.pattern is not None and means:
        return means
    return "a text that is not empty" if type_.min_length else "a text"


def _expected_list(type_: mi.TupleType | mi.VarTupleType | mi.ListType) -> str:
    if isinstance(type_, mi.TupleType):
        return f"a list of {len(type_.item_types)}"
    if type_.max_length is not None:
        return f"a list of {type_.min_length or 0} to {type_.max_length}"
    return f"a list of at least {type_.min_length}" if type_.min_length else "a list"


def _bounds(type_: mi.IntType | mi.FloatType) -> str:
    low = f" of at least {type_.ge:.10g}" if type_.ge is not None else ""
    low = f" above {type_.gt:.10g}" if type_.gt is not None else low
    high = f" of at most {type_.le:.10g}" if type_.le is not None else ""
    high = f" below {type_.lt:.10g}" if type_.lt is not None else high
    return low + (" and" if low and high else "") + high
