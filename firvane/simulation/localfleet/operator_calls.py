"""Redirects and retries of the operator's calls to the controllers. Pure.

1. Up to two 307 responses are followed to the address in `Location`.
2. After a timeout, a failure, a 5xx, a 408 or a 429 the unchanged call is sent to the next controller, after
   an increasing pause.
3. 400, 409, 412, 413 and 422 end the call at once, any other 4xx at the third attempt.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from urllib.parse import urlsplit

from firvane.core.address import Address, parse_address

MAX_REDIRECTS = 2
MAX_CLIENT_ERRORS = 3
FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))
RETRY_STATUSES = frozenset((408, 429))
FIRST_PAUSE = 0.05  # s
MAX_PAUSE = 0.8  # s


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send the call to this controller after `pause` seconds."""

    address: Address
    pause: float = 0.0


@dataclass(frozen=True, slots=True)
class CallEnded:
    """The call has its final response."""

    address: Address
    status: int

    @property
    def accepted(self) -> bool:
        """Whether the response is a success."""
        return self.status == HTTPStatus.OK


CallStep = SendTo | CallEnded


class OperatorCall:
    """The state of one call, which starts at the controller with the index `first`."""

    def __init__(self, controllers: Sequence[Address], first: int) -> None:
        self._controllers = list(controllers)
        self._position = first % len(self._controllers)
        self._current = self._controllers[self._position]
        self._redirects = 0
        self._client_errors = 0
        self._pause = FIRST_PAUSE

    def begin(self) -> SendTo:
        """Return the first step."""
        return SendTo(self._current)

    def answered(self, status: int, location: str | None) -> CallStep:
        """Process a response; return the next step."""
        if status == HTTPStatus.TEMPORARY_REDIRECT:
            return self._redirected(location)
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in RETRY_STATUSES:
            return self.failed()
        if status >= HTTPStatus.BAD_REQUEST and status not in FINAL_STATUSES:
            self._client_errors += 1
            if self._client_errors < MAX_CLIENT_ERRORS:
                return self.failed()
        return CallEnded(self._current, status)

    def failed(self) -> SendTo:
        """Process a failure or a retryable response; return the next step."""
        self._redirects = 0
        self._position = (self._position + 1) % len(self._controllers)
        self._current = self._controllers[self._position]
        pause, self._pause = self._pause, min(2 * self._pause, MAX_PAUSE)
        return SendTo(self._current, pause)

    def _redirected(self, location: str | None) -> SendTo:
        target = _address_in(location)
        if target is None or self._redirects >= MAX_REDIRECTS:
            return self.failed()
        self._redirects += 1
        self._current = target
        return SendTo(target)


def _address_in(location: str | None) -> Address | None:
    try:
        return parse_address(urlsplit(location or "").netloc)
    except ValueError:
        return None
