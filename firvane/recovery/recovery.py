"""One proxy's recovery: where it is on its course, which boxes it may send to, and whose requests go first.

Rules that hold here and nowhere else:

1. While it lasts, a box that has just started, or that nobody is known to have had an answer from, is sent
   to by its homes alone, and by them as `steps` allows; by others within what a home has lent them. Any
   other box is as in ordinary times.
2. Trials of boxes that do not answer come at even, short times: an attempt that finds nobody costs no box
   anything, one proxy alone makes it, and an exponential pause would sleep through the return.
3. First tries go before those that come again, which the aim of most has passed: these may fill a part of
   each room. So may keys whose own box has another home: what a box remembers is worth a third of its work.
4. Who is sent away is told to come back after his aim at the earliest, spread over all of the time allowed.
5. What is remembered and what peers say are priors: a scale where the evidence has none, a first room of a
   few attempts, a box taken for colder than the list says. None of them opens a box or closes one for good.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence

from firvane import interface as api
from firvane.recovery import messages, steps
from firvane.recovery.course import CALM, PATIENCE, Course, Event, State
from firvane.recovery.messages import Ask, Held, Loan
from firvane.recovery.peers import AGAIN as ASK_AGAIN
from firvane.recovery.peers import FEW, SPARE, Loans, Told, neediest
from firvane.rooms.evidence import Evidence
from firvane.state import Backend, Job, Row

TRIAL = (0.15, 0.25)  # s from one trial of a box that does not answer to the next
AGAIN, FOREIGN = 0.4, 0.7  # part of a room for who comes again; for keys of boxes of other homes
STRUCK = 0.5  # part of its boxes' weight that is cold
SETTLED = 0.5  # s in which nothing was turned away here, before room is lent
WINDOW = 0.25  # s that a row's arrivals stand for


class Recovery:
    """Of a proxy that has been told to have one; `dice` draws pauses and whom to ask, times are s."""

    def __init__(
        self,
        parts: api.Recovery,
        settings: api.Settings,
        evidence: Evidence,
        dice: random.Random,
        now: float,
    ) -> None:
        self.parts, self.settings, self.evidence, self.dice = parts, settings, evidence, dice
        self.course = Course(now)
        self.turned_away = now  # when a request last found no room
        self.answered_at = now - messages.NEVER  # when a box last did
        self.proven = set[Backend]()  # have answered in this life
        self.begun = set[Backend]()  # whose rooms are found by steps now
        self.trusting = False  # peers are warm: what the list says has not just started has not
        self.memory: api.Remembered | None = None
        self.version = 0  # of the list, by discovery's own word
        self.told, self.loans = Told(), Loans()
        self.ask_at, self.asked = now, 0
        self.sources: dict[str, str] = {}  # what was trusted, and from whom

    @property
    def on(self) -> bool:
        return self.course.on

    # What is asked

    def holds(self, server: Backend, is_mine: bool, now: float) -> bool | None:
        """Whether nothing is sent to a box from here now; None where that is as in ordinary times."""
        if not self.on:
            return None
        if is_mine:
            return False if self.parts.steps and server in self.begun else None
        cold = self.evidence.is_cold(server, now)
        if self.parts.trials and (cold or not (self.trusting or server in self.proven)):
            return server.own >= self.loans.left(server, now)
        return None

    def stepped(self, server: Backend) -> bool:
        """Whether its room is found by steps."""
        return self.parts.steps and server in self.begun

    def part(self, job: Job) -> float:
        """The part of its room that a request may fill."""
        return AGAIN if self.on and self.parts.first_tries and job.request.is_retry else 1.0

    def foreign(self) -> float:
        """The same for a key whose own box has another home."""
        return FOREIGN if self.on and self.parts.first_tries else 1.0

    def fits(self, job: Job, server: Backend) -> bool:
        return not self.stepped(server) or job.sent > 0 or steps.fits(server, job.request.work, job.cls.aim)

    def pause(self, job: Job, pause: float, now: float) -> float:
        """For how long who is refused is to stay away, where that would be `pause` otherwise."""
        self.turned_away = now
        if not (self.on and self.parts.first_tries):
            return pause
        most = self.settings.limits.max_retry_after
        return self.dice.uniform(min(job.cls.aim, most), most)

    # What is heard

    def remember(self, memory: api.Remembered, kinds: Mapping[str, int]) -> None:
        """What was kept from the life before this one; `kinds` numbers their names."""
        self.memory, evidence = memory, self.evidence
        evidence.best = max(evidence.best, memory.scale)
        for name, rate in memory.kinds.items():
            if name in kinds and rate > 0.0:
                evidence.rates.setdefault(kinds[name], rate)
                if memory.scale:
                    evidence.kinds.setdefault(kinds[name], rate / memory.scale)
        self.sources["memory"] = (
            f"scale {memory.scale:.3g}, {len(memory.rooms)} rooms, {memory.age:.0f} s old"
        )

    def recall(self, servers: Iterable[Backend], kinds: Sequence[str]) -> api.Remembered:
        """What is to be kept for a life after this one; `kinds` names their numbers.

        Rooms that are found by steps, or were never tried, say less than what was kept before."""
        kept, evidence = self.memory or api.Remembered(0.0), self.evidence
        listed = list(servers)
        rates = {kinds[n]: rate for n, rate in evidence.rates.items() if n < len(kinds) and rate > 0.0}
        known = {s.entry.id: s.room for s in listed if s in self.proven and s not in self.begun}
        before = {s.entry.id: kept.rooms[s.entry.id] for s in listed if s.entry.id in kept.rooms}
        starts = {s.entry.id: s.entry.up_since for s in listed if s.entry.up_since is not None}
        return api.Remembered(0.0, evidence.best, rates, before | known, starts)

    def ended(self, server: Backend, job: Job | None, outcome: api.Outcome, now: float) -> None:
        """An attempt has ended, which the evidence has seen already."""
        if outcome.result is api.Result.OK:
            self.answered_at = now
            self.proven.add(server)
            self.course.hear(Event.ANSWERED, now, server.entry.id)
        if server in self.begun and outcome.result is not api.Result.CANCELLED:
            request = job.request if job else None
            aim = job.cls.aim if job else self.settings.classes[0].aim
            lent = self.loans.lent(server, now)
            steps.ended(server, request, aim, outcome, lent, now)
            server.room = max(1.0, server.steps - lent)
            if outcome.result is api.Result.CONNECT_FAILED and self.parts.trials:
                server.retry_at = min(server.retry_at, now + self.dice.uniform(*TRIAL))

    def listed(self, servers: Collection[Backend], news: api.ServerList, now: float) -> None:
        """The list has changed; `servers` are those that are up."""
        if news.kind is not api.ListKind.CACHED:
            self.version = news.version
            self.sources["list"] = f"discovery, version {news.version}"
        else:
            self.sources.setdefault("list", f"as last known, version {news.version}")
        self.course.hear(Event.LISTED if servers else Event.LOST, now, f"{len(servers)} boxes")
        self.proven &= set(servers)
        self.begun &= set(servers)

    def heard(
        self,
        message: api.PeerMessage,
        up: Collection[Backend],
        meant: Callable[[int], Backend | None],
        now: float,
    ) -> list[api.Action]:
        """What follows from a peer's message, beginning with its mark; raises as `unpack` does."""
        sender, (at, said) = message.sender, messages.unpack(message.payload)
        if isinstance(said, Ask):
            if not self.parts.ask or not self.told.may_answer(now):
                return []
            cold = {s.salt & 0xFFFF: now - (s.since or now) for s in up if self.evidence.is_cold(s, now)}
            since = now - self.answered_at
            held = Held(self.version, self.evidence.best, since, not self.on, cold)
            return [api.Tell(sender, messages.pack(held, now))]
        if isinstance(said, Held):
            self.told.hear(sender, at, said, now)
            self._believe(up, now)
        elif (server := meant(said.tag)) and server.slice == sender and self.on:
            self.loans.take(server, said.most, now)
            server.room = max(1.0, float(said.most))
        return []

    def _believe(self, up: Collection[Backend], now: float) -> None:
        """Take what peers agree on: a scale where the evidence has none of its own, and starts."""
        if self.answered_at < self.course.since:  # nothing of this life says better
            remembered = self.memory.scale if self.memory else 0.0
            if scale := self.told.scale(now, remembered):
                self.evidence.best = scale
                self.sources["scale"] = f"{scale:.3g}, the median of {len(self.told.fresh(now))} peers"
        cold = self.told.cold(now)
        for server in up:
            start = cold.get(server.salt & 0xFFFF)
            if start is not None and server not in self.proven and start > (server.since or 0.0):
                server.since = start

    # What is done

    def window(self, mine: Collection[Backend], rows: Mapping[int, Row], now: float) -> list[api.Action]:
        """Once a window: `mine` are this proxy's boxes, `rows` the peers'."""
        course = self.course
        cold = {s for s in mine if self.evidence.is_cold(s, now)}
        if not course.on and not cold:
            return []
        weight, colds = sum(s.weight for s in mine), sum(s.weight for s in cold)
        struck = weight > 0 and colds >= STRUCK * weight
        if course.state in (State.ASKING, State.TRIALS):
            warm = self.told.warm(now)
            self.trusting = warm > 0
            if warm and not struck:
                course.hear(Event.PEERS_WARM, now, f"{warm} say so")
            elif now >= course.since + PATIENCE:
                course.hear(Event.NOBODY_WARM, now)
        if struck:
            course.hear(Event.STRUCK, now, f"{colds / weight:.0%}")
        if course.state is State.GROWING and weight:
            # That a box has answered shows nothing: only one whose start is known is warm by its age.
            if not cold and not any(s in self.begun and s.since is None for s in mine):
                course.hear(Event.WARM, now)
            elif now >= max(self.turned_away, course.since) + CALM:
                course.hear(Event.CALM, now)
        actions: list[api.Action] = []
        if course.on:
            for server in mine:
                if server not in self.begun and (server in cold or server not in self.proven):
                    self.begun.add(server)
                    steps.begin(server, self._first_room(server, now))
            actions += self._ask(now) + self._lend(mine, rows, now)
        elif self.begun:
            self.begun.clear()
            self.loans.clear()
        for change in course.told():
            fields = {"now": change.now.value, "was": change.was.value, "why": change.why}
            actions.append(api.Log(event="recovery", fields=fields))
        return actions

    def _first_room(self, server: Backend, now: float) -> float:
        """Where the steps begin: at one, or at what is remembered of a box that is the same still."""
        if not self.memory or server in self.proven:
            return 1.0
        room = self.memory.rooms.get(server.entry.id, 1.0)
        if self.memory.starts.get(server.entry.id) != server.entry.up_since or server.fails:
            room *= self.settings.rules.start_capacity
        return max(1.0, min(steps.MOST_FIRST, room))

    def _ask(self, now: float) -> list[api.Action]:
        """Ask a few peers, anew in each round, until a box has answered."""
        peers = [n for n in range(self.settings.proxies) if n != self.settings.me]
        wanted = self.course.state in (State.ASKING, State.TRIALS) and self.settings.limits.peers
        if not (wanted and peers and self.parts.ask and now >= self.ask_at):
            return []
        self.ask_at = now + ASK_AGAIN * self.dice.uniform(0.8, 1.2)
        few = self.dice.sample(peers, min(FEW, len(peers)))
        self.asked += len(few)
        return [api.Tell(peer, messages.pack(Ask(), now)) for peer in few]

    def _lend(self, mine: Collection[Backend], rows: Mapping[int, Row], now: float) -> list[api.Action]:
        """Lend the room that is left over at a box to who lacks most, one box to each."""
        if not self.parts.trials or not rows or now < self.turned_away + SETTLED:
            return []
        needy, actions = neediest(rows.items(), WINDOW), list[api.Action]()
        for server in sorted(mine & self.begun, key=lambda s: s.entry.id) if isinstance(mine, set) else ():
            spare = int(server.steps - server.own - self.loans.lent(server, now) - SPARE)
            if spare >= 1 and needy and server in self.proven:
                peer = needy.pop(0)
                self.loans.lend(server, peer, spare, now)
                server.room = max(1.0, server.steps - self.loans.lent(server, now))
                actions.append(api.Tell(peer, messages.pack(Loan(server.salt & 0xFFFF, spare), now)))
        return actions

    # What operators ask

    def status(self, now: float) -> dict[str, str]:
        """State, why, since when, what was trusted and from whom."""
        course = self.course
        rooms = ", ".join(f"{s.entry.id} {s.steps:.0f}" for s in sorted(self.begun, key=lambda s: s.entry.id))
        return {
            "state": course.state.value,
            "why": course.why,
            "for_s": f"{now - course.since:.1f}",
            "trusted": "; ".join(f"{what}: {whose}" for what, whose in sorted(self.sources.items()))
            or "nothing",
            "asked": str(self.asked),
            "rooms": rooms or "none by steps",
        }
