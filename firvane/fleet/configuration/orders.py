"""Operators' orders and their results, and the codec of their records."""

from __future__ import annotations

import enum
import hashlib
import struct
from collections.abc import Sequence
from typing import NamedTuple

from msgspec import Struct

from firvane.fleet.configuration import ConfigurationError
from firvane.fleet.configuration.codes import ResultCode, code_of

RECORD_VERSION = 1
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_PROBLEMS = 200
MAX_TEXT_BYTES = 400
MAX_VERSION = 2**63 - 1
DIGEST_BYTES = 16

_ORDER_HEADER = struct.Struct("!BBQI")  # record version, kind, base, length of the body
_RESULT_HEADER = struct.Struct("!BHQH")  # record version, code, configuration version, number of problems
_PROBLEM_HEADER = struct.Struct("!HHH")  # code, lengths of the place and of the detail


class RecordError(ConfigurationError, ValueError):
    """A record is cut off, oversized, of an unknown version or otherwise malformed."""


class OrderKind(enum.IntEnum):
    """The effect of an order on the current configuration."""

    REPLACE = 1
    MODIFY = 2


class Order(Struct, frozen=True):
    """An operator's order: `base` is the version to apply the order to, `body` the text as received."""

    kind: OrderKind
    base: int
    body: bytes

    def digest(self) -> bytes:
        """The digest by which a repeated order is recognised."""
        header = _ORDER_HEADER.pack(RECORD_VERSION, self.kind, self.base, len(self.body))
        return hashlib.blake2b(header + self.body, digest_size=DIGEST_BYTES).digest()

    def pack(self) -> bytes:
        """Encode as a record; `RecordError` if the base or the body is out of bounds."""
        if not 0 <= self.base <= MAX_VERSION:
            raise RecordError("the base version is out of bounds")
        if len(self.body) > MAX_BODY_BYTES:
            raise RecordError("the body is too large")
        return _ORDER_HEADER.pack(RECORD_VERSION, self.kind, self.base, len(self.body)) + self.body

    @classmethod
    def unpack(cls, record: bytes) -> Order:
        """Decode a record; `RecordError` if it is malformed."""
        if len(record) < _ORDER_HEADER.size:
            raise RecordError("the header of the order is truncated")
        record_version, kind, base, length = _ORDER_HEADER.unpack_from(record)
        if record_version != RECORD_VERSION:
            raise RecordError(f"unknown version {record_version} of an order's record")
        if length > MAX_BODY_BYTES or length != len(record) - _ORDER_HEADER.size:
            raise RecordError("the length of the order differs from its header")
        if base > MAX_VERSION:
            raise RecordError("the base version is out of bounds")
        try:
            order_kind = OrderKind(kind)
        except ValueError:
            raise RecordError(f"unknown kind {kind} of order") from None
        return cls(order_kind, base, bytes(record[_ORDER_HEADER.size :]))


class Problem(Struct, frozen=True):
    """One error in a document: its code, its place (`routes[NAME].timeout_ms`) and a description."""

    code: ResultCode
    place: str
    detail: str

    def __str__(self) -> str:
        place = f"{self.place}: " if self.place else ""
        return f"{self.code.value} {place}{self.detail}"


class Result(Struct, frozen=True):
    """The result of an order; `version` is the configuration version after the order."""

    code: ResultCode
    version: int
    problems: tuple[Problem, ...] = ()

    def pack(self) -> bytes:
        """Encode as a record; problems beyond `MAX_PROBLEMS` and long texts are truncated."""
        problems = self.problems[:MAX_PROBLEMS]
        chunks = [_RESULT_HEADER.pack(RECORD_VERSION, self.code, self.version, len(problems))]
        chunks.extend(_pack_problem(problem) for problem in problems)
        return b"".join(chunks)

    @classmethod
    def unpack(cls, record: bytes) -> Result:
        """Decode a record; `RecordError` if it is malformed."""
        try:
            record_version, code, version, count = _RESULT_HEADER.unpack_from(record)
            if record_version != RECORD_VERSION:
                raise RecordError(f"unknown version {record_version} of a result's record")
            if count > MAX_PROBLEMS:
                raise RecordError("too many problems")
            problems, end = _unpack_problems(record, _RESULT_HEADER.size, count)
            if end != len(record):
                raise RecordError("bytes follow the result")
            return cls(code_of(code), version, problems)
        except (struct.error, ValueError) as error:
            raise RecordError(f"unreadable result: {error}") from error


def invalid(version: int, problems: Sequence[Problem]) -> Result:
    """Return the result that rejects a document with these problems."""
    return Result(ResultCode.INVALID, version, tuple(problems[:MAX_PROBLEMS]))


def _pack_problem(problem: Problem) -> bytes:
    place = _encode_truncated(problem.place)
    detail = _encode_truncated(problem.detail)
    return _PROBLEM_HEADER.pack(problem.code, len(place), len(detail)) + place + detail


def _encode_truncated(text: str) -> bytes:
    encoded = text.encode("utf-8", "replace")
    if len(encoded) <= MAX_TEXT_BYTES:
        return encoded
    return encoded[:MAX_TEXT_BYTES].decode("utf-8", "ignore").encode()


class _DecodedProblems(NamedTuple):
    problems: tuple[Problem, ...]
    end: int  # offset of the byte after the problems


def _unpack_problems(record: bytes, offset: int, count: int) -> _DecodedProblems:
    problems = []
    for _ in range(count):
        code, place_length, detail_length = _PROBLEM_HEADER.unpack_from(record, offset)
        if max(place_length, detail_length) > MAX_TEXT_BYTES:
            raise RecordError("a place or detail is too long")
        place_start = offset + _PROBLEM_HEADER.size
        detail_start = place_start + place_length
        offset = detail_start + detail_length
        if offset > len(record):
            raise RecordError("the result is truncated")
        place = record[place_start:detail_start].decode()
        detail = record[detail_start:offset].decode()
        problems.append(Problem(code_of(code), place, detail))
    return _DecodedProblems(tuple(problems), offset)
