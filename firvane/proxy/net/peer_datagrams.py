"""Datagrams between the proxies of a tier."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, cast

from firvane.proxy.limits.token_buckets import Rates

MAX_DATAGRAM = 256
RATE, BURST = 20.0, 20.0  # datagrams a second that a peer may send, ten times what it needs; at once


class Peers(asyncio.DatagramProtocol):
    """Sends to the peers and passes on what comes from them; anything else on the port is dropped."""

    def __init__(
        self,
        me: int,
        peers: Sequence[tuple[str, int]],
        everyone: tuple[str, int] | None,
        on_message: Callable[[int, bytes], None],
        time: Callable[[], float],
    ) -> None:
        """`time` tells seconds on any clock; a peer's messages beyond its rate are dropped unread."""
        self.time, self.rates = time, Rates(RATE, BURST)
        self.me, self.peers, self.everyone, self.on_message = me, peers, everyone, on_message
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        sender = self.numbers.get((addr[0], addr[1]))
        if sender is None or sender == self.me or len(data) > MAX_DATAGRAM:
            return
        if self.rates.allow(sender, self.time()):
            self.on_message(sender, data)

    def error_received(self, exc: Exception) -> None:
        """A peer that is down answers with an error; a lost message is nothing new to the sender."""

    def close(self) -> None:
        """Nothing more is told or heard here."""
        if self.transport:
            self.transport.close()
            self.transport = None

    def tell(self, peer: int | None, payload: bytes) -> None:
        if self.transport is None or len(payload) > MAX_DATAGRAM:
            return  # a longer one is against the rules of the tier
        if peer is not None:
            if 0 <= peer < len(self.peers):
                self.transport.sendto(payload, self.peers[peer])
        elif self.everyone:
            self.transport.sendto(payload, self.everyone)
        else:
            for number, address in enumerate(self.peers):
                if number != self.me:
                    self.transport.sendto(payload, address)
