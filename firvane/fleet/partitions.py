"""The partitions of the control state: one for the configuration, and others chosen by a hash of a name.

The hashed name is that of a service or of a singleton role. Each partition is a separate replication group
with its own members, owner and log.
"""

from __future__ import annotations

import zlib

CONFIGURATION_PARTITION = 0
SERVICE_PARTITION_COUNT = 2
ALL_PARTITIONS = range(1 + SERVICE_PARTITION_COUNT)

POLL_ROLE = "instances"
"""The name of the singleton role that polls the platform's list of backends."""


def partition_of(name: str) -> int:
    """Return the partition (1 or higher) of a service or singleton role; it is the same on every machine."""
    return 1 + zlib.crc32(name.encode("utf-8", "surrogatepass")) % SERVICE_PARTITION_COUNT
