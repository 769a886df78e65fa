"""One proxy's recovery: its state, which boxes it may send to, and whose requests go first.

Rules that hold here and nowhere else:

1. While it lasts, a box that has just started, or whose start nobody tells, or that nobody is known to have
   had an answer from, is sent to by its homes alone, and by them as `steps` allows; by others within what a
   home has lent them. Any other box is as in ordinary times.
2. Until all peers have been heard, or have had `PATIENCE` to be, slices are not dealt alike: each proxy would
   take itself for the home of all. Till then a box's home is the proxy that its salt names.
3. Trials of boxes that do not answer come at even, short times: an attempt that finds nobody costs no box
   anything, one proxy alone makes it, and an exponential pause would sleep through the return.
4. First tries go before those that come again, which the aim of most has passed: these may fill a part of
   each room. So may keys whose own box has another home: what a box remembers is worth a third of its work.
5. Who is sent away is told to come back after his aim at the earliest, spread over all of the time allowed.
6. A box that took no connection for `DOWN` seconds and answers again has started anew, whatever the list says
   yet, in ordinary times too: it is cold from then on, and its home finds its room by steps. What was cold
   when a recovery ended is no cause for the next one.
7. What is remembered and what peers say are priors: a scale where the evidence has none, a first room of a
   few attempts, a box taken for colder than the list says. None of them opens a box or closes one for good.
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

TRIAL = (0.15, 0.25)  # s from one trial of a box that does not answer to the next
AGAIN, FOREIGN = 0.4, 0.7  # part of a room for who comes again; for keys of boxes of other homes
DOWN = 1.0  # s without a connection that are a process's end
STRUCK = 0.5  # part of its boxes' weight that is cold
SETTLED = 0.5  # s in which nothing was turned away here, before room is lent
WINDOW = 0.25  # s that a row's arrivals stand for


class Recovery:
    """Of a proxy that has been told to have one; `dice` draws pauses and whom to ask, times are s."""

    def __init__(
        self,
        parts: api.RecoveryOptions,
        settings: api.Settings,
        evidence: BackendEstimates,
        dice: random.Random,
        now: float,
    ) -> None:
        self.parts, self.settings, self.evidence, self.dice = parts, settings, evidence, dice
        self.state_machine, self.started = RecoveryStateMachine(now), now
        self.dealt = settings.proxies <= 1 or not settings.limits.peers  # slices are dealt with all that live
        self.turned_away = now  # when a request last found no room
        self.answered_at = now - messages.NEVER_S  # when a box last did
        self.proven = dict[Backend, float]()  # since when they have answered in this life
        self.begun = dict[Backend, float | None]()  # whose rooms are found by steps, and their starts then
        self.mine = set[Backend]()  # this proxy's, as of the last window
        self.down = dict[Backend, float]()  # since when no connection has come up
        self.settled = dict[Backend, float | None]()  # the starts of boxes that were cold at the last end
        self.struck = False  # half of this proxy's boxes are cold
        self.trusting = False  # peers are warm: what the list says has not just started has not
        self.memory: api.RestoredEstimates | None = None
        self.version = 0  # of the list, by discovery's own word
        self.reports, self.loans = PeerReports(), CapacityLoans()
        self.ask_at, self.asked, self.rounds, self.few = now, 0, 0, 0
        self.sources: dict[str, str] = {}  # what was trusted, and from whom

    @property
    def is_recovering(self) -> bool:
        return self.state_machine.is_active

    # What is asked

    def is_blocked(self, server: Backend, is_mine: bool, now: float) -> bool | None:
        """Whether nothing is sent to a box from here now; None where that is as in ordinary times."""
        if server in self.begun:
            return False
        if not self.is_recovering:
            return None
        if self._is_known(server, now):
            return None
        if is_mine and self.dealt:
            return True if self.parts.steps else None  # the next window begins with it
        return server.in_flight >= self.loans.borrowed_attempts(server, now) if self.parts.trials else None

    def _is_known(self, server: Backend, now: float) -> bool:
        """Whether a box is as in ordinary times: warm by its age, and there; or on peers' word."""
        aged = self.trusting or (server in self.proven and self._is_old(server, now))
        return aged and not self.evidence.is_in_slow_start(server, now)

    def _is_old(self, server: Backend, now: float) -> bool:
        """Whether its start is known, or lies too far back to matter: it is before the first answer.

        That is where even a box that was cold then could not be pushed over by what a warm one bears.
        """
        rules = self.settings.rules
        need = max(0.0, 1.0 / max(1.0, rules.fall_multiple) - rules.start_capacity)
        span = rules.slow_start * min(1.0, need / max(1e-9, 1.0 - rules.start_capacity))
        return server.started_at is not None or now >= self.proven.get(server, now) + span

    def is_stepped(self, server: Backend) -> bool:
        """Whether its room is found by steps."""
        return server in self.begun

    def capacity_share(self, job: OpenRequest) -> float:
        """The part of its room that a request may fill."""
        return AGAIN if self.is_recovering and self.parts.first_tries and job.request.is_retry else 1.0

    def foreign_key_share(self) -> float:
        """The same for a key whose own box has another home."""
        return FOREIGN if self.is_recovering and self.parts.first_tries else 1.0

    def fits_latency_target(self, job: OpenRequest, server: Backend) -> bool:
        return (
            not self.is_stepped(server)
            or job.attempts_sent > 0
            or steps.fits_target(server, job.request.work, job.request_class.latency_target)
        )

    def adjust_retry_after(self, job: OpenRequest, pause: float, now: float) -> float:
        """For how long who is refused is to stay away, where that would be `pause` otherwise."""
        self.turned_away = now
        if not (self.is_recovering and self.parts.first_tries):
            return pause
        most = self.settings.limits.max_retry_after
        return self.dice.uniform(min(job.request_class.latency_target, most), most)

    # What is heard

    def restore(self, memory: api.RestoredEstimates, kinds: Mapping[str, int]) -> None:
        """What was kept from the life before this one; `kinds` numbers their names."""
        self.memory, evidence = memory, self.evidence
        evidence.fleet_rate = max(evidence.fleet_rate, memory.scale)
        for name, rate in memory.kinds.items():
            if name in kinds and rate > 0.0:
                evidence.best_rate.setdefault(kinds[name], rate)
                if memory.scale:
                    evidence.relative_rate.setdefault(kinds[name], rate / memory.scale)
        self.sources["memory"] = (
            f"scale {memory.scale:.3g}, {len(memory.capacities)} rooms, {memory.age:.0f} s old"
        )

    def estimates_to_save(self, servers: Iterable[Backend], kinds: Sequence[str]) -> api.RestoredEstimates:
        """What is to be kept for a life after this one; `kinds` names their numbers.

        Rooms that are still being found, or were never tried, say less than what was kept before."""
        kept, evidence = self.memory or api.RestoredEstimates(0.0), self.evidence
        listed = list(servers)
        rates = {kinds[n]: rate for n, rate in evidence.best_rate.items() if n < len(kinds) and rate > 0.0}
        known = {
            s.entry.id: s.capacity
            for s in listed
            if s in self.proven and not (self.is_recovering and s in self.begun)
        }
        before = {s.entry.id: kept.capacities[s.entry.id] for s in listed if s.entry.id in kept.capacities}
        starts = {s.entry.id: s.entry.up_since for s in listed if s.entry.up_since is not None}
        return api.RestoredEstimates(0.0, evidence.fleet_rate, rates, before | known, starts)

    def handle_attempt_end(
        self, server: Backend, job: OpenRequest | None, outcome: api.Outcome, now: float
    ) -> None:
        """An attempt has ended, which the evidence has seen already."""
        if outcome.result is api.Result.OK:
            self.answered_at = now
            self.proven.setdefault(server, now)
            self.state_machine.apply(RecoveryEvent.ANSWERED, now, server.entry.id)
            if now > self.down.pop(server, now) + DOWN:
                if not self.evidence.is_in_slow_start(server, now):
                    server.started_at, server.response_count = now, 0.0
                if server in self.mine:
                    self._step(server, 1.0)
        elif outcome.result is api.Result.CONNECT_FAILED:
            self.down.setdefault(server, now)
            if server.failures > 1 and server in self.mine and server not in self.begun:
                self._step(server, 1.0)
        if server in self.begun and outcome.result is not api.Result.CANCELLED:
            request = job.request if job else None
            aim = job.request_class.latency_target if job else self.settings.classes[0].latency_target
            lent = self.loans.lent_attempts(server, now)
            steps.on_attempt_ended(server, request, aim, outcome, lent, now)
            server.capacity = max(1.0, server.stepped_capacity - lent)
            if outcome.result is api.Result.CONNECT_FAILED and self.parts.trials:
                server.retry_at = min(server.retry_at, now + self.dice.uniform(*TRIAL))

    def handle_list(self, servers: Collection[Backend], news: api.ServerList, now: float) -> None:
        """The list has changed; `servers` are those that are up."""
        if news.kind is not api.ListKind.CACHED:
            self.version = news.version
            self.sources["list"] = f"discovery, version {news.version}"
        else:
            self.sources.setdefault("list", f"as last known, version {news.version}")
        self.state_machine.apply(
            RecoveryEvent.LISTED if servers else RecoveryEvent.ENDPOINTS_LOST, now, f"{len(servers)} boxes"
        )
        up = set(servers)
        self.proven = {s: since for s, since in self.proven.items() if s in up}
        for server in self.begun.keys() - up:
            del self.begun[server]
        for server, start in self.begun.items():
            if server.started_at != start:  # it has started anew: what was found of it is void
                self._step(server, 1.0)
        for gone in self.down.keys() - up:
            del self.down[gone]
        if not self.dealt:
            self._begin(servers, now)

    def _listen(self, now: float) -> None:
        """Whether peers are warm by what they have told."""
        if self.state_machine.state in (RecoveryState.ASKING_PEERS, RecoveryState.PROBING):
            warm = self.reports.count_warm(now, self.few)
            self.trusting = warm > 0
            if warm and not self.struck:
                self.state_machine.apply(RecoveryEvent.PEERS_WARM, now, f"{warm} say so")

    def _begin(self, mine: Iterable[Backend], now: float) -> None:
        """Find the rooms by steps of those of this proxy's boxes that are not known."""
        settings = self.settings
        for server in mine:
            home = self.dealt or server.id_hash % settings.proxies == settings.me
            if self.is_recovering and home and server not in self.begun and not self._is_known(server, now):
                self._step(server, self._first_room(server))

    def _step(self, server: Backend, room: float) -> None:
        if self.parts.steps:
            self.begun[server] = server.started_at
            steps.begin(server, room)

    def handle_message(
        self,
        message: api.PeerMessage,
        up: Collection[Backend],
        meant: Callable[[int], Backend | None],
        now: float,
    ) -> list[api.Action]:
        """What follows from a peer's message, beginning with its mark; raises as `unpack` does."""
        sender, (at, said) = message.sender, messages.decode(message.payload)
        if isinstance(said, StateRequest):
            if not self.parts.ask or not self.reports.may_answer(now):
                return []
            cold = {
                s.id_hash & 0xFFFF: now - (s.started_at or now)
                for s in up
                if self.evidence.is_in_slow_start(s, now)
            }
            since = now - self.answered_at
            held = StateReply(self.version, self.evidence.fleet_rate, since, not self.is_recovering, cold)
            return [api.SendToPeer(sender, messages.encode(held, now))]
        if isinstance(said, StateReply):
            self.reports.add(sender, at, said, now)
            self._believe(up, now)
            self._listen(now)
        elif (server := meant(said.tag)) and server.owner == sender and self.is_recovering:
            self.loans.borrow(server, said.max_attempts, now)
            server.capacity = max(1.0, float(said.max_attempts))
        return []

    def _believe(self, up: Collection[Backend], now: float) -> None:
        """Take what peers agree on: a scale where the evidence has none of its own, and starts."""
        if self.answered_at < self.state_machine.since:  # nothing of this life says better
            remembered = self.memory.scale if self.memory else 0.0
            if scale := self.reports.agreed_scale(now, remembered):
                self.evidence.fleet_rate = scale
                self.sources["scale"] = f"{scale:.3g}, the median of {len(self.reports.fresh(now))} peers"
        cold = self.reports.cold_starts(now)
        for server in up:
            start = cold.get(server.id_hash & 0xFFFF)
            if start is not None and server not in self.proven and start > (server.started_at or 0.0):
                server.started_at = start

    # What is done

    def end_window(self, mine: Collection[Backend], rows: Mapping[int, Row], now: float) -> list[api.Action]:
        """Once a window: `mine` are this proxy's boxes, `rows` the peers'."""
        machine = self.state_machine
        heard = len(rows) + 1 >= self.settings.proxies
        self.dealt = self.dealt or heard or now >= self.started + PEER_TIMEOUT_S
        self.mine = set(mine)
        cold = {s for s in mine if self.evidence.is_in_slow_start(s, now)}
        if not (machine.is_active or cold or self.begun or machine.transitions):
            return []
        weight = sum(s.weight for s in mine)
        colds = sum(s.weight for s in cold if s not in self.settled or self.settled[s] != s.started_at)
        self.struck = weight > 0 and colds >= STRUCK * weight
        self._listen(now)
        if machine.state is RecoveryState.ASKING_PEERS and now >= machine.since + PEER_TIMEOUT_S:
            machine.apply(RecoveryEvent.NOBODY_WARM, now)
        if self.struck:
            machine.apply(RecoveryEvent.BACKENDS_COLD, now, f"{colds / weight:.0%}")
        if machine.state is RecoveryState.GROWING and weight:
            # That a box has answered shows little of its age, and that no steps have begun, nothing: a slice
            # dealt anew, by a drain or a loss, has boxes that begin now.
            if not cold and (not self.parts.steps or all(self._is_old(s, now) for s in mine)):
                machine.apply(RecoveryEvent.WARM, now)
            elif now >= max(self.turned_away, machine.since) + CALM_PERIOD_S:
                machine.apply(RecoveryEvent.CALM, now)
        actions: list[api.Action] = []
        if machine.is_active:
            if self.dealt:  # what has another home now is its to find
                self._leave(self.begun.keys() - self.mine)
            self._begin(mine, now)
            for server in self.begun:
                steps.decay_pace(server)
            actions += self._ask(now) + self._lend(rows, now)
        else:
            self.settled = {s: s.started_at for s in cold}
            self._leave(self.begun.keys() - self.mine)
            self.loans.clear()
        for change in machine.take_transitions():
            fields = {"now": change.new.value, "was": change.old.value, "why": change.reason}
            actions.append(api.Log(event="recovery", fields=fields))
        return actions

    def _leave(self, servers: Iterable[Backend]) -> None:
        """These have another home now, which finds their rooms."""
        for server in list(servers):
            del self.begun[server]
            self.proven.pop(server, None)

    def _first_room(self, server: Backend) -> float:
        """Where the steps begin: at one, or at what is remembered of a box that is the same still."""
        if not self.memory or server in self.proven:
            return 1.0
        room = self.memory.capacities.get(server.entry.id, 1.0)
        if self.memory.start_times.get(server.entry.id) != server.entry.up_since or server.failures:
            room *= self.settings.rules.start_capacity
        return max(1.0, min(steps.MAX_FIRST_CAPACITY, room))

    def _ask(self, now: float) -> list[api.Action]:
        """Ask a few peers, anew in each round, until a box has answered."""
        peers = [n for n in range(self.settings.proxies) if n != self.settings.me]
        wanted = self.state_machine.state is not RecoveryState.GROWING and self.settings.limits.peers
        if not (wanted and peers and self.parts.ask and now >= self.ask_at):
            return []
        self.ask_at = now + ASK_INTERVAL_S * 2 ** min(3, self.rounds) * self.dice.uniform(0.8, 1.2)
        few = self.dice.sample(peers, min(MAX_ASKED_PEERS, len(peers)))
        self.rounds, self.few, self.asked = self.rounds + 1, len(few), self.asked + len(few)
        return [api.SendToPeer(peer, messages.encode(StateRequest(), now)) for peer in few]

    def _lend(self, rows: Mapping[int, Row], now: float) -> list[api.Action]:
        """Lend the room that is left over at a box to who lacks most, one box to each."""
        if not self.parts.trials or not rows or now < self.turned_away + SETTLED:
            return []
        needy, actions = most_unserved(rows.items(), WINDOW), list[api.Action]()
        for server in sorted(self.mine & self.begun.keys(), key=lambda s: s.entry.id):
            spare = int(
                server.stepped_capacity
                - server.in_flight
                - self.loans.lent_attempts(server, now)
                - RESERVED_ATTEMPTS
            )
            if spare >= 1 and needy and server in self.proven:
                peer = needy.pop(0)
                self.loans.lend(server, peer, spare, now)
                server.capacity = max(1.0, server.stepped_capacity - self.loans.lent_attempts(server, now))
                actions.append(
                    api.SendToPeer(peer, messages.encode(CapacityLoan(server.id_hash & 0xFFFF, spare), now))
                )
        return actions

    # What operators ask

    def status(self, now: float) -> dict[str, str]:
        """State, why, since when, what was trusted and from whom."""
        machine = self.state_machine
        rooms = ", ".join(
            f"{s.entry.id} {s.stepped_capacity:.0f}" for s in sorted(self.begun, key=lambda s: s.entry.id)
        )
        return {
            "state": machine.state.value,
            "why": machine.reason,
            "for_s": f"{now - machine.since:.1f}",
            "trusted": "; ".join(f"{what}: {whose}" for what, whose in sorted(self.sources.items()))
            or "nothing",
            "asked": str(self.asked),
            "rooms": rooms or "none by steps",
        }
