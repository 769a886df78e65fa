"""The state machine of a rollout: when each slot gets which version, when the rollout stops or is reverted.

Invariants:

1. State changes follow `transitions.TRANSITIONS`; if the plan sets `on_worse = "stay"`,
   `TRANSITIONS_IF_STAYING` takes precedence. Every state that is not final has a timeout.
2. A slot is unavailable while an order for it is pending, while it replaces its process, serves nothing, is
   unreachable, or has not reported yet. A slot is ordered to change only if its zone then has at most as many
   unavailable slots as the plan allows, and at most `at_once` replacements are in progress. The zone limit
   does not apply to an order for a slot that is unavailable already.
3. An order is persisted before it is sent, and stays pending until the slot reports the result. For a slot
   that was unreachable, or was ordered by an earlier controller, the version that it reports is the result.
   The supervisor ends every order within `order_timeout_s`; after that time the order counts as failed.
4. A stage has at most its target count of slots with the new version. An unreachable slot is assumed to have
   its last known version. A slot that returns with the old version is replaced when the stage next needs a
   slot.
5. The k-th comparison of a rollout gets alpha / (k (k + 1)) as its error probability. The sum over all
   comparisons is at most alpha, however often the controller restarts.
6. A revert does not wait for a stage or a comparison, and waits for unreachable slots for at most `back_s`.
   Slots that serve nothing are reverted first.
"""

from __future__ import annotations

from dataclasses import dataclass

from firvane.proxy.rollout.comparison_types import Finding, Verdict
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
    SlotEvent,
    SlotReplaced,
    SlotReported,
    SlotUnreachable,
    StartComparison,
    StartTrial,
    StopComparison,
    Tick,
    TrialEnded,
)
from firvane.proxy.rollout.plan import Plan, Stage
from firvane.proxy.rollout.rollout_state import (
    FINAL_STATES,
    OperatorCommand,
    RolloutState,
    StoredRollout,
    TransitionCause,
)
from firvane.proxy.rollout.transitions import FORWARD_STATES, TRANSITIONS, TRANSITIONS_IF_STAYING

PERSIST_INTERVAL_S = 5.0  # a controller crash loses at most this much of the elapsed stage time


@dataclass
class _SlotStatus:
    """The last known status of a slot."""

    name: str
    zone: str
    version: str | None = None  # the last version known to serve in the slot
    is_reachable: bool = False
    is_serving: bool = False
    is_replacing: bool = False
    # No report since the slot was unreachable or the controller started: the next report ends an order.
    is_stale: bool = True
    order_ends_at: float = 0.0
    revert_error: str = ""  # why its revert failed for good; "" if it has not


