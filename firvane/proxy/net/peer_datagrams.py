"""Datagrams between the proxies of a tier."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Any, cast

from firvane.proxy.limits.token_buckets import TokenBuckets

MAX_DATAGRAM_BYTES = 256
DATAGRAM_RATE_PER_S = 20.0  # accepted from a peer: ten times what it needs
DATAGRAM_BURST = 20.0


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends datagrams to the peers and reports those it receives from them; others are dropped."""

    def __init__(
        self,
        me: int,
        peers: Sequence[tuple[str, int]],
        everyone: tuple[str, int] | None,
        on_message: Callable[[int, bytes], None],
        time: Callable[[], float],
    ) -> None:
        """Create the protocol.

        Args:
            me: This proxy's number among the peers.
            peers: The addresses of all proxies, in the order of their numbers.
            everyone: A multicast or broadcast address that reaches all peers, if there is one.
            on_message: Called with the number of the sender and the payload. Messages of a peer beyond its
                rate limit are dropped.
            time: Seconds on a monotonic clock.
        """
        self.time, self.rates = time, TokenBuckets(DATAGRAM_RATE_PER_S, DATAGRAM_BURST)
        self.me, self.peers, self.everyone, self.on_message = me, peers, everyone, on_message
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the transport of the open socket (asyncio)."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Report a datagram of a peer (asyncio)."""
        sender = self.numbers.get((addr[0], addr[1]))
        if sender is None or sender == self.me or len(data) > MAX_DATAGRAM_BYTES:
            return
        if self.rates.allow(sender, self.time()):
            self.on_message(sender, data)

    def error_received(self, exc: Exception) -> None:
        """Ignore ICMP errors of peers that are down: datagrams may be lost in any case (asyncio)."""

    def close(self) -> None:
        """Close the socket."""
        if self.transport:
            self.transport.close()
            self.transport = None

    def send_datagram(self, peer: int | None, payload: bytes) -> None:
        """Send a datagram to a peer, or to all of them for None."""
        if self.transport is None or len(payload) > MAX_DATAGRAM_BYTES:
            return  # longer datagrams violate the protocol
        if peer is not None:
            if 0 <= peer < len(self.peers):
                self.transport.sendto(payload, self.peers[peer])
        elif self.everyone:
            self.transport.sendto(payload, self.everyone)
        else:
            for number, address in enumerate(self.peers):
                if number != self.me:
                    self.transport.sendto(payload, address)
