"""What receivers report, on its way into the module's beliefs: as what its own forwards do.

The service has no forwards of its own, so `own` of each box, and the arrivals and answers of this proxy's
row, are the receivers'. Peers of the tier read them in its rows like any other proxy's.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from firvane.choice import Balancer
from firvane.rooms.reports import Sum, take


@dataclass(slots=True, frozen=True)
class Reported:
    """An event: what all receivers have done since the last one, by box."""

    boxes: Mapping[str, Sum]


class Feedback:
    """Adds the event to those that a balancer handles."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        balancer.handlers[Reported] = self.on_reported

    def on_reported(self, reported: Reported, now: float) -> None:
        balancer = self.balancer
        aim = min(cls.aim for cls in balancer.settings.classes)
        for name, told in reported.boxes.items():
            balancer.arrived[-1] += told.issued
            balancer.served[-1] += told.served
            if server := balancer.servers.get(name):
                take(balancer.evidence, server, told, aim, now)
                balancer.large.mark(server)
