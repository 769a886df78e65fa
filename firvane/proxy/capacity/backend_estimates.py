"""A proxy's estimates of each server, from its attempts: capacity, pace, health and lost attempts.

Invariants:

1. An attempt counts in its server's `in_flight` from the send until it ends or is declared lost; it is
   removed exactly once.
2. An attempt is lost when it is late and attempts sent later to the same server have been answered before
   it, or when it is long overdue while single attempts are being lost everywhere. A loss concerns the
   network path and not the server: a lost attempt changes no estimate of capacity, pace or health.
3. A server is silent when it has ended no attempt since a request was sent, for longer than its usual gaps
   between responses, with enough overdue attempts that random loss does not explain it. A gap counts only
   the time in which an attempt was in flight there; the first gap is the usual duration of a response.
4. A capacity is lowered by rejections, and by responses to light work that take most of the latency target.
   Other responses near the capacity raise it, quickly just after the proxy's start, when it is a guess.
5. The rate of a kind of servers is what its warm servers were seen to do, in responses a second to all
   proxies; where proxies exchange no counts, each takes its own share as typical. The best rate counts, and
   decays slowly, since low demand shows little. A server in slow start is estimated at the fraction that the
   rules grant, or at the fraction of its kind's pace that its own responses show, less a margin.
6. A single connection failure is no evidence against a server; the next response clears all of them.
7. A server whose connection table is full is sent only as much as the proxy's open connections there carry.
   A proxy without an open connection leaves it to the proxies that have one.
8. A server whose responses are mostly errors is ejected, and then sent one trial at a time until most trials
   succeed. In a large fleet a proxy sees too few responses of a server to eject it, so it is kept.
"""

from __future__ import annotations

import math
import random

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, InFlightAttempt
from firvane.proxy.capacity import kind_counts

LATENCY_HALF_LIFE_S = 3.0  # of a server's relative latency
INITIAL_GROWTH_S = 5.0  # after the proxy's start, while capacities grow quickly; later slow start applies
DOWN_TIME_S = 1.0  # of failures without a response: the process has ended, not only a connection
DOWN_FAILURES = 4  # failures in that time that are needed for it
MAX_FAILED_CONNECTIONS = 2.5  # decayed count above which a server's connection table is taken for full
FAILED_CONNECTION_HALF_LIFE_S = 0.5  # of the count of connections that a working server does not accept
CONNECTIONS_FULL_S = 10.0  # for which a full connection table is remembered
RATE_DECAY_PER_S = 0.02  # fraction by which the best rate decays
SILENCE_GAPS = 2.5  # silence timeout, in usual gaps between a server's responses
LONG_DURATIONS = 4.0  # usual durations after which an attempt is long overdue
LATE_DURATIONS = 2.5  # usual durations after which an overtaken attempt is late
LOSSY_LATE_DURATIONS = 1.7  # the same, while single attempts are being lost
MIN_OVERTAKEN = 2  # later attempts answered first, from which on a late attempt is lost
LOSS_RATE_GAIN = 0.02  # weight of one ended attempt in the loss rate
RECENT_RETENTION = 0.9  # of one server's sums of durations, per response
KIND_RETENTION = 0.99  # of a kind's sums of durations, per response
MIN_PACE_RESPONSES = 5.0  # from which on the pace of a server in slow start is known
PACE_MARGIN = 0.6  # fraction of the measured pace that is relied on
MAX_LOSS_CHANCE = 0.01  # probability that all overdue attempts were lost by chance; below it: a silence
WINDOW_RETENTION = 0.9  # of a kind's sums, from window to window
MIN_RATE_RESPONSES = 40.0  # from which on a kind's rate is known
SIZE_STEP = 1.25  # factor by which a kind's size must differ to be changed
MIN_KIND_SIZE = 0.2
LATE_TARGET_FRACTION = 0.8  # of the latency target: longer durations are too long
LIGHT_WORK_FRACTION = 0.2  # of the latency target: less work does not explain a long duration
REJECTION_GAIN = 0.05  # weight of one ended attempt in the rejected fraction
MAX_HEDGE_REJECTIONS = 0.25  # rejected fraction from which on no attempt is hedged
CONNECTION_RETRY_S = 1.0  # after a rejected first connection; doubled each time, to 8 s at most
ERROR_RATE_GAIN = 0.2  # weight of one response in the error rate
EJECTION_ERROR_RATE = 0.5  # above which a server is ejected
EJECTION_TRIAL_S = 1.0  # from a failed trial to the next one
TRIAL_SPACING_S = 0.2  # per proxy of a large fleet, between its trials of an unreachable server
LARGE_FLEET_PROXIES = 12  # from which on one proxy alone sees too few responses to know a kind's rate
MIN_LOSS_RATE = 0.03  # below which a single late attempt is enough to suspect its server


