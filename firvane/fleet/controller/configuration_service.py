"""Validates and proposes operators' orders, and serves reads of the configuration.

Invariants:

1. An order is acknowledged only after its commit, with the result of `apply` for this or an earlier proposal
   of the same order, never with the result of validation.
2. An order is rejected only after a linearizable read, begun after the call arrived, has confirmed the state
   that the order was validated against. A controller without a majority therefore rejects nothing.
3. An order whose outcome is not known is answered with `UNCLEAR`, never rejected.
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
from firvane.fleet.controller.replication_host import ProposalResult, ProposalStatus
from firvane.fleet.partitions import CONFIGURATION_PARTITION

PROPOSE_TIMEOUT_S = 0.9  # operators' calls time out after 1 s, later for a large body
PROPOSE_TIMEOUT_PER_MEGABYTE_S = 1.0
BYTES_PER_MEGABYTE = 1e6
READ_TIMEOUT_S = 0.8


class Replication(Protocol):
    """The methods of the replication host that this service uses."""

    async def propose(self, group: int, payload: bytes, timeout_s: float) -> ProposalResult:
        """Propose a command and return the result of its commit."""

    async def read(self, group: int, timeout_s: float) -> ProposalResult:
        """COMMITTED once all entries committed before the call are applied here."""

    def is_owner(self, group: int) -> bool:
        """Whether this controller owns the group."""

    def owner(self, group: int) -> Address | None:
        """The owner, if this controller knows it."""


class Outcome(Struct, frozen=True):
    """The outcome of an operator's call.

    `owner` is the internal address of the controller to redirect to, with `OTHER_OWNER`; `document`, if not
    empty, is the body of the response: the configuration, with `CURRENT`, or the state of the fleet.
    """

    code: ResultCode
    version: int
    problems: tuple[Problem, ...] = ()
    owner: Address | None = None
    document: bytes = b""


class ConfigurationService:
    """Submits orders and serves reads; on a controller that is not the owner, redirects to it."""

    def __init__(
        self, state: ConfigurationState, replication: Replication, own_address: Address, log: Log
    ) -> None:
        """Create the service; `own_address` is the internal address of this controller."""
        self._state = state
        self._replication = replication
        self._own_address = own_address
        self._log = log
        self._schemas: ItemSchemas | None = None

    async def submit(self, order: Order) -> Outcome:
        """Validate the order, propose it, and return its result."""
        if not self._replication.is_owner(CONFIGURATION_PARTITION):
            return self._redirect_to_owner(self._replication.owner(CONFIGURATION_PARTITION))
        result = await self._validate(order)
        if not result.code.is_acknowledgement:
            quorum_read = await self._replication.read(CONFIGURATION_PARTITION, READ_TIMEOUT_S)
            if quorum_read.status is not ProposalStatus.COMMITTED:
                return self._uncommitted_outcome(quorum_read)
            if self._state.version != result.version:
                result = await self._validate(order)
        if result.code is ResultCode.ACCEPTED:
            return await self._propose(order)
        if result.code is not ResultCode.REPEATED:
            self._log_rejection(order, result)
        return Outcome(result.code, result.version, result.problems)

    async def read(self) -> Outcome:
        """The newest configuration that was committed before this call."""
        quorum_read = await self._replication.read(CONFIGURATION_PARTITION, READ_TIMEOUT_S)
        if quorum_read.status is not ProposalStatus.COMMITTED:
            return self._uncommitted_outcome(quorum_read)
        if self._state.version == 0:
            return Outcome(ResultCode.NO_CONFIGURATION, 0)
        return Outcome(ResultCode.CURRENT, self._state.version, document=self._state.document)

    async def _validate(self, order: Order) -> Result:
        """Validate in small steps, between which the event loop handles heartbeats and other calls."""
        if self._schemas is None:
            self._schemas = ItemSchemas()
        checker = Checker(self._state, order, self._schemas)
        for _ in checker:
            await asyncio.sleep(0)
        assert checker.result is not None
        return checker.result

    async def _propose(self, order: Order) -> Outcome:
        payload = order.pack()
        timeout_s = PROPOSE_TIMEOUT_S + PROPOSE_TIMEOUT_PER_MEGABYTE_S * len(payload) / BYTES_PER_MEGABYTE
        proposal = await self._replication.propose(CONFIGURATION_PARTITION, payload, timeout_s)
        if proposal.status is not ProposalStatus.COMMITTED:
            self._log.warning(
                "configuration_order_not_committed", base=order.base, status=proposal.status.name
            )
            return self._uncommitted_outcome(proposal)
        try:
            result = Result.unpack(proposal.result)
        except RecordError as error:
            self._log.error("configuration_result_unreadable", reason=str(error))
            return Outcome(ResultCode.UNCLEAR, self._state.version)
        self._log.info(
            "configuration_order_decided", base=order.base, version=result.version, result=result.code.name
        )
        return Outcome(result.code, result.version, result.problems)

    def _uncommitted_outcome(self, proposal: ProposalResult) -> Outcome:
        """The outcome of an order or read whose proposal or read was not committed."""
        match proposal.status:
            case ProposalStatus.NOT_OWNER:
                return self._redirect_to_owner(proposal.owner)
            case ProposalStatus.UNAVAILABLE:
                return Outcome(ResultCode.STORAGE_REFUSED, self._state.version)
            case _:
                return Outcome(ResultCode.UNCLEAR, self._state.version)

    def _redirect_to_owner(self, owner: Address | None) -> Outcome:
        if owner is None or owner == self._own_address:
            return Outcome(ResultCode.NO_OWNER, self._state.version)
        return Outcome(ResultCode.OTHER_OWNER, self._state.version, owner=owner)

    def _log_rejection(self, order: Order, result: Result) -> None:
        first = str(result.problems[0]) if result.problems else ""
        self._log.info(
            "configuration_order_rejected",
            base=order.base,
            version=result.version,
            result=result.code.name,
            first=first,
        )
