"""A queue of requests that wait for a short time until a backend has capacity."""

from __future__ import annotations

from firvane.fleet.placement.pending_request import PendingRequest


class RequestQueue:
    """Queued requests, ordered by priority and then by arrival."""

    def __init__(self) -> None:
        self._pending: dict[int, PendingRequest] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def __contains__(self, pending: PendingRequest) -> bool:
        return pending.request.id in self._pending

    def add(self, pending: PendingRequest) -> None:
        """Queue a request."""
        self._pending[pending.request.id] = pending

    def discard(self, pending: PendingRequest) -> None:
        """Remove a request if it is queued."""
        self._pending.pop(pending.request.id, None)

    def by_priority(self) -> list[PendingRequest]:
        """Return all queued requests in the order in which they are dispatched."""
        return sorted(self._pending.values(), key=_priority)


def _priority(pending: PendingRequest) -> tuple[int, int]:
    return pending.request.priority, pending.request.id
