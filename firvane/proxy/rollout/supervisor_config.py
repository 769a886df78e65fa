"""A keeper's file: a place, its addresses, and how each version is started in it. TOML.

Rules that hold here and nowhere else:

1. A version is a command and an environment. Other settings of one program are a version, too: the same
   command, and another configuration file.
2. The command is the program itself: a shell that waits for it would be what is told to end.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

import msgspec
from msgspec import Meta

from firvane.core import validation
from firvane.core.address import parse_address
from firvane.proxy.rollout.plan import Name, Version
from firvane.proxy.rollout.slot_types import Times

Span = Annotated[float, Meta(gt=0, le=3600)]


class Site(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One place."""

    name: Name
    zone: Name
    listen: str  # the clients' address, which the keeper holds
    door: str  # where the keeper is called
    ops: Annotated[tuple[str, ...], Meta(min_length=2)]  # one for each process that is there at a time
    state: Annotated[str, Meta(min_length=1)]  # the file in which the keeper finds itself again
    version: Name  # that serves where the state's file says nothing
    log: str = ""  # the file to which processes write; else where the keeper does
    ready_s: Span = 30.0
    prove_s: Span = 2.0
    end_s: Span = 5.0
    versions: dict[str, Version]

    @property
    def times(self) -> Times:
        return Times(self.ready_s, self.prove_s, self.end_s)


def whole(site: Site) -> Iterator[tuple[str, str]]:
    """What must fit together."""
    named = {"listen": site.listen, "door": site.door}
    named |= {f"ops[{n}]": address for n, address in enumerate(site.ops)}
    seen: dict[str, str] = {}
    for key, address in named.items():
        try:
            parse_address(address)
        except ValueError as error:
            yield key, str(error)
        if address in seen:
            yield key, f"is that of {seen[address]} already"
        seen.setdefault(address, key)
    if site.version not in site.versions:
        yield "version", f"must be one of {', '.join(sorted(site.versions)) or 'the versions'}"


CHECKS: validation.Checks = {Site: whole}


def is_site(raw: object) -> bool:
    """Whether bare data is meant as a keeper's file."""
    return isinstance(raw, dict) and "versions" in raw and "door" in raw


def read(path: str) -> Site:
    """The place in a file; raises `validation.ValidationError` with everything that is wrong with it."""
    return validation.read(path, Site, CHECKS)
