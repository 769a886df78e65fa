"""The state machine of one proxy's slot: which process serves, and which ones start or terminate. Pure.

Invariants:

1. The serving process is terminated only after its successor (the candidate) is proven: the candidate has
   reported ready, has run for `proving_s` since, and has answered `REQUIRED_PROBES` requests itself. Until
   then the replacement can be abandoned.
2. There is at most one candidate. A terminating process is killed after `termination_s`. Only a start that
   finds no free ops address waits for it: there are `ops_count` addresses, one per process.
3. A serving process that crashes is restarted at once with the same version; after `MAX_CONSECUTIVE_CRASHES`
   crashes in a row the previous version is started. The backoff grows with each consecutive crash.
4. If no process serves, a candidate gets `READY_TIMEOUT_FACTOR_IF_ALONE` times as long to become ready:
   killing a slow candidate would leave the slot without any process.
5. A fencing token below the highest one is rejected, and so is a claim of the highest token by another
   controller: a controller that was suspended during a take-over can no longer change the slot.
6. State that must survive the supervisor is persisted (`PersistSlot`) before a process is started or
   terminated because of it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from math import inf

from firvane.proxy.rollout.errors import CallRejectedError
from firvane.proxy.rollout.slot_types import (
    TRANSITIONS,
    KillProcess,
    LogEvent,
    PersistSlot,
    ProcessTag,
    ProcessTimeouts,
    SlotAction,
    SlotEvent,
    SlotProcess,
    SlotState,
    StartProcess,
    StoredSlot,
    TerminateProcess,
)

REQUIRED_PROBES = 3  # that a candidate must answer before the serving process is terminated
MAX_FAILED_PROBES = 2  # after so many unanswered requests a candidate is killed
MAX_CONSECUTIVE_CRASHES = 3  # after which the previous version is started
BACKOFFS_S = (0.0, 0.2, 0.5, 1.0, 2.0, 5.0)  # before a start, by the number of consecutive crashes
STABLE_AFTER_S = 10.0  # a crash after this serving time does not count as consecutive
READY_TIMEOUT_FACTOR_IF_ALONE = 4  # multiplies the ready time-out if no process serves
MAX_REASON_CHARS = 120


@dataclass
class Slot:
    """One slot. Each method returns the actions due, in execution order. Times are seconds on one clock.

    Attributes:
        stored: The durable state.
        timeouts: The time-outs of the slot's processes.
        ops_count: The number of ops addresses; each process uses one.
        state: The current state.
        serving: The process that serves.
        candidate: The process that is to replace the serving one.
        terminating: The processes that are terminating, by number.
        last_number: The number of the process started last.
        crash_count: The number of serving processes that have crashed.
        consecutive_crashes: The number of crashes and failed starts in a row.
        next_start_at: When the next process is started.
        is_adopted: Whether the serving process was adopted; it then uses an earlier supervisor's socket.
    """

    stored: StoredSlot
    timeouts: ProcessTimeouts
    ops_count: int
    state: SlotState = SlotState.EMPTY
    serving: SlotProcess | None = None
    candidate: SlotProcess | None = None
    terminating: dict[int, SlotProcess] = field(default_factory=dict)
    last_number: int = 0
    crash_count: int = 0
    consecutive_crashes: int = 0
    next_start_at: float = inf
    is_adopted: bool = False

    # Start

    def begin(self, now: float, adopted: Sequence[tuple[ProcessTag, int]] = ()) -> list[SlotAction]:
        """Begin with the tags and process ids of an earlier supervisor's processes that still run.

        One of them keeps serving until a process on this supervisor's own socket is proven; the others are
        terminated.
        """
        actions: list[SlotAction] = []
        self.last_number = max([tag.number for tag, _ in adopted], default=0)
        by_preference = sorted(
            adopted, key=lambda entry: (entry[0].version != self.stored.version, entry[0].number)
        )
        for tag, pid in by_preference:
            process = SlotProcess(tag, now, pid, ready_at=now, proven_at=now)
            if self.serving is None:
                self.serving, self.is_adopted, self.state = process, True, SlotState.SERVING
            else:
                actions += self._terminate(process, now)
        if self.serving is None:
            self.next_start_at = now
        return [PersistSlot(self.stored), *actions, *self.tick(now)]

    # Calls

    def claim(self, token: int, name: str) -> list[SlotAction]:
        """Record the token of a controller that begins or takes over a rollout, and reject lower tokens.

        Raises:
            CallRejectedError: The token is below the highest, or another controller has claimed it.
        """
        self._check_token(token)
        if token == self.stored.roll and name != self.stored.name:
            raise CallRejectedError(f"roll {token} is over: {self.stored.roll} has been heard here")
        if (token, name) == (self.stored.roll, self.stored.name):
            return []
        self.stored = replace(self.stored, roll=token, name=name)
        return [PersistSlot(self.stored)]

    def replace(self, now: float, version: str, token: int) -> list[SlotAction]:
        """Replace the serving process by one of `version`, unless it or the candidate has that version.

        Raises:
            CallRejectedError: The token is too low, or the slot cannot start that version now.
        """
        self._check_token(token)
        candidate, serving = self.candidate, self.serving
        if candidate and candidate.tag.version == version:
            return self._record_token(token)
        if serving and serving.tag.version == version:
            # A candidate of another version is no longer needed.
            return [*self._record_token(token), *self._drop_candidate(now)]
        if candidate and serving:
            raise CallRejectedError(f"busy: {candidate.tag.version} is on its way here")
        if self.stored.spurned == f"{version} {token}":
            raise CallRejectedError(f"{version} died {MAX_CONSECUTIVE_CRASHES} times in a row in this roll")
        if self._free_ops_index() is None:
            raise CallRejectedError("busy: processes that were told to end have all ops addresses")
        actions = self._record_token(token)
        self.stored = replace(self.stored, failed="")
        return actions + self._start_replacement(now, version)

    def revert(self, now: float, token: int) -> list[SlotAction]:
        """Return to the previous version; if a candidate is not proven yet, only drop the candidate.

        Raises:
            CallRejectedError: For the reasons of `replace`, or because there is no previous version.
        """
        self._check_token(token)
        if self.serving and self.candidate:
            return self.replace(now, self.serving.tag.version, token)
        if not self.stored.before:
            raise CallRejectedError("there is no version before")
        return self.replace(now, self.stored.before, token)

    def abandon(self, now: float, token: int) -> list[SlotAction]:
        """Drop the candidate if another process serves.

        Raises:
            CallRejectedError: The token is too low.
        """
        self._check_token(token)
        return [*self._record_token(token), *self._drop_candidate(now)]

    def close(self, now: float) -> list[SlotAction]:
        """Close the slot and terminate all its processes."""
        actions: list[SlotAction] = []
        self._apply(SlotEvent.CLOSE)
        for process in (self.serving, self.candidate):
            if process:
                actions += self._terminate(process, now)
        self.serving = self.candidate = None
        self.next_start_at = inf
        return actions

    # Observations of processes

    def on_started(self, number: int, pid: int) -> None:
        """Record the process id of a process that was started."""
        for process in self._processes():
            if process.number == number:
                process.pid = pid

    def on_start_failed(self, now: float, number: int, reason: str) -> list[SlotAction]:
        """Handle a process that could not be started."""
        if not self._find_candidate(number):
            return []
        return self._fail_candidate(now, f"cannot be started: {reason}", has_exited=True)

    def on_ready(self, now: float, number: int) -> list[SlotAction]:
        """Handle a process that reports ready."""
        candidate = self._find_candidate(number)
        if candidate is None or candidate.ready_at < inf:
            return []
        candidate.ready_at = now
        self._apply(SlotEvent.READY)
        return [LogEvent("slot_process_ready", {"version": candidate.tag.version, "number": number})]

    def on_probed(self, now: float, number: int, is_answered: bool) -> list[SlotAction]:
        """Handle the result of a probe request that a process accepted."""
        candidate = self._find_candidate(number)
        if candidate is None:
            return []
        if is_answered:
            candidate.answered_probes += 1
        else:
            candidate.failed_probes += 1
        if candidate.failed_probes >= MAX_FAILED_PROBES:
            reason = "reports ready but leaves requests without an answer"
            return self._fail_candidate(now, reason)
        return self.tick(now)

    def on_exited(self, now: float, number: int, code: int) -> list[SlotAction]:
        """Handle the exit of a process; a negative `code` is the negated number of a signal."""
        if self.terminating.pop(number, None):
            return self.tick(now)
        exit_reason = f"ended with code {code}" if code >= 0 else f"was killed by signal {-code}"
        if candidate := self._find_candidate(number):
            phase = "under its first requests" if candidate.ready_at < inf else "at its start"
            return self._fail_candidate(now, f"{exit_reason} {phase}", has_exited=True)
        if not (self.serving and self.serving.number == number):
            return []
        serving_time_s, version = now - self.serving.proven_at, self.serving.tag.version
        self.serving, self.is_adopted = None, False
        self.crash_count += 1
        self._apply(SlotEvent.DIED)
        actions: list[SlotAction] = [
            LogEvent("slot_process_died", {"version": version, "reason": exit_reason})
        ]
        if self.state is SlotState.EMPTY:
            self.consecutive_crashes = 1 if serving_time_s >= STABLE_AFTER_S else self.consecutive_crashes + 1
            actions += self._back_off(now, version, exit_reason)
        return actions

    def tick(self, now: float) -> list[SlotAction]:
        """Handle the passing of time: expired time-outs and due starts."""
        actions: list[SlotAction] = []
        for process in self.terminating.values():
            if now >= process.kill_at:
                process.kill_at = inf
                actions.append(KillProcess(process.number))
        if self.candidate:
            actions += self._check_candidate(self.candidate, now)
        is_start_due = self.state is SlotState.EMPTY and now >= self.next_start_at
        if is_start_due and self._free_ops_index() is not None:
            actions += self._start(now, self.stored.version, SlotEvent.DUE)
        replaces_adopted = (
            self.state is SlotState.SERVING and self.is_adopted and now >= self._next_attempt_at()
        )
        if replaces_adopted and self._free_ops_index() is not None:
            actions += self._start_replacement(now, self.stored.version)
        return actions

    def _check_candidate(self, candidate: SlotProcess, now: float) -> list[SlotAction]:
        """Promote a candidate that is proven; kill one that has timed out."""
        ready_timeout_s = self.timeouts.ready_s * (1 if self.serving else READY_TIMEOUT_FACTOR_IF_ALONE)
        proving_s = self.timeouts.proving_s
        if candidate.ready_at < inf:
            if now >= candidate.ready_at + proving_s and candidate.answered_probes >= REQUIRED_PROBES:
                return self._promote(now)
            if now >= candidate.ready_at + max(ready_timeout_s, proving_s):
                return self._fail_candidate(now, "reports ready but answers no requests")
        elif now >= candidate.started_at + ready_timeout_s:
            return self._fail_candidate(now, f"is not ready after {ready_timeout_s:g} s")
        return []

    def status(self) -> dict[str, str | int]:
        """Return the status for the supervisor's API; its keys are part of that API."""
        process = self.serving or self.candidate
        is_terminating = self.state is SlotState.SERVING and self.terminating
        return {
            "state": "ending" if is_terminating else self.state.value,
            "version": self.serving.tag.version if self.serving else "-",
            "wanted": self.stored.version,
            "before": self.stored.before or "-",
            "coming": self.candidate.tag.version if self.candidate else "-",
            "roll": self.stored.roll,
            "pid": process.pid if process else 0,
            "door": process.tag.ops_index if process else -1,
            "deaths": self.crash_count,
            "leaving": len(self.terminating),
            "failed": self.stored.failed or "-",
        }

    # Helpers

    def _processes(self) -> list[SlotProcess]:
        current = [process for process in (self.serving, self.candidate) if process]
        return current + list(self.terminating.values())

    def _find_candidate(self, number: int) -> SlotProcess | None:
        return self.candidate if self.candidate and self.candidate.number == number else None

    def _free_ops_index(self) -> int | None:
        used = {process.tag.ops_index for process in self._processes()}
        return next((index for index in range(self.ops_count) if index not in used), None)

    def _check_token(self, token: int) -> None:
        """Raise `CallRejectedError` for a closed slot or a lower token, before any state changes."""
        if self.state is SlotState.CLOSED:
            raise CallRejectedError("the place is given up")
        if token < self.stored.roll:
            raise CallRejectedError(f"roll {token} is over: {self.stored.roll} has been heard here")

    def _record_token(self, token: int) -> list[SlotAction]:
        if token == self.stored.roll:
            return []
        self.stored = replace(self.stored, roll=token, name="")
        return [PersistSlot(self.stored)]

    def _apply(self, event: SlotEvent) -> None:
        self.state = TRANSITIONS[self.state][event]

    def _terminate(self, process: SlotProcess, now: float) -> list[SlotAction]:
        process.kill_at = now + self.timeouts.termination_s
        self.terminating[process.number] = process
        return [TerminateProcess(process.number)]

    def _start_replacement(self, now: float, version: str) -> list[SlotAction]:
        """Start a candidate; if no process serves, its version becomes the slot's at once, proven or not."""
        actions: list[SlotAction] = []
        if self.serving is None:
            if version != self.stored.version:
                self.stored = replace(self.stored, version=version, before=self.stored.version)
            if self.candidate:
                actions += self._terminate(self.candidate, now)
            self.consecutive_crashes = 0
        return actions + self._start(now, version, SlotEvent.REPLACE)

    def _start(self, now: float, version: str, event: SlotEvent) -> list[SlotAction]:
        ops_index = self._free_ops_index()
        assert ops_index is not None
        self.last_number += 1
        self._apply(event)
        self.next_start_at = inf
        self.candidate = SlotProcess(ProcessTag(self.last_number, version, ops_index), now)
        log = LogEvent("slot_process_started", {"version": version, "number": self.last_number})
        return [PersistSlot(self.stored), log, StartProcess(self.candidate.tag)]

    def _promote(self, now: float) -> list[SlotAction]:
        """Make the proven candidate the serving process, and terminate the previous one."""
        old, new = self.serving, self.candidate
        assert new
        self._apply(SlotEvent.PROVEN)
        new.proven_at = now
        self.serving, self.candidate, self.is_adopted = new, None, False
        version = new.tag.version
        if version != self.stored.version:
            self.stored = replace(self.stored, version=version, before=self.stored.version)
        actions: list[SlotAction] = self._terminate(old, now) if old else []
        log = LogEvent("slot_process_serving", {"version": version, "number": new.number})
        return [PersistSlot(self.stored), log, *actions]

    def _fail_candidate(self, now: float, reason: str, has_exited: bool = False) -> list[SlotAction]:
        candidate = self.candidate
        assert candidate
        version = candidate.tag.version
        self.candidate = None
        self._apply(SlotEvent.FAILED)
        failed = f"{version} {self.stored.roll} {reason[:MAX_REASON_CHARS]}"
        self.stored = replace(self.stored, failed=failed)
        fields: dict[str, str | int] = {"version": version, "reason": reason[:MAX_REASON_CHARS]}
        actions: list[SlotAction] = [LogEvent("slot_replacement_failed", fields)]
        if not has_exited:  # it is killed without a grace period: its requests are lost
            self.terminating[candidate.number] = candidate
            actions.append(KillProcess(candidate.number))
        if self.state is SlotState.EMPTY:
            self.consecutive_crashes += 1
            actions += self._back_off(now, version, reason)
        else:
            self.next_start_at = now + BACKOFFS_S[-1]
        return [PersistSlot(self.stored), *actions]

    def _next_attempt_at(self) -> float:
        """Return when the next start on this supervisor's own socket is due."""
        return self.next_start_at if self.next_start_at < inf else 0.0

    def _back_off(self, now: float, version: str, reason: str) -> list[SlotAction]:
        """Set when the next process starts, and of which version, after the last one has failed."""
        self.next_start_at = now + BACKOFFS_S[min(self.consecutive_crashes - 1, len(BACKOFFS_S) - 1)]
        if self.consecutive_crashes % MAX_CONSECUTIVE_CRASHES or not self.stored.before:
            return []
        stored, spurned = self.stored, f"{version} {self.stored.roll}"
        failed = f"{spurned} {reason[:MAX_REASON_CHARS]}"
        self.stored = replace(stored, version=stored.before, before=version, failed=failed, spurned=spurned)
        fields: dict[str, str | int] = {"version": self.stored.version, "from": version}
        return [PersistSlot(self.stored), LogEvent("slot_version_reverted", fields)]

    def _drop_candidate(self, now: float) -> list[SlotAction]:
        candidate = self.candidate
        if candidate is None or self.serving is None:
            return []
        self._apply(SlotEvent.ABANDON)
        self.candidate = None
        return self._terminate(candidate, now)
