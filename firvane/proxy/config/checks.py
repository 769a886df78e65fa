"""Checks across several keys of `firvane.toml`; each yields pairs of a key and the reason of its error."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator, Sequence
from importlib.util import find_spec
from pathlib import Path
from typing import Any

from firvane.proxy.config.model import (
    Control,
    File,
    Limits,
    Peers,
    PolicyTable,
    Recovery,
    RequestClass,
    TargetGroup,
    Tenant,
)
from firvane.proxy.limits.memory_costs import derive

Errors = Iterator[tuple[str, str]]


def _duplicates(key: str, values: Iterable[str], noun: str) -> Errors:
    """Yield an error for each duplicate in a list; `key` is a format string that takes the index."""
    first_index: dict[str, int] = {}
    for index, value in enumerate(values):
        if value in first_index:
            yield key.format(index), f"is the same {noun} as in {key.format(first_index[value])}"
        first_index.setdefault(value, index)


def target_group(group: TargetGroup) -> Errors:
    if group.discovery and group.targets:
        yield "targets", "conflicts with discovery: set only one of them"
    elif not group.discovery and not group.targets:
        yield "", "has neither discovery nor targets"
    yield from _duplicates("targets[{}].address", (target.address for target in group.targets), "address")
    yield from _duplicates("targets[{}].name", (t.name or t.address for t in group.targets), "name")


def request_class(cls: RequestClass) -> Errors:
    if cls.aim_ms > cls.deadline_ms:
        yield "aim_ms", f"is above deadline_ms, {cls.deadline_ms:g}"
    if cls.name == "up":
        yield "name", "is taken: GET /up tells whether the proxy is ready"
    if cls.repeat == "keyed" and not cls.repeats_dropped_for_s:
        yield (
            "repeats_dropped_for_s",
            "is missing: a keyed class needs the time for which targets remember a key",
        )
    if cls.repeat != "keyed" and cls.repeats_dropped_for_s:
        yield "repeats_dropped_for_s", f"has no effect: the class is {cls.repeat}, not keyed"


def limits(section: Limits) -> Errors:
    try:
        derive(section.memory_mb, section.sockets, section.cores)
    except ValueError as error:
        key, _, reason = str(error).removeprefix("limits.").partition(" ")
        yield key.rstrip(":"), reason


def peers(tier: Peers) -> Errors:
    if tier.me is None and tier.listen not in tier.addresses:
        yield "listen", "is not among addresses: add it, or set me to the index of this proxy's address"
    if tier.me is not None and tier.me >= len(tier.addresses):
        yield "me", f"is {tier.me}, and there are {len(tier.addresses)} addresses"
    if tier.listen.endswith(":0"):
        yield "listen", "must have a port that the other proxies know"
    yield from _duplicates("addresses[{}]", tier.addresses, "address")


def control(section: Control) -> Errors:
    if section.most_ms < section.settle_ms:
        yield "most_ms", f"is below settle_ms, {section.settle_ms:g}"
    if section.keep_s < 2 * section.report_s:
        yield (
            "keep_s",
            f"is below two reports, {2 * section.report_s:g}: a receiver would expire between them",
        )


def recovery(section: Recovery) -> Errors:
    if section.snapshot is not None:
        yield from _folder_errors("snapshot", section.snapshot, Path(section.snapshot).absolute().parent)


def _folder_errors(key: str, value: str, folder: Path) -> Errors:
    """Yield the reasons why a proxy cannot store files in a folder."""
    if find_spec("google_crc32c") is None:
        yield key, "needs additional packages: pip install 'firvane[snapshots]'"
    if not folder.is_dir():
        yield key, f"is {value!r}, and there is no folder {folder}"
    elif not os.access(folder, os.W_OK):
        yield key, f"is {value!r}, and {folder} is not writable"


def policy(section: PolicyTable) -> Errors:
    yield from _folder_errors("folder", section.folder, Path(section.folder).absolute())


def callers(classes: Sequence[RequestClass], tenants: Sequence[Tenant]) -> Errors:
    """Yield the errors in classes and tenants, which a configuration and a policy have in common."""
    yield from _duplicates("classes[{}].name", (cls.name for cls in classes), "class")
    yield from _duplicates("tenants[{}].name", (tenant.name for tenant in tenants), "tenant")
    if (shares := sum(tenant.share for tenant in tenants)) > 1.0 + 1e-6:
        yield "tenants", f"have shares that add up to {shares:g}, above 1"


def agreement(file: File, table: PolicyTable) -> Errors:
    """Yield the keys outside [policy] that conflict with it or that it needs."""
    if file.control:
        yield "policy", "is for proxies, and control makes this the file of a control service"
    if file.ops is None:
        yield "policy", "needs ops: the other proxies fetch policy texts there"
    elif file.ops.endswith(":0"):
        yield "ops", "must have a port that the other proxies know, because policy is set"
    if file.peers is None:
        yield "policy", "needs peers: the proxies that agree on the policy"
        return
    for key, reason in table.options().errors(len(file.peers.addresses)):
        yield f"policy.{key}", reason
    own_index = _own_index(file.peers)
    if file.ops in table.doors and file.ops not in table.doors[own_index : own_index + 1]:
        yield (
            "policy.doors",
            f"has ops at {table.doors.index(file.ops)}, and this is proxy {own_index} of peers",
        )


def _own_index(tier: Peers) -> int:
    """Return the index of this proxy in `peers`; 0 where `listen` is not among the addresses."""
    if tier.me is not None:
        return tier.me
    return tier.addresses.index(tier.listen) if tier.listen in tier.addresses else 0


def configuration(file: File) -> Errors:
    yield from callers(file.classes, file.tenants)
    yield from _duplicates("zones[{}]", file.zones, "zone")
    yield from _duplicates("kinds[{}]", file.kinds, "kind")
    targets = file.target_group.targets
    if file.ops == file.listen and not file.listen.endswith(":0"):
        yield "ops", "is the address for clients: the admin API needs a separate one"
    if file.zones and file.zone not in file.zones:
        yield "zone", f"is {file.zone!r}, not one of zones" if file.zone else "is missing, and zones is set"
    for index, target in enumerate(targets):
        if file.zones and target.zone not in file.zones:
            yield f"target_group.targets[{index}].zone", f"is {target.zone!r}, not one of zones"
        if file.kinds and target.kind not in file.kinds:
            yield f"target_group.targets[{index}].kind", f"is {target.kind!r}, not one of kinds"
        if target.address == file.listen:
            yield f"target_group.targets[{index}].address", "is where this proxy itself listens"
    if file.control and file.control.counts_as > 1:
        tier = file.peers
        if tier is None or _own_index(tier) + file.control.counts_as > len(tier.addresses):
            yield (
                "control.counts_as",
                "needs that many addresses in peers, starting with the one of this service",
            )
    if file.measures and not file.ops:
        yield "measures", "needs ops: they are served there"
    if file.policy:
        yield from agreement(file, file.policy)
    if file.peers and not file.zones and (file.zone or any(target.zone for target in targets)):
        yield "zones", "is missing: proxies of a tier number zones identically only if each lists all zones"


CHECKS: dict[type, Any] = {
    TargetGroup: target_group,
    RequestClass: request_class,
    Limits: limits,
    Peers: peers,
    Control: control,
    Recovery: recovery,
    PolicyTable: policy,
    File: configuration,
}
