"""All decisions for prompts: `PromptBalancer` takes an event and returns the actions that it calls for.

1. A request that may not be repeated is never sent again unless its earlier attempts surely did not run, and
   it is refused only in that case; else it fails.
2. A request reaches at most `max_attempts` backends, and each after its first is paid from the retry budget.
   A failed connection reached nothing and is followed by the next backend at once.
3. Nothing is refused while a backend has room. What has none is held briefly, the most urgent first.
4. Silence of a backend counts only beside signs of life of others (`watch.py`).
"""

from __future__ import annotations

import random
from collections.abc import Callable

from firvane.core import interface as api
from firvane.core.balancing.window import WINDOW
from firvane.fleet.placement import attempt_timeouts, health, outliers, selection
from firvane.fleet.placement.budget import BudgetFigures
from firvane.fleet.placement.events import (
    InstancesChanged,
    PeersChanged,
    PlacementEvent,
    Progress,
    PromptRequest,
    ServiceInfo,
)
from firvane.fleet.placement.exchange import RowExchange
from firvane.fleet.placement.hold_queue import HoldQueue
from firvane.fleet.placement.homes import make_prompt
from firvane.fleet.placement.jobs import Attempt, Job
from firvane.fleet.placement.rows import RowFlags
from firvane.fleet.placement.server_view import Server
from firvane.fleet.placement.service import Service
from firvane.fleet.placement.services import RetryLimits, Services

WINDOW_TOKEN = 0  # of the timer
MOST_SENDS = 8  # attempts of one request, those that reached nothing included
HOLD_PART, HOLD_LONGEST = 0.2, 0.25  # of the aim, and s, that a request is held for room
NO_BACKEND_PAUSE = 0.3  # s asked for where a service has no ready backend
NO_LIST_PAUSE = 1.0  # s asked for where its backends are not known yet: a client comes again but a few times
NOTICE_TOKENS = 1000  # to read: such a prompt is announced when it is sent
TIMER_SLACK = 0.001  # s that a timer may fire early
REAP_EVERY = 8  # windows between looks for attempts whose end was never told


