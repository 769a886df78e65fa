"""One box: what it can do, what it has in work, and what it does when it is struck.

Rules that hold here and nowhere else:

1. Work is seconds of a standard core. Requests in work share the box evenly, none faster than one core;
   what finds no slot waits in order; what finds no room is turned away and costs nothing.
2. Connections and probes cost work that goes before all requests, on all cores.
3. A box does what its cores can do, times its warmth, times what a slow machine leaves, less what a crowd
   costs. Warmth rises evenly by the clock from `cold_share` at the start to 1 after `warm_s`.
4. A cold box falls over once the work sent to it within the last `fall_s`, less `fall_chance` standard
   deviations of what chance does to such a sum, is more than `fall_multiple` times what it could do in
   `fall_s` at its present capacity. What it turned away counts as sent. A box that fell stays down.
5. Everything taken ends exactly once, as one `Completion`.

Told `now` (s) by whoever drives it; times never go back. `next_at()` says when something happens by itself.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from enum import Enum
from functools import lru_cache
from math import inf, sqrt
from random import Random
from typing import NamedTuple

from firvane.simulation.emulation.scenario import Boxes, Kind


class Offer(NamedTuple):
    """What became of an attempt that has arrived."""

    verdict: str  # "taken" or "turned away", as in `records.Arrived`; "unheard" where nobody is there
    cost: float  # s of a standard core, by what the box remembers


class JobEnd(Enum):
    """How work on an attempt came to its end."""

    COMPLETED = "whole"  # the answer is due
    UNWANTED = "unwanted"  # done to its end after a cancel, for nobody
    CANCELLED = "stopped"  # cancelled, and no more is done
    LOST = "lost"  # the box went away from it


class Completion(NamedTuple):
    """Work on an attempt has ended."""

    call: str
    at: float
    spent: float  # s of a standard core
    end: JobEnd

    @property
    def wanted(self) -> bool:
        """Whether an answer goes out for it."""
        return self.end is JobEnd.COMPLETED


class Job:
    """An attempt that was taken."""

    __slots__ = ("call", "cost", "finish", "serial", "wanted")

    def __init__(self, call: str, cost: float, serial: int) -> None:
        self.call = call
        self.cost = cost
        self.serial = serial
        self.finish = -1.0  # the reading of its box's `_served` at which it is done; -1 while it waits
        self.wanted = True


@lru_cache(maxsize=64)
def paces(cores: int, boxes: Boxes) -> tuple[tuple[float, ...], tuple[float, ...]]:
    """What a box of speed 1 does with 0, 1, 2 ... requests inside: cores for each in work, and for all."""
    slots = boxes.slots_per_core * cores
    most = slots + boxes.waiting_per_core * cores
    each, whole = [], []
    for inside in range(most + 1):
        over = max(0.0, inside / most - boxes.crowded_from) / max(1.0 - boxes.crowded_from, 1e-9)
        left = 1.0 - boxes.crowded_loss * over
        each.append(left * min(1.0, cores / max(1, min(inside, slots))))
        whole.append(left * cores)
    return tuple(each), tuple(whole)


class EmulatedBackend:
    """A box of one kind at one place. `seed` draws its speed, its memory and what a probe costs it."""

    __slots__ = (
        "_connect_cost", "_debt", "_due", "_each", "_inside", "_jobs", "_last", "_met", "_out", "_pace",
        "_paused_until", "_probe_cost", "_remembers_s", "_saves", "_sent", "_sent_square", "_sent_sum",
        "_serial", "_served", "_slots", "_waiting", "_warm_at", "_whole", "_working", "boxes", "connections",
        "cores", "draining", "is_up", "kind", "name", "speed", "start", "state", "zone",
    )  # fmt: skip

    def __init__(
        self, name: str, kind: Kind, boxes: Boxes, zone: str, seed: int, now: float, warm: bool
    ) -> None:
        draw = Random(f"box/{seed}/{name}")
        self.name = name
        self.kind = kind
        self.boxes = boxes
        self.zone = zone
        self.cores = kind.cores
        self.speed = draw.uniform(*kind.speed)
        self.start = 0
        self.state = "warm" if warm else "cold"
        self.is_up = True  # whether it hears what comes; a paused box does, and answers later
        self.draining = False
        self.connections = 0
        self._remembers_s = draw.uniform(*boxes.remembers_s)
        self._saves = draw.uniform(*boxes.remembered_saves)
        self._probe_cost = draw.uniform(*boxes.probe_work_ms) / 1e3
        self._connect_cost = boxes.connect_work_ms / 1e3
        self._slots = boxes.slots_per_core * kind.cores
        self._each, self._whole = paces(kind.cores, boxes)
        self._warm_at = now if warm else now + boxes.warm_s
        self._last = now  # up to when all is accounted for
        self._paused_until = now
        self._pace = self.speed  # of a core, when warm and not crowded
        self._due = inf  # when the next request is done, if nothing changes; -inf while not known
        self._served = 0.0  # s of a standard core that each request in work has had since the start
        self._debt = 0.0  # s of a standard core that go first
        self._inside = 0
        self._serial = 0
        self._jobs: dict[str, Job] = {}
        self._working: list[tuple[float, int, Job]] = []  # by when they finish
        self._waiting: deque[Job] = deque()
        self._met: dict[str, float] = {}  # key to when it was last met, oldest first
        self._sent: deque[tuple[float, float]] = deque()  # while cold: when, and how much work
        self._sent_sum = 0.0
        self._sent_square = 0.0
        self._out: list[Completion] = []

    # What comes in.

    def offer(self, now: float, call: str, key: str, work: float) -> Offer:
        """An attempt's last byte has arrived, with so much `work` (s of a standard core) for a box that has
        not met its `key` ("" for none). `call` names the attempt: ValueError if one of that name is in here.
        Look at `state` after it: this may have been too much for a cold box."""
        self._settle(now)
        if not self.is_up:
            return Offer("unheard", 0.0)
        if call in self._jobs:
            raise ValueError(f"{self.name} still has {call}")
        met = self._met.get(key) if key else None
        cost = work if met is None or now - met > self._remembers_s else work * (1.0 - self._saves)
        if now < self._warm_at and self._is_too_much(now, cost):
            self._leave(now, "fell")
            self._out.append(Completion(call, now, 0.0, JobEnd.LOST))
            return Offer("taken", cost)
        if self.draining or self._inside >= len(self._each) - 1:
            return Offer("turned away", cost)
        if key:
            self._remember(now, key)
        self._serial += 1
        self._jobs[call] = job = Job(call, cost, self._serial)
        self._inside += 1
        self._due = -inf
        if len(self._working) < self._slots:
            job.finish = self._served + cost
            insort(self._working, (job.finish, self._serial, job))
        else:
            self._waiting.append(job)
        return Offer("taken", cost)

    def cancel(self, now: float, call: str) -> None:
        """Nobody waits for this attempt any more. One that is over or unknown is no matter."""
        self._settle(now)
        job = self._jobs.get(call)
        if job is None or not job.wanted:
            return
        job.wanted = False
        if job.finish < 0.0:
            self._waiting.remove(job)
        elif self.boxes.stops_on_cancel:
            self._working.remove((job.finish, job.serial, job))
        else:
            return
        self._end(job, now, self._spent(job), JobEnd.CANCELLED)
        self._fill()

    def connect(self, now: float) -> bool:
        """Whether a new connection is taken: the box is there, and holds fewer than it may."""
        self._settle(now)
        if not self.is_up or self.connections >= self.boxes.connections:
            return False
        self.connections += 1
        self._owe(self._connect_cost)
        return True

    def disconnect(self, now: float, start: int | None = None) -> None:
        """A connection is gone; `start` is the one in which it was taken, if that may be over."""
        if self.connections and start in (None, self.start):
            self.connections -= 1

    def probe(self, now: float) -> bool:
        """Whether a probe is answered with yes. False also where nothing answers: see `is_up`."""
        self._settle(now)
        if not self.is_up:
            return False
        self._owe(self._probe_cost)
        return not self.draining

    # What befalls it.

    def pause(self, now: float, until: float) -> None:
        """All work stands still and goes on at `until`. What arrives meanwhile is judged at once; whoever
        drives the box holds back whatever it says till then."""
        self._settle(now)
        if self.is_up and until > now:
            self._paused_until = max(self._paused_until, until)
            self.state = "paused"

    def drain(self, now: float) -> None:
        """It finishes what it has and turns away what is new."""
        self._settle(now)
        self.draining = True

    def slow(self, now: float, part: float) -> None:
        """From now on it does `part` of what it can; 1 ends that. It is the machine: a restart leaves it."""
        self._settle(now)
        self._pace = self.speed * max(part, 1e-6)
        self._due = -inf

    def silence(self, now: float) -> None:
        """The machine vanishes: its work is lost, its connections hear nothing more."""
        self._settle(now)
        if self.is_up:
            self._leave(now, "silent")

    def stop(self, now: float) -> None:
        """The process ends: its work is lost, its connections break."""
        self._settle(now)
        if self.state != "fell":
            self._leave(now, "down")

    def restart(self, now: float) -> bool:
        """It starts again, cold and remembering nothing. False, and nothing changes, if it fell over."""
        self._settle(now)
        if self.state == "fell":
            return False
        self._leave(now, "cold")
        self.start += 1
        self.draining = False
        self._warm_at = now + self.boxes.warm_s
        return True

    # What it says of itself to whoever drives it.

    @property
    def inside(self) -> int:
        """Attempts in work or waiting, also those that nobody wants any more."""
        return self._inside

    @property
    def paused_until(self) -> float:
        """Till when it can say nothing, if it is paused."""
        return self._paused_until

    def capacity(self, now: float) -> float:
        """Standard cores that it can use at this moment, 0 if it is not up. Pauses and crowds don't count."""
        return self.cores * self._pace * self._warmth(now) if self.is_up else 0.0

    def would_take(self, now: float, key: str, work: float) -> float:
        """Seconds that an attempt offered now would take, if no other came; inf where there is no room."""
        self._settle(now)
        if not self.is_up or self._inside >= len(self._each) - 1:
            return inf
        met = self._met.get(key) if key else None
        cost = work if met is None or now - met > self._remembers_s else work * (1.0 - self._saves)
        inside = self._inside + 1
        pace = self._pace * self._warmth(now)
        alone = cost / (pace * self._each[inside])
        if inside <= self._slots:
            return alone
        ahead = sum(finish - self._served for finish, _, _ in self._working)
        ahead += sum(job.cost for job in self._waiting)
        return max(alone, (ahead + cost) / (pace * self._whole[inside]))

    def next_at(self) -> float:
        """When something happens by itself: an end, or a new `state` after a pause or the warm-up."""
        if self._out:
            return self._out[0].at
        if not self.is_up:
            return inf
        if self.state == "paused":
            return self._paused_until
        due = self._due if self._due > -inf else self._finish_at()
        return min(due, self._warm_at) if self.state == "cold" else due

    def advance(self, now: float) -> list[Completion]:
        """What has ended up to `now` and was not told yet, in order of time."""
        self._settle(now)
        out = self._out
        if out:
            self._out = []
        return out

    # How time passes.

    def _warmth(self, now: float) -> float:
        left = self._warm_at - now
        if left <= 0.0:
            return 1.0
        return 1.0 - (1.0 - self.boxes.cold_share) * min(1.0, left / self.boxes.warm_s)

    def _warm_seconds(self, until: float) -> float:
        """Seconds of a warm box that the time from `_last` to `until` is worth."""
        span = until - self._last
        if self._last >= self._warm_at:
            return span
        cold = min(until, self._warm_at) - self._last
        return span - cold + cold * (self._warmth(self._last) + self._warmth(self._last + cold)) / 2.0

    def _finish_at(self) -> float:
        """When the first request in work is done, if nothing changes; inf if there is none."""
        if not self._working:
            self._due = inf
            return inf
        last = self._last
        # Seconds of a warm box that it takes.
        need = (self._working[0][0] - self._served) / (self._pace * self._each[self._inside])
        if self._debt:
            need += self._debt / (self._pace * self._whole[self._inside])
        if last >= self._warm_at or need <= 0.0:
            due = last + need
        else:
            left, warmth = self._warm_at - last, self._warmth(last)
            cold = left * (warmth + 1.0) / 2.0
            if need >= cold:
                due = self._warm_at + need - cold
            else:
                rise = (1.0 - warmth) / left
                due = last + 2.0 * need / (warmth + sqrt(warmth * warmth + 2.0 * rise * need))
        self._due = due
        return due

    def _settle(self, now: float) -> None:
        """Account for the time up to `now`: ends, what moves up from the room, and the box's own changes."""
        if now <= self._last or not self.is_up:
            return
        if self.state == "paused":
            self._last = min(now, self._paused_until)
            if now < self._paused_until:
                return
            self.state = "cold" if self._last < self._warm_at else "warm"
            self._due = -inf
        working = self._working
        while working and (at := self._due if self._due > -inf else self._finish_at()) <= now:
            self._served, _, job = working.pop(0)
            self._last = max(at, self._last)
            self._debt = 0.0
            self._end(job, self._last, job.cost, JobEnd.COMPLETED if job.wanted else JobEnd.UNWANTED)
            self._fill()
        if working or self._debt:
            done = self._warm_seconds(now) * self._pace
            if self._debt:
                whole = self._whole[self._inside]
                paid = min(self._debt, done * whole)
                self._debt -= paid
                done -= paid / whole
            if working:
                # Rounding must not carry it past an end that is still to come.
                self._served = min(self._served + done * self._each[self._inside], working[0][0])
        self._last = now
        if self.state == "cold" and now >= self._warm_at:
            self.state = "warm"
            self._forget_sent()

    # The rest.

    def _owe(self, work: float) -> None:
        self._debt += work
        self._due = -inf

    def _fill(self) -> None:
        """The next one that waits goes into a free slot."""
        if self._waiting and len(self._working) < self._slots:
            job = self._waiting.popleft()
            job.finish = self._served + job.cost
            insort(self._working, (job.finish, job.serial, job))

    def _spent(self, job: Job) -> float:
        """Work done on it so far."""
        return max(0.0, job.cost - (job.finish - self._served)) if job.finish >= 0.0 else 0.0

    def _end(self, job: Job, at: float, spent: float, end: JobEnd) -> None:
        del self._jobs[job.call]
        self._inside -= 1
        self._due = -inf
        self._out.append(Completion(job.call, at, spent, end))

    def _leave(self, now: float, state: str) -> None:
        """All that a process holds goes with it."""
        for job in list(self._jobs.values()):
            self._end(job, now, self._spent(job), JobEnd.LOST)
        self._working.clear()
        self._waiting.clear()
        self._met.clear()
        self._forget_sent()
        self._served = self._debt = 0.0
        self._due = inf
        self.connections = 0
        self._paused_until = self._last = now
        self.state = state
        self.is_up = state == "cold"

    def _remember(self, now: float, key: str) -> None:
        met = self._met
        met.pop(key, None)
        met[key] = now
        if len(met) > self.boxes.remembers_keys:
            del met[next(iter(met))]

    def _is_too_much(self, now: float, cost: float) -> bool:
        """Rule 4, with this much work more."""
        sent = self._sent
        sent.append((now, cost))
        self._sent_sum += cost
        self._sent_square += cost * cost
        since = now - self.boxes.fall_s
        while sent[0][0] <= since:
            _, old = sent.popleft()
            self._sent_sum -= old
            self._sent_square -= old * old
        # The sum of independent requests strays by the root of the sum of their squares.
        chance = self.boxes.fall_chance * sqrt(max(0.0, self._sent_square))
        return self._sent_sum - chance > self.boxes.fall_multiple * self.boxes.fall_s * self.capacity(now)

    def _forget_sent(self) -> None:
        self._sent.clear()
        self._sent_sum = self._sent_square = 0.0
