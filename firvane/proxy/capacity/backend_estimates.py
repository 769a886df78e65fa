"""What is believed of each box, from what is heard of it: its room, its pace, and which attempts still count.

Rules that hold here and nowhere else:

1. An attempt counts in its box's `own` from its send to its end, or until it is taken for lost; it leaves
   once.
2. It is lost when it is late and some that were sent to the same box after it have been answered before it,
   or when it is long over its time while single attempts are being lost everywhere. That says something of
   the path, nothing of the box: no room, pace or health follows from a lost attempt.
3. A box is silent when it has ended nothing since a request was sent, for longer than its usual gaps, with
   enough attempts overdue that chance does not explain it where single ones are being lost. A gap is a time
   in which something was out there, at first an answer's usual time: a box that is seldom asked says nothing
   for long, and where its usual answer passed for a silence a second copy of most requests went out.
4. A room is cut by turn-aways and by answers that take most of the aim though their work is light; it is
   grown by other answers near it. No evidence, no optimism: but at the start of the proxy, when a room is a
   guess, answers near it grow it quickly.
5. What a kind can do is what its warm boxes were seen to do, as answers a second to all proxies; where these
   tell each other nothing each takes itself for one like all. The best of it counts, and is forgotten slowly:
   a day that asks little shows little. What a cold box can do is what the rules allow for of that, or the
   part of its kind's pace that its answers show, less a margin: the work sent to it stays under the rule's
   line where the hints are right in the mean.
6. One failure of a connection says nothing of the box; the next answer disproves all of them.
7. A box whose table of connections is full takes from a proxy what that has connections for. Without one it
   is left to the proxies that have: each new connection that it turns away costs it a handshake.
8. A box that says of most answers that it failed does so quickly, and its small count of attempts out would
   draw ever more. It is left alone, and tried one attempt at a time until most trials go well. In a large
   fleet a proxy sees too little of a box to tell, and what all leave alone at once is missed: there it stays.
"""

from __future__ import annotations

import math
import random

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, InFlightAttempt
from firvane.proxy.capacity import class_counts

FADE = 3.0  # s that halve what was seen of slowness
GUESS = 5.0  # s after the start in which rooms grow quickly; servers that come later start cold
DOWN, DOWN_FAILS = 1.0, 4  # s and failures without an answer that are a process's end, not a connection's
UNMADE = 0.5  # s in which the count of connections that a working server did not take halves
CROWDED = 10.0  # s that a full table is minded
DRIFT = 0.02  # part of the best rate that is forgotten a second
SILENCES = 2.5  # usual gaps between a server's answers that make a silence
LONG, LATE = 4.0, 2.5  # usual times without an answer that are long; that are enough where it was overtaken
HURRY = 1.7  # the same while single attempts are being lost
PASSED = 2  # later attempts answered before it that make a late one lost
FORGET = 0.02  # how far one end moves the part of attempts that are lost
RECENT, SETTLED = 0.9, 0.99  # what of the times of one server, and of all of a kind, is kept with each answer
ENOUGH, SHOWN = 5.0, 0.6  # answers that show a cold server's pace; of what they show, what is built on
CHANCE = 0.01  # of so many attempts being lost together: less than that is a silence
FLOW, MANY = 0.9, 40.0  # kept from window to window of what a kind did; answers that tell its rate
STEP, LEAST_SIZE = 1.25, 0.2  # times by which a kind's size must differ to be changed; the smallest
SLOW, LIGHT = 0.8, 0.2  # of the aim: an answer's time that is too long, for work of less than that
CROWDING, CROWD = 0.05, 0.25  # how far one end moves the part that find no room; from which copies only crowd
PLACE = 1.0  # s for which a box without a place for a first connection is left alone; doubled to eight times
FAULT, FAULTY = 0.2, 0.5  # how far one answer moves the part that say they failed; left alone from which
AFTER = 1.0  # s from a trial that failed to the next
TRIAL = 0.2  # s of all trials of a large fleet at a box that is gone that each proxy is given
THIN = 12  # proxies from which on none sees enough of a kind alone to tell its rate
RARE = 0.03  # part lost below which a single attempt is enough to doubt its box


