"""Processor time of the decisions for prompts: one request with its first event and its end.

Run with `python benchmarks/placement.py`; it prints microseconds a request by number of backends and routers.
"""

from __future__ import annotations

import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from firvane.core import interface as api
from firvane.fleet.placement.balancer import PromptBalancer
from firvane.fleet.placement.events import InstancesChanged, PeersChanged, ServiceInfo
from tests.fleet.placement.helpers import SERVICE, instances, long_prompt, request, settings

REQUESTS = 3000
LONG_EVERY = 15  # requests from one long prompt to the next
IN_FLIGHT = 40
RATE = 30.0  # requests a second at this router


def measure(backends: int, routers: int) -> tuple[float, float]:
    """Microseconds a request, and for one row of a peer."""
    rng = random.Random(1)
    peers = [PromptBalancer(settings(me), me, 100.0) for me in range(1, min(routers, 8) + 1)]
    for balancer in peers:
        balancer.start(100.0)
        balancer.handle(PeersChanged(tuple(range(1, routers + 1)), (0,) * routers), 100.0)
        balancer.handle(ServiceInfo(SERVICE, 64, 400_000, 4, 360), 100.0)
        balancer.handle(InstancesChanged(SERVICE, instances(backends)), 100.0)
    now, spent, rows = 100.0, 0.0, []
    out: list[api.Send] = []
    one = peers[0]
    for number in range(REQUESTS):
        now += 1 / RATE
        fields = long_prompt(rng.randrange(50), number) if number % LONG_EVERY == 0 else {}
        fields["services"] = ((SERVICE, 1.0),)
        asked = request(number + 1, **fields)
        began = time.process_time()
        actions = one.handle(asked, now)
        spent += time.process_time() - began
        out += [action for action in actions if isinstance(action, api.Send)]
        rows += [action.payload for action in actions if isinstance(action, api.SendToPeer)]
        if len(out) > IN_FLIGHT:
            send = out.pop(0)
            began = time.process_time()
            one.handle(api.StreamStarted(send.id, 0, send.server, 0.1), now)
            one.handle(api.Outcome(send.id, 0, send.server, api.Result.OK, 0.1, True), now)
            spent += time.process_time() - began
        if number % 8 == 0:
            actions = one.handle(api.TimerFired(0), now)
            rows += [action.payload for action in actions if isinstance(action, api.SendToPeer)]
    began = time.process_time()
    for payload in rows:
        peers[1].handle(api.PeerMessage(1, payload), now)
    heard = (time.process_time() - began) / max(1, len(rows))
    return spent / REQUESTS * 1e6, heard * 1e6


def main() -> None:
    for backends, routers in ((6, 8), (36, 36), (300, 380)):
        asked, row_time = measure(backends, routers)
        print(
            f"{backends:4} backends {routers:4} routers: {asked:6.1f} us a request, {row_time:6.1f} us a row"
        )


if __name__ == "__main__":
    main()
