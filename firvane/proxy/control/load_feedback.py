"""What receivers report, on its way into the module's beliefs: as what its own forwards do.

The service has no forwards of its own, so `own` of each box, and the arrivals and answers of this proxy's
row, are the receivers'. Peers of the tier read them in its rows like any other proxy's.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from firvane.proxy.balancer import Balancer
from firvane.proxy.capacity.load_reports import Sum, take

SLOWLY = 0.2  # how far one sum moves the time that answers take


@dataclass(slots=True, frozen=True)
class Reported:
    """An event: what all receivers have done since the last one, by box."""

    boxes: Mapping[str, Sum]


def split(sums: Mapping[str, Sum], places: int, turn: int) -> list[Reported]:
    """The same for several places in the tier, an even part each; whole numbers lose nothing.

    `turn` is another number each time: it says who gets what is left over.
    """
    if places == 1:
        return [Reported(sums)]

    def part(count: int, place: int) -> int:
        return count // places + ((place + turn) % places < count % places)

    return [
        Reported(
            {
                name: one._replace(
                    served=part(one.served, place),
                    failed=part(one.failed, place),
                    issued=part(one.issued, place),
                    out=one.out / places,
                    rate=one.rate / places,
                )
                for name, one in sums.items()
            }
        )
        for place in range(places)
    ]


class Feedback:
    """Adds the event to those that a balancer handles."""

    def __init__(self, balancer: Balancer) -> None:
        self.balancer = balancer
        self.took: dict[str, float] = {}  # s that an answer takes, by box
        balancer.handlers[Reported] = self.on_reported

    def on_reported(self, reported: Reported, now: float) -> None:
        balancer = self.balancer
        aim = min(cls.latency_target for cls in balancer.settings.classes)
        for name, told in reported.boxes.items():
            balancer.arrivals[-1] += told.issued
            balancer.served[-1] += told.served
            if server := balancer.servers.get(name):
                if took := take(balancer.estimates, server, told, aim, now):
                    known = self.took.get(name, took)
                    self.took[name] = known + SLOWLY * (took - known)
                balancer.large.mark(server)
        for name in self.took.keys() - balancer.servers.keys():
            del self.took[name]
