"""Payloads sent on request, so that a request that is repeated too early is not answered twice. Pure."""

from __future__ import annotations

from msgspec import Struct

from firvane.core.address import Address
from firvane.fleet.dissemination.items import Item
from firvane.fleet.dissemination.requests import SLOWEST_LINK

RESEND_PAUSE = 0.1
"""Seconds, beside the time that a slow link takes, after which a payload is sent again to who asks again.

Shorter than `ANSWER_TIMEOUT`: a request that is repeated because nothing came is answered.
"""
MAX_UPLOADS = 4096
"""Uploads remembered at one time."""


class _Upload(Struct, frozen=True):
    version: int
    until: float


class Uploads:
    """Which version of a key was sent to whom, and until when it may be on its way."""

    def __init__(self) -> None:
        self._sent: dict[tuple[Address, bytes], _Upload] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def begin(self, requester: Address, item: Item, now: float) -> bool:
        """Note that an item is sent now; False if it, or a newer one, is still on its way there."""
        before = self._sent.get((requester, item.key))
        if before is not None and before.version >= item.version and now < before.until:
            return False
        if len(self._sent) >= MAX_UPLOADS:
            self._forget(now)
        until = now + RESEND_PAUSE + len(item.payload) / SLOWEST_LINK
        self._sent[requester, item.key] = _Upload(item.version, until)
        return True

    def _forget(self, now: float) -> None:
        recent = {place: upload for place, upload in self._sent.items() if now < upload.until}
        self._sent = recent if len(recent) < MAX_UPLOADS else {}
