"""Policy texts in transfer, in chunks: uploaded by an operator, or downloaded from another proxy.

Invariants:

1. A text is identified by its digest: it is complete only when its bytes have that digest.
2. Chunks are added in order. A repeated chunk changes nothing; a chunk beyond the next offset is rejected
   with the expected offset.
3. Texts that have not been proposed are bounded: at most `MAX_UPLOADS` in progress and as many complete ones,
   `MAX_TEXT_BYTES` each, until `UPLOAD_TIMEOUT_S` after the last chunk. A text above the limit evicts the
   oldest.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

from firvane.proxy.policy_text import MAX_TEXT_BYTES, digest_of
from firvane.proxy.quorum.errors import UploadError

MAX_UPLOADS = 4
UPLOAD_TIMEOUT_S = 60.0

T = TypeVar("T")


class CompletedUpload(NamedTuple):
    """A complete text, and when its last chunk was received."""

    text: bytes
    completed_at: float


@dataclass
class TextAssembly:
    """One text, as far as it has been received."""

    digest: bytes
    length: int = 0  # total, in bytes; 0: not known yet
    received: bytearray = field(default_factory=bytearray)
    updated_at: float = 0.0  # when the last chunk was received

    def add(self, length: int, offset: int, data: bytes) -> bytes | None:
        """Add a chunk.

        Args:
            length: The length of the whole text in bytes.
            offset: The offset of the chunk in bytes.
            data: The chunk.

        Returns:
            The text if it is now complete, otherwise None.

        Raises:
            UploadError: The chunk does not fit, or the complete text has another digest.
        """
        if not 1 <= length <= MAX_TEXT_BYTES:
            raise UploadError(f"a policy's text has 1 to {MAX_TEXT_BYTES} bytes")
        if self.length not in (0, length):
            raise UploadError(f"its length was {self.length} before")
        position, end = len(self.received), offset + len(data)
        if offset > position:
            raise UploadError(f"the next piece is wanted, from {position} on")
        if not data or end > length:
            raise UploadError("the piece is empty, or goes beyond the length")
        self.length = length
        self.received += data[position - offset :]
        if len(self.received) < length:
            return None
        text = bytes(self.received)
        if digest_of(text) != self.digest:
            self.received.clear()
            raise UploadError("the whole is not of that digest: begin again")
        return text


class Uploads:
    """Texts that are being uploaded to this proxy, and complete ones that have not been proposed yet."""

    def __init__(self) -> None:
        self.in_progress: dict[bytes, TextAssembly] = {}  # in the order of their last updates
        self.completed: dict[bytes, CompletedUpload] = {}

    def add_chunk(self, digest: bytes, length: int, offset: int, data: bytes, now: float) -> bool:
        """Add a chunk of a text; return whether the text is now complete.

        Raises:
            UploadError: The chunk was rejected.
        """
        self.expire(now)
        if digest in self.completed:
            return True
        assembly = self.in_progress.get(digest) or TextAssembly(digest)
        text = assembly.add(length, offset, data)
        self.in_progress.pop(digest, None)
        if text is None:
            assembly.updated_at = now
            _with_capacity(self.in_progress)[digest] = assembly
        else:
            _with_capacity(self.completed)[digest] = CompletedUpload(text, now)
        return text is not None

    def get(self, digest: bytes) -> bytes | None:
        """Return a complete text; None if there is none."""
        upload = self.completed.get(digest)
        return upload.text if upload else None

    def expire(self, now: float) -> None:
        """Remove texts that have received no chunk for `UPLOAD_TIMEOUT_S`."""
        stale = [key for key, text in self.in_progress.items() if now >= text.updated_at + UPLOAD_TIMEOUT_S]
        for digest in stale:
            del self.in_progress[digest]
        stale = [key for key, text in self.completed.items() if now >= text.completed_at + UPLOAD_TIMEOUT_S]
        for digest in stale:
            del self.completed[digest]


def _with_capacity(texts: dict[bytes, T]) -> dict[bytes, T]:
    """Evict the oldest texts until there is capacity for one more; return `texts`."""
    while len(texts) >= MAX_UPLOADS:
        del texts[next(iter(texts))]
    return texts
