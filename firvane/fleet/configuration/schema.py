"""Validates types and bounds of single items with cerberus.

Cerberus is imported by the first validation, so that processes that never validate do not load it. Members
without a schema are allowed.
"""

from __future__ import annotations

import functools
from collections.abc import Iterator
from typing import Any

from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.document import LIMITS, ROUTES, SERVICES, TENANTS
from firvane.fleet.configuration.orders import Problem

MAX_NUMBER = 2**53  # the largest integer that every JSON decoder preserves
MAX_TEXT_CHARACTERS = 4096

_TEXT = {"type": "string", "maxlength": MAX_TEXT_CHARACTERS, "empty": False, "required": True}
_OPTIONAL_TEXT = {"type": "string", "maxlength": MAX_TEXT_CHARACTERS, "nullable": True}
_OPTIONAL_BOOLEAN = {"type": "boolean", "nullable": True}
_OPTIONAL_COUNT = {"type": "integer", "min": 0, "max": MAX_NUMBER, "nullable": True}
_OPTIONAL_NON_NEGATIVE = {"type": "number", "min": 0, "max": MAX_NUMBER, "nullable": True}
_REQUIRED_NON_NEGATIVE = {"type": "number", "min": 0, "max": MAX_NUMBER, "required": True}

_TARGET = {
    "service": _TEXT,
    "weight": {"type": "number", "min": 0, "max": MAX_NUMBER, "required": True},
}
_ROUTE = {
    "name": _TEXT,
    "host": _TEXT,
    "path_prefix": _TEXT,
    "kind": _OPTIONAL_TEXT,
    "timeout_ms": _REQUIRED_NON_NEGATIVE,
    "target_latency_ms": _OPTIONAL_NON_NEGATIVE,
    "gap_aim_ms": _OPTIONAL_NON_NEGATIVE,
    "priority": {"type": "integer", "min": -MAX_NUMBER, "max": MAX_NUMBER, "nullable": True},
    "max_attempts": _OPTIONAL_COUNT,
    "session_affinity": _OPTIONAL_BOOLEAN,
    "stream_resume": _OPTIONAL_BOOLEAN,
    "anonymous": _OPTIONAL_BOOLEAN,
    "service": _OPTIONAL_TEXT,
    "weighted_split": {"type": "list", "nullable": True, "schema": {"type": "dict", "schema": _TARGET}},
}
_MODEL = {"name": _TEXT}
_ENGINE = {
    "slots": _OPTIONAL_COUNT,
    "cache_tokens": _OPTIONAL_COUNT,
    "cache_token_bytes": _OPTIONAL_NON_NEGATIVE,
    "link_mbps": _OPTIONAL_NON_NEGATIVE,
    "stride": _OPTIONAL_COUNT,
    "models": {"type": "list", "nullable": True, "schema": {"type": "dict", "schema": _MODEL}},
}
_SERVICE = {
    "name": _TEXT,
    "health_path": _OPTIONAL_TEXT,
    "connection_limit": _OPTIONAL_COUNT,
    "protocol": _OPTIONAL_TEXT,
    "tls": _OPTIONAL_BOOLEAN,
    "engine": {"type": "dict", "nullable": True, "schema": _ENGINE},
}
_LIMITS = {
    "max_header_bytes": _OPTIONAL_COUNT,
    "max_body_bytes": _OPTIONAL_COUNT,
    "header_timeout_ms": _OPTIONAL_NON_NEGATIVE,
    "idle_timeout_ms": _OPTIONAL_NON_NEGATIVE,
}
_TENANT = {
    "name": _TEXT,
    "api_keys": {"type": "list", "nullable": True, "schema": _TEXT},
    "priority": {"type": "integer", "min": -MAX_NUMBER, "max": MAX_NUMBER, "nullable": True},
    "unit": _OPTIONAL_TEXT,
    "uncached_tokens": _OPTIONAL_COUNT,
    "rate_per_s": _OPTIONAL_NON_NEGATIVE,
    "burst_size": _OPTIONAL_NON_NEGATIVE,
}
_SCHEMAS = {ROUTES: _ROUTE, SERVICES: _SERVICE, LIMITS: _LIMITS, TENANTS: _TENANT}

_RANGE_RULES = ("min", "max", "maxlength", "empty")


class ItemSchemas:
    """The cerberus validators of the members of a document, each created on first use."""

    def __init__(self) -> None:
        self._validators: dict[str, Any] = {}

    def has_schema(self, key: str) -> bool:
        """Whether items of this member of a document have a schema."""
        return key in _SCHEMAS

    def find_problems(self, key: str, item: Any, place: str) -> Iterator[Problem]:
        """Yield every problem of one item of the member `key`."""
        if not isinstance(item, dict):
            yield Problem(ResultCode.WRONG_TYPE, place, "must be an object")
            return
        validator = self._validator(key)
        try:
            if not validator.validate(item, normalize=False):
                for error in validator._errors:
                    yield from _problems(error, place)
        finally:
            _release_values(validator)

    def _validator(self, key: str) -> Any:
        if key not in self._validators:
            self._validators[key] = _validator_class()(_SCHEMAS[key], allow_unknown=True)
        return self._validators[key]


def _release_values(validator: Any) -> None:
    """Release the validated item, which reference cycles of cerberus errors would keep alive."""
    validator.document = None
    for error in validator._errors:
        _release_value(error)


def _release_value(error: Any) -> None:
    error.value = None
    for child in error.child_errors or ():
        _release_value(child)


@functools.cache
def _validator_class() -> Any:
    """A cerberus validator class for which `true` and `false` are not integers."""
    import cerberus  # slow to import, so only for validation

    integer = cerberus.TypeDefinition("integer", (int,), (bool,))
    types = {**cerberus.Validator.types_mapping, "integer": integer}
    return type("StrictValidator", (cerberus.Validator,), {"types_mapping": types})


def _problems(error: Any, place: str) -> Iterator[Problem]:
    """Yield one problem per leaf of a cerberus error; its child errors are in nested lists and objects."""
    children = error.child_errors
    if children:
        for child in children:
            yield from _problems(child, place)
        return
    problem_place = place + "".join(_path_segment(part) for part in error.document_path)
    if error.rule == "required":
        yield Problem(ResultCode.MISSING_FIELD, problem_place, "must be there")
    elif error.rule in _RANGE_RULES:
        yield Problem(ResultCode.OUT_OF_RANGE, problem_place, f"must keep to {error.rule} {error.constraint}")
    else:
        yield Problem(ResultCode.WRONG_TYPE, problem_place, f"must be of type {error.constraint}")


def _path_segment(part: Any) -> str:
    return f"[{part}]" if isinstance(part, int) else f".{part}"
