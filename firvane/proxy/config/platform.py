"""Reads the configuration of one proxy from the environment and the JSON file of the platform."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import fields, replace
from typing import Any

from firvane.core import interface as api
from firvane.core.address import Address, parse_address
from firvane.core.logs import FORMATS, LEVELS
from firvane.proxy.config.proxy_config import Config, PolicyOptions
from firvane.proxy.limits.descriptors import MIN_DESCRIPTORS
from firvane.proxy.limits.memory_costs import derive
from firvane.proxy.settings import MAX_SHOWN_CHARS, is_number, parse_settings, shape

ADMIN_DESCRIPTORS = 20  # reserved for the admin API, as in admin_api/server.py
DEFAULT_LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


def read_config(environment: Mapping[str, str], again: bool = False) -> Config:
    """Return the configuration.

    At the start the environment takes precedence over the file. When the file is read `again` the file takes
    precedence, since the environment dates from the start of the process.

    Raises:
        ValueError: The configuration is invalid; the message is one line with file, key and remedy.
        OSError: The file cannot be read.
    """
    path = environment.get("NODE_CONFIG")
    if not path:
        raise ValueError("NODE_CONFIG is not set: give the path of the configuration")
    with open(path, encoding="utf-8") as file:
        try:
            data = json.load(file)
        except ValueError as error:
            raise ValueError(f"{path} is not JSON: {error}") from None
        except RecursionError:
            raise ValueError(f"{path} is nested too deep") from None
    if not isinstance(data, dict):
        raise ValueError(f"{path} does not hold an object")
    try:
        # A key with the value null counts as missing, here as in the settings.
        present = {key: value for key, value in data.items() if value is not None}
        return _read(present, environment, again)
    except ValueError as error:
        # The message names the file, and stays on one line whatever a value contains.
        raise ValueError(f"{path}: {' '.join(str(error).split())}") from None


def _read(data: dict[str, Any], environment: Mapping[str, str], again: bool) -> Config:
    """Return the configuration in the JSON object of the file; raises `ValueError` that names the key."""

    def address(key: str, variable: str = "") -> Address:
        candidates = [(environment.get(variable), variable), (data.get(key), key)]
        (first, name), second = reversed(candidates) if again else candidates
        value, name = (first, name) if first else second
        try:
            return parse_address(value)
        except ValueError as error:
            raise ValueError(f"{name or key}: {error}") from None

    raw = data.get("settings")
    if not isinstance(raw, dict):
        raise ValueError("settings is missing or not an object")

    def names(key: str) -> tuple[str, ...]:
        values = raw.get(key)
        if values is not None and not isinstance(values, list):
            raise ValueError(f"settings: {key} is not a list: put it in brackets")
        return tuple(map(str, values or ()))

    settings = replace(parse_settings(raw), recovery=_recovery(data.get("recovery")))
    limits = data.get("limits", {})
    if not isinstance(limits, dict):
        raise ValueError("limits is not an object")
    numbers = {
        key: default if (value := limits.get(key)) is None else value
        for key, default in DEFAULT_LIMITS.items()
    }
    for key, value in numbers.items():
        if not is_number(value):
            raise ValueError(f"limits.{key} is {value!r}, not a number")
    ops = address("ops", "NODE_OPS") if data.get("ops") or environment.get("NODE_OPS") else None
    sockets = int(numbers["sockets"])
    derive(numbers["memory_mb"], sockets, numbers["cores"])
    # The admin API reserves its descriptors before the proxy assigns the others.
    if ops and sockets < (minimum := MIN_DESCRIPTORS + ADMIN_DESCRIPTORS):
        raise ValueError(
            f"limits.sockets is {sockets}: at least {minimum} are needed, "
            f"of which the admin API reserves {ADMIN_DESCRIPTORS}"
        )
    recovery_table = data.get("recovery") or {}
    log = _log(environment, data.get("log", {}))
    peers = data.get("peers", [])
    if not isinstance(peers, list):
        raise ValueError("peers is not a list")
    try:
        seed = int(str(data.get("seed", "0")), 16)
    except ValueError:
        raise ValueError(f"seed is {str(data['seed'])[:MAX_SHOWN_CHARS]!r}, not hexadecimal digits") from None
    try:
        tier = tuple(map(parse_address, peers))
    except ValueError as error:
        raise ValueError(f"peers: {error}") from None
    policy = _policy(data.get("policy"))
    if policy:
        if ops is None or not tier or not data.get("peer_listen"):
            raise ValueError("policy needs ops, peers and peer_listen")
        for key, reason in policy.errors(len(tier)):
            raise ValueError(f"policy.{key} {reason}")
    measures = data.get("measures", False)
    if not isinstance(measures, bool):
        raise ValueError(f"measures is {measures!r}, not true or false")
    inherited = environment.get("NODE_SOCKET_FD") or None
    if inherited is not None and not (inherited.isdecimal() and len(inherited) < 8):
        raise ValueError(f"NODE_SOCKET_FD is {inherited!r}, not the number of a descriptor")
    return Config(
        name=environment.get("NODE_NAME") or str(data.get("name", "")),
        listen=address("listen", "NODE_LISTEN"),
        discovery=address("discovery", "NODE_DISCOVERY"),
        seed=seed,
        sockets=sockets,
        cores=numbers["cores"],
        memory_mb=numbers["memory_mb"],
        peer_listen=address("peer_listen") if data.get("peer_listen") else None,
        peers=tier,
        peers_all=address("peers_all") if data.get("peers_all") else None,
        known=data.get("known"),
        zones=names("dcs"),
        kinds=names("machine-types"),
        settings=settings,
        snapshot=recovery_table.get("snapshot"),
        snapshot_every=recovery_table.get("snapshot_every", Config.snapshot_every),
        shape=shape(raw),
        policy=policy,
        ops=ops,
        inherited=None if inherited is None else int(inherited),
        measures=measures,
        version=environment.get("FIRVANE_VERSION", ""),
        log_level=log["level"],
        log_format=log["format"],
    )


def _recovery(table: Any) -> api.RecoveryOptions | None:
    """Return the options of the recovery from a power loss; raises `ValueError` for a bad key."""
    if table is None:
        return None
    if not isinstance(table, dict):
        raise ValueError("recovery is not an object")
    types: dict[str, type | tuple[type, ...]] = {field.name: bool for field in fields(api.RecoveryOptions)}
    types |= {"snapshot": str, "snapshot_every": (int, float)}
    table = {key: value for key, value in table.items() if value is not None}
    for key, value in table.items():
        if key not in types:
            raise ValueError(f"recovery.{key} is not one of {', '.join(sorted(types))}")
        in_range = key != "snapshot_every" or (is_number(value) and 0.1 <= value <= 3600)
        if not isinstance(value, types[key]) or not in_range:
            raise ValueError(f"recovery.{key} is {value!r}")
    return api.RecoveryOptions(**{key: table[key] for key in table if types[key] is bool})


def _policy(table: Any) -> PolicyOptions | None:
    """Return the options of the policy agreement, which the platform itself never sets.

    Raises:
        ValueError: A key is unknown, missing or invalid.
    """
    if table is None:
        return None
    if not isinstance(table, dict):
        raise ValueError("policy is not an object")
    checks: dict[str, Callable[[Any], bool]] = {
        "folder": lambda value: isinstance(value, str) and bool(value),
        "doors": lambda value: isinstance(value, list),
        "voters": lambda value: isinstance(value, list) and all(type(number) is int for number in value),
        "without_lease": lambda value: value in ("refuse", "serve"),
        "lease_s": lambda value: is_number(value) and 0.5 <= value <= 60,
        "trip_ms": is_number,
        "tell": lambda value: isinstance(value, bool),
    }
    for key, value in table.items():
        if key not in checks:
            raise ValueError(f"policy.{key} is not one of {', '.join(sorted(checks))}")
        if not checks[key](value):
            raise ValueError(f"policy.{key} is {value!r}")
    for key in ("folder", "doors"):
        if key not in table:
            raise ValueError(f"policy.{key} is missing")
    try:
        admin_addresses = tuple(map(parse_address, table["doors"]))
    except ValueError as error:
        raise ValueError(f"policy.doors: {error}") from None
    return PolicyOptions(
        folder=table["folder"],
        voters=tuple(table.get("voters", (0, 1, 2))),
        admin_addresses=admin_addresses,
        serve_without_lease=table.get("without_lease") == "serve",
        lease_duration_s=float(table.get("lease_s", PolicyOptions.lease_duration_s)),
        max_round_trip_s=table.get("trip_ms", 1000 * PolicyOptions.max_round_trip_s) / 1000,
        sends_epoch=table.get("tell", PolicyOptions.sends_epoch),
    )


def _log(environment: Mapping[str, str], table: Any) -> dict[str, str]:
    """Return level and format of the log: of the file, else of the environment, else the defaults.

    Raises:
        ValueError: A level or a format is unknown.
    """
    if not isinstance(table, dict):
        raise ValueError("log is not an object")
    options = {}
    for key, allowed in (("level", tuple(LEVELS)), ("format", FORMATS)):
        value = table.get(key)
        options[key] = str(
            value or environment.get(f"FIRVANE_LOG_{key.upper()}") or getattr(Config, f"log_{key}")
        )
        if options[key] not in allowed:
            raise ValueError(f"log.{key} is {options[key]!r}, not one of {', '.join(allowed)}")
    return options
