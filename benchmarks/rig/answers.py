"""Reading answers as a client does: only what it needs to know of them, however the bytes are cut."""

from __future__ import annotations

from typing import NamedTuple

END = b"\r\n\r\n"
MAX_HEAD = 64 * 1024


class Answer(NamedTuple):
    """One whole answer: its status, the size of its body in bytes, whether the connection is at its end, and
    the seconds after which to come again (0 where it does not say)."""

    status: int
    size: int
    close: bool
    retry_after: float


class Answers:
    """Counts answers out of bytes; bodies are passed over, interim answers too.

    `ValueError` where the bytes are not answers with a Content-Length: the proxy writes no others.
    """

    def __init__(self) -> None:
        self.rest = b""
        self.interim = 0
        self._open: Answer | None = None
        self._left = 0  # bytes of the body still to come

    @property
    def begun(self) -> bool:
        """Part of an answer has come."""
        return bool(self.rest) or self._open is not None

    def feed(self, data: bytes) -> list[Answer]:
        whole = []
        if self.rest:
            data, self.rest = self.rest + data, b""
        at, end = 0, len(data)
        while at < end or self._open:
            if self._open is None:
                found = data.find(END, at)
                if found < 0:
                    if end - at > MAX_HEAD:
                        raise ValueError("a head without an end")
                    self.rest = data[at:]
                    break
                self._open = self._head(data[at:found])
                at, self._left = found + len(END), self._open.size
                if self._open.status < 200:
                    self._open, self.interim = None, self.interim + 1
                    continue
            taken = min(self._left, end - at)
            at, self._left = at + taken, self._left - taken
            if self._left:
                break
            whole.append(self._open)
            self._open = None
        return whole

    @staticmethod
    def _head(head: bytes) -> Answer:
        first, *lines = head.split(b"\r\n")
        if not first.startswith(b"HTTP/1.1 "):
            raise ValueError(f"{first[:40]!r} is no status line")
        status, size, close, retry_after = int(first[9:12]), -1, False, 0.0
        for line in lines:
            name, _, value = line.partition(b":")
            match name.lower():
                case b"content-length":
                    size = int(value)
                case b"connection":
                    close = value.strip().lower() == b"close"
                case b"retry-after":
                    retry_after = float(value)
        if size < 0 and status >= 200:
            raise ValueError("an answer without its length")
        return Answer(status, max(0, size), close, retry_after)
