"""A record of sent payloads, so that a request repeated too early is not served twice. Does no I/O."""

from __future__ import annotations

from msgspec import Struct

from firvane.core.address import Address
from firvane.fleet.dissemination.items import Item
from firvane.fleet.dissemination.requests import SLOWEST_LINK_BYTES_PER_S

RESEND_DELAY_S = 0.1
"""Seconds, in addition to the transfer time on a slow link, after which a repeated request is served again.

Shorter than `RESPONSE_TIMEOUT_S`, so that a request that is repeated for lack of a response is served.
"""
MAX_UPLOADS = 4096
"""Maximum number of recorded uploads."""


class _Upload(Struct, frozen=True):
    version: int
    in_flight_until: float


class Uploads:
    """The last version of each key sent to each peer, and until when it may be in flight."""

    def __init__(self) -> None:
        self._sent: dict[tuple[Address, bytes], _Upload] = {}

    def __len__(self) -> int:
        return len(self._sent)

    def start(self, requester: Address, item: Item, now: float) -> bool:
        """Record that an item is sent now; return False if it, or a newer version, is already in flight."""
        before = self._sent.get((requester, item.key))
        if before is not None and before.version >= item.version and now < before.in_flight_until:
            return False
        if len(self._sent) >= MAX_UPLOADS:
            self._remove_expired(now)
        in_flight_until = now + RESEND_DELAY_S + len(item.payload) / SLOWEST_LINK_BYTES_PER_S
        self._sent[requester, item.key] = _Upload(item.version, in_flight_until)
        return True

    def _remove_expired(self, now: float) -> None:
        recent = {target: upload for target, upload in self._sent.items() if now < upload.in_flight_until}
        self._sent = recent if len(recent) < MAX_UPLOADS else {}
