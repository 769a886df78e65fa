"""A policy's file: what a tier of proxies decides by, in the words of `firvane.toml`, and as settings.

Rules that hold here and nowhere else:

1. A policy says a key or leaves it to each proxy's own configuration, key by key in `rules` and `limits`; a
   list (`classes`, `tenants`) is said whole or not at all.
2. What its words cannot say (whether a class is streamed, what a proxy is by its place) stays as it was.
3. `render` says what settings say: read back over them it changes nothing, to the last bit where they came
   from a file or are whole milliseconds, and by a rounding elsewhere. It raises `Faults` for settings that
   no policy may have.
4. A text is `MAX_TEXT_BYTES` bytes at the most, since proxies hand it on in small pieces.
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
from firvane.proxy.config import checks
from firvane.proxy.config import node as node_config
from firvane.proxy.config.file import REPEATS, request_class
from firvane.proxy.config.model import Limits, Part, RequestClass, Rules, Tenant, Voters, says
from firvane.proxy.policy_text import MAX_TEXT_BYTES

MS = 1000  # in a second
# The key of a policy, and the field of the settings that it sets, with what it is multiplied by there.
RULES = {
    "answer_slack_ms": ("answer_slack", MS),
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
    "connect_ms": ("connect_timeout", MS),
    "target_idle_s": ("connection_idle_timeout", 0),
}
Fields = Mapping[str, tuple[str, int]]


def _some(name: str, kind: type, keys: Iterable[str]) -> Any:
    """A struct of these keys of another, with their bounds; each may be left out."""
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
    PolicyRules = _some("PolicyRules", Rules, RULES)
    PolicyLimits = _some("PolicyLimits", Limits, LIMITS)


class Policy(Part, frozen=True, kw_only=True):
    """What is in force everywhere or nowhere. None: left to each proxy's own configuration."""

    classes: Annotated[tuple[RequestClass, ...], says("of requests; others get 404", min_length=1)] | None = (
        None
    )
    tenants: Annotated[tuple[Tenant, ...], says("where there are any, X-Caller must name one")] | None = None
    rules: PolicyRules | None = None
    limits: PolicyLimits | None = None
    over_share_worth: (
        Annotated[float, says("worth of what goes beyond a tenant's quota", ge=0, le=1)] | None
    ) = None
    remembers_keys: Annotated[bool, says("a target is quicker at a key that it has met")] | None = None
    voters: Voters | None = None


def whole(policy: Policy) -> checks.Errors:
    """What must fit together in a policy, as far as that can be seen without knowing the tier."""
    if all(getattr(policy, key) is None for key in policy.__struct_fields__):
        yield "", "says nothing: it has none of " + ", ".join(policy.__struct_fields__)
    yield from checks.callers(policy.classes or (), policy.tenants or ())
    if policy.voters:
        yield from node_config.voter_errors(policy.voters, max(policy.voters) + 1)


CHECKS: validation.Checks = {RequestClass: checks.request_class, Policy: whole}


def parse(text: bytes, name: str = "policy") -> Policy:
    """The policy in a text; raises `validation.ValidationError` with everything that is wrong with it."""
    if len(text) > MAX_TEXT_BYTES:
        raise validation.ValidationError(
            [validation.Violation(name, "", f"larger than {MAX_TEXT_BYTES >> 10} KiB")]
        )
    return validation.build(validation.parse(text, name), Policy, name, CHECKS)


def settings(policy: Policy, base: api.Settings, name: str = "policy") -> api.Settings:
    """What a proxy decides by under a policy over its own settings, `base`; `Faults` where they don't fit."""
    if policy.voters:
        faults = [
            validation.Violation(name, key, why)
            for key, why in node_config.voter_errors(policy.voters, base.proxies)
        ]
        if faults:
            raise validation.ValidationError(faults)
    before = {cls.name: cls for cls in base.classes}
    said: dict[str, Any] = {}
    if policy.classes is not None:
        said["classes"] = tuple(_class(cls, before.get(cls.name)) for cls in policy.classes)
    if policy.tenants is not None:
        said["tenants"] = tuple(api.Tenant(t.name, t.share, t.quota_rps) for t in policy.tenants)
    if policy.over_share_worth is not None:
        said["over_quota_value"] = policy.over_share_worth
    if policy.remembers_keys is not None:
        said["key_affinity"] = policy.remembers_keys
    return replace(
        base,
        rules=replace(base.rules, **_said(policy.rules, RULES)),
        limits=replace(base.limits, **_said(policy.limits, LIMITS)),
        **said,
    )


def _class(cls: RequestClass, before: api.RequestClass | None) -> api.RequestClass:
    """With what a policy cannot say as it was in the class of that name."""
    made = request_class(cls)
    if before is None:
        return made
    # How long a key is remembered says nothing of a class without keys, and a policy may not say it.
    keyless = api.Idempotency.KEYED not in (made.idempotency, before.idempotency)
    window = before.dedup_window if keyless else made.dedup_window
    return replace(
        made, stream=before.stream, latency_target_stretch=before.latency_target_stretch, dedup_window=window
    )


def _said(part: Part | None, fields: Fields) -> dict[str, Any]:
    """The fields of the settings that a part of a policy says."""
    given = {} if part is None else {key: getattr(part, key) for key in fields}
    return {
        field: value / times if times else value
        for key, (field, times) in fields.items()
        if (value := given.get(key)) is not None
    }


def render(base: api.Settings, name: str = "policy") -> bytes:
    """The text of a policy that says just what these settings say; `Faults` where no policy may say it."""
    text = "\n".join(_lines(base)) + "\n"
    made = text.encode("utf-8", "surrogatepass")  # a name that is no text is a fault, which `parse` tells
    parse(made, name)
    return made


def _lines(base: api.Settings) -> Iterator[str]:
    yield f"over_share_worth = {_value(base.over_quota_value)}"
    yield f"remembers_keys = {_value(base.key_affinity)}"
    if not base.tenants:
        yield "tenants = []"
    for title, part, fields in (("rules", base.rules, RULES), ("limits", base.limits, LIMITS)):
        yield f"\n[{title}]"
        for key, (field, times) in fields.items():
            value = getattr(part, field)
            yield f"{key} = {_value(_times(value, times) if times else value)}"
    repeats = {repeat: word for word, repeat in REPEATS.items()}
    for cls in base.classes:
        yield "\n[[classes]]"
        yield f"name = {_value(cls.name)}"
        yield f"aim_ms = {_value(_times(cls.latency_target, MS))}"
        yield f"deadline_ms = {_value(_times(cls.deadline, MS))}"
        yield f"repeat = {_value(repeats[cls.idempotency])}"
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


def _times(value: float, times: int) -> float:
    """The product that gives the value again when it is divided, where there is one."""
    product = value * times
    near = (product, math.nextafter(product, math.inf), math.nextafter(product, 0.0))
    return next((one for one in near if one / times == value), product)


def _value(value: str | float) -> str:
    """As TOML has it."""
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
    if isinstance(value, bool):
        return "true" if value else "false"
    whole = isinstance(value, float) and value.is_integer() and abs(value) < 1e15
    return repr(int(value) if whole else value)
