"""The operators' calls over HTTP; each is declared at its handler."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple

from firvane.core.address import Address
from firvane.core.net.http_message import Message
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import MAX_VERSION, Order, OrderKind, Problem
from firvane.fleet.controller.configuration_service import ConfigurationService, Outcome
from firvane.fleet.controller.fleet_service import FleetService
from firvane.fleet.controller.responses import Response

BASE_VERSION_FIELD = b"x-base-version"
MAX_VERSION_DIGITS = 19
RETRY_AFTER_S = 0.2  # for calls that found no owner: shorter than most elections


class Call(NamedTuple):
    """One call: a method and a path."""

    method: bytes
    path: bytes


ApiHandler = Callable[["OperatorApi", Message], Awaitable[Outcome]]
CALLS: dict[Call, ApiHandler] = {}


def call(method: bytes, path: bytes) -> Callable[[ApiHandler], ApiHandler]:
    """Register a handler for a call."""

    def register(handler: ApiHandler) -> ApiHandler:
        CALLS[Call(method, path)] = handler
        return handler

    return register


class OperatorApi:
    """Dispatches requests to the services, and renders their outcomes."""

    def __init__(
        self,
        service: ConfigurationService,
        fleet: FleetService,
        control_address: Callable[[Address], Address],
    ) -> None:
        """Create the API; `control_address` maps a controller's internal address to its operators' one."""
        self._service = service
        self._fleet = fleet
        self._control_address = control_address

    async def handle(self, request: Message) -> Response:
        """Answer one request."""
        path = request.url.partition(b"?")[0]
        handler = CALLS.get(Call(request.method, path))
        if handler is None:
            return self._render(request, self._unknown(path))
        return self._render(request, await handler(self, request))

    @call(b"POST", b"/v1/config/replace")
    async def replace(self, request: Message) -> Outcome:
        """Replace the configuration of the base version by a complete one."""
        return await self._submit(OrderKind.REPLACE, request)

    @call(b"POST", b"/v1/config/modify")
    async def modify(self, request: Message) -> Outcome:
        """Add, replace and remove named items of the base version."""
        return await self._submit(OrderKind.MODIFY, request)

    @call(b"GET", b"/v1/config/read")
    async def read(self, request: Message) -> Outcome:
        """Return the complete newest configuration."""
        return await self._service.read()

    @call(b"GET", b"/v1/fleet/members")
    async def members(self, request: Message) -> Outcome:
        """Return all processes that this controller knows of, with the version in force at each."""
        return self._fleet.members()

    @call(b"GET", b"/v1/fleet/parts")
    async def partitions(self, request: Message) -> Outcome:
        """Return the partitions of the control state as this controller sees them."""
        return self._fleet.partitions()

    @call(b"POST", b"/v1/fleet/hand-over")
    async def transfer_leadership(self, request: Message) -> Outcome:
        """Transfer a partition to another controller."""
        return await self._fleet.transfer_leadership(b"".join(request.body))

    async def _submit(self, kind: OrderKind, request: Message) -> Outcome:
        base = _base_version(request)
        if base is None:
            problem = Problem(ResultCode.BAD_BASE, "X-Base-Version", "is missing or is not a version")
            return Outcome(ResultCode.BAD_BASE, 0, (problem,))
        return await self._service.submit(Order(kind, base, b"".join(request.body)))

    def _unknown(self, path: bytes) -> Outcome:
        known = any(path == known_call.path for known_call in CALLS)
        return Outcome(ResultCode.WRONG_METHOD if known else ResultCode.UNKNOWN_CALL, 0)

    def _render(self, request: Message, outcome: Outcome) -> Response:
        if outcome.document:
            return Response(outcome.code.http_status, outcome.document)
        headers: dict[str, str] = {}
        if outcome.owner is not None:
            host, port = self._control_address(outcome.owner)
            headers["Location"] = f"http://{host}:{port}{request.url.decode('latin-1')}"
        elif outcome.code.http_status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers["Retry-After"] = f"{RETRY_AFTER_S:g}"
        return Response(outcome.code.http_status, encode_outcome(outcome), headers)


def _base_version(request: Message) -> int | None:
    """The base version of an order; None if the header is missing, repeated or not a valid version."""
    text = request.fields.get(BASE_VERSION_FIELD, b"")
    if BASE_VERSION_FIELD in request.repeated_fields or not text.isdigit() or len(text) > MAX_VERSION_DIGITS:
        return None
    base = int(text)
    return base if base <= MAX_VERSION else None


def encode_outcome(outcome: Outcome) -> bytes:
    """Encode the JSON body of an answer without a document."""
    document = {
        "code": outcome.code.value,
        "result": outcome.code.name.lower(),
        "config_version": outcome.version,
        "problems": [
            {"code": problem.code.value, "place": problem.place, "detail": problem.detail}
            for problem in outcome.problems
        ],
    }
    return json.dumps(document, separators=(",", ":")).encode()
