"""The bounded-load walk: the servers of a slice in a key's order; the caller stops at the first that fits.

Invariants:

1. The key's own server comes first, if the caller names one.
2. Then, in a slice of up to `MAX_SORTED_SERVERS`, all others by `mix(salt, hash)`: rendezvous order.
3. In a larger slice the owners of pseudo-random positions on the key ring, which depend only on the key and
   the number of the probe, as far as they belong to the slice. Each server is yielded once. So the keys of a
   full server spread over all others and not over its neighbours, and one server more or less changes only
   the probes that hit it.
4. The probes suffice for `MEAN_WALK_LENGTH` servers of the slice on average; there are at most `MAX_PROBES`.
   Where all fail the caller asks the index for the least loaded: the end of a walk does not mean that no
   server fits.

The order is computed lazily: most walks end at the first server.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from firvane.core.balancing.records import Backend, mix
from firvane.proxy.routing.hash_ring import Ring

MAX_SORTED_SERVERS = 16  # servers that are all sorted; this costs no more than the probes
MEAN_WALK_LENGTH = 16  # with a third of a slice full, all of these are full once in 40 million walks
MAX_PROBES = 128


def walk(
    ring: Ring, members: Collection[Backend], key: int, first: Backend | None = None
) -> Iterator[Backend]:
    """Yield the servers of a slice in the order of a key's hash, each once; not all of a large slice.

    `members` is the slice, as a dict or a set; all its servers are on the key ring `ring`.
    """
    if first is not None:
        yield first
    if len(members) <= MAX_SORTED_SERVERS:
        for _, _, server in sorted([(mix(s.id_hash, key), s.entry.id, s) for s in members]):
            if server is not first:
                yield server
        return
    yielded: list[Backend] = []
    for probe in range(1, min(MAX_PROBES, MEAN_WALK_LENGTH * len(ring) // len(members)) + 1):
        candidate = ring.owner(mix(key, probe))
        if (
            candidate is not None
            and candidate is not first
            and candidate in members
            and candidate not in yielded
        ):
            yielded.append(candidate)
            yield candidate
