"""Tracks each proxy's incarnations (process lifetimes): state, notifications, resources, datagrams.

Invariants of this module:

1. A proxy has crashed if it ends without an order to end; a killed proxy has not crashed.
2. None of its resources may grow without bound or beyond its limit (`leaks.py` separates leaks from bursts).
3. Flows belong to open requests, and to few others: attempts of an ended request are cancelled.
4. A proxy owes no answer to requests sent before or during a stall (SIGSTOP, a machine without CPU time):
   no process could answer then.
5. Datagrams go to peers only if the network has peers, and are at most 256 bytes long.
"""

from __future__ import annotations

from collections import deque

from firvane.simulation.emulation.leaks import Floors
from firvane.simulation.emulation.records import ProxyState, Sent, Told, Used
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.verdict import Findings, Rule

DRAIN_GRACE = 0.7  # s after the order to end during which clients may still send requests
RESUME_GRACE = 0.1  # s after a stall in which requests from during the stall may still be accepted
LINGER = 0.1  # s after its request's end for which a flow may still exist
FLOW_SLACK = 8  # flows allowed beyond those accounted for
SAMPLES = 3  # successive samples above the limit that count as a leak
REMEMBERED = 600.0  # s for which attempts at a removed backend are still checked
MEGABYTE = 1 << 20
DATAGRAM = 256  # bytes


class Incarnation:
    """One process lifetime of a proxy: its notifications, open requests and resources."""

    def __init__(self, began: float) -> None:
        self.running = True
        self.ending: float | None = None  # when it was ordered to end
        self.up: dict[str, int] = {}  # by backend: the start that the proxy was notified of
        self.down: dict[str, float] = {}  # by backend: time of its drain or removal notice, in that order
        self.floors = {"sockets": Floors(began, 24.0), "memory, in MB,": Floors(began, 8.0)}
        self.is_stalled = False  # whether it is stalled
        self.resumed_at = -1.0  # when it last resumed
        self.open = 0  # number of unanswered requests
        self._ended: deque[float] = deque()  # end times of requests within the last `LINGER` s
        self._over = 0  # successive samples with too many flows

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
        """Whether a request sent at `asked` was open during a stall, so that no answer is due."""
        return self.is_stalled or asked <= self.resumed_at + RESUME_GRACE

    def closed(self, at: float) -> None:
        """Count the end of an open request."""
        self.open -= 1
        self._ended.append(at)
        self._forget(at)

    def used(self, record: Used) -> None:
        self.floors["sockets"].see(record.at, record.sockets)
        self.floors["memory, in MB,"].see(record.at, record.memory / MEGABYTE)

    def exceeded_flow_limit(self, record: Used) -> int | None:
        """Return the flow limit if several successive samples exceeded it, else None."""
        self._forget(record.at)
        limit = self.open + len(self._ended) + FLOW_SLACK
        self._over = self._over + 1 if record.flows > limit else 0
        return limit if self._over == SAMPLES else None

    def _forget(self, now: float) -> None:
        while self._ended and self._ended[0] < now - LINGER:
            self._ended.popleft()


class Incarnations:
    """The current incarnation of each proxy."""

    def __init__(self, scenario: Scenario, findings: Findings) -> None:
        self.scenario = scenario
        self.findings = findings
        self.incarnations: dict[str, Incarnation] = {}

    def of(self, proxy: str) -> Incarnation:
        """Return a proxy's current incarnation; one without a start record has run since time 0."""
        if proxy not in self.incarnations:
            self.incarnations[proxy] = Incarnation(0.0)
        return self.incarnations[proxy]

    def see(self, record: ProxyState) -> bool:
        """Apply a state change; return whether the incarnation has ended."""
        name, incarnation = record.proxy, self.of(record.proxy)
        if record.state == "started":
            self.incarnations[name] = Incarnation(record.at)
        elif record.state in ("stalled", "on"):
            incarnation.is_stalled = record.state == "stalled"
            incarnation.resumed_at = record.at
        elif record.state == "ending":
            incarnation.ending = record.at
        elif record.state in ("killed", "ended") and incarnation.running:
            incarnation.running = False
            if record.state == "ended" and incarnation.ending is None:
                text = f"ended with code {record.code} without an order to end"
                self.findings.add(Rule.CRASHED, record.at, text, proxy=name)
            self._leaks(record.at, name, incarnation)
            return True
        return False

    def used(self, record: Used) -> None:
        incarnation, limits = self.of(record.proxy), self.scenario.proxies
        incarnation.used(record)
        limit = incarnation.exceeded_flow_limit(record)
        if limit is not None:
            text = f"holds {record.flows} flows though at most {limit} can be in use"
            self.findings.add(Rule.LEAK, record.at, text, proxy=record.proxy)
        megabytes = record.memory / MEGABYTE
        if record.sockets > limits.sockets or megabytes > limits.memory_mb:
            allowed = f"{limits.sockets} and {limits.memory_mb} allowed"
            text = f"holds {record.sockets} sockets and {megabytes:.0f} MB, {allowed}"
            self.findings.add(Rule.OVER, record.at, text, proxy=record.proxy)

    def sent(self, record: Sent) -> None:
        allowed = DATAGRAM if self.scenario.network.peers else 0
        if record.size > allowed:
            text = f"{record.size} bytes, {allowed} allowed"
            self.findings.add(Rule.DATAGRAM, record.at, text, proxy=record.proxy)

    def end(self, at: float) -> None:
        for name, incarnation in sorted(self.incarnations.items()):
            if incarnation.running:
                self._leaks(at, name, incarnation)

    def _leaks(self, at: float, name: str, incarnation: Incarnation) -> None:
        for what, floors in incarnation.floors.items():
            if grown := floors.grown():
                text = f"{what} grew by {grown:.0f} in the second half of its run, to {floors.floors[-2]:.0f}"
                self.findings.add(Rule.LEAK, at, text, proxy=name)