class PromptBalancer:
    """One router's decisions for prompts."""

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
        """`retry_*`: the retry budget of each service over all routers.

        `zone` is the name of the own zone as instances tell it; without it, zones do not matter.
        """
        self.settings, self.random = settings, random.Random(seed)
        limits = RetryLimits(retry_ratio, retry_slack)
        self.services = Services(settings.me, limits, zone, self.random)
        self.jobs: dict[int, Job] = {}
        self.held = HoldQueue()
        self.attempts: dict[tuple[int, int], Attempt] = {}
        self.exchange = RowExchange(settings.me, self.services, now)
        self.windows = self.tag = 0
        self.notice_owed = False  # a long prompt went out, or a trial failed, and no row has told of it
        self.actions: list[api.Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            PromptRequest: self._on_request,
            api.Outcome: self._on_outcome,
            api.StreamStarted: self._on_started,
            api.ClientGone: self._on_client_gone,
            api.DeadlineShortened: self._on_hastened,
            api.TimerFired: self._on_timer,
            api.PeerMessage: self._on_row,
            InstancesChanged: self._on_instances,
            PeersChanged: self._on_peers,
            Progress: self._on_progress,
            ServiceInfo: self._on_service,
        }

    def start(self, now: float) -> list[api.Action]:
        """What a new router does first: ask for rows, and begin its windows."""
        self.actions = []
        self._announce(RowFlags.ASK, now)
        self._on_window(now)
        return self.actions

    def handle(self, event: api.Event | PlacementEvent, now: float) -> list[api.Action]:
        """The actions that an event calls for; `now` in monotonic seconds."""
        self.actions = []
        if handler := self.handlers.get(type(event)):
            handler(event, now)
        return self.actions

    def retune(self, settings: api.Settings) -> None:
        """Go on by other settings."""
        self.settings = settings

    def take_budget_figures(self, now: float) -> dict[str, BudgetFigures]:
        """The retry budget of each service, for the log."""
        return {name: service.budget.take_figures(now) for name, service in self.services.items()}

    # Requests

    def _on_request(self, request: PromptRequest, now: float) -> None:
        prompt = make_prompt(request.chain, request.tokens_in, self.random.getrandbits(32))
        hold = min(HOLD_PART * request.aim, HOLD_LONGEST, request.time_left / 4)
        service = self.services.draw(request.services)
        job = Job(request, prompt, service, now + request.time_left, now + hold)
        self.jobs[request.id] = job
        service.budget.note_request(now)
        if service.is_known and not service.ready:
            self._refuse(job, NO_BACKEND_PAUSE)
        else:
            self._place(job, now)

    def _place(self, job: Job, now: float) -> None:
        """Send a job on, hold it for room, or end it."""
        service = job.service
        spent = job.reached > 0 and not service.budget.allows(now)
        over = not job.attempts_left or job.sends >= MOST_SENDS or now >= job.deadline
        if over or spent or not job.may_repeat:
            self._finish(job, now)
        elif server := selection.choose(service, job, now):
            self._send(job, server, now)
        elif now < job.hold_until:
            self._hold(job, now)
        else:
            self._finish(job, now)

    def _hold(self, job: Job, now: float) -> None:
        self.held.add(job)
        self._set_timer(job, job.hold_until - now)

    def _retry_held(self, now: float) -> None:
        """Try again what is held, until one finds no room."""
        for job in self.held.in_order():
            self.held.drop(job)
            self._place(job, now)
            if job in self.held:
                return

    def _send(self, job: Job, server: Server, now: float) -> None:
        self.tag += 1
        attempt = job.service.send(job, server, self.tag, now)
        job.out[attempt.number] = self.attempts[job.request.id, attempt.number] = attempt
        job.tried.add(server.id)
        job.sends += 1
        job.reached += 1
        job.may_have_run += 1
        self.actions.append(api.Send(job.request.id, server.id))
        self._set_timer(job, attempt_timeouts.first_look(attempt, job.request))
        if attempt.tokens >= NOTICE_TOKENS:
            self.notice_owed = True
            if self.exchange.may_announce(now):
                self._announce(RowFlags.NONE, now)

    def _finish(self, job: Job, now: float) -> None:
        """The final answer: a refusal where nothing has run or may run, a failure otherwise."""
        if job.may_have_run or job.begun:
            self._close(job)
            self.actions.append(api.Fail(job.request.id))
            return
        service = job.service
        pause = service.pause(now) if service.is_known else NO_LIST_PAUSE
        self._refuse(job, pause * self.random.uniform(0.8, 1.2))

    def _refuse(self, job: Job, retry_after: float) -> None:
        self._close(job)
        self.actions.append(api.Reject(job.request.id, retry_after))

    def _close(self, job: Job) -> None:
        """No answer is owed any more: what is still out is waste."""
        self.jobs.pop(job.request.id, None)
        self.held.drop(job)
        self.actions.extend(api.Cancel(job.request.id, number) for number in job.out)

    def _set_timer(self, job: Job, span: float) -> None:
        self.actions.append(api.SetTimer(max(0.001, span), job.request.id + 1, job.request.id))

    def may_continue(self, number: int, now: float) -> bool:
        """Whether a stream that has begun would be taken up elsewhere if its attempt were given up now."""
        job = self.jobs.get(number)
        if job is None or not (job.request.repeatable and job.attempts_left) or job.sends >= MOST_SENDS:
            return False
        return job.service.budget.has_token(now) and selection.choose(job.service, job, now) is not None

    # News of attempts

    def _on_started(self, event: api.StreamStarted, now: float) -> None:
        attempt = self.attempts.get((event.id, event.attempt))
        if attempt is None:
            return
        attempt.service.started(attempt, event.duration, now)
        if job := self.jobs.get(event.id):
            job.begun = True
            others = [number for number in job.out if number != event.attempt]
            self.actions.extend(api.Cancel(event.id, number) for number in others)
            job.out = {event.attempt: attempt}

    def _on_progress(self, event: Progress, now: float) -> None:
        for service in self.services.values():
            if server := service.servers.get(event.server):
                server.hints += 1
                health.note_progress(server, now)

    def _on_outcome(self, outcome: api.Outcome, now: float) -> None:
        attempt = self.attempts.pop((outcome.id, outcome.attempt), None)
        if attempt is None:
            return
        service, job = attempt.service, self.jobs.get(outcome.id)
        if outcome.result is api.Result.OK:
            service.answered(attempt, now)
        health.note_end(attempt.server, outcome.result, attempt.started, now)
        failed = health.is_failure(outcome.result, attempt.started)
        if failed and outliers.note_failure(attempt.server, attempt.sent_at, now):
            self.notice_owed = True
        service.ended(attempt, now)
        if outcome.result.never_ran and outcome.result is not api.Result.OVERLOADED and attempt.repeat:
            service.budget.refund(now)
        if job:
            self._settle(job, attempt, outcome, now)
        if self.held:
            self._retry_held(now)

    def _settle(self, job: Job, attempt: Attempt, outcome: api.Outcome, now: float) -> None:
        """What the end of an attempt means to its request."""
        if outcome.result.never_ran:
            job.may_have_run -= 1
            job.reached -= outcome.result is not api.Result.OVERLOADED
        was_out = job.out.pop(attempt.number, None) is not None
        if outcome.finished:
            self._close(job)
        elif was_out and not job.out:
            self._place(job, now)

    def _on_client_gone(self, event: api.ClientGone, now: float) -> None:
        if job := self.jobs.get(event.id):
            self._close(job)

    def _on_hastened(self, event: api.DeadlineShortened, now: float) -> None:
        if job := self.jobs.get(event.id):
            job.deadline = min(job.deadline, now + event.time_left)

    # Timers

    def _on_timer(self, event: api.TimerFired, now: float) -> None:
        if event.token == WINDOW_TOKEN:
            self._on_window(now)
        elif job := self.jobs.get(event.token - 1):
            if job in self.held and now >= job.hold_until - TIMER_SLACK:
                self.held.drop(job)
                self._place(job, now)
            elif not job.begun:
                self._look(job, now)

    def _look(self, job: Job, now: float) -> None:
        """Look after an attempt that has had no event for longer than expected."""
        for attempt in list(job.out.values()):
            service = job.service
            ahead = attempt.server.backlog(service.speeds.reading.value, now)
            if attempt_timeouts.is_silent(attempt, service.ready, ahead, now):
                self._suspect(attempt.server, now)
            lost = attempt_timeouts.is_lost(attempt, now)
            if not self._replace(job, attempt, service, lost, now):
                self._set_timer(job, attempt_timeouts.next_look(attempt, now))

    def _suspect(self, server: Server, now: float) -> None:
        """Nothing comes from a server; the peers hear of it at once."""
        if not health.is_ejected(server) or server.on_trial:
            health.note_silent(server, now)
            self._announce(RowFlags.NONE, now)

    def _replace(self, job: Job, attempt: Attempt, service: Service, lost: bool, now: float) -> bool:
        """Send a request elsewhere in place of a lost or late attempt; False where that may not be."""
        allowed = job.request.repeatable and job.attempts_left and service.budget.allows(now)
        server = selection.choose(service, job, now) if allowed else None
        if server is None:
            return False
        elsewhere = selection.expected_first(service, server, service.unread(job.prompt, server), now)
        ahead = attempt.server.queue(service.speeds.reading.value, now)
        if not lost and not attempt_timeouts.is_better_elsewhere(
            attempt, ahead, elsewhere, job.request.aim, now
        ):
            return False
        if now + elsewhere > job.deadline:
            return False
        del job.out[attempt.number]
        self.actions.append(api.Cancel(job.request.id, attempt.number))
        self._send(job, server, now)
        return True

    def _on_window(self, now: float) -> None:
        self.windows += 1
        self.actions.append(api.SetTimer(WINDOW, WINDOW_TOKEN))
        self.exchange.refresh(now)
        if self.notice_owed or self.windows % self.exchange.peers.row_every == 0:
            self._announce(RowFlags.NONE, now)
        zones = self.exchange.peers.zones()
        for service in self.services.values():
            service.step(self.exchange.sections(service, now), zones)
            outliers.step(service.ready, len(service.routers), now)
            for server in service.ready:
                if health.streams_are_silent(server, service.ready, now) and not health.is_ejected(server):
                    self._suspect(server, now)
        if self.windows % REAP_EVERY == 0:
            self._reap(now)
        self._retry_held(now)

    def _reap(self, now: float) -> None:
        """Drop attempts whose end should long have been told, so that none counts for ever."""
        for key, attempt in list(self.attempts.items()):
            if now > attempt.expires:
                del self.attempts[key]
                attempt.service.ended(attempt, now)

    # Peers and instances

    def _announce(self, flags: RowFlags, now: float) -> None:
        self.notice_owed = False
        self.actions.append(self.exchange.announce(flags, len(self.held), now))

    def _on_row(self, message: api.PeerMessage, now: float) -> None:
        self.actions += self.exchange.hear(message, len(self.held), now)

    def _on_peers(self, event: PeersChanged, now: float) -> None:
        if self.exchange.update(event, now):
            self._announce(RowFlags.ASK, now)

    def _on_instances(self, event: InstancesChanged, now: float) -> None:
        self.services[event.service].update(event.instances)
        self.exchange.place_reads()
        self._retry_held(now)

    def _on_service(self, event: ServiceInfo, now: float) -> None:
        self.services[event.service].configure(event)
