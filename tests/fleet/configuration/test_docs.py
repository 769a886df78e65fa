"""The examples in docs/configuration.md give the results on the page."""

from __future__ import annotations

import json
import re
from pathlib import Path

from firvane.fleet.configuration.checker import Checker
from firvane.fleet.configuration.orders import Order, OrderKind, Result
from firvane.fleet.configuration.state import ConfigurationState

PAGE = Path(__file__).parents[3] / "docs" / "configuration.md"
KINDS = {"replace": OrderKind.REPLACE, "modify": OrderKind.MODIFY}


def examples() -> list[tuple[Order, int, object]]:
    """Each order on the page, with the status and body of its response."""
    text = PAGE.read_text().split("## Examples")[1].split("## The client")[0]
    form = r"POST /v1/config/(\w+)\n +X-Base-Version: (\d+)\n\n(.+?)\n\n +(\d+)\n(.+?)\n\n"
    return [
        (Order(KINDS[kind], int(base), body.encode()), int(status), json.loads(answer))
        for kind, base, body, status, answer in re.findall(form, text, re.DOTALL)
    ]


def test_the_examples_have_the_results_on_the_page() -> None:
    state = ConfigurationState()
    assert len(examples()) == 2
    for order, status, answer in examples():
        checked = Checker(state, order).finish()
        result = Result.unpack(state.apply(1, order.pack()))
        assert checked == result
        assert result.code.http_status == status
        assert answer == {
            "code": result.code.value,
            "result": result.code.name.lower(),
            "config_version": result.version,
            "problems": [
                {"code": each.code.value, "place": each.place, "detail": each.detail}
                for each in result.problems
            ],
        }
