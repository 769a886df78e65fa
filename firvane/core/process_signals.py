"""Signals that control this process: blocked while no event loop handles them.

Before the event loop handles signals, and after it has closed, a signal would trigger the default action,
which ends the process at once: SIGHUP during the start would be a crash, SIGTERM would end the process with
another exit status. Blocked signals stay pending in the kernel and are delivered at `unblock`.

A signal to a process may be delivered to any thread that does not block it. So every other thread blocks them
during its whole life: it is started while they are blocked, or calls `block` first (`worker_threads`).

This module must not import slow modules: it is imported before signals are blocked.

The deployment's `run` command ignores SIGHUP until `block` is called, and the settings file is read after
that. A blocked signal stays pending whether it is ignored or not, and the loop's handler replaces the ignore
action.
"""

from __future__ import annotations

import signal

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def block() -> None:
    """Block the signals in the calling thread, and in all threads that it starts later."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def unblock() -> None:
    """Unblock the signals in the calling thread, which delivers pending ones."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
