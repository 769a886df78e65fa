"""Model of one backend: its capacity, its running and queued requests, and its response to faults.

Invariants of this module:

1. Work is measured in seconds of a standard core. Running requests share the backend evenly, none faster
   than one core. Requests without a free slot queue in order; requests beyond the queue's limit are rejected
   and cost nothing.
2. Connections and probes cost work that is done before all requests, on all cores.
3. Throughput is that of the cores, times the warm-up factor, times the remaining speed of a slowed machine,
   less the loss by crowding. The warm-up factor rises linearly with time from `cold_share` at the start to 1
   after `warm_s`.
4. A cold backend crashes ("fell") once the work sent to it within the last `fall_s`, less `fall_chance`
   standard deviations of that sum's random variation, exceeds `fall_multiple` times its throughput for
   `fall_s` at its current capacity. Rejected requests count as sent. A backend that fell stays down.
5. Every accepted attempt ends exactly once, with one `Completion`.

Callers pass the current time `now` (s), which never decreases. `next_at()` returns the time of the next
internal event.
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
    """The result of offering an arrived attempt to a backend."""

    verdict: str  # "taken" or "turned away", as in `records.Arrived`; "unheard" if the backend is not up
    cost: float  # s of a standard core; lower for a key that the backend has cached


class JobEnd(Enum):
    """How the work on an attempt ended."""

    COMPLETED = "whole"  # completed; the response is due
    UNWANTED = "unwanted"  # completed although it had been cancelled
    CANCELLED = "stopped"  # stopped by a cancel
    LOST = "lost"  # the backend stopped or crashed


class Completion(NamedTuple):
    """The end of the work on an attempt."""

    call: str
    at: float
    spent: float  # s of a standard core
    end: JobEnd

    @property
    def wanted(self) -> bool:
        """Whether a response is sent for the attempt."""
        return self.end is JobEnd.COMPLETED


class Job:
    """An accepted attempt."""

    __slots__ = ("call", "cost", "finish", "serial", "wanted")

    def __init__(self, call: str, cost: float, serial: int) -> None:
        self.call = call
        self.cost = cost
        self.serial = serial
        self.finish = -1.0  # value of the backend's `_served` at which the job is done; -1 while queued
        self.wanted = True


@lru_cache(maxsize=64)
def usable_cores(cores: int, boxes: Boxes) -> tuple[tuple[float, ...], tuple[float, ...]]:
    """Return the cores used per running request and in total, by the number of accepted requests (0, 1, ...).

    Both are for a warm backend of speed 1."""
    slots = boxes.slots_per_core * cores
    capacity = slots + boxes.waiting_per_core * cores
    cores_each, cores_total = [], []
    for accepted in range(capacity + 1):
        over = max(0.0, accepted / capacity - boxes.crowded_from) / max(1.0 - boxes.crowded_from, 1e-9)
        left = 1.0 - boxes.crowded_loss * over
        cores_each.append(left * min(1.0, cores / max(1, min(accepted, slots))))
        cores_total.append(left * cores)
    return tuple(cores_each), tuple(cores_total)


class EmulatedBackend:
    """A backend of one kind in one zone. Its speed, cache and probe cost are drawn from `seed`."""

    __slots__ = (
        "_accepted",
        "_cache_s",
        "_cache_saving",
        "_cached_at",
        "_completions",
        "_connect_cost",
        "_core_speed",
        "_cores_each",
        "_cores_total",
        "_jobs",
        "_next_end_at",
        "_now",
        "_overhead",
        "_paused_until",
        "_probe_cost",
        "_queued",
        "_running",
        "_sent",
        "_sent_square_sum",
        "_sent_sum",
        "_serial",
        "_served",
        "_slots",
        "_warm_at",
        "boxes",
        "connections",
        "cores",
        "draining",
        "is_up",
        "kind",
        "name",
        "speed",
        "start",
        "state",
        "zone",
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
        self.is_up = True  # whether it receives requests; a paused backend does, and answers later
        self.draining = False
        self.connections = 0
        self._cache_s = draw.uniform(*boxes.remembers_s)
        self._cache_saving = draw.uniform(*boxes.remembered_saves)
        self._probe_cost = draw.uniform(*boxes.probe_work_ms) / 1e3
        self._connect_cost = boxes.connect_work_ms / 1e3
        self._slots = boxes.slots_per_core * kind.cores
        self._cores_each, self._cores_total = usable_cores(kind.cores, boxes)
        self._warm_at = now if warm else now + boxes.warm_s
        self._now = now  # the model's state is updated up to this time
        self._paused_until = now
        self._core_speed = self.speed  # of one core, when warm and not crowded
        self._next_end_at = inf  # the next completion, if nothing changes; -inf while not computed
        self._served = 0.0  # s of a standard core that a request running since the start would have had
        self._overhead = 0.0  # s of a standard core for connections and probes, done before requests
        self._accepted = 0
        self._serial = 0
        self._jobs: dict[str, Job] = {}
        self._running: list[tuple[float, int, Job]] = []  # sorted by `finish`
        self._queued: deque[Job] = deque()
        self._cached_at: dict[str, float] = {}  # key to the time of its last request, oldest first
        self._sent: deque[tuple[float, float]] = deque()  # while cold: arrival time and work
        self._sent_sum = 0.0
        self._sent_square_sum = 0.0
        self._completions: list[Completion] = []

    # Incoming requests, connections and probes.

    def offer(self, now: float, call: str, key: str, work: float) -> Offer:
        """Accept or reject an attempt whose last byte has arrived.

        `work` (s of a standard core) is its cost if `key` ("" for none) is not cached. Raises ValueError if
        an attempt with the id `call` is still in progress. The attempt may overload a cold backend: check
        `state` afterwards."""
        self._update(now)
        if not self.is_up:
            return Offer("unheard", 0.0)
        if call in self._jobs:
            raise ValueError(f"{self.name} still has {call}")
        cached = self._cached_at.get(key) if key else None
        cost = work if cached is None or now - cached > self._cache_s else work * (1.0 - self._cache_saving)
        if now < self._warm_at and self._overloads(now, cost):
            self._terminate(now, "fell")
            self._completions.append(Completion(call, now, 0.0, JobEnd.LOST))
            return Offer("taken", cost)
        if self.draining or self._accepted >= len(self._cores_each) - 1:
            return Offer("turned away", cost)
        if key:
            self._cache(now, key)
        self._serial += 1
        self._jobs[call] = job = Job(call, cost, self._serial)
        self._accepted += 1
        self._next_end_at = -inf
        if len(self._running) < self._slots:
            job.finish = self._served + cost
            insort(self._running, (job.finish, self._serial, job))
        else:
            self._queued.append(job)
        return Offer("taken", cost)

    def cancel(self, now: float, call: str) -> None:
        """Cancel an attempt. Has no effect if it has ended or is unknown."""
        self._update(now)
        job = self._jobs.get(call)
        if job is None or not job.wanted:
            return
        job.wanted = False
        if job.finish < 0.0:
            self._queued.remove(job)
        elif self.boxes.stops_on_cancel:
            self._running.remove((job.finish, job.serial, job))
        else:
            return
        self._end_job(job, now, self._work_done(job), JobEnd.CANCELLED)
        self._start_next()

    def connect(self, now: float) -> bool:
        """Accept a new connection if the backend is up and below its limit; return whether it did."""
        self._update(now)
        if not self.is_up or self.connections >= self.boxes.connections:
            return False
        self.connections += 1
        self._add_overhead(self._connect_cost)
        return True

    def disconnect(self, now: float, start: int | None = None) -> None:
        """Count a closed connection. `start` is the incarnation that accepted it; older ones are ignored."""
        if self.connections and start in (None, self.start):
            self.connections -= 1

    def probe(self, now: float) -> bool:
        """Return whether a health probe succeeds. False also if the backend is not up: see `is_up`."""
        self._update(now)
        if not self.is_up:
            return False
        self._add_overhead(self._probe_cost)
        return not self.draining

    # Faults and administrative actions.

    def pause(self, now: float, until: float) -> None:
        """Suspend all work until `until`. Attempts are still accepted or rejected on arrival; the caller
        delays all responses until then."""
        self._update(now)
        if self.is_up and until > now:
            self._paused_until = max(self._paused_until, until)
            self.state = "paused"

    def drain(self, now: float) -> None:
        """Complete accepted attempts and reject new ones."""
        self._update(now)
        self.draining = True

    def slow(self, now: float, part: float) -> None:
        """Run at `part` of full speed from now on; 1 restores it. A restart keeps the machine's speed."""
        self._update(now)
        self._core_speed = self.speed * max(part, 1e-6)
        self._next_end_at = -inf

    def silence(self, now: float) -> None:
        """Fail the machine without closing its connections: its work is lost, its peers get no reply."""
        self._update(now)
        if self.is_up:
            self._terminate(now, "silent")

    def stop(self, now: float) -> None:
        """End the process: its work is lost, its connections break."""
        self._update(now)
        if self.state != "fell":
            self._terminate(now, "down")

    def restart(self, now: float) -> bool:
        """Start again, cold and with an empty cache. Returns False and does nothing if the backend fell."""
        self._update(now)
        if self.state == "fell":
            return False
        self._terminate(now, "cold")
        self.start += 1
        self.draining = False
        self._warm_at = now + self.boxes.warm_s
        return True

    # State for the caller.

    @property
    def inside(self) -> int:
        """The number of running and queued attempts, cancelled ones included."""
        return self._accepted

    @property
    def paused_until(self) -> float:
        """When the pause ends, if the backend is paused."""
        return self._paused_until

    def capacity(self, now: float) -> float:
        """Return the standard cores usable at `now`, 0 if not up. Pauses and crowding are ignored."""
        return self.cores * self._core_speed * self._warm_part(now) if self.is_up else 0.0

    def would_take(self, now: float, key: str, work: float) -> float:
        """Return the response time (s) of an attempt offered now if no other came; inf if rejected."""
        self._update(now)
        if not self.is_up or self._accepted >= len(self._cores_each) - 1:
            return inf
        cached = self._cached_at.get(key) if key else None
        cost = work if cached is None or now - cached > self._cache_s else work * (1.0 - self._cache_saving)
        accepted = self._accepted + 1
        speed = self._core_speed * self._warm_part(now)
        alone = cost / (speed * self._cores_each[accepted])
        if accepted <= self._slots:
            return alone
        ahead = sum(finish - self._served for finish, _, _ in self._running)
        ahead += sum(job.cost for job in self._queued)
        return max(alone, (ahead + cost) / (speed * self._cores_total[accepted]))

    def next_at(self) -> float:
        """Return the time of the next internal event: an attempt's end, or the end of a pause or warm-up."""
        if self._completions:
            return self._completions[0].at
        if not self.is_up:
            return inf
        if self.state == "paused":
            return self._paused_until
        due = self._next_end_at if self._next_end_at > -inf else self._next_end()
        return min(due, self._warm_at) if self.state == "cold" else due

    def advance(self, now: float) -> list[Completion]:
        """Return the completions up to `now` that were not returned before, in order of time."""
        self._update(now)
        out = self._completions
        if out:
            self._completions = []
        return out

    # Progress of time.

    def _warm_part(self, now: float) -> float:
        left = self._warm_at - now
        if left <= 0.0:
            return 1.0
        return 1.0 - (1.0 - self.boxes.cold_share) * min(1.0, left / self.boxes.warm_s)

    def _warm_seconds(self, until: float) -> float:
        """Return the seconds of a warm backend that equal the time from `_now` to `until`."""
        span = until - self._now
        if self._now >= self._warm_at:
            return span
        cold = min(until, self._warm_at) - self._now
        return span - cold + cold * (self._warm_part(self._now) + self._warm_part(self._now + cold)) / 2.0

    def _next_end(self) -> float:
        """Return when the first running request completes, if nothing changes; inf if none runs."""
        if not self._running:
            self._next_end_at = inf
            return inf
        last = self._now
        # In seconds of a warm backend.
        need = (self._running[0][0] - self._served) / (self._core_speed * self._cores_each[self._accepted])
        if self._overhead:
            need += self._overhead / (self._core_speed * self._cores_total[self._accepted])
        if last >= self._warm_at or need <= 0.0:
            due = last + need
        else:
            left, warmth = self._warm_at - last, self._warm_part(last)
            cold = left * (warmth + 1.0) / 2.0
            if need >= cold:
                due = self._warm_at + need - cold
            else:
                rise = (1.0 - warmth) / left
                due = last + 2.0 * need / (warmth + sqrt(warmth * warmth + 2.0 * rise * need))
        self._next_end_at = due
        return due

    def _update(self, now: float) -> None:
        """Advance the model to `now`: end and start attempts, end a pause or the warm-up."""
        if now <= self._now or not self.is_up:
            return
        if self.state == "paused":
            self._now = min(now, self._paused_until)
            if now < self._paused_until:
                return
            self.state = "cold" if self._now < self._warm_at else "warm"
            self._next_end_at = -inf
        running = self._running
        while running and (at := self._next_end_at if self._next_end_at > -inf else self._next_end()) <= now:
            self._served, _, job = running.pop(0)
            self._now = max(at, self._now)
            self._overhead = 0.0
            self._end_job(
                job,
                self._now,
                job.cost,
                JobEnd.COMPLETED if job.wanted else JobEnd.UNWANTED,
            )
            self._start_next()
        if running or self._overhead:
            done = self._warm_seconds(now) * self._core_speed
            if self._overhead:
                total = self._cores_total[self._accepted]
                paid = min(self._overhead, done * total)
                self._overhead -= paid
                done -= paid / total
            if running:
                # Rounding must not move `_served` past the end of a request that still runs.
                self._served = min(self._served + done * self._cores_each[self._accepted], running[0][0])
        self._now = now
        if self.state == "cold" and now >= self._warm_at:
            self.state = "warm"
            self._clear_sent()

    # Helpers.

    def _add_overhead(self, work: float) -> None:
        self._overhead += work
        self._next_end_at = -inf

    def _start_next(self) -> None:
        """Start the next queued job if a slot is free."""
        if self._queued and len(self._running) < self._slots:
            job = self._queued.popleft()
            job.finish = self._served + job.cost
            insort(self._running, (job.finish, job.serial, job))

    def _work_done(self, job: Job) -> float:
        """Return the work done on `job` so far."""
        return max(0.0, job.cost - (job.finish - self._served)) if job.finish >= 0.0 else 0.0

    def _end_job(self, job: Job, at: float, spent: float, end: JobEnd) -> None:
        del self._jobs[job.call]
        self._accepted -= 1
        self._next_end_at = -inf
        self._completions.append(Completion(job.call, at, spent, end))

    def _terminate(self, now: float, state: str) -> None:
        """Discard the state of the process, which ends or restarts in `state`."""
        for job in list(self._jobs.values()):
            self._end_job(job, now, self._work_done(job), JobEnd.LOST)
        self._running.clear()
        self._queued.clear()
        self._cached_at.clear()
        self._clear_sent()
        self._served = self._overhead = 0.0
        self._next_end_at = inf
        self.connections = 0
        self._paused_until = self._now = now
        self.state = state
        self.is_up = state == "cold"

    def _cache(self, now: float, key: str) -> None:
        cached = self._cached_at
        cached.pop(key, None)
        cached[key] = now
        if len(cached) > self.boxes.remembers_keys:
            del cached[next(iter(cached))]

    def _overloads(self, now: float, cost: float) -> bool:
        """Whether another `cost` of work overloads the cold backend (invariant 4)."""
        sent = self._sent
        sent.append((now, cost))
        self._sent_sum += cost
        self._sent_square_sum += cost * cost
        since = now - self.boxes.fall_s
        while sent[0][0] <= since:
            _, old = sent.popleft()
            self._sent_sum -= old
            self._sent_square_sum -= old * old
        # The standard deviation of a sum of independent requests is the root of the sum of their squares.
        chance = self.boxes.fall_chance * sqrt(max(0.0, self._sent_square_sum))
        return self._sent_sum - chance > self.boxes.fall_multiple * self.boxes.fall_s * self.capacity(now)

    def _clear_sent(self) -> None:
        self._sent.clear()
        self._sent_sum = self._sent_square_sum = 0.0
