"""Interfaces of optional parts of a proxy: the snapshot store, and the agreement on a policy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from firvane.core import interface as api
from firvane.proxy.admin_api.calls import AdminCall

POLICY_DESCRIPTORS = 4  # file descriptors reserved for policy texts that are fetched and served


class SnapshotStore(Protocol):
    """Stores learned estimates across restarts of the process (`snapshots.file`)."""

    def load(self, now: float) -> tuple[api.RestoredEstimates, Any] | None:
        """Return the stored estimates and endpoint list, or None; `now` is Unix time in s."""

    def save(self, now: float, make_list: Callable[[], Any], estimates: api.RestoredEstimates) -> None:
        """Store estimates and the endpoint list that `make_list` returns, possibly in another thread."""

    def close(self, now: float, make_list: Callable[[], Any], estimates: api.RestoredEstimates) -> None:
        """Store estimates and list for the last time; returns when they are stored."""


class PolicyAgreement(Protocol):
    """This proxy's member of the consensus on one policy for all proxies (`quorum.driver`).

    Attributes:
        epoch: The epoch of the policy in use, or 0 if there is none.
        epoch_header: The header line with the policy's epoch that is added to responses, or b"".
    """

    epoch: int
    epoch_header: bytes

    async def start(self) -> None:
        """Start; returns once this proxy uses the policy in force."""

    def on_datagram(self, sender: int, payload: bytes) -> bool:
        """Handle a peer's datagram if it belongs to the consensus; return whether it does."""

    def may_accept(self) -> bool:
        """Whether new requests may be accepted now."""

    def call(self, request: AdminCall) -> bytes:
        """Return the response to an admin API call."""

    def close(self) -> None:
        """Leave the consensus."""
