"""Orders of operators, from the check over the proposal to the result; reads of the configuration.

Rules that hold here:

1. Nothing is acknowledged before it is committed: an acknowledgement is the result of `apply`, here or by a
   replica before, never that of a check.
2. A refusal is told only after a majority has confirmed, since the call came, that the state here is the
   newest. So a controller that is cut off refuses nothing.
3. An order whose end is not known is `UNCLEAR`, never a refusal.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from msgspec import Struct

from firvane.core.address import Address
from firvane.core.logs import Log
from firvane.fleet.configuration.checker import Checker
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import Order, Problem, RecordError, Result
from firvane.fleet.configuration.schema import ItemSchemas
from firvane.fleet.configuration.state import ConfigurationState
from firvane.fleet.controller.replication import Proposal, ProposalStatus
from firvane.fleet.partitions import CONFIGURATION_PART

PROPOSE_TIMEOUT = 0.9  # s; an operator waits a second for an answer, more for a large body
PROPOSE_TIMEOUT_PER_MEGABYTE = 1.0  # s
READ_TIMEOUT = 0.8  # s


class Replication(Protocol):
    """What this service needs of the replication host."""

    async def propose(self, group: int, payload: bytes, timeout: float) -> Proposal: ...

    async def read(self, group: int, timeout: float) -> Proposal: ...

    def is_owner(self, group: int) -> bool: ...

    def owner(self, group: int) -> Address | None: ...


class Outcome(Struct, frozen=True):
    """What became of an operator's call.

    `owner` is the internal address of the controller to call instead, with `OTHER_OWNER`; `document` is the
    whole answer where there is more to tell: the configuration, with `CURRENT`, or the state of the fleet.
    """

    code: ResultCode
    version: int
    problems: tuple[Problem, ...] = ()
    owner: Address | None = None
    document: bytes = b""


class ConfigurationService:
    """Takes orders and answers reads, on whichever controller the operator calls."""

    def __init__(self, state: ConfigurationState, replication: Replication, own: Address, log: Log) -> None:
        """`own` is the internal address of this controller."""
        self._state, self._replication, self._own, self._log = state, replication, own, log
        self._schemas: ItemSchemas | None = None

    async def submit(self, order: Order) -> Outcome:
        """Check the order, have it committed, and tell the result."""
        if not self._replication.is_owner(CONFIGURATION_PART):
            return self._not_owner(self._replication.owner(CONFIGURATION_PART))
        result = await self._check(order)
        if not result.code.is_acknowledgement:
            current = await self._replication.read(CONFIGURATION_PART, READ_TIMEOUT)
            if current.status is not ProposalStatus.COMMITTED:
                return self._undecided(current)
            if self._state.version != result.version:
                result = await self._check(order)
        if result.code is ResultCode.ACCEPTED:
            return await self._propose(order)
        if result.code is not ResultCode.REPEATED:
            self._log_refusal(order, result)
        return Outcome(result.code, result.version, result.problems)

    async def read(self) -> Outcome:
        """The newest configuration that was committed by anybody before this call."""
        current = await self._replication.read(CONFIGURATION_PART, READ_TIMEOUT)
        if current.status is not ProposalStatus.COMMITTED:
            return self._undecided(current)
        if self._state.version == 0:
            return Outcome(ResultCode.NO_CONFIGURATION, 0)
        return Outcome(ResultCode.CURRENT, self._state.version, document=self._state.document)

    async def _check(self, order: Order) -> Result:
        """Check in small steps, between which the loop serves heartbeats and other calls."""
        if self._schemas is None:
            self._schemas = ItemSchemas()
        checker = Checker(self._state, order, self._schemas)
        for _ in checker:
            await asyncio.sleep(0)
        assert checker.result is not None
        return checker.result

    async def _propose(self, order: Order) -> Outcome:
        payload = order.pack()
        timeout = PROPOSE_TIMEOUT + PROPOSE_TIMEOUT_PER_MEGABYTE * len(payload) / 1e6
        proposal = await self._replication.propose(CONFIGURATION_PART, payload, timeout)
        if proposal.status is not ProposalStatus.COMMITTED:
            self._log.warning(
                "configuration_order_not_committed", base=order.base, status=proposal.status.name
            )
            return self._undecided(proposal)
        try:
            result = Result.unpack(proposal.result)
        except RecordError as error:
            self._log.error("configuration_result_unreadable", reason=str(error))
            return Outcome(ResultCode.UNCLEAR, self._state.version)
        self._log.info(
            "configuration_order_decided", base=order.base, version=result.version, result=result.code.name
        )
        return Outcome(result.code, result.version, result.problems)

    def _undecided(self, proposal: Proposal) -> Outcome:
        """The outcome where the group has not answered."""
        match proposal.status:
            case ProposalStatus.NOT_OWNER:
                return self._not_owner(proposal.owner)
            case ProposalStatus.UNAVAILABLE:
                return Outcome(ResultCode.STORAGE_REFUSED, self._state.version)
            case _:
                return Outcome(ResultCode.UNCLEAR, self._state.version)

    def _not_owner(self, owner: Address | None) -> Outcome:
        if owner is None or owner == self._own:
            return Outcome(ResultCode.NO_OWNER, self._state.version)
        return Outcome(ResultCode.OTHER_OWNER, self._state.version, owner=owner)

    def _log_refusal(self, order: Order, result: Result) -> None:
        first = str(result.problems[0]) if result.problems else ""
        self._log.info(
            "configuration_order_rejected",
            base=order.base,
            version=result.version,
            result=result.code.name,
            first=first,
        )
