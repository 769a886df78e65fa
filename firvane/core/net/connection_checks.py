"""What a connection may be asked of the kernel, by whoever holds no socket itself."""

from __future__ import annotations

from collections.abc import Callable

# Whether nothing has come on an idle connection, neither bytes nor its end, as far as the kernel knows: the
# loop may not know yet.
NoInputCheck = Callable[[], bool]
PeerOpenCheck = Callable[[], bool]  # whether the other side has not ended it, however much of its is unread


def always_true() -> bool:
    """Nothing ever comes unseen: for connections without a kernel behind them."""
    return True
