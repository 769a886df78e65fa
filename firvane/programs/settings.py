"""The settings file of a daemon: YAML at the path in the environment variable `FIRVANE_BOOT`.

Unknown fields are ignored, since the platform may add some. A known field of the wrong type or range
makes the file invalid: `SettingsError` names the field, and `load_or_exit` prints it and ends the process.
"""

from __future__ import annotations

import dataclasses
import os
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NoReturn, TypeVar

import yaml

from firvane.core.address import Address, parse_address
from firvane.core.logs import Log

PATH_VARIABLE = "FIRVANE_BOOT"
EXIT_BAD_SETTINGS = 2
MAX_NUMBER = 1e15  # of any field, whatever its unit
MAX_PORT = 65535
PORT_RANGE_LENGTH = 2  # the first and the last port

T = TypeVar("T")


class SettingsError(Exception):
    """The settings file cannot be used; the text names the field and the reason."""


@dataclass(frozen=True, slots=True)
class Limits:
    """Resources that this process may use."""

    cpu_share: float = 1.0  # of one core
    cpu_cores: float = 1.0  # speed of that core relative to a reference core
    memory_mb: float = 256.0
    file_descriptors: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0.0


@dataclass(frozen=True, slots=True)
class FaultTolerance:
    """How many machines, zones and regions may fail at the same time without violating a guarantee."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Time limits and other bounds that the fleet guarantees; the suffix of a name is its unit."""

    seed_lag_s: float = 3.0
    reuse_after_s: float = 2.0
    contact_ms: float = 3000.0
    ack_ms: float = 4000.0
    catch_up_s: float = 4.0
    drain_ms: float = 3000.0
    grace_s: float = 8.0
    loss_slack_ms: float = 200.0
    config_apply_ms: float = 2000.0
    rollback_slack_ms: float = 250.0
    stretch_max_ms: float = 5000.0
    retry_budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    retry_slack: float = 50.0
    recovery_s: float = 12.0
    pass_ms: float = 120.0
    again_s: float = 0.0
    revocation_closed: bool = False
    revoke_ms: float = 5000.0
    quota_window_s: float = 8.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class CloudApi:
    """The platform's API, which lists the backends."""

    address: Address | None = None
    rate_per_s: float = 10.0  # calls of all processes together
    lag_ms: float = 0.0
    duties: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one process; the fields are named like their keys in the file."""

    node_name: str
    role: str
    zone: str
    ip_address: str
    internal_ports: tuple[int, int]  # first and last, both included
    region: str = ""
    zones: Mapping[str, str] = field(default_factory=dict)  # zone to region
    front: Address | None = None
    readiness: Address | None = None
    control: Address | None = None
    seeds: tuple[Address, ...] = ()  # control addresses
    first_start: bool = False
    loss_counted: bool = False
    limits: Limits = field(default_factory=Limits)
    data_directory: Path | None = None
    heartbeat_ms: float = 1000.0
    active_contracts: tuple[str, ...] = ()
    fault_tolerance: FaultTolerance = field(default_factory=FaultTolerance)
    bounds: Bounds = field(default_factory=Bounds)
    cloud_api: CloudApi = field(default_factory=CloudApi)

    @property
    def internal_address(self) -> Address:
        """The address at which the other processes of the fleet reach this one, over UDP and TCP."""
        return self.ip_address, self.internal_ports[0]

    @property
    def seed_internal(self) -> tuple[Address, ...]:
        """The internal addresses of the seeds, as all machines use the same internal ports."""
        return tuple((host, self.internal_ports[0]) for host, _ in self.seeds)


def load_settings(path: str | Path) -> Settings:
    """Read and check a settings file.

    Raises:
        SettingsError: The file cannot be read, or a field is invalid.
    """
    try:
        text = Path(path).read_bytes()
        document = yaml.load(text, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: is not YAML: {' '.join(str(error).split())}") from None
    if not isinstance(document, dict):
        raise SettingsError(f"{path}: is not a mapping of fields")
    return parse_settings(document)


def load_or_exit() -> Settings:
    """Return the settings of this process; invalid ones end it with status 2 and a line on standard error."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        _exit(f"{PATH_VARIABLE} does not name a settings file")
    try:
        return load_settings(path)
    except SettingsError as error:
        _exit(str(error))


def reload_settings(log: Log) -> Settings | None:
    """Return the current settings; None, with a log line, where they are invalid."""
    try:
        return load_settings(os.environ.get(PATH_VARIABLE, ""))
    except SettingsError as error:
        log.error("settings_invalid", reason=str(error))
        return None


def _exit(reason: str) -> NoReturn:
    print(f"settings: {reason}", file=sys.stderr, flush=True)
    sys.exit(EXIT_BAD_SETTINGS)


