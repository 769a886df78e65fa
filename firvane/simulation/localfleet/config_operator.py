"""The operator: sends the first configuration, changes it regularly and reads it back at the end."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from firvane.core.address import Address
from firvane.simulation.localfleet.configurations import ConfigurationOrder, Configurations
from firvane.simulation.localfleet.http_client import fetch
from firvane.simulation.localfleet.operator_calls import CallEnded, CallStep, OperatorCall, SendTo

CALL_TIMEOUT = 1.0  # s until a call without a response fails
READ_PATH = "/v1/config/read"


@dataclass(slots=True)
class OperatorRecord:
    """Results of the operator's orders."""

    orders: int = 0
    acknowledged: int = 0
    refused: list[int] = field(default_factory=list)  # final statuses other than 200
    rivals: int = 0  # pairs of different orders with one number, sent concurrently
    rivals_both_taken: int = 0  # of these, pairs of which both were acknowledged
    rivals_both_refused: int = 0  # of these, pairs of which none was acknowledged
    slowest_s: float = 0.0  # longest time from first attempt to result, of all orders except the first
    first_s: float = 0.0  # the same time of the first order
    read_back: bool = False  # the newest acknowledged configuration was read at the end


class ConfigOperator:
    """One operator; sends one order at a time, except for competing pairs."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        controllers: Sequence[Address],
        configurations: Configurations,
        seed: int,
    ) -> None:
        self.record = OperatorRecord()
        self.owner: Address | None = None  # the controller that acknowledged the last order
        self._loop, self._controllers, self._configurations = loop, list(controllers), configurations
        self._random = random.Random(seed)
        self._stopping = asyncio.Event()

    async def send_first(self) -> None:
        """Send the first configuration until a final response."""
        started = self._loop.time()
        await self._order(self._configurations.first())
        self.record.first_s = self._loop.time() - started

    def stop(self) -> None:
        """Stop sending changes."""
        self._stopping.set()

    async def change_every(self, interval: float, rivals_every: int = 0) -> None:
        """Send a change every `interval` seconds until `stop`; a change in progress is completed.

        If `rivals_every` is not 0, every `rivals_every`-th change is two different orders with one number.
        """
        count = 0
        while not await self._stopped_within(interval):
            count += 1
            started = self._loop.time()
            if rivals_every and count % rivals_every == 0:
                await self._order_rivals(self._configurations.change(), self._configurations.rival())
            else:
                await self._order(self._configurations.change())
            self.record.slowest_s = max(self.record.slowest_s, self._loop.time() - started)

    async def _stopped_within(self, seconds: float) -> bool:
        try:
            async with asyncio.timeout(seconds):
                return await self._stopping.wait()
        except TimeoutError:
            return False

    async def read_back(self, timeout: float) -> None:
        """Poll the configuration until it is the last acknowledged one, for at most `timeout` s."""
        try:
            async with asyncio.timeout(timeout):
                while not self.record.read_back:
                    self.record.read_back = await self._poll_configuration()
        except TimeoutError:
            pass

    async def _poll_configuration(self) -> bool:
        ended, body = await self._call("GET", READ_PATH, {}, b"")
        matches = ended.accepted and json.loads(body) == self._configurations.document
        if not matches:
            await asyncio.sleep(0.1)
        return matches

    async def _order(self, order: ConfigurationOrder) -> None:
        ended = await self._send(order)
        if ended.accepted:
            self._record_accepted(order, ended)
        else:
            self.record.refused.append(ended.status)

    async def _order_rivals(self, *orders: ConfigurationOrder) -> None:
        """Send orders with one number concurrently; exactly one of them should be accepted."""
        ends = await asyncio.gather(*(self._send(order) for order in orders))
        accepted = [(order, ended) for order, ended in zip(orders, ends, strict=True) if ended.accepted]
        self.record.rivals += 1
        self.record.rivals_both_taken += len(accepted) > 1
        self.record.rivals_both_refused += not accepted
        for order, ended in accepted[:1]:
            self._record_accepted(order, ended)

    async def _send(self, order: ConfigurationOrder) -> CallEnded:
        self.record.orders += 1
        headers = {"X-Base-Version": str(order.base), "Content-Type": "application/json"}
        ended, _ = await self._call("POST", order.path, headers, order.body)
        return ended

    def _record_accepted(self, order: ConfigurationOrder, ended: CallEnded) -> None:
        self.record.acknowledged += 1
        self.owner = ended.address
        self._configurations.acknowledged(order)

    async def _call(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[CallEnded, bytes]:
        """Send a call until a final response; return it with its body."""
        call = OperatorCall(self._controllers, self._random.randrange(len(self._controllers)))
        step: CallStep = call.begin()
        response_body = b""
        while isinstance(step, SendTo):
            await asyncio.sleep(step.pause)
            try:
                response = await fetch(
                    step.address, path, method=method, headers=headers, body=body, timeout=CALL_TIMEOUT
                )
            except (OSError, TimeoutError):
                step = call.failed()
                continue
            response_body = response.body
            location = response.headers.get(b"location", b"").decode("ascii", "replace")
            step = call.answered(response.status, location)
        return step, response_body
