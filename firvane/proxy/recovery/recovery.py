"""Recovery of one proxy after a power loss: its state, which backends it may send to, and request priorities.

Invariants:

1. During a recovery a backend that has just started, has an unknown start time, or has not responded to this
   process, receives requests only from its owner, as `steps` allows, and from other proxies only within the
   capacity that its owner has lent them. All other backends are handled as in ordinary operation.
2. Until rows of all peers have arrived, or `PEER_TIMEOUT_S` has passed, slices are not computed from live
   proxies: each proxy would consider itself the owner of every backend. Until then the owner of a backend is
   the proxy that the hash of its id selects.
3. Unresponsive backends are retried at short, even intervals: a failed connection attempt costs no backend
   anything, only the owner makes it, and an exponential backoff would delay the detection of their return.
4. First attempts have priority over retries, most of which have missed their latency target: retries may use
   only a part of each capacity. So may keys whose own backend has another owner: a cache hit there saves a
   third of the work.
5. A rejected client gets a Retry-After of at least the latency target, spread up to the permitted maximum.
6. A backend that accepted no connection for `RESTART_GAP_S` and responds again counts as restarted, whatever
   the endpoint list says, also in ordinary operation: it is cold from then on, and its owner finds its
   capacity by steps. Backends that were cold when a recovery ended do not begin the next one.
7. Restored and reported values are priors: a scale where this process has no estimate, a first capacity of a
   few attempts, a backend that is taken for colder than the list says. None of them opens a backend or closes
   it for good.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, OpenRequest
from firvane.core.balancing.rows import Row
from firvane.proxy.capacity.backend_estimates import BackendEstimates
from firvane.proxy.recovery import messages, steps
from firvane.proxy.recovery.messages import CapacityLoan, StateReply, StateRequest
from firvane.proxy.recovery.peers import (
    ASK_INTERVAL_S,
    MAX_ASKED_PEERS,
    RESERVED_ATTEMPTS,
    CapacityLoans,
    PeerReports,
    most_unserved,
)
from firvane.proxy.recovery.state_machine import (
    CALM_PERIOD_S,
    PEER_TIMEOUT_S,
    RecoveryEvent,
    RecoveryState,
    RecoveryStateMachine,
)

TRIAL_INTERVAL_S = (0.15, 0.25)  # bounds of the time between attempts at a backend that does not respond
# The part of a capacity that may be used by retries, and by keys whose own backend has another owner.
RETRY_SHARE, FOREIGN_KEY_SHARE = 0.4, 0.7
RESTART_GAP_S = 1.0  # without a connection, after which a backend counts as restarted
COLD_WEIGHT_SHARE = 0.5  # of the weight of this proxy's slice that is cold: power has failed for it
LENDING_DELAY_S = 0.5  # without a rejection here, before capacity is lent
WINDOW_S = 0.25  # in which the arrivals of a row were counted


class Recovery:
    """The recovery of a proxy that has it enabled. Times are seconds on one clock.

    Attributes:
        is_slice_known: Slices are computed from all live proxies.
        rejected_at: When a request was last rejected for lack of capacity.
        last_response_at: When a backend last responded.
        responding_since: When the backends that have responded since their start first did.
        stepped_starts: Backends whose capacity is found by steps, with their start times as the steps began.
        own_slice: The backends of this proxy, as of the last window.
        unreachable_since: Since when connections to a backend have failed.
        cold_at_end: The start times of the backends that were cold when the last recovery ended.
        is_mostly_cold: At least `COLD_WEIGHT_SHARE` of this proxy's slice is cold.
        are_peers_warm: Peers are warm: backends that are not listed as just started are not cold.
        restored: The estimates of an earlier process.
        version: Of the endpoint list, as last sent by discovery itself.
        request_count: State requests sent; `last_round_size` of them in the last round.
        sources: The values that are in use, and where they come from, for operators.
    """

    def __init__(
        self,
        options: api.RecoveryOptions,
        settings: api.Settings,
        estimates: BackendEstimates,
        rng: random.Random,
        now: float,
    ) -> None:
        self.options, self.settings, self.estimates, self.rng = options, settings, estimates, rng
        self.state_machine, self.created_at = RecoveryStateMachine(now), now
        self.is_slice_known = settings.proxies <= 1 or not settings.limits.peers
        self.rejected_at = now
        self.last_response_at = now - messages.NEVER_S
        self.responding_since = dict[Backend, float]()
        self.stepped_starts = dict[Backend, float | None]()
        self.own_slice = set[Backend]()
        self.unreachable_since = dict[Backend, float]()
        self.cold_at_end = dict[Backend, float | None]()
        self.is_mostly_cold = False
        self.are_peers_warm = False
        self.restored: api.RestoredEstimates | None = None
        self.version = 0
        self.reports, self.loans = PeerReports(), CapacityLoans()
        self.next_request_at, self.request_count, self.request_rounds, self.last_round_size = now, 0, 0, 0
        self.sources: dict[str, str] = {}

    @property
    def on(self) -> bool:
        """Whether the recovery is not over."""
        return self.state_machine.is_active

    # Queries of the balancer

    def is_blocked(self, server: Backend, is_mine: bool, now: float) -> bool | None:
        """Return whether this proxy may not send to a backend now; None: as in ordinary operation."""
        if server in self.stepped_starts:
            return False
        if not self.on:
            return None
        if self._is_known(server, now):
            return None
        if is_mine and self.is_slice_known:
            return True if self.options.steps else None  # the next window begins its steps
        return server.in_flight >= self.loans.borrowed_attempts(server, now) if self.options.trials else None

    def _is_known(self, server: Backend, now: float) -> bool:
        """Return whether a backend is handled as in ordinary operation: it is warm and responds.

        It counts as warm by its age, or since peers are warm.
        """
        aged = self.are_peers_warm or (server in self.responding_since and self._is_old(server, now))
        return aged and not self.estimates.is_in_slow_start(server, now)

    def _is_old(self, server: Backend, now: float) -> bool:
        """Return whether a backend's start is known, or precedes its first response by enough time.

        Enough is the time after which even a backend that was cold at that response could not be overloaded
        by the load of a warm one.
        """
        rules = self.settings.rules
        need = max(0.0, 1.0 / max(1.0, rules.fall_multiple) - rules.start_capacity)
        span = rules.slow_start * min(1.0, need / max(1e-9, 1.0 - rules.start_capacity))
        return server.started_at is not None or now >= self.responding_since.get(server, now) + span

    def is_stepped(self, server: Backend) -> bool:
        """Return whether the capacity of a backend is found by steps."""
        return server in self.stepped_starts

    def capacity_share(self, job: OpenRequest) -> float:
        """Return the part of a backend's capacity that a request may use."""
        return RETRY_SHARE if self.on and self.options.first_tries and job.request.is_retry else 1.0

    def foreign_key_share(self) -> float:
        """Return the part of a capacity that may be used by keys whose own backend has another owner."""
        return FOREIGN_KEY_SHARE if self.on and self.options.first_tries else 1.0

    def fits_latency_target(self, job: OpenRequest, server: Backend) -> bool:
        """Return whether a request may be sent to a backend by its expected response time."""
        return (
            not self.is_stepped(server)
            or job.attempts_sent > 0
            or steps.fits_target(server, job.request.work, job.request_class.latency_target)
        )

    def adjust_retry_after(self, job: OpenRequest, retry_after: float, now: float) -> float:
        """Return the Retry-After of a rejected request: random while first attempts have priority.

        It is then between the latency target and the permitted maximum, otherwise `retry_after`.
        """
        self.rejected_at = now
        if not (self.on and self.options.first_tries):
            return retry_after
        longest = self.settings.limits.max_retry_after
        return self.rng.uniform(min(job.request_class.latency_target, longest), longest)

    # Events

    def restore(self, restored: api.RestoredEstimates, kinds: Mapping[str, int]) -> None:
        """Use the estimates of an earlier process; `kinds` has the numbers of server kinds by name."""
        self.restored, estimates = restored, self.estimates
        estimates.fleet_rate = max(estimates.fleet_rate, restored.scale)
        for name, rate in restored.kinds.items():
            if name in kinds and rate > 0.0:
                estimates.best_rate.setdefault(kinds[name], rate)
                if restored.scale:
                    estimates.relative_rate.setdefault(kinds[name], rate / restored.scale)
        self.sources["memory"] = (
            f"scale {restored.scale:.3g}, {len(restored.capacities)} rooms, {restored.age:.0f} s old"
        )

    def estimates_to_save(self, servers: Iterable[Backend], kinds: Sequence[str]) -> api.RestoredEstimates:
        """Return the estimates for a later process; `kinds` has the names of server kinds by number.

        Capacities that are still being found, or were never tried, are less reliable than the restored ones.
        """
        earlier, estimates = self.restored or api.RestoredEstimates(0.0), self.estimates
        listed = list(servers)
        rates = {kinds[n]: rate for n, rate in estimates.best_rate.items() if n < len(kinds) and rate > 0.0}
        measured = {
            s.entry.id: s.capacity
            for s in listed
            if s in self.responding_since and not (self.on and s in self.stepped_starts)
        }
        retained = {
            s.entry.id: earlier.capacities[s.entry.id] for s in listed if s.entry.id in earlier.capacities
        }
        starts = {s.entry.id: s.entry.up_since for s in listed if s.entry.up_since is not None}
        return api.RestoredEstimates(0.0, estimates.fleet_rate, rates, retained | measured, starts)

    def handle_attempt_end(
        self, server: Backend, job: OpenRequest | None, outcome: api.Outcome, now: float
    ) -> None:
        """Handle the end of an attempt, which the estimates include already."""
        if outcome.result is api.Result.OK:
            self.last_response_at = now
            self.responding_since.setdefault(server, now)
            self.state_machine.apply(RecoveryEvent.ANSWERED, now, server.entry.id)
            if now > self.unreachable_since.pop(server, now) + RESTART_GAP_S:
                if not self.estimates.is_in_slow_start(server, now):
                    server.started_at, server.response_count = now, 0.0
                if server in self.own_slice:
                    self._restart_steps(server, 1.0)
        elif outcome.result is api.Result.CONNECT_FAILED:
            self.unreachable_since.setdefault(server, now)
            if server.failures > 1 and server in self.own_slice and server not in self.stepped_starts:
                self._restart_steps(server, 1.0)
        if server in self.stepped_starts and outcome.result is not api.Result.CANCELLED:
            request = job.request if job else None
            target_s = job.request_class.latency_target if job else self.settings.classes[0].latency_target
            lent = self.loans.lent_attempts(server, now)
            steps.on_attempt_ended(server, request, target_s, outcome, lent, now)
            server.capacity = max(1.0, server.stepped_capacity - lent)
            if outcome.result is api.Result.CONNECT_FAILED and self.options.trials:
                server.retry_at = min(server.retry_at, now + self.rng.uniform(*TRIAL_INTERVAL_S))

    def handle_list(self, servers: Collection[Backend], update: api.ServerList, now: float) -> None:
        """Handle a change of the endpoint list; `servers` are the backends that are up."""
        if update.kind is not api.ListKind.CACHED:
            self.version = update.version
            self.sources["list"] = f"discovery, version {update.version}"
        else:
            self.sources.setdefault("list", f"as last known, version {update.version}")
        self.state_machine.apply(
            RecoveryEvent.LISTED if servers else RecoveryEvent.ENDPOINTS_LOST, now, f"{len(servers)} boxes"
        )
        up = set(servers)
        self.responding_since = {s: since for s, since in self.responding_since.items() if s in up}
        for server in self.stepped_starts.keys() - up:
            del self.stepped_starts[server]
        for server, start in self.stepped_starts.items():
            if server.started_at != start:  # it has restarted, which invalidates its capacity
                self._restart_steps(server, 1.0)
        for gone in self.unreachable_since.keys() - up:
            del self.unreachable_since[gone]
        if not self.is_slice_known:
            self._begin_steps(servers, now)

    def _check_warm_peers(self, now: float) -> None:
        """Update whether peers are warm by their reports; end the recovery if they are."""
        if self.state_machine.state in (RecoveryState.ASKING_PEERS, RecoveryState.PROBING):
            warm = self.reports.count_warm(now, self.last_round_size)
            self.are_peers_warm = warm > 0
            if warm and not self.is_mostly_cold:
                self.state_machine.apply(RecoveryEvent.PEERS_WARM, now, f"{warm} say so")

    def _begin_steps(self, servers: Iterable[Backend], now: float) -> None:
        """Begin the steps of this proxy's backends that are not handled as in ordinary operation."""
        settings = self.settings
        for server in servers:
            is_owner = self.is_slice_known or server.id_hash % settings.proxies == settings.me
            if self.on and is_owner and server not in self.stepped_starts and not self._is_known(server, now):
                self._restart_steps(server, self._first_capacity(server))

    def _restart_steps(self, server: Backend, capacity: float) -> None:
        if self.options.steps:
            self.stepped_starts[server] = server.started_at
            steps.begin(server, capacity)

    def handle_message(
        self,
        message: api.PeerMessage,
        up: Collection[Backend],
        find_by_tag: Callable[[int], Backend | None],
        now: float,
    ) -> list[api.Action]:
        """Handle a peer's message; return the reply, if any. Raises what `messages.decode` raises."""
        sender, (sent_at_ms, content) = message.sender, messages.decode(message.payload)
        if isinstance(content, StateRequest):
            if not self.options.ask or not self.reports.may_answer(now):
                return []
            cold = {
                s.id_hash & 0xFFFF: now - (s.started_at or now)
                for s in up
                if self.estimates.is_in_slow_start(s, now)
            }
            idle_s = now - self.last_response_at
            reply = StateReply(self.version, self.estimates.fleet_rate, idle_s, not self.on, cold)
            return [api.SendToPeer(sender, messages.encode(reply, now))]
        if isinstance(content, StateReply):
            self.reports.add(sender, sent_at_ms, content, now)
            self._adopt_reports(up, now)
            self._check_warm_peers(now)
        elif (server := find_by_tag(content.tag)) and server.owner == sender and self.on:
            self.loans.borrow(server, content.max_attempts, now)
            server.capacity = max(1.0, float(content.max_attempts))
        return []

    def _adopt_reports(self, up: Collection[Backend], now: float) -> None:
        """Adopt the values that peers agree on: a scale, unless one was measured here, and start times."""
        if self.last_response_at < self.state_machine.since:  # this process has measured none
            restored_scale = self.restored.scale if self.restored else 0.0
            if scale := self.reports.agreed_scale(now, restored_scale):
                self.estimates.fleet_rate = scale
                self.sources["scale"] = f"{scale:.3g}, the median of {len(self.reports.fresh(now))} peers"
        cold = self.reports.cold_starts(now)
        for server in up:
            start = cold.get(server.id_hash & 0xFFFF)
            if (
                start is not None
                and server not in self.responding_since
                and start > (server.started_at or 0.0)
            ):
                server.started_at = start

    # Windows

    def end_window(
        self, own_slice: Collection[Backend], rows: Mapping[int, Row], now: float
    ) -> list[api.Action]:
        """Update the recovery at the end of a window.

        `own_slice` has this proxy's backends, `rows` the rows of its peers.
        """
        machine = self.state_machine
        all_rows_received = len(rows) + 1 >= self.settings.proxies
        self.is_slice_known = (
            self.is_slice_known or all_rows_received or now >= self.created_at + PEER_TIMEOUT_S
        )
        self.own_slice = set(own_slice)
        cold = {s for s in own_slice if self.estimates.is_in_slow_start(s, now)}
        if not (machine.is_active or cold or self.stepped_starts or machine.transitions):
            return []
        weight = sum(s.weight for s in own_slice)
        cold_weight = sum(
            s.weight for s in cold if s not in self.cold_at_end or self.cold_at_end[s] != s.started_at
        )
        self.is_mostly_cold = weight > 0 and cold_weight >= COLD_WEIGHT_SHARE * weight
        self._check_warm_peers(now)
        if machine.state is RecoveryState.ASKING_PEERS and now >= machine.since + PEER_TIMEOUT_S:
            machine.apply(RecoveryEvent.NOBODY_WARM, now)
        if self.is_mostly_cold:
            machine.apply(RecoveryEvent.BACKENDS_COLD, now, f"{cold_weight / weight:.0%}")
        if machine.state is RecoveryState.GROWING and weight:
            # A response says little about the age of a backend, and the absence of steps nothing: a slice
            # that a drain or a lost proxy has changed contains backends whose steps begin now.
            if not cold and (not self.options.steps or all(self._is_old(s, now) for s in own_slice)):
                machine.apply(RecoveryEvent.WARM, now)
            elif now >= max(self.rejected_at, machine.since) + CALM_PERIOD_S:
                machine.apply(RecoveryEvent.CALM, now)
        actions: list[api.Action] = []
        if machine.is_active:
            if self.is_slice_known:  # the capacity of a backend is found by its current owner
                self._remove_stepped(self.stepped_starts.keys() - self.own_slice)
            self._begin_steps(own_slice, now)
            for server in self.stepped_starts:
                steps.decay_pace(server)
            actions += self._request_states(now) + self._lend_capacity(rows, now)
        else:
            self.cold_at_end = {s: s.started_at for s in cold}
            self._remove_stepped(self.stepped_starts.keys() - self.own_slice)
            self.loans.clear()
        for transition in machine.take_transitions():
            fields = {"now": transition.new.value, "was": transition.old.value, "why": transition.reason}
            actions.append(api.Log(event="recovery", fields=fields))
        return actions

    def _remove_stepped(self, servers: Iterable[Backend]) -> None:
        """Stop the steps of backends that have another owner now, which finds their capacity."""
        for server in list(servers):
            del self.stepped_starts[server]
            self.responding_since.pop(server, None)

    def _first_capacity(self, server: Backend) -> float:
        """Return the capacity at which the steps begin: 1, or the restored one, less after a restart."""
        if not self.restored or server in self.responding_since:
            return 1.0
        capacity = self.restored.capacities.get(server.entry.id, 1.0)
        if self.restored.start_times.get(server.entry.id) != server.entry.up_since or server.failures:
            capacity *= self.settings.rules.start_capacity
        return max(1.0, min(steps.MAX_FIRST_CAPACITY, capacity))

    def _request_states(self, now: float) -> list[api.Action]:
        """Return state requests to random peers, drawn anew in each round, until a backend has responded."""
        peers = [n for n in range(self.settings.proxies) if n != self.settings.me]
        wanted = self.state_machine.state is not RecoveryState.GROWING and self.settings.limits.peers
        if not (wanted and peers and self.options.ask and now >= self.next_request_at):
            return []
        self.next_request_at = now + ASK_INTERVAL_S * 2 ** min(3, self.request_rounds) * self.rng.uniform(
            0.8, 1.2
        )
        chosen = self.rng.sample(peers, min(MAX_ASKED_PEERS, len(peers)))
        self.request_rounds, self.last_round_size, self.request_count = (
            self.request_rounds + 1,
            len(chosen),
            self.request_count + len(chosen),
        )
        return [api.SendToPeer(peer, messages.encode(StateRequest(), now)) for peer in chosen]

    def _lend_capacity(self, rows: Mapping[int, Row], now: float) -> list[api.Action]:
        """Lend the spare capacity of backends to the peers that lack most, of one backend to each peer."""
        if not self.options.trials or not rows or now < self.rejected_at + LENDING_DELAY_S:
            return []
        unserved_peers, actions = most_unserved(rows.items(), WINDOW_S), list[api.Action]()
        for server in sorted(self.own_slice & self.stepped_starts.keys(), key=lambda s: s.entry.id):
            spare = int(
                server.stepped_capacity
                - server.in_flight
                - self.loans.lent_attempts(server, now)
                - RESERVED_ATTEMPTS
            )
            if spare >= 1 and unserved_peers and server in self.responding_since:
                peer = unserved_peers.pop(0)
                self.loans.lend(server, peer, spare, now)
                server.capacity = max(1.0, server.stepped_capacity - self.loans.lent_attempts(server, now))
                actions.append(
                    api.SendToPeer(peer, messages.encode(CapacityLoan(server.id_hash & 0xFFFF, spare), now))
                )
        return actions

    # Status

    def status(self, now: float) -> dict[str, str]:
        """Return the state, its reason and age, and the sources of the values in use, for operators."""
        machine = self.state_machine
        capacities = ", ".join(
            f"{s.entry.id} {s.stepped_capacity:.0f}"
            for s in sorted(self.stepped_starts, key=lambda s: s.entry.id)
        )
        return {
            "state": machine.state.value,
            "why": machine.reason,
            "for_s": f"{now - machine.since:.1f}",
            "trusted": "; ".join(f"{name}: {source}" for name, source in sorted(self.sources.items()))
            or "nothing",
            "asked": str(self.request_count),
            "rooms": capacities or "none by steps",
        }
