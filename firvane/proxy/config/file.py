"""Converts `firvane.toml` to the `Config` of one proxy, as `platform.py` does with the platform's JSON."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

from firvane.core import interface as api
from firvane.core import validation
from firvane.core.address import parse_address
from firvane.proxy.config.checks import CHECKS
from firvane.proxy.config.model import File, Recovery, RequestClass, TargetGroup
from firvane.proxy.config.proxy_config import Config

TICK = 0.005  # s: precision with which deadlines are met, apart from the lag of the event loop
REPEATS = {"safe": api.Idempotency.SAFE, "keyed": api.Idempotency.KEYED, "unsafe": api.Idempotency.UNSAFE}


def read_file(path: str | Path) -> Config:
    """Return the configuration in a file; raises `ValidationError` with all of its errors."""
    file = validation.read(path, File, CHECKS)
    if file.control:
        reason = "is for a control service (firvane control FILE), not for a proxy"
        raise validation.ValidationError([validation.Violation(str(path), "control", reason)])
    return build_config(file)


def build_config(file: File) -> Config:
    """Return the configuration of one proxy; the seed is random where the file has none."""
    limits, group = file.limits, file.target_group
    zones = file.zones or _unique_names(file.zone, *(target.zone for target in group.targets))
    kinds = file.kinds or _unique_names(*(target.kind for target in group.targets))
    return Config(
        name=file.name,
        listen=parse_address(file.listen),
        discovery=parse_address(group.discovery) if group.discovery else None,
        seed=int.from_bytes(os.urandom(8), "big") if file.seed is None else file.seed,
        sockets=limits.sockets,
        peer_listen=parse_address(file.peers.listen) if file.peers else None,
        peers=tuple(map(parse_address, file.peers.addresses)) if file.peers else (),
        peers_all=parse_address(file.peers.everyone) if file.peers and file.peers.everyone else None,
        known=_static_list(group) if group.targets else None,
        zones=zones,
        kinds=kinds,
        settings=_settings(file, zones),
        snapshot=file.recovery.snapshot if file.recovery else None,
        snapshot_every=file.recovery.snapshot_every_s if file.recovery else Config.snapshot_every,
        policy=file.policy.options() if file.policy else None,
        ops=parse_address(file.ops) if file.ops else None,
        measures=file.measures,
        version=os.environ.get("FIRVANE_VERSION", ""),
        cores=limits.cores,
        memory_mb=limits.memory_mb,
        log_level=file.log.level,
        log_format=file.log.format,
    )


def _unique_names(*names: str) -> tuple[str, ...]:
    """Return the names that are not empty without duplicates, in order of appearance."""
    return tuple(dict.fromkeys(name for name in names if name))


def _static_list(group: TargetGroup) -> dict[str, Any]:
    """Return a static list of targets in the format of discovery, so that one parser reads both."""
    return {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {
                "name": target.name or target.address,
                "address": target.address,
                "zone": target.zone,
                "type": target.kind,
                "group": target.cell,
                "status": "draining" if target.draining else "up",
                "weight": target.weight,
            }
            for target in group.targets
        ],
    }


def request_class(cls: RequestClass) -> api.RequestClass:
    return api.RequestClass(
        name=cls.name,
        latency_target=cls.aim_ms / 1000,
        deadline=cls.deadline_ms / 1000,
        value=cls.worth,
        late_value_fraction=cls.late_share,
        idempotency=REPEATS[cls.repeat],
        dedup_scope=api.DedupScope(cls.repeats_dropped_by),
        dedup_window=cls.repeats_dropped_for_s,
    )


def _recovery(section: Recovery | None) -> api.RecoveryOptions | None:
    if section is None:
        return None
    return api.RecoveryOptions(section.trials, section.steps, section.first_tries, section.ask)


def _settings(file: File, zones: tuple[str, ...]) -> api.Settings:
    limits, rules, tier = file.limits, file.rules, file.peers
    own_index = 0
    if tier:
        own_index = tier.addresses.index(tier.listen) if tier.me is None else tier.me
    return api.Settings(
        me=own_index,
        proxies=len(tier.addresses) if tier else 1,
        tick=TICK,
        classes=tuple(map(request_class, file.classes)),
        rules=api.Rules(
            answer_slack=rules.answer_slack_ms / 1000,
            drain_grace=rules.drain_grace_s,
            start_capacity=rules.start_capacity,
            slow_start=rules.cold_s,
            fall_multiple=rules.fall_multiple,
            fall_window=rules.fall_s,
        ),
        limits=api.Limits(
            max_attempts=limits.attempts,
            cancel=limits.cancel,
            hedging=limits.second_copies,
            peers=tier is not None,
            probes=limits.probes,
            retry_after=limits.retry_after,
            max_retry_after=limits.most_retry_after_s,
            max_open_requests=limits.open_flows,
            connect_timeout=limits.connect_ms / 1000,
            connection_idle_timeout=limits.target_idle_s,
        ),
        tenants=tuple(api.Tenant(t.name, t.share, t.quota_rps) for t in file.tenants),
        zone=zones.index(file.zone) if file.zone in zones else 0,
        zones=max(1, len(zones)),
        over_quota_value=file.over_share_worth,
        key_affinity=file.remembers_keys,
        recovery=_recovery(file.recovery),
    )
