"""A process of a slot, started by this supervisor or adopted from an earlier one."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess


class ChildProcess:
    """A process with a pidfd, which becomes readable when the process exits."""

    def __init__(self, pid: int, started: subprocess.Popen[bytes] | None) -> None:
        """Open a pidfd of the process.

        Args:
            pid: The process id.
            started: The process if this supervisor started it; None if it was adopted.

        Raises:
            OSError: The process does not exist any more.
        """
        self.pid = pid
        self.started = started
        self.descriptor = os.pidfd_open(pid)

    def send(self, number: int) -> None:
        """Send a signal; do nothing if the process has exited."""
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.descriptor, number)

    def exit_code(self) -> int:
        """Return the exit code of an exited process; 0 if it was adopted, as its code is not known then."""
        return self.started.wait() if self.started else 0
