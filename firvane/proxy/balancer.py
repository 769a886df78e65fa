"""Per-request decisions of a proxy; core/interface.py defines the settings, events and actions.

`Balancer.handle` maps each event to the actions that the proxy must take. Its base classes keep the slices
of all proxies (`slice_table`) and choose servers (`server_selection`). docs/design.md gives the reasons.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from zlib import crc32

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, InFlightAttempt, OpenRequest, total
from firvane.core.balancing.window import WINDOW
from firvane.core.interface import DedupScope, Idempotency
from firvane.proxy.capacity import tenant_admission
from firvane.proxy.capacity.backend_estimates import EJECTION_ERROR_RATE, LONG_DURATIONS, MAX_HEDGE_REJECTIONS
from firvane.proxy.server_selection import TENANT_WINDOW_S, ServerSelection
from firvane.proxy.slice_table import FLAG_REQUEST_ROW, PEER_TIMEOUT_ROWS

HISTORY_WINDOWS = 6  # past windows used for the arrival forecast and the response rate
QUEUE_TARGET_FRACTION = 0.3  # of the latency target: maximum time in the queue
QUEUE_TIME_FRACTION = 0.25  # of the time until the deadline: maximum time in the queue as well
RETRY_AFTER_FRACTION = 0.15  # of the latency target: mean Retry-After of a rejection
HEDGE_FRACTION = 0.4  # of the latency target without any response from the server, before a hedge
HEDGE_CAPACITY = 0.5  # part of a server's capacity that the hedge of a slow attempt may fill
TRIAL_INTERVAL_S = 1.0  # between trial attempts to a failing server
WATCH_RETRY_S = 4.0  # between subscriptions to the server list while none has succeeded
MAX_QUEUE_RETRIES = 2  # queued requests that are retried when an attempt ends
DEADLINE_TIMER_TICKS = 2  # the timer fires that long before the deadline: events may be a tick late
DEADLINE_DUE_TICKS = 3  # a timer this close to the deadline ends the request


class Balancer(ServerSelection):
    """The decisions of one proxy: `handle` takes an event and returns the actions to perform.

    Attributes:
        open_requests: requests without a final answer, by id.
        queue: open requests waiting for capacity, in order of arrival.
        hedging_allowed: whether the settings and the load of the proxy permit hedged attempts.
        windows: number of windows that have ended.
    """

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        """Initialize the state of one proxy.

        Args:
            settings: configuration of the proxy.
            seed: seed of all random draws.
            now: current time in seconds on the decisions' clock.
        """
        super().__init__(settings, seed, now)
        self.queue = list[OpenRequest]()
        self.hedging_allowed = settings.limits.hedging
        self.windows = 0
        self.handlers: dict[type, Callable[..., None]] = {
            api.Request: self.on_request,
            api.DeadlineShortened: self.on_deadline_shortened,
            api.Outcome: self.on_outcome,
            api.OverloadSignal: self.on_overload,
            api.PeerMessage: self.on_peer_message,
            api.ServerList: self.on_server_list,
        }

    # Events

    def start(self, now: float) -> list[api.Action]:
        """Announce this proxy to its peers, and request their rows and the server list."""
        self.announce(now, FLAG_REQUEST_ROW)
        self.on_window(now)
        return self.actions

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Return the actions for an event; `now` is in seconds."""
        self.actions = []
        if handler := self.handlers.get(type(event)):
            handler(event, now)
        elif isinstance(event, api.TimerFired):
            self.on_timer(event, now)
        elif isinstance(event, api.ClientGone | api.StreamStarted):
            if job := self.open_requests.get(event.id):
                if isinstance(event, api.StreamStarted):  # only the other attempts are cancelled
                    job.attempts.pop(event.attempt, None)
                self.close_request(job)
        elif isinstance(event, api.BodyConsumed) and (job := self.open_requests.get(event.id)):
            job.body_consumed = True
        return self.actions

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings; the indices of classes and tenants in use keep their meaning."""
        self.settings = settings
        self.hedging_allowed = settings.limits.hedging
        self.tenant_requests = {i: self.tenant_requests.get(i, 0.0) for i in range(len(settings.tenants))}
        self.estimates.apply_settings(settings)

    def on_timer(self, timer: api.TimerFired, now: float) -> None:
        """End the window if the token is 0, else check the request whose id is `token - 1`."""
        if timer.token == 0:
            self.on_window(now)
        elif job := self.open_requests.get(timer.token - 1):
            if not job.attempts or now >= job.deadline - DEADLINE_DUE_TICKS * self.settings.tick:
                self.finish(job, now)
            else:
                self.check_progress(job, now)

    def on_request(self, request: api.Request, now: float) -> None:
        """Register a new request and send, queue or reject it."""
        key_hash = self.rng.getrandbits(32) if request.key is None else crc32(request.key.encode())
        cls = self.settings.classes[request.class_id]
        wait = min(QUEUE_TARGET_FRACTION * cls.latency_target, QUEUE_TIME_FRACTION * request.time_left)
        job = OpenRequest(request, cls, now + request.time_left, now + wait, key_hash)
        self.open_requests[request.id] = job
        self.arrivals[-1] += 1
        if request.tenant in self.tenant_requests and not request.is_retry:
            self.tenant_requests[request.tenant] += 1.0
        self.set_request_timer(job, max(0.0, request.time_left - DEADLINE_TIMER_TICKS * self.settings.tick))
        self.place(job, now)

    def on_deadline_shortened(self, event: api.DeadlineShortened, now: float) -> None:
        """Apply an earlier deadline to a request."""
        if job := self.open_requests.get(event.id):
            job.deadline = min(job.deadline, now + event.time_left)
            self.set_request_timer(job, max(0.0, event.time_left - DEADLINE_TIMER_TICKS * self.settings.tick))

    def on_outcome(self, outcome: api.Outcome, now: float) -> None:
        """Update the estimates when an attempt ends, and retry its request if it is still open."""
        server, job = self.servers.get(outcome.server), self.open_requests.get(outcome.id)
        self.served[-1] += outcome.result is api.Result.OK
        if self.estimates.on_attempt_ended(server, job.request if job else None, outcome, now):
            self.actions.append(api.CloseIdle(outcome.server))
        if server:
            if self.recovery:
                self.recovery.handle_attempt_end(server, job, outcome, now)
            self.large.mark_changed(server)
        if job:
            job.attempts.pop(outcome.attempt, None)
            job.maybe_ran -= outcome.result.never_ran
            if outcome.finished:
                self.close_request(job)
            elif not job.attempts:
                self.place(job, now)
        if self.queue:
            self.retry_queue(now, MAX_QUEUE_RETRIES)

    def on_overload(self, signal: api.OverloadSignal, now: float) -> None:
        """Decide which requests to shed: first those beyond a tenant's quota share, then all alike."""
        self.hedging_allowed = signal.hedging_allowed and self.settings.limits.hedging
        for tenant, rejected in enumerate(signal.rejected_unseen[: len(self.tenant_requests)]):
            self.tenant_requests[tenant] += rejected
        requests = list(self.tenant_requests.values())
        quota_time = TENANT_WINDOW_S * self.demand_fraction()
        shed = tenant_admission.shed_action(self.settings, requests, quota_time, signal, RETRY_AFTER_FRACTION)
        self.actions.append(shed)

    def on_window(self, now: float) -> None:
        """End a window: update rates, announce, drop silent peers, compute shares and retry the queue."""
        self.windows += 1
        self.actions.append(api.SetTimer(WINDOW, 0))
        decay = 1.0 - WINDOW / TENANT_WINDOW_S
        self.tenant_requests = {tenant: n * decay for tenant, n in self.tenant_requests.items()}
        self.update_rates(now)
        if self.windows % self.row_interval == 0:
            self.announce(now, 0)
            if self.estimates.is_pooled:
                self.actions.append(api.SendToPeer(None, self.estimates.encode_counts(now)))
        self.arrivals = [*self.arrivals, 0][-HISTORY_WINDOWS:]
        self.served = [*self.served, 0][-HISTORY_WINDOWS:]
        for n in self.rows.keys() - {self.settings.me}:
            if self.rows[n].received_at < now - PEER_TIMEOUT_ROWS * self.row_interval * WINDOW:
                self.count_row(self.rows.pop(n), -1)
        if self.slices.keys() != self.rows.keys():
            self.assign_slices()
        self.update_shares(now)
        if self.recovery:
            peers = {n: row for n, row in self.rows.items() if n != self.settings.me}
            self.actions += self.recovery.end_window(self.own_slice, peers, now)
        if not self.watching and now >= self.watch_at:  # only where the list must be subscribed to
            self.watch_at = now + WATCH_RETRY_S
            self.actions.append(api.Watch(True))
        self.retry_queue(now, len(self.queue))

    def update_rates(self, now: float) -> None:
        """Estimate the service rate of each kind of server, once enough windows have ended."""
        served = total(row.served for row in self.rows.values()) * self.estimates.represented_proxies
        if served and self.windows > HISTORY_WINDOWS:
            fleet = total(s.weight for s in self.servers.values()) or 1.0
            warm = [s for s in self.servers.values() if not self.estimates.is_in_slow_start(s, now)]
            self.estimates.update_rates(warm, served, fleet, WINDOW)
            if self.estimates.kind_sizes != self.kind_sizes:
                self.resize_kinds()

    # Request lifecycle

    def set_request_timer(self, job: OpenRequest, delay: float) -> None:
        """Set a timer that checks a request after `delay` seconds."""
        self.actions.append(api.SetTimer(delay, job.request.id + 1, job.request.id))

    def place(self, job: OpenRequest, now: float) -> None:
        """Send a request, queue it, or give it its final answer (rejection or failure)."""
        exhausted = job.body_consumed or job.attempts_sent >= self.settings.limits.max_attempts
        limit = 1.0 if job.maybe_ran else self.capacity_fraction(job)
        if not exhausted and (server := self.choose(job, now, limit)):
            self.send(job, server, now)
        elif exhausted or now >= job.queue_until or self.must_reject_now(job, now):
            self.finish(job, now)
        else:
            self.queue.append(job)  # no server is permitted now: retried as attempts end
            self.set_request_timer(job, job.queue_until - now)

    def must_reject_now(self, job: OpenRequest, now: float) -> bool:
        """Whether queueing cannot help: a retry is not permitted, or only capacity is lacking."""
        if job.maybe_ran and job.request_class.idempotency is Idempotency.UNSAFE:
            return True
        return self.choose(job, now, math.inf) is not None

    def retry_queue(self, now: float, max_sends: int) -> None:
        """Send up to `max_sends` queued requests in order of arrival, until one finds no capacity."""
        waiting = [job for job in self.queue if job.request.id in self.open_requests]
        self.queue = []
        for i, job in enumerate(waiting):
            if i < max_sends and not self.queue and (server := self.choose(job, now, 1.0)):
                self.send(job, server, now)
            else:
                self.queue.append(job)

    def send(self, job: OpenRequest, server: Backend, now: float) -> None:
        """Send the next attempt of a request to a server."""
        job.attempts[job.attempts_sent] = server.entry.id
        job.tried_servers.add(server.id_hash)
        start_before = job.start_before(server.entry, now)
        request, key = job.request, (job.request.id, job.attempts_sent)
        attempt = self.estimates.on_attempt_sent(server, request.class_id, request.work, key, now)
        job.attempts_sent += 1
        job.maybe_ran += 1
        if server.failures > 1 or server.error_rate > EJECTION_ERROR_RATE:
            server.retry_at = now + TRIAL_INTERVAL_S  # one trial attempt at a time
        if self.estimates.is_in_slow_start(server, now):
            server.tokens -= 1
        self.large.mark_changed(server)
        self.actions.append(api.Send(job.request.id, server.entry.id, start_before=start_before))
        if self.settings.limits.hedging and not job.attempts.keys() - {job.attempts_sent - 1}:
            hedge_after = HEDGE_FRACTION * job.request_class.latency_target
            lateness_timeout = self.estimates.lateness_timeout(attempt.usual_duration)
            self.set_request_timer(job, min(hedge_after, lateness_timeout))

    def finish(self, job: OpenRequest, now: float) -> None:
        """Give the final answer: a rejection if a retry is known to be harmless, else a failure."""
        cls = job.request_class
        keyed = cls.idempotency is Idempotency.KEYED and cls.dedup_scope is DedupScope.ALL
        harmless = not job.maybe_ran or keyed or cls.idempotency is Idempotency.SAFE
        # Jitter, so that rejected clients do not retry at the same time.
        retry_after = RETRY_AFTER_FRACTION * cls.latency_target * self.rng.uniform(0.5, 1.5)
        retry_after = min(retry_after, self.settings.limits.max_retry_after)
        if self.recovery:
            retry_after = self.recovery.adjust_retry_after(job, retry_after, now)
        self.actions.append(api.Reject(job.request.id, retry_after) if harmless else api.Fail(job.request.id))
        self.close_request(job)

    def close_request(self, job: OpenRequest) -> None:
        """Remove a request that has its final answer, and cancel its attempts in flight."""
        del self.open_requests[job.request.id]
        if self.settings.limits.cancel:
            self.actions.extend(api.Cancel(job.request.id, attempt) for attempt in job.attempts)

    # Lost and slow attempts

    def check_progress(self, job: OpenRequest, now: float) -> None:
        """Check the only attempt of a request: retry it if it is lost, hedge it if it is slow."""
        number, name = next(iter(job.attempts.items()))
        server = self.servers.get(name)
        attempt = self.estimates.in_flight.get((job.request.id, number))
        if len(job.attempts) > 1 or job.body_consumed or not server or not attempt:
            return
        if attempt.is_lost or self.estimates.is_attempt_lost(attempt, now):
            self.retry_lost(job, number, attempt, server, now)
        elif server.last_response_at >= attempt.sent_at:
            self.hedge_slow(job, attempt, now)
        else:
            self.hedge_silent(job, attempt, server, now)

    def may_hedge(self) -> bool:
        """Whether hedged attempts are permitted now."""
        if not self.hedging_allowed or self.estimates.rejected_fraction >= MAX_HEDGE_REJECTIONS:
            return False
        return not (self.recovery and self.recovery.on)

    def retry_lost(
        self, job: OpenRequest, number: int, attempt: InFlightAttempt, server: Backend, now: float
    ) -> None:
        """Replace a lost attempt by another one, if one may be sent."""
        limits = self.settings.limits
        if not attempt.is_lost:
            self.estimates.mark_lost(attempt, server)
            self.large.mark_changed(server)
        in_flight = job.attempts
        if limits.cancel:
            job.attempts = {}  # the new attempt replaces it and is no hedge
        other = self.choose(job, now, 1.0)
        if not other:
            # No replacement where the request must not run twice; the lost response may still arrive.
            job.attempts = in_flight
        elif limits.cancel:
            self.actions.append(api.Cancel(job.request.id, number))
        if other and limits.hedging:  # without hedging, only after its end was reported
            self.send(job, other, now)
        else:
            self.set_request_timer(job, attempt.usual_duration)

    def hedge_slow(self, job: OpenRequest, attempt: InFlightAttempt, now: float) -> None:
        """Hedge an attempt whose server has answered others since: it is slow or its connection dead."""
        time_left = attempt.sent_at + LONG_DURATIONS * attempt.usual_duration - now
        if time_left > self.settings.tick:
            self.set_request_timer(job, min(time_left, 0.5 * attempt.usual_duration))
        elif self.may_hedge() and (other := self.choose(job, now, HEDGE_CAPACITY)):
            self.send(job, other, now)
        else:
            self.set_request_timer(job, attempt.usual_duration)

    def hedge_silent(self, job: OpenRequest, attempt: InFlightAttempt, server: Backend, now: float) -> None:
        """Hedge an attempt whose server has answered nothing since its send, after the silence time-out."""
        wait = HEDGE_FRACTION * job.request_class.latency_target
        if now < attempt.sent_at + wait - self.settings.tick:
            self.set_request_timer(job, attempt.sent_at + wait - now)
            return
        timeout_at = self.estimates.silence_timeout_at(attempt, server)
        if now < timeout_at:
            self.set_request_timer(job, timeout_at - now)
            return
        if self.estimates.is_silent(attempt, server, now):
            self.estimates.on_silence(server, now)
            self.large.mark_changed(server)
        if self.may_hedge() and (other := self.choose(job, now, 1.0)):
            self.send(job, other, now)
        else:  # checked again: later responses may show that the attempt is lost
            self.set_request_timer(job, attempt.usual_duration)
