"""What becomes of an operator's wish that the leader hands its group to another replica."""

from __future__ import annotations

import enum


class TransferStart(enum.Enum):
    """Whether a transfer of leadership has begun, or why not."""

    BEGUN = "begun"
    NOT_LEADER = "not_leader"  # this replica does not lead, or has not committed anything in its term
    BUSY = "busy"  # another transfer is under way
    UNKNOWN = "unknown"  # no other voter has the address that was named
    UNFIT = "unfit"  # the named voter, or every one, is silent, leaving or in trouble with its disk
