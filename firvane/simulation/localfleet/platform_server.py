"""HTTP server of the platform's API: `GET /instances`."""

from __future__ import annotations

import asyncio
from urllib.parse import parse_qs, urlsplit

from firvane.core.address import Address
from firvane.core.net.http_message import Message
from firvane.simulation.localfleet.http_server import ServerConnection
from firvane.simulation.localfleet.instance_list import InstanceList

LIST_PATH = "/instances"


class PlatformServer:
    """Serves one instance list."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, instances: InstanceList) -> None:
        self.loop, self.instances = loop, instances
        self._address = address
        self._listener: asyncio.Server | None = None
        self.connections: set[_PlatformConnection] = set()

    async def start(self) -> None:
        """Start listening."""
        self._listener = await self.loop.create_server(lambda: _PlatformConnection(self), *self._address)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._listener:
            self._listener.close()
        for connection in list(self.connections):
            connection.transport.abort()


class _PlatformConnection(ServerConnection):
    def __init__(self, server: PlatformServer) -> None:
        super().__init__()
        self._server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.connections.add(self)

    def on_end(self) -> None:
        self._server.connections.discard(self)

    def on_request(self, request: Message) -> None:
        target = urlsplit(request.url.decode("ascii", "replace"))
        if request.method != b"GET" or target.path != LIST_PATH:
            self.respond(404)
            return
        query = parse_qs(target.query)
        zone, token = query.get("zone", [None])[0], query.get("page_token", [None])[0]
        answer = self._server.instances.answer(zone, token, self._server.loop.time())
        self.respond(answer.status, [(b"Content-Type", b"application/json")], answer.body)
