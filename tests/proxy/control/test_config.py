"""Validation of `[control]`, and which programs accept a file with it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from firvane.core import validation
from firvane.proxy.config.checks import CHECKS
from firvane.proxy.config.file import read_file
from firvane.proxy.config.model import File
from firvane.proxy.control.main import read
from tests.proxy.control.live import FILE

EXAMPLE = Path(__file__).resolve().parents[3] / "deploy/control.example.toml"
TIER = {"listen": "127.0.0.1:7946", "addresses": ["127.0.0.1:7946", "127.0.0.1:7947"]}


@pytest.mark.parametrize(
    ("control", "other_tables", "message"),
    [
        ({"service": ""}, {}, "control.service: must be a text that is not empty"),
        ({"setle_ms": 1}, {}, "did you mean settle_ms?"),
        ({"settle_ms": 900.0}, {}, "control.most_ms: is below settle_ms"),
        ({"keep_s": 1.0, "report_s": 1.0}, {}, "control.keep_s: is below two reports"),
        ({"panic": 1.0}, {}, "control.panic: must be a number of at least 0 and of at most 0.9"),
        ({"counts_as": 2}, {}, "control.counts_as: needs that many addresses in peers"),
        ({"counts_as": 3}, {"peers": TIER}, "control.counts_as: needs that many addresses in peers"),
        ({"tls": {"certificate": "a", "key": "b"}}, {}, "control.tls.authority: is missing"),
    ],
)
def test_invalid_control_settings_are_reported(
    control: dict[str, Any], other_tables: dict[str, Any], message: str
) -> None:
    fields = {"target_group": {"discovery": "127.0.0.1:1"}, "control": {"service": "web", **control}}
    raw = {**FILE, **fields, **other_tables}
    with pytest.raises(validation.ValidationError) as raised:
        validation.build(raw, File, "test.toml", CHECKS)
    assert message in str(raised.value) and len(raised.value.violations) == 1


def test_the_example_is_read_by_the_service_and_not_by_a_proxy(tmp_path: Path) -> None:
    config, control_settings = read(str(EXAMPLE))
    assert control_settings.service == "lagos-web" and config.listen == ("127.0.0.1", 18000)
    with pytest.raises(validation.ValidationError, match="firvane control FILE"):
        read_file(EXAMPLE)
    plain = tmp_path / "firvane.toml"
    plain.write_text(EXAMPLE.read_text().replace("[control]", "[rules]").replace('service = "lagos-web"', ""))
    with pytest.raises(validation.ValidationError, match="control: is missing"):
        read(str(plain))
