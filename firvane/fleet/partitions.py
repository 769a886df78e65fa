"""The parts of the control state: one for the configuration, the others by a hash of a name.

What is hashed is the name of a service or of a duty. Each part is a replication group of its own, with its
own members, owner and log.
"""

from __future__ import annotations

import zlib

CONFIGURATION_PART = 0
SERVICE_PARTS = 2
ALL_PARTS = range(1 + SERVICE_PARTS)

POLL_DUTY = "instances"  # the duty to poll the platform's list of backends


def part_of(name: str) -> int:
    """The part, from 1 on, that a service or a duty of this name belongs to; the same on every machine."""
    return 1 + zlib.crc32(name.encode("utf-8", "surrogatepass")) % SERVICE_PARTS
