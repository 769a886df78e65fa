"""Parses answers of the operators' API."""

from __future__ import annotations

import msgspec

from firvane.fleet.configuration.codes import code_of
from firvane.fleet.configuration.orders import Problem, Result


class AnswerError(ValueError):
    """A body is not an answer of this API."""


class _ProblemEntry(msgspec.Struct):
    code: int
    place: str
    detail: str


class _AnswerEntry(msgspec.Struct):
    code: int
    config_version: int
    problems: list[_ProblemEntry] = []


class _VersionEntry(msgspec.Struct):
    config_version: int


def read_answer(body: bytes) -> Result:
    """Return the result in a body; raises `AnswerError` if there is none."""
    try:
        entry = msgspec.json.decode(body, type=_AnswerEntry)
        problems = (
            Problem(code_of(problem.code), problem.place, problem.detail) for problem in entry.problems
        )
        return Result(code_of(entry.code), entry.config_version, tuple(problems))
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise AnswerError(f"the body is not an answer: {error}") from error


class _CodeEntry(msgspec.Struct):
    code: int


def describe_failure(status: int, body: bytes) -> str:
    """Return the status of an answer as text, with result code and meaning if the body has a code."""
    try:
        code = code_of(msgspec.json.decode(body, type=_CodeEntry).code)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return f"status {status}"
    return f"status {status}: {code.value} {code.meaning}"


def read_version(document: bytes) -> int:
    """Return the version of a configuration; raises `AnswerError` for an invalid document."""
    try:
        return msgspec.json.decode(document, type=_VersionEntry).config_version
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise AnswerError(f"the body is not a configuration: {error}") from error
