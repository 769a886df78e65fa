"""The result of a request to transfer leadership."""

from __future__ import annotations

import enum


class TransferStart(enum.Enum):
    """Whether a leadership transfer has started, or why it has not."""

    STARTED = "started"
    NOT_LEADER = "not_leader"  # this replica does not lead, or has not committed anything in its term
    IN_PROGRESS = "in_progress"  # another transfer has not ended
    UNKNOWN_VOTER = "unknown_voter"  # no other voter has the requested address
    NO_HEALTHY_VOTER = "no_healthy_voter"  # requested or any: unreachable, draining or with a disk fault
