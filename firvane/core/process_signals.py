"""Signals that control this process: blocked while no event loop handles them.

From its first line until its loop handles signals, and again once the loop has closed, a signal would meet
the system's default action, which ends the process at once: SIGHUP during the start would be a crash, SIGTERM
an end with another exit status. Blocked signals stay pending in the kernel and are delivered at `unblock`.

A signal to a process may be delivered to any thread that does not block it. So every other thread blocks them
for as long as it lives: it is started while they are blocked, or calls `block` first (`worker_threads`).

Nothing that takes time may be imported here: this module is imported before signals are blocked.

`run` of the deployment ignores SIGHUP until then, and the settings file is read after that line. A blocked
signal stays pending whether it is ignored or not, and the loop's handler takes the place of that action.
"""

from __future__ import annotations

import signal

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block() -> None:
    """Keep signals pending in the calling thread, and in all threads that it starts from here on."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def unblock() -> None:
    """Deliver pending signals to the calling thread, and later ones as they come."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
