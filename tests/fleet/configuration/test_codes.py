"""The numbers of the result codes, and their table in the docs."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from firvane.fleet.configuration.codes import ResultCode, code_of

TABLE = Path(__file__).parents[3] / "docs" / "result-codes.md"


def test_the_docs_list_every_code_with_its_status_and_meaning() -> None:
    rows = re.findall(r"^\| (\d+) \| `(\w+)` \| (\d+) \| (.+) \|$", TABLE.read_text(), re.MULTILINE)
    written = [(int(number), name, int(status), meaning) for number, name, status, meaning in rows]
    assert written == [(code.value, code.name, code.http_status, code.meaning) for code in ResultCode]


def test_a_code_is_found_by_its_number() -> None:
    for code in ResultCode:
        assert code_of(int(code)) is code
    with pytest.raises(ValueError, match="4711"):
        code_of(4711)


def test_only_applied_orders_are_acknowledged() -> None:
    acknowledged = {code for code in ResultCode if code.is_acknowledgement}
    assert acknowledged == {ResultCode.ACCEPTED, ResultCode.REPEATED}
    assert all(code.http_status == 200 for code in acknowledged)


def test_undecided_results_are_5xx_and_invalid_calls_4xx() -> None:
    assert all(code.http_status >= 500 for code in ResultCode if code >= 5000)
    assert all(400 <= code.http_status < 500 for code in ResultCode if 2000 <= code < 5000)