class KindWindows:
    """Decayed sums of what the warm servers of a kind did in recent windows."""

    def __init__(self, pooled: bool) -> None:
        self.pooled = pooled  # peers announce their response counts, too
        self.responses = 0.0  # responses to this proxy, or to all proxies where pooled
        self.own_in_flight = 0.0  # this proxy's attempts in flight there, summed over windows
        self.total_in_flight = 0.0  # all proxies' attempts in flight there, likewise
        self.weighted_seconds = 0.0  # seconds times server weight

    def fade(self) -> None:
        """End a window: decay the sums."""
        self.responses *= WINDOW_RETENTION
        self.own_in_flight *= WINDOW_RETENTION
        self.total_in_flight *= WINDOW_RETENTION
        self.weighted_seconds *= WINDOW_RETENTION

    def rate(self) -> float:
        """Return responses a second and unit of weight, to all proxies; 0 where there are too few.

        Where only this proxy's responses are known, the rate is scaled by all proxies' attempts in flight.
        """
        if self.responses < MIN_RATE_RESPONSES or not (self.pooled or self.own_in_flight):
            return 0.0
        if self.pooled:
            return self.responses / self.weighted_seconds
        return self.responses / self.weighted_seconds * self.total_in_flight / self.own_in_flight


class BackendEstimates:
    """One proxy's estimates of all servers."""

    def __init__(self, settings: api.Settings, generator: random.Random, now: float) -> None:
        """`generator` draws the jitter of retry times; `now` is in seconds."""
        self.settings, self.rng, self.started = settings, generator, now
        self.typical_duration = [cls.latency_target / 2 for cls in settings.classes]  # s, by class
        # By kind of server: seconds that a second of hinted work takes, queueing included.
        self.work_pace = dict[int, float]()
        self.relative_rate = dict[int, float]()  # rate of a server of each kind, relative to `fleet_rate`
        self.kind_windows = dict[int, KindWindows]()
        self.best_rate = dict[int, float]()  # most responses a second and unit of weight, by kind
        # Rates relative to the best kind, in steps and changed seldom, since each change moves keys.
        self.kind_sizes = dict[int, float]()
        self.fleet_rate = 0.0  # most responses a second and unit of weight, over all servers
        self.warm_pace = dict[int, tuple[float, float]]()  # by kind: s taken and s hinted, of warm servers
        # Attempts that have not ended, by request id and attempt number.
        self.in_flight = dict[tuple[int, int], InFlightAttempt]()
        self.is_large_fleet = settings.proxies >= LARGE_FLEET_PROXIES
        self.is_pooled = self.is_large_fleet and settings.limits.peers
        self.served_counts = dict[int, int]()  # responses of warm servers since the start, by kind; announced
        self.peer_counts = kind_counts.PeerCounts()
        self.rejected_fraction = 0.0  # of attempts, for lack of capacity
        self.loss_rate = 0.0  # fraction of attempts never answered though their server answers others

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings, in which a known class keeps its index; the estimates are kept."""
        known = {
            cls.name: duration
            for cls, duration in zip(self.settings.classes, self.typical_duration, strict=True)
        }
        added = settings.classes[len(self.typical_duration) :]
        self.typical_duration += [
            min(cls.latency_target, known.get(cls.name, cls.latency_target / 2)) for cls in added
        ]
        previous, self.settings = self.settings, settings
        if settings.limits.peers is not previous.limits.peers:
            # A SIGHUP may switch the exchange of counts on or off. Sums of this proxy's responses must not be
            # read as sums of all proxies' responses, or the reverse, so they restart from zero.
            self.is_pooled, self.kind_windows = self.is_large_fleet and settings.limits.peers, {}

    # Queries

    def effective_weight(self, server: Backend, now: float) -> float:
        """Return a server's weight by capacity and kind; less while it is slow, before errors show."""
        # Where counts are not pooled the capacity shows the size of its kind.
        size = self.kind_sizes.get(server.entry.kind, 1.0) if self.is_pooled else 1.0
        return server.weight * size * server.capacity * min(1.0, 1.5 / slowness(server, now))

    def usual_duration(self, cls: int, server: Backend, work: float | None) -> float:
        """Return the usual duration, in seconds, of a response of this server to such a request."""
        return max(self.typical_duration[cls], self.work_pace.get(server.entry.kind, 1.0) * (work or 0.0))

    @property
    def represented_proxies(self) -> int:
        """Number of proxies that this proxy's rates stand for: all, where proxies exchange no counts."""
        return 1 if self.settings.limits.peers else self.settings.proxies

    def is_in_slow_start(self, server: Backend, now: float) -> bool:
        """Return whether a server started so recently that it is still sent less."""
        return server.started_at is not None and now < server.started_at + self.settings.rules.slow_start

    def slow_start_fraction(self, server: Backend, now: float) -> float:
        """Return the fraction of its full rate that a cold server can do, by the rules or as measured."""
        rules = self.settings.rules
        age = min(1.0, max(0.0, now - (server.started_at or 0.0)) / rules.slow_start)
        granted = age + rules.start_capacity * (1.0 - age)
        duration, work = self.warm_pace.get(server.entry.kind, (0.0, 0.0))
        if server.response_count < MIN_PACE_RESPONSES or not work or not server.duration_sum:
            return granted
        return max(granted, min(1.0, PACE_MARGIN * duration / work * server.work_sum / server.duration_sum))

    def is_attempt_lost(self, attempt: InFlightAttempt, now: float) -> bool:
        """Return whether an attempt is lost: it is late, and its server is not the reason (invariant 2)."""
        age = now - attempt.sent_at
        if age < self.lateness_timeout(attempt.usual_duration):
            return False
        return attempt.overtaken_by >= MIN_OVERTAKEN or (
            age >= LONG_DURATIONS * attempt.usual_duration
            and (attempt.overtaken_by > 0 or self.loss_rate >= MIN_LOSS_RATE)
        )

    def lateness_timeout(self, usual_duration: float) -> float:
        """Return the seconds after which an attempt is late; fewer while single attempts are being lost."""
        return (LOSSY_LATE_DURATIONS if self.loss_rate >= MIN_LOSS_RATE else LATE_DURATIONS) * usual_duration

    def silence_timeout_at(self, attempt: InFlightAttempt, server: Backend) -> float:
        """Return when the silence timeout of an attempt's server expires."""
        return self._unanswered_since(attempt, server) + SILENCE_GAPS * (
            server.response_gap or attempt.usual_duration
        )

    @staticmethod
    def _unanswered_since(attempt: InFlightAttempt, server: Backend) -> float:
        """Return since when attempts are in flight there without any response (invariant 3)."""
        return max(
            server.last_response_at, server.attempts[0].sent_at if server.attempts else attempt.sent_at
        )

    def is_silent(self, attempt: InFlightAttempt, server: Backend, now: float) -> bool:
        """Return whether the server is silent: no attempt ended since this one was sent (invariant 3)."""
        if server.last_response_at >= attempt.sent_at or now < self.silence_timeout_at(attempt, server):
            return False
        overdue = sum(
            1 for other in server.attempts if now - other.sent_at >= LATE_DURATIONS * other.usual_duration
        )
        return self.loss_rate < MIN_LOSS_RATE or self.loss_rate**overdue < MAX_LOSS_CHANCE

    # Ends of attempts

    def on_attempt_sent(
        self, server: Backend, cls: int, work: float | None, key: tuple[int, int], now: float
    ) -> InFlightAttempt:
        """Record a sent attempt, by its request's class and hinted work; `key` is request id and number."""
        attempt = self.in_flight[key] = InFlightAttempt(now, self.usual_duration(cls, server, work))
        server.attempts.append(attempt)
        server.in_flight += 1
        return attempt

    def mark_lost(self, attempt: InFlightAttempt, server: Backend) -> None:
        """Declare an attempt lost, which frees its part of the capacity."""
        attempt.is_lost = True
        self._remove_attempt(server, attempt)
        self.loss_rate += LOSS_RATE_GAIN * (1.0 - self.loss_rate)

    def _remove_attempt(self, server: Backend, attempt: InFlightAttempt) -> None:
        if attempt in server.attempts:  # else the server was removed and listed again meanwhile
            server.attempts.remove(attempt)
            server.in_flight -= 1

    def on_attempt_ended(
        self, server: Backend | None, request: api.Request | None, outcome: api.Outcome, now: float
    ) -> bool:
        """Update a server's estimates from an ended attempt; return whether to close idle connections there.

        `server` is None if it is no longer listed, `request` if it has already been answered.
        """
        ended = self.in_flight.pop((outcome.id, outcome.attempt), None)
        if server is None or ended is None:
            return False
        result, lost = outcome.result, ended.is_lost
        if result not in (api.Result.TIMEOUT, api.Result.CANCELLED, api.Result.NOT_SENT):
            gap = min(1.0, now - self._unanswered_since(ended, server))
            server.response_gap = (
                server.response_gap + 0.2 * (gap - server.response_gap) if server.response_gap else gap
            )
            server.last_response_at = now
        if not lost:
            self._remove_attempt(server, ended)
        if result in (api.Result.OK, api.Result.ERROR):
            self._count_overtaken(server, ended)
        if self.is_large_fleet and result in (api.Result.OK, api.Result.OVERLOADED):
            self.rejected_fraction += REJECTION_GAIN * (
                (result is api.Result.OVERLOADED) - self.rejected_fraction
            )
        failed = result is api.Result.ERROR and not outcome.finished
        if not self.is_large_fleet and (failed or result is api.Result.OK):
            self._update_error_rate(server, failed, now)
        close = self._apply_result(server, request, outcome, now)
        if request and not lost:
            self._update_durations(server, request, result, outcome.duration, now)
            if result is api.Result.OK and request.work:
                self._update_pace(server, request.work, outcome.duration, now)
        return close

    @staticmethod
    def _count_overtaken(server: Backend, attempt: InFlightAttempt) -> None:
        """Count up `overtaken_by` of attempts sent before an answered one and still in flight."""
        for other in server.attempts:
            if other.sent_at >= attempt.sent_at:
                break
            other.overtaken_by += 1

    def _apply_result(
        self, server: Backend, request: api.Request | None, outcome: api.Outcome, now: float
    ) -> bool:
        """Update the estimates by an attempt's result; return whether to close idle connections there."""
        result, close = outcome.result, False
        if result is api.Result.OK:
            if not self.is_in_slow_start(server, now):
                self._count_responses(server.entry.kind, 1)
                self.served_counts[server.entry.kind] = self.served_counts.get(server.entry.kind, 0) + 1
            self.loss_rate -= LOSS_RATE_GAIN * self.loss_rate
            close = now < server.connections_full_at + CONNECTIONS_FULL_S
            self._on_success(server, request, outcome.duration, now)
        elif result in (api.Result.CONNECT_FAILED, api.Result.RESET):
            close = self._on_connection_failure(server, result, outcome.duration, now)
        elif result is api.Result.CONNECTIONS_FULL:
            self._on_connections_full(server, now)
        elif result is api.Result.OVERLOADED:
            if now > server.capacity_cut_at + 0.1:
                server.capacity, server.capacity_cut_at = max(1.0, 0.85 * server.capacity), now
            server.retry_at = max(server.retry_at, now + 0.03)
        return close

    def _on_success(self, server: Backend, request: api.Request | None, duration: float, now: float) -> None:
        # One proxy among many sees only few failures of a server that was down.
        was_down = server.connection_failures > 0 if self.is_large_fleet else server.failures >= DOWN_FAILURES
        if was_down and now > server.failing_since + DOWN_TIME_S:
            # The server was down, whatever the list says: treat it as just started.
            server.started_at, server.response_count = now, 0.0
        server.rejected_first_connections = 0
        if server.failures:
            # The response disproves the failures for which the server was backed off.
            server.failures, server.connection_failures, server.retry_at = 0, 0, now
        target = self.settings.classes[request.class_id].latency_target if request else duration
        if (
            request
            and duration > LATE_TARGET_FRACTION * target
            and (request.work or 0.0) < LIGHT_WORK_FRACTION * target
        ):
            # What queues there would be late: treat it as a rejection.
            if now > server.capacity_cut_at + target:
                server.capacity, server.capacity_cut_at = max(1.0, 0.9 * server.capacity), now
        elif server.in_flight + 1 > 0.7 * server.capacity:
            # The server was near its capacity and kept up; just after the proxy's start that is only a guess.
            is_guess = not server.capacity_cut_at and now < self.started + INITIAL_GROWTH_S
            server.capacity += 0.5 if is_guess else 0.1 / server.capacity

    def _update_error_rate(self, server: Backend, failed: bool, now: float) -> None:
        """Update the error rate and eject or readmit the server; invalid requests do not count."""
        before, server.error_rate = (
            server.error_rate,
            server.error_rate + ERROR_RATE_GAIN * (failed - server.error_rate),
        )
        if failed and server.error_rate > EJECTION_ERROR_RATE:
            server.retry_at = max(server.retry_at, now + EJECTION_TRIAL_S * self.rng.uniform(0.75, 1.25))
        elif before > EJECTION_ERROR_RATE:  # a trial succeeded: the next one may follow soon
            server.retry_at = now + EJECTION_TRIAL_S / 8

    def _on_connections_full(self, server: Backend, now: float) -> None:
        """Handle a full connection table: the server takes only what is in flight from here, or nothing."""
        if server.in_flight:
            server.capacity, server.capacity_cut_at = float(server.in_flight), now
        else:
            pause = CONNECTION_RETRY_S * 2 ** min(3, server.rejected_first_connections)
            server.retry_at = max(server.retry_at, now + pause * self.rng.uniform(0.75, 1.25))
            server.rejected_first_connections += 1

    def _update_durations(
        self, server: Backend, request: api.Request, result: api.Result, duration: float, now: float
    ) -> None:
        """Update typical duration, work pace and relative latency by the duration of an attempt."""
        if result is api.Result.OK and request.work:
            pace, kind = duration / request.work, server.entry.kind
            self.work_pace[kind] = self.work_pace.get(kind, 1.0) * 0.98 + 0.02 * min(10.0, pace)
        if result in (api.Result.OK, api.Result.TIMEOUT):
            typical = self.typical_duration[request.class_id]
            if result is api.Result.OK:
                self.typical_duration[request.class_id] += 0.01 * (duration - typical)
            ratio = min(8.0, duration / typical)
            server.relative_latency, server.relative_latency_at = (
                0.8 * slowness(server, now) + 0.2 * ratio,
                now,
            )

    def _update_pace(self, server: Backend, work: float, duration: float, now: float) -> None:
        """Update the pace of a server, queueing included, and that of the warm servers of its kind."""
        server.duration_sum, server.work_sum = (
            RECENT_RETENTION * server.duration_sum + duration,
            RECENT_RETENTION * server.work_sum + work,
        )
        server.response_count = RECENT_RETENTION * server.response_count + 1.0
        if not self.is_in_slow_start(server, now):
            kind = server.entry.kind
            durations, hinted = self.warm_pace.get(kind, (0.0, 0.0))
            self.warm_pace[kind] = KIND_RETENTION * durations + duration, KIND_RETENTION * hinted + work

    def _on_connection_failure(
        self, server: Backend, result: api.Result, duration: float, now: float
    ) -> bool:
        """Handle a connection that broke or was not established.

        Backs off only where the server seems to be the reason; returns whether to close idle connections.
        """
        not_connected, close = result is api.Result.CONNECT_FAILED, False
        if not_connected and server.in_flight:  # other connections from here are open
            server.failed_extra_connections = 1.0 + server.failed_extra_connections * math.exp2(
                (server.failed_extra_connections_at - now) / FAILED_CONNECTION_HALF_LIFE_S
            )
            server.failed_extra_connections_at = now
            if server.failed_extra_connections > MAX_FAILED_CONNECTIONS:
                # Several in a row: its connection table is full, idle connections from here included.
                server.connections_full_at, close = now, True
        else:
            server.failing_since = server.failing_since if server.connection_failures else now
            server.failures += 1
            server.connection_failures += 1
        timed_out = not_connected and duration > 0.9 * self.settings.limits.connect_timeout
        # One failure alone is no evidence against the server.
        if timed_out or server.failures > 1 or now == server.connections_full_at:
            base = 0.25 if timed_out else 0.05  # s; a connection that fails at once costs little to try
            pause = base * 2 ** min(6, server.failures)
            if timed_out and self.is_large_fleet:
                # An unreachable machine comes back cold: all proxies' first trials must not overload it.
                pause = max(pause, TRIAL_SPACING_S * self.settings.proxies)
            server.retry_at = now + pause * self.rng.uniform(0.75, 1.25)
        return close

    def on_silence(self, server: Backend, now: float) -> None:
        """Handle a silent server: back off, and then send it one attempt at a time."""
        server.retry_at = max(server.retry_at, now + 0.25 * 2 ** min(4, max(1, server.failures)))
        server.failures = max(server.failures, 2)  # one trial at a time; a cut link does not make it cold

    # Estimates of the fleet

    def _count_responses(self, kind: int, responses: int) -> None:
        if windows := self.kind_windows.get(kind):
            windows.responses += responses

    def encode_counts(self, now: float) -> bytes:
        """Return the encoded response counts for the peers, sent with each row."""
        return kind_counts.pack(self.served_counts, now)

    def on_peer_message(self, sender: int, payload: bytes) -> bool:
        """Apply a peer's response counts; return whether the message holds any.

        Raises the errors of `kind_counts.unpack`.
        """
        if payload[:1] != kind_counts.PREFIX:
            return False
        for kind, count in self.peer_counts.update(sender, payload).items():
            if self.is_pooled:
                self._count_responses(kind, count)
        return True

    def update_rates(self, warm: list[Backend], served: float, fleet: float, window: float) -> None:
        """Update the best rates of each kind and of the fleet; called once a window.

        `warm` are the servers known to be warm, `served` the responses a second to all proxies, `fleet` the
        total weight of the servers and `window` its length in seconds.
        """
        self.fleet_rate = max(self.fleet_rate * (1.0 - RATE_DECAY_PER_S * window), served / fleet)
        for server in warm:
            windows = self.kind_windows.setdefault(server.entry.kind, KindWindows(self.is_pooled))
            windows.own_in_flight += server.in_flight
            windows.total_in_flight += server.in_flight + server.peers_in_flight
            windows.weighted_seconds += server.weight * window
        for kind in sorted(self.kind_windows):
            rate = self.kind_windows[kind].rate() * self.represented_proxies
            self.best_rate[kind] = max(
                self.best_rate.get(kind, 0.0) * (1.0 - RATE_DECAY_PER_S * window), rate
            )
            self.kind_windows[kind].fade()
        best = max(self.best_rate.values(), default=0.0)
        for kind, rate in self.best_rate.items():
            if rate and self.fleet_rate:
                self.relative_rate[kind] = rate / self.fleet_rate
                size, known = max(MIN_KIND_SIZE, rate / best), self.kind_sizes.get(kind, 1.0)
                if not 1 / SIZE_STEP < size / known < SIZE_STEP:
                    self.kind_sizes[kind] = SIZE_STEP ** round(math.log(size, SIZE_STEP))


def slowness(server: Backend, now: float) -> float:
    """Return the recent durations of a server's responses relative to those usual for their classes."""
    return 1.0 + (server.relative_latency - 1.0) * math.exp2(
        (server.relative_latency_at - now) / LATENCY_HALF_LIFE_S
    )
