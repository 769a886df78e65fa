"""Simple ways to place prompts, with the face of the balancer: what the decisions are measured against."""

from __future__ import annotations

import random
from zlib import crc32

from firvane.core import interface as api
from firvane.core.balancing.records import mix
from firvane.fleet.discovery.instances import InstanceState
from firvane.fleet.placement.events import InstancesChanged, PlacementEvent, PromptRequest


class Baseline:
    """Sends to one server of its choice, and repeats once elsewhere what may be repeated."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.random = random.Random(seed)
        self.ready: list[str] = []
        self.out: dict[str, int] = {}
        self.jobs: dict[int, tuple[PromptRequest, list[str]]] = {}
        self.actions: list[api.Action] = []

    def start(self, now: float) -> list[api.Action]:
        return []

    def apply_settings(self, settings: api.Settings) -> None: ...

    def handle(self, event: api.Event | PlacementEvent, now: float) -> list[api.Action]:
        if isinstance(event, InstancesChanged):
            self.ready = [one.id for one in event.instances if one.state is InstanceState.READY]
            return []
        if isinstance(event, PromptRequest):
            self.jobs[event.id] = (event, [])
            return self._send(event.id)
        if isinstance(event, api.Outcome):
            self.out[event.server] = self.out.get(event.server, 1) - 1
            return self._ended(event)
        if isinstance(event, api.ClientGone) and event.id in self.jobs:
            _, tried = self.jobs.pop(event.id)
            return [api.Cancel(event.id, len(tried) - 1)]
        return []

    def _ended(self, event: api.Outcome) -> list[api.Action]:
        if event.finished:
            self.jobs.pop(event.id, None)
        elif job := self.jobs.get(event.id):
            request, tried = job
            if (event.result.never_ran or request.retryable) and len(tried) < max(2, request.max_attempts):
                return self._send(event.id)
            del self.jobs[event.id]
            return [api.Reject(event.id, 0.1) if event.result.never_ran else api.Fail(event.id)]
        return []

    def _send(self, number: int) -> list[api.Action]:
        request, tried = self.jobs[number]
        able = [name for name in self.ready if name not in tried] or self.ready
        if not able:
            del self.jobs[number]
            return [api.Reject(number, 0.3)]
        name = self.pick(request, able)
        tried.append(name)
        self.out[name] = self.out.get(name, 0) + 1
        return [api.Send(number, name)]

    def pick(self, request: PromptRequest, able: list[str]) -> str:
        raise NotImplementedError


class RandomChoice(Baseline):
    """A server at random."""

    def pick(self, request: PromptRequest, able: list[str]) -> str:
        return self.random.choice(able)


class LeastInFlight(Baseline):
    """The server with the fewest own attempts out."""

    def pick(self, request: PromptRequest, able: list[str]) -> str:
        return min(able, key=lambda name: (self.out.get(name, 0), self.random.random()))


class LastPartHash(Baseline):
    """The server that the last part hashes to."""

    def pick(self, request: PromptRequest, able: list[str]) -> str:
        key = request.chain[-1][0] if request.chain else self.random.getrandbits(32)
        return max(able, key=lambda name: mix(crc32(name.encode()), key))


class SharedPartHash(Baseline):
    """The server that the first parts hash to, whatever its load."""

    def pick(self, request: PromptRequest, able: list[str]) -> str:
        chain = request.chain
        key = chain[-2][0] if len(chain) > 1 else self.random.getrandbits(32)
        return max(able, key=lambda name: mix(crc32(name.encode()), key))
