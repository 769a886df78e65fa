"""Backends that fail as a plan says: localfleet's model servers, with every arrival written down."""

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

LONGEST_UNTIL_CUT = 0.6  # s after which an answer that is to be cut has been


class Faults:
    """What strikes requests now: of each mode, until when and which share."""

    def __init__(self, seed: int) -> None:
        self._dice = random.Random(f"{seed}/backends")
        self._now: list[tuple[FaultMode, float, float]] = []

    def add(self, mode: FaultMode, until: float, share: float) -> None:
        """From now on, until that time."""
        self._now.append((mode, until, share))

    def draw(self, now: float) -> FaultMode | None:
        """The fault of one request, if there is one."""
        self._now = [each for each in self._now if each[1] > now]
        for mode, _, share in self._now:
            if self._dice.random() < share:
                return mode
        return None

    def time_until_break(self) -> float:
        """Seconds until an answer is cut."""
        return self._dice.uniform(0.0, LONGEST_UNTIL_CUT)


class SoakServer(ModelServer):
    """One incarnation of a backend."""

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
        """A connection that writes down what arrives on it."""
        return SoakServerConnection(self)


class SoakServerConnection(ModelConnection):
    """Writes down each arrival and how it ended, and fails requests."""

    def __init__(self, server: SoakServer) -> None:
        super().__init__(server)
        self._soak = server
        self._arrival: Arrival | None = None

    def on_request(self, request: Message) -> None:
        """Write down the arrival; run it, or fail it as the plan says."""
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
                self._soak.loop.call_later(self._soak.faults.time_until_break(), self._cut, self._arrival)
        elif mode is FaultMode.SHED:
            self._request_id = request_id
            self.reject(503)
        else:
            mark = request_fingerprint(request, b"".join(request.body))
            self._soak.records.runs.append(Run(request_id, self._soak.instance.id, 0, mark))
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
        """Write down and answer that the request has not run."""
        self._note(RunEnd.TURNED_AWAY)
        super().reject(status)

    def on_answered(self) -> None:
        """Write down that the answer is complete."""
        self._note(RunEnd.ANSWERED)
        super().on_answered()

    def break_off(self) -> None:
        """Write down and break the connection."""
        self._note(RunEnd.BROKE_OFF)
        super().break_off()

    def on_end(self) -> None:
        """Write down that the caller has gone."""
        self._note(RunEnd.CANCELLED)
        super().on_end()

    def _note(self, end: RunEnd) -> None:
        arrival, self._arrival = self._arrival, None
        if arrival:
            arrival.end, arrival.ended = end, self._soak.loop.time()


def make_backends(layout: Layout, record: Record, faults: Faults, seed: int) -> Backends:
    """All backends and the platform's list of them; each arrival goes into the record."""
    loop, profile = asyncio.get_running_loop(), ServerProfile()

    def make_server(instance: ListedInstance, records: ServerRecords, server_seed: int) -> ModelServer:
        return SoakServer(loop, instance, records, record, faults, server_seed)

    return Backends(loop, layout, profile, PlatformTerms(), seed, make_server)
