"""The platform's list of model servers: paged, lagging and rate-limited."""

from __future__ import annotations

import bisect
import enum
import json
from dataclasses import dataclass, replace

from firvane.core.address import Address
from firvane.simulation.localfleet.profiles import MODEL

OK = 200
BAD_REQUEST = 400
TOO_MANY_REQUESTS = 429
TOKEN_PREFIX = "p-"
MAX_TOKEN_DIGITS = 8


class ListedState(enum.StrEnum):
    """The state of a server in the list."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One entry of the list."""

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    state: ListedState = ListedState.READY

    def document(self) -> dict[str, object]:
        """The entry as a JSON object."""
        host, port = self.address
        return {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "config_version": "v1",
            "slots": self.slots,
            "state": self.state.value,
            "cold_remaining_ms": 0,
            "stage": "both",
            "models": [{"name": MODEL, "config_version": 1, "adapters": []}],
            "id": self.id,
        }


@dataclass(frozen=True, slots=True)
class ListAnswer:
    """Status and JSON body of a response."""

    status: int
    body: bytes


Snapshot = tuple[ListedInstance, ...]


class InstanceList:
    """The list as of `lag` seconds ago; times are monotonic seconds and never decrease."""

    def __init__(self, lag: float, page_size: int, rate_per_s: float) -> None:
        self._lag, self._page_size, self._rate = lag, page_size, rate_per_s
        self._current: dict[str, ListedInstance] = {}
        self._times: list[float] = []  # when each snapshot was made
        self._snapshots: list[Snapshot] = []
        self._allowance = rate_per_s
        self._refilled = 0.0
        self.calls = 0
        self.refused = 0

    def put(self, instance: ListedInstance, now: float, *, at_once: bool = False) -> None:
        """Add or replace an instance; with `at_once` the list shows it without lag."""
        self._current[instance.id] = instance
        self._record(now - self._lag if at_once else now)

    def drain(self, instance_id: str, now: float) -> None:
        """List the instance as draining."""
        self.put(replace(self._current[instance_id], state=ListedState.DRAINING), now)

    def remove(self, instance_id: str, now: float) -> None:
        """Remove the instance from the list."""
        del self._current[instance_id]
        self._record(now)

    def answer(self, zone: str | None, page_token: str | None, now: float) -> ListAnswer:
        """Answer one call."""
        self.calls += 1
        if not self._allow(now):
            self.refused += 1
            return ListAnswer(TOO_MANY_REQUESTS, b"{}")
        offset = self._offset(page_token)
        if offset is None:
            return ListAnswer(BAD_REQUEST, b"{}")
        shown = [each for each in self._visible(now) if zone is None or each.zone == zone]
        end = offset + self._page_size
        page = {
            "instances": [each.document() for each in shown[offset:end]],
            "next_token": f"{TOKEN_PREFIX}{end}" if end < len(shown) else None,
        }
        return ListAnswer(OK, json.dumps(page).encode())

    def _record(self, at: float) -> None:
        self._times.append(at)
        self._snapshots.append(tuple(sorted(self._current.values(), key=lambda each: each.id)))

    def _visible(self, now: float) -> Snapshot:
        position = bisect.bisect_right(self._times, now - self._lag)
        return self._snapshots[position - 1] if position else ()

    def _allow(self, now: float) -> bool:
        gained = max(0.0, now - self._refilled) * self._rate
        self._allowance = min(self._rate, self._allowance + gained)
        self._refilled = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    @staticmethod
    def _offset(page_token: str | None) -> int | None:
        if page_token is None:
            return 0
        digits = page_token.removeprefix(TOKEN_PREFIX)
        return (
            int(digits) if digits.isascii() and digits.isdigit() and len(digits) <= MAX_TOKEN_DIGITS else None
        )
