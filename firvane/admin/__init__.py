"""The operators' client: `firvane-admin`.

Exit codes: 0 accepted or answered; 1 rejected or invalid; 2 bad usage or an unreadable file; 3 no clear
answer; 4 answered, but a part has no owner or a process does not have the newest version.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence


def run(arguments: Sequence[str] | None = None) -> None:
    """Run the command, and end the process with its exit code."""
    import defopt  # only the command line needs it

    from firvane.admin.commands import COMMANDS

    code = defopt.run(COMMANDS, argv=arguments, argparse_kwargs={"prog": "firvane-admin"})
    sys.exit(int(code))
