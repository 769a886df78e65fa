"""Who of the clients may be here, and who must go."""

from __future__ import annotations

import heapq

from firvane.core.net.connection_checks import NoInputCheck, PeerOpenCheck, always_true
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.limits.overload import Measure
from firvane.proxy.net.client_connection import BUSY, IDLE
from firvane.proxy.net.client_context import ClientSide
from firvane.proxy.net.client_requests import Listener

# The same as `IDLE` where places run short, by the requests that a connection has brought: those
# that ask once and stay would in the end keep out the clients that use theirs.
SHORT_IDLE = (0.5, 0.1, 2.0)
SHORTEST_IDLE = (0.2, 0.1, 1.0)  # and where only those that just stand there can give way
# Of the places, the part that is made free at once where all are taken; s from one time to the next.
ROOM, ROOM_EVERY = 1 / 32, 0.02


class Front(ClientSide):
    """The places of client connections: given, taken back where they are short, and ended in order."""

    def accept(
        self, has_no_input: NoInputCheck = always_true, is_peer_open: PeerOpenCheck = always_true
    ) -> Listener:
        return Listener(self, has_no_input, is_peer_open)

    def sweep(self) -> None:
        """End what has stood unused, or has kept a request half sent, for too long."""
        now = self.loop.time()
        self.guard.see_descriptors()
        self.crowded = self.guard.descriptors.free(Use.CLIENTS) < 0
        kept = SHORT_IDLE if self.guard.gives_up(Measure.SHORT_IDLE) else (IDLE, IDLE, IDLE)
        if self.guard.gives_up(Measure.CLOSE_SILENT):
            kept = SHORTEST_IDLE
        for connection in list(self.connections):
            idle = kept[min(2, connection.asked)]
            if connection.paused and not connection.is_peer_open():
                connection.has_gone()
            elif connection.expires <= now or (connection.since <= now - idle and connection.is_idle()):
                connection.expire()

    def no_place(self) -> None:
        """All places are taken: nobody is let in until some have been made, or have become free.

        Room is made for several at once and only so often. Looking for the least claim anew for each newcomer
        would let those that come by the thousand take the loop from everyone.
        """
        if not self.shut_out:
            self.shut_out = True
            self.door(False)
            self.loop.call_at(self.loop.time() + ROOM_EVERY, self._make_room)

    def _make_room(self) -> None:
        """Close what has the least claim to its place, and among equals the longest there; let in as many."""
        descriptors = self.guard.descriptors
        free = descriptors.free(Use.CLIENTS)
        wanted = 1 + int((descriptors.held[Use.CLIENTS] + free) * ROOM)
        if free < wanted:
            others = (c for c in self.connections if not c.transport.get_write_buffer_size())
            spare = [(c.claim(), n, c) for n, c in enumerate(others)]
            for (claim, _), _, least in heapq.nsmallest(wanted - free, spare):
                if claim < BUSY and least.has_no_input():
                    least.transport.abort()  # nothing of an answer is left on it
        self.loop.call_at(self.loop.time() + ROOM_EVERY, self._reopen)

    def _reopen(self) -> None:
        """Let newcomers in again, if there is a place now."""
        if self.guard.descriptors.free(Use.CLIENTS) > 0:
            self.shut_out = False
            self.door(True)
        else:
            self._make_room()

    def close_idle(self) -> None:
        """Close what nobody uses any more; who has yet to ask its first is left to do so in its own time.

        A close between requests may cross the next one, which its client then sends once more. Guards the
        first on a connection: nobody sends that again where its connection is closed with no answer.
        """
        for connection in list(self.connections):
            if connection.asked and connection.is_idle() and connection.has_no_input():
                connection.transport.close()

    def turn_out(self) -> None:
        """The proxy is about to end: whoever is still here has to go."""
        for connection in list(self.connections):
            connection.turn_out()
