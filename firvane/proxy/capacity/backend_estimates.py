"""What a proxy estimates of each server from its attempts: capacity, pace, health, and what is lost.

Invariants:

1. An attempt counts in its server's `in_flight` from its send to its end, or until it is taken for lost; it
   is removed once.
2. It is lost when it is late and some that were sent to the same server after it have been answered before
   it, or when it is long overdue while single attempts are being lost everywhere. That concerns the path and
   not the server: no capacity, pace or health follows from a lost attempt.
3. A server is silent when it has ended nothing since a request was sent, for longer than its usual gaps, with
   enough attempts overdue that chance does not explain it where single ones are being lost. A gap is a time
   in which something was in flight there, at first the usual duration of a response.
4. A capacity is lowered by rejections and by responses that take most of the latency target though their work
   is light; it is raised by other responses near it, and quickly so at the start of the proxy, when it is a
   guess.
5. What a kind of servers can do is what its warm servers were seen to do, in responses a second to all
   proxies; where these exchange no counts, each takes itself for one like all. The best of it counts, and
   decays slowly, as little demand shows little. What a server in slow start can do is what the rules allow
   for of that, or the part of its kind's pace that its responses show, less a margin.
6. One failure of a connection says nothing of the server; the next response disproves all of them.
7. A server whose table of connections is full is sent what the proxy has connections for. Without one it is
   left to the proxies that have.
8. A server whose responses are mostly errors is ejected, and tried one attempt at a time until most trials
   succeed. In a large fleet a proxy sees too little of a server to eject it, and it stays.
"""

from __future__ import annotations

import math
import random

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, InFlightAttempt
from firvane.proxy.capacity import class_counts

LATENCY_HALF_LIFE_S = 3.0  # of what is known of a server's slowness
INITIAL_GROWTH_S = 5.0  # after the start, in which capacities grow quickly; later servers are in slow start
DOWN_TIME_S = 1.0  # without an answer, after which a process and not a connection has ended
DOWN_FAILURES = 4  # and the failures in it
MAX_FAILED_CONNECTIONS = 2.5  # above which a table of connections is taken for full
FAILED_CONNECTION_HALF_LIFE_S = 0.5  # of the count of connections that a working server did not accept
CONNECTIONS_FULL_S = 10.0  # for which a full table of connections is remembered
RATE_DECAY_PER_S = 0.02  # part of the best rate that is forgotten
SILENCE_GAPS = 2.5  # usual gaps between a server's answers that make a time-out
LONG_DURATIONS = 4.0  # usual durations without an answer that are long
LATE_DURATIONS = 2.5  # usual durations that are enough where an attempt was overtaken
LOSSY_LATE_DURATIONS = 1.7  # the same while single attempts are being lost
MIN_OVERTAKEN = 2  # later attempts answered before it that make a late one lost
LOSS_RATE_GAIN = 0.02  # of one end, in the part of attempts that are lost
RECENT_RETENTION = 0.9  # of one server's durations, with each answer
KIND_RETENTION = 0.99  # of a kind's durations, with each answer
MIN_PACE_ANSWERS = 5.0  # answers that show the pace of a server in slow start
PACE_MARGIN = 0.6  # part of the shown pace that is relied on
MAX_LOSS_CHANCE = 0.01  # of so many attempts being lost together: less than that is a silence
WINDOW_RETENTION = 0.9  # of what a kind did, from window to window
MIN_RATE_ANSWERS = 40.0  # answers that tell a kind's rate
SIZE_STEP = 1.25  # factor by which a kind's size must differ to be changed
MIN_KIND_SIZE = 0.2
LATE_TARGET_FRACTION = 0.8  # of the latency target: a duration that is too long
LIGHT_WORK_FRACTION = 0.2  # of the latency target: work that is not the reason for it
REJECTION_GAIN = 0.05  # of one end, in the part of attempts that find no capacity
MAX_HEDGE_REJECTIONS = 0.25  # part of attempts that find no capacity, from which on none is hedged
CONNECTION_RETRY_S = 1.0  # after a rejected first connection; doubled up to eight times
ERROR_RATE_GAIN = 0.2  # of one answer, in the error rate
EJECTION_ERROR_RATE = 0.5  # above which a server is ejected
EJECTION_TRIAL_S = 1.0  # from a trial that failed to the next
TRIAL_SPACING_S = 0.2  # of a large fleet's trials at a server that is gone, for each proxy
LARGE_FLEET_PROXIES = 12  # from which on none sees enough of a kind alone to tell its rate
MIN_LOSS_RATE = 0.03  # below which a single late attempt is enough to doubt its server


