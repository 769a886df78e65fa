"""Reading of firvane.toml and of the platform's JSON: conversion, checks across keys, and schemas."""

from __future__ import annotations

import contextlib
import functools
import json
import operator
import re
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core import interface as api
from firvane.core import validation
from firvane.proxy.config.checks import CHECKS
from firvane.proxy.config.file import build_config
from firvane.proxy.config.model import File
from firvane.proxy.config.platform import read_config
from firvane.proxy.config.proxy_config import Config
from firvane.simulation.emulation.checks import CHECKS as SCENARIO_CHECKS
from firvane.simulation.emulation.scenario import Scenario
from tests.proxy.config.samples import CONFIG, SCENARIO
from tests.proxy.net.helpers import seeded
from tests.proxy.test_program import config as platform

ROOT = Path(__file__).parent.parent.parent.parent
EXAMPLE = (ROOT / "deploy" / "firvane.example.toml").read_text()


def read(text: str) -> Config:
    return build_config(validation.build(validation.parse(text.encode(), "f"), File, "f", CHECKS))


def lines(text: str) -> list[str]:
    with pytest.raises(validation.ValidationError) as caught:
        read(text)
    return [line.removeprefix("f: ") for line in caught.value.lines()]


def test_the_example_file_is_converted() -> None:
    made = read(EXAMPLE)
    assert made.listen == ("127.0.0.1", 8080) and made.discovery is None and made.sockets == 1024
    assert made.zones == ("ikeja", "lekki", "yaba") and made.kinds == ("big-box", "small-box")
    view, message = made.settings.classes
    assert (view.latency_target, view.deadline, view.idempotency) == (0.5, 2.5, api.Idempotency.SAFE)
    assert (message.dedup_scope, message.dedup_window, message.value) == (api.DedupScope.ZONE, 10.0, 2.0)
    assert made.settings.limits.hedging and not made.settings.limits.peers
    assert [endpoint["name"] for endpoint in made.known["endpoints"]] == ["web-1", "web-2", "web-3"]


def test_the_defaults_in_the_example_are_the_real_ones() -> None:
    # Lines of the form `# key = value` belong to the table above them; other commented tables are skipped.
    uncommented = re.sub(r"^# (\w+ = |\[recovery\]|\[policy\])", r"\1", EXAMPLE, flags=re.MULTILINE)
    others = 'discovery|name = "lagos|share|quota_rps|listen = .*7946|me|everyone|addresses|seed'
    raw = tomllib.loads(re.sub(f"^({others}).*", "", uncommented, flags=re.MULTILINE))
    with_all = CONFIG + '[recovery]\n[policy]\nfolder = "x"\ndoors = ["127.0.0.1:1"]\n'
    default = json.loads(
        msgspec.json.encode(validation.build(validation.parse(with_all.encode(), "f"), File, "f"))
    )
    compared = 0
    not_defaults = {"limits": ("second_copies",), "recovery": ("snapshot",), "policy": ("folder", "doors")}
    for table in ("rules", "log", "limits", "recovery", "policy"):
        for key, value in raw[table].items():
            if key not in not_defaults.get(table, ()):
                assert value == default[table][key], (table, key)
                compared += 1
    assert compared >= 28 and raw["remembers_keys"] is default["remembers_keys"]


@pytest.mark.parametrize(
    ("old", "new", "line"),
    [
        ("aim_ms = 500", "aim_ms = 5000", "classes[0].aim_ms: is above deadline_ms, 2000"),
        (
            'repeat = "safe"',
            'repeat = "safe"\n[recovery]\nsnapshot = "/nowhere/s"',
            "recovery.snapshot: is '/nowhere/s', and there is no folder /nowhere",
        ),
        (
            'repeat = "safe"',
            'repeat = "safe"\n[recovery]\nsnapshot_every = 1',
            "recovery.snapshot_every: unknown key; did you mean snapshot_every_s?",
        ),
        (
            'name = "read"',
            'name = "up"',
            "classes[0].name: is taken: GET /up tells whether the proxy is ready",
        ),
        (
            'repeat = "safe"',
            'repeat = "keyed"',
            "classes[0].repeats_dropped_for_s: is missing: a keyed class",
        ),
        (
            "127.0.0.1:10",
            "127.0.0.1:9",
            "target_group.targets[1].address: is the same address as in targets[0]",
        ),
        (
            "127.0.0.1:10",
            "127.0.0.1:0",
            "target_group.targets[1].address: is where this proxy itself listens",
        ),
        (
            "[target_group]",
            '[target_group]\ndiscovery = "1.1.1.1:1"',
            "target_group.targets: conflicts with discovery",
        ),
        ("targets = [", "targets = [] # [", "target_group: has neither discovery nor targets"),
        ('name = "edge"', 'zones = ["a"]', "zone: is missing, and zones is set"),
        (
            'name = "edge"',
            'peers = { listen = "1.1.1.1:1", addresses = ["1.1.1.2:1"] }',
            "peers.listen: is not",
        ),
        ('name = "edge"', "limits = { memory_mb = 8 }", "limits.memory_mb: is 8: at least 21 are needed"),
        ('name = "edge"', "limits = { sockets = 20 }", "limits.sockets: "),
        ('name = "edge"', 'tenants = [{name="a",share=0.7},{name="b",share=0.7}]', "tenants: have shares"),
    ],
)
def test_conflicting_keys_are_reported(old: str, new: str, line: str) -> None:
    assert old in CONFIG
    assert [found for found in lines(CONFIG.replace(old, new)) if found.startswith(line)]


