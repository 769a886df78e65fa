"""Optional parts of a proxy: the store of its snapshots, and its part in the agreement on a policy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from firvane.core import interface as api
from firvane.proxy.admin_api.calls import AdminCall

POLICY_DESCRIPTORS = 4  # for texts of policies that are fetched and served


class SnapshotStore(Protocol):
    """Keeps learned estimates beyond the end of the process (`snapshots.file`)."""

    def load(self, now: float) -> tuple[api.RestoredEstimates, Any] | None:
        """The stored estimates and endpoint list, or None; `now` is Unix time in s."""

    def save(self, now: float, make_list: Callable[[], Any], estimates: api.RestoredEstimates) -> None:
        """Store estimates and the endpoint list that `make_list` returns, possibly in another thread."""

    def close(self, now: float, make_list: Callable[[], Any], estimates: api.RestoredEstimates) -> None:
        """Store them for the last time, before this returns."""


class PolicyAgreement(Protocol):
    """This proxy's part in the agreement on one policy for all proxies (`quorum.driver`).

    Attributes:
        epoch: The epoch of the policy in use, or 0 for none.
        epoch_header: The header line of responses that names the policy, or b"".
    """

    epoch: int
    epoch_header: bytes

    async def start(self) -> None:
        """Start; returns once the policy in force is in use here."""

    def on_datagram(self, sender: int, payload: bytes) -> bool:
        """Take in a peer's datagram; return whether it was for the agreement."""

    def may_accept(self) -> bool:
        """Whether a new request may be decided now."""

    def call(self, asked: AdminCall) -> bytes:
        """The response to an operators' call."""

    def close(self) -> None:
        """Leave the agreement."""
