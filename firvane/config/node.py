"""What one proxy is told when it starts, whichever form it was written in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from firvane import interface as api
from firvane.address import Address


@dataclass(frozen=True)
class Config:
    """Frozen; times are seconds."""

    name: str
    listen: Address
    discovery: Address | None  # None: `known` is the list, and changes with a reload alone
    seed: int
    sockets: int  # descriptors that it may hold
    cores: float  # of a processor that it may use
    memory_mb: float  # that it may hold; beyond that a platform may kill it
    peer_listen: Address | None
    peers: tuple[Address, ...]  # of all proxies of the tier in the order of their numbers
    peers_all: Address | None  # where a datagram for each of them goes
    known: Any  # the list of targets as last known, in discovery's form
    zones: tuple[str, ...]  # as numbered in the settings and between the proxies
    kinds: tuple[str, ...]
    settings: api.Settings
    ops: Address | None = None  # where operators call; None: nowhere
    inherited: int | None = None  # the descriptor of a listening socket that the platform holds for clients
    shape: frozenset[str] = frozenset()  # the settings' keys, all of which a later file must have
    snapshot: str | None = None  # the file in which what was learnt is kept; None: nowhere
    snapshot_every: float = 5.0  # s
    log_level: str = "info"
    log_format: str = "logfmt"
