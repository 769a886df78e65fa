"""The bounded-load walk: the servers of a slice in a key's order, for whoever stops at the first that fits.

Rules that hold here and nowhere else:

1. The key's own server comes first, where the caller names one.
2. Then, in a slice of up to `SMALL`, all others by `mix(salt, hash)`: rendezvous order, as it always was.
3. In a larger one the owners of places on the key ring that depend on the key and the number of the look
   alone, as far as they are of the slice. A server is met again and again but named once. So a key whose
   servers are full spreads over all others, not over its neighbours, and one server more or less changes
   only the looks that meet it.
4. The looks suffice for `NAMED` of the slice on average, and are `LOOKS` at the most. Where all fail the
   caller asks the index for the least loaded: the end of a walk does not tell that none fits.

Nothing is worked out before it is asked for: most walks end at the first server.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator

from firvane.core.balancing.records import Backend, mix
from firvane.proxy.routing.hash_ring import Ring

SMALL = 16  # servers whose order is worked out in full: costs no more than the looks
NAMED = 16  # where a third of a slice are full all of these fail once in 40 million walks
LOOKS = 128


def walk(
    ring: Ring, members: Collection[Backend], key: int, first: Backend | None = None
) -> Iterator[Backend]:
    """The servers of a slice in the order of a key's hash, each once; not all of a large slice.

    `members` is the slice, as a dict or a set, and `ring` the key ring that all of it is on.
    """
    if first is not None:
        yield first
    if len(members) <= SMALL:
        for _, _, server in sorted([(mix(s.id_hash, key), s.entry.id, s) for s in members]):
            if server is not first:
                yield server
        return
    met: list[Backend] = []
    for look in range(1, min(LOOKS, NAMED * len(ring) // len(members)) + 1):
        found = ring.owner(mix(key, look))
        if found is not None and found is not first and found in members and found not in met:
            met.append(found)
            yield found
