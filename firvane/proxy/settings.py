"""The settings object, as the simulator's first message and the proxy's configuration both hold it.

One parser serves both, so that the decisions are told the same on the bench and in service.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from firvane.core.interface import (
    DedupScope,
    Idempotency,
    Limits,
    LoadReportSource,
    RequestClass,
    Rules,
    Settings,
    Tenant,
)

NS = 1e9
LARGEST = 1e300
LAST_ZONE = 255  # in a byte of the rows that proxies announce
SHOWN = 60  # characters of a value that a message shows
WEIGHTS = ("silent", "nominal", "rough", "live")
REPEATS = {"pure": Idempotency.SAFE, "token": Idempotency.KEYED, "side_effect": Idempotency.UNSAFE}
REPORTS = {
    "piggyback": LoadReportSource.RESPONSES,
    "pull": LoadReportSource.PROBES,
    "silent": LoadReportSource.NONE,
}


def is_number(value: Any) -> bool:
    """Whether it is one that can be reckoned with: finite, and not too large for a float."""
    return isinstance(value, int | float) and not isinstance(value, bool) and abs(value) < LARGEST


def _shown(value: Any) -> str:
    """A value as a message shows it: on its line, and not longer than that."""
    text = repr(value)
    return text if len(text) <= SHOWN else f"{text[:SHOWN]}..."


class _Section:
    """One object of the settings; names the key that is missing or holds an impossible value, and the mend.

    A key that holds null counts as absent.
    """

    def __init__(self, values: Any, path: str) -> None:
        if not isinstance(values, dict):
            raise ValueError(f"settings: {path or 'params'} is not an object: put it in braces")
        self.values = values
        self.path = path

    def _name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def number(self, key: str, default: float | None = None, low: float = 0.0) -> float:
        value = self.values.get(key)
        value = default if value is None else value
        if value is None:
            raise ValueError(f"settings: {self._name(key)} is missing: give a number from {low:g} on")
        if not is_number(value):
            raise ValueError(
                f"settings: {self._name(key)} is not a number: {_shown(value)}; give one from {low:g} on"
            )
        if value < low:
            raise ValueError(f"settings: {self._name(key)} is {value}, below {low:g}: give that or more")
        return value

    def positive(self, key: str, default: float | None = None) -> float:
        """A span in seconds that may not be 0: what is reckoned in parts of it would have no end."""
        if not (value := self.span(key, default)):
            raise ValueError(f"settings: {self._name(key)} is 0, not above it: give a number above 0")
        return value

    def span(self, key: str, default: float | None = None) -> float:
        return self.number(key, None if default is None else default * NS) / NS

    def choice(self, key: str, choices: dict[str, Any], default: str | None = None) -> Any:
        value = self.values.get(key)
        value = default if value is None else value
        if value is None:
            raise ValueError(f"settings: {self._name(key)} is missing: give one of {', '.join(choices)}")
        if not isinstance(value, str) or value not in choices:
            known = ", ".join(choices)
            raise ValueError(f"settings: {self._name(key)} is {_shown(value)}, not one of {known}")
        return choices[value]

    def flag(self, key: str) -> bool:
        """Whether it is allowed; absent: no. Anything else in its place would pass for a no unnoticed."""
        value = self.values.get(key)
        if value is not None and not isinstance(value, bool):
            raise ValueError(f"settings: {self._name(key)} is {_shown(value)}, not true or false")
        return value is True

    def name(self, key: str = "name") -> str:
        """A text that can stand in a request; "" where there is none."""
        value = self.values.get(key)
        text = "" if value is None else value
        if not isinstance(text, str):
            raise ValueError(f"settings: {self._name(key)} is not a text: {_shown(value)}; put it in quotes")
        try:
            text.encode()
        except UnicodeEncodeError:  # half of a pair, as JSON lets pass: no request can hold it
            raise ValueError(
                f"settings: {self._name(key)} is {_shown(value)}: half a character, give all of it"
            ) from None
        return text

    def items(self, key: str) -> list[Any]:
        value = self.values.get(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise ValueError(f"settings: {self._name(key)} is not a list: put it in brackets")
        return value

    def sections(self, key: str) -> Iterable[_Section]:
        for index, item in enumerate(self.items(key)):
            yield _Section(item, f"{self._name(key)}[{index}]")

    def section(self, key: str, required: bool = False) -> _Section:
        value = self.values.get(key)
        if required and value is None:
            raise ValueError(f"settings: {self._name(key)} is missing: give an object")
        return _Section({} if value is None else value, self._name(key))


def shape(params: dict[str, Any]) -> frozenset[str]:
    """The keys that are there, of classes and tenants those that each of them has; null counts as absent."""
    found = _told(params)
    for key in ("limits", "obligations"):
        if isinstance(part := params.get(key), dict):
            found.update(f"{key}.{name}" for name in _told(part))
    for key in ("classes", "tenants"):
        items = params.get(key)
        if isinstance(items, list) and items and all(isinstance(item, dict) for item in items):
            found.update(f"{key}[].{name}" for name in set.intersection(*map(_told, items)))
    return frozenset(found)


def _told(part: dict[str, Any]) -> set[str]:
    return {key for key, value in part.items() if value is not None}


def _once(key: str, names: list[str]) -> None:
    """Requests name a class or a tenant: of two with one name nobody could tell which is meant."""
    for index, name in enumerate(names):
        if (first := names.index(name)) < index:
            raise ValueError(
                f"settings: {key}[{index}].name is {_shown(name)}, as in {key}[{first}]: give it its own"
            )


def _request_class(section: _Section) -> RequestClass:
    return RequestClass(
        name=section.name(),
        latency_target=section.positive("slo-ns"),
        deadline=section.positive("give-up-ns"),
        value=section.number("worth", 1.0),
        late_value_fraction=section.number("late-share", 0.0),
        idempotency=section.choice("repeat", REPEATS),
        dedup_scope=section.choice("dedup-scope", {scope.value: scope for scope in DedupScope}, "all"),
        dedup_window=section.span("window-ns", 0.0),
        stream=section.flag("stream"),
        latency_target_stretch=section.number("aim-stretch", 0.0),
    )


def parse_settings(params: Any) -> Settings:
    """Settings from the first message of an instance; `ValueError` names a key that is missing or off."""
    top = _Section(params, "")
    rules = top.section("obligations", required=True)
    limits = top.section("limits", required=True)
    report = top.section("report")
    classes = tuple(_request_class(section) for section in top.sections("classes"))
    if not classes:
        raise ValueError("settings: classes is missing or empty: give one at the least")
    _once("classes", [cls.name for cls in classes])
    if not any(cls.value for cls in classes):
        # Only how they compare counts, and nothing can be compared with 0: then all are alike.
        classes = tuple(replace(cls, value=1.0) for cls in classes)
    tenants = tuple(
        Tenant(t.name(), t.number("fraction", 0.0), t.number("quota-rps", 0.0))
        for t in top.sections("tenants")
    )
    _once("tenants", [tenant.name for tenant in tenants])
    proxies = int(top.number("siblings", low=1))
    me = int(top.number("me"))
    if me >= proxies:
        raise ValueError(f"settings: me is {me}, not below siblings, {proxies}: they count from 0")
    zone = int(top.number("az", 0))
    if zone > LAST_ZONE:
        raise ValueError(f"settings: az is {_shown(zone)}, above {LAST_ZONE}: peers are told it in a byte")
    weights = top.choice("weights", {name: name for name in WEIGHTS}, "silent")
    return Settings(
        me=me,
        proxies=proxies,
        tick=top.span("tick-ns"),
        classes=classes,
        rules=Rules(
            answer_slack=rules.span("answer-slack-ns"),
            drain_grace=rules.span("drain-grace-ns"),
            start_capacity=rules.number("start-capacity"),
            slow_start=rules.span("cold-ns"),
            fall_multiple=rules.number("fall-multiple"),
            fall_window=rules.span("fall-ns"),
            ask_within=rules.span("ask-within-ns", 0.0),
        ),
        limits=Limits(
            max_attempts=int(limits.number("send-cap", low=1)),
            cancel=limits.flag("cancel"),
            hedging=limits.flag("second-copies"),
            peers=limits.flag("peers"),
            probes=limits.flag("probing"),
            retry_after=limits.flag("retry-after"),
            max_retry_after=limits.span("max-retry-after-ns", 0.0),
            max_open_requests=int(limits.number("open-cap", 1 << 30)),
            connect_timeout=limits.positive("dial-timeout-ns", 0.25),
            connection_idle_timeout=limits.span("conn-idle-ns", 60.0),
            requests_per_connection=int(limits.number("streams-per-conn", 1)),
        ),
        tenants=tenants,
        zone=zone,
        zones=max(1, len(top.items("dcs"))),
        ask=top.choice("discovery", {"push": False, "ask": True}, "push"),
        weighted=weights != "silent",
        live_weights=weights == "live",
        load_report_source=report.choice("how", REPORTS, "silent"),
        report_fields=tuple(str(name) for name in report.items("fields")),
        counted_by_work=top.choice("counted-by", {"request": False, "work": True}, "request"),
        over_quota_value=top.number("over-share-worth", 1.0),
        key_affinity=top.section("family-info").flag("warm-keys"),
        costs={name: float(price) for name, price in top.section("costs").values.items() if is_number(price)},
    )
