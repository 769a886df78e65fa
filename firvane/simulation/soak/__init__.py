"""Soak test: runs the real daemons as processes, with persistent clients and overlapping faults.

A plan is drawn from a seed and played; the records of clients and stand-ins are judged afterwards. The judge
checks the protocol rules and is independent of the daemons' code. `docs/soak.md` describes plans and rules.
"""

from __future__ import annotations

from collections.abc import Sequence


def run(arguments: Sequence[str] | None = None) -> None:
    """Entry point of the command `firvane-soak`; exits with its exit code."""
    import sys

    import defopt  # only the command line needs it

    from firvane.simulation.soak.command import soak

    sys.exit(int(defopt.run(soak, argv=arguments, argparse_kwargs={"prog": "firvane-soak"})))
