"""The controller of a rollout: polls slots and proxies, and executes the actions of its state machine.

Invariants:

1. A changed state is persisted before the other actions of its step are executed. If it cannot be written,
   the controller stops, and the next one resumes from the state on disk.
2. The status of all slots is queried before the first order. The rollout's fencing token is above all tokens
   that they report, and each slot is claimed with it, under this controller's name, before any other call.
3. The controller stops at once if a slot has received a higher token, or another process owns the rollout.
4. An order is resent until the slot accepts it; its result is read from later statuses.
5. A comparison receives the blocks of one interval together; a proxy that did not respond in time is left
   out of it.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from firvane.proxy.rollout import measurements
from firvane.proxy.rollout.comparison import Comparison, in_time_share
from firvane.proxy.rollout.comparison_types import Block, Side
from firvane.proxy.rollout.errors import OwnershipLostError
from firvane.proxy.rollout.events import (
    Action,
    BaselineMeasured,
    CommandReceived,
    ComparisonUpdated,
    Event,
    LogNote,
    MeasureBaseline,
    PersistRollout,
    QuerySlots,
    ReplacementFailed,
    ReplaceSlot,
    RevertSlot,
    SlotReported,
    SlotUnreachable,
    StartComparison,
    StartTrial,
    StopComparison,
    Tick,
    TrialEnded,
)
from firvane.proxy.rollout.plan import Plan
from firvane.proxy.rollout.rollout_files import RolloutFiles
from firvane.proxy.rollout.rollout_state import RolloutState
from firvane.proxy.rollout.slot_client import CALL_TIMEOUT_S, SlotClient, call
from firvane.proxy.rollout.state_machine import RolloutStateMachine
from firvane.proxy.rollout.supervisor_calls import Command, format_call, parse_status
from firvane.proxy.rollout.trial_start import try_version

TICK_INTERVAL_S = 0.1
POLL_INTERVAL_S = 0.25  # from a slot's response to the next call
MAX_UNANSWERED_CALLS = 2  # after which a slot is unreachable
FIRST_STATUS_TIMEOUT_S = 3.0
NAME_BYTES = 4  # of randomness
REPLACING_STATES = frozenset(("trying", "proving", "starting", "ending"))


class Controller:
    """The controller of one rollout."""

    def __init__(
        self,
        plan: Plan,
        digest: str,
        files: RolloutFiles,
        report: Callable[[str], None],
        waits: bool = True,
    ) -> None:
        """Resume from the stored state, or begin a new rollout.

        Args:
            plan: The plan of the rollout.
            digest: The digest of the plan's text.
            files: The files of the rollout.
            report: Called with each message for the operator.
            waits: Whether `run` waits while the rollout is paused; otherwise it returns at a pause.

        Raises:
            DamagedDataError: The stored state is damaged.
            OSError: The stored state cannot be read.
            ValueError: The stored state is of another plan.
        """
        self.plan = plan
        self.files = files
        self.report = report
        self.waits = waits
        self.loop = asyncio.get_running_loop()
        stored = files.read_state()
        if stored and stored.plan != digest:
            raise ValueError(f"{files.path}: is the state of another plan, or the plan was changed since")
        self.machine = RolloutStateMachine(plan, digest, self.loop.time(), stored)
        self.name = secrets.token_hex(NAME_BYTES)
        self.slots = {slot.name: SlotClient(slot) for slot in plan.place}
        self.tasks: set[asyncio.Task[None]] = set()
        self.comparison: tuple[int, Comparison] | None = None
        self.baseline: tuple[float, list[Block]] | None = None  # the end of the measurement, and its blocks
        self.measurement_number = 0
        self.done: asyncio.Future[None] = self.loop.create_future()

    async def run(self) -> RolloutState:
        """Control the rollout until it ends, or until it pauses and `waits` is false.

        Returns:
            The state of the rollout at that time.

        Raises:
            ControllerStoppedError: This controller cannot continue.
        """
        try:
            for slot in self.slots.values():
                self._spawn(self._get_first_status(slot))
            while self.tasks:
                await asyncio.wait(self.tasks)
            tokens = [int(slot.status.get("roll", 0)) for slot in self.slots.values()]
            self.machine.token = max([self.machine.token, *tokens])
            self._execute(self.machine.begin(self.loop.time()))
            if not self.machine.ended:
                for slot in self.slots.values():
                    self._spawn(self._poll_forever(slot))
                self._spawn(self._tick_forever())
                self._spawn(self._measure_forever())
                await self.done
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        return self.machine.state

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) and not self.done.done():
            self.done.set_exception(error)

    # The state machine

    def _handle(self, event: Event) -> None:
        if not self.done.done():
            self._execute(self.machine.handle(event, self.loop.time()))
            if self.machine.ended:
                self.done.set_result(None)

    def _execute(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case PersistRollout(stored):
                    self.files.write_state(stored)
                case LogNote(text):
                    self.files.check_ownership()
                    self.files.append_event(self._event({"note": text}))
                    self.report(text)
                case ReplaceSlot(name) | RevertSlot(name):
                    slot = self.slots[name]
                    slot.order, slot.accepted_order = action, None
                case StartTrial(version):
                    self._spawn(self._try_version(version))
                case MeasureBaseline(duration_s):
                    self.baseline = self.loop.time() + duration_s, []
                case StartComparison():
                    comparison = Comparison(
                        self.plan.compare, action.alpha, action.soak_s, action.baseline, action.covers_all
                    )
                    self.comparison = action.number, comparison
                case StopComparison():
                    self.comparison = None
                case QuerySlots():
                    pass  # all slots are polled continuously

    def _event(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Return an entry for the event log with the current time, state and stage."""
        return {
            "at": round(time.time(), 3),
            "state": self.machine.state.value,
            "stage": self.machine.stage + 1,
            **fields,
        }

    async def _tick_forever(self) -> None:
        is_first_tick = True
        while True:
            self.files.check_ownership()
            is_paused = self.machine.state is RolloutState.PAUSED
            if command := self.files.pending_command():
                self._handle(CommandReceived(command))
                self.files.remove_command()
            elif not is_first_tick and not self.waits and is_paused and not self.done.done():
                self.done.set_result(None)
            is_first_tick = False
            self._handle(Tick())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _try_version(self, name: str) -> None:
        version = self.plan.version.get(name)
        error = ""
        if version is None or "NODE_CONFIG" not in version.environment:
            self.report(f"{name} is not tried beside the fleet: the plan sets no NODE_CONFIG for it")
        else:
            error = await try_version(version, self.plan.roll.ready_s, self.plan.roll.end_s)
        self._handle(TrialEnded(error))

    # Slots

    async def _get_first_status(self, slot: SlotClient) -> None:
        """Query a slot's status before any other call, for at most `FIRST_STATUS_TIMEOUT_S`."""
        deadline = self.loop.time() + FIRST_STATUS_TIMEOUT_S
        while not slot.status and self.loop.time() < deadline:
            try:
                await self._get_status(slot)
            except (OSError, ValueError):
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _get_status(self, slot: SlotClient) -> None:
        slot.update(parse_status(await call(slot.api_address, format_call(Command.STATUS))))

    async def _poll_forever(self, slot: SlotClient) -> None:
        while True:
            try:
                await self._poll(slot)
            except (OSError, ValueError):
                slot.unanswered += 1
                if slot.unanswered == MAX_UNANSWERED_CALLS:
                    self._handle(SlotUnreachable(slot.name))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll(self, slot: SlotClient) -> None:
        """Claim the slot if necessary, send a pending order, and handle the slot's status."""
        if not slot.claimed:
            await self._call_with_token(slot, format_call(Command.CLAIM, self.name, self.machine.token))
            slot.claimed = True
        if slot.order and not await self._send_order(slot, slot.order):
            return
        accepted = slot.accepted_order
        await self._get_status(slot)
        if slot.order:
            return  # a new order came in meanwhile: the status is older than it
        is_replacing = slot.status.get("state") in REPLACING_STATES
        if accepted and accepted is slot.accepted_order and not is_replacing:
            slot.accepted_order = None
            failed, token, reason = [*slot.status.get("failed", "").split(" ", 2), "", "", ""][:3]
            is_failed = (failed, token) == (accepted.version, str(accepted.token))
            if slot.version != accepted.version and is_failed:
                self._handle(ReplacementFailed(slot.name, reason))
        self._handle(SlotReported(slot.name, slot.version, is_replacing))

    async def _send_order(self, slot: SlotClient, order: ReplaceSlot | RevertSlot) -> bool:
        """Send an order, and return whether it is still the slot's current order afterwards."""
        self.files.check_ownership()
        line = format_call(Command.REPLACE, order.version, order.token)
        response = await self._call_with_token(slot, line)
        if slot.order is not order:
            return False
        if response.startswith("+OK"):
            slot.order, slot.accepted_order = None, order
        elif not response.startswith("-ERR busy"):
            slot.order = None
            self._handle(ReplacementFailed(slot.name, response.removeprefix("-ERR").strip()))
        return True

    async def _call_with_token(self, slot: SlotClient, line: str) -> str:
        """Send a call that carries the fencing token, and return the response.

        Raises:
            OwnershipLostError: The slot has received a higher token.
        """
        response = await call(slot.api_address, line)
        if response.startswith("-ERR roll "):
            raise OwnershipLostError(
                f"{slot.name} rejected the call: {response.removeprefix('-ERR').strip()}"
            )
        return response

    # Measurements

    async def _measure_forever(self) -> None:
        """Measure all proxies together, every `block_s`."""
        interval_s = self.plan.compare.block_s
        due_at = self.loop.time()
        while True:
            self.measurement_number += 1
            measured = await asyncio.gather(*(self._measure(slot, due_at) for slot in self.slots.values()))
            self._add_blocks([block for block in measured if block], due_at)
            due_at += interval_s
            # After a suspension of this process, the missed measurements are skipped.
            if (late_s := self.loop.time() - due_at) > interval_s:
                due_at += interval_s * (late_s // interval_s)
                self.measurement_number += 1
            await asyncio.sleep(max(0.0, due_at - self.loop.time()))

    async def _measure(self, slot: SlotClient, at: float) -> Block | None:
        number, previous = self.measurement_number, slot.sample
        version, pid = slot.version, slot.status.get("pid", "")
        timeout_s = min(CALL_TIMEOUT_S, self.plan.compare.block_s)
        try:
            sample = measurements.parse_sample(await call(slot.ops_address, "measures", timeout_s))
        except (OSError, ValueError):
            return None
        slot.sample = number, sample
        if previous is None or previous[0] != number - 1 or pid != str(sample.pid):
            return None
        if version not in (self.plan.roll.version, self.plan.roll.old):
            return None
        side = Side.NEW if version == self.plan.roll.version else Side.OLD
        return measurements.make_block(previous[1], sample, at, slot.plan.zone, side, slot.name)

    def _add_blocks(self, blocks: list[Block], at: float) -> None:
        for block in blocks:
            self.files.append_event(self._event({"block": measurements.to_event(block)}))
        if self.baseline:
            deadline, measured = self.baseline
            measured += blocks
            if at >= deadline:
                self.baseline = None
                self._handle(BaselineMeasured(in_time_share(measured)))
        if self.comparison and blocks:
            number, comparison = self.comparison
            comparison.add(blocks)
            self._handle(ComparisonUpdated(comparison.verdict(), number))
