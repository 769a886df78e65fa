"""What must fit together across the keys of `firvane.toml`. Each yields the key and the reason."""

from __future__ import annotations

import os
from collections.abc import Iterable, Iterator
from importlib.util import find_spec
from pathlib import Path
from typing import Any

from firvane.config.model import Control, File, Limits, Peers, Recovery, RequestClass, TargetGroup
from firvane.limits.costs import derive

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
    if given.snapshot is None:
        return
    if find_spec("google_crc32c") is None:
        yield "snapshot", "needs more than a proxy does: pip install 'firvane[snapshots]'"
    folder = Path(given.snapshot).absolute().parent
    if not folder.is_dir():
        yield "snapshot", f"is {given.snapshot!r}, and there is no folder {folder}"
    elif not os.access(folder, os.W_OK):
        yield "snapshot", f"is {given.snapshot!r}, and {folder} may not be written to"


def whole(file: File) -> Found:
    yield from _twice("classes[{}].name", (cls.name for cls in file.classes), "class")
    yield from _twice("tenants[{}].name", (tenant.name for tenant in file.tenants), "tenant")
    yield from _twice("zones[{}]", file.zones, "zone")
    yield from _twice("kinds[{}]", file.kinds, "kind")
    if (shares := sum(tenant.share for tenant in file.tenants)) > 1.0 + 1e-6:
        yield "tenants", f"have shares that add up to {shares:g}, above 1"
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
        me, tier = 0, file.peers
        if tier:
            me = tier.me if tier.me is not None else tier.addresses.index(tier.listen)
        if tier is None or me + file.control.counts_as > len(tier.addresses):
            yield "control.counts_as", "needs as many addresses in peers, from the one of this service on"
    if file.peers and not file.zones and (file.zone or any(target.zone for target in targets)):
        yield "zones", "is missing: proxies of a tier number their zones alike only where all list them"


CHECKS: dict[type, Any] = {
    TargetGroup: target_group,
    RequestClass: request_class,
    Limits: limits,
    Peers: peers,
    Control: control,
    Recovery: recovery,
    File: whole,
}
