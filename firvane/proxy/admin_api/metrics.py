"""The metrics of a proxy, for the admin API and for the log."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field

from firvane.core.request_counters import ANSWERS, ClassCounters


@dataclass
class ReloadCounts:
    """Counts of configuration reloads (SIGHUP): applied, and rejected as invalid."""

    taken: int = 0
    errors: int = 0


@dataclass
class ProxyMetrics:
    """The metrics of a proxy at one moment."""

    state: str
    handled: Mapping[str, ClassCounters]
    in_progress: int
    known_backends: int
    skipped_backends: int
    reloads: ReloadCounts = field(default_factory=ReloadCounts)

    def upstream_attempts(self) -> int:
        """Return the number of attempts that were written to upstream targets."""
        return sum(counts.upstream_tries for counts in self.handled.values())

    def text(self) -> str:
        """Return the metrics as JSON on one line, for `show-stat`."""
        return json.dumps(
            {
                "handled": {name: counts.answer_counts() for name, counts in self.handled.items()},
                "in_progress": self.in_progress,
                "known_backends": self.known_backends,
                "skipped_backends": self.skipped_backends,
                "upstream_tries": self.upstream_attempts(),
                "loads": self.reloads.taken,
                "load_errors": self.reloads.errors,
            },
            separators=(",", ":"),
        )

    def fields(self) -> dict[str, int | str]:
        """Return the metrics as fields of the log event `figures`."""
        class_counts = [counts.answer_counts() for counts in self.handled.values()]
        totals = {name: sum(counts[name] for counts in class_counts) for name in ANSWERS}
        return {
            "state": self.state,
            **totals,
            "upstream_tries": self.upstream_attempts(),
            "in_progress": self.in_progress,
            "known_backends": self.known_backends,
            "skipped_backends": self.skipped_backends,
            "loads": self.reloads.taken,
            "load_errors": self.reloads.errors,
        }