class Flow:
    """What the warm servers of a kind have done of late."""

    def __init__(self, pooled: bool) -> None:
        self.pooled = pooled  # peers tell of their answers, too
        self.answers = 0.0  # to this proxy, or to all
        self.own = 0.0  # attempts out there from here, window by window
        self.all = 0.0  # and from all proxies
        self.span = 0.0  # s and weight of servers

    def fade(self) -> None:
        self.answers *= FLOW
        self.own *= FLOW
        self.all *= FLOW
        self.span *= FLOW

    def rate(self) -> float:
        """Answers a second and weight to all proxies; 0 where too few came to tell.

        Where only the own ones are known, all are answered alike: their parts are those of the attempts out.
        """
        if self.answers < MANY or not (self.pooled or self.own):
            return 0.0
        if self.pooled:
            return self.answers / self.span
        return self.answers / self.span * self.all / self.own


class BackendEstimates:
    """One proxy's beliefs about all boxes."""

    def __init__(self, settings: api.Settings, dice: random.Random, now: float) -> None:
        """`dice` draws the spread of retry times; times are in seconds."""
        self.settings, self.rng, self.started = settings, dice, now
        self.typical_duration = [cls.latency_target / 2 for cls in settings.classes]  # s that an answer takes
        self.work_pace = dict[
            int, float
        ]()  # s that a second of work takes, queues included, by kind of server
        self.relative_rate = dict[int, float]()  # what a server of each kind can do, of `best`
        self.kind_windows = dict[int, Flow]()
        self.best_rate = dict[int, float]()  # best answers a second and weight, by kind
        self.kind_sizes = dict[int, float]()  # `kinds` in steps, changed seldom: keys move with them
        self.fleet_rate = 0.0  # answers a second and weight
        self.warm_pace = dict[int, tuple[float, float]]()  # s taken and work hinted, warm servers
        self.in_flight = dict[
            tuple[int, int], InFlightAttempt
        ]()  # attempts that have not ended, by request and number
        self.is_large_fleet = settings.proxies >= THIN
        self.is_pooled = self.is_large_fleet and settings.limits.peers
        self.served_counts = dict[
            int, int
        ]()  # answers of warm servers since the start, by kind, to tell the peers
        self.peer_counts = class_counts.Heard()
        self.rejected_fraction = 0.0  # part of attempts that find no room
        self.loss_rate = 0.0  # part of attempts that are never answered though their box answers others

    def retune(self, settings: api.Settings) -> None:
        """Other settings, in which a class that is known has its number still; what was learnt is kept."""
        known = {
            cls.name: took for cls, took in zip(self.settings.classes, self.typical_duration, strict=True)
        }
        new = settings.classes[len(self.typical_duration) :]
        self.typical_duration += [
            min(cls.latency_target, known.get(cls.name, cls.latency_target / 2)) for cls in new
        ]
        before, self.settings = self.settings, settings
        if settings.limits.peers is not before.limits.peers:
            # Guards against taking one's own answers for those of all, or the other way round, where a SIGHUP
            # lets proxies tell each other of theirs, or no longer: both are counted anew.
            self.is_pooled, self.kind_windows = self.is_large_fleet and settings.limits.peers, {}

    # What is asked

    def power(self, server: Backend, now: float) -> float:
        """Weight, less while its answers take longer than its peers': acts before errors show."""
        size = self.kind_sizes.get(server.entry.kind, 1.0) if self.is_pooled else 1.0  # else the room tells
        return server.weight * size * server.capacity * min(1.0, 1.5 / slowness(server, now))

    def usual_duration(self, cls: int, server: Backend, work: float | None) -> float:
        """s that an answer to such a request usually takes there."""
        return max(self.typical_duration[cls], self.work_pace.get(server.entry.kind, 1.0) * (work or 0.0))

    @property
    def represented_proxies(self) -> int:
        """Proxies that one's figures stand for: all of the tier where none tells another of its own."""
        return 1 if self.settings.limits.peers else self.settings.proxies

    def is_in_slow_start(self, server: Backend, now: float) -> bool:
        return server.started_at is not None and now < server.started_at + self.settings.rules.slow_start

    def slow_start_fraction(self, server: Backend, now: float) -> float:
        """The part of its all that a cold server can do: what the rules allow for, or more where it shows."""
        rules = self.settings.rules
        age = min(1.0, max(0.0, now - (server.started_at or 0.0)) / rules.slow_start)
        sure = age + rules.start_capacity * (1.0 - age)
        took, work = self.warm_pace.get(server.entry.kind, (0.0, 0.0))
        if server.response_count < ENOUGH or not work or not server.duration_sum:
            return sure
        return max(sure, min(1.0, SHOWN * took / work * server.work_sum / server.duration_sum))

    def is_attempt_lost(self, mark: InFlightAttempt, now: float) -> bool:
        """Whether an attempt counts no more: it is late, and others say that its box is not why."""
        age = now - mark.sent_at
        if age < self.lateness_timeout(mark.usual_duration):
            return False
        return mark.overtaken_by >= PASSED or (
            age >= LONG * mark.usual_duration and (mark.overtaken_by > 0 or self.loss_rate >= RARE)
        )

    def lateness_timeout(self, usual: float) -> float:
        """s after which an attempt is late: sooner while single attempts are being lost."""
        return (HURRY if self.loss_rate >= RARE else LATE) * usual

    def silence_timeout_at(self, mark: InFlightAttempt, server: Backend) -> float:
        """When it has said nothing for too long; it has nothing to say while nothing is out there."""
        return self._owing_since(mark, server) + SILENCES * (server.response_gap or mark.usual_duration)

    @staticmethod
    def _owing_since(mark: InFlightAttempt, server: Backend) -> float:
        """Since when something is out there of which it has said nothing: rule 3."""
        return max(server.last_response_at, server.attempts[0].sent_at if server.attempts else mark.sent_at)

    def is_silent(self, mark: InFlightAttempt, server: Backend, now: float) -> bool:
        """Whether the box has ended nothing since, for longer than it usually does."""
        if server.last_response_at >= mark.sent_at or now < self.silence_timeout_at(mark, server):
            return False
        due = sum(1 for other in server.attempts if now - other.sent_at >= LATE * other.usual_duration)
        return self.loss_rate < RARE or self.loss_rate**due < CHANCE

    # What is heard

    def on_attempt_sent(
        self, server: Backend, cls: int, work: float | None, attempt: tuple[int, int], now: float
    ) -> InFlightAttempt:
        """An attempt begins: its request's class and hint, its request and number."""
        mark = self.in_flight[attempt] = InFlightAttempt(now, self.usual_duration(cls, server, work))
        server.attempts.append(mark)
        server.in_flight += 1
        return mark

    def mark_lost(self, mark: InFlightAttempt, server: Backend) -> None:
        """An attempt is taken for lost: its place in the room is free."""
        mark.is_lost = True
        self._leave(server, mark)
        self.loss_rate += FORGET * (1.0 - self.loss_rate)

    def _leave(self, server: Backend, mark: InFlightAttempt) -> None:
        if mark in server.attempts:  # else the list has named the server anew meanwhile
            server.attempts.remove(mark)
            server.in_flight -= 1

    def on_attempt_ended(
        self, server: Backend | None, request: api.Request | None, outcome: api.Outcome, now: float
    ) -> bool:
        """Follow a server's health from the end of an attempt; whether to close idle connections there.

        `server` is None where the list names it no more, `request` where its answer was given before.
        """
        mark = self.in_flight.pop((outcome.id, outcome.attempt), None)
        if server is None or mark is None:
            return False
        result, close, lost = outcome.result, False, mark.is_lost
        if result not in (api.Result.TIMEOUT, api.Result.CANCELLED, api.Result.NOT_SENT):
            gap = min(1.0, now - self._owing_since(mark, server))
            server.response_gap = (
                server.response_gap + 0.2 * (gap - server.response_gap) if server.response_gap else gap
            )
            server.last_response_at = now
        if not lost:
            self._leave(server, mark)
        if result in (api.Result.OK, api.Result.ERROR):
            for other in server.attempts:
                if other.sent_at >= mark.sent_at:
                    break
                other.overtaken_by += 1
        if self.is_large_fleet and result in (api.Result.OK, api.Result.OVERLOADED):
            self.rejected_fraction += CROWDING * ((result is api.Result.OVERLOADED) - self.rejected_fraction)
        failed = result is api.Result.ERROR and not outcome.finished
        if not self.is_large_fleet and (failed or result is api.Result.OK):
            self._judged(server, failed, now)
        if result is api.Result.OK:
            if not self.is_in_slow_start(server, now):
                self._did(server.entry.kind, 1)
                self.served_counts[server.entry.kind] = self.served_counts.get(server.entry.kind, 0) + 1
            self.loss_rate -= FORGET * self.loss_rate
            close = now < server.connections_full_at + CROWDED
            self._answered(server, request, outcome.duration, now)
        elif result in (api.Result.CONNECT_FAILED, api.Result.RESET):
            close = self._broke(server, result, outcome.duration, now)
        elif result is api.Result.CONNECTIONS_FULL:
            self._unplaced(server, now)
        elif result is api.Result.OVERLOADED:
            if now > server.capacity_cut_at + 0.1:
                server.capacity, server.capacity_cut_at = max(1.0, 0.85 * server.capacity), now
            server.retry_at = max(server.retry_at, now + 0.03)
        if request and not lost:
            self._timed(server, request, result, outcome.duration, now)
            if result is api.Result.OK and request.work:
                self._paced(server, request.work, outcome.duration, now)
        return close

    def _answered(self, server: Backend, request: api.Request | None, took: float, now: float) -> None:
        # Of a box that was down a proxy among many meets few failures.
        enough = server.connection_failures > 0 if self.is_large_fleet else server.failures >= DOWN_FAILS
        if enough and now > server.failing_since + DOWN:
            server.started_at, server.response_count = (
                now,
                0.0,
            )  # it was down whatever the list says: as if just started
        server.rejected_first_connections = 0
        if server.failures:
            server.failures, server.connection_failures, server.retry_at = (
                0,
                0,
                now,
            )  # what kept it out is disproved
        aim = self.settings.classes[request.class_id].latency_target if request else took
        if request and took > SLOW * aim and (request.work or 0.0) < LIGHT * aim:
            if now > server.capacity_cut_at + aim:  # what waits there would be late: as if turned away
                server.capacity, server.capacity_cut_at = max(1.0, 0.9 * server.capacity), now
        elif server.in_flight + 1 > 0.7 * server.capacity:
            # It was near its room and kept up; at the start of the proxy its room is only a guess.
            guess = not server.capacity_cut_at and now < self.started + GUESS
            server.capacity += 0.5 if guess else 0.1 / server.capacity

    def _judged(self, server: Backend, failed: bool, now: float) -> None:
        """It has served, or said that it failed (a request that is at fault itself is no sign of that)."""
        before, server.error_rate = (
            server.error_rate,
            server.error_rate + FAULT * (failed - server.error_rate),
        )
        if failed and server.error_rate > FAULTY:
            server.retry_at = max(server.retry_at, now + AFTER * self.rng.uniform(0.75, 1.25))
        elif before > FAULTY:  # a trial has gone well: the next one may follow
            server.retry_at = now + AFTER / 8

    def _unplaced(self, server: Backend, now: float) -> None:
        """Its connections have run out: ours are enough for what is out there, or there is none."""
        if server.in_flight:
            server.capacity, server.capacity_cut_at = float(server.in_flight), now
        else:
            pause = PLACE * 2 ** min(3, server.rejected_first_connections)
            server.retry_at = max(server.retry_at, now + pause * self.rng.uniform(0.75, 1.25))
            server.rejected_first_connections += 1

    def _timed(
        self, server: Backend, request: api.Request, result: api.Result, took: float, now: float
    ) -> None:
        """What the time of an end says of the server's pace."""
        if result is api.Result.OK and request.work:
            pace, kind = took / request.work, server.entry.kind
            self.work_pace[kind] = self.work_pace.get(kind, 1.0) * 0.98 + 0.02 * min(10.0, pace)
        if result in (api.Result.OK, api.Result.TIMEOUT):
            typical = self.typical_duration[request.class_id]
            if result is api.Result.OK:
                self.typical_duration[request.class_id] += 0.01 * (took - typical)
            ratio = min(8.0, took / typical)
            server.relative_latency, server.relative_latency_at = (
                0.8 * slowness(server, now) + 0.2 * ratio,
                now,
            )

    def _paced(self, server: Backend, work: float, took: float, now: float) -> None:
        """How quickly it works, queues included, beside servers of its kind that are warm."""
        server.duration_sum, server.work_sum = (
            RECENT * server.duration_sum + took,
            RECENT * server.work_sum + work,
        )
        server.response_count = RECENT * server.response_count + 1.0
        if not self.is_in_slow_start(server, now):
            kind = server.entry.kind
            known, hinted = self.warm_pace.get(kind, (0.0, 0.0))
            self.warm_pace[kind] = SETTLED * known + took, SETTLED * hinted + work

    def _broke(self, server: Backend, result: api.Result, took: float, now: float) -> bool:
        """A connection ended or was not made: the server is left alone only if it seems to be why."""
        unmade, close = result is api.Result.CONNECT_FAILED, False
        if unmade and server.in_flight:  # it holds others of ours
            server.failed_extra_connections = 1.0 + server.failed_extra_connections * math.exp2(
                (server.failed_extra_connections_at - now) / UNMADE
            )
            server.failed_extra_connections_at = now
            if (
                server.failed_extra_connections > 2.5
            ):  # not one alone: its connections have run out, our idle ones among them
                server.connections_full_at, close = now, True
        else:
            server.failing_since = server.failing_since if server.connection_failures else now
            server.failures += 1
            server.connection_failures += 1
        waited = unmade and took > 0.9 * self.settings.limits.connect_timeout
        if (
            waited or server.failures > 1 or now == server.connections_full_at
        ):  # one alone says nothing of the server
            base = 0.25 if waited else 0.05  # s; what fails at once costs little to try
            pause = base * 2 ** min(6, server.failures)
            if waited and self.is_large_fleet:
                # A machine that is gone comes back cold: the first trials of all must not push it over.
                pause = max(pause, TRIAL * self.settings.proxies)
            server.retry_at = now + pause * self.rng.uniform(0.75, 1.25)
        return close

    def on_silence(self, server: Backend, now: float) -> None:
        """It is silent: it gets nothing for a while, and then one attempt at a time."""
        server.retry_at = max(server.retry_at, now + 0.25 * 2 ** min(4, max(1, server.failures)))
        server.failures = max(
            server.failures, 2
        )  # from now on one trial at a time; a cut does not make it cold

    # What is learnt of the fleet

    def _did(self, kind: int, answers: int) -> None:
        if flow := self.kind_windows.get(kind):
            flow.answers += answers

    def encode_counts(self, now: float) -> bytes:
        """What the peers are to know of it, once a row."""
        return class_counts.pack(self.served_counts, now)

    def on_peer_message(self, sender: int, payload: bytes) -> bool:
        """Whether a message is a peer's counts; they are taken in. Raises as `kinds.unpack` does."""
        if payload[:1] != class_counts.MARK:
            return False
        for kind, answers in self.peer_counts.more(sender, payload).items():
            if self.is_pooled:
                self._did(kind, answers)
        return True

    def update_rates(self, warm: list[Backend], served: float, fleet: float, window: float) -> None:
        """Once a window: what a warm server of each kind can do, and the best rate seen.

        `warm` are the servers known to be warm, `served` the answers a second of all proxies, `fleet` the
        weight of all servers.
        """
        self.fleet_rate = max(self.fleet_rate * (1.0 - DRIFT * window), served / fleet)
        for server in warm:
            flow = self.kind_windows.setdefault(server.entry.kind, Flow(self.is_pooled))
            flow.own += server.in_flight
            flow.all += server.in_flight + server.peers_in_flight
            flow.span += server.weight * window
        for kind in sorted(self.kind_windows):
            rate = self.kind_windows[kind].rate() * self.represented_proxies
            self.best_rate[kind] = max(self.best_rate.get(kind, 0.0) * (1.0 - DRIFT * window), rate)
            self.kind_windows[kind].fade()
        most = max(self.best_rate.values(), default=0.0)
        for kind, rate in self.best_rate.items():
            if rate and self.fleet_rate:
                self.relative_rate[kind] = rate / self.fleet_rate
                size, known = max(LEAST_SIZE, rate / most), self.kind_sizes.get(kind, 1.0)
                if not 1 / STEP < size / known < STEP:
                    self.kind_sizes[kind] = STEP ** round(math.log(size, STEP))


def slowness(server: Backend, now: float) -> float:
    """How its answers' times compare with those of their classes: 1 is usual."""
    return 1.0 + (server.relative_latency - 1.0) * math.exp2((server.relative_latency_at - now) / FADE)
