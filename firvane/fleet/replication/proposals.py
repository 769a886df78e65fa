"""What becomes of proposals and reads: the answers that a caller gets."""

from __future__ import annotations

import enum
from typing import Protocol

from msgspec import Struct

from firvane.core.address import Address


class ProposalStatus(enum.Enum):
    """How a proposal or a read ended."""

    COMMITTED = "committed"  # committed, and applied here; a read here is linearizable
    NOT_OWNER = "not_owner"  # surely not taken: another replica owns the group
    UNCLEAR = "unclear"  # appended, and may yet be committed
    UNAVAILABLE = "unavailable"  # surely not taken: there was no owner in time


class Proposal(Struct, frozen=True):
    """The end of a proposal: `result` is that of `StateMachine.apply`, `owner` the owner if one is known."""

    status: ProposalStatus
    result: bytes = b""
    owner: Address | None = None


class StateMachine(Protocol):
    """What is replicated."""

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a committed command; deterministic."""

    def save(self) -> bytes:
        """The whole state."""

    def load(self, snapshot: bytes) -> None:
        """Take a state that `save` gave, here or elsewhere."""


class Resolved(Struct, frozen=True):
    """The answer to a proposal or read by its token."""

    token: int
    proposal: Proposal


class PendingProposal(Struct):
    """A proposal without an answer; `index` is 0 until it is appended."""

    token: int
    payload: bytes
    deadline: float
    index: int = 0
    term: int = 0


class PendingRead(Struct):
    """A read without an answer; `index` is known once it is linearizable after that entry."""

    token: int
    deadline: float
    ask_again_at: float
    index: int | None = None
