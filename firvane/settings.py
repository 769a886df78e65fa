"""The settings object, as the simulator's first message and the proxy's configuration both hold it.

One parser serves both, so that the decisions are told the same on the bench and in service.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from firvane.interface import (
    Limits,
    Repeat,
    Reports,
    RequestClass,
    Rules,
    Scope,
    Settings,
    Tenant,
)

NS = 1e9
LARGEST = 1e300
REPEATS = {"pure": Repeat.SAFE, "token": Repeat.KEYED, "side_effect": Repeat.UNSAFE}
REPORTS = {"piggyback": Reports.ANSWERS, "pull": Reports.PROBES, "silent": Reports.NONE}


def is_number(value: Any) -> bool:
    """Whether it is one that can be reckoned with: finite, and not too large for a float."""
    return isinstance(value, int | float) and not isinstance(value, bool) and abs(value) < LARGEST


class _Section:
    """One object of the settings; names the key that is missing or holds an impossible value."""

    def __init__(self, values: Any, path: str) -> None:
        if not isinstance(values, dict):
            raise ValueError(f"settings: {path or 'params'} is not an object")
        self.values = values
        self.path = path

    def _name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def number(self, key: str, default: float | None = None, low: float = 0.0) -> float:
        value = self.values.get(key)
        value = default if value is None else value
        if value is None:
            raise ValueError(f"settings: {self._name(key)} is missing")
        if not is_number(value):
            raise ValueError(f"settings: {self._name(key)} is not a number")
        if value < low:
            raise ValueError(f"settings: {self._name(key)} is {value}, below {low:g}")
        return value

    def span(self, key: str, default: float | None = None) -> float:
        return self.number(key, None if default is None else default * NS) / NS

    def choice(self, key: str, choices: dict[str, Any], default: str | None = None) -> Any:
        value = self.values.get(key)
        value = default if value is None else value
        if value is None:
            raise ValueError(f"settings: {self._name(key)} is missing")
        if not isinstance(value, str) or value not in choices:
            raise ValueError(f"settings: {self._name(key)} is {value!r}, not one of {', '.join(choices)}")
        return choices[value]

    def flag(self, key: str) -> bool:
        return self.values.get(key) is True

    def items(self, key: str) -> list[Any]:
        value = self.values.get(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise ValueError(f"settings: {self._name(key)} is not a list")
        return value

    def sections(self, key: str) -> Iterable[_Section]:
        for index, item in enumerate(self.items(key)):
            yield _Section(item, f"{self._name(key)}[{index}]")

    def section(self, key: str, required: bool = False) -> _Section:
        if required and key not in self.values:
            raise ValueError(f"settings: {self._name(key)} is missing")
        return _Section(self.values.get(key) or {}, self._name(key))


def shape(params: dict[str, Any]) -> frozenset[str]:
    """The keys that are there, of classes and tenants those that each of them has."""
    found = set(params)
    for key in ("limits", "obligations"):
        if isinstance(part := params.get(key), dict):
            found.update(f"{key}.{name}" for name in part)
    for key in ("classes", "tenants"):
        items = params.get(key)
        if isinstance(items, list) and items and all(isinstance(item, dict) for item in items):
            found.update(f"{key}[].{name}" for name in set.intersection(*map(set, items)))
    return frozenset(found)


def _request_class(section: _Section) -> RequestClass:
    if section.number("give-up-ns") <= 0:
        raise ValueError(f"settings: {section.path}.give-up-ns is 0, not above it")
    return RequestClass(
        name=str(section.values.get("name", "")),
        aim=section.span("slo-ns"),
        deadline=section.span("give-up-ns"),
        worth=section.number("worth", 1.0),
        late_share=section.number("late-share", 0.0),
        repeat=section.choice("repeat", REPEATS),
        scope=section.choice("dedup-scope", {scope.value: scope for scope in Scope}, "all"),
        window=section.span("window-ns", 0.0),
        stream=section.flag("stream"),
        aim_stretch=section.number("aim-stretch", 0.0),
    )


def parse_settings(params: Any) -> Settings:
    """Settings from the first message of an instance; `ValueError` names a key that is missing or off."""
    top = _Section(params, "")
    rules = top.section("obligations", required=True)
    limits = top.section("limits", required=True)
    report = top.section("report")
    classes = tuple(_request_class(section) for section in top.sections("classes"))
    if not classes:
        raise ValueError("settings: classes is missing or empty")
    proxies = int(top.number("siblings", low=1))
    me = int(top.number("me"))
    if me >= proxies:
        raise ValueError(f"settings: me is {me}, not below siblings, {proxies}")
    return Settings(
        me=me,
        proxies=proxies,
        tick=top.span("tick-ns"),
        classes=classes,
        rules=Rules(
            answer_slack=rules.span("answer-slack-ns"),
            drain_grace=rules.span("drain-grace-ns"),
            start_capacity=rules.number("start-capacity"),
            cold=rules.span("cold-ns"),
            fall_multiple=rules.number("fall-multiple"),
            fall_window=rules.span("fall-ns"),
            ask_within=rules.span("ask-within-ns", 0.0),
        ),
        limits=Limits(
            max_attempts=int(limits.number("send-cap", low=1)),
            cancel=limits.flag("cancel"),
            second_copies=limits.flag("second-copies"),
            peers=limits.flag("peers"),
            probes=limits.flag("probing"),
            retry_after=limits.flag("retry-after"),
            max_retry_after=limits.span("max-retry-after-ns", 0.0),
            max_open=int(limits.number("open-cap", 1 << 30)),
            connect_timeout=limits.span("dial-timeout-ns", 0.25),
            connection_idle=limits.span("conn-idle-ns", 60.0),
            requests_per_connection=int(limits.number("streams-per-conn", 1)),
        ),
        tenants=tuple(
            Tenant(str(t.values.get("name", "")), t.number("fraction", 0.0), t.number("quota-rps", 0.0))
            for t in top.sections("tenants")
        ),
        zone=int(top.number("az", 0)),
        zones=max(1, len(top.items("dcs"))),
        ask=top.choice("discovery", {"push": False, "ask": True}, "push"),
        weighted=top.values.get("weights", "silent") != "silent",
        live_weights=top.values.get("weights") == "live",
        reports=report.choice("how", REPORTS, "silent"),
        report_fields=tuple(str(name) for name in report.items("fields")),
        counted_by_work=top.values.get("counted-by") == "work",
        over_share_worth=top.number("over-share-worth", 1.0),
        warm_keys=top.section("family-info").flag("warm-keys"),
        prices={
            name: float(price)
            for name, price in top.section("costs").values.items()
            if is_number(price)
        },
    )
