"""What the proxy reports: one source for the door and for the log."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from firvane.core.request_counters import ANSWERS, ClassCounters


@dataclass
class Loads:
    """Files read at SIGHUP."""

    taken: int = 0
    errors: int = 0  # turned down


@dataclass
class Figures:
    """At one moment."""

    state: str
    handled: Mapping[str, ClassCounters]
    in_progress: int
    known_backends: int
    skipped_backends: int
    loads: Loads = field(default_factory=Loads)

    def tries(self) -> int:
        return sum(counts.upstream_tries for counts in self.handled.values())

    def text(self) -> str:
        """As the door tells them, on one line."""
        return json.dumps(
            {
                "handled": {name: counts.answer_counts() for name, counts in self.handled.items()},
                "in_progress": self.in_progress,
                "known_backends": self.known_backends,
                "skipped_backends": self.skipped_backends,
                "upstream_tries": self.tries(),
                "loads": self.loads.taken,
                "load_errors": self.loads.errors,
            },
            separators=(",", ":"),
        )

    def fields(self) -> dict[str, int | str]:
        """As the log's event `figures` has them."""
        told = [counts.answer_counts() for counts in self.handled.values()]
        totals = {name: sum(counts[name] for counts in told) for name in ANSWERS}
        return {
            "state": self.state,
            **totals,
            "upstream_tries": self.tries(),
            "in_progress": self.in_progress,
            "known_backends": self.known_backends,
            "skipped_backends": self.skipped_backends,
            "loads": self.loads.taken,
            "load_errors": self.loads.errors,
        }
