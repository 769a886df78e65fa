"""The TOML configuration of a supervisor: one slot, its addresses, and how each version is started.

Invariants:

1. A version is a command and an environment. The same program with other settings is another version: the
   same command with another configuration file.
2. The command starts the program itself: a wrapping shell would receive the signals instead of the program.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

import msgspec
from msgspec import Meta

from firvane.core import validation
from firvane.core.address import parse_address
from firvane.proxy.rollout.plan import Name, Version
from firvane.proxy.rollout.slot_types import ProcessTimeouts

Seconds = Annotated[float, Meta(gt=0, le=3600)]


class SupervisorConfig(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The configuration of one slot; the field names are the keys of the file."""

    name: Name
    zone: Name
    listen: str  # the address for clients; the supervisor listens on it
    door: str  # the address of the supervisor's API
    ops: Annotated[
        tuple[str, ...], Meta(min_length=2)
    ]  # admin API addresses, one for each process that can run at a time
    state: Annotated[str, Meta(min_length=1)]  # path of the slot's durable state
    version: Name  # the version to serve if there is no state file
    log: str = ""  # path of the log file of the processes; "" for the output of the supervisor
    ready_s: Seconds = 30.0
    prove_s: Seconds = 2.0
    end_s: Seconds = 5.0
    versions: dict[str, Version]

    @property
    def timeouts(self) -> ProcessTimeouts:
        """The time-outs of the slot's processes."""
        return ProcessTimeouts(self.ready_s, self.prove_s, self.end_s)


def find_inconsistencies(config: SupervisorConfig) -> Iterator[tuple[str, str]]:
    """Yield the key and the reason of each value that is inconsistent with others."""
    addresses = {"listen": config.listen, "door": config.door}
    addresses |= {f"ops[{n}]": address for n, address in enumerate(config.ops)}
    seen: dict[str, str] = {}
    for key, address in addresses.items():
        try:
            parse_address(address)
        except ValueError as error:
            yield key, str(error)
        if address in seen:
            yield key, f"is used by {seen[address]} already"
        seen.setdefault(address, key)
    if config.version not in config.versions:
        yield "version", f"must be one of {', '.join(sorted(config.versions)) or 'the versions'}"


CHECKS: validation.Checks = {SupervisorConfig: find_inconsistencies}


def is_supervisor_config(raw: object) -> bool:
    """Whether unvalidated data is a supervisor's configuration, by its keys."""
    return isinstance(raw, dict) and "versions" in raw and "door" in raw


def read(path: str) -> SupervisorConfig:
    """Return the supervisor configuration in a file.

    Raises:
        ValidationError: The configuration is not valid; the error lists all violations.
    """
    return validation.read(path, SupervisorConfig, CHECKS)
