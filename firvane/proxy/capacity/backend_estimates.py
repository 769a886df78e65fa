"""What is believed of each box, from what is heard of it: its room, its pace, and which attempts still count.

Rules that hold here and nowhere else:

1. An attempt counts in its box's `own` from its send to its end, or until it is taken for lost; it leaves
   once.
2. It is lost when it is late and some that were sent to the same box after it have been answered before it,
   or when it is long over its time while single attempts are being lost everywhere. That says something of
   the path, nothing of the box: no room, pace or health follows from a lost attempt.
3. A box is silent when it has ended nothing since a request was sent, for longer than its usual gaps, with
   enough attempts overdue that chance does not explain it where single ones are being lost. A gap is a time
   in which something was out there, at first an answer's usual time: a box that is seldom asked says nothing
   for long, and where its usual answer passed for a silence a second copy of most requests went out.
4. A room is cut by turn-aways and by answers that take most of the aim though their work is light; it is
   grown by other answers near it. No evidence, no optimism: but at the start of the proxy, when a room is a
   guess, answers near it grow it quickly.
5. What a kind can do is what its warm boxes were seen to do, as answers a second to all proxies; where these
   tell each other nothing each takes itself for one like all. The best of it counts, and is forgotten slowly:
   a day that asks little shows little. What a cold box can do is what the rules allow for of that, or the
   part of its kind's pace that its answers show, less a margin: the work sent to it stays under the rule's
   line where the hints are right in the mean.
6. One failure of a connection says nothing of the box; the next answer disproves all of them.
7. A box whose table of connections is full takes from a proxy what that has connections for. Without one it
   is left to the proxies that have: each new connection that it turns away costs it a handshake.
8. A box that says of most answers that it failed does so quickly, and its small count of attempts out would
   draw ever more. It is left alone, and tried one attempt at a time until most trials go well. In a large
   fleet a proxy sees too little of a box to tell, and what all leave alone at once is missed: there it stays.
"""

from __future__ import annotations

import math
import random

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, Mark
from firvane.proxy.capacity import class_counts

FADE = 3.0  # s that halve what was seen of slowness
GUESS = 5.0  # s after the start in which rooms grow quickly; servers that come later start cold
DOWN, DOWN_FAILS = 1.0, 4  # s and failures without an answer that are a process's end, not a connection's
UNMADE = 0.5  # s in which the count of connections that a working server did not take halves
CROWDED = 10.0  # s that a full table is minded
DRIFT = 0.02  # part of the best rate that is forgotten a second
SILENCES = 2.5  # usual gaps between a server's answers that make a silence
LONG, LATE = 4.0, 2.5  # usual times without an answer that are long; that are enough where it was overtaken
HURRY = 1.7  # the same while single attempts are being lost
PASSED = 2  # later attempts answered before it that make a late one lost
FORGET = 0.02  # how far one end moves the part of attempts that are lost
RECENT, SETTLED = 0.9, 0.99  # what of the times of one server, and of all of a kind, is kept with each answer
ENOUGH, SHOWN = 5.0, 0.6  # answers that show a cold server's pace; of what they show, what is built on
CHANCE = 0.01  # of so many attempts being lost together: less than that is a silence
FLOW, MANY = 0.9, 40.0  # kept from window to window of what a kind did; answers that tell its rate
STEP, LEAST_SIZE = 1.25, 0.2  # times by which a kind's size must differ to be changed; the smallest
SLOW, LIGHT = 0.8, 0.2  # of the aim: an answer's time that is too long, for work of less than that
CROWDING, CROWD = 0.05, 0.25  # how far one end moves the part that find no room; from which copies only crowd
PLACE = 1.0  # s for which a box without a place for a first connection is left alone; doubled to eight times
FAULT, FAULTY = 0.2, 0.5  # how far one answer moves the part that say they failed; left alone from which
AFTER = 1.0  # s from a trial that failed to the next
TRIAL = 0.2  # s of all trials of a large fleet at a box that is gone that each proxy is given
THIN = 12  # proxies from which on none sees enough of a kind alone to tell its rate
RARE = 0.03  # part lost below which a single attempt is enough to doubt its box


