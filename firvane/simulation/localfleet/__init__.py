"""A whole fleet on one machine: the real daemons as processes, and stand-ins for everything around them.

The stand-ins (model servers, the platform's list, the operator, the clients) are written from the protocol
alone. They import none of the fleet's decisions, so that a mistake there is not repeated here.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

LIST_OPTIONS = ("--kill", "--replace")


def run(arguments: Sequence[str] | None = None) -> None:
    """Entry of the command `firvane-fleet`; ends the process with the exit code."""
    import defopt  # only the command line needs it

    from firvane.simulation.localfleet.command import fleet

    given = sys.argv[1:] if arguments is None else arguments
    for option in LIST_OPTIONS:
        if given.count(option) > 1:  # the last one alone would count
            sys.exit(f"{option}: give it once, with all values behind it")
    sys.exit(int(defopt.run(fleet, argv=arguments, argparse_kwargs={"prog": "firvane-fleet"})))
