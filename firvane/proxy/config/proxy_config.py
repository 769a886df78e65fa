"""The configuration of one proxy, independent of the format of its file."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

from firvane.core import interface as api
from firvane.core.address import Address

MAX_VOTERS = 5  # equals MAX_VOTERS of quorum/types.py, which a proxy without [policy] does not load


@dataclass(frozen=True)
class PolicyOptions:
    """Options of this proxy for the agreement on one policy; times are in seconds."""

    folder: str  # stores the votes of a voter and the texts of policies
    voters: tuple[int, ...]  # proxy numbers of the voters until a change replaces them
    admin_addresses: tuple[Address, ...]  # of the admin API of each proxy, by proxy number
    serve_without_lease: bool = False  # without a lease, serve by the last policy instead of refusing
    lease_duration_s: float = 3.0
    max_round_trip_s: float = 0.2  # answers that take longer are ignored
    sends_epoch: bool = False  # responses carry X-Policy-Epoch

    def errors(self, proxies: int) -> Iterator[tuple[str, str]]:
        """Yield pairs of a key and the reason why it is invalid in a tier of `proxies` proxies."""
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
        if not 0 < self.max_round_trip_s <= self.lease_duration_s / 4:
            bound = 250 * self.lease_duration_s
            yield (
                "trip_ms",
                f"is {1000 * self.max_round_trip_s:g}, not above 0 and up to a quarter of lease_s, {bound:g}",
            )


def voter_errors(voters: tuple[int, ...], proxies: int) -> Iterator[tuple[str, str]]:
    """Yield pairs of a key and the reason why these voters are invalid in a tier of `proxies` proxies."""
    if not 1 <= len(voters) <= MAX_VOTERS:
        yield "voters", f"are {len(voters)}, not 1 to {MAX_VOTERS}"
    if any(a >= b for a, b in pairwise(voters)):
        yield "voters", "are not in ascending order, each of them once"
    if voters and not 0 <= min(voters) <= max(voters) < proxies:
        yield "voters", f"names proxy {max(voters)}, and there are {proxies}, numbered from 0"


@dataclass(frozen=True)
class Config:
    """The configuration of one proxy; times are in seconds."""

    name: str
    listen: Address
    discovery: Address | None  # None: `known` is the list of targets, which changes only on reload
    seed: int
    sockets: int  # limit on open descriptors
    cores: float  # CPU limit, in cores
    memory_mb: float  # memory limit; a platform may kill a process that exceeds it
    peer_listen: Address | None
    peers: tuple[Address, ...]  # of all proxies of the tier, by proxy number
    peers_all: Address | None  # broadcast or multicast address of the tier, if there is one
    known: Any  # initial list of targets, in the format of discovery
    zones: tuple[str, ...]  # by the zone numbers in the settings and in messages between proxies
    kinds: tuple[str, ...]
    settings: api.Settings
    ops: Address | None = None  # address of the admin API; None: no admin API
    inherited: int | None = None  # descriptor of the listening socket for clients that the platform passes
    shape: frozenset[str] = frozenset()  # keys of the settings; a reloaded file must have them all
    snapshot: str | None = None  # path of the snapshot file; None: no snapshots
    snapshot_every: float = 5.0  # s
    policy: PolicyOptions | None = None  # None: only this proxy's own settings apply
    measures: bool = False  # count requests for the admin call `measures`
    version: str = ""  # the program version that `measures` reports; "": that of the package
    log_level: str = "info"
    log_format: str = "logfmt"
