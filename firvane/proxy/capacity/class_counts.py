"""What a proxy tells its peers of the kinds: the answers of warm boxes of each that it has had.

Rules that hold here and nowhere else:

1. The counts only grow, so that a lost message costs nothing: the next one holds what it held.
2. Of a peer that is heard for the first time nothing is counted: those answers may be long ago. Counts lower
   than the last are of a peer that has started anew, and count whole. A message that is older than one heard
   is dropped.
3. It starts with a version that readers of rows do not know and leave alone.
"""

from __future__ import annotations

import struct
from collections.abc import Mapping

VERSION, MOST = 3, 32  # of the message; kinds in one
MARK = bytes((VERSION,))  # what it begins with
HEAD, COUNT = struct.Struct("<BBQ"), struct.Struct("<BI")  # version, kinds, ms; kind, answers


def pack(answers: Mapping[int, int], now: float) -> bytes:
    """The counts as bytes; kinds beyond the first `MOST` are left out."""
    kinds = sorted(kind for kind in answers if kind < 256)[:MOST]
    counts = b"".join(COUNT.pack(kind, answers[kind] & 0xFFFFFFFF) for kind in kinds)
    return HEAD.pack(VERSION, len(kinds), int(now * 1000)) + counts


def unpack(payload: bytes) -> tuple[int, dict[int, int]]:
    """When they were told, in ms, and the counts; `ValueError` or `struct.error` where they are none."""
    version, count, at = HEAD.unpack_from(payload)
    answers = dict(COUNT.iter_unpack(payload[HEAD.size :]))
    if version != VERSION or len(answers) != count or count > MOST:
        raise ValueError("not a count of answers by kind")
    return at, answers


class Heard:
    """The counts as last heard of each peer."""

    def __init__(self) -> None:
        self.last: dict[int, tuple[int, dict[int, int]]] = {}

    def more(self, sender: int, payload: bytes) -> dict[int, int]:
        """Answers by kind that the message adds; raises as `unpack` does."""
        at, answers = unpack(payload)
        old_at, old = self.last.get(sender, (0, answers))
        if at <= old_at:
            return {}
        self.last[sender] = at, answers
        anew = any(answers.get(kind, 0) < count for kind, count in old.items())
        return {kind: n if anew else n - old.get(kind, 0) for kind, n in answers.items()}
