"""Feeds the receivers' load reports into the decision module, as if the service had forwarded the requests.

The service forwards no requests itself: the counts in its row of the tier's shared table are those of its
receivers. Other members read the row like that of any proxy.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from firvane.proxy.balancer import Balancer
from firvane.proxy.capacity.load_reports import LoadSummary, apply_summary

LATENCY_SMOOTHING = 0.2  # weight of each report


@dataclass(slots=True, frozen=True)
class LoadReported:
    """An event with the sums of all receivers' load reports since the last event, by backend."""

    backends: Mapping[str, LoadSummary]


def split(summaries: Mapping[str, LoadSummary], members: int, rotation: int) -> list[LoadReported]:
    """Split sums evenly over several members of the tier; integer counts add up to the original.

    `rotation` must differ between calls: it rotates which members get the remainder.
    """
    if members == 1:
        return [LoadReported(summaries)]

    def share(count: int, member: int) -> int:
        return count // members + ((member + rotation) % members < count % members)

    return [
        LoadReported(
            {
                name: summary._replace(
                    served=share(summary.served, member),
                    failed=share(summary.failed, member),
                    issued=share(summary.issued, member),
                    pending=summary.pending / members,
                    rate=summary.rate / members,
                )
                for name, summary in summaries.items()
            }
        )
        for member in range(members)
    ]


class LoadFeedback:
    """Handles `LoadReported` events of a balancer."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.response_times: dict[str, float] = {}  # seconds, by backend
        balancer.handlers[LoadReported] = self.on_reported

    def on_reported(self, event: LoadReported, now: float) -> None:
        """Add the sums to the balancer's counts and estimates."""
        balancer = self.balancer
        target_s = min(cls.latency_target for cls in balancer.settings.classes)
        for name, counts in event.backends.items():
            balancer.arrivals[-1] += counts.issued
            balancer.served[-1] += counts.served
            if server := balancer.servers.get(name):
                if response_time := apply_summary(balancer.estimates, server, counts, target_s, now):
                    smoothed = self.response_times.get(name, response_time)
                    self.response_times[name] = smoothed + LATENCY_SMOOTHING * (response_time - smoothed)
                balancer.large.mark_changed(server)
        for name in self.response_times.keys() - balancer.servers.keys():
            del self.response_times[name]
