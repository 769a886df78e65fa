"""A bounded queue of encoded frames for one peer, which drops the oldest frames when it is full."""

from __future__ import annotations

from collections import deque

MAX_QUEUED_BYTES = 8 * 1024 * 1024
MAX_QUEUED_FRAMES = 1024


class FrameQueue:
    """Frames that wait for a connection or for space in its send buffer, oldest first."""

    def __init__(self, max_bytes: int = MAX_QUEUED_BYTES, max_frames: int = MAX_QUEUED_FRAMES) -> None:
        self._frames: deque[bytes] = deque()
        self._max_bytes = max_bytes
        self._max_frames = max_frames
        self._bytes = 0
        self.dropped = 0
        """The number of frames dropped since the queue was created."""

    def __len__(self) -> int:
        return len(self._frames)

    @property
    def size(self) -> int:
        """The number of bytes queued."""
        return self._bytes

    def push(self, frame: bytes) -> None:
        """Append a frame, and drop the oldest frames while a limit is exceeded; the newest one is kept."""
        self._frames.append(frame)
        self._bytes += len(frame)
        while len(self._frames) > 1 and self._exceeds_limit():
            self._bytes -= len(self._frames.popleft())
            self.dropped += 1

    def pop(self) -> bytes:
        """Remove and return the oldest frame; `IndexError` if the queue is empty."""
        frame = self._frames.popleft()
        self._bytes -= len(frame)
        return frame

    def clear(self) -> None:
        """Drop all frames."""
        self.dropped += len(self._frames)
        self._frames.clear()
        self._bytes = 0

    def _exceeds_limit(self) -> bool:
        return self._bytes > self._max_bytes or len(self._frames) > self._max_frames
