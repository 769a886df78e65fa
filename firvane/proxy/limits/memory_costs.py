"""What each object costs in memory, and what fits into the limits.

Costs are bytes resident beyond the idle program; `benchmarks/limits.py memory` shows them.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from firvane.proxy.limits.descriptors import MIN_DESCRIPTORS, Use, floors

MB = 1 << 20
IDLE_CLIENT_BYTES = 2_800  # a client connection: transport, parser, protocol
IDLE_TARGET_BYTES = 2_200  # an idle connection to a target
FLOW_BYTES = 7_000  # an open flow: its request, its attempt, timers, the decisions' record
STREAM_WINDOW_BYTES = (
    48 * 1024
)  # a streamed message: what one read has brought, and its copy in the transport
BACKEND_BYTES = 10_000  # a backend: its entry, its pool, the decisions' record, its points on the ring

PROGRAM_BYTES = 17 * MB  # the program with nothing to do: its own pages, and what it alone holds of files
MAX_BACKENDS = 4_000  # a change of a longer list would block the loop for more than 0.1 s
ENDPOINT_BYTES = 200  # an entry of the endpoint list on the wire
MIN_WORKING_BYTES = 2 * MB  # less serves nothing
SAFETY_MARGIN = 0.08  # of the limit: the allocator's fragments, stacks, the kernel's buffers


class Bounds(NamedTuple):
    """What fits into the limits."""

    memory: int  # bytes that may be accounted
    bodies: int  # bytes of them for bodies beyond the small ones
    sockets: int  # descriptors that may be used: no more than fit into the memory
    clients: int  # client connections that fit where targets hold no more than their floor
    flows: int  # flows open at once
    backends: int  # entries of the list
    list_line_bytes: int  # bytes of one line of the list


def derive(memory_mb: float, sockets: int, cores: float) -> Bounds:
    """What fits into the limits.

    Raises:
        ValueError: they cannot hold a proxy at all; the text says what is needed.
    """
    if cores <= 0:
        raise ValueError(f"limits.cores is {cores}: give a part of a core above 0")
    memory = int(memory_mb * MB * (1 - SAFETY_MARGIN)) - PROGRAM_BYTES
    if memory < MIN_WORKING_BYTES:
        least = math.ceil((PROGRAM_BYTES + MIN_WORKING_BYTES) / (1 - SAFETY_MARGIN) / MB)
        raise ValueError(f"limits.memory_mb is {memory_mb:g}: at least {least} are needed")
    if sockets < MIN_DESCRIPTORS:
        raise ValueError(f"limits.sockets is {sockets}: at least {MIN_DESCRIPTORS} are needed")
    sockets = max(MIN_DESCRIPTORS, min(sockets, memory // 2 // IDLE_TARGET_BYTES))
    floor = floors(sockets)
    rest = memory - sockets * IDLE_TARGET_BYTES
    clients = sockets - sum(floor.values()) + floor[Use.CLIENTS]
    backends = min(MAX_BACKENDS, max(16, rest // 4 // BACKEND_BYTES))
    return Bounds(
        memory=memory,
        bodies=rest // 3,
        sockets=sockets,
        clients=clients,
        flows=max(8, min(clients, rest // 4 // FLOW_BYTES)),
        backends=backends,
        list_line_bytes=min(4 * MB, max(64 * 1024, backends * ENDPOINT_BYTES)),
    )
