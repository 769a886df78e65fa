"""Policies: parsing, all errors at once, application to a proxy's settings, and rendering of settings."""

from __future__ import annotations

import contextlib
import re
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.core import interface as api
from firvane.core import validation
from firvane.proxy.config import policy as module
from firvane.proxy.config.platform import read_config
from firvane.proxy.config.policy import Policy, parse, render, settings
from firvane.proxy.config.proxy_config import MAX_VOTERS, PolicyOptions
from firvane.proxy.policy_text import MAX_TEXT_BYTES
from firvane.proxy.quorum import types
from tests.helpers import settings as plain
from tests.proxy.config.samples import CONFIG
from tests.proxy.config.test_file import lines, read
from tests.proxy.net.helpers import seeded
from tests.proxy.test_program import config as platform

DOORS = [f"127.0.0.1:{port}" for port in (7, 8, 9)]
PEERS = [f"127.0.0.1:{port}" for port in (1, 2, 3)]
TIER = f'''ops = "{DOORS[0]}"
peers = {{ listen = "{PEERS[0]}", addresses = {PEERS} }}
{CONFIG}[policy]
folder = "."
doors = {DOORS}
'''
KEYED = api.Idempotency.KEYED

# Whole milliseconds, as the platform sends them, and fractions, as a file may contain.
spans = st.integers(1, 3_600_000).map(lambda ms: ms / 1000) | st.floats(0.01, 3.6e6).map(lambda ms: ms / 1000)
numbers, parts = st.floats(0, 1e6) | st.integers(0, 10**6), st.floats(0, 1)
classes = st.builds(
    lambda a, b, **more: api.RequestClass(latency_target=min(a, b), deadline=max(a, b), **more), spans, spans,
    name=st.text("abCD09._~-", min_size=1, max_size=9), value=st.floats(1e-6, 1e6),
    late_value_fraction=parts, idempotency=st.sampled_from(api.Idempotency),
    dedup_scope=st.sampled_from(api.DedupScope),
    dedup_window=st.floats(0.001, 1e5), stream=st.booleans(), latency_target_stretch=parts,
)  # fmt: skip
tenants = st.builds(api.Tenant, st.text(min_size=1, max_size=20), st.floats(0, 0.25), numbers)
rules = st.builds(api.Rules, spans, numbers, st.floats(0.01, 1), spans, spans, numbers, numbers)
limits = st.builds(
    api.Limits, st.integers(1, 16), max_retry_after=numbers, max_open_requests=st.integers(1, 1 << 30),
    connect_timeout=st.integers(1, 60_000).map(lambda ms: ms / 1000), connection_idle_timeout=spans,
    **dict.fromkeys(("cancel", "hedging", "peers", "probes", "retry_after"), st.booleans()),
)  # fmt: skip
drawn = st.builds(
    plain, rules=rules, limits=limits, over_quota_value=parts, key_affinity=st.booleans(),
    classes=st.lists(classes, min_size=1, max_size=4, unique_by=lambda cls: cls.name).map(tuple),
    tenants=st.lists(tenants, max_size=4, unique_by=lambda tenant: tenant.name).map(tuple),
)  # fmt: skip


@seeded
@given(drawn)
def test_a_rendered_policy_applied_to_its_settings_changes_nothing(base: api.Settings) -> None:
    assert settings(parse(render(base)), base) == base


def test_a_rendering_that_drops_a_key_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    # Mutant: rendering omits a limit, so two proxies could differ in it in the same epoch.
    base, other = plain(), plain(limits=api.Limits(max_attempts=1))
    assert settings(parse(render(base)), other).limits.max_attempts == base.limits.max_attempts
    monkeypatch.delitem(module.LIMITS, "attempts")
    assert settings(parse(render(base)), other).limits.max_attempts != base.limits.max_attempts


@pytest.mark.parametrize(
    ("text", "changed"),
    [
        ("over_share_worth = 0.5", {"over_quota_value": 0.5}),
        ("tenants = []", {"tenants": ()}),
        ("[limits]\nattempts = 2\nconnect_ms = 100", {"limits": {"max_attempts": 2, "connect_timeout": 0.1}}),
        ("[rules]\nanswer_slack_ms = 5", {"rules": {"answer_slack": 0.005}}),
        ('{"voters": [0, 2]}', {}),
    ],
)
def test_keys_missing_in_a_policy_keep_their_values(text: str, changed: dict[str, Any]) -> None:
    base = plain(tenants=(api.Tenant("a", 0.5),), proxies=3)
    wanted = {n: replace(getattr(base, n), **v) if isinstance(v, dict) else v for n, v in changed.items()}
    assert settings(parse(text.encode()), base) == replace(base, **wanted)


@pytest.mark.parametrize(
    ("text", "reasons"),
    [
        (
            'listen = "1"\nvoters = [0,1,2,3,4,5]\nlimits.attempts = 0\nlimits.sockets = 64\nrules.cold = 3\n'
            '[[tenants]]\n[[classes]]\nname = "read"\naim_ms = 9\ndeadline_ms = 8\n',
            [
                "classes[0].aim_ms: is above deadline_ms, 8",
                "tenants[0].name: is missing: a text that is not empty",
                "rules.cold: unknown key; did you mean cold_s?",
                "limits.attempts: must be a whole number of at least 1 and of at most 16, given 0",
                "limits.sockets: unknown key",
                "voters: must be a list of 1 to 5, given a list of 6",
                "listen: unknown key",
            ],
        ),
        ("voters = [1, 1]", ["voters: are not in ascending order, each of them once"]),
        (
            'tenants = [{name="a",share=0.7},{name="a",share=0.7}]',
            [
                "tenants[1].name: is the same tenant as in tenants[0].name",
                "tenants: have shares that add up to 1.4, above 1",
            ],
        ),
        ("tenants = []\n" + "#" * MAX_TEXT_BYTES, ["larger than 64 KiB"]),
    ],
)  # fmt: skip
def test_all_errors_of_a_policy_are_reported_together(text: str, reasons: list[str]) -> None:
    with pytest.raises(validation.ValidationError) as caught:
        parse(text.encode(), "p")
    assert list(caught.value.lines()) == [f"p: {reason}" for reason in reasons]


