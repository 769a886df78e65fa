"""All decisions of the balancer; its settings, events and actions stand in interface.py.

Each proxy keeps a slice of the server list and announces a row: what its slice can do, what it holds, gets
and expects, and its attempts out by server. From the rows every proxy computes a capacity-weighted target of
each slice and moves the excess of overloaded slices to underloaded ones for the next window. In a slice, a
bounded-load hash of the request's key picks the server. docs/design.md gives the reasons.
"""

from __future__ import annotations

import math
import random
import struct
from collections.abc import Callable, Collection, Iterable
from zlib import crc32

from firvane.core import interface as api
from firvane.core.balancing import window
from firvane.core.balancing.greedy_pairing import forecast
from firvane.core.balancing.records import Backend, Job, Row, mix, pack, total, unpack
from firvane.core.balancing.slices import deal
from firvane.core.balancing.window import WINDOW
from firvane.core.interface import DedupScope, Idempotency
from firvane.proxy.capacity import slow_start, tenant_admission
from firvane.proxy.capacity.backend_estimates import CROWD, FADE, FAULTY, LONG, Evidence
from firvane.proxy.recovery import messages
from firvane.proxy.recovery.recovery import Recovery
from firvane.proxy.routing.bounded_load import walk
from firvane.proxy.routing.hash_ring import Ring
from firvane.proxy.routing.large_slices import Figures, Large
from firvane.proxy.routing.server_list import Listing, merge

ROW_EVERY, SILENT = 2, 3  # windows from row to row (the design's r); rounds until a silent peer drops out
ROWS_HEARD = 28  # rows that a proxy hears in a window at the most: the more proxies, the rarer their rows
HISTORY = 6  # windows that forecast and served rate look back on
CAP = 1.3  # a server may hold this multiple of its slice's mean load, and one request more
SHARE_SPAN = 5.0  # s that tenants' rates look back
HOLD, PAUSE = 0.3, 0.15  # parts of the aim: held for room at the longest; asked to stay away
DOUBT = 0.4  # of the aim without a word from a server: a second copy goes elsewhere
HEAVY, QUICK = 0.2, 1.25  # of the aim: work that goes to the quicker kinds; of the best pace: which those are
LEAST = 0.2  # part of a server's room that even what is worth nothing may fill
POINTS, RENEW = 64, 0.1  # of a server of mean size on the key ring; s that a slow one's power is good for
ASK, RISK, MAX_ENTRIES = 1, 2, 70


