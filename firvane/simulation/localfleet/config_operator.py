"""The operator: sends the first configuration, changes it now and then, and reads it back at the end."""

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

CALL_TIMEOUT = 1.0  # s without an answer
READ_PATH = "/v1/config/read"


@dataclass(slots=True)
class OperatorRecord:
    """What became of the operator's orders."""

    orders: int = 0
    acknowledged: int = 0
    refused: list[int] = field(default_factory=list)  # final statuses other than 200
    rivals: int = 0  # pairs of different orders under one number, sent at once
    rivals_both_taken: int = 0  # of these, pairs of which both were acknowledged
    rivals_both_refused: int = 0  # and of which none was
    slowest_s: float = 0.0  # of the acknowledged ones but the first, from its first attempt
    first_s: float = 0.0  # the same of the first one
    read_back: bool = False  # the newest acknowledged configuration was read at the end


class ConfigOperator:
    """One operator; one order at a time."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        controllers: Sequence[Address],
        configurations: Configurations,
        seed: int,
    ) -> None:
        self.record = OperatorRecord()
        self.owner: Address | None = None  # who acknowledged the last order
        self._loop, self._controllers, self._configurations = loop, list(controllers), configurations
        self._random = random.Random(seed)
        self._stopping = asyncio.Event()

    async def send_first(self) -> None:
        """Send the first configuration until it is taken."""
        began = self._loop.time()
        await self._order(self._configurations.first())
        self.record.first_s = self._loop.time() - began

    def stop(self) -> None:
        """Begin no further change."""
        self._stopping.set()

    async def change_every(self, interval: float, rivals_every: int = 0) -> None:
        """Send a change every `interval` seconds until `stop`; one that is under way is finished.

        Every `rivals_every`-th change, if it is not 0, is two different orders under one number.
        """
        count = 0
        while not await self._stops_within(interval):
            count += 1
            began = self._loop.time()
            if rivals_every and count % rivals_every == 0:
                await self._order_rivals(self._configurations.change(), self._configurations.rival())
            else:
                await self._order(self._configurations.change())
            self.record.slowest_s = max(self.record.slowest_s, self._loop.time() - began)

    async def _stops_within(self, seconds: float) -> bool:
        try:
            async with asyncio.timeout(seconds):
                return await self._stopping.wait()
        except TimeoutError:
            return False

    async def read_back(self, timeout: float) -> None:
        """Read the configuration until it is the one acknowledged last, at the longest for `timeout` s."""
        try:
            async with asyncio.timeout(timeout):
                while not self.record.read_back:
                    self.record.read_back = await self._read_once()
        except TimeoutError:
            pass

    async def _read_once(self) -> bool:
        ended, body = await self._call("GET", READ_PATH, {}, b"")
        matches = ended.taken and json.loads(body) == self._configurations.document
        if not matches:
            await asyncio.sleep(0.1)
        return matches

    async def _order(self, order: ConfigurationOrder) -> None:
        ended = await self._send(order)
        if ended.taken:
            self._note_accepted(order, ended)
        else:
            self.record.refused.append(ended.status)

    async def _order_rivals(self, *orders: ConfigurationOrder) -> None:
        """Send orders under one number at once; one is to be taken, whichever it is."""
        ends = await asyncio.gather(*(self._send(order) for order in orders))
        taken = [(order, ended) for order, ended in zip(orders, ends, strict=True) if ended.taken]
        self.record.rivals += 1
        self.record.rivals_both_taken += len(taken) > 1
        self.record.rivals_both_refused += not taken
        for order, ended in taken[:1]:
            self._note_accepted(order, ended)

    async def _send(self, order: ConfigurationOrder) -> CallEnded:
        self.record.orders += 1
        headers = {"X-Base-Version": str(order.base), "Content-Type": "application/json"}
        ended, _ = await self._call("POST", order.path, headers, order.body)
        return ended

    def _note_accepted(self, order: ConfigurationOrder, ended: CallEnded) -> None:
        self.record.acknowledged += 1
        self.owner = ended.address
        self._configurations.acknowledged(order)

    async def _call(
        self, method: str, path: str, headers: dict[str, str], body: bytes
    ) -> tuple[CallEnded, bytes]:
        """Send a call until it has a final answer, which comes with its body."""
        call = OperatorCall(self._controllers, self._random.randrange(len(self._controllers)))
        step: CallStep = call.begin()
        answer = b""
        while isinstance(step, SendTo):
            await asyncio.sleep(step.pause)
            try:
                response = await fetch(
                    step.address, path, method=method, headers=headers, body=body, timeout=CALL_TIMEOUT
                )
            except (OSError, TimeoutError):
                step = call.failed()
                continue
            answer = response.body
            location = response.headers.get(b"location", b"").decode("ascii", "replace")
            step = call.answered(response.status, location)
        return step, answer
