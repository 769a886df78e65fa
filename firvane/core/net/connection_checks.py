"""Types of checks on the socket of a connection, for code that has no access to the socket."""

from __future__ import annotations

from collections.abc import Callable

# Returns whether the kernel has no unread input of a connection, neither bytes nor its end, which the event
# loop may not have read yet.
NoInputCheck = Callable[[], bool]
# Returns whether the peer has not closed the connection, even if bytes of it are unread.
PeerOpenCheck = Callable[[], bool]


def always_true() -> bool:
    """Return True: the check for connections without a socket, where the loop sees all input at once."""
    return True