class Balancer:
    """One proxy's decisions: `handle` takes an event and returns the actions that it calls for."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.servers: dict[str, Backend] = {}
        self.listing, self.large = Listing(), Large(self.figures, self.random)
        self.up = self.listing.up
        self.jobs, self.held = dict[int, Job](), list[Job]()
        self.rows, self.slices = dict[int, Row](), dict[int, list[Backend]]()
        self.shares: dict[tuple[int, int], float] = {}
        self.moves: dict[int, list[tuple[int, float]]] = {}
        self.ring, self.mine = Ring(POINTS), set[Backend]()  # of keys; those of the own slice
        self.resized = dict[Backend, None]()  # whose parts of the ring change with the next list
        self.evidence = Evidence(settings, self.random, now)  # what is believed of the servers
        wanted = settings.recovery
        self.recovery = Recovery(wanted, settings, self.evidence, self.random, now) if wanted else None
        self.tenants = dict.fromkeys(range(len(settings.tenants)), 0.0)  # recent requests of each
        self.row_every = max(ROW_EVERY, round(settings.proxies / ROWS_HEARD))
        # By then peers are heard; where all send to cold servers it does not matter who is.
        self.heard_at = now if self.evidence.pooled else now + 2 * WINDOW * self.row_every
        self.windows, self.arrived, self.served = 0, [0], [0]
        self.actions: list[api.Action] = []
        self.handlers: dict[type, Callable[..., None]] = {
            api.Request: self.on_request,
            api.DeadlineShortened: self.on_hastened,
            api.Outcome: self.on_outcome,
            api.OverloadSignal: self.on_pressure,
            api.PeerMessage: self.on_row,
            api.ServerList: self.on_list,
        }
        self.copies, self.sizes = settings.limits.hedging, dict[int, float]()  # of kinds on the ring
        self.watching, self.ask_at, self.ask_wait = not settings.ask, 0.0, 0.0

    def start(self, now: float) -> list[api.Action]:
        """What a new proxy does first: announce itself, ask for rows and for the list."""
        self.announce(now, ASK)
        self.on_window(now)
        return self.actions

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        self.actions = []
        if handler := self.handlers.get(type(event)):
            handler(event, now)
        elif isinstance(event, api.TimerFired) and event.token == 0:
            self.on_window(now)
        elif isinstance(event, api.TimerFired) and (job := self.jobs.get(event.token - 1)):
            if not job.out or now >= job.deadline - 3 * self.settings.tick:
                self.finish(job, now)  # held long enough, or due
            else:
                self.doubt(job, now)
        elif isinstance(event, api.ClientGone | api.StreamStarted) and (job := self.jobs.get(event.id)):
            if isinstance(event, api.StreamStarted):  # it is the client's now: its other attempts are waste
                job.out.pop(event.attempt, None)
            self.close(job)
        elif isinstance(event, api.BodyConsumed) and (job := self.jobs.get(event.id)):
            job.spent = True
        return self.actions

    def retune(self, settings: api.Settings) -> None:
        """Go on by other settings, in which the numbers that are in use mean the same."""
        self.settings, self.copies = settings, settings.limits.hedging
        self.tenants = {i: self.tenants.get(i, 0.0) for i in range(len(settings.tenants))}
        self.evidence.retune(settings)

    def on_request(self, request: api.Request, now: float) -> None:
        spread = self.random.getrandbits(32) if request.key is None else crc32(request.key.encode())
        cls = self.settings.classes[request.class_id]
        patience = now + min(HOLD * cls.latency_target, request.time_left / 4)
        job = Job(request, cls, now + request.time_left, patience, spread)
        self.jobs[request.id] = job
        self.arrived[-1] += 1
        if request.tenant in self.tenants and not request.is_retry:
            self.tenants[request.tenant] += 1.0
        # The deadline timer: early enough that a batch a tick late still answers in time.
        self.wake(job, max(0.0, request.time_left - 2 * self.settings.tick))
        self.place(job, now)

    def on_hastened(self, hastened: api.DeadlineShortened, now: float) -> None:
        if job := self.jobs.get(hastened.id):
            job.deadline = min(job.deadline, now + hastened.time_left)
            self.wake(job, max(0.0, hastened.time_left - 2 * self.settings.tick))

    def wake(self, job: Job, span: float) -> None:
        self.actions.append(api.SetTimer(span, job.request.id + 1, job.request.id))

    def place(self, job: Job, now: float) -> None:
        over = job.spent or job.sent >= self.settings.limits.max_attempts
        limit = 1.0 if job.maybe else self.limit(job)
        if not over and (server := self.choose(job, now, limit)):
            self.send(job, server, now)
        elif over or now >= job.patience or (
            (job.maybe and job.cls.idempotency is Idempotency.UNSAFE) or self.choose(job, now, math.inf)
        ):  # fmt: skip
            self.finish(job, now)  # also where servers could have it, but none has room
        else:
            self.held.append(job)  # no server may have it now: tried again as attempts end
            self.wake(job, job.patience - now)

    def retry(self, now: float, most: int) -> None:
        """Try again what is held, in order of arrival, until one finds no room."""
        waiting, self.held = [job for job in self.held if job.request.id in self.jobs], []
        for i, job in enumerate(waiting):
            if i < most and not self.held and (server := self.choose(job, now, 1.0)):
                self.send(job, server, now)
            else:
                self.held.append(job)

    def doubt(self, job: Job, now: float) -> None:
        """A second copy where the first seems lost, or the server that has it gone."""
        limits, out, wait = self.settings.limits, job.out, DOUBT * job.cls.latency_target
        attempt, name = next(iter(out.items()))
        server, mark = self.servers.get(name), self.evidence.marks.get((job.request.id, attempt))
        copies = self.copies and self.evidence.crowded < CROWD and not (self.recovery and self.recovery.on)
        if len(job.out) > 1 or job.spent or not server or not mark:
            return
        if mark.lost or self.evidence.is_lost(mark, now):
            if not mark.lost:
                self.evidence.lose(mark, server)
                self.large.mark(server)
            job.out = {} if limits.cancel else out  # one in its place, rather than beside it
            if not (other := self.choose(job, now, 1.0)):
                job.out = out  # guards what may not be repeated: nobody follows it, and its answer may come
            elif limits.cancel:
                self.actions.append(api.Cancel(job.request.id, attempt))
            if other and limits.hedging:  # else not before its end is told
                self.send(job, other, now)
            else:
                self.wake(job, mark.usual)
        elif server.heard_at >= mark.at:  # it answers others: this one is slow, or its connection is silent
            if (left := mark.at + LONG * mark.usual - now) > self.settings.tick:
                self.wake(job, min(left, 0.5 * mark.usual))
            elif copies and (other := self.choose(job, now, 0.5)):  # room to spare: it must not crowd
                self.send(job, other, now)
            else:
                self.wake(job, mark.usual)
        elif now < mark.at + wait - self.settings.tick:
            self.wake(job, mark.at + wait - now)
        elif now < (silent_at := self.evidence.silent_at(mark, server)):  # it may be quiet
            self.wake(job, silent_at - now)
        else:
            if self.evidence.is_silent(mark, server, now):
                self.evidence.doubted(server, now)
                self.large.mark(server)
            if copies and (other := self.choose(job, now, 1.0)):
                self.send(job, other, now)
            else:  # guards one that is found lost by what is heard later: it is looked at again
                self.wake(job, mark.usual)

    def on_pressure(self, pressure: api.OverloadSignal, now: float) -> None:
        """Say whom to turn away unseen: first what exceeds a tenant's share, then everyone alike."""
        self.copies = pressure.hedging_allowed and self.settings.limits.hedging
        for tenant, unseen in enumerate(pressure.rejected_unseen[: len(self.tenants)]):
            self.tenants[tenant] += unseen
        asked = list(self.tenants.values())
        self.actions.append(
            tenant_admission.turn_away(self.settings, asked, SHARE_SPAN * self.part(), pressure, PAUSE)
        )

    def part(self) -> float:
        """The part of all proxies' requests that comes here."""
        return tenant_admission.part(self.settings, self.rows, total(self.tenants.values()) / SHARE_SPAN)

    def limit(self, job: Job) -> float:
        """The part of a server's room that a request may fill: what is worth less leaves some to the rest."""
        worth, classes = job.cls.value, self.settings.classes
        if (tenant := job.request.tenant) in self.tenants and (
            (quota := self.settings.tenants[tenant].quota_rps)
            and self.tenants[tenant] * self.random.random() > SHARE_SPAN * quota * self.part()
        ):  # fmt: skip
            worth *= self.settings.over_quota_value  # as many of a tenant's requests as exceed its share
        worth *= self.recovery.part(job) if self.recovery else 1.0
        return LEAST + (1.0 - LEAST) * worth / max(cls.value for cls in classes)

    def send(self, job: Job, server: Backend, now: float) -> None:
        job.out[job.sent] = server.entry.id
        job.tried.add(server.salt)
        by = job.begins_by(server.entry, now)
        request, attempt = job.request, (job.request.id, job.sent)
        mark = self.evidence.sent(server, request.class_id, request.work, attempt, now)
        job.sent, job.maybe = job.sent + 1, job.maybe + 1
        if server.fails > 1 or server.faulty > FAULTY:
            server.retry_at = now + 1.0  # one trial at a time
        if self.evidence.is_cold(server, now):
            server.tokens -= 1
        self.large.mark(server)
        self.actions.append(api.Send(job.request.id, server.entry.id, start_before=by))
        if self.settings.limits.hedging and not job.out.keys() - {job.sent - 1}:
            first_look = min(DOUBT * job.cls.latency_target, self.evidence.late(mark.usual))
            self.wake(job, first_look)

    def legal(self, job: Job, server: Backend, now: float) -> bool:
        """The gate that every send passes: the four rules, and nothing else."""
        cls, limits = job.cls, self.settings.limits
        if server.entry.state is not api.ServerState.UP or job.sent >= limits.max_attempts or (
            now >= job.deadline or (job.out and not limits.hedging) or self.held_back(server, now)
        ):  # fmt: skip
            return False
        if not job.maybe or cls.idempotency is Idempotency.SAFE:
            return True
        same_group = server.entry.dedup_group(cls.dedup_scope) == job.group
        is_deduplicated = same_group and now < job.kept_until - self.settings.tick
        return cls.idempotency is Idempotency.KEYED and is_deduplicated

    def held_back(self, server: Backend, now: float) -> bool:
        """Whether one that has just started, or may have, is sent nothing from here now."""
        if self.recovery and (held := self.recovery.holds(server, server in self.mine, now)) is not None:
            return held
        return self.evidence.is_cold(server, now) and not self.budget(server, now)

    def count(self, row: Row, sign: int, among: Collection[int] | None = None) -> None:
        for tag, out in row.out:
            if (among is None or tag in among) and (server := self.listing.meant(tag)):
                server.peers += sign * out
                self.large.mark(server)

    def finish(self, job: Job, now: float) -> None:
        """The final answer: a refusal where a further try is known to be harmless, a failure otherwise."""
        keyed = job.cls.idempotency is Idempotency.KEYED and job.cls.dedup_scope is DedupScope.ALL
        harmless = not job.maybe or keyed or job.cls.idempotency is Idempotency.SAFE
        # Spread, or the clients return as one.
        pause = PAUSE * job.cls.latency_target * self.random.uniform(0.5, 1.5)
        pause = min(pause, self.settings.limits.max_retry_after)
        pause = self.recovery.pause(job, pause, now) if self.recovery else pause
        self.actions.append(api.Reject(job.request.id, pause) if harmless else api.Fail(job.request.id))
        self.close(job)

    def close(self, job: Job) -> None:
        del self.jobs[job.request.id]
        if self.settings.limits.cancel:
            self.actions.extend(api.Cancel(job.request.id, attempt) for attempt in job.out)

    def on_outcome(self, outcome: api.Outcome, now: float) -> None:
        server, job = self.servers.get(outcome.server), self.jobs.get(outcome.id)
        self.served[-1] += outcome.result is api.Result.OK
        if self.evidence.ended(server, job.request if job else None, outcome, now):
            self.actions.append(api.CloseIdle(outcome.server))
        if server:
            if self.recovery:
                self.recovery.ended(server, job, outcome, now)
            self.large.mark(server)
        if job:
            job.out.pop(outcome.attempt, None)
            job.maybe -= outcome.result.never_ran
            if outcome.finished:
                self.close(job)
            elif not job.out:
                self.place(job, now)
        if self.held:
            self.retry(now, 2)

    def choose(self, job: Job, now: float, limit: float) -> Backend | None:
        """The key's own server, or its slice's next where that is too full; after moves between slices."""
        home, first = self.home(job)
        draw, target = mix(job.hash, 77) / 2**32, home
        for taker, share in self.moves.get(home, ()):
            draw -= share
            if draw < 0:
                target, first = taker, None
                break
        for number in (target, home):
            if found := self.find(job, first, number, now, limit):
                return found
        # No room there: a cold key's answer elsewhere is worth more than a refusal beside idle servers.
        order = sorted(self.slices)
        limit *= self.recovery.foreign() if self.recovery else 1.0
        others = (order[(job.hash + step) % len(order)] for step in range(len(order)))
        return next((s for n in others if (s := self.find(job, None, n, now, limit))), None)

    def home(self, job: Job) -> tuple[int, Backend | None]:
        """The slice that a request belongs to before moves, and its server there if its key names one."""
        if job.request.key is None or not self.settings.key_affinity:
            return self.settings.me, None
        # Servers do less for a key met lately, and by proxy its repeats would scatter: they go by the key.
        first = self.ring.owner(job.hash)
        return (first.slice, first) if first else (self.settings.me, None)

    def find(self, job: Job, first: Backend | None, number: int, now: float, limit: float) -> Backend | None:
        """Of a slice: as `pick`, but by index where it is large."""
        grouped = job.maybe and job.cls.idempotency is Idempotency.KEYED  # few may have it: all are looked at
        index = None if grouped else self.large.index(number, now)
        if index is None:
            return self.pick(job, first, self.slices.get(number, []), now, limit)
        keyed, recovery = job.request.key is not None, self.recovery
        tried = [s for salt in job.tried if (s := self.ring.owners.get(salt))]

        def fits(server: Backend) -> bool:
            ready = server.retry_at <= now and server.salt not in job.tried and self.legal(job, server, now)
            return ready and (not recovery or recovery.fits(job, server))

        mine, spares = number == self.settings.me, self.large.spares
        if mine and (spare := spares.emptiest(1.0, lambda s: fits(s) and s.tokens >= 2)):
            return spare
        heavy = (job.request.work or 0.0) > HEAVY * job.cls.latency_target  # it would be late on a slow core
        kinds = index.quick(self.evidence.pace, QUICK, tried) if heavy else None
        share = CAP * index.mean(kinds, tried)

        def takes(server: Backend) -> bool:
            room = server.own < max(1.0, limit * server.room) and (not kinds or server.entry.kind in kinds)
            most = share * self.evidence.power(server, now) + 1
            return room and server.own + server.peers <= most and fits(server)

        if keyed and first and takes(first):
            return first
        if index.emptiest(limit, fits, kinds) is None:
            return None
        walked = walk(self.ring, index.spots, job.hash) if keyed else iter(())
        return next((s for s in walked if takes(s)), None) or index.least(limit, fits, kinds)

    def figures(self, server: Backend, now: float) -> Figures:
        """What the index of a large slice is to know of a server."""
        power, ready_at = self.evidence.power(server, now), server.retry_at
        soon = now + RENEW if server.slow > 1.5 and server.slow_at > now - 4 * FADE else math.inf
        if not self.evidence.is_cold(server, now) or (self.recovery and self.recovery.stepped(server)):
            return Figures(power, ready_at, math.inf, soon)
        warm_at = (server.since or 0.0) + self.settings.rules.slow_start
        if not (senders := self.senders(server)):
            return Figures(power, max(ready_at, warm_at), math.inf, min(warm_at, soon))
        self.budget(server, now)
        ready_at = max(ready_at, self.heard_at)
        rate, most = slow_start.rate(self.evidence, server, senders, now)
        first, second = (max(ready_at, now + max(0.0, n - server.tokens) / rate) for n in (1.0, 2.0))
        return Figures(power, first, second if most >= 2.0 else math.inf, min(warm_at, soon, now + WINDOW))

    def pick(
        self, job: Job, first: Backend | None, among: list[Backend], now: float, limit: float
    ) -> Backend | None:
        """Bounded-load hash: the first server in the key's order that holds no more than its fair share."""
        free = [s for s in among if s.retry_at <= now and s.salt not in job.tried and self.legal(job, s, now)]
        free = [s for s in free if self.recovery.fits(job, s)] if self.recovery else free
        spare = [s for s in free if s.since is not None and s.tokens >= 2 and self.evidence.is_cold(s, now)]
        spare = [s for s in spare if s.own < s.room]
        if spare or not free:
            return next(iter(spare), None)  # a cold server whose budget allows more than its keys bring
        if job.request.work and job.request.work > HEAVY * job.cls.latency_target:  # late on a slow core
            kinds = {s.entry.kind: self.evidence.pace.get(s.entry.kind, 1.0) for s in free}
            fast = min(kinds.values())
            free = [s for s in free if kinds[s.entry.kind] <= QUICK * fast]
        able = {s.salt: self.evidence.power(s, now) for s in free}
        mean = sum(s.own + s.peers for s in free) / total(able.values())
        free = [s for s in free if s.own < max(1.0, limit * s.room)]
        if job.request.key is not None:
            for server in sorted(free, key=lambda s: (s is not first, mix(s.salt, job.hash))):
                if server.own + server.peers <= CAP * mean * able[server.salt] + 1:
                    return server
        free.sort(key=lambda s: ((s.own + s.peers + 1) / able[s.salt], mix(s.salt, job.hash)))
        return free[0] if free else None

    def budget(self, server: Backend, now: float) -> bool:
        """Whether the budget of a cold server's senders lets this proxy send to it."""
        senders = self.senders(server)
        return senders > 0 and now >= self.heard_at and slow_start.refill(
            self.evidence, server, senders, now, self.random)  # fmt: skip

    def senders(self, server: Backend) -> int:
        """How many share a cold server's budget, this proxy among them; 0 where it has no part."""
        if self.evidence.pooled:
            return self.settings.proxies
        # A peer cut off from here deals this slice anew and may send as well: it is left its part.
        return server.homes + self.settings.proxies - len(self.rows) if server in self.mine else 0

    def on_window(self, now: float) -> None:
        self.windows += 1
        self.actions.append(api.SetTimer(WINDOW, 0))
        self.tenants = {t: n * (1.0 - WINDOW / SHARE_SPAN) for t, n in self.tenants.items()}
        served = total(r.served for r in self.rows.values()) * self.evidence.stands_for
        if served and self.windows > HISTORY:
            fleet = total(s.weight for s in self.servers.values()) or 1.0
            warm = [s for s in self.servers.values() if not self.evidence.is_cold(s, now)]
            self.evidence.weigh(warm, served, fleet, WINDOW)
            if self.evidence.sizes != self.sizes:
                self.resize()
        if self.windows % self.row_every == 0:
            self.announce(now, 0)
            if self.evidence.pooled:
                self.actions.append(api.SendToPeer(None, self.evidence.tell(now)))
        self.arrived, self.served = [*self.arrived, 0][-HISTORY:], [*self.served, 0][-HISTORY:]
        for n in self.rows.keys() - {self.settings.me}:
            if self.rows[n].at < now - SILENT * self.row_every * WINDOW:
                self.count(self.rows.pop(n), -1)
        if self.slices.keys() != self.rows.keys():
            self.deal()
        self.balance(now)
        if self.recovery:
            peers = {n: row for n, row in self.rows.items() if n != self.settings.me}
            self.actions += self.recovery.window(self.mine, peers, now)
        if not self.watching and now >= self.ask_at:  # where lists are sent on request only
            self.ask_at = now + 4.0
            self.actions.append(api.Watch(True))
        self.retry(now, len(self.held))

    def announce(self, now: float, flags: int, peer: int | None = None) -> None:
        """Send this proxy's row, and keep it as announced: the policy reads what the peers read."""
        out = [s for s in self.servers.values() if s.own]
        out = sorted(out, key=lambda s: (-s.own, s.entry.id))[:MAX_ENTRIES]
        mu = total(self.evidence.power(s, now) / s.homes for s in self.slices.get(self.settings.me, []))
        held, served = min(0xFFFF, len(self.jobs)), sum(self.served[-3:]) / 3 / WINDOW
        for server in self.up:
            server.told = server.own
        figures = held, mu, self.arrived[-1], forecast(self.arrived), served
        payload = pack(flags, self.settings.zone, now, figures, out)
        self.rows[self.settings.me] = unpack(payload, now)
        if self.settings.limits.peers and self.settings.proxies > 1:
            self.actions.append(api.SendToPeer(peer, payload))

    def on_row(self, message: api.PeerMessage, now: float) -> None:
        try:
            if self.evidence.told(message.sender, message.payload):
                return
            if self.recovery and message.payload[:1] == messages.MARK:
                self.actions += self.recovery.heard(message, self.up, self.listing.meant, now)
                return
            row, old = unpack(message.payload, now), self.rows.get(message.sender)
        except (ValueError, struct.error):
            return  # malformed, cut or foreign rows harm nothing
        if message.sender == self.settings.me or (old and row.sequence <= old.sequence):
            return  # stale or repeated
        self.rows[message.sender] = row
        self.count(row, 1)  # a new peer's part in the slices comes at the next window
        if old:
            self.count(old, -1)
        if row.flags & ASK:
            self.announce(now, 0, message.sender)
        if row.flags & RISK:  # it did not expect our offload: move less there
            self.shares = {pair: share for pair, share in self.shares.items() if pair[1] != message.sender}
            self.balance(now)
        elif self.settings.me in self.moves:  # overloaded: offload far above an even part draws a flag
            mine = sum(n for tag, n in row.out if self.listing.meant(tag) in self.mine)
            if mine > 2 * (1 + sum(n for _, n in row.out)) / len(self.slices) + 2:
                self.announce(now, RISK, message.sender)

    def relist(self, touched: Iterable[Backend]) -> None:
        """After a change of the list: what peers have out where, the ring of keys, the slices."""
        left, here, tags = self.listing.change(touched, self.listed)
        for server in left:
            self.ring.drop(server)
        for server in [*here, *filter(self.listed, self.resized)]:
            self.enter(server)
        self.resized.clear()
        for n in self.rows.keys() - {self.settings.me} if tags else ():
            self.count(self.rows[n], 1, tags)
        self.deal()

    def listed(self, server: Backend) -> bool:
        return self.servers.get(server.entry.id) is server and server.entry.state is api.ServerState.UP

    def enter(self, server: Backend) -> None:
        """Give a server its part of the ring."""
        weight = 1.0 if self.settings.live_weights else server.weight  # live: keys move
        self.ring.put(server, weight, self.sizes.get(server.entry.kind, 1.0))

    def resize(self) -> None:
        """The kinds have changed in size."""
        self.sizes = dict(self.evidence.sizes)
        for server in self.up:
            self.enter(server)

    def deal(self) -> None:
        """Deal the servers of each zone to its live proxies by rank."""
        self.slices, self.moves = {n: [] for n in sorted(self.rows)}, {}
        zones = dict[int, list[Backend]]()
        for server in self.up:
            server.homes = 0
            zones.setdefault(server.entry.zone, []).append(server)
        for zone, servers in sorted(zones.items()):
            owners = [n for n in self.slices if self.rows[n].zone == zone] or list(self.slices)
            for owner, server in deal(servers, owners):
                self.slices[owner].append(server)
                server.slice = owner
                server.homes += 1
        self.large.deal(self.slices)
        self.mine = set(self.slices.get(self.settings.me, ()))

    def balance(self, now: float) -> None:
        """The step over the rows as announced: what moves from slice to slice in the next window."""
        load = {n: total((s.told + s.peers) / s.homes for s in slice_) for n, slice_ in self.slices.items()}
        grown = {n: window.growth(r.forecast, r.arrivals, r.served, now - r.at) for n, r in self.rows.items()}
        load = window.ahead(load, grown, self.settings.key_affinity)  # keys spread all demand alike
        mu, zones = {n: r.mu for n, r in self.rows.items()}, {n: r.zone for n, r in self.rows.items()}
        self.shares = window.step(load, mu, zones, self.shares)
        self.moves = window.moves(self.shares)

    def on_list(self, news: api.ServerList, now: float) -> None:
        if news.kind is api.ListKind.FAILED:
            self.watching, self.ask_wait = not self.settings.ask, min(4.0, max(0.5, self.ask_wait * 2))
            self.ask_at = now + self.ask_wait * self.random.uniform(0.5, 1.0)
            return
        if news.kind is not api.ListKind.CACHED:
            self.watching, self.ask_wait = True, 0.0
        self.servers, touched, renewed, resized = merge(self.servers, news, self.settings.live_weights)
        for server in renewed:
            self.large.mark(server)
        self.resized.update(resized)
        if touched:
            self.relist(touched)
        if self.recovery:
            self.recovery.listed(self.up, news, now)
