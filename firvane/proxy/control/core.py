"""What a control service knows and tells, without a socket: on any clock, with any streams.

Rules that hold here and nowhere else:

1. Discovery's word goes to the module first; what receivers are told is read out of the module.
2. What takes a box away is settled on in the very call that tells of it.
3. Without a list nothing is told; without a box the last state stands.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from firvane.core import interface as api
from firvane.core.address import Address
from firvane.core.engine import Engine
from firvane.core.engine_protocols import Clock, Exchange, Handle, PeerChannel, ServerDiscovery
from firvane.core.logs import QUIET, Log
from firvane.proxy.balancer import Balancer
from firvane.proxy.config.model import Control as Words
from firvane.proxy.control import estimates
from firvane.proxy.control.catalog import Catalog
from firvane.proxy.control.debounce import Pace
from firvane.proxy.control.load_feedback import Feedback, split
from firvane.proxy.control.panic_threshold import Panic
from firvane.proxy.control.receivers import Ledger
from firvane.proxy.control.types import Box, Health, Report, State
from firvane.proxy.control.weights import SUM

# Places of boxes told to receivers a second, where nothing is urgent; s between such times at the most.
PLACES, MOST_QUIET = 400_000.0, 5.0
LOOK, PER_BOX = 0.25, 0.0005  # s from one look at the beliefs to the next: at the least, and for each box


class NoTargets:
    """The service forwards nothing itself."""

    def forward(self, request: Any, target: str, exchange: Exchange[Any]) -> Handle:
        raise AssertionError("the control service has no flows")

    def probe(self, target: str, exchange: Exchange[Any]) -> Handle:
        raise AssertionError("the control service does not probe")

    def close_idle(self, target: str) -> None: ...


class Audience(Protocol):
    """Who is told."""

    def published(self, zones: list[int]) -> None:
        """There are new states for the receivers in these zones."""


class Core:
    """It is a proxy of its tier without flows, or several: what receivers do counts as its own."""

    def __init__(
        self,
        settings: Sequence[api.Settings],
        words: Words,
        seed: int,
        zones: tuple[str, ...],
        clock: Clock,
        posts: Sequence[PeerChannel],
        directory: ServerDiscovery,
        audience: Audience,
        wall: Callable[[], float],
        log: Log = QUIET,
    ) -> None:
        """One of `settings` and `posts` for each place in the tier. `wall` tells Unix time in seconds."""
        self.words, self.zones, self.clock, self.audience = words, zones, clock, audience
        self.wall, self.log = wall, log
        self.number = 0  # of the list
        self.addresses: dict[str, Address] = {}
        self.names: dict[Address, str] = {}  # the other way round: reports name boxes by address
        self.balancers = [Balancer(own, seed + place, wall()) for place, own in enumerate(settings)]
        self.engines: list[Engine[Any, Any]] = [
            Engine(own, balancer, clock, NoTargets(), post, directory, wall, log)
            for own, balancer, post in zip(settings, self.balancers, posts, strict=True)
        ]
        self.engine = self.engines[0]
        self.feedbacks = [Feedback(balancer) for balancer in self.balancers]
        self.looks = 0
        self.ledger = Ledger(words.report_s, words.keep_s, words.assumed_rps, words.most_rps)
        self.pace = Pace(words.settle_ms / 1e3, words.most_ms / 1e3)
        self.panic = Panic(words.panic, words.confirm_s)
        self.catalog = Catalog(words.service, zones, settings[0])
        self.published_at: dict[int, float] = {}  # on the clock, by group
        self._kept: dict[str, Box] = {}  # as last told, for those that a doubtful list leaves out
        self._up: set[str] = set()
        self._timer: Any = None

    def start(self) -> None:
        for engine in self.engines:
            engine.start()
        self.look()

    def retune(self, settings: Sequence[api.Settings], words: Words) -> None:
        """Other settings from now on; the service's name, its keys and its intervals are those of before."""
        self.words = words
        for engine, own in zip(self.engines, settings, strict=True):
            engine.retune(own)
        self.catalog.retune(settings[0])
        self.pace = Pace(words.settle_ms / 1e3, words.most_ms / 1e3)
        self.panic.part, self.panic.confirm = words.panic, words.confirm_s
        self.pace.changed(self.clock.time(), urgent=True)
        self.publish()

    # The list

    def target(self, name: str, address: Address | None, up: bool) -> None:
        """Where a box is; None: it is gone."""
        old = self.addresses.pop(name, None)
        if old is not None and self.names.get(old) == name:
            del self.names[old]
        if address is not None:
            self.addresses[name], self.names[address] = address, name

    def listed(self, news: api.ServerList) -> None:
        now, before = self.clock.time(), set(self._up)
        named = {server.id for server in news.servers if server.state is not api.ServerState.UP}
        self.number = news.version
        for engine in self.engines:
            engine.update_server_list(news)
        self._up = {server.entry.id for server in self.balancers[0].up}
        left_out = before - {server.id for server in news.servers}
        self.panic.named(named)
        if news.kind is api.ListKind.COMPLETE and self.panic.listed(before, self._up, left_out, now):
            self.log.error(
                "list_doubted",
                text="a whole list leaves out most boxes: receivers keep what they have until it stands",
                was=len(before), now=len(self._up), for_s=self.words.confirm_s,
            )  # fmt: skip
            self._look_at(self.panic.until)
        self.pace.changed(now, urgent=bool(before - self._up) or not self.catalog.has_list)
        self.publish()

    # What is told

    def state(self, zone: int) -> State | None:
        """What those in a zone are told now; None while there is no list."""
        return self.catalog.state(zone)

    def settled_at(self, zone: int) -> float:
        """When that was settled on, on the clock."""
        return self.published_at.get(zone, 0.0)

    def _boxes(self) -> list[Box]:
        """As the module has them, and those that a doubtful list leaves out as they were."""
        places = [
            estimates.read(feedback.balancer, self.addresses, feedback.took, engine.now())
            for engine, feedback in zip(self.engines, self.feedbacks, strict=True)
        ]
        boxes = {box.name: box for box in estimates.joined(places)}
        for name in self.panic.held(self.clock.time()):
            if name not in boxes and name in self._kept:
                boxes[name] = self._kept[name]
        self._kept = boxes
        return [boxes[name] for name in sorted(boxes)]

    def publish(self) -> None:
        """Tell what is due; look again when the rest is."""
        now = self.clock.time()
        if not self.pace.take(now):
            self._look_at(self.pace.due)
            return
        boxes = self._boxes()
        if not boxes and self.catalog.has_list:
            self.log.error("list_empty", text="no box may be sent to: receivers keep what they have")
        demand, largest = self.ledger.demand(), self.ledger.largest()
        zones = self.catalog.make(boxes, demand, largest, self.number, self.wall())
        if not zones:
            return
        self.published_at.update(dict.fromkeys(zones, now))
        self.audience.published(zones)
        causes = self.catalog.causes
        self.log.info(
            "told", serial=self.catalog.serial, list=self.number, groups=len(zones), boxes=len(boxes),
            receivers=len(self.ledger.receivers), urgent=self.catalog.urgent, causes=len(causes),
            why="; ".join(causes[:5]),
        )  # fmt: skip

    def _look_at(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due < float("inf"):
            self._timer = self.clock.call_at(due, self._due)

    def _due(self) -> None:
        self._timer = None
        self.publish()

    def look(self) -> None:
        """Reports into the module, and what it believes now; again and again."""
        now = self.clock.time()
        for name in self.ledger.sweep(self.engine.known_targets, now):
            self.log.info("receiver_gone", receiver=name, text="its part of the demand is free")
        if sums := self.ledger.take(now):
            self.looks += 1
            parts = split(sums, len(self.engines), self.looks)
            for engine, part in zip(self.engines, parts, strict=True):
                engine.dispatch(part)  # an event that this service adds
        if self.catalog.has_list or self._up:
            work = len(self.ledger.receivers) * len(self.addresses)
            self.pace.least = min(MOST_QUIET, work / PLACES)
            self.pace.changed(now)
            self.publish()
        self.clock.call_at(now + max(LOOK, PER_BOX * len(self.addresses)), self.look)

    # What receivers say

    def reported(self, name: str, told: Mapping[str, Report], span: float, dropped: int) -> None:
        """A receiver's report, of so many seconds; requests that it dropped as it was told to."""
        span = span or self.words.report_s
        self.ledger.report(name, told, self.engine.known_targets, span, self.clock.time(), dropped)

    def zone_name(self, number: int) -> str:
        return self.zones[number] if 0 <= number < len(self.zones) else ""

    def parts(self, zone: int) -> dict[tuple[str, str], float]:
        """The part of each place in its zone's requests, by zone and box, as a group was told last."""
        return {
            (self.zone_name(locality.zone), place.box): place.weight / SUM
            for locality in self.catalog.told(zone)
            for place in locality.places
            if place.health is Health.HEALTHY
        }
