"""Load balancing of prompt requests: `PromptBalancer` maps each event to the actions of the router.

1. A request that is not retryable is sent again only if none of its earlier attempts can have run. A request
   is rejected only if none of its attempts can have run; otherwise it fails.
2. A request reaches at most `max_attempts` backends, and each backend after the first costs a token of the
   retry budget. A failed connection reaches no backend; the next backend is tried at once.
3. No request is rejected while a backend has capacity. While none has, requests are queued for a short time
   and dispatched by priority.
4. A time-out ejects a backend only while other backends respond (`attempt_timeouts.py`).
"""

from __future__ import annotations

import random
from collections.abc import Callable

from firvane.core import interface as api
from firvane.core.balancing.window import WINDOW
from firvane.fleet.placement import attempt_timeouts, health, outliers, selection
from firvane.fleet.placement.events import (
    InstancesChanged,
    PeersChanged,
    PlacementEvent,
    PromptRequest,
    ServiceInfo,
    StreamProgress,
)
from firvane.fleet.placement.exchange import RowExchange
from firvane.fleet.placement.pending_request import Attempt, PendingRequest
from firvane.fleet.placement.prompt_homes import make_prompt
from firvane.fleet.placement.request_queue import RequestQueue
from firvane.fleet.placement.retry_budget import RetryBudgetMetrics
from firvane.fleet.placement.rows import RowFlags
from firvane.fleet.placement.server_view import ServerView
from firvane.fleet.placement.service import Service
from firvane.fleet.placement.services import RetryLimits, Services

WINDOW_TOKEN = 0  # token of the timer that ends a window; tokens of request timers are larger
MAX_ATTEMPTS = 8  # attempts of one request, including those that reached no backend
QUEUE_TIME_RATIO = 0.2  # longest time in the queue, as a ratio of the latency target
MAX_QUEUE_TIME_S = 0.25
QUEUE_TIME_DEADLINE_DIVISOR = 4  # a request is queued for at most a quarter of the time to its deadline
NO_BACKEND_RETRY_AFTER_S = 0.3
NO_INSTANCES_RETRY_AFTER_S = 1.0  # longer, since a client retries only a few times
MIN_RETRY_AFTER_JITTER = 0.8
MAX_RETRY_AFTER_JITTER = 1.2
ANNOUNCED_PREFILL_TOKENS = 1000  # an attempt that prefills at least this many is announced at once
MIN_TIMER_S = 0.001
TIMER_TOLERANCE_S = 0.001  # a timer may fire this much early
EXPIRY_CHECK_WINDOWS = 8  # from one check for expired attempts to the next


