"""One proxy's slot: which process serves in it, which is to come, which is to go. Pure.

Rules that hold here and nowhere else:

1. Whoever serves is told to end only once its successor is proven: it has said that it is ready, has lived
   for `prove` s since, and has answered `PROBES` requests itself. Until then an attempt may be dropped.
2. At most one process is to come. What is told to end has `end` s, then it is killed; nobody waits for it,
   but for an ops address to be free: there are `doors` of them, one to a process.
3. A serving process that dies is followed at once by another of its version, and one whose version dies
   `DEATHS` times in a row by one of the version before; between deaths in a row there are longer pauses.
4. A process beside which none serves is given four times as long to be ready: to kill a slow one would be to
   have none.
5. A roll's number that is lower than the highest heard is refused, and so is the same number under another
   name: whoever stood still while another took over changes nothing any more.
6. What is to be known after the keeper's own end is kept (`Keep`) before anything is started or ended for it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from math import inf

from firvane.proxy.rollout.slot_types import (
    TABLE,
    Action,
    Event,
    Keep,
    Kept,
    Kill,
    Mark,
    Note,
    Process,
    Refused,
    Start,
    State,
    Terminate,
    Times,
)

PROBES = 3  # requests that a new process answers itself before the old one may go
FAULTS = 2  # requests that it leaves without an answer, and it goes itself
DEATHS = 3  # in a row, after which the version before has its turn
PAUSES = (0.0, 0.2, 0.5, 1.0, 2.0, 5.0)  # s before the start after so many deaths in a row
STEADY = 10.0  # s after which a death is no longer one in a row
ALONE = 4  # times as long to be ready, where none serves
WHY = 120  # characters of a reason, so that a status stays a few lines


@dataclass
class Slot:
    """One slot. Each call tells what is to be done, in that order."""

    kept: Kept
    times: Times
    doors: int
    state: State = State.EMPTY
    serving: Process | None = None
    coming: Process | None = None
    leaving: dict[int, Process] = field(default_factory=dict)
    numbers: int = 0
    deaths: int = 0  # of the serving one, ever
    in_a_row: int = 0
    start_at: float = inf
    is_found: bool = False  # the serving one was found: it has another listening socket

    # The beginning

    def open(self, now: float, found: Sequence[tuple[Mark, int]] = ()) -> list[Action]:
        """Begin, with the processes of a life before that still run, and their ids. One of them serves on
        until one on this life's own socket is proven; the others are told to end."""
        did: list[Action] = []
        self.numbers = max([mark.number for mark, _ in found], default=0)
        for mark, pid in sorted(found, key=lambda one: (one[0].version != self.kept.version, one[0].number)):
            process = Process(mark, now, pid, ready_at=now, proven_at=now)
            if self.serving is None:
                self.serving, self.is_found, self.state = process, True, State.SERVING
            else:
                did += self._leave(process, now)
        if self.serving is None:
            self.start_at = now
        return [Keep(self.kept), *did, *self.tick(now)]

    # Calls

    def claim(self, roll: int, name: str) -> list[Action]:
        """A roll begins, or is taken over: lower numbers are refused from now on."""
        self._check(roll)
        if roll == self.kept.roll and name != self.kept.name:
            raise Refused(f"roll {roll} is over: {self.kept.roll} has been heard here")
        if (roll, name) == (self.kept.roll, self.kept.name):
            return []
        self.kept = replace(self.kept, roll=roll, name=name)
        return [Keep(self.kept)]

    def replace(self, now: float, version: str, roll: int) -> list[Action]:
        """A process of that version is to serve here; nothing where one does already, or is on its way."""
        self._check(roll)
        coming, serving = self.coming, self.serving
        if coming and coming.mark.version == version:
            return self._heard(roll)
        if serving and serving.mark.version == version:
            # What is on its way to something else is not wanted any more.
            return [*self._heard(roll), *self._abandoned(now)]
        if coming and serving:
            raise Refused(f"busy: {coming.mark.version} is on its way here")
        if self.kept.spurned == f"{version} {roll}":
            raise Refused(f"{version} died {DEATHS} times in a row in this roll")
        if self._door() is None:
            raise Refused("busy: processes that were told to end have all ops addresses")
        did = self._heard(roll)
        self.kept = replace(self.kept, failed="")
        return did + self._attempt(now, version)

    def back(self, now: float, roll: int) -> list[Action]:
        """The version before is to serve here. What is not proven yet is only abandoned."""
        self._check(roll)
        if self.serving and self.coming:
            return self.replace(now, self.serving.mark.version, roll)
        if not self.kept.before:
            raise Refused("there is no version before")
        return self.replace(now, self.kept.before, roll)

    def abandon(self, now: float, roll: int) -> list[Action]:
        """What is to come beside one that serves is not wanted any more."""
        self._check(roll)
        return [*self._heard(roll), *self._abandoned(now)]

    def close(self, now: float) -> list[Action]:
        """Give the slot up: all end."""
        did: list[Action] = []
        self._hear(Event.CLOSE)
        for process in (self.serving, self.coming):
            if process:
                did += self._leave(process, now)
        self.serving = self.coming = None
        self.start_at = inf
        return did

    # What is seen of processes

    def started(self, number: int, pid: int) -> None:
        for process in self._all():
            if process.number == number:
                process.pid = pid

    def unstartable(self, now: float, number: int, why: str) -> list[Action]:
        return self._failed(now, f"cannot be started: {why}", is_gone=True) if self._comes(number) else []

    def ready(self, now: float, number: int) -> list[Action]:
        coming = self._comes(number)
        if coming is None or coming.ready_at < inf:
            return []
        coming.ready_at = now
        self._hear(Event.READY)
        return [Note("place_ready", {"version": coming.mark.version, "number": number})]

    def probed(self, now: float, number: int, is_well: bool) -> list[Action]:
        """It has answered a request that it had accepted, or has not."""
        coming = self._comes(number)
        if coming is None:
            return []
        if is_well:
            coming.probes += 1
        else:
            coming.faults += 1
        if coming.faults >= FAULTS:
            return self._failed(now, "says that it is ready, and leaves requests without an answer")
        return self.tick(now)

    def exited(self, now: float, number: int, code: int) -> list[Action]:
        if self.leaving.pop(number, None):
            return self.tick(now)
        how = f"ended with code {code}" if code >= 0 else f"was killed by signal {-code}"
        if coming := self._comes(number):
            when = "under its first requests" if coming.ready_at < inf else "at its start"
            return self._failed(now, f"{how} {when}", is_gone=True)
        if not (self.serving and self.serving.number == number):
            return []
        lived, version = now - self.serving.proven_at, self.serving.mark.version
        self.serving, self.is_found = None, False
        self.deaths += 1
        self._hear(Event.DIED)
        did: list[Action] = [Note("place_died", {"version": version, "how": how})]
        if self.state is State.EMPTY:
            self.in_a_row = 1 if lived >= STEADY else self.in_a_row + 1
            did += self._pause(now, version, how)
        return did

    def tick(self, now: float) -> list[Action]:
        """What time alone brings about."""
        did: list[Action] = []
        for process in self.leaving.values():
            if now >= process.kill_at:
                process.kill_at = inf
                did.append(Kill(process.number))
        coming = self.coming
        if coming:
            patience = self.times.ready * (1 if self.serving else ALONE)
            if coming.ready_at < inf:
                late = now >= coming.ready_at + max(patience, self.times.prove)
                if now >= coming.ready_at + self.times.prove and coming.probes >= PROBES:
                    did += self._proven(now)
                elif late:
                    did += self._failed(now, "says that it is ready, and serves nothing")
            elif now >= coming.since + patience:
                did += self._failed(now, f"is not ready after {patience:g} s")
        if self.state is State.EMPTY and now >= self.start_at and self._door() is not None:
            did += self._begin(now, self.kept.version, Event.DUE)
        rejoins = self.state is State.SERVING and self.is_found and now >= self._again()
        if rejoins and self._door() is not None:
            did += self._attempt(now, self.kept.version)
        return did

    def status(self) -> dict[str, str | int]:
        """For the line door: a word and a value each."""
        who = self.serving or self.coming
        state = self.state.value
        told: dict[str, str | int] = {
            "state": "ending" if self.state is State.SERVING and self.leaving else state,
            "version": self.serving.mark.version if self.serving else "-",
            "wanted": self.kept.version,
            "before": self.kept.before or "-",
            "coming": self.coming.mark.version if self.coming else "-",
            "roll": self.kept.roll,
            "pid": who.pid if who else 0,
            "door": who.mark.door if who else -1,
            "deaths": self.deaths,
            "leaving": len(self.leaving),
            "failed": self.kept.failed or "-",
        }
        return told

    # Within

    def _all(self) -> list[Process]:
        return [one for one in (self.serving, self.coming) if one] + list(self.leaving.values())

    def _comes(self, number: int) -> Process | None:
        return self.coming if self.coming and self.coming.number == number else None

    def _door(self) -> int | None:
        taken = {process.mark.door for process in self._all()}
        return next((door for door in range(self.doors) if door not in taken), None)

    def _check(self, roll: int) -> None:
        """Before anything is changed: a call that is refused changes nothing."""
        if self.state is State.CLOSED:
            raise Refused("the place is given up")
        if roll < self.kept.roll:
            raise Refused(f"roll {roll} is over: {self.kept.roll} has been heard here")

    def _heard(self, roll: int) -> list[Action]:
        if roll == self.kept.roll:
            return []
        self.kept = replace(self.kept, roll=roll, name="")
        return [Keep(self.kept)]

    def _hear(self, event: Event) -> None:
        self.state = TABLE[self.state][event]

    def _leave(self, process: Process, now: float) -> list[Action]:
        process.kill_at = now + self.times.end
        self.leaving[process.number] = process
        return [Terminate(process.number)]

    def _attempt(self, now: float, version: str) -> list[Action]:
        """Where nobody serves, the version is what the slot is to have from now on, proven or not."""
        did: list[Action] = []
        if self.serving is None:
            if version != self.kept.version:
                self.kept = replace(self.kept, version=version, before=self.kept.version)
            if self.coming:
                did += self._leave(self.coming, now)
            self.in_a_row = 0
        return did + self._begin(now, version, Event.REPLACE)

    def _begin(self, now: float, version: str, event: Event) -> list[Action]:
        door = self._door()
        assert door is not None
        self.numbers += 1
        self._hear(event)
        self.start_at = inf
        self.coming = Process(Mark(self.numbers, version, door), now)
        note = Note("place_starts", {"version": version, "number": self.numbers})
        return [Keep(self.kept), note, Start(self.coming.mark)]

    def _proven(self, now: float) -> list[Action]:
        old, new = self.serving, self.coming
        assert new
        self._hear(Event.PROVEN)
        new.proven_at = now
        self.serving, self.coming, self.is_found = new, None, False
        version = new.mark.version
        if version != self.kept.version:
            self.kept = replace(self.kept, version=version, before=self.kept.version)
        did: list[Action] = self._leave(old, now) if old else []
        note = Note("place_serves", {"version": version, "number": new.number})
        return [Keep(self.kept), note, *did]

    def _failed(self, now: float, why: str, is_gone: bool = False) -> list[Action]:
        coming = self.coming
        assert coming
        version = coming.mark.version
        self.coming = None
        self._hear(Event.FAILED)
        self.kept = replace(self.kept, failed=f"{version} {self.kept.roll} {why[:WHY]}")
        did: list[Action] = [Note("place_failed", {"version": version, "why": why[:WHY]})]
        if not is_gone:  # it is not waited for: what it is given to do is lost
            self.leaving[coming.number] = coming
            did.append(Kill(coming.number))
        if self.state is State.EMPTY:
            self.in_a_row += 1
            did += self._pause(now, version, why)
        else:
            self.start_at = now + PAUSES[-1]
        return [Keep(self.kept), *did]

    def _again(self) -> float:
        """When the next attempt on this life's own socket is due."""
        return self.start_at if self.start_at < inf else 0.0

    def _pause(self, now: float, version: str, why: str) -> list[Action]:
        """Nobody serves: when the next starts, and of which version."""
        self.start_at = now + PAUSES[min(self.in_a_row - 1, len(PAUSES) - 1)]
        if self.in_a_row % DEATHS or not self.kept.before:
            return []
        failed = f"{version} {self.kept.roll} {why[:WHY]}"
        kept, spurned = self.kept, f"{version} {self.kept.roll}"
        self.kept = replace(kept, version=kept.before, before=version, failed=failed, spurned=spurned)
        return [Keep(self.kept), Note("place_reverts", {"version": self.kept.version, "from": version})]

    def _abandoned(self, now: float) -> list[Action]:
        coming = self.coming
        if coming is None or self.serving is None:
            return []
        self._hear(Event.ABANDON)
        self.coming = None
        return self._leave(coming, now)
