"""The configuration of a supervisor: one slot, its addresses, and how each version is started. TOML.

Invariants:

1. A version is a command and an environment. Other settings of one program are a version, too: the same
   command, and another configuration file.
2. The command is the program itself: a shell that waits for it would be terminated in its place.
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
    """The configuration of one slot; the names of the fields are the keys of the file."""

    name: Name
    zone: Name
    listen: str  # the clients' address, which the supervisor listens on
    door: str  # the address of the supervisor's API
    ops: Annotated[tuple[str, ...], Meta(min_length=2)]  # one for each process that is there at a time
    state: Annotated[str, Meta(min_length=1)]  # the file of the slot's durable state
    version: Name  # that serves where the state's file says nothing
    log: str = ""  # the file that processes write to; "": where the supervisor writes
    ready_s: Seconds = 30.0
    prove_s: Seconds = 2.0
    end_s: Seconds = 5.0
    versions: dict[str, Version]

    @property
    def timeouts(self) -> ProcessTimeouts:
        """The time-outs of the slot's processes."""
        return ProcessTimeouts(self.ready_s, self.prove_s, self.end_s)


def find_inconsistencies(config: SupervisorConfig) -> Iterator[tuple[str, str]]:
    """Yield the key and the reason of each value that does not fit the others."""
    addresses = {"listen": config.listen, "door": config.door}
    addresses |= {f"ops[{n}]": address for n, address in enumerate(config.ops)}
    seen: dict[str, str] = {}
    for key, address in addresses.items():
        try:
            parse_address(address)
        except ValueError as error:
            yield key, str(error)
        if address in seen:
            yield key, f"is that of {seen[address]} already"
        seen.setdefault(address, key)
    if config.version not in config.versions:
        yield "version", f"must be one of {', '.join(sorted(config.versions)) or 'the versions'}"


CHECKS: validation.Checks = {SupervisorConfig: find_inconsistencies}


def is_supervisor_config(raw: object) -> bool:
    """Whether bare data is meant as a supervisor's configuration."""
    return isinstance(raw, dict) and "versions" in raw and "door" in raw


def read(path: str) -> SupervisorConfig:
    """Return the configuration in a file.

    Raises:
        ValidationError: With everything that is wrong with it.
    """
    return validation.read(path, SupervisorConfig, CHECKS)
