"""How a run stands: a line that changes on a terminal, a line now and then elsewhere."""

from __future__ import annotations

import sys
from typing import TextIO

import click

from firvane.simulation.runner.result import Witness
from firvane.simulation.runner.summary import live_line

EVERY = 10.0  # s of the run between lines where there is no terminal


class Shown:
    """Called with the witness of a run about once a second of the run's time."""

    def __init__(self, file: TextIO | None = None) -> None:
        self.file = file or sys.stderr
        self.changes = self.file.isatty()
        self.due = 0.0

    def __call__(self, witness: Witness) -> None:
        if not self.changes and witness.at < self.due:
            return
        self.due = witness.at + EVERY
        now = tuple(shade.name for shade in witness.troubles if shade.at <= witness.at < shade.until)
        line = live_line(witness.progress(), witness.scenario.seconds, witness.broken(), now)
        # Back to its beginning, and away with what is left of a longer one.
        click.echo(f"\r{line}\033[K" if self.changes else line, file=self.file, nl=not self.changes)

    def end(self) -> None:
        """Leave the terminal as it was."""
        if self.changes:
            click.echo("\r\033[K", file=self.file, nl=False)
