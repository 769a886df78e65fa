"""A process of a slot, started by this supervisor or adopted from an earlier one."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess


class ChildProcess:
    """A process with a descriptor that becomes readable when it ends."""

    def __init__(self, pid: int, started: subprocess.Popen[bytes] | None) -> None:
        """Open a descriptor of the process.

        Args:
            pid: The id of the process.
            started: The process, where it was started here; None where it was adopted.

        Raises:
            OSError: The process is gone.
        """
        self.pid = pid
        self.started = started
        self.descriptor = os.pidfd_open(pid)

    def send(self, number: int) -> None:
        """Send a signal; nothing happens where the process is gone."""
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.descriptor, number)

    def exit_code(self) -> int:
        """Return how it has ended, which is known only of a process that was started here; 0 otherwise."""
        return self.started.wait() if self.started else 0
