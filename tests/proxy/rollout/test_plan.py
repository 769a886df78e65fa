"""Plans: defaults, and the violations of invalid plans."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from firvane.cli import main
from firvane.core import validation
from firvane.proxy.rollout.plan import digest, parse

PLAN = """
[roll]
version = "b"
old = "a"
[version.a]
command = ["old/bin/firvane", "serve", "firvane.toml"]
[version.b]
command = ["new/bin/firvane", "serve", "firvane.toml"]
environment = {MODE = "x"}
""" + "".join(
    f'[[place]]\nname = "p{n}"\nzone = "z{n % 3}"\n'
    f'door = "127.0.0.1:{100 + n}"\nops = "127.0.0.1:{200 + n}"\n'
    for n in range(12)
)


def test_a_plan_has_default_stages_and_a_digest_of_its_text() -> None:
    plan = parse(PLAN.encode())
    assert [plan.target_count(n) for n in range(4)] == [1, 2, 6, 12]
    assert plan.replacement_order()[:4] == ("p0", "p1", "p2", "p3")  # round-robin over zones
    assert plan.max_unavailable("z0") == 1 and plan.max_unavailable("nowhere") == 1
    assert digest(PLAN.encode()) != digest(PLAN.encode() + b"\n")


@pytest.mark.parametrize(
    "old,new,keys",
    [
        ('version = "b"', 'version = "c"', ["roll.version"]),
        ('old = "a"', 'old = "b"', ["roll.version"]),
        ('name = "p3"', 'name = "p2"', ["place[3].name"]),
        ("127.0.0.1:104", "127.0.0.1:103", ["place[4].door"]),
        ("[roll]", "[[stage]]\npart = 0.5\n[[stage]]\npart = 0.2\n[roll]", ["stage[1].part"] * 2),
        ("[roll]", "[[stage]]\npart = 1.0\nlongest_s = 60\n[roll]", ["stage[0].longest_s"]),
        ('"p3"', '"p 3"', ["place[3].name"]),
        ("[roll]", "[compare]\nalpha = 0.9\n[compare.harms]\nrefuse = 1\n[roll]",
         ["compare.alpha", "compare.harms.refuse"]),
    ],
)  # fmt: skip
def test_all_violations_of_a_plan_are_reported_together(old: str, new: str, keys: list[str]) -> None:
    with pytest.raises(validation.ValidationError) as raised:
        parse(PLAN.replace(old, new).encode())
    assert [violation.key for violation in raised.value.violations] == keys


def test_the_check_command_accepts_a_plan(tmp_path: Path, capsys: Any) -> None:
    file = tmp_path / "roll.toml"
    file.write_text(PLAN)
    assert main(["check", str(file)]) == 0
    assert "from a to b: 1, 2, 6, 12 of 12 places" in capsys.readouterr().out
    file.write_text(PLAN.replace('old = "a"', 'old = "z"\nat_onec = 2'))
    assert main(["check", str(file)]) == 2
    assert "did you mean at_once" in capsys.readouterr().err
