"""Feeds the receivers' load reports into the decision module, as if the requests were its own.

The service forwards no requests itself, so the counts of its own row are the receivers'. Peers of the tier
read its rows like those of any proxy.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from firvane.proxy.balancer import Balancer
from firvane.proxy.capacity.load_reports import LoadSummary, apply_summary

LATENCY_SMOOTHING = 0.2  # weight of each report


@dataclass(slots=True, frozen=True)
class LoadReported:
    """An event: the sums of all receivers' reports since the last one, by backend."""

    backends: Mapping[str, LoadSummary]


def split(sums: Mapping[str, LoadSummary], places: int, turn: int) -> list[LoadReported]:
    """Split sums evenly over several places in the tier; whole numbers lose nothing.

    `turn` must differ between calls: it rotates who gets the remainder.
    """
    if places == 1:
        return [LoadReported(sums)]

    def share(count: int, place: int) -> int:
        return count // places + ((place + turn) % places < count % places)

    return [
        LoadReported(
            {
                name: one._replace(
                    served=share(one.served, place),
                    failed=share(one.failed, place),
                    issued=share(one.issued, place),
                    pending=one.pending / places,
                    rate=one.rate / places,
                )
                for name, one in sums.items()
            }
        )
        for place in range(places)
    ]


class LoadFeedback:
    """Handles `LoadReported` events of a balancer."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.took: dict[str, float] = {}  # response time in seconds, by backend
        balancer.handlers[LoadReported] = self.on_reported

    def on_reported(self, reported: LoadReported, now: float) -> None:
        """Add the sums to the balancer's counts and estimates."""
        balancer = self.balancer
        aim = min(cls.latency_target for cls in balancer.settings.classes)
        for name, counts in reported.backends.items():
            balancer.arrivals[-1] += counts.issued
            balancer.served[-1] += counts.served
            if server := balancer.servers.get(name):
                if took := apply_summary(balancer.estimates, server, counts, aim, now):
                    known = self.took.get(name, took)
                    self.took[name] = known + LATENCY_SMOOTHING * (took - known)
                balancer.large.mark_changed(server)
        for name in self.took.keys() - balancer.servers.keys():
            del self.took[name]
