"""The signals that are orders to this process: held while nobody listens for them.

From its first line until its loop listens, and again once the loop has closed, a signal would meet the
system's own answer, which ends the process at once: a SIGHUP in the start would be a crash, a SIGTERM an end
out of order. Held signals wait in the kernel and are given at `heed`.

Before that line `run` has SIGHUP ignored, and the file is read after it. A held signal waits whether it is
ignored or not, and whoever listens puts a handler of its own in that answer's place.
"""

from __future__ import annotations

import signal

ORDERS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold() -> None:
    """Keep them waiting. Threads started from here on hold them as well."""
    signal.pthread_sigmask(signal.SIG_BLOCK, ORDERS)


def heed() -> None:
    """Whoever listens for them hears those that wait, and the rest as they come."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, ORDERS)
