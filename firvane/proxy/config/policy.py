"""The file of a policy: settings for all proxies of a tier, with keys of `firvane.toml`.

Rules of this format:

1. A policy sets a key or leaves it to each proxy's own configuration, key by key in `rules` and `limits`; a
   list (`classes`, `tenants`) is replaced as a whole or not at all.
2. Settings without a key in a policy (whether a class is streamed, a proxy's index) keep their values.
3. `render` returns the policy that sets all keys to the values of given settings. Applied to these settings
   it changes nothing: bit for bit where they came from a file or are whole milliseconds, and up to rounding
   elsewhere. It raises `ValidationError` for settings that are not valid in a policy.
4. A text has at most `MAX_TEXT_BYTES` bytes, since proxies transfer it in small chunks.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Annotated, Any, get_type_hints

import msgspec

from firvane.core import interface as api
from firvane.core import validation
from firvane.proxy.config import checks, proxy_config
from firvane.proxy.config.file import REPEATS, request_class
from firvane.proxy.config.model import Limits, Part, RequestClass, Rules, Tenant, Voters, described
from firvane.proxy.policy_text import MAX_TEXT_BYTES

MS_PER_S = 1000
# Key of a policy, the field of the settings that it sets, and the factor from field to key; 0: same unit.
RULES = {
    "answer_slack_ms": ("answer_slack", MS_PER_S),
    "drain_grace_s": ("drain_grace", 0),
    "start_capacity": ("start_capacity", 0),
    "cold_s": ("slow_start", 0),
    "fall_multiple": ("fall_multiple", 0),
    "fall_s": ("fall_window", 0),
}
LIMITS = {
    "open_flows": ("max_open_requests", 0),
    "attempts": ("max_attempts", 0),
    "second_copies": ("hedging", 0),
    "cancel": ("cancel", 0),
    "probes": ("probes", 0),
    "retry_after": ("retry_after", 0),
    "most_retry_after_s": ("max_retry_after", 0),
    "connect_ms": ("connect_timeout", MS_PER_S),
    "target_idle_s": ("connection_idle_timeout", 0),
}
Fields = Mapping[str, tuple[str, int]]


def _optional_struct(name: str, kind: type, keys: Iterable[str]) -> Any:
    """Return a struct type with some fields of another, all optional, with the same bounds."""
    hints = get_type_hints(kind, include_extras=True)
    return msgspec.defstruct(
        name,
        [(key, hints[key] | None, None) for key in keys],
        bases=(Part,),
        frozen=True,
        kw_only=True,
        forbid_unknown_fields=True,
    )


if TYPE_CHECKING:
    from firvane.proxy.config.model import Part as PolicyLimits
    from firvane.proxy.config.model import Part as PolicyRules
else:
    PolicyRules = _optional_struct("PolicyRules", Rules, RULES)
    PolicyLimits = _optional_struct("PolicyLimits", Limits, LIMITS)


class Policy(Part, frozen=True, kw_only=True):
    """A policy of a tier; None leaves a key to each proxy's own configuration."""

    classes: (
        Annotated[tuple[RequestClass, ...], described("classes of requests; others get 404", min_length=1)]
        | None
    ) = None
    tenants: (
        Annotated[tuple[Tenant, ...], described("tenants; if there are any, X-Caller must name one")] | None
    ) = None
    rules: PolicyRules | None = None
    limits: PolicyLimits | None = None
    over_share_worth: (
        Annotated[float, described("value of requests beyond a tenant's quota", ge=0, le=1)] | None
    ) = None
    remembers_keys: (
        Annotated[bool, described("targets are faster with keys that they have already served")] | None
    ) = None
    voters: Voters | None = None


def policy_errors(policy: Policy) -> checks.Errors:
    """Yield the errors across the keys of a policy that do not depend on the tier."""
    if all(getattr(policy, key) is None for key in policy.__struct_fields__):
        yield "", "says nothing: it has none of " + ", ".join(policy.__struct_fields__)
    yield from checks.callers(policy.classes or (), policy.tenants or ())
    if policy.voters:
        yield from proxy_config.voter_errors(policy.voters, max(policy.voters) + 1)


CHECKS: validation.Checks = {RequestClass: checks.request_class, Policy: policy_errors}


def parse(text: bytes, name: str = "policy") -> Policy:
    """Return the policy in a text; raises `validation.ValidationError` with all of its errors."""
    if len(text) > MAX_TEXT_BYTES:
        raise validation.ValidationError(
            [validation.Violation(name, "", f"larger than {MAX_TEXT_BYTES >> 10} KiB")]
        )
    return validation.build(validation.parse(text, name), Policy, name, CHECKS)


