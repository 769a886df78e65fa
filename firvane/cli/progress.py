"""Progress of a run: one line that is rewritten on a terminal, else a line at intervals."""

from __future__ import annotations

import sys
from typing import TextIO

import click

from firvane.simulation.runner.result import Witness
from firvane.simulation.runner.summary import live_line

LINE_INTERVAL_S = 10.0  # of the run's time, between lines if the output is not a terminal


class ProgressDisplay:
    """Prints the progress of a run; called with its witness about once a second of the run's time."""

    def __init__(self, file: TextIO | None = None) -> None:
        self.file = file or sys.stderr
        self.rewrites_line = self.file.isatty()
        self.next_line_at = 0.0

    def __call__(self, witness: Witness) -> None:
        if not self.rewrites_line and witness.at < self.next_line_at:
            return
        self.next_line_at = witness.at + LINE_INTERVAL_S
        active = tuple(
            trouble.name for trouble in witness.troubles if trouble.at <= witness.at < trouble.until
        )
        line = live_line(witness.progress(), witness.scenario.seconds, witness.broken(), active)
        # Return to the start of the line, and erase the rest of a longer previous one.
        click.echo(
            f"\r{line}\033[K" if self.rewrites_line else line, file=self.file, nl=not self.rewrites_line
        )

    def end(self) -> None:
        """Erase the progress line of a terminal."""
        if self.rewrites_line:
            click.echo("\r\033[K", file=self.file, nl=False)
