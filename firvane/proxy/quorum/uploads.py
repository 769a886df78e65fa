"""Texts of policies on their way, in pieces: put at this proxy's door, or got from another's.

Rules that hold here and nowhere else:

1. A text goes by its digest: it is whole when its bytes are of that digest, and not before.
2. Pieces come in order. One that has come before changes nothing; one that comes too early is turned down
   with the offset that is wanted.
3. What is held of texts that nobody has proposed is bounded: `MOST_UPLOADS` of them, `MOST_TEXT` bytes each,
   for `KEPT` seconds since the last piece. One too many, and the one that has stood longest goes.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeVar

from firvane.proxy.policy_text import MOST_TEXT, digest_of

MOST_UPLOADS, KEPT = 4, 60.0

T = TypeVar("T")


class Useless(ValueError):  # noqa: N818 - the caller's fault, and an ordinary event here
    """Nothing can be made of it; the reason is what its caller is told."""


@dataclass
class Gathered:
    """One text, as far as it has come."""

    digest: bytes
    length: int = 0  # 0: nobody has said it yet
    held: bytearray = field(default_factory=bytearray)
    at: float = 0.0  # when the last of it came

    def add(self, length: int, offset: int, data: bytes) -> bytes | None:
        """Take a piece; the text once it is whole."""
        if not 1 <= length <= MOST_TEXT:
            raise Useless(f"a policy's text has 1 to {MOST_TEXT} bytes")
        if self.length not in (0, length):
            raise Useless(f"its length was {self.length} before")
        here, end = len(self.held), offset + len(data)
        if offset > here:
            raise Useless(f"the next piece is wanted, from {here} on")
        if not data or end > length:
            raise Useless("the piece is empty, or goes beyond the length")
        self.length = length
        self.held += data[here - offset :]
        if len(self.held) < length:
            return None
        text = bytes(self.held)
        if digest_of(text) != self.digest:
            self.held.clear()
            raise Useless("the whole is not of that digest: begin again")
        return text


class Uploads:
    """Texts that are being put here, and those that are whole and wait to be proposed. Times are seconds."""

    def __init__(self) -> None:
        self.coming: dict[bytes, Gathered] = {}  # those that were touched last come last
        self.whole: dict[bytes, tuple[bytes, float]] = {}  # and since when

    def put(self, digest: bytes, length: int, offset: int, data: bytes, now: float) -> bool:
        """Take a piece; whether the text is whole by it, or was before."""
        self.sweep(now)
        if digest in self.whole:
            return True
        gathered = self.coming.get(digest) or Gathered(digest)
        text = gathered.add(length, offset, data)
        self.coming.pop(digest, None)
        if text is None:
            gathered.at = now
            _bounded(self.coming)[digest] = gathered
        else:
            _bounded(self.whole)[digest] = text, now
        return text is not None

    def get(self, digest: bytes) -> bytes | None:
        """A text that is whole."""
        held = self.whole.get(digest)
        return held[0] if held else None

    def sweep(self, now: float) -> None:
        """Forget what has stood for too long."""
        for late in [digest for digest, gathered in self.coming.items() if now >= gathered.at + KEPT]:
            del self.coming[late]
        for late in [digest for digest, (_, since) in self.whole.items() if now >= since + KEPT]:
            del self.whole[late]


def _bounded(held: dict[bytes, T]) -> dict[bytes, T]:
    while len(held) >= MOST_UPLOADS:
        del held[next(iter(held))]
    return held
