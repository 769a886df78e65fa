"""The clients: an open loop of tries over connections that are kept.

1. Send times depend on the client population alone: no proxy delays requests to another proxy or to itself.
2. Every try ends once: answered, cut off (status 0), or given up, and its connection closed, at its deadline.
3. A client waits for what is slack in the rules beyond its deadline, so that an answer in it is seen.
4. Clients that leave (`Load.leaving`) close or reset their connection while they wait. Where `at_once` says
   so, those of one proxy are one client that sends so many requests in one write, when the last of them
   falls due, on a connection of its own, and leaves them all together.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from math import floor

from firvane.simulation.emulation.clients import ClientPopulation, Disconnect, Try
from firvane.simulation.emulation.records import Abandoned, Answered, Asked
from firvane.simulation.runner.backends import Sink
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.connections import FINE, Bank, Connection, Run
from firvane.simulation.runner.ingress import Front
from firvane.simulation.runner.listeners import reset
from firvane.simulation.runner.plan import Address
from firvane.simulation.runner.wire import Seals

SLACK_S = 0.05  # s beyond a deadline in which an answer still counts
VANISH = (0.05, 0.5)  # part of its time after which a client goes that does not wait
EARLY_S = 0.05  # s before its deadline at which one leaves at the latest that leaves early
ORDER = b"Content-Length: 5\r\n\r\ndo it"


class Clients:
    """All clients, or the `part` of `parts` that is this process's."""

    def __init__(
        self,
        clock: Clock,
        population: ClientPopulation,
        proxies: dict[str, tuple[str, Address]],
        seals: Seals,
        seed: int,
        sink: Sink,
        on_ready: Callable[[str], None],
        part: int = 0,
        parts: int = 1,
        resets_tell: bool = False,
        told_epochs: bool = False,
    ) -> None:
        """`proxies` maps a name to its zone and address; `told_epochs`: answers may tell by which policy.

        `resets_tell`: a reset says that the proxy left the request unread, as that of a kernel does. Links in
        memory also reset what is aborted, and would hide the loss of a request that was taken.
        """
        self.clock, self.population, self.seals, self.sink = clock, population, seals, sink
        self.part, self.parts, self.resets_tell = part, parts, resets_tell
        self.told_epochs = told_epochs
        most_idle = max(1, population.load.connections // parts)
        self.banks = {
            name: Bank(self, name, zone, address, most_idle) for name, (zone, address) in proxies.items()
        }
        self.front = Front(clock, self.banks, seed, population.admit, on_ready)
        self.tries: Iterator[tuple[Try, ...]] = iter(())
        self.next: tuple[Try, ...] = ()  # those that are sent together, nearly always one
        self.until = 0.0
        self.out = 0  # tries under way or still to come

    def begin(self, until: float) -> None:
        """Ask from 0 s on; first tries end at `until`."""
        self.until = until
        self.tries = self._mine()
        self.next = next(self.tries, ())
        self._plan()

    def _mine(self) -> Iterator[tuple[Try, ...]]:
        company: dict[str, list[Try]] = {}  # at each proxy, those that leave and go together
        for number, try_ in enumerate(self.population.tries()):
            if try_.at >= self.until:
                return
            if number % self.parts != self.part:
                continue
            if self.population.load.at_once > 1 and self.population.disconnect(try_):
                together = company.setdefault(try_.proxy, [])
                together.append(try_)
                if len(together) == self.population.load.at_once:
                    del company[try_.proxy]
                    yield tuple(one._replace(at=try_.at, first_at=try_.at) for one in together)
            else:
                yield (try_,)

    def _plan(self) -> None:
        if self.next:
            self.clock.call_at(self.next[0].at, self._due)

    def _due(self, now: float) -> None:
        while self.next and self.next[0].at <= now:
            tries, self.next = self.next, next(self.tries, ())
            self.clock.fire(tries[0].at)  # one timer stands for all that are due: each is late by itself
            self.out += len(tries)
            if len(tries) == 1:
                self._ask(now, tries[0])
            else:
                self._ask_at_once(now, tries)
        self._plan()

    def _ask_at_once(self, now: float, tries: tuple[Try, ...]) -> None:
        """Several requests of one client in one write, which goes before their time."""
        runs = [Run(try_) for try_ in tries]
        first = tries[0]
        bank = self.front.leads(first, self.banks[first.proxy], self.banks)
        disconnect = self.population.disconnect(first)
        assert disconnect
        at = min(self._leaves_at(try_.at, disconnect, try_.deadline) for try_ in tries)
        for run in runs:
            run.timer = self.clock.call_at(at, self._leave, run, disconnect)
        bank.volley(runs)

    def _leaves_at(self, sent: float, disconnect: Disconnect, deadline: float) -> float:
        """When one leaves that does; before its time, or it would only have waited in vain."""
        at, beat = sent + disconnect.after, self.population.load.leave_beat_s
        if beat:
            at = (floor(at / beat) + 1) * beat
        return min(at, deadline - EARLY_S)

    def _ask(self, now: float, try_: Try) -> None:
        run = Run(try_)
        bits = int(try_.call[:8], 16)
        if bits < self.population.load.vanishing * 2**32:
            low, high = VANISH
            left = try_.budget_ms / 1e3 * (low + (high - low) * (bits & 0xFFFF) / 2**16)
            run.timer = self.clock.call_at(try_.at + left, self._give_up, run)
        elif disconnect := self.population.disconnect(try_):
            at = self._leaves_at(try_.at, disconnect, try_.deadline)
            run.timer = self.clock.call_at(at, self._leave, run, disconnect)
        else:
            run.timer = self.clock.call_at(try_.deadline + SLACK_S, self._give_up, run)
        bank = self.banks[try_.proxy]
        if not bank.idle:
            bank = self.front.leads(try_, bank, self.banks)
        bank.take(run, now)

    def reads_slowly(self, try_: Try) -> bool:
        return int(try_.call[8:], 16) < self.population.load.slow_readers * 2**32

    def request(self, try_: Try, now: float) -> bytes:
        call = try_.call.encode()
        return (
            b"%s %s HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: %s\r\nX-Caller: %s\r\nX-Route-Hash: %s\r\n"
            b"X-Budget-Ms: %d\r\nX-Call-Cost: %d\r\n%s%s"
            % (
                b"GET" if self.population.load.may_repeat else b"POST",
                self.seals.path(call, try_.key, try_.work),
                call,
                try_.community.encode(),
                try_.key.encode(),
                max(1, round((try_.deadline - now) * 1e3)),
                try_.hint_us,
                b"X-Again: 1\r\n" if try_.marked else b"",
                b"\r\n" if self.population.load.may_repeat else ORDER,
            )
        )

    # How a try ends

    def note_asked(self, t: Try, proxy: str, now: float, taken: bool = True) -> None:
        asked = Asked(
            now, t.call, t.first, t.at, proxy, t.zone, t.community, t.key, t.work, t.worth, t.aim,
            t.deadline, t.number > 0, taken,
        )  # fmt: skip
        self.sink(asked)

    def unreached(self, run: Run, proxy: str) -> None:
        """No connection for it came up."""
        now = self.clock.now()
        if run.is_asked:  # it crossed a close before: the proxy was owed it
            self.answered(run, now, proxy, 0, 0.0, "")
        else:
            self.note_asked(run.try_, proxy, now, False)
            self._end(run, now, 0, 0.0)

    def answered(
        self, run: Run, now: float, proxy: str, status: int, retry_after: float, body_of: str
    ) -> None:
        if run.is_over:
            return
        self.sink(Answered(now, run.try_.call, proxy, status, retry_after, body_of))
        self._end(run, now, status, retry_after)

    def answered_twice(self, connection: Connection, data: bytes) -> None:
        """More came on a connection than was asked for: a second answer to its last call."""
        status = int(data[9:12]) if data[9:12].isdigit() else 1
        if connection.last_call:
            now = self.clock.now()
            self.sink(Answered(now, connection.last_call, connection.bank.name, status, 0.0, ""))

    def _give_up(self, now: float, run: Run) -> None:
        if connection := run.connection:
            connection.run = None
            connection.transport.abort()
            self.sink(Abandoned(now, run.try_.call, connection.bank.name))
            self._end(run, now, 0, 0.0)
            return
        for bank in self.banks.values():
            if run in bank.waiting:
                bank.waiting.remove(run)
                self.unreached(run, bank.name)

    def _leave(self, now: float, run: Run, disconnect: Disconnect) -> None:
        """A client goes while its request waits, and with it whatever else it has sent behind that."""
        connection = run.connection
        if connection is None:  # it is not up yet
            waits = [bank for bank in self.banks.values() if run in bank.waiting]
            for bank in waits:
                bank.waiting.remove(run)
            self.unreached(run, waits[0].name if waits else run.try_.proxy)
            return
        runs = connection.leaves()
        if disconnect.by_reset:
            reset(connection.transport)
        else:
            connection.transport.close()
        for one in runs:
            self.sink(Abandoned(now, one.try_.call, connection.bank.name))
        for one in runs:
            self._end(one, now, 0, 0.0)

    def _end(self, run: Run, now: float, status: int, retry_after: float) -> None:
        run.is_over = True
        if run.timer:
            run.timer.cancel()
        retry = None if status == FINE else self.population.retry(now, run.try_, status, retry_after)
        if retry:
            self.clock.call_at(retry.at, self._ask, retry)
        else:
            self.out -= 1

    @property
    def is_done(self) -> bool:
        """Whether all has been asked and has ended."""
        return not self.next and self.out == 0

    def close(self) -> None:
        self.front.close()
        for bank in self.banks.values():
            bank.close()
