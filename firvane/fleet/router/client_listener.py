"""Client connections of one router: accepts them, times them out, and closes them when draining."""

from __future__ import annotations

import asyncio

from firvane.core.address import Address
from firvane.core.net.listening import limit_unsent
from firvane.fleet.configuration.routes import Limits, RouteTable
from firvane.fleet.router.client import ClientConnection
from firvane.fleet.router.client_context import ClientContext


class ClientListener(ClientContext):
    """Accepts and closes the client connections that share this context."""

    async def listen(self, address: Address, backlog: int) -> asyncio.Server:
        """Listen for clients with the given accept backlog."""
        server = await self.loop.create_server(
            self.accept, address[0], address[1], backlog=backlog, reuse_address=True
        )
        for sock in server.sockets:
            limit_unsent(sock)
        return server

    def accept(self) -> ClientConnection:
        """Return the protocol of a new connection."""
        self.drain.record_connection()
        return ClientConnection(self)

    def configure(self, routes: RouteTable, limits: Limits) -> None:
        """Apply new routes and limits, and route the requests that waited for them."""
        super().configure(routes, limits)
        for connection in list(self.connections):
            connection.on_configured()

    def sweep(self, now: float) -> None:
        """Check all connections for idle and request time-outs."""
        for connection in list(self.connections):
            connection.check_timeout(now)

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close()
