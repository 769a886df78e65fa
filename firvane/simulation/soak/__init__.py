"""A soak: the real daemons as processes, under persistent clients and overlapping faults.

A plan is drawn from a seed, played, and judged afterwards by what clients and stand-ins wrote down; the judge
knows the rules of the protocol and nothing of the daemons. `docs/soak.md` says what is played and judged.
"""

from __future__ import annotations

from collections.abc import Sequence


def run(arguments: Sequence[str] | None = None) -> None:
    """Entry of the command `firvane-soak`; ends the process with the exit code."""
    import sys

    import defopt  # only the command line needs it

    from firvane.simulation.soak.command import soak

    sys.exit(int(defopt.run(soak, argv=arguments, argparse_kwargs={"prog": "firvane-soak"})))
