"""Limits the payload that is processed in one turn of the event loop; the rest is left to later turns.

Deficit round robin: in each round every connection with work gets the same share once, in order of priority
number, lowest first. A new connection joins the current round; one that has used its share joins the next. So
no connection delays others by more than its share, and none starves.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Protocol

TURN_UNITS = 16  # per turn, over all connections
CONNECTION_UNITS = 4  # share of one connection per round
FREE_UNITS = 8  # after more units a further turn is scheduled; a lower value would do so for usual traffic
CHUNKED_BYTES_PER_UNIT = 1024  # of a chunked body, as chunks may be one byte long; other steps cost 1 unit


class PayloadWorker(Protocol):
    """A connection with received data that it has not processed."""

    @property
    def priority(self) -> int:
        """Return the priority of its current message; the lowest number is served first."""

    @property
    def has_work(self) -> bool:
        """Whether it can process something now."""

    def step(self) -> int:
        """Process a bounded part, and return its cost in units."""


class TurnBudget:
    """The units left in this turn, and the connections that wait for a later one."""

    def __init__(
        self,
        call_soon: Callable[[Callable[[], None]], object],
        turn_units: int = TURN_UNITS,
        connection_units: int = CONNECTION_UNITS,
    ) -> None:
        """Create a budget; `call_soon` schedules a callback for the next turn."""
        self._call_soon = call_soon
        self._turn_units, self._connection_units = turn_units, connection_units
        self._units_left = turn_units
        self._is_scheduled = False
        self._arrivals = 0
        self._round: list[tuple[int, int, PayloadWorker]] = []  # a heap: priority, arrival, worker
        self._next_round: list[tuple[int, int, PayloadWorker]] = []
        self._waiting: set[PayloadWorker] = set()
        self._served_this_round: set[PayloadWorker] = set()

    @property
    def waiting(self) -> int:
        """Return the number of connections that wait for a later turn."""
        return len(self._waiting)

    def submit(self, worker: PayloadWorker) -> None:
        """Serve a connection in this turn, or queue it for a later one."""
        if worker in self._waiting:
            return
        if self._waiting or self._units_left <= 0:
            if worker.has_work:
                self._queue(worker)
        else:
            self._serve(worker)

    def _serve(self, worker: PayloadWorker) -> None:
        """Let a connection process up to its share, within the units left in this turn."""
        share = self._connection_units
        while worker.has_work:
            if share <= 0 or self._units_left <= 0:
                self._served_this_round.add(worker)
                self._queue(worker)
                return
            units = worker.step()
            share -= units
            self._units_left -= units
        if self._units_left <= 0 or self._units_left < self._turn_units - FREE_UNITS:
            self._schedule()

    def _queue(self, worker: PayloadWorker) -> None:
        queue = self._next_round if worker in self._served_this_round else self._round
        self._arrivals += 1
        self._waiting.add(worker)
        heapq.heappush(queue, (worker.priority, self._arrivals, worker))
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled, self._units_left = False, self._turn_units
        while self._waiting and self._units_left > 0:
            if not self._round:
                self._round, self._next_round = self._next_round, []
                self._served_this_round.clear()
            _, _, worker = heapq.heappop(self._round)
            self._waiting.remove(worker)
            self._served_this_round.add(worker)
            if self._waiting:  # before the step, which may raise: the others must still be served
                self._schedule()
            self._serve(worker)
        if not self._waiting:
            self._served_this_round.clear()


def step_units(parsed_bytes: int, is_chunked: bool) -> int:
    """Return the cost in units of parsing `parsed_bytes` of a message in one step."""
    return 1 + parsed_bytes // CHUNKED_BYTES_PER_UNIT if is_chunked else 1
