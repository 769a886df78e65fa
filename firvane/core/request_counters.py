"""Request counters of each class since the start of the process.

Invariants:

1. A request is counted once, when its final answer is sent; an attempt when its last byte is passed to the
   kernel.
2. No count ever decreases, even if its class is removed: a flow is counted for the class with which it was
   accepted.
"""

from __future__ import annotations

ANSWERS = ("passed", "dropped", "bad_gateway")


class ClassCounters:
    """The counters of one class.

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
        """Return the number of final answers of each kind in `ANSWERS`."""
        return {name: getattr(self, name) for name in ANSWERS}


class RequestCounters:
    """The counters of all classes."""

    def __init__(self) -> None:
        self.by_class = dict[str, ClassCounters]()

    def for_class(self, name: str) -> ClassCounters:
        """Return the counters of a class, created at first use."""
        counters = self.by_class.get(name)
        if counters is None:
            counters = self.by_class[name] = ClassCounters()
        return counters
