"""Parts that a proxy may be given: what keeps its memory, its part in the agreement on a policy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from firvane.core import interface as api
from firvane.proxy.admin_api.calls import Asked

AGREEING = 4  # descriptors kept for texts of policies, where there is an agreement on one


class Keeper(Protocol):
    """Whatever keeps what was learnt over this process's end (`snapshots.file`)."""

    def load(self, now: float) -> tuple[api.RestoredEstimates, Any] | None:
        """What was kept, and the list in discovery's form; `now` in Unix time."""

    def save(self, now: float, listed: Callable[[], Any], held: api.RestoredEstimates) -> None:
        """`listed` makes the list, wherever that is written."""

    def close(self, now: float, listed: Callable[[], Any], held: api.RestoredEstimates) -> None:
        """Keep it for the last time."""


class Agreement(Protocol):
    """This proxy's part in the agreement on one policy for all proxies (`quorum.driver`)."""

    epoch: int  # of the policy in use; 0: none has been
    stamp: bytes  # the header line that answers carry, or none

    async def start(self) -> None:
        """Returns when the policy in force is in use here."""

    def heard(self, sender: int, payload: bytes) -> bool:
        """Whether a peer's datagram was for it."""

    def may(self) -> bool:
        """Whether a new request may be decided now; asked at each of them."""

    def call(self, asked: Asked) -> bytes:
        """The answer to an operators' call."""

    def close(self) -> None:
        """Take no part any more."""