class RolloutStateMachine:
    """State machine of one rollout. Call `begin` first, then `handle`. Times are seconds on one clock."""

    def __init__(self, plan: Plan, digest: str, now: float, stored: StoredRollout | None = None) -> None:
        """Resume from the stored state.

        Args:
            plan: The plan of the rollout.
            digest: The digest of the plan's text.
            now: The current time.
            stored: The state persisted by an earlier controller; None for a new rollout.
        """
        if stored is None:
            stored = StoredRollout(digest)
        self.plan = plan
        self.digest = digest
        self.state = stored.state
        self.stage = stored.stage
        self.token = stored.roll
        self.state_began_at = now - stored.spent  # start of the stage while replacing and comparing
        self.comparing_since = now
        self.ordered = dict(stored.ordered)
        self.failures = dict(stored.failures)
        self.comparisons = stored.comparisons
        self.baseline = stored.before
        self.trial_succeeded = stored.tried
        self.go_ends_stage = stored.accepts
        self.cause = stored.cause
        self.reason = stored.why
        self.finding: Finding | None = None
        self.slots = {slot.name: _SlotStatus(slot.name, slot.zone) for slot in plan.place}
        self.slots_in_order = [self.slots[name] for name in plan.replacement_order()]
        for name in stored.new:
            self.slots[name].version = plan.roll.version
        for name in self.ordered:
            self.slots[name].order_ends_at = now + plan.roll.order_timeout_s
        self._is_baseline_measured = False
        self._is_comparing = False
        self._is_changed = False
        self._persisted_at = now
        self._actions: list[Action] = []

    # State for the controller

    @property
    def ended(self) -> bool:
        """Whether the state is final."""
        return self.state in FINAL_STATES

    def to_stored(self, now: float) -> StoredRollout:
        """Return the state to persist."""
        return StoredRollout(
            plan=self.digest,
            roll=self.token,
            state=self.state,
            stage=self.stage,
            spent=now - self.state_began_at,
            ordered=dict(self.ordered),
            new=tuple(self.new_slots()),
            failures=dict(self.failures),
            comparisons=self.comparisons,
            before=self.baseline,
            tried=self.trial_succeeded,
            accepts=self.go_ends_stage,
            cause=self.cause,
            why=self.reason,
        )

    def new_slots(self) -> list[str]:
        """Return the names of slots whose last known version is the new one, in replacement order."""
        return [slot.name for slot in self.slots_in_order if slot.version == self.plan.roll.version]

    # Events

    def begin(self, now: float) -> list[Action]:
        """Return the actions due when a controller starts or takes over the rollout."""
        if self.ended:
            return [LogNote(f"the rollout has ended: {self.state.value}; {self.reason}")]
        self.token += 1
        self._is_changed = True
        self._add_action(QuerySlots(tuple(self.slots)))
        if self.state is RolloutState.PLANNED:
            self._prepare(now)
        elif self.state in FORWARD_STATES:
            self._start_comparison()
        return self._take_actions(now)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Return the actions in response to an event, in execution order."""
        if self.ended:
            return []
        match event:
            case TrialEnded(error):
                self._on_trial_ended(error, now)
            case BaselineMeasured(share):
                if self.state is RolloutState.PLANNED:
                    self.baseline, self._is_baseline_measured = share, True
            case ComparisonUpdated(finding, number):
                self._on_comparison_updated(finding, number, now)
            case CommandReceived(command):
                self._on_command(command, now)
            case Tick():
                pass
            case _:
                self._on_slot_event(event, now)
        self._step(now)
        return self._take_actions(now)

    def _on_slot_event(self, event: SlotEvent, now: float) -> None:
        slot = self.slots[event.slot]
        match event:
            case SlotReported(_, version, is_replacing):
                self._on_slot_reported(slot, version, is_replacing)
            case SlotReplaced(_, version):
                self._update_slot(slot, version)
                self._end_order(slot.name)
            case ReplacementFailed(_, reason):
                self._on_replacement_failed(slot.name, reason, now)
            case SlotUnreachable():
                slot.is_reachable = slot.is_serving = slot.is_replacing = False
                slot.is_stale = True

    def _on_trial_ended(self, error: str, now: float) -> None:
        if self.state is not RolloutState.PLANNED:
            return
        if error:
            self._transition(TransitionCause.REFUSED, now, f"the new version was not rolled out: {error}")
        elif not self.trial_succeeded:
            self.trial_succeeded = self._is_changed = True

    def _on_slot_reported(self, slot: _SlotStatus, version: str, is_replacing: bool) -> None:
        ordered = self.ordered.get(slot.name)
        # A report that was sent before the slot received the order does not end the order.
        if not is_replacing and (slot.is_stale or version == ordered):
            self._end_order(slot.name)
        self._update_slot(slot, version)
        slot.is_replacing = is_replacing

    def _update_slot(self, slot: _SlotStatus, version: str) -> None:
        slot.is_reachable, slot.is_serving = True, bool(version)
        slot.is_replacing, slot.is_stale = False, False
        if version:
            involves_new_version = self.plan.roll.version in (version, slot.version)
            self._is_changed |= involves_new_version and version != slot.version
            slot.version = version

    def _end_order(self, name: str) -> None:
        if self.ordered.pop(name, None) is not None:
            self._is_changed = True

    def _on_replacement_failed(self, name: str, reason: str, now: float) -> None:
        ordered = self.ordered.get(name)
        self.slots[name].is_replacing = False
        if ordered is None:
            return
        self._end_order(name)
        is_forward = ordered == self.plan.roll.version
        self._add_action(LogNote(f"{name} was not changed to {ordered}: {reason}"))
        if is_forward != (self.state is not RolloutState.GOING_BACK):
            return  # the order was sent before the rollout began to revert
        self.failures[name] = self.failures.get(name, 0) + 1
        has_too_many_failures = sum(self.failures.values()) >= self.plan.roll.tries
        if is_forward and self.state in FORWARD_STATES and has_too_many_failures:
            self._transition(TransitionCause.FAILED, now, f"{name} did not take the new version: {reason}")
        elif not is_forward and self.failures[name] >= self.plan.roll.tries:
            self.slots[name].revert_error = reason

    def _on_comparison_updated(self, finding: Finding, number: int, now: float) -> None:
        if self.state not in FORWARD_STATES or number != self.comparisons or not self._is_comparing:
            return
        self.finding = finding
        if finding.verdict is Verdict.WORSE:
            self._transition(TransitionCause.WORSE, now, finding.reason)

    def _on_command(self, command: OperatorCommand, now: float) -> None:
        causes = TRANSITIONS[self.state]
        if command is OperatorCommand.PAUSE and TransitionCause.PAUSE in causes:
            self._transition(TransitionCause.PAUSE, now, "an operator paused the rollout")
        elif command is OperatorCommand.BACK and TransitionCause.BACK in causes:
            self._transition(TransitionCause.BACK, now, "an operator reverted the rollout")
        elif command is OperatorCommand.GO and self.state is RolloutState.PAUSED:
            self._on_go(now)
        else:
            self._add_action(
                LogNote(f"command {command.value} is ignored: the rollout is {self.state.value}")
            )

    def _on_go(self, now: float) -> None:
        reason = "an operator resumed the rollout"
        self.failures.clear()
        if not self.trial_succeeded:
            self._transition(TransitionCause.AGAIN, now, reason)
        elif not self.go_ends_stage:
            self._transition(TransitionCause.GO, now, reason)
        elif self._is_last_stage:
            reason = "an operator accepted the last stage" + self._describe_unreplaced()
            self._transition(TransitionCause.ACCEPTED, now, reason)
        else:
            self._begin_next_stage()
            self._transition(TransitionCause.GO, now, reason)

    # Time-outs and orders that are due

    def _step(self, now: float) -> None:
        self._expire_orders(now)
        match self.state:
            case RolloutState.PLANNED:
                self._step_planned(now)
            case RolloutState.REPLACING | RolloutState.COMPARING:
                self._step_forward(now)
            case RolloutState.PAUSED:
                if now - self.state_began_at >= self.plan.roll.ask_s:
                    reason = f"no operator answered the pause in time; paused because: {self.reason}"
                    self._transition(TransitionCause.UNANSWERED, now, reason)
            case RolloutState.GOING_BACK:
                self._step_back(now)

    def _expire_orders(self, now: float) -> None:
        """Fail orders that have timed out; orders of slots that are still replacing get more time."""
        for name in [name for name in self.ordered if now >= self.slots[name].order_ends_at]:
            slot = self.slots[name]
            if slot.is_replacing:
                slot.order_ends_at = now + self.plan.roll.order_timeout_s
                continue
            if self.ordered[name] == self.plan.roll.version:
                slot.version = self.plan.roll.version  # assumed until the slot reports its version
            slot.is_reachable, slot.is_serving, slot.is_stale = False, False, True
            self._on_replacement_failed(name, "no result of the order was reported in time", now)

    def _step_planned(self, now: float) -> None:
        roll = self.plan.roll
        longest_s = max(roll.before_s, roll.order_timeout_s) + roll.order_timeout_s
        is_late = now - self.state_began_at >= longest_s
        if not self.trial_succeeded:
            if is_late:
                reason = "the new version was not rolled out: its trial did not end in time"
                self._transition(TransitionCause.REFUSED, now, reason)
        elif self._is_baseline_measured or is_late:
            if self.baseline is not None and self.baseline < roll.least_before:
                share, least = f"{self.baseline:.1%}", f"{roll.least_before:.0%}"
                reason = (
                    f"{share} of the requests were answered in time before the rollout; "
                    f"the minimum is {least}"
                )
                self._transition(TransitionCause.UNWELL, now, reason)
            else:
                self._transition(TransitionCause.BEGUN, now, "the trial of the new version succeeded")

    def _step_forward(self, now: float) -> None:
        is_last_stage, stage = self._is_last_stage, self._stage
        is_filled = self._fill_stage(now)
        if self.state is RolloutState.REPLACING and is_filled:
            reason = f"stage {self.stage + 1} has the new version"
            self._transition(TransitionCause.REPLACED, now, reason)
            self.comparing_since = now
        unreplaced = self._describe_unreplaced() if is_last_stage else ""
        has_passed = (
            self.state is RolloutState.COMPARING
            and is_filled
            and now - self.comparing_since >= stage.soak_s
            and self.finding is not None
            and self.finding.verdict is Verdict.FINE
        )
        is_overdue = now - self.state_began_at >= stage.longest_s
        reason = self.finding.reason if self.finding else "no comparison has a result"
        if has_passed and not (unreplaced and not is_overdue):
            self._end_stage(now, reason, unreplaced)
        elif is_overdue:
            blocker = self._describe_blocker(reason)
            reason = f"stage {self.stage + 1} reached its time limit: {blocker}"
            self._transition(TransitionCause.TOO_LONG, now, reason)

    def _end_stage(self, now: float, reason: str, unreplaced: str) -> None:
        """End a stage that passed: pause, finish the rollout, or begin the next stage."""
        if self._stage.at_end == "pause":
            reason = f"the plan pauses after stage {self.stage + 1}: {reason}"
            self._transition(TransitionCause.AT_END, now, reason)
        elif self._is_last_stage:
            self._transition(TransitionCause.LAST, now, reason + unreplaced)
        else:
            self._begin_next_stage()
            self._transition(TransitionCause.FINE, now, reason)

    def _describe_blocker(self, reason: str) -> str:
        if self.state is RolloutState.COMPARING:
            return reason
        return "slots are still to be replaced" + self._describe_unreplaced()

    def _fill_stage(self, now: float) -> bool:
        """Order the replacements that the stage needs.

        Returns:
            Whether a slot has the new version and no replacement is pending.
        """
        new = self.plan.roll.version
        needed = self.plan.target_count(self.stage)
        needed -= sum(new in (slot.version, self.ordered.get(slot.name)) for slot in self.slots_in_order)
        has_pending = False
        for slot in self.slots_in_order:
            if needed <= 0:
                break
            if slot.version == new or not slot.is_serving or slot.name in self.ordered or slot.is_replacing:
                continue
            if self._may_order(slot):
                self._order(slot, now)
                needed -= 1
            else:
                has_pending = True
        has_some = any(slot.version == new for slot in self.slots_in_order)
        return has_some and not (has_pending or self.ordered)

    def _step_back(self, now: float) -> None:
        new = self.plan.roll.version
        has_pending = False
        for slot in sorted(reversed(self.slots_in_order), key=lambda slot: slot.is_serving):
            if slot.name in self.ordered or slot.is_replacing:
                has_pending = True
            elif slot.version != new or slot.revert_error:
                continue  # reverted, never replaced, or its revert failed for good
            else:
                has_pending = True
                if slot.is_reachable and self._may_order(slot):
                    self._order(slot, now)
        if has_pending and now - self.state_began_at < self.plan.roll.back_s:
            return
        not_reverted = self._find_unreverted_slots(has_pending)
        if not_reverted:
            names = ", ".join(
                f"{slot.name} ({slot.revert_error or ('down' if not slot.is_reachable else 'not done')})"
                for slot in not_reverted
            )
            self._transition(TransitionCause.LEFT, now, f"{self.reason}; could not be reverted: {names}")
        else:
            self._transition(TransitionCause.WHOLE, now, self.reason)

    def _find_unreverted_slots(self, has_pending: bool) -> list[_SlotStatus]:
        slots = self.slots_in_order
        not_reverted = [
            slot for slot in slots if has_pending and (slot.name in self.ordered or slot.is_replacing)
        ]
        not_reverted += [
            slot for slot in slots if slot not in not_reverted and slot.version == self.plan.roll.version
        ]
        return not_reverted

    def _describe_unreplaced(self) -> str:
        new = self.plan.roll.version
        names = [slot.name for slot in self.slots_in_order if slot.version != new]
        return f"; without the new version: {', '.join(names)}" if names else ""

    @property
    def _stage(self) -> Stage:
        return self.plan.stage[self.stage]

    @property
    def _is_last_stage(self) -> bool:
        return self.plan.target_count(self.stage) == len(self.plan.place)

    def _begin_next_stage(self) -> None:
        """Go to the next stage with a higher target count: in a small tier, stages can have equal counts."""
        count = self.plan.target_count(self.stage)
        while self.plan.target_count(self.stage) == count:
            self.stage += 1

    # Orders

    def _is_unavailable(self, slot: _SlotStatus) -> bool:
        return slot.name in self.ordered or slot.is_replacing or not slot.is_serving

    def _may_order(self, slot: _SlotStatus) -> bool:
        """Whether a reachable slot that is not replacing may be ordered to change now."""
        in_progress = sum(other.name in self.ordered or other.is_replacing for other in self.slots_in_order)
        if in_progress >= self.plan.roll.at_once:
            return False
        unavailable = sum(
            other.zone == slot.zone and self._is_unavailable(other) for other in self.slots_in_order
        )
        return self._is_unavailable(slot) or unavailable < self.plan.max_unavailable(slot.zone)

    def _order(self, slot: _SlotStatus, now: float) -> None:
        is_back = self.state is RolloutState.GOING_BACK
        version = self.plan.roll.old if is_back else self.plan.roll.version
        self.ordered[slot.name] = version
        slot.order_ends_at = now + self.plan.roll.order_timeout_s
        self._is_changed = True
        self._add_action((RevertSlot if is_back else ReplaceSlot)(slot.name, version, self.token))

    # Transitions

    def _transition(self, cause: TransitionCause, now: float, reason: str) -> None:
        old = self.state
        new = TRANSITIONS[old][cause]
        if self.plan.roll.on_worse == "stay":
            new = TRANSITIONS_IF_STAYING.get(cause, new)
        is_same_stage = old is RolloutState.REPLACING and new is RolloutState.COMPARING
        self.go_ends_stage = old is RolloutState.COMPARING and cause in (
            TransitionCause.AT_END,
            TransitionCause.TOO_LONG,
            TransitionCause.WORSE,
        )
        self.state, self.cause, self.reason = new, cause, reason
        if not is_same_stage:
            self.state_began_at = now
            if self._is_comparing:
                self._is_comparing = False
                self._add_action(StopComparison())
        self._is_changed = True
        self._add_action(LogNote(f"{old.value} -> {new.value}: {reason}"))
        if new is RolloutState.GOING_BACK:
            self.failures.clear()
        elif new is RolloutState.REPLACING:
            self._start_comparison()
        elif new is RolloutState.PLANNED:
            self._prepare(now)

    def _prepare(self, now: float) -> None:
        self._is_baseline_measured = False
        self.state_began_at = now
        self._add_action(StartTrial(self.plan.roll.version))
        self._add_action(MeasureBaseline(self.plan.roll.before_s))

    def _start_comparison(self) -> None:
        self.comparisons += 1
        self.finding, self._is_comparing, self._is_changed = None, True, True
        alpha = self.plan.compare.alpha / (self.comparisons * (self.comparisons + 1))
        self._add_action(
            StartComparison(self.comparisons, alpha, self._stage.soak_s, self.baseline, self._is_last_stage)
        )

    def _add_action(self, action: Action) -> None:
        self._actions.append(action)

    def _take_actions(self, now: float) -> list[Action]:
        """Return and clear the actions of this step; a changed state is persisted first."""
        if now - self._persisted_at >= PERSIST_INTERVAL_S and not self.ended:
            self._is_changed = True
        actions, self._actions = self._actions, []
        if self._is_changed:
            self._is_changed, self._persisted_at = False, now
            actions.insert(0, PersistRollout(self.to_stored(now)))
        return actions
