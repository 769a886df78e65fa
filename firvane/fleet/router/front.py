"""The clients' side of one router: connections made, swept, and ended in order."""

from __future__ import annotations

from firvane.fleet.configuration.routes import Limits, RouteTable
from firvane.fleet.router.client import ClientConnection
from firvane.fleet.router.client_side import ClientSide


class Front(ClientSide):
    """The clients' side of one router."""

    def accept(self) -> ClientConnection:
        self.drain.note_connection()
        return ClientConnection(self)

    def configure(self, routes: RouteTable, limits: Limits) -> None:
        """Requests are handled by these routes and bounds from now on, also those that waited for them."""
        super().configure(routes, limits)
        for connection in list(self.connections):
            connection.resume()

    def sweep(self, now: float) -> None:
        """End connections that have stood idle, or kept a request half sent, for too long."""
        for connection in list(self.connections):
            connection.expire(now)

    def close_idle(self) -> None:
        for connection in list(self.connections):
            if connection.is_idle():
                connection.close()