def test_a_proxy_finds_its_index_in_peers() -> None:
    peers = 'peers = {{ listen = "{}", addresses = ["1.1.1.1:1", "1.1.1.2:1"]{} }}'
    for listen, more, me in (("1.1.1.2:1", "", 1), ("1.1.1.9:1", ", me = 0", 0)):
        made = read(CONFIG.replace('name = "edge"', peers.format(listen, more)))
        assert made.settings.me == me and made.settings.proxies == 2 and made.settings.limits.peers


def test_the_schemas_accept_valid_files_and_reject_unknown_keys() -> None:
    # There is no schema validator among the dependencies, so this checks keys and types as an editor would.
    def fits(value: Any, schema: dict[str, Any], defs: dict[str, Any]) -> bool:
        if "$ref" in schema:
            return fits(value, defs[schema["$ref"].rpartition("/")[2]], defs)
        if "anyOf" in schema:
            return any(fits(value, one, defs) for one in schema["anyOf"])
        if isinstance(value, dict):
            known = schema.get("properties", {})
            missing = set(schema.get("required", ())) - value.keys()
            return not missing and all(k in known and fits(v, known[k], defs) for k, v in value.items())
        if isinstance(value, list):
            items = schema.get("prefixItems") or [schema["items"]] * len(value)
            return all(fits(one, item, defs) for one, item in zip(value, items, strict=True))
        if "enum" in schema:
            return value in schema["enum"]
        kinds = {bool: ("boolean",), int: ("integer", "number"), float: ("number",), str: ("string",)}
        pattern = schema.get("pattern", "")
        return schema["type"] in kinds[type(value)] and (not pattern or re.search(pattern, value) is not None)

    for kind, texts in ((File, (CONFIG, EXAMPLE)), (Scenario, (SCENARIO,))):
        schema = msgspec.json.schema(kind)
        for text in texts:
            raw = tomllib.loads(text)
            assert fits(raw, schema, schema["$defs"]) and not fits({**raw, "xx": 1}, schema, schema["$defs"])


@pytest.mark.parametrize(
    ("old", "new", "line"),
    [
        ("seconds = 5", "seconds = 0.4", "seconds: is 0.4, below 1"),
        ("rate = 50", "work_ms = [9, 3]", "load.work_ms: is a range from 9 down to 3"),
        ("at_s = 2", "at_s = 9", "troubles[0].at_s: is 9, and the whole lasts 5 s"),
        ("for_s = 1", 'zone = "mars"', "troubles[0].zone: is 'mars', not one of ikeja, lekki, yaba"),
        ("for_s = 1", "part = 1.5", "troubles[0].part: is 1.5, above 1"),
        ("for_s = 1", "proxy = 3", "troubles[0].proxy: is 3, and there are 3 proxies, from 0"),
    ],
)
def test_an_invalid_scenario_is_reported(old: str, new: str, line: str) -> None:
    with pytest.raises(validation.ValidationError) as caught:
        text = SCENARIO.replace(old, new).encode()
        validation.build(validation.parse(text, "f"), Scenario, "f", SCENARIO_CHECKS)
    assert f"f: {line}" in caught.value.lines()


def paths(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of each value within nested containers."""
    for key, inner in value.items() if isinstance(value, dict) else enumerate(value):
        yield (*path, key)
        if isinstance(inner, dict | list):
            yield from paths(inner, (*path, key))


INVALID_VALUES = (1e999, -1, None, [], "x", 10**400, [{}], "\ud800", -1e9)


def test_any_invalid_value_in_the_platform_s_file_raises_value_error(tmp_path: Path) -> None:
    # Each value is replaced by a value of every other type, since a faulty writer may produce any of them.
    env = platform(tmp_path, peers=["1.1.1.1:2"], peer_listen="1.1.1.1:2", peers_all="1.1.1.1:2")
    path = Path(env["NODE_CONFIG"])
    valid = json.loads(path.read_text())
    for *parents, last in paths(valid):
        for value in INVALID_VALUES:
            broken = json.loads(json.dumps(valid))
            functools.reduce(operator.getitem, parents, broken)[last] = value
            path.write_text(json.dumps(broken))
            with contextlib.suppress(ValueError):
                read_config(env)


@seeded
@given(st.binary(max_size=60) | st.sampled_from([b"[", b'{"settings":', b"1"]), st.integers(0, 1400))
def test_any_invalid_bytes_in_the_platform_s_file_raise_value_error(
    tmp_path_factory: pytest.TempPathFactory, data: bytes, place: int
) -> None:
    env = platform(tmp_path_factory.mktemp("platform"))
    path = Path(env["NODE_CONFIG"])
    valid = path.read_bytes()
    for text in (data, 100_000 * data, valid[:place] + data + valid[place + 9 :]):
        path.write_bytes(text)
        with contextlib.suppress(ValueError):
            read_config(env)
