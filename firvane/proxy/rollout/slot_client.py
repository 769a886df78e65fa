"""A controller's view of one slot, and calls to the APIs of its supervisor and its proxy."""

from __future__ import annotations

import asyncio

from firvane.core.address import Address, parse_address
from firvane.proxy.rollout import measurements
from firvane.proxy.rollout.events import ReplaceSlot, RevertSlot
from firvane.proxy.rollout.plan import SlotPlan

CALL_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 1 << 20


async def call(address: Address, line: str, timeout_s: float = CALL_TIMEOUT_S) -> str:
    """Send a line to an API, and return the response.

    Raises:
        OSError: The response does not arrive in time, or is not complete.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address, limit=MAX_RESPONSE_BYTES)
        try:
            writer.write(line.encode() + b"\n")
            response = await _read_response(reader)
        finally:
            writer.transport.abort()
    is_single_line = response[:1] in (b"+", b"-") and response.endswith(b"\n")
    if not is_single_line and not response.endswith(b"\n.\n"):
        raise OSError(
            "the response was truncated" if response else "the connection was closed without a response"
        )
    return response.decode(errors="replace")


async def _read_response(reader: asyncio.StreamReader) -> bytes:
    response = await reader.read(MAX_RESPONSE_BYTES)
    while chunk := await reader.read(MAX_RESPONSE_BYTES):
        response += chunk
        if len(response) > MAX_RESPONSE_BYTES:
            raise OSError("the response is too long")
    return response


class SlotClient:
    """A controller's view of one slot.

    Attributes:
        status: The last status that the supervisor reported.
        unanswered: The number of consecutive calls without a response.
        claimed: Whether the slot was claimed with this controller's fencing token.
        order: The order that the slot has not accepted yet.
        accepted_order: The order that the slot has accepted, and whose result is not known yet.
        sample: The number of the last measurement and its sample.
    """

    def __init__(self, plan: SlotPlan) -> None:
        self.plan = plan
        self.name = plan.name
        self.api_address = parse_address(plan.door)
        self.ops_address = parse_address(plan.ops)
        self.status: dict[str, str] = {}
        self.unanswered = 0
        self.claimed = False
        self.order: ReplaceSlot | RevertSlot | None = None
        self.accepted_order: ReplaceSlot | RevertSlot | None = None
        self.sample: tuple[int, measurements.Sample] | None = None

    def update(self, status: dict[str, str]) -> None:
        """Store a new status, and follow the ops address in it."""
        self.status, self.unanswered = status, 0
        if ":" in status.get("ops", ""):
            self.ops_address = parse_address(status["ops"])

    @property
    def version(self) -> str:
        """The version that serves; "" if none does."""
        version = self.status.get("version", "-")
        return "" if version == "-" else version