class Flow:
    """What the warm servers of a kind have done of late."""

    def __init__(self, pooled: bool) -> None:
        self.pooled = pooled  # peers tell of their answers, too
        self.answers = 0.0  # to this proxy, or to all
        self.own = 0.0  # attempts out there from here, window by window
        self.all = 0.0  # and from all proxies
        self.span = 0.0  # s and weight of servers

    def fade(self) -> None:
        self.answers *= FLOW
        self.own *= FLOW
        self.all *= FLOW
        self.span *= FLOW

    def rate(self) -> float:
        """Answers a second and weight to all proxies; 0 where too few came to tell.

        Where only the own ones are known, all are answered alike: their parts are those of the attempts out.
        """
        if self.answers < MANY or not (self.pooled or self.own):
            return 0.0
        if self.pooled:
            return self.answers / self.span
        return self.answers / self.span * self.all / self.own


class Evidence:
    """One proxy's beliefs about all boxes."""

    def __init__(self, settings: api.Settings, dice: random.Random, now: float) -> None:
        """`dice` draws the spread of retry times; times are in seconds."""
        self.settings, self.random, self.started = settings, dice, now
        self.typical = [cls.latency_target / 2 for cls in settings.classes]  # s that an answer takes
        self.pace = dict[int, float]()  # s that a second of work takes, queues included, by kind of server
        self.kinds = dict[int, float]()  # what a server of each kind can do, of `best`
        self.flows = dict[int, Flow]()
        self.rates = dict[int, float]()  # best answers a second and weight, by kind
        self.sizes = dict[int, float]()  # `kinds` in steps, changed seldom: keys move with them
        self.best = 0.0  # answers a second and weight
        self.quick = dict[int, tuple[float, float]]()  # s taken and work hinted, warm servers
        self.marks = dict[tuple[int, int], Mark]()  # attempts that have not ended, by request and number
        self.large = settings.proxies >= THIN
        self.pooled = self.large and settings.limits.peers
        self.counts = dict[int, int]()  # answers of warm servers since the start, by kind, to tell the peers
        self.heard = class_counts.Heard()
        self.crowded = 0.0  # part of attempts that find no room
        self.lossy = 0.0  # part of attempts that are never answered though their box answers others

    def retune(self, settings: api.Settings) -> None:
        """Other settings, in which a class that is known has its number still; what was learnt is kept."""
        known = {cls.name: took for cls, took in zip(self.settings.classes, self.typical, strict=True)}
        new = settings.classes[len(self.typical) :]
        self.typical += [min(cls.latency_target, known.get(cls.name, cls.latency_target / 2)) for cls in new]
        before, self.settings = self.settings, settings
        if settings.limits.peers is not before.limits.peers:
            # Guards against taking one's own answers for those of all, or the other way round, where a SIGHUP
            # lets proxies tell each other of theirs, or no longer: both are counted anew.
            self.pooled, self.flows = self.large and settings.limits.peers, {}

    # What is asked

    def power(self, server: Backend, now: float) -> float:
        """Weight, less while its answers take longer than its peers': acts before errors show."""
        size = self.sizes.get(server.entry.kind, 1.0) if self.pooled else 1.0  # else the room tells
        return server.weight * size * server.room * min(1.0, 1.5 / slowness(server, now))

    def usual(self, cls: int, server: Backend, work: float | None) -> float:
        """s that an answer to such a request usually takes there."""
        return max(self.typical[cls], self.pace.get(server.entry.kind, 1.0) * (work or 0.0))

    @property
    def stands_for(self) -> int:
        """Proxies that one's figures stand for: all of the tier where none tells another of its own."""
        return 1 if self.settings.limits.peers else self.settings.proxies

    def is_cold(self, server: Backend, now: float) -> bool:
        return server.since is not None and now < server.since + self.settings.rules.slow_start

    def able(self, server: Backend, now: float) -> float:
        """The part of its all that a cold server can do: what the rules allow for, or more where it shows."""
        rules = self.settings.rules
        age = min(1.0, max(0.0, now - (server.since or 0.0)) / rules.slow_start)
        sure = age + rules.start_capacity * (1.0 - age)
        took, work = self.quick.get(server.entry.kind, (0.0, 0.0))
        if server.timed < ENOUGH or not work or not server.took:
            return sure
        return max(sure, min(1.0, SHOWN * took / work * server.work / server.took))

    def is_lost(self, mark: Mark, now: float) -> bool:
        """Whether an attempt counts no more: it is late, and others say that its box is not why."""
        age = now - mark.at
        if age < self.late(mark.usual):
            return False
        return mark.passed >= PASSED or (age >= LONG * mark.usual and (mark.passed > 0 or self.lossy >= RARE))

    def late(self, usual: float) -> float:
        """s after which an attempt is late: sooner while single attempts are being lost."""
        return (HURRY if self.lossy >= RARE else LATE) * usual

    def silent_at(self, mark: Mark, server: Backend) -> float:
        """When it has said nothing for too long; it has nothing to say while nothing is out there."""
        return self._owing_since(mark, server) + SILENCES * (server.gap or mark.usual)

    @staticmethod
    def _owing_since(mark: Mark, server: Backend) -> float:
        """Since when something is out there of which it has said nothing: rule 3."""
        return max(server.heard_at, server.out[0].at if server.out else mark.at)

    def is_silent(self, mark: Mark, server: Backend, now: float) -> bool:
        """Whether the box has ended nothing since, for longer than it usually does."""
        if server.heard_at >= mark.at or now < self.silent_at(mark, server):
            return False
        due = sum(1 for other in server.out if now - other.at >= LATE * other.usual)
        return self.lossy < RARE or self.lossy**due < CHANCE

    # What is heard

    def sent(
        self, server: Backend, cls: int, work: float | None, attempt: tuple[int, int], now: float
    ) -> Mark:
        """An attempt begins: its request's class and hint, its request and number."""
        mark = self.marks[attempt] = Mark(now, self.usual(cls, server, work))
        server.out.append(mark)
        server.own += 1
        return mark

    def lose(self, mark: Mark, server: Backend) -> None:
        """An attempt is taken for lost: its place in the room is free."""
        mark.lost = True
        self._leave(server, mark)
        self.lossy += FORGET * (1.0 - self.lossy)

    def _leave(self, server: Backend, mark: Mark) -> None:
        if mark in server.out:  # else the list has named the server anew meanwhile
            server.out.remove(mark)
            server.own -= 1

    def ended(
        self, server: Backend | None, request: api.Request | None, outcome: api.Outcome, now: float
    ) -> bool:
        """Follow a server's health from the end of an attempt; whether to close idle connections there.

        `server` is None where the list names it no more, `request` where its answer was given before.
        """
        mark = self.marks.pop((outcome.id, outcome.attempt), None)
        if server is None or mark is None:
            return False
        result, close, lost = outcome.result, False, mark.lost
        if result not in (api.Result.TIMEOUT, api.Result.CANCELLED, api.Result.NOT_SENT):
            gap = min(1.0, now - self._owing_since(mark, server))
            server.gap = server.gap + 0.2 * (gap - server.gap) if server.gap else gap
            server.heard_at = now
        if not lost:
            self._leave(server, mark)
        if result in (api.Result.OK, api.Result.ERROR):
            for other in server.out:
                if other.at >= mark.at:
                    break
                other.passed += 1
        if self.large and result in (api.Result.OK, api.Result.OVERLOADED):
            self.crowded += CROWDING * ((result is api.Result.OVERLOADED) - self.crowded)
        failed = result is api.Result.ERROR and not outcome.finished
        if not self.large and (failed or result is api.Result.OK):
            self._judged(server, failed, now)
        if result is api.Result.OK:
            if not self.is_cold(server, now):
                self._did(server.entry.kind, 1)
                self.counts[server.entry.kind] = self.counts.get(server.entry.kind, 0) + 1
            self.lossy -= FORGET * self.lossy
            close = now < server.crowded_at + CROWDED
            self._answered(server, request, outcome.duration, now)
        elif result in (api.Result.CONNECT_FAILED, api.Result.RESET):
            close = self._broke(server, result, outcome.duration, now)
        elif result is api.Result.CONNECTIONS_FULL:
            self._unplaced(server, now)
        elif result is api.Result.OVERLOADED:
            if now > server.cut_at + 0.1:
                server.room, server.cut_at = max(1.0, 0.85 * server.room), now
            server.retry_at = max(server.retry_at, now + 0.03)
        if request and not lost:
            self._timed(server, request, result, outcome.duration, now)
            if result is api.Result.OK and request.work:
                self._paced(server, request.work, outcome.duration, now)
        return close

    def _answered(self, server: Backend, request: api.Request | None, took: float, now: float) -> None:
        # Of a box that was down a proxy among many meets few failures.
        enough = server.downs > 0 if self.large else server.fails >= DOWN_FAILS
        if enough and now > server.failing_since + DOWN:
            server.since, server.timed = now, 0.0  # it was down whatever the list says: as if just started
        server.unplaced = 0
        if server.fails:
            server.fails, server.downs, server.retry_at = 0, 0, now  # what kept it out is disproved
        aim = self.settings.classes[request.class_id].latency_target if request else took
        if request and took > SLOW * aim and (request.work or 0.0) < LIGHT * aim:
            if now > server.cut_at + aim:  # what waits there would be late: as if turned away
                server.room, server.cut_at = max(1.0, 0.9 * server.room), now
        elif server.own + 1 > 0.7 * server.room:
            # It was near its room and kept up; at the start of the proxy its room is only a guess.
            guess = not server.cut_at and now < self.started + GUESS
            server.room += 0.5 if guess else 0.1 / server.room

    def _judged(self, server: Backend, failed: bool, now: float) -> None:
        """It has served, or said that it failed (a request that is at fault itself is no sign of that)."""
        before, server.faulty = server.faulty, server.faulty + FAULT * (failed - server.faulty)
        if failed and server.faulty > FAULTY:
            server.retry_at = max(server.retry_at, now + AFTER * self.random.uniform(0.75, 1.25))
        elif before > FAULTY:  # a trial has gone well: the next one may follow
            server.retry_at = now + AFTER / 8

    def _unplaced(self, server: Backend, now: float) -> None:
        """Its connections have run out: ours are enough for what is out there, or there is none."""
        if server.own:
            server.room, server.cut_at = float(server.own), now
        else:
            pause = PLACE * 2 ** min(3, server.unplaced)
            server.retry_at = max(server.retry_at, now + pause * self.random.uniform(0.75, 1.25))
            server.unplaced += 1

    def _timed(
        self, server: Backend, request: api.Request, result: api.Result, took: float, now: float
    ) -> None:
        """What the time of an end says of the server's pace."""
        if result is api.Result.OK and request.work:
            pace, kind = took / request.work, server.entry.kind
            self.pace[kind] = self.pace.get(kind, 1.0) * 0.98 + 0.02 * min(10.0, pace)
        if result in (api.Result.OK, api.Result.TIMEOUT):
            typical = self.typical[request.class_id]
            if result is api.Result.OK:
                self.typical[request.class_id] += 0.01 * (took - typical)
            ratio = min(8.0, took / typical)
            server.slow, server.slow_at = 0.8 * slowness(server, now) + 0.2 * ratio, now

    def _paced(self, server: Backend, work: float, took: float, now: float) -> None:
        """How quickly it works, queues included, beside servers of its kind that are warm."""
        server.took, server.work = RECENT * server.took + took, RECENT * server.work + work
        server.timed = RECENT * server.timed + 1.0
        if not self.is_cold(server, now):
            kind = server.entry.kind
            known, hinted = self.quick.get(kind, (0.0, 0.0))
            self.quick[kind] = SETTLED * known + took, SETTLED * hinted + work

    def _broke(self, server: Backend, result: api.Result, took: float, now: float) -> bool:
        """A connection ended or was not made: the server is left alone only if it seems to be why."""
        unmade, close = result is api.Result.CONNECT_FAILED, False
        if unmade and server.own:  # it holds others of ours
            server.unmade = 1.0 + server.unmade * math.exp2((server.unmade_at - now) / UNMADE)
            server.unmade_at = now
            if server.unmade > 2.5:  # not one alone: its connections have run out, our idle ones among them
                server.crowded_at, close = now, True
        else:
            server.failing_since = server.failing_since if server.downs else now
            server.fails += 1
            server.downs += 1
        waited = unmade and took > 0.9 * self.settings.limits.connect_timeout
        if waited or server.fails > 1 or now == server.crowded_at:  # one alone says nothing of the server
            base = 0.25 if waited else 0.05  # s; what fails at once costs little to try
            pause = base * 2 ** min(6, server.fails)
            if waited and self.large:
                # A machine that is gone comes back cold: the first trials of all must not push it over.
                pause = max(pause, TRIAL * self.settings.proxies)
            server.retry_at = now + pause * self.random.uniform(0.75, 1.25)
        return close

    def doubted(self, server: Backend, now: float) -> None:
        """It is silent: it gets nothing for a while, and then one attempt at a time."""
        server.retry_at = max(server.retry_at, now + 0.25 * 2 ** min(4, max(1, server.fails)))
        server.fails = max(server.fails, 2)  # from now on one trial at a time; a cut does not make it cold

    # What is learnt of the fleet

    def _did(self, kind: int, answers: int) -> None:
        if flow := self.flows.get(kind):
            flow.answers += answers

    def tell(self, now: float) -> bytes:
        """What the peers are to know of it, once a row."""
        return class_counts.pack(self.counts, now)

    def told(self, sender: int, payload: bytes) -> bool:
        """Whether a message is a peer's counts; they are taken in. Raises as `kinds.unpack` does."""
        if payload[:1] != class_counts.MARK:
            return False
        for kind, answers in self.heard.more(sender, payload).items():
            if self.pooled:
                self._did(kind, answers)
        return True

    def weigh(self, warm: list[Backend], served: float, fleet: float, window: float) -> None:
        """Once a window: what a warm server of each kind can do, and the best rate seen.

        `warm` are the servers known to be warm, `served` the answers a second of all proxies, `fleet` the
        weight of all servers.
        """
        self.best = max(self.best * (1.0 - DRIFT * window), served / fleet)
        for server in warm:
            flow = self.flows.setdefault(server.entry.kind, Flow(self.pooled))
            flow.own += server.own
            flow.all += server.own + server.peers
            flow.span += server.weight * window
        for kind in sorted(self.flows):
            rate = self.flows[kind].rate() * self.stands_for
            self.rates[kind] = max(self.rates.get(kind, 0.0) * (1.0 - DRIFT * window), rate)
            self.flows[kind].fade()
        most = max(self.rates.values(), default=0.0)
        for kind, rate in self.rates.items():
            if rate and self.best:
                self.kinds[kind] = rate / self.best
                size, known = max(LEAST_SIZE, rate / most), self.sizes.get(kind, 1.0)
                if not 1 / STEP < size / known < STEP:
                    self.sizes[kind] = STEP ** round(math.log(size, STEP))


def slowness(server: Backend, now: float) -> float:
    """How its answers' times compare with those of their classes: 1 is usual."""
    return 1.0 + (server.slow - 1.0) * math.exp2((server.slow_at - now) / FADE)