class PromptBalancer:
    """The load balancer of one router for prompt requests.

    Attributes:
        services: All services by name.
        pending_requests: Requests without a final response, by id.
        queue: Pending requests that wait for a backend with capacity.
        attempts: Open attempts by request id and attempt number.
        exchange: The exchange of rows (load reports) with the other routers.
        announcement_due: Whether a long prompt was sent or a trial failed since the last row, so that the
            next window sends a row.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        now: float,
        *,
        retry_ratio: float = 0.2,
        retry_slack: float = 0.0,
        zone: str = "",
    ) -> None:
        """Create a balancer without services and peers.

        Args:
            settings: Settings of the balancer.
            seed: Seed of the random number generator.
            now: The current time in monotonic seconds.
            retry_ratio: Retries per request that each service may have, over all routers.
            retry_slack: Retries that each service may have in any window in addition to `retry_ratio`.
            zone: Name of this router's zone, as in the instance records; zones are ignored if it is empty.
        """
        self.settings, self.random = settings, random.Random(seed)
        limits = RetryLimits(retry_ratio, retry_slack)
        self.services = Services(settings.me, limits, zone, self.random)
        self.pending_requests: dict[int, PendingRequest] = {}
        self.queue = RequestQueue()
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.exchange = RowExchange(settings.me, self.services, now)
        self.windows = self.last_sequence = 0
        self.announcement_due = False
        self.actions: list[api.Action] = []
        self.handlers = self._make_handlers()

    def _make_handlers(self) -> dict[type, Callable[..., None]]:
        return {
            PromptRequest: self._on_request,
            api.Outcome: self._on_outcome,
            api.StreamStarted: self._on_started,
            api.ClientGone: self._on_client_gone,
            api.DeadlineShortened: self._on_deadline_shortened,
            api.TimerFired: self._on_timer,
            api.PeerMessage: self._on_row,
            InstancesChanged: self._on_instances,
            PeersChanged: self._on_peers,
            StreamProgress: self._on_progress,
            ServiceInfo: self._on_service,
        }

    def start(self, now: float) -> list[api.Action]:
        """Return the initial actions: request rows from the peers, and start the window timer."""
        self.actions = []
        self._announce(RowFlags.ASK, now)
        self._on_window(now)
        return self.actions

    def handle(self, event: api.Event | PlacementEvent, now: float) -> list[api.Action]:
        """Return the actions that an event requires; `now` is in monotonic seconds."""
        self.actions = []
        if handler := self.handlers.get(type(event)):
            handler(event, now)
        return self.actions

    def apply_settings(self, settings: api.Settings) -> None:
        """Replace the settings."""
        self.settings = settings

    def take_budget_metrics(self, now: float) -> dict[str, RetryBudgetMetrics]:
        """Return the metrics of each service's retry budget by service name, and reset their counts."""
        return {name: service.retry_budget.take_metrics(now) for name, service in self.services.items()}

    # Requests

    def _on_request(self, request: PromptRequest, now: float) -> None:
        prompt = make_prompt(request.chain, request.tokens_in, self.random.getrandbits(32))
        queue_time = min(
            QUEUE_TIME_RATIO * request.latency_target,
            MAX_QUEUE_TIME_S,
            request.time_left / QUEUE_TIME_DEADLINE_DIVISOR,
        )
        service = self.services.draw(request.services)
        pending = PendingRequest(request, prompt, service.name, now + request.time_left, now + queue_time)
        self.pending_requests[request.id] = pending
        service.retry_budget.record_request(now)
        if service.instances_known and not service.ready:
            self._reject(pending, NO_BACKEND_RETRY_AFTER_S)
        else:
            self._dispatch(pending, now)

    def _dispatch(self, pending: PendingRequest, now: float) -> None:
        """Send, queue or end a request that has no open attempt."""
        service = self.services[pending.service]
        over_budget = pending.attempts_reached > 0 and not service.retry_budget.allows(now)
        exhausted = not pending.has_attempts_left or pending.attempts_made >= MAX_ATTEMPTS
        if exhausted or now >= pending.deadline or over_budget or not pending.may_retry:
            self._finish(pending, now)
        elif server := selection.choose(service, pending, now):
            self._send(pending, service, server, now)
        elif now < pending.queue_until:
            self._enqueue(pending, now)
        else:
            self._finish(pending, now)

    def _enqueue(self, pending: PendingRequest, now: float) -> None:
        self.queue.add(pending)
        self._set_timer(pending, pending.queue_until - now)

    def _dispatch_queued(self, now: float) -> None:
        """Dispatch queued requests until no backend has capacity for one of them."""
        for pending in self.queue.by_priority():
            self.queue.discard(pending)
            self._dispatch(pending, now)
            if pending in self.queue:
                return

    def _send(self, pending: PendingRequest, service: Service, server: ServerView, now: float) -> None:
        self.last_sequence += 1
        attempt = service.start_attempt(pending, server, self.last_sequence, now)
        pending.in_flight[attempt.number] = self.attempts[pending.request.id, attempt.number] = attempt
        pending.attempted_servers.add(server.id)
        pending.attempts_made += 1
        pending.attempts_reached += 1
        pending.may_have_run += 1
        self.actions.append(api.Send(pending.request.id, server.id))
        self._set_timer(pending, attempt_timeouts.first_check_delay(attempt, pending.request))
        if attempt.prefill_tokens >= ANNOUNCED_PREFILL_TOKENS:
            self.announcement_due = True
            if self.exchange.may_announce(now):
                self._announce(RowFlags.NONE, now)

    def _finish(self, pending: PendingRequest, now: float) -> None:
        """End a request: reject it if none of its attempts can have run, fail it otherwise."""
        if pending.may_have_run or pending.response_started:
            self._close(pending)
            self.actions.append(api.Fail(pending.request.id))
            return
        service = self.services[pending.service]
        retry_after = service.retry_after(now) if service.instances_known else NO_INSTANCES_RETRY_AFTER_S
        jitter = self.random.uniform(MIN_RETRY_AFTER_JITTER, MAX_RETRY_AFTER_JITTER)
        self._reject(pending, retry_after * jitter)

    def _reject(self, pending: PendingRequest, retry_after: float) -> None:
        self._close(pending)
        self.actions.append(api.Reject(pending.request.id, retry_after))

    def _close(self, pending: PendingRequest) -> None:
        """Remove a request that needs no further response, and cancel its open attempts."""
        self.pending_requests.pop(pending.request.id, None)
        self.queue.discard(pending)
        self.actions.extend(api.Cancel(pending.request.id, number) for number in pending.in_flight)

    def _set_timer(self, pending: PendingRequest, delay: float) -> None:
        request_id = pending.request.id
        self.actions.append(api.SetTimer(max(MIN_TIMER_S, delay), request_id + 1, request_id))

    def may_continue(self, request_id: int, now: float) -> bool:
        """Return whether a started stream could continue at another server if its attempt ended now."""
        pending = self.pending_requests.get(request_id)
        if pending is None or not pending.request.retryable:
            return False
        if not pending.has_attempts_left or pending.attempts_made >= MAX_ATTEMPTS:
            return False
        service = self.services[pending.service]
        return service.retry_budget.has_token(now) and selection.choose(service, pending, now) is not None

    # Attempts

    def _on_started(self, event: api.StreamStarted, now: float) -> None:
        attempt = self.attempts.get((event.id, event.attempt))
        if attempt is None:
            return
        self.services[attempt.service].record_first_event(attempt, event.duration, now)
        if pending := self.pending_requests.get(event.id):
            pending.response_started = True
            others = [number for number in pending.in_flight if number != event.attempt]
            self.actions.extend(api.Cancel(event.id, number) for number in others)
            pending.in_flight = {event.attempt: attempt}

    def _on_progress(self, event: StreamProgress, now: float) -> None:
        for service in self.services.values():
            if server := service.servers.get(event.server):
                server.progress_events += 1
                health.record_progress(server, now)

    def _on_outcome(self, outcome: api.Outcome, now: float) -> None:
        attempt = self.attempts.pop((outcome.id, outcome.attempt), None)
        if attempt is None:
            return
        service, pending = self.services[attempt.service], self.pending_requests.get(outcome.id)
        if outcome.result is api.Result.OK:
            service.record_completion(attempt, now)
        health.record_end(attempt.server, outcome.result, attempt.started, now)
        failed = health.is_failure(outcome.result, attempt.started)
        if failed and outliers.record_failure(attempt.server, attempt.sent_at, now):
            self.announcement_due = True
        service.end_attempt(attempt, now)
        if outcome.result.never_ran and outcome.result is not api.Result.OVERLOADED and attempt.is_retry:
            service.retry_budget.refund(now)
        if pending:
            self._end_attempt(pending, attempt, outcome, now)
        if self.queue:
            self._dispatch_queued(now)

    def _end_attempt(
        self, pending: PendingRequest, attempt: Attempt, outcome: api.Outcome, now: float
    ) -> None:
        """Update a request after the end of one of its attempts, and dispatch it again if necessary."""
        if outcome.result.never_ran:
            pending.may_have_run -= 1
            pending.attempts_reached -= outcome.result is not api.Result.OVERLOADED
        was_in_flight = pending.in_flight.pop(attempt.number, None) is not None
        if outcome.finished:
            self._close(pending)
        elif was_in_flight and not pending.in_flight:
            self._dispatch(pending, now)

    def _on_client_gone(self, event: api.ClientGone, now: float) -> None:
        if pending := self.pending_requests.get(event.id):
            self._close(pending)

    def _on_deadline_shortened(self, event: api.DeadlineShortened, now: float) -> None:
        if pending := self.pending_requests.get(event.id):
            pending.deadline = min(pending.deadline, now + event.time_left)

    # Timers

    def _on_timer(self, event: api.TimerFired, now: float) -> None:
        if event.token == WINDOW_TOKEN:
            self._on_window(now)
        elif pending := self.pending_requests.get(event.token - 1):
            if pending in self.queue and now >= pending.queue_until - TIMER_TOLERANCE_S:
                self.queue.discard(pending)
                self._dispatch(pending, now)
            elif not pending.response_started:
                self._check_attempts(pending, now)

    def _check_attempts(self, pending: PendingRequest, now: float) -> None:
        """Check the attempts of a request that has received no event within the expected time."""
        service = self.services[pending.service]
        for attempt in list(pending.in_flight.values()):
            backlog = attempt.server.prefill_backlog(service.throughput.prefill_rate.value, now)
            if attempt_timeouts.is_unresponsive(attempt, service.ready, backlog, now):
                self._eject_unresponsive(attempt.server, now)
            if not self._reroute(pending, attempt, service, now):
                self._set_timer(pending, attempt_timeouts.next_check_delay(attempt, now))

    def _eject_unresponsive(self, server: ServerView, now: float) -> None:
        """Eject an unresponsive server, and announce this to the peers at once."""
        if not health.is_ejected(server) or server.on_trial:
            health.eject_unresponsive(server, now)
            self._announce(RowFlags.NONE, now)

    def _reroute(self, pending: PendingRequest, attempt: Attempt, service: Service, now: float) -> bool:
        """Replace a timed-out or late attempt by one at another server; return whether this was done."""
        timed_out = attempt_timeouts.is_timed_out(attempt, now)
        request = pending.request
        allowed = request.retryable and pending.has_attempts_left and service.retry_budget.allows(now)
        server = selection.choose(service, pending, now) if allowed else None
        if server is None:
            return False
        prefill_tokens = service.prefill_tokens(pending.prompt, server)
        expected_elsewhere = service.expected_first_event(server, prefill_tokens, now)
        remaining_wait = attempt.server.queueing_delay(service.throughput.prefill_rate.value, now)
        if not timed_out and not attempt_timeouts.is_faster_elsewhere(
            attempt, remaining_wait, expected_elsewhere, request.latency_target, now
        ):
            return False
        if now + expected_elsewhere > pending.deadline:
            return False
        del pending.in_flight[attempt.number]
        self.actions.append(api.Cancel(request.id, attempt.number))
        self._send(pending, service, server, now)
        return True

    def _on_window(self, now: float) -> None:
        self.windows += 1
        self.actions.append(api.SetTimer(WINDOW, WINDOW_TOKEN))
        self.exchange.refresh(now)
        if self.announcement_due or self.windows % self.exchange.peers.row_interval == 0:
            self._announce(RowFlags.NONE, now)
        zones = self.exchange.peers.zones()
        for service in self.services.values():
            service.step(self.exchange.sections(service, now), zones)
            outliers.eject_outliers(service.ready, len(service.routers), now)
            for server in service.ready:
                if health.streams_are_stalled(server, service.ready, now) and not health.is_ejected(server):
                    self._eject_unresponsive(server, now)
        if self.windows % EXPIRY_CHECK_WINDOWS == 0:
            self._expire_attempts(now)
        self._dispatch_queued(now)

    def _expire_attempts(self, now: float) -> None:
        """Drop attempts whose end was never reported, so that they do not stay open for ever."""
        for key, attempt in list(self.attempts.items()):
            if now > attempt.expires_at:
                del self.attempts[key]
                self.services[attempt.service].end_attempt(attempt, now)

    # Peers and instances

    def _announce(self, flags: RowFlags, now: float) -> None:
        self.announcement_due = False
        self.actions.append(self.exchange.announce(flags, len(self.queue), now))

    def _on_row(self, message: api.PeerMessage, now: float) -> None:
        self.actions += self.exchange.receive(message, len(self.queue), now)

    def _on_peers(self, event: PeersChanged, now: float) -> None:
        if self.exchange.update(event, now):
            self._announce(RowFlags.ASK, now)

    def _on_instances(self, event: InstancesChanged, now: float) -> None:
        self.services[event.service].update(event.instances)
        self.exchange.apply_unmatched_blocks()
        self._dispatch_queued(now)

    def _on_service(self, event: ServiceInfo, now: float) -> None:
        self.services[event.service].configure(event)
        self._dispatch_queued(now)