@seeded
@given(st.binary(max_size=200), st.integers(0, 2000))
def test_any_bytes_are_a_policy_or_a_validation_error(data: bytes, place: int) -> None:
    whole = render(plain())
    for text in (data, whole[:place] + data + whole[place + 9 :], whole[:place]):
        with contextlib.suppress(validation.ValidationError):
            assert isinstance(parse(text), Policy)
    with pytest.raises(validation.ValidationError, match="says nothing"):
        parse(b"")


def test_settings_that_are_invalid_in_a_policy_are_not_rendered() -> None:
    late, keyless = (
        replace(plain().classes[0], latency_target=9.0),
        replace(plain().classes[0], idempotency=KEYED),
    )
    tenants = (api.Tenant("\ud800"),), (api.Tenant("a", 2.0),)
    for base in (*(plain(classes=(c,)) for c in (late, keyless)), *(plain(tenants=t) for t in tenants)):
        with pytest.raises(validation.ValidationError):
            render(base)
    with pytest.raises(validation.ValidationError, match="voters: names proxy 3, and there are 3"):
        settings(parse(b"voters = [0, 3]"), plain(proxies=3))


def test_duplicated_constants_are_equal() -> None:
    timing = types.Timing()
    assert (MAX_VOTERS, PolicyOptions.lease_duration_s, PolicyOptions.max_round_trip_s) == (
        types.MAX_VOTERS,
        timing.lease_s,
        timing.round_trip_s,
    )


# [policy] in both forms of the configuration

KEYS = {"without_lease": "serve", "lease_s": 1, "trip_ms": 50, "tell": True, "voters": [1]}


def platform_policy(directory: Path, **policy: Any) -> PolicyOptions | None:
    given = {"folder": ".", "doors": DOORS, **policy}
    return read_config(
        platform(directory, policy=given, ops=DOORS[0], peers=PEERS, peer_listen=PEERS[0])
    ).policy


def test_both_file_formats_give_the_same_options(tmp_path: Path) -> None:
    doors = tuple(("127.0.0.1", port) for port in (7, 8, 9))
    assert read(TIER).policy == platform_policy(tmp_path) == PolicyOptions(".", (0, 1, 2), doors)
    more = "".join(f"{key} = {module._value(v) if key != 'voters' else v}\n" for key, v in KEYS.items())
    wanted = PolicyOptions(".", (1,), doors, True, 1.0, 0.05, True)
    assert read(TIER + more).policy == platform_policy(tmp_path, **KEYS) == wanted
    assert read(CONFIG).policy is read_config(platform(tmp_path)).policy is None


@pytest.mark.parametrize(
    ("old", "new", "line"),
    [
        ("ops =", "# ops =", "policy: needs ops"),
        ("127.0.0.1:7", "127.0.0.1:0", "ops: must have a port that the other proxies know"),
        ("peers =", "# peers =", "policy: needs peers"),
        ("[policy]", "[policy]\nvoters = [0, 3]", "policy.voters: names proxy 3, and there are 3"),
        ("[policy]", "[policy]\nvoters = [1, 0]", "policy.voters: are not in ascending order"),
        (", '127.0.0.1:9']", "]", "policy.doors: are 2, and there are 3 addresses in peers: one for each"),
        ("127.0.0.1:9", "127.0.0.1:8", "policy.doors[2]: is the same address as in doors[1]"),
        ('ops = "127.0.0.1:7"', 'ops = "127.0.0.1:8"', "policy.doors: has ops at 1, and this is proxy 0"),
        ('folder = "."', 'folder = "/nowhere"', "policy.folder: is '/nowhere', and there is no folder"),
        ("[policy]", "[policy]\ntrip_ms = 800", "policy.trip_ms: is 800, not above 0 and up to a quarter of"),
        ("[policy]", '[control]\nservice = "x"\n[policy]', "policy: is for proxies"),
    ],
)
def test_conflicts_with_the_policy_table_are_reported(old: str, new: str, line: str) -> None:
    assert old in TIER
    assert [found for found in lines(TIER.replace(old, new)) if found.startswith(line)]


@pytest.mark.parametrize(
    ("key", "value", "why"),
    [
        ("folder", "", " is ''"), ("doors", [1, 2, 3], ": 1 is not an address"),
        ("doors", DOORS[:1], " are 1"), ("voters", [True], " is"), ("voters", [0, 3], " names proxy 3"),
        ("lease_s", 0, " is 0"),
        ("trip_ms", 1000, " is 1000"), ("without_lease", [], " is"), ("tell", 1, " is 1"),
        ("lease", 1, " is not one of"),
    ],
)  # fmt: skip
def test_the_platform_s_format_is_checked(key: str, value: Any, why: str, tmp_path: Path) -> None:
    file = re.escape(str(tmp_path / "config.json"))
    with pytest.raises(ValueError, match=rf"^{file}: policy\.{key}{why}"):
        platform_policy(tmp_path, **{key: value})
    whole = {"folder": "x", "doors": DOORS}
    for policy, lacks in (([], "is not an object"), ({}, ".folder is missing"), (whole, " needs ops")):
        with pytest.raises(ValueError, match=f"^{file}: policy *{lacks}"):
            read_config(platform(tmp_path, policy=policy))
