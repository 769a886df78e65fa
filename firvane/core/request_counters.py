"""Counts of the requests of each class since the process began.

Invariants:

1. A request is counted once, when its final answer is given; an attempt when its last byte is handed to the
   kernel.
2. No count decreases, also where the class has been removed since: a flow counts to the class under which it
   was accepted.
"""

from __future__ import annotations

ANSWERS = ("passed", "dropped", "bad_gateway")


class ClassCounters:
    """The counts of one class.

    Attributes:
        passed: requests that were served.
        dropped: requests that were rejected.
        bad_gateway: requests that failed.
        upstream_tries: attempts whose request was completely sent.
    """

    __slots__ = ("bad_gateway", "dropped", "passed", "upstream_tries")

    def __init__(self) -> None:
        self.passed = 0
        self.dropped = 0
        self.bad_gateway = 0
        self.upstream_tries = 0

    def answer_counts(self) -> dict[str, int]:
        """The final answers by kind, as `ANSWERS` names them."""
        return {name: getattr(self, name) for name in ANSWERS}


class RequestCounters:
    """The counts of all classes."""

    def __init__(self) -> None:
        self.by_class = dict[str, ClassCounters]()

    def for_class(self, name: str) -> ClassCounters:
        """The counts of a class, created at 0 at its first use."""
        counters = self.by_class.get(name)
        if counters is None:
            counters = self.by_class[name] = ClassCounters()
        return counters
