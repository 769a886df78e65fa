"""A fleet on one machine: the real daemons as processes, and stand-ins for the systems around them.

The stand-ins (model servers, the platform's instance list, the operator, the clients) implement the protocol
independently. They import none of the fleet's decision logic, so that they do not repeat its mistakes.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence

LIST_OPTIONS = ("--kill", "--replace")


def run(arguments: Sequence[str] | None = None) -> None:
    """Entry point of the command `firvane-fleet`; exits with its exit code."""
    import defopt  # only the command line needs it

    from firvane.simulation.localfleet.command import fleet

    options = sys.argv[1:] if arguments is None else arguments
    for option in LIST_OPTIONS:
        if options.count(option) > 1:  # defopt would use only the last occurrence
            sys.exit(f"{option}: give the option once, followed by all values")
    sys.exit(int(defopt.run(fleet, argv=arguments, argparse_kwargs={"prog": "firvane-fleet"})))