class KindWindows:
    """What the warm servers of a kind have done in recent windows, faded."""

    def __init__(self, pooled: bool) -> None:
        self.pooled = pooled  # peers tell of their answers, too
        self.answers = 0.0  # to this proxy, or to all
        self.own = 0.0  # attempts out there from here, window by window
        self.all = 0.0  # and from all proxies
        self.span = 0.0  # s and weight of servers

    def fade(self) -> None:
        """End a window."""
        self.answers *= WINDOW_RETENTION
        self.own *= WINDOW_RETENTION
        self.all *= WINDOW_RETENTION
        self.span *= WINDOW_RETENTION

    def rate(self) -> float:
        """Responses a second and weight to all proxies; 0 where there are too few to tell.

        Where only the own ones are known, all proxies are taken to be served in proportion to their attempts.
        """
        if self.answers < MIN_RATE_ANSWERS or not (self.pooled or self.own):
            return 0.0
        if self.pooled:
            return self.answers / self.span
        return self.answers / self.span * self.all / self.own


class BackendEstimates:
    """One proxy's estimates of all servers."""

    def __init__(self, settings: api.Settings, dice: random.Random, now: float) -> None:
        """`dice` draws the spread of retry times; `now` is in seconds."""
        self.settings, self.rng, self.started = settings, dice, now
        self.typical_duration = [cls.latency_target / 2 for cls in settings.classes]  # s that an answer takes
        self.work_pace = dict[
            int, float
        ]()  # s that a second of work takes, queues included, by kind of server
        self.relative_rate = dict[int, float]()  # what a server of each kind can do, of `best`
        self.kind_windows = dict[int, KindWindows]()
        self.best_rate = dict[int, float]()  # best answers a second and weight, by kind
        self.kind_sizes = dict[int, float]()  # `kinds` in steps, changed seldom: keys move with them
        self.fleet_rate = 0.0  # answers a second and weight
        self.warm_pace = dict[int, tuple[float, float]]()  # s taken and work hinted, warm servers
        self.in_flight = dict[
            tuple[int, int], InFlightAttempt
        ]()  # attempts that have not ended, by request and number
        self.is_large_fleet = settings.proxies >= LARGE_FLEET_PROXIES
        self.is_pooled = self.is_large_fleet and settings.limits.peers
        self.served_counts = dict[
            int, int
        ]()  # answers of warm servers since the start, by kind, to tell the peers
        self.peer_counts = class_counts.Heard()
        self.rejected_fraction = 0.0  # part of attempts that find no room
        self.loss_rate = 0.0  # part of attempts that are never answered though their box answers others

    def apply_settings(self, settings: api.Settings) -> None:
        """Take over other settings, in which a known class keeps its index; the estimates are kept."""
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

    # Queries

    def power(self, server: Backend, now: float) -> float:
        """Weight, less while its answers take longer than its peers': acts before errors show."""
        size = self.kind_sizes.get(server.entry.kind, 1.0) if self.is_pooled else 1.0  # else the room tells
        return server.weight * size * server.capacity * min(1.0, 1.5 / slowness(server, now))

    def usual_duration(self, cls: int, server: Backend, work: float | None) -> float:
        """The usual duration of a response to such a request there, in seconds."""
        return max(self.typical_duration[cls], self.work_pace.get(server.entry.kind, 1.0) * (work or 0.0))

    @property
    def represented_proxies(self) -> int:
        """Proxies that the own figures represent: all where they exchange none."""
        return 1 if self.settings.limits.peers else self.settings.proxies

    def is_in_slow_start(self, server: Backend, now: float) -> bool:
        """Whether a server has started so recently that it is sent less."""
        return server.started_at is not None and now < server.started_at + self.settings.rules.slow_start

    def slow_start_fraction(self, server: Backend, now: float) -> float:
        """The part of its all that a cold server can do: what the rules allow for, or more where it shows."""
        rules = self.settings.rules
        age = min(1.0, max(0.0, now - (server.started_at or 0.0)) / rules.slow_start)
        sure = age + rules.start_capacity * (1.0 - age)
        took, work = self.warm_pace.get(server.entry.kind, (0.0, 0.0))
        if server.response_count < MIN_PACE_ANSWERS or not work or not server.duration_sum:
            return sure
        return max(sure, min(1.0, PACE_MARGIN * took / work * server.work_sum / server.duration_sum))

    def is_attempt_lost(self, mark: InFlightAttempt, now: float) -> bool:
        """Whether an attempt is lost: it is late, and others show that its server is not the reason."""
        age = now - mark.sent_at
        if age < self.lateness_timeout(mark.usual_duration):
            return False
        return mark.overtaken_by >= MIN_OVERTAKEN or (
            age >= LONG_DURATIONS * mark.usual_duration
            and (mark.overtaken_by > 0 or self.loss_rate >= MIN_LOSS_RATE)
        )

    def lateness_timeout(self, usual: float) -> float:
        """Seconds after which an attempt is late: fewer while single attempts are being lost."""
        return (LOSSY_LATE_DURATIONS if self.loss_rate >= MIN_LOSS_RATE else LATE_DURATIONS) * usual

    def silence_timeout_at(self, mark: InFlightAttempt, server: Backend) -> float:
        """When its server has been silent for too long, given that something is in flight there."""
        return self._owing_since(mark, server) + SILENCE_GAPS * (server.response_gap or mark.usual_duration)

    @staticmethod
    def _owing_since(mark: InFlightAttempt, server: Backend) -> float:
        """Since when something is in flight there without any response (invariant 3)."""
        return max(server.last_response_at, server.attempts[0].sent_at if server.attempts else mark.sent_at)

    def is_silent(self, mark: InFlightAttempt, server: Backend, now: float) -> bool:
        """Whether the server has ended nothing since an attempt, for longer than it usually does."""
        if server.last_response_at >= mark.sent_at or now < self.silence_timeout_at(mark, server):
            return False
        due = sum(
            1 for other in server.attempts if now - other.sent_at >= LATE_DURATIONS * other.usual_duration
        )
        return self.loss_rate < MIN_LOSS_RATE or self.loss_rate**due < MAX_LOSS_CHANCE

    # Ends of attempts

    def on_attempt_sent(
        self, server: Backend, cls: int, work: float | None, attempt: tuple[int, int], now: float
    ) -> InFlightAttempt:
        """Count a new attempt, by its request's class and hinted work; `attempt` is request and number."""
        mark = self.in_flight[attempt] = InFlightAttempt(now, self.usual_duration(cls, server, work))
        server.attempts.append(mark)
        server.in_flight += 1
        return mark

    def mark_lost(self, mark: InFlightAttempt, server: Backend) -> None:
        """Take an attempt for lost: its part of the capacity is free."""
        mark.is_lost = True
        self._leave(server, mark)
        self.loss_rate += LOSS_RATE_GAIN * (1.0 - self.loss_rate)

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
        result, lost = outcome.result, mark.is_lost
        if result not in (api.Result.TIMEOUT, api.Result.CANCELLED, api.Result.NOT_SENT):
            gap = min(1.0, now - self._owing_since(mark, server))
            server.response_gap = (
                server.response_gap + 0.2 * (gap - server.response_gap) if server.response_gap else gap
            )
            server.last_response_at = now
        if not lost:
            self._leave(server, mark)
        if result in (api.Result.OK, api.Result.ERROR):
            self._count_overtaken(server, mark)
        if self.is_large_fleet and result in (api.Result.OK, api.Result.OVERLOADED):
            self.rejected_fraction += REJECTION_GAIN * (
                (result is api.Result.OVERLOADED) - self.rejected_fraction
            )
        failed = result is api.Result.ERROR and not outcome.finished
        if not self.is_large_fleet and (failed or result is api.Result.OK):
            self._judged(server, failed, now)
        close = self._learn_result(server, request, outcome, now)
        if request and not lost:
            self._timed(server, request, result, outcome.duration, now)
            if result is api.Result.OK and request.work:
                self._paced(server, request.work, outcome.duration, now)
        return close

    @staticmethod
    def _count_overtaken(server: Backend, mark: InFlightAttempt) -> None:
        """Count those that were sent before an answered attempt and are still in flight."""
        for other in server.attempts:
            if other.sent_at >= mark.sent_at:
                break
            other.overtaken_by += 1

    def _learn_result(
        self, server: Backend, request: api.Request | None, outcome: api.Outcome, now: float
    ) -> bool:
        """Learn from the result of an attempt; whether to close idle connections to its server."""
        result, close = outcome.result, False
        if result is api.Result.OK:
            if not self.is_in_slow_start(server, now):
                self._did(server.entry.kind, 1)
                self.served_counts[server.entry.kind] = self.served_counts.get(server.entry.kind, 0) + 1
            self.loss_rate -= LOSS_RATE_GAIN * self.loss_rate
            close = now < server.connections_full_at + CONNECTIONS_FULL_S
            self._answered(server, request, outcome.duration, now)
        elif result in (api.Result.CONNECT_FAILED, api.Result.RESET):
            close = self._broke(server, result, outcome.duration, now)
        elif result is api.Result.CONNECTIONS_FULL:
            self._unplaced(server, now)
        elif result is api.Result.OVERLOADED:
            if now > server.capacity_cut_at + 0.1:
                server.capacity, server.capacity_cut_at = max(1.0, 0.85 * server.capacity), now
            server.retry_at = max(server.retry_at, now + 0.03)
        return close

    def _answered(self, server: Backend, request: api.Request | None, took: float, now: float) -> None:
        # Of a box that was down a proxy among many meets few failures.
        enough = server.connection_failures > 0 if self.is_large_fleet else server.failures >= DOWN_FAILURES
        if enough and now > server.failing_since + DOWN_TIME_S:
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
        if (
            request
            and took > LATE_TARGET_FRACTION * aim
            and (request.work or 0.0) < LIGHT_WORK_FRACTION * aim
        ):
            if now > server.capacity_cut_at + aim:  # what waits there would be late: as if turned away
                server.capacity, server.capacity_cut_at = max(1.0, 0.9 * server.capacity), now
        elif server.in_flight + 1 > 0.7 * server.capacity:
            # It was near its room and kept up; at the start of the proxy its room is only a guess.
            guess = not server.capacity_cut_at and now < self.started + INITIAL_GROWTH_S
            server.capacity += 0.5 if guess else 0.1 / server.capacity

    def _judged(self, server: Backend, failed: bool, now: float) -> None:
        """Update the error rate (an invalid request is no error of the server), and eject or readmit it."""
        before, server.error_rate = (
            server.error_rate,
            server.error_rate + ERROR_RATE_GAIN * (failed - server.error_rate),
        )
        if failed and server.error_rate > EJECTION_ERROR_RATE:
            server.retry_at = max(server.retry_at, now + EJECTION_TRIAL_S * self.rng.uniform(0.75, 1.25))
        elif before > EJECTION_ERROR_RATE:  # a trial has gone well: the next one may follow
            server.retry_at = now + EJECTION_TRIAL_S / 8

    def _unplaced(self, server: Backend, now: float) -> None:
        """Its table of connections is full: it takes what is in flight from here, or nothing."""
        if server.in_flight:
            server.capacity, server.capacity_cut_at = float(server.in_flight), now
        else:
            pause = CONNECTION_RETRY_S * 2 ** min(3, server.rejected_first_connections)
            server.retry_at = max(server.retry_at, now + pause * self.rng.uniform(0.75, 1.25))
            server.rejected_first_connections += 1

    def _timed(
        self, server: Backend, request: api.Request, result: api.Result, took: float, now: float
    ) -> None:
        """Learn from the duration of an attempt."""
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
        """Learn how quickly it works, queues included, beside warm servers of its kind."""
        server.duration_sum, server.work_sum = (
            RECENT_RETENTION * server.duration_sum + took,
            RECENT_RETENTION * server.work_sum + work,
        )
        server.response_count = RECENT_RETENTION * server.response_count + 1.0
        if not self.is_in_slow_start(server, now):
            kind = server.entry.kind
            known, hinted = self.warm_pace.get(kind, (0.0, 0.0))
            self.warm_pace[kind] = KIND_RETENTION * known + took, KIND_RETENTION * hinted + work

    def _broke(self, server: Backend, result: api.Result, took: float, now: float) -> bool:
        """A connection broke or was not made: back off only where the server seems to be the reason."""
        unmade, close = result is api.Result.CONNECT_FAILED, False
        if unmade and server.in_flight:  # it holds others of ours
            server.failed_extra_connections = 1.0 + server.failed_extra_connections * math.exp2(
                (server.failed_extra_connections_at - now) / FAILED_CONNECTION_HALF_LIFE_S
            )
            server.failed_extra_connections_at = now
            if (
                server.failed_extra_connections > MAX_FAILED_CONNECTIONS
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
                pause = max(pause, TRIAL_SPACING_S * self.settings.proxies)
            server.retry_at = now + pause * self.rng.uniform(0.75, 1.25)
        return close

    def on_silence(self, server: Backend, now: float) -> None:
        """The server is silent: back off, and then send it one attempt at a time."""
        server.retry_at = max(server.retry_at, now + 0.25 * 2 ** min(4, max(1, server.failures)))
        server.failures = max(
            server.failures, 2
        )  # from now on one trial at a time; a cut does not make it cold

    # Estimates of the fleet

    def _did(self, kind: int, answers: int) -> None:
        if flow := self.kind_windows.get(kind):
            flow.answers += answers

    def encode_counts(self, now: float) -> bytes:
        """The counts of responses for the peers, sent with each row."""
        return class_counts.pack(self.served_counts, now)

    def on_peer_message(self, sender: int, payload: bytes) -> bool:
        """Take over a peer's counts; whether the message holds any. Raises as `class_counts.unpack` does."""
        if payload[:1] != class_counts.MARK:
            return False
        for kind, answers in self.peer_counts.more(sender, payload).items():
            if self.is_pooled:
                self._did(kind, answers)
        return True

    def update_rates(self, warm: list[Backend], served: float, fleet: float, window: float) -> None:
        """Update, once a window, what a warm server of each kind can do, and the best rate seen.

        `warm` are the servers known to be warm, `served` the answers a second of all proxies, `fleet` the
        weight of all servers.
        """
        self.fleet_rate = max(self.fleet_rate * (1.0 - RATE_DECAY_PER_S * window), served / fleet)
        for server in warm:
            flow = self.kind_windows.setdefault(server.entry.kind, KindWindows(self.is_pooled))
            flow.own += server.in_flight
            flow.all += server.in_flight + server.peers_in_flight
            flow.span += server.weight * window
        for kind in sorted(self.kind_windows):
            rate = self.kind_windows[kind].rate() * self.represented_proxies
            self.best_rate[kind] = max(
                self.best_rate.get(kind, 0.0) * (1.0 - RATE_DECAY_PER_S * window), rate
            )
            self.kind_windows[kind].fade()
        most = max(self.best_rate.values(), default=0.0)
        for kind, rate in self.best_rate.items():
            if rate and self.fleet_rate:
                self.relative_rate[kind] = rate / self.fleet_rate
                size, known = max(MIN_KIND_SIZE, rate / most), self.kind_sizes.get(kind, 1.0)
                if not 1 / SIZE_STEP < size / known < SIZE_STEP:
                    self.kind_sizes[kind] = SIZE_STEP ** round(math.log(size, SIZE_STEP))


def slowness(server: Backend, now: float) -> float:
    """The durations of its responses relative to those of their classes; 1 is usual."""
    return 1.0 + (server.relative_latency - 1.0) * math.exp2(
        (server.relative_latency_at - now) / LATENCY_HALF_LIFE_S
    )