def parse_settings(document: Mapping[str, Any]) -> Settings:
    """Return the settings in a parsed document.

    Raises:
        SettingsError: A field is invalid.
    """
    listen = _mapping(document, "listen_addresses")
    directory = _text(document, "data_directory", "")
    return Settings(
        node_name=_text(document, "node_name"),
        role=_text(document, "role"),
        zone=_text(document, "zone"),
        ip_address=_host(document, "ip_address"),
        internal_ports=_ports(document, "internal_ports"),
        region=_text(document, "region", ""),
        zones={str(zone): str(region) for zone, region in _mapping(document, "zones").items()},
        front=_address(listen, "front"),
        readiness=_address(listen, "readiness"),
        control=_address(listen, "control"),
        seeds=_addresses(document, "seed_nodes"),
        first_start=_flag(document, "first_start"),
        loss_counted=_flag(document, "loss_counted"),
        limits=_numbers_from(Limits, document, "limits"),
        data_directory=Path(directory) if directory else None,
        heartbeat_ms=_number(document, "heartbeat_ms", 1000.0),
        active_contracts=_texts(document, "active_contracts"),
        fault_tolerance=_numbers_from(FaultTolerance, document, "fault_tolerance"),
        bounds=_numbers_from(Bounds, document, "bounds"),
        cloud_api=_cloud_api(_mapping(document, "cloud_api")),
    )


def _cloud_api(mapping: Mapping[str, Any]) -> CloudApi:
    return CloudApi(
        address=_address(mapping, "address"),
        rate_per_s=_number(mapping, "rate_per_s", CloudApi().rate_per_s),
        lag_ms=_number(mapping, "lag_ms", CloudApi().lag_ms),
        duties=_texts(mapping, "duties"),
    )


def _numbers_from(kind: type[T], document: Mapping[str, Any], name: str) -> T:
    """Return a dataclass of numbers and flags with defaults, from the mapping of that name."""
    mapping = _mapping(document, name)
    defaults = dataclasses.asdict(kind())  # type: ignore[call-overload]  # a dataclass
    values: dict[str, float] = {}
    for field_name, default in defaults.items():
        if isinstance(default, bool):
            values[field_name] = _flag(mapping, field_name)
            continue
        value = _number(mapping, field_name, default)
        values[field_name] = int(value) if isinstance(default, int) else value
    return kind(**values)


def _number(mapping: Mapping[str, Any], name: str, default: float) -> float:
    value = mapping.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise SettingsError(f"{name}: {value!r} is not a number")
    if not 0 <= value <= MAX_NUMBER:
        raise SettingsError(f"{name}: {value!r} is not between 0 and {MAX_NUMBER:g}")
    return float(value)


def _flag(mapping: Mapping[str, Any], name: str) -> bool:
    value = mapping.get(name, False)
    if not isinstance(value, bool):
        raise SettingsError(f"{name}: {value!r} is neither true nor false")
    return value


def _text(mapping: Mapping[str, Any], name: str, default: str | None = None) -> str:
    value = mapping.get(name)
    if value is None and default is not None:
        return default
    if value is None:
        raise SettingsError(f"{name}: is missing")
    if not isinstance(value, str):
        raise SettingsError(f"{name}: {value!r} is not a string")
    return value


def _texts(mapping: Mapping[str, Any], name: str) -> tuple[str, ...]:
    return tuple(str(item) for item in _list(mapping, name))


def _list(mapping: Mapping[str, Any], name: str) -> list[Any]:
    value = mapping.get(name)
    if value is None:
        return []
    if not isinstance(value, list):
        raise SettingsError(f"{name}: is not a list")
    return value


def _mapping(mapping: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = mapping.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise SettingsError(f"{name}: is not a mapping")
    return value


def _address(mapping: Mapping[str, Any], name: str) -> Address | None:
    value = mapping.get(name)
    return None if value is None else _parse_address(value, name)


def _addresses(mapping: Mapping[str, Any], name: str) -> tuple[Address, ...]:
    return tuple(_parse_address(item, f"{name}[{index}]") for index, item in enumerate(_list(mapping, name)))


def _parse_address(value: object, name: str) -> Address:
    try:
        return parse_address(value)
    except ValueError as error:
        raise SettingsError(f"{name}: {error}") from None


def _host(mapping: Mapping[str, Any], name: str) -> str:
    host = _text(mapping, name)
    return _parse_address(f"{host}:0", name)[0]


def _ports(mapping: Mapping[str, Any], name: str) -> tuple[int, int]:
    ports = _list(mapping, name)
    numeric = all(isinstance(port, int) and not isinstance(port, bool) for port in ports)
    if len(ports) != PORT_RANGE_LENGTH or not numeric or not 0 < ports[0] <= ports[1] <= MAX_PORT:
        raise SettingsError(f"{name}: is not a first and a last port")
    return ports[0], ports[1]
