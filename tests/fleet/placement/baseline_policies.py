"""Simple load balancing policies with the balancer's interface, as baselines for comparison."""

from __future__ import annotations

import random
from zlib import crc32

from firvane.core import interface as api
from firvane.core.balancing.records import mix
from firvane.fleet.discovery.instances import InstanceState
from firvane.fleet.placement.events import InstancesChanged, PlacementEvent, PromptRequest


class BaselinePolicy:
    """Sends each request to the server that `choose` returns, and retries once if that is allowed."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.random = random.Random(seed)
        self.ready: list[str] = []
        self.in_flight: dict[str, int] = {}
        self.requests: dict[int, tuple[PromptRequest, list[str]]] = {}
        self.actions: list[api.Action] = []

    def start(self, now: float) -> list[api.Action]:
        return []

    def retune(self, settings: api.Settings) -> None: ...

    def handle(self, event: api.Event | PlacementEvent, now: float) -> list[api.Action]:
        if isinstance(event, InstancesChanged):
            self.ready = [each.id for each in event.instances if each.state is InstanceState.READY]
            return []
        if isinstance(event, PromptRequest):
            self.requests[event.id] = (event, [])
            return self._send(event.id)
        if isinstance(event, api.Outcome):
            self.in_flight[event.server] = self.in_flight.get(event.server, 1) - 1
            return self._end_attempt(event)
        if isinstance(event, api.ClientGone) and event.id in self.requests:
            _, attempted = self.requests.pop(event.id)
            return [api.Cancel(event.id, len(attempted) - 1)]
        return []

    def _end_attempt(self, event: api.Outcome) -> list[api.Action]:
        if event.finished:
            self.requests.pop(event.id, None)
        elif entry := self.requests.get(event.id):
            request, attempted = entry
            if (event.result.never_ran or request.retryable) and len(attempted) < max(
                2, request.max_attempts
            ):
                return self._send(event.id)
            del self.requests[event.id]
            return [api.Reject(event.id, 0.1) if event.result.never_ran else api.Fail(event.id)]
        return []

    def _send(self, number: int) -> list[api.Action]:
        request, attempted = self.requests[number]
        candidates = [name for name in self.ready if name not in attempted] or self.ready
        if not candidates:
            del self.requests[number]
            return [api.Reject(number, 0.3)]
        name = self.choose(request, candidates)
        attempted.append(name)
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        return [api.Send(number, name)]

    def choose(self, request: PromptRequest, candidates: list[str]) -> str:
        raise NotImplementedError


class RandomChoice(BaselinePolicy):
    """Chooses a random server."""

    def choose(self, request: PromptRequest, candidates: list[str]) -> str:
        return self.random.choice(candidates)


class LeastInFlight(BaselinePolicy):
    """Chooses the server with the fewest open attempts of this router."""

    def choose(self, request: PromptRequest, candidates: list[str]) -> str:
        return min(candidates, key=lambda name: (self.in_flight.get(name, 0), self.random.random()))


class OwnBlockHash(BaselinePolicy):
    """Chooses a server by the hash of the prompt's last (unshared) block."""

    def choose(self, request: PromptRequest, candidates: list[str]) -> str:
        key = request.chain[-1][0] if request.chain else self.random.getrandbits(32)
        return max(candidates, key=lambda name: mix(crc32(name.encode()), key))


class SharedBlockHash(BaselinePolicy):
    """Chooses a server by the hash of the prompt's shared blocks, regardless of load."""

    def choose(self, request: PromptRequest, candidates: list[str]) -> str:
        chain = request.chain
        key = chain[-2][0] if len(chain) > 1 else self.random.getrandbits(32)
        return max(candidates, key=lambda name: mix(crc32(name.encode()), key))
