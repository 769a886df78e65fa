"""Payloads sent on request, so that a request repeated too early is not served twice. Does no I/O."""

from __future__ import annotations

from msgspec import Struct

from firvane.core.address import Address
from firvane.fleet.dissemination.items import Item
from firvane.fleet.dissemination.requests import SLOWEST_LINK_BYTES_PER_S

RESEND_DELAY_S = 0.1
"""Beside the time that a slow link takes, after which a payload is sent again on a repeated request.

Shorter than `RESPONSE_TIMEOUT_S`: a request that is repeated because nothing came is served.
"""
MAX_UPLOADS = 4096
"""Uploads remembered at one time."""


class _Upload(Struct, frozen=True):
    version: int
    until: float


class Uploads:
    """Which version of a key was sent to which peer, and until when it may be in flight."""

    def __init__(self) -> None:
        self._sent: dict[tuple[Address, bytes], _Upload] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def start(self, requester: Address, item: Item, now: float) -> bool:
        """Record that an item is sent now; False if it, or a newer one, is still in flight there."""
        before = self._sent.get((requester, item.key))
        if before is not None and before.version >= item.version and now < before.until:
            return False
        if len(self._sent) >= MAX_UPLOADS:
            self._forget(now)
        until = now + RESEND_DELAY_S + len(item.payload) / SLOWEST_LINK_BYTES_PER_S
        self._sent[requester, item.key] = _Upload(item.version, until)
        return True

    def _forget(self, now: float) -> None:
        recent = {target: upload for target, upload in self._sent.items() if now < upload.until}
        self._sent = recent if len(recent) < MAX_UPLOADS else {}
