"""A router's end by SIGTERM: until when requests are taken, by when all answers are out, and what still came.

The platform asks for readiness once a second, and sends no new connections after two misses, so that
requests still come for some two seconds. Later ones come only where the platform has nobody else, or on
connections that are kept. A request that is taken late may be cut at the end while a backend is at work on
it; then it is lost, for nobody may send it again. So late requests are refused: they have surely not run.

All times are loop times in seconds; before `begin` nothing is bounded.
"""

from __future__ import annotations

from msgspec import Struct

TAKEN_FOR = 2.8  # s from SIGTERM on in which requests are taken
TAKEN_PART = 0.5  # of the time until the end, where that is less
LATE_PAUSE = 0.05  # s that a refused client is asked to wait: others take its request at once


class DrainFigures(Struct):
    """What has come since SIGTERM, for the log."""

    accepted: int = 0  # new connections
    taken: int = 0  # requests that were read whole
    taken_on_new: int = 0  # of these, on connections that were accepted since
    last_on_new: float = 0.0  # s from SIGTERM to the newest request on such a connection
    last_on_kept: float = 0.0  # and on one from before
    late: int = 0  # requests that were refused because they came late
    cut: int = 0  # answers that ended short


class Drain:
    """The bounds of one router's end, and its figures."""

    def __init__(self) -> None:
        self.has_begun = False  # each answer is its connection's last, unless a request stands behind it
        self.began = float("inf")
        self.take_until = float("inf")
        self.end_by = float("inf")  # no request may be open then
        self.figures = DrainFigures()

    def begin(self, began: float, end_by: float) -> None:
        """SIGTERM came at `began`."""
        self.has_begun = True
        self.began, self.end_by = began, end_by
        self.take_until = began + min(TAKEN_FOR, TAKEN_PART * (end_by - began))

    def takes_requests(self, now: float) -> bool:
        """Whether a request that is here whole now is passed on."""
        return now < self.take_until

    def since(self, moment: float) -> float:
        """Seconds from SIGTERM to a moment, for the log."""
        return round(moment - self.began, 3)

    def note_connection(self) -> None:
        """A connection was accepted."""
        self.figures.accepted += self.has_begun

    def note_request(self, connected_at: float, now: float) -> None:
        """A request is here whole, on a connection of that time."""
        if not self.has_begun:
            return
        self.figures.taken += 1
        self.figures.late += not self.takes_requests(now)
        if connected_at >= self.began:
            self.figures.taken_on_new += 1
            self.figures.last_on_new = self.since(now)
        else:
            self.figures.last_on_kept = self.since(now)