def settings(policy: Policy, base: api.Settings, name: str = "policy") -> api.Settings:
    """Return a proxy's own settings, `base`, changed by a policy.

    Raises:
        ValidationError: The voters are invalid in a tier of this size.
    """
    if policy.voters:
        violations = [
            validation.Violation(name, key, reason)
            for key, reason in proxy_config.voter_errors(policy.voters, base.proxies)
        ]
        if violations:
            raise validation.ValidationError(violations)
    base_classes = {cls.name: cls for cls in base.classes}
    changes: dict[str, Any] = {}
    if policy.classes is not None:
        changes["classes"] = tuple(_class(cls, base_classes.get(cls.name)) for cls in policy.classes)
    if policy.tenants is not None:
        changes["tenants"] = tuple(api.Tenant(t.name, t.share, t.quota_rps) for t in policy.tenants)
    if policy.over_share_worth is not None:
        changes["over_quota_value"] = policy.over_share_worth
    if policy.remembers_keys is not None:
        changes["key_affinity"] = policy.remembers_keys
    return replace(
        base,
        rules=replace(base.rules, **_changed_fields(policy.rules, RULES)),
        limits=replace(base.limits, **_changed_fields(policy.limits, LIMITS)),
        **changes,
    )


def _class(cls: RequestClass, base: api.RequestClass | None) -> api.RequestClass:
    """Return a class of the settings; what a policy cannot set comes from `base`, the old class."""
    new = request_class(cls)
    if base is None:
        return new
    # The deduplication window has no meaning in a class without keys, and a policy may not set it there.
    keyless = api.Idempotency.KEYED not in (new.idempotency, base.idempotency)
    window = base.dedup_window if keyless else new.dedup_window
    return replace(
        new, stream=base.stream, latency_target_stretch=base.latency_target_stretch, dedup_window=window
    )


def _changed_fields(part: Part | None, fields: Fields) -> dict[str, Any]:
    """Return the fields of the settings that a section of a policy sets, with their values."""
    values = {} if part is None else {key: getattr(part, key) for key in fields}
    return {
        field: value / factor if factor else value
        for key, (field, factor) in fields.items()
        if (value := values.get(key)) is not None
    }


def render(base: api.Settings, name: str = "policy") -> bytes:
    """Return the text of the policy that sets exactly these settings.

    Raises:
        ValidationError: The settings are not valid in a policy.
    """
    text = "\n".join(_lines(base)) + "\n"
    encoded = text.encode("utf-8", "surrogatepass")  # `parse` reports a name that is not valid Unicode
    parse(encoded, name)
    return encoded


def _lines(base: api.Settings) -> Iterator[str]:
    yield f"over_share_worth = {_value(base.over_quota_value)}"
    yield f"remembers_keys = {_value(base.key_affinity)}"
    if not base.tenants:
        yield "tenants = []"
    for title, part, fields in (("rules", base.rules, RULES), ("limits", base.limits, LIMITS)):
        yield f"\n[{title}]"
        for key, (field, factor) in fields.items():
            value = getattr(part, field)
            yield f"{key} = {_value(_multiply(value, factor) if factor else value)}"
    repeat_names = {repeat: name for name, repeat in REPEATS.items()}
    for cls in base.classes:
        yield "\n[[classes]]"
        yield f"name = {_value(cls.name)}"
        yield f"aim_ms = {_value(_multiply(cls.latency_target, MS_PER_S))}"
        yield f"deadline_ms = {_value(_multiply(cls.deadline, MS_PER_S))}"
        yield f"repeat = {_value(repeat_names[cls.idempotency])}"
        yield f"repeats_dropped_by = {_value(cls.dedup_scope.value)}"
        if cls.idempotency is api.Idempotency.KEYED:
            yield f"repeats_dropped_for_s = {_value(cls.dedup_window)}"
        yield f"worth = {_value(cls.value)}"
        yield f"late_share = {_value(cls.late_value_fraction)}"
    for tenant in base.tenants:
        yield "\n[[tenants]]"
        yield f"name = {_value(tenant.name)}"
        yield f"share = {_value(tenant.quota_share)}"
        yield f"quota_rps = {_value(tenant.quota_rps)}"


def _multiply(value: float, factor: int) -> float:
    """Return the product, or its neighbour among floats if only that gives the value again when divided."""
    product = value * factor
    candidates = (product, math.nextafter(product, math.inf), math.nextafter(product, 0.0))
    return next((candidate for candidate in candidates if candidate / factor == value), product)


def _value(value: str | float) -> str:
    """Return a value in TOML syntax."""
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
    if isinstance(value, bool):
        return "true" if value else "false"
    is_integral = isinstance(value, float) and value.is_integer() and abs(value) < 1e15
    return repr(int(value) if is_integral else value)
