"""What has become of the requests of each class, counted since the process began.

Rules that hold here and nowhere else:

1. A request is counted once, where its final answer is given; an attempt where its last byte is with the
   kernel.
2. No count goes back, also where the class has been dropped since: a flow counts to what it was taken as.
"""

from __future__ import annotations

ANSWERS = ("passed", "dropped", "bad_gateway")


class Counts:
    """Of one class."""

    __slots__ = ("bad_gateway", "dropped", "passed", "upstream_tries")

    def __init__(self) -> None:
        self.passed = 0  # served
        self.dropped = 0  # refused
        self.bad_gateway = 0  # failed
        self.upstream_tries = 0  # attempts that were written whole

    def told(self) -> dict[str, int]:
        return {name: getattr(self, name) for name in ANSWERS}


class Tally:
    """Of all classes, by name."""

    def __init__(self) -> None:
        self.by = dict[str, Counts]()

    def of(self, name: str) -> Counts:
        counts = self.by.get(name)
        if counts is None:
            counts = self.by[name] = Counts()
        return counts
