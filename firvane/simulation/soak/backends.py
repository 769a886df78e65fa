"""Backends with the faults of a plan: localfleet's model servers, recording every arrival."""

from __future__ import annotations

import asyncio
import random

from firvane.core.net.http_message import Message
from firvane.simulation.localfleet.backends import Backends
from firvane.simulation.localfleet.instance_list import ListedInstance
from firvane.simulation.localfleet.layout import Layout
from firvane.simulation.localfleet.model_connection import ModelConnection
from firvane.simulation.localfleet.model_server import ModelServer, request_fingerprint
from firvane.simulation.localfleet.profiles import ServerProfile
from firvane.simulation.localfleet.run_ledger import Run, ServerRecords
from firvane.simulation.localfleet.settings_files import PlatformTerms
from firvane.simulation.soak.plan import FaultMode
from firvane.simulation.soak.records import Arrival, Record, RunEnd

MAX_CUT_DELAY = 0.6  # s until a response selected for `FaultMode.CUT` is cut


class Faults:
    """The active faults: mode, end time and share of affected requests."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"{seed}/backends")
        self._active: list[tuple[FaultMode, float, float]] = []

    def add(self, mode: FaultMode, until: float, share: float) -> None:
        """Activate a fault until a time on the loop's clock."""
        self._active.append((mode, until, share))

    def draw(self, now: float) -> FaultMode | None:
        """Draw the fault of one request; None for no fault."""
        self._active = [each for each in self._active if each[1] > now]
        for mode, _, share in self._active:
            if self._rng.random() < share:
                return mode
        return None

    def draw_cut_delay(self) -> float:
        """Draw the seconds until a response is cut."""
        return self._rng.uniform(0.0, MAX_CUT_DELAY)


class SoakServer(ModelServer):
    """One incarnation of a backend; it records arrivals and injects faults."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        instance: ListedInstance,
        records: ServerRecords,
        record: Record,
        faults: Faults,
        seed: int,
    ) -> None:
        super().__init__(loop, instance, ServerProfile(), records, seed)
        self.soak_record, self.faults = record, faults

    def make_connection(self) -> ModelConnection:
        """Make a connection that records the requests arriving on it."""
        return SoakServerConnection(self)


class SoakServerConnection(ModelConnection):
    """Records each arrival and its outcome, and injects faults."""

    def __init__(self, server: SoakServer) -> None:
        super().__init__(server)
        self._soak = server
        self._arrival: Arrival | None = None

    def on_request(self, request: Message) -> None:
        """Record the arrival; run the request, or fail it with an active fault."""
        request_id = request.fields.get(b"x-request-id", b"")
        if not request_id:
            super().on_request(request)
            return
        now = self._soak.loop.time()
        self._arrival = Arrival(request_id.decode("latin-1"), self._soak.instance.id, now)
        self._soak.soak_record.arrivals.append(self._arrival)
        mode = self._soak.faults.draw(now)
        if mode in (None, FaultMode.CUT):
            super().on_request(request)
            if mode is FaultMode.CUT:
                self._soak.loop.call_later(self._soak.faults.draw_cut_delay(), self._cut, self._arrival)
        elif mode is FaultMode.SHED:
            self._request_id = request_id
            self.reject(503)
        else:
            run_fingerprint = request_fingerprint(request, b"".join(request.body))
            self._soak.records.runs.append(Run(request_id, self._soak.instance.id, 0, run_fingerprint))
            self._fail(mode, request_id)

    def _fail(self, mode: FaultMode, request_id: bytes) -> None:
        if mode is FaultMode.ERROR:
            self.respond(500, [(b"X-Request-Id", request_id)])
        elif mode is FaultMode.RESET:
            self.break_off()

    def _cut(self, arrival: Arrival) -> None:
        if self._arrival is arrival and self.busy and not self.closing:
            self.break_off()

    def reject(self, status: int) -> None:
        """Record the rejection, and respond that the request has not run."""
        self._record_outcome(RunEnd.TURNED_AWAY)
        super().reject(status)

    def on_answered(self) -> None:
        """Record that the response is complete."""
        self._record_outcome(RunEnd.ANSWERED)
        super().on_answered()

    def break_off(self) -> None:
        """Record that the backend breaks the connection, and break it."""
        self._record_outcome(RunEnd.BROKE_OFF)
        super().break_off()

    def on_end(self) -> None:
        """Record that the caller closed the connection."""
        self._record_outcome(RunEnd.CANCELLED)
        super().on_end()

    def _record_outcome(self, end: RunEnd) -> None:
        arrival, self._arrival = self._arrival, None
        if arrival:
            arrival.end, arrival.ended = end, self._soak.loop.time()


def make_backends(layout: Layout, record: Record, faults: Faults, seed: int) -> Backends:
    """Make all backends and the platform's list of them; each arrival is added to the record."""
    loop, profile = asyncio.get_running_loop(), ServerProfile()

    def make_server(instance: ListedInstance, records: ServerRecords, server_seed: int) -> ModelServer:
        return SoakServer(loop, instance, records, record, faults, server_seed)

    return Backends(loop, layout, profile, PlatformTerms(), seed, make_server)
