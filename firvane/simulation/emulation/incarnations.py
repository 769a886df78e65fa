"""The proxies' lives as they are seen from outside: what each was told, owes, holds and sends.

Rules that hold here and nowhere else:

1. A proxy has crashed if it ends though nobody told it to end; one that is killed has not.
2. Nothing that it holds may grow without bound, or beyond what it may hold (`leaks.py` tells a leak from a
   burst).
3. Flows are held for requests that are open, and for few others: what is out for one that is over is
   cancelled.
4. What was asked of a proxy before or while it stands still (SIGSTOP, a machine without a turn) is not owed
   by it: nobody can answer then.
5. Datagrams go to peers only where the network has them, and hold at most 256 bytes.
"""

from __future__ import annotations

from collections import deque

from firvane.simulation.emulation.leaks import Floors
from firvane.simulation.emulation.records import ProxyState, Sent, Told, Used
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.verdict import Findings, Rule

LAME = 0.7  # s after the order to end for which clients may still come
AWAKE = 0.1  # s after a stand-still in which it may still take up what came during it
LINGER = 0.1  # s after its end for which a flow may still be held
FEW = 8  # flows that may be held beyond what is known of
SAMPLES = 3  # in a row that show more, before it is a leak
REMEMBERED = 600.0  # s for which a box that has left is still looked out for
MEGABYTE = 1 << 20
DATAGRAM = 256  # bytes


class Life:
    """What one proxy was told, owes and holds, since it started."""

    def __init__(self, began: float) -> None:
        self.running = True
        self.ending: float | None = None  # when it was told to end
        self.up: dict[str, int] = {}  # box to the start that it was told of
        self.down: dict[str, float] = {}  # box to when it was told that it drains or is gone, in that order
        self.floors = {"sockets": Floors(began, 24.0), "memory, in MB,": Floors(began, 8.0)}
        self.stands = False  # still, where it was
        self.went_on = -1.0  # when it last stood still no longer
        self.open = 0  # requests that it has to answer
        self._ended: deque[float] = deque()  # when those of the last `LINGER` s did
        self._over = 0  # samples in a row with more flows than can be

    def told(self, record: Told) -> None:
        box = record.box
        if record.state == "up":
            self.up[box] = record.start
            self.down.pop(box, None)
            return
        self.up.pop(box, None)
        self.down.setdefault(box, record.at)
        while self.down:
            first = next(iter(self.down))
            if self.down[first] > record.at - REMEMBERED:
                break
            del self.down[first]

    def excuses(self, asked: float) -> bool:
        """Whether it stood still while a request of then was open: nothing can be owed meanwhile."""
        return self.stands or asked <= self.went_on + AWAKE

    def closed(self, at: float) -> None:
        """One of its open requests has ended."""
        self.open -= 1
        self._ended.append(at)
        self._forget(at)

    def used(self, record: Used) -> None:
        self.floors["sockets"].see(record.at, record.sockets)
        self.floors["memory, in MB,"].see(record.at, record.memory / MEGABYTE)

    def holds_too_much(self, record: Used) -> int | None:
        """How many flows can be wanted, where more than that were held in several samples."""
        self._forget(record.at)
        can_be = self.open + len(self._ended) + FEW
        self._over = self._over + 1 if record.flows > can_be else 0
        return can_be if self._over == SAMPLES else None

    def _forget(self, now: float) -> None:
        while self._ended and self._ended[0] < now - LINGER:
            self._ended.popleft()


class Lives:
    """All proxies, each in its present life."""

    def __init__(self, scenario: Scenario, findings: Findings) -> None:
        self.scenario = scenario
        self.findings = findings
        self.lives: dict[str, Life] = {}

    def of(self, proxy: str) -> Life:
        """One that nobody has seen start has run from the beginning."""
        if proxy not in self.lives:
            self.lives[proxy] = Life(0.0)
        return self.lives[proxy]

    def see(self, record: ProxyState) -> bool:
        """Whether its life has ended with this."""
        name, life = record.proxy, self.of(record.proxy)
        if record.state == "started":
            self.lives[name] = Life(record.at)
        elif record.state in ("stalled", "on"):
            life.stands = record.state == "stalled"
            life.went_on = record.at
        elif record.state == "ending":
            life.ending = record.at
        elif record.state in ("killed", "ended") and life.running:
            life.running = False
            if record.state == "ended" and life.ending is None:
                text = f"ended with code {record.code} though nobody told it to"
                self.findings.add(Rule.CRASHED, record.at, text, proxy=name)
            self._leaks(record.at, name, life)
            return True
        return False

    def used(self, record: Used) -> None:
        life, limits = self.of(record.proxy), self.scenario.proxies
        life.used(record)
        held = life.holds_too_much(record)
        if held is not None:
            text = f"holds {record.flows} flows though no more than {held} can be wanted"
            self.findings.add(Rule.LEAK, record.at, text, proxy=record.proxy)
        megabytes = record.memory / MEGABYTE
        if record.sockets > limits.sockets or megabytes > limits.memory_mb:
            allowed = f"{limits.sockets} and {limits.memory_mb} allowed"
            text = f"holds {record.sockets} sockets and {megabytes:.0f} MB, {allowed}"
            self.findings.add(Rule.OVER, record.at, text, proxy=record.proxy)

    def sent(self, record: Sent) -> None:
        most = DATAGRAM if self.scenario.network.peers else 0
        if record.size > most:
            text = f"{record.size} bytes, {most} allowed"
            self.findings.add(Rule.DATAGRAM, record.at, text, proxy=record.proxy)

    def end(self, at: float) -> None:
        for name, life in sorted(self.lives.items()):
            if life.running:
                self._leaks(at, name, life)

    def _leaks(self, at: float, name: str, life: Life) -> None:
        for what, floors in life.floors.items():
            if grown := floors.grown():
                text = f"{what} grew by {grown:.0f} in the life's second half, to {floors.floors[-2]:.0f}"
                self.findings.add(Rule.LEAK, at, text, proxy=name)
