"""Parser of the settings object in the simulator's first message and in the proxy's configuration.

Both use the same parser, so that the decisions get equal settings in simulation and in production.
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

NS_PER_S = 1e9
MAX_NUMBER = 1e300
MAX_ZONE = 255  # a zone is one byte in the rows that proxies announce
MAX_SHOWN_CHARS = 60  # maximum length of a value in an error message
WEIGHT_MODES = ("silent", "nominal", "rough", "live")
IDEMPOTENCIES = {"pure": Idempotency.SAFE, "token": Idempotency.KEYED, "side_effect": Idempotency.UNSAFE}
LOAD_REPORT_SOURCES = {
    "piggyback": LoadReportSource.RESPONSES,
    "pull": LoadReportSource.PROBES,
    "silent": LoadReportSource.NONE,
}


def is_number(value: Any) -> bool:
    """Whether a value is a finite number that is not too large for a float."""
    return isinstance(value, int | float) and not isinstance(value, bool) and abs(value) < MAX_NUMBER


def _shorten(value: Any) -> str:
    """Return a value for an error message: on one line, and truncated if it is long."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}..."


class _Section:
    """One object of the settings; errors name the key that is missing or invalid, and how to fix it.

    A key whose value is null counts as absent.
    """

    def __init__(self, values: Any, path: str) -> None:
        if not isinstance(values, dict):
            raise ValueError(f"settings: {path or 'params'} is not an object: put it in braces")
        self.values = values
        self.path = path

    def _name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def number(self, key: str, default: float | None = None, minimum: float = 0.0) -> float:
        value = self.values.get(key)
        value = default if value is None else value
        if value is None:
            raise ValueError(f"settings: {self._name(key)} is missing: give a number of at least {minimum:g}")
        if not is_number(value):
            raise ValueError(
                f"settings: {self._name(key)} is not a number: {_shorten(value)};"
                f" give one of at least {minimum:g}"
            )
        if value < minimum:
            raise ValueError(
                f"settings: {self._name(key)} is {value}, below {minimum:g}: give {minimum:g} or more"
            )
        return value

    def positive(self, key: str, default: float | None = None) -> float:
        """Return a duration in seconds that must be above 0, as fractions of it are used as intervals."""
        if not (value := self.duration(key, default)):
            raise ValueError(f"settings: {self._name(key)} is 0: give a number above 0")
        return value

    def duration(self, key: str, default: float | None = None) -> float:
        return self.number(key, None if default is None else default * NS_PER_S) / NS_PER_S

    def choice(self, key: str, choices: dict[str, Any], default: str | None = None) -> Any:
        value = self.values.get(key)
        value = default if value is None else value
        if value is None:
            raise ValueError(f"settings: {self._name(key)} is missing: give one of {', '.join(choices)}")
        if not isinstance(value, str) or value not in choices:
            known = ", ".join(choices)
            raise ValueError(f"settings: {self._name(key)} is {_shorten(value)}, not one of {known}")
        return choices[value]

    def flag(self, key: str) -> bool:
        """Return a boolean, False if absent; other types are errors, lest they count as False."""
        value = self.values.get(key)
        if value is not None and not isinstance(value, bool):
            raise ValueError(f"settings: {self._name(key)} is {_shorten(value)}, not true or false")
        return value is True

    def name(self, key: str = "name") -> str:
        """Return a string that can be encoded in a request; "" if absent."""
        value = self.values.get(key)
        text = "" if value is None else value
        if not isinstance(text, str):
            raise ValueError(
                f"settings: {self._name(key)} is not a text: {_shorten(value)}; put it in quotes"
            )
        try:
            text.encode()
        except UnicodeEncodeError:  # an unpaired surrogate, which JSON permits: no request can contain it
            raise ValueError(
                f"settings: {self._name(key)} is {_shorten(value)}: it contains an unpaired surrogate"
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
    """Return the paths of the keys present; for classes and tenants, those that all of them have.

    A key whose value is null counts as absent.
    """
    paths = _present_keys(params)
    for key in ("limits", "obligations"):
        if isinstance(part := params.get(key), dict):
            paths.update(f"{key}.{name}" for name in _present_keys(part))
    for key in ("classes", "tenants"):
        items = params.get(key)
        if isinstance(items, list) and items and all(isinstance(item, dict) for item in items):
            paths.update(f"{key}[].{name}" for name in set.intersection(*map(_present_keys, items)))
    return frozenset(paths)


def _present_keys(part: dict[str, Any]) -> set[str]:
    return {key for key, value in part.items() if value is not None}


def _require_unique_names(key: str, names: list[str]) -> None:
    """Raise `ValueError` if two classes or tenants have the same name, as requests refer to them by name."""
    for index, name in enumerate(names):
        if (first := names.index(name)) < index:
            raise ValueError(
                f"settings: {key}[{index}].name is {_shorten(name)}, as in {key}[{first}]:"
                " names must be unique"
            )


def _request_class(section: _Section) -> RequestClass:
    return RequestClass(
        name=section.name(),
        latency_target=section.positive("slo-ns"),
        deadline=section.positive("give-up-ns"),
        value=section.number("worth", 1.0),
        late_value_fraction=section.number("late-share", 0.0),
        idempotency=section.choice("repeat", IDEMPOTENCIES),
        dedup_scope=section.choice("dedup-scope", {scope.value: scope for scope in DedupScope}, "all"),
        dedup_window=section.duration("window-ns", 0.0),
        stream=section.flag("stream"),
        latency_target_stretch=section.number("aim-stretch", 0.0),
    )


def parse_settings(params: Any) -> Settings:
    """Return the parsed settings.

    Raises:
        ValueError: a key is missing or invalid; the message names it.
    """
    root = _Section(params, "")
    rules = root.section("obligations", required=True)
    limits = root.section("limits", required=True)
    report = root.section("report")
    classes = tuple(_request_class(section) for section in root.sections("classes"))
    if not classes:
        raise ValueError("settings: classes is missing or empty: give at least one")
    _require_unique_names("classes", [cls.name for cls in classes])
    if not any(cls.value for cls in classes):
        # Only ratios of values are used, which need one above 0: if all are 0, all are set to 1.
        classes = tuple(replace(cls, value=1.0) for cls in classes)
    tenants = tuple(
        Tenant(t.name(), t.number("fraction", 0.0), t.number("quota-rps", 0.0))
        for t in root.sections("tenants")
    )
    _require_unique_names("tenants", [tenant.name for tenant in tenants])
    proxies = int(root.number("siblings", minimum=1))
    me = int(root.number("me"))
    if me >= proxies:
        raise ValueError(f"settings: me is {me}, not below siblings, {proxies}: proxies are numbered from 0")
    zone = int(root.number("az", 0))
    if zone > MAX_ZONE:
        raise ValueError(
            f"settings: az is {_shorten(zone)}, above {MAX_ZONE}: it is sent to peers in one byte"
        )
    weights = root.choice("weights", {name: name for name in WEIGHT_MODES}, "silent")
    return Settings(
        me=me,
        proxies=proxies,
        tick=root.duration("tick-ns"),
        classes=classes,
        rules=Rules(
            answer_slack=rules.duration("answer-slack-ns"),
            drain_grace=rules.duration("drain-grace-ns"),
            start_capacity=rules.number("start-capacity"),
            slow_start=rules.duration("cold-ns"),
            fall_multiple=rules.number("fall-multiple"),
            fall_window=rules.duration("fall-ns"),
            ask_within=rules.duration("ask-within-ns", 0.0),
        ),
        limits=Limits(
            max_attempts=int(limits.number("send-cap", minimum=1)),
            cancel=limits.flag("cancel"),
            hedging=limits.flag("second-copies"),
            peers=limits.flag("peers"),
            probes=limits.flag("probing"),
            retry_after=limits.flag("retry-after"),
            max_retry_after=limits.duration("max-retry-after-ns", 0.0),
            max_open_requests=int(limits.number("open-cap", 1 << 30)),
            connect_timeout=limits.positive("dial-timeout-ns", 0.25),
            connection_idle_timeout=limits.duration("conn-idle-ns", 60.0),
            requests_per_connection=int(limits.number("streams-per-conn", 1)),
        ),
        tenants=tenants,
        zone=zone,
        zones=max(1, len(root.items("dcs"))),
        ask=root.choice("discovery", {"push": False, "ask": True}, "push"),
        weighted=weights != "silent",
        live_weights=weights == "live",
        load_report_source=report.choice("how", LOAD_REPORT_SOURCES, "silent"),
        report_fields=tuple(str(name) for name in report.items("fields")),
        counted_by_work=root.choice("counted-by", {"request": False, "work": True}, "request"),
        over_quota_value=root.number("over-share-worth", 1.0),
        key_affinity=root.section("family-info").flag("warm-keys"),
        costs={
            name: float(price) for name, price in root.section("costs").values.items() if is_number(price)
        },
    )
