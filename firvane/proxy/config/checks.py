"""What must fit together across the keys of `firvane.toml`. Each yields the key and the reason."""

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

Found = Iterator[tuple[str, str]]


def _twice(key: str, values: Iterable[str], what: str) -> Found:
    """A value that stands in a list a second time; `key` has a place for the index."""
    first: dict[str, int] = {}
    for index, value in enumerate(values):
        if value in first:
            yield key.format(index), f"is the same {what} as in {key.format(first[value])}"
        first.setdefault(value, index)


def target_group(group: TargetGroup) -> Found:
    if group.discovery and group.targets:
        yield "targets", "stands beside discovery: the list comes from one of them"
    elif not group.discovery and not group.targets:
        yield "", "has neither discovery nor targets"
    yield from _twice("targets[{}].address", (target.address for target in group.targets), "address")
    yield from _twice("targets[{}].name", (t.name or t.address for t in group.targets), "name")


def request_class(cls: RequestClass) -> Found:
    if cls.aim_ms > cls.deadline_ms:
        yield "aim_ms", f"is above deadline_ms, {cls.deadline_ms:g}"
    if cls.name == "up":
        yield "name", "is taken: GET /up tells whether the proxy is ready"
    if cls.repeat == "keyed" and not cls.repeats_dropped_for_s:
        yield "repeats_dropped_for_s", "is missing: a keyed class says how long a key is remembered"
    if cls.repeat != "keyed" and cls.repeats_dropped_for_s:
        yield "repeats_dropped_for_s", f"is of no use: the class is {cls.repeat}, not keyed"


def limits(given: Limits) -> Found:
    try:
        derive(given.memory_mb, given.sockets, given.cores)
    except ValueError as error:
        key, _, reason = str(error).removeprefix("limits.").partition(" ")
        yield key.rstrip(":"), reason


def peers(tier: Peers) -> Found:
    if tier.me is None and tier.listen not in tier.addresses:
        yield "listen", "is not among addresses: put it there, or say in me which of them is this proxy's"
    if tier.me is not None and tier.me >= len(tier.addresses):
        yield "me", f"is {tier.me}, and there are {len(tier.addresses)} addresses"
    if tier.listen.endswith(":0"):
        yield "listen", "must have a port that the other proxies know"
    yield from _twice("addresses[{}]", tier.addresses, "address")


def control(given: Control) -> Found:
    if given.most_ms < given.settle_ms:
        yield "most_ms", f"is below settle_ms, {given.settle_ms:g}"
    if given.keep_s < 2 * given.report_s:
        yield "keep_s", f"is below two reports, {2 * given.report_s:g}: a receiver would be gone between them"


def recovery(given: Recovery) -> Found:
    if given.snapshot is not None:
        yield from _kept("snapshot", given.snapshot, Path(given.snapshot).absolute().parent)


def _kept(key: str, given: str, folder: Path) -> Found:
    """What keeps files from being kept in a folder."""
    if find_spec("google_crc32c") is None:
        yield key, "needs more than a proxy does: pip install 'firvane[snapshots]'"
    if not folder.is_dir():
        yield key, f"is {given!r}, and there is no folder {folder}"
    elif not os.access(folder, os.W_OK):
        yield key, f"is {given!r}, and {folder} may not be written to"


def policy(given: PolicyTable) -> Found:
    yield from _kept("folder", given.folder, Path(given.folder).absolute())


def callers(classes: Sequence[RequestClass], tenants: Sequence[Tenant]) -> Found:
    """What a configuration and a policy alike must keep to."""
    yield from _twice("classes[{}].name", (cls.name for cls in classes), "class")
    yield from _twice("tenants[{}].name", (tenant.name for tenant in tenants), "tenant")
    if (shares := sum(tenant.share for tenant in tenants)) > 1.0 + 1e-6:
        yield "tenants", f"have shares that add up to {shares:g}, above 1"


def agreement(file: File, table: PolicyTable) -> Found:
    """What [policy] needs of the rest."""
    if file.control:
        yield "policy", "is for proxies, and control makes this a control service's file"
    if file.ops is None:
        yield "policy", "needs ops: the other proxies get texts at this one's door"
    elif file.ops.endswith(":0"):
        yield "ops", "must have a port that the other proxies know, as policy is there"
    if file.peers is None:
        yield "policy", "needs peers: the proxies that agree"
        return
    for key, reason in table.told().misfits(len(file.peers.addresses)):
        yield f"policy.{key}", reason
    me = _me(file.peers)
    if file.ops in table.doors and file.ops not in table.doors[me : me + 1]:
        yield "policy.doors", f"has ops at {table.doors.index(file.ops)}, and this is proxy {me} of peers"


def _me(tier: Peers) -> int:
    """The place of the proxy whose file it is; 0 where that is a fault of `peers`."""
    if tier.me is not None:
        return tier.me
    return tier.addresses.index(tier.listen) if tier.listen in tier.addresses else 0


def whole(file: File) -> Found:
    yield from callers(file.classes, file.tenants)
    yield from _twice("zones[{}]", file.zones, "zone")
    yield from _twice("kinds[{}]", file.kinds, "kind")
    targets = file.target_group.targets
    if file.ops == file.listen and not file.listen.endswith(":0"):
        yield "ops", "is where clients connect: operators need an address of their own"
    if file.zones and file.zone not in file.zones:
        yield "zone", f"is {file.zone!r}, not one of zones" if file.zone else "is missing, and zones is there"
    for index, target in enumerate(targets):
        if file.zones and target.zone not in file.zones:
            yield f"target_group.targets[{index}].zone", f"is {target.zone!r}, not one of zones"
        if file.kinds and target.kind not in file.kinds:
            yield f"target_group.targets[{index}].kind", f"is {target.kind!r}, not one of kinds"
        if target.address == file.listen:
            yield f"target_group.targets[{index}].address", "is where this proxy itself listens"
    if file.control and file.control.counts_as > 1:
        tier = file.peers
        if tier is None or _me(tier) + file.control.counts_as > len(tier.addresses):
            yield "control.counts_as", "needs as many addresses in peers, from the one of this service on"
    if file.measures and not file.ops:
        yield "measures", "needs ops: they are told there"
    if file.policy:
        yield from agreement(file, file.policy)
    if file.peers and not file.zones and (file.zone or any(target.zone for target in targets)):
        yield "zones", "is missing: proxies of a tier number their zones alike only where all list them"


CHECKS: dict[type, Any] = {
    TargetGroup: target_group,
    RequestClass: request_class,
    Limits: limits,
    Peers: peers,
    Control: control,
    Recovery: recovery,
    PolicyTable: policy,
    File: whole,
}
