"""What each thing costs in memory, as measured, and what follows from the limits at the start.

The costs are bytes resident beyond the idle program, by `benchmarks/limits.py memory` (100, 500 and 1,000
of each; Python 3.11, uvloop 0.23, httptools 0.9, x86-64), rounded up. A change of them is measured again.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from firvane.proxy.limits.descriptors import LEAST, Use, floors

MB = 1 << 20
IDLE_CLIENT = 2_800  # a client connection: transport, parser, listener
IDLE_TARGET = 2_200  # a connection to a target, parked
FLOW = 7_000  # an open flow: its request, its forward, timers, the decisions' job
WINDOW = 48 * 1024  # a long message on its way: what one read has brought, and its copy in the transport
BOX = 10_000  # a box: its entry, its pool, the decisions' record, its points on the ring

PROGRAM = 17 * MB  # the program with nothing to do: its own pages, and what it alone holds of files
MOST_BOXES = 4_000  # a change of a longer list would stop the loop for more than 0.1 s
LINE = 200  # an entry of the list on its line
LEAST_WORK = 2 * MB  # below that nothing can be served
SAFETY = 0.08  # of the limit: the allocator's fragments, the stacks, what is in the kernel's name


class Bounds(NamedTuple):
    """What fits into the limits."""

    memory: int  # bytes that may be accounted
    bodies: int  # bytes of them for bodies beyond the small ones
    sockets: int  # descriptors that may be used: no more than the memory has room for
    clients: int  # client connections that fit where targets hold no more than their floor
    flows: int  # flows open at once
    boxes: int  # entries of the list
    line: int  # bytes of one line of the list


def derive(memory_mb: float, sockets: int, cores: float) -> Bounds:
    """What fits; `ValueError` with the mend where the limits cannot hold a proxy at all."""
    if cores <= 0:
        raise ValueError(f"limits.cores is {cores}: give a part of a core above 0")
    memory = int(memory_mb * MB * (1 - SAFETY)) - PROGRAM
    if memory < LEAST_WORK:
        least = math.ceil((PROGRAM + LEAST_WORK) / (1 - SAFETY) / MB)
        raise ValueError(f"limits.memory_mb is {memory_mb:g}: at least {least} are needed")
    if sockets < LEAST:
        raise ValueError(f"limits.sockets is {sockets}: at least {LEAST} are needed")
    sockets = max(LEAST, min(sockets, memory // 2 // IDLE_TARGET))
    floor = floors(sockets)
    rest = memory - sockets * IDLE_TARGET
    clients = sockets - sum(floor.values()) + floor[Use.CLIENTS]
    boxes = min(MOST_BOXES, max(16, rest // 4 // BOX))
    return Bounds(
        memory=memory,
        bodies=rest // 3,
        sockets=sockets,
        clients=clients,
        flows=max(8, min(clients, rest // 4 // FLOW)),
        boxes=boxes,
        line=min(4 * MB, max(64 * 1024, boxes * LINE)),
    )
