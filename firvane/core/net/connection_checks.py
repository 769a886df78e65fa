"""Questions about a connection that only its socket can answer, for code that holds no socket itself."""

from __future__ import annotations

from collections.abc import Callable

# Whether the kernel holds no unread input of a connection, neither bytes nor its end: the event loop may not
# know of either yet.
NoInputCheck = Callable[[], bool]
# Whether the peer has not ended the connection, however many of its bytes are unread.
PeerOpenCheck = Callable[[], bool]


def always_true() -> bool:
    """The answer for connections without a kernel behind them, where nothing arrives unseen."""
    return True
