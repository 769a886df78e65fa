"""What the rows between routers cost: bytes, and processor time to make and to read one, by the fleet's size.

Run with `python benchmarks/rows.py`. Each router has its share of `STREAMS` out at each server.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from firvane.core import interface as api
from firvane.core.balancing.window import WINDOW
from firvane.fleet.placement import outliers
from firvane.fleet.placement.peers import MAX_ROWS_PER_WINDOW
from tests.fleet.placement.helpers import SERVICE, Harness, only

SIZES = ((6, 6), (70, 36), (200, 31), (380, 575))  # routers, servers of a service
STREAMS = 8  # of all routers at one server
ROUNDS = 200
STEP = 7  # servers between those that streams go to
SPEED = 50_000.0  # prompt tokens a second


def loaded(routers: int, servers: int, me: int) -> Harness:
    """One router with its share of the streams out."""
    one = Harness(servers, me=me, peers=tuple(range(1, routers + 1)))
    ready = one.balancer.services[SERVICE].ready
    for number in range(max(1, STREAMS * servers // routers)):
        server = ready[(me + STEP * number) % servers]
        server.start_attempt(number, 0.0, 0.1, SPEED, one.now)
        server.end_prefill(number, SPEED, one.now)
    return one


def measure(routers: int, servers: int) -> None:
    """Print the costs at this size."""
    sender, receiver = loaded(routers, servers, 2), loaded(routers, servers, 1)
    began = time.process_time()
    for _ in range(ROUNDS):
        sender.now += WINDOW
        payload = only(sender.handle(api.TimerFired(0)), api.SendToPeer)
    made = (time.process_time() - began) / ROUNDS
    while not payload:
        payload = only(sender.window(), api.SendToPeer)
    row = payload[0].payload
    heard = time_to_hear(receiver, row, routers)
    judged = time_to_judge(receiver, routers)
    per_second = min(MAX_ROWS_PER_WINDOW / WINDOW, (routers - 1) / (2 * WINDOW))
    print(
        f"{routers} routers, {servers} servers: a row has {len(row)} bytes; {per_second:.0f} heard a second,"
        f" {per_second * len(row) / 1000:.1f} kB/s; a window costs {made * 1e6:.0f} us,"
        f" a row heard {heard * 1e6:.0f} us, outliers {judged * 1e6:.0f} us:"
        f" {100 * (per_second * heard + (made + judged) / WINDOW):.2f}% of a core"
    )


def time_to_hear(receiver: Harness, row: bytes, routers: int) -> float:
    """Seconds of processor for one row; each comes from another router with a newer time."""
    began = time.process_time()
    for number in range(ROUNDS):
        newer = bytearray(row)
        newer[4:12] = (int.from_bytes(row[4:12], "little") + number).to_bytes(8, "little")
        receiver.handle(api.PeerMessage(2 + number % (routers - 1), bytes(newer)), after=WINDOW / ROUNDS)
    return (time.process_time() - began) / ROUNDS


def time_to_judge(receiver: Harness, routers: int) -> float:
    """Seconds of processor for one look for outliers."""
    servers = receiver.balancer.services[SERVICE].ready
    began = time.process_time()
    for _ in range(ROUNDS):
        outliers.eject_outliers(servers, routers, receiver.now)
    return (time.process_time() - began) / ROUNDS


if __name__ == "__main__":
    for size in SIZES:
        measure(*size)
