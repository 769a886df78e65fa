"""What one proxy is told when it starts, whichever form it was written in."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

from firvane.core import interface as api
from firvane.core.address import Address

MAX_VOTERS = 5  # as in quorum/types.py, of which a proxy without [policy] loads nothing


@dataclass(frozen=True)
class PolicyOptions:
    """How this proxy takes part in the agreement on one policy; times are seconds."""

    folder: str  # where a voter's votes are kept, and the texts of policies
    voters: tuple[int, ...]  # numbers of proxies, as agreed on before the first_index change
    admin_addresses: tuple[Address, ...]  # where operators call each proxy, in the order of their numbers
    serve_without_lease: bool = False  # a proxy without a lease serves all the same, by the policy it had
    lease_s: float = 3.0
    round_trip_s: float = 0.2  # the longest way there and back that counts
    sends_epoch: bool = False  # answers carry X-Policy-Epoch

    def errors(self, proxies: int) -> Iterator[tuple[str, str]]:
        """What is not possible among so many proxies: pairs of a key and a reason."""
        yield from voter_errors(self.voters, proxies)
        if len(self.admin_addresses) != proxies:
            yield (
                "doors",
                f"are {len(self.admin_addresses)}, and there are {proxies} addresses in peers: one for each",
            )
        first_index: dict[Address, int] = {}
        for index, address in enumerate(self.admin_addresses):
            if address in first_index:
                yield f"doors[{index}]", f"is the same address as in doors[{first_index[address]}]"
            first_index.setdefault(address, index)
        if not 0 < self.round_trip_s <= self.lease_s / 4:
            max_ms = 250 * self.lease_s
            yield (
                "trip_ms",
                f"is {1000 * self.round_trip_s:g}, not above 0 and up to a quarter of lease_s, {max_ms:g}",
            )


def voter_errors(voters: tuple[int, ...], proxies: int) -> Iterator[tuple[str, str]]:
    """Why these cannot be the voters among so many proxies: pairs of a key and a reason."""
    if not 1 <= len(voters) <= MAX_VOTERS:
        yield "voters", f"are {len(voters)}, not 1 to {MAX_VOTERS}"
    if any(a >= b for a, b in pairwise(voters)):
        yield "voters", "are not in ascending order, each of them once"
    if voters and not 0 <= min(voters) <= max(voters) < proxies:
        yield "voters", f"names proxy {max(voters)}, and there are {proxies}, numbered from 0"


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
    policy: PolicyOptions | None = None  # None: this proxy's own settings alone decide
    measures: bool = False  # requests are counted for `measures`, too
    version: str = ""  # how the proxy calls its own there; "": the package's
    log_level: str = "info"
    log_format: str = "logfmt"
