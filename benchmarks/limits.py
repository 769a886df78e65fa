"""The command of the rig that measures firvane's limits: `python benchmarks/limits.py --help`."""

import sys
from pathlib import Path

if __name__ == "__main__":
    sys.path[0] = str(Path(__file__).resolve().parent.parent)  # in place of this folder
    from benchmarks.rig.command import main

    sys.exit(main())
