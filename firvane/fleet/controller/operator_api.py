"""The HTTP endpoints of the operator API; each is registered by a decorator on its handler."""

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
RETRY_AFTER_S = 0.2  # when no owner is known: shorter than most elections


class Endpoint(NamedTuple):
    """The method and path of one endpoint."""

    method: bytes
    path: bytes


ApiHandler = Callable[["OperatorApi", Message], Awaitable[Outcome]]
ENDPOINTS: dict[Endpoint, ApiHandler] = {}


def endpoint(method: bytes, path: bytes) -> Callable[[ApiHandler], ApiHandler]:
    """Register a handler for an endpoint."""

    def register(handler: ApiHandler) -> ApiHandler:
        ENDPOINTS[Endpoint(method, path)] = handler
        return handler

    return register


class OperatorApi:
    """Dispatches requests to the services, and encodes their outcomes as responses."""

    def __init__(
        self,
        service: ConfigurationService,
        fleet: FleetService,
        control_address: Callable[[Address], Address],
    ) -> None:
        """Create the API; `control_address` maps an internal address to that of the operator API."""
        self._service = service
        self._fleet = fleet
        self._control_address = control_address

    async def handle(self, request: Message) -> Response:
        """Handle one request."""
        path = request.url.partition(b"?")[0]
        handler = ENDPOINTS.get(Endpoint(request.method, path))
        if handler is None:
            return self._response(request, self._unknown_endpoint(path))
        return self._response(request, await handler(self, request))

    @endpoint(b"POST", b"/v1/config/replace")
    async def replace(self, request: Message) -> Outcome:
        """Replace the configuration of the base version by a complete one."""
        return await self._submit(OrderKind.REPLACE, request)

    @endpoint(b"POST", b"/v1/config/modify")
    async def modify(self, request: Message) -> Outcome:
        """Add, replace and remove named items of the base version."""
        return await self._submit(OrderKind.MODIFY, request)

    @endpoint(b"GET", b"/v1/config/read")
    async def read(self, request: Message) -> Outcome:
        """Return the complete newest configuration."""
        return await self._service.read()

    @endpoint(b"GET", b"/v1/fleet/members")
    async def members(self, request: Message) -> Outcome:
        """Return all known processes, with the configuration version in force at each."""
        return self._fleet.members()

    @endpoint(b"GET", b"/v1/fleet/parts")
    async def partitions(self, request: Message) -> Outcome:
        """Return the status of all partitions as this controller knows it."""
        return self._fleet.partitions()

    @endpoint(b"POST", b"/v1/fleet/hand-over")
    async def transfer_leadership(self, request: Message) -> Outcome:
        """Transfer a partition to another controller."""
        return await self._fleet.transfer_leadership(b"".join(request.body))

    async def _submit(self, kind: OrderKind, request: Message) -> Outcome:
        base = _base_version(request)
        if base is None:
            problem = Problem(ResultCode.BAD_BASE, "X-Base-Version", "is missing or is not a version")
            return Outcome(ResultCode.BAD_BASE, 0, (problem,))
        return await self._service.submit(Order(kind, base, b"".join(request.body)))

    def _unknown_endpoint(self, path: bytes) -> Outcome:
        path_exists = any(path == endpoint_key.path for endpoint_key in ENDPOINTS)
        return Outcome(ResultCode.WRONG_METHOD if path_exists else ResultCode.UNKNOWN_CALL, 0)

    def _response(self, request: Message, outcome: Outcome) -> Response:
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
    """The base version in the header; None if it is missing, repeated or not a valid version."""
    text = request.fields.get(BASE_VERSION_FIELD, b"")
    if BASE_VERSION_FIELD in request.repeated_fields or not text.isdigit() or len(text) > MAX_VERSION_DIGITS:
        return None
    base = int(text)
    return base if base <= MAX_VERSION else None


def encode_outcome(outcome: Outcome) -> bytes:
    """Encode the JSON body of an outcome without a document."""
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
