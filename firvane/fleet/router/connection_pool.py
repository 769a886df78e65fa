"""The idle connections to one backend."""

from __future__ import annotations

from typing import Any, Generic, Protocol, TypeVar

from firvane.core.address import Address
from firvane.core.net.upstream_exchange import close_idle

DEFAULT_IDLE_TIMEOUT_S = 8.0  # if the backend sends no `Keep-Alive` time-out


class PooledConnection(Protocol):
    """A connection to a backend, which carries one run at a time.

    Attributes:
        run: The run in progress.
        idle_since: Loop time at which the connection became idle.
        rejected_ids: Ids of the requests that the backend rejected on this connection.
    """

    run: Any
    idle_since: float
    rejected_ids: set[bytes]

    def is_usable(self) -> bool:
        """Return whether an idle connection is open and has received neither data nor an end of file."""

    def close(self) -> None:
        """Abort the connection."""


ConnectionT = TypeVar("ConnectionT", bound=PooledConnection)


class Pool(Generic[ConnectionT]):
    """The idle connections to one backend.

    Attributes:
        backend: Id of the backend.
        address: Address of the backend.
        ready: Whether the backend accepts new requests.
        idle: Idle connections, the most recently used last.
        idle_timeout: Seconds after which an idle connection is closed.
        progress_at: Loop time of the last progress report for the backend.
    """

    def __init__(self, backend: str, address: Address) -> None:
        self.backend, self.address = backend, address
        self.ready = True
        self.idle: list[ConnectionT] = []
        self.idle_timeout = DEFAULT_IDLE_TIMEOUT_S
        self.progress_at = 0.0

    def take(self, request_id: bytes) -> ConnectionT | None:
        """Take the most recently used connection that may carry this request, and close unusable ones."""
        for position in range(len(self.idle) - 1, -1, -1):
            connection = self.idle[position]
            if not connection.is_usable():
                del self.idle[position]
                connection.close()
            elif request_id not in connection.rejected_ids:
                del self.idle[position]
                return connection
        return None

    def close_idle(self, before: float = float("inf")) -> None:
        """Close the connections that became idle before the loop time `before`."""
        close_idle(self.idle, before)
