"""The memory cost of each kind of object, and the bounds that follow from the configured limits.

Costs are resident bytes beyond the idle program; `benchmarks/limits.py memory` measures them.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from firvane.proxy.limits.descriptors import MIN_DESCRIPTORS, Use, floors

MB = 1 << 20
IDLE_CLIENT_BYTES = 2_800  # a client connection: transport, parser, protocol
IDLE_TARGET_BYTES = 2_200  # an idle connection to a target
FLOW_BYTES = 7_000  # an open flow: its request, its attempt, timers, the decisions' record
STREAM_WINDOW_BYTES = 48 * 1024  # a streamed message: the bytes of one read, and their copy in the transport
BACKEND_BYTES = 10_000  # a backend: its entry, its pool, the decisions' record, its points on the ring

PROGRAM_BYTES = 17 * MB  # the idle program: its private pages, and file pages that only it maps
MAX_BACKENDS = 4_000  # a change of a longer list would block the event loop for more than 0.1 s
ENDPOINT_BYTES = 200  # an entry of the endpoint list on the wire
MIN_WORKING_BYTES = 2 * MB  # beyond the program; with less no request can be served
SAFETY_MARGIN = 0.08  # of the limit: allocator fragmentation, stacks, kernel buffers


class Bounds(NamedTuple):
    """The bounds that follow from the configured limits."""

    memory: int  # bytes of the memory account
    bodies: int  # bytes of these for leased bodies
    sockets: int  # descriptors that may be used; no more than fit into the memory
    clients: int  # client connections that fit if targets use no more than their floor
    flows: int  # open flows
    backends: int  # entries of the endpoint list
    list_line_bytes: int  # of one line of the endpoint list


def derive(memory_mb: float, sockets: int, cores: float) -> Bounds:
    """Return the bounds that follow from the limits.

    Raises:
        ValueError: the limits are too small for a proxy; the text says what is needed.
    """
    if cores <= 0:
        raise ValueError(f"limits.cores is {cores}: give a number of cores, or a fraction of one, above 0")
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
