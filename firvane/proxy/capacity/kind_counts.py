"""Response counts that a proxy announces to its peers: responses of warm servers, by kind of server.

Invariants:

1. The counts only grow, so that a lost message costs nothing: the next one covers it.
2. The first message of a peer adds nothing: its counts may be old. Counts lower than the last ones mean that
   the peer has restarted, and are added in full. A message older than one already received is dropped.
3. A message begins with a version that readers of rows do not know and ignore.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping

VERSION, MAX_KINDS = 3, 32  # of a message
PREFIX = bytes((VERSION,))  # first byte of a message
HEAD, COUNT = struct.Struct("<BBQ"), struct.Struct("<BI")  # version, kinds, ms; kind, answers


def pack(responses: Mapping[int, int], now: float) -> bytes:
    """Return the counts as bytes; kinds beyond the first `MAX_KINDS` are left out."""
    kinds = sorted(kind for kind in responses if kind < 256)[:MAX_KINDS]
    entries = b"".join(COUNT.pack(kind, responses[kind] & 0xFFFFFFFF) for kind in kinds)
    return HEAD.pack(VERSION, len(kinds), int(now * 1000)) + entries


def unpack(payload: bytes) -> tuple[int, dict[int, int]]:
    """Return the time of sending in ms, and the counts.

    Raises:
        ValueError, struct.error: the payload is not a message of counts.
    """
    version, count, sent_at = HEAD.unpack_from(payload)
    counts = dict(COUNT.iter_unpack(payload[HEAD.size :]))
    if version != VERSION or len(counts) != count or count > MAX_KINDS:
        raise ValueError("not a message of response counts by kind")
    return sent_at, counts


class PeerCounts:
    """The last counts received from each peer."""

    def __init__(self) -> None:
        self.last: dict[int, tuple[int, dict[int, int]]] = {}

    def update(self, sender: int, payload: bytes) -> dict[int, int]:
        """Return the responses by kind that a message adds; raises the errors of `unpack`."""
        sent_at, counts = unpack(payload)
        last_sent_at, last_counts = self.last.get(sender, (0, counts))
        if sent_at <= last_sent_at:
            return {}
        self.last[sender] = sent_at, counts
        restarted = any(counts.get(kind, 0) < count for kind, count in last_counts.items())
        return {kind: n if restarted else n - last_counts.get(kind, 0) for kind, n in counts.items()}
