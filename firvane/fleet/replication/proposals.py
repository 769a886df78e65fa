"""Proposals and reads: their results, and those pending at a replica."""

from __future__ import annotations

import enum
from typing import Protocol

from msgspec import Struct

from firvane.core.address import Address


class ProposalStatus(enum.Enum):
    """The outcome of a proposal or a read."""

    COMMITTED = "committed"  # committed and applied here; a read now is linearizable
    NOT_OWNER = "not_owner"  # certainly not committed: another replica owns the group
    UNCLEAR = "unclear"  # appended, and may still be committed
    UNAVAILABLE = "unavailable"  # certainly not committed: no owner was available before the deadline


class ProposalResult(Struct, frozen=True):
    """The result of a proposal or read: `result` is from `StateMachine.apply`, `owner` the known owner."""

    status: ProposalStatus
    result: bytes = b""
    owner: Address | None = None


class StateMachine(Protocol):
    """The application state that a group replicates."""

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a committed command; must be deterministic."""

    def save(self) -> bytes:
        """Return a snapshot of the state."""

    def load(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot from `save` of this or another replica."""


class Resolved(Struct, frozen=True):
    """The result of the proposal or read with this token."""

    token: int
    result: ProposalResult


class PendingProposal(Struct):
    """An unresolved proposal; `index` and `term` are 0 until the command is appended."""

    token: int
    payload: bytes
    deadline: float
    index: int = 0
    term: int = 0


class PendingRead(Struct):
    """An unresolved read, linearizable once the read index `index` is applied; None until it is known."""

    token: int
    deadline: float
    retry_at: float
    index: int | None = None
