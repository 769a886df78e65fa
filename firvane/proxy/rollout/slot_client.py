"""A controller's view of one slot, and calls to its supervisor's and its proxy's API."""

from __future__ import annotations

import asyncio

from firvane.core.address import Address, parse_address
from firvane.proxy.rollout import measurements
from firvane.proxy.rollout.events import ReplaceSlot, RevertSlot
from firvane.proxy.rollout.plan import SlotPlan

CALL_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 1 << 20


async def call(address: Address, line: str, timeout_s: float = CALL_TIMEOUT_S) -> str:
    """Send a line to an API, and return the answer.

    Raises:
        OSError: There is no answer in time, or it is not complete.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address, limit=MAX_ANSWER_BYTES)
        try:
            writer.write(line.encode() + b"\n")
            answer = await _read_answer(reader)
        finally:
            writer.transport.abort()
    is_one_line = answer[:1] in (b"+", b"-") and answer.endswith(b"\n")
    if not is_one_line and not answer.endswith(b"\n.\n"):
        raise OSError("the answer was cut off" if answer else "the call was closed")
    return answer.decode(errors="replace")


async def _read_answer(reader: asyncio.StreamReader) -> bytes:
    answer = await reader.read(MAX_ANSWER_BYTES)
    while more := await reader.read(MAX_ANSWER_BYTES):
        answer += more
        if len(answer) > MAX_ANSWER_BYTES:
            raise OSError("the answer has no end")
    return answer


class SlotClient:
    """One slot as its controller sees it.

    Attributes:
        status: The last status of the supervisor.
        unanswered: How many calls in a row have had no answer.
        claimed: Whether the slot has this controller's fencing token.
        order: The order that the slot does not have yet.
        accepted_order: The order that the slot has, and whose result is not known.
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
        """Take a new status."""
        self.status, self.unanswered = status, 0
        if ":" in status.get("ops", ""):
            self.ops_address = parse_address(status["ops"])

    @property
    def version(self) -> str:
        """The version that serves; "" where none does."""
        version = self.status.get("version", "-")
        return "" if version == "-" else version
