"""Policy consensus of one proxy: connects the member to a clock, the network, the disk and the texts.

Invariants:

1. The monotonic clock is read at each event and before each request. Steps that are due by then run first, so
   that no request is served under an epoch that has ended, or under an epoch that was valid only before the
   process was suspended.
2. Events are handled one at a time; events that occur during the handling of another are queued.
3. The policy in force is decided by the consensus, not by this proxy's disk or configuration file. Only if
   `without_lease` is "serve" and no voter replies, the proxy continues with the last known policy,
   and logs that.
4. A policy is activated in one call: no request is served under parts of two policies.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from firvane.proxy.admin_api import calls
from firvane.proxy.admin_api.calls import AdminCall
from firvane.proxy.config.proxy_config import PolicyOptions
from firvane.proxy.quorum import events
from firvane.proxy.quorum.admin_calls import AdminCalls
from firvane.proxy.quorum.events import Event
from firvane.proxy.quorum.host import Host
from firvane.proxy.quorum.member import Member
from firvane.proxy.quorum.messages import MESSAGE_PREFIX
from firvane.proxy.quorum.store import HISTORY_LIMIT, HistoryEntry, RunOffLoop, Store, StoredFiles
from firvane.proxy.quorum.text_library import TextLibrary
from firvane.proxy.quorum.types import Timing, Value

MIN_TICK_DELAY_S = 0.001
OVERDUE_TICK_DELAY_S = 0.02  # if a step is due that cannot run yet
READINESS_TIMEOUT_LEASES = 5
TICKS_PER_RENEWAL = 4
MAX_REASON_CHARS = 120  # limit of a reason that is sent to another proxy
NO_HEADER = b""


class PolicyConsensus:
    """The policy consensus of one proxy.

    Attributes:
        epoch: The epoch of the policy in use; 0 if there is none yet.
        epoch_header: The header line of that epoch that answers carry, or none.
    """

    def __init__(
        self,
        host: Host,
        run_off_loop: RunOffLoop | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the consensus without starting it.

        Args:
            host: The proxy.
            run_off_loop: Runs disk writes; None uses a dedicated thread.
            clock: Returns seconds on a monotonic clock with the rate of the loop's clock.
        """
        config = host.config.policy
        assert config  # the consensus is only created if it is configured
        self.host = host
        self.config = config
        self.clock = clock
        self.loop = host.loop
        self.log = host.log
        self.me = host.config.settings.me
        self.timing = _timing(config)
        self.store = Store(config.folder, host.log, host.loop.call_soon_threadsafe, run_off_loop)
        self.library = TextLibrary(
            host, config, self.store, self._is_voter, self._on_text_available, self._on_text_save_failed
        )
        self.member: Member | None = None
        self.admin: AdminCalls | None = None  # None until the member is created
        self.value: Value | None = None  # the epoch whose policy is in use
        self.epoch = 0
        self.epoch_header = NO_HEADER
        self.first_lease = asyncio.Event()
        self.history: list[HistoryEntry] = []
        self.events: deque[Event] = deque()
        self.handling = False
        self.closed = False
        self.has_lease = False
        self.next_tick_at = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.action_handlers = self._make_action_handlers()

    def _make_action_handlers(self) -> dict[type[Any], Callable[[Any], None]]:
        host = self.host
        return {
            events.SendMessage: lambda action: host.peers.send_datagram(action.peer, action.payload),
            events.SaveState: self._save,
            events.FetchText: self._fetch,
            events.ActivatePolicy: lambda action: self._activate(action.value),
            events.LogEvent: lambda action: self.log.info(action.event, **action.fields),
        }

    # Interface for the proxy

    async def start(self) -> None:
        """Start the member, and wait until this proxy uses the policy in force.

        If `without_lease` is "serve", the wait is limited to the duration of a lease.

        Raises:
            OSError: The folder cannot be used.
        """
        stored = self.store.load()
        self._start_member(stored)
        self._handle(events.Tick())
        try:
            async with asyncio.timeout(self.timing.lease_s):
                await self.first_lease.wait()
        except TimeoutError:
            self._on_start_timeout(stored)
            if not self.config.serve_without_lease:
                await self.first_lease.wait()

    def _start_member(self, stored: StoredFiles) -> None:
        self.library.texts = dict(stored.texts)
        self.history = list(stored.history)
        state = stored.state
        digests = {entry.value.digest for entry in self.history[-1:]}
        if state:
            digests |= {state.decided.digest} | ({state.accepted[1].digest} if state.accepted else set())
        usable = [
            digest
            for digest in sorted(digests)
            if digest in self.library.texts and not self.library.check(digest).reason
        ]
        # The seed differs in each process, so that nonces of an earlier process are not reused even with the
        # same configured seed.
        entropy = f"{self.host.config.seed}:{self.host.wall():.9f}:{self.clock():.9f}"
        seed = random.Random(entropy).getrandbits(64)
        proxy_count, voters = self.host.config.settings.proxies, self.config.voters
        member = Member(self.me, proxy_count, voters, self.timing, seed, self.clock(), state, usable)
        self.member = member
        self.admin = AdminCalls(
            member,
            self.library,
            self.clock,
            self._handle,
            lambda: self.history,
            self.config.serve_without_lease,
        )
        self.log.info(
            "policy_consensus_started",
            has_state=state is not None,
            texts=len(self.library.texts),
            folder=self.config.folder,
        )

    def _on_start_timeout(self, stored: StoredFiles) -> None:
        """Handle a start without a lease: log it, and use the last known policy if configured."""
        assert self.member
        last = self.history[-1].value if self.history else None
        if stored.state:
            last = stored.state.decided
        if self.config.serve_without_lease and last and not self.library.check(last.digest).reason:
            self._use(last)
        status = self.member.status(self.clock())
        self.log.warning(
            "policy_lease_timeout",
            serving_epoch=self.epoch,
            status=status["standing"],
            votes=status["votes"],
        )

    def on_datagram(self, sender: int, payload: bytes) -> bool:
        """Handle a peer's datagram; return whether it is a message of the consensus."""
        if payload[:1] != MESSAGE_PREFIX:
            return False
        if self.member:
            self._handle(events.MessageReceived(sender, payload))
        return True

    def may_accept(self) -> bool:
        """Return whether a new request may be served now with the settings in use."""
        member = self.member
        if member is None or self.closed:
            return False
        now = self.clock()
        if now >= self.next_tick_at:
            self._handle(events.Tick())
        if self.config.serve_without_lease:
            return True
        return member.may_serve(now) and self.value == member.serving

    def call(self, asked: AdminCall) -> bytes:
        """Return the answer to a call of the admin API."""
        if self.admin is None:
            return calls.format_error("starting: what is on disk has not been read yet")
        return self.admin.answer(asked)

    def close(self) -> None:
        """Stop; all requested writes have finished when this returns."""
        self.closed = True
        if self.timer:
            self.timer.cancel()
        self.library.close()
        self.store.close()

    # Events and actions

    def _handle(self, event: Event) -> None:
        """Handle an event, and the events queued meanwhile."""
        self.events.append(event)
        member = self.member
        if self.handling or self.closed or member is None:
            return
        self.handling = True
        try:
            while self.events:
                for action in member.handle(self.events.popleft(), self.clock()):
                    self.action_handlers[type(action)](action)
        finally:
            self.handling = False
        self._schedule_tick(member)
        self._update_lease(member.may_serve(self.clock()))

    def _update_lease(self, has_lease: bool) -> None:
        if self.has_lease is has_lease:
            return
        self.has_lease = has_lease
        if has_lease:
            self.first_lease.set()
            self.log.info("policy_lease_acquired", epoch=self.epoch)
        elif self.first_lease.is_set():  # not logged before the first lease
            action = "serves on" if self.config.serve_without_lease else "refuses"
            self.log.warning("policy_lease_lost", epoch=self.epoch, action=action)

    def _schedule_tick(self, member: Member) -> None:
        """Schedule a `Tick` for the next timed step."""
        now = self.clock()
        due_at = min(member.next_tick_at(now), now + self.timing.renewal_interval_s / TICKS_PER_RENEWAL)
        due_at = max(due_at, now + MIN_TICK_DELAY_S) if due_at > now else now + OVERDUE_TICK_DELAY_S
        if self.timer and now < self.next_tick_at <= due_at:
            return  # the scheduled tick is early enough
        if self.timer:
            self.timer.cancel()
        self.next_tick_at = due_at
        self.timer = self.loop.call_later(due_at - now, self._tick)

    def _tick(self) -> None:
        self.timer = None
        self.library.uploads.expire(self.clock())
        self._handle(events.Tick())

    def _save(self, action: events.SaveState) -> None:
        self.store.save_state(
            action.state,
            lambda: self._handle(events.StateSaved(action.token)),
            lambda reason: self._handle(events.StateSaveFailed(action.token)),
        )

    def _fetch(self, action: events.FetchText) -> None:
        self.library.fetch(action.digest, action.holders)

    # The policy in use

    def _activate(self, value: Value) -> None:
        self._use(value)
        if not self.history or self.history[-1].value.epoch < value.epoch:
            entry = HistoryEntry(value, self.host.wall())
            self.history = [*self.history, entry][-HISTORY_LIMIT:]
            self.store.save_history(self.history)
        self.library.discard_old({entry.value.digest for entry in self.history})

    def _use(self, value: Value) -> None:
        settings = self.library.check(value.digest).settings
        if settings is None:
            self.log.error("policy_text_missing", epoch=value.epoch, digest=value.digest.hex())
            return
        if self.value is None or self.value.digest != value.digest:
            self.host.apply_policy(settings)
        self.value, self.epoch = value, value.epoch
        self.epoch_header = b"X-Policy-Epoch: %d\r\n" % value.epoch if self.config.sends_epoch else NO_HEADER

    # Texts

    def _is_voter(self) -> bool:
        serving = self.member.serving if self.member else None
        return self.me in (serving.voters if serving else self.config.voters)

    def _on_text_available(self, digest: bytes) -> None:
        reason = self.library.check(digest).reason[:MAX_REASON_CHARS]
        self._handle(events.TextChecked(digest, reason))
        if self.admin:
            self.admin.on_text_available(digest)

    def _on_text_save_failed(self, digest: bytes, reason: str) -> None:
        reason = f"a voter cannot keep its text: {reason}"
        if not (self.admin and self.admin.on_text_save_failed(digest, reason)):
            self._handle(events.TextChecked(digest, reason[:MAX_REASON_CHARS]))


def _timing(config: PolicyOptions) -> Timing:
    """Return the time bounds of the settings."""
    return Timing(
        lease_s=config.lease_duration_s,
        round_trip_s=config.max_round_trip_s,
        readiness_timeout_s=max(
            Timing.readiness_timeout_s, READINESS_TIMEOUT_LEASES * config.lease_duration_s
        ),
    )
