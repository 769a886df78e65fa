"""All parts of one control service, wired: the list, the module, what is told, and the streams."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from statistics import quantiles
from typing import Any

import grpc
import msgspec

from firvane import interface as api
from firvane import logs
from firvane.address import Address
from firvane.config.model import Control as Words
from firvane.config.node import Config
from firvane.control import beliefs, wire
from firvane.control.ads import LONGEST, Ads
from firvane.control.catalog import Catalog, differences
from firvane.control.feedback import Feedback, Reported
from firvane.control.keys import Keys
from firvane.control.ledger import Ledger
from firvane.control.pace import Pace
from firvane.control.panic import Panic
from firvane.control.weights import SUM
from firvane.control.words import Box, Health, State
from firvane.engine import Engine, Exchange, Handle
from firvane.limits.pauses import Pauses
from firvane.net.http import Message
from firvane.net.peers import Peers
from firvane.net.targets import ListReader, TargetGroup

LOOK, PER_BOX = 0.25, 0.0005  # s from one look at the beliefs to the next: at the least, and for each box
REPORT = 5.0  # s from one line of figures in the log to the next
GRACE = 1.0  # s for streams to end at a stop


class NoTargets:
    """The service forwards nothing itself."""

    def forward(self, request: Message, target: str, exchange: Exchange[Message]) -> Handle:
        raise AssertionError("the control service has no flows")

    def probe(self, target: str, exchange: Exchange[Message]) -> Handle:
        raise AssertionError("the control service does not probe")

    def close_idle(self, target: str) -> None: ...


class Control:
    """One control service. It is a proxy of its tier without flows: what receivers do counts as its own."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        words: Words,
        *,
        wall: Callable[[], float] = time.time,
        log: logs.Log | None = None,
    ) -> None:
        log = log or logs.make(config.log_level, config.log_format, wall=wall)
        self.log: logs.Log = log.bind(control=words.service)
        self.loop, self.config, self.words, self.wall = loop, config, words, wall
        self.name = words.service
        self.addresses: dict[str, Address] = {}
        self.kept: dict[str, Box] = {}  # as last told, for those that a doubtful list leaves out
        reader = ListReader(config.zones, config.kinds)
        pauses = Pauses(0, random.Random(config.seed))
        self.group = TargetGroup(
            loop, config.discovery, reader, self._target, self._listed, self.log, pauses
        )
        self.peers = Peers(config.settings.me, config.peers, config.peers_all, self._peer, loop.time)
        self.engine: Engine[Message, Message] = Engine(
            config.settings, config.seed, loop, NoTargets(), self.peers, self.group, wall, self.log
        )
        self.feedback = Feedback(self.engine.balancer)
        self.ledger = Ledger(words.report_s, words.keep_s, words.assumed_rps, words.most_rps)
        self.pace = Pace(words.settle_ms / 1e3, words.most_ms / 1e3)
        self.panic = Panic(words.panic, words.confirm_s)
        self.catalog = Catalog(words.service, config.zones, config.settings)
        self.ads = Ads(loop, self, words.report_s, self.log)
        self.keys = Keys(words.tls, self.log) if words.tls else None
        self.server: Any = None
        self.port = 0
        self._published: dict[int, float] = {}
        self._up: set[str] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._cause = ""

    # What the streams need

    def zone_of(self, name: str) -> int:
        return self.catalog.zone_of(name)

    def state(self, zone: int) -> State | None:
        return self.catalog.state(zone)

    def published_at(self, zone: int) -> float:
        return self._published.get(zone, self._published.get(-1, 0.0))

    def come(self, name: str, zone: int) -> bool:
        return self.ledger.come(name, zone, self.loop.time())

    def go(self, name: str) -> None:
        self.ledger.go(name, self.loop.time())

    def may(self, names: frozenset[str]) -> bool:
        allowed = self.words.tls.allow if self.words.tls else ()
        return not allowed or bool(names & set(allowed))

    def reported(self, node: wire.Node, request: Any) -> None:
        boxes = {address: name for name, address in self.addresses.items()}
        zone = self.zone_of(node.zone)
        weights = {
            (self._zone_name(locality.zone), place.box): place.weight / SUM
            for locality in self.catalog.told(zone)
            for place in locality.places
            if place.health is Health.HEALTHY
        }
        told, span = wire.read_reports(request, self.name, boxes, weights)
        self.ledger.report(
            node.id, told, self.engine.known, span or self.words.report_s, self.loop.time()
        )

    def _zone_name(self, number: int) -> str:
        zones = self.config.zones
        return zones[number] if 0 <= number < len(zones) else ""

    # The list

    def _target(self, name: str, address: Address | None, up: bool) -> None:
        if address is None:
            self.addresses.pop(name, None)
        else:
            self.addresses[name] = address

    def _listed(self, news: api.ServerList) -> None:
        now, before = self.loop.time(), set(self._up)
        named = {server.id for server in news.servers if server.state is not api.ServerState.UP}
        self.engine.listed(news)
        self._up = {server.entry.id for server in self.engine.balancer.up}
        left_out = before - {server.id for server in news.servers}
        self.panic.named(named)
        if news.kind is api.ListKind.COMPLETE and self.panic.listed(before, self._up, left_out, now):
            self.log.error(
                "list_doubted",
                text="a whole list leaves out most boxes: receivers keep what they have until it stands",
                was=len(before), now=len(self._up), for_s=self.words.confirm_s,
            )  # fmt: skip
            self._look_at(self.panic.until)
        self.pace.changed(now, urgent=bool(before - self._up) or not self.catalog.states)
        self._publish()

    def _peer(self, sender: int, payload: bytes) -> None:
        self.engine.give(api.PeerMessage(sender, payload))

    # What is told

    def _boxes(self, now: float) -> list[Box]:
        """As the module has them, and those that a doubtful list leaves out as they were."""
        boxes = {box.name: box for box in beliefs.read(self.engine.balancer, self.addresses, now)}
        for name in self.panic.held(self.loop.time()):
            if name not in boxes and name in self.kept:
                boxes[name] = self.kept[name]
        self.kept = boxes
        return [boxes[name] for name in sorted(boxes)]

    def _publish(self) -> None:
        """Tell what is due; look again when the rest is."""
        now = self.loop.time()
        if not self.pace.take(now):
            self._look_at(self.pace.due)
            return
        boxes = self._boxes(self.engine.now())
        if not boxes and self.catalog.states:
            self.log.error("list_empty", text="no box may be sent to: receivers keep what they have")
        first = not self.catalog.states
        zones = self.catalog.make(
            boxes, self.ledger.demand(), self.ledger.largest(), self.group.index, self.wall()
        )
        if not zones:
            return
        for zone in zones:
            self._published[zone] = now
        state = self.catalog.states[zones[0]]
        self.ads.published(list(self.catalog.states) if first else zones)
        causes = state.causes
        self.log.info(
            "told", serial=self.catalog.serial, list=state.number, groups=len(zones), boxes=len(boxes),
            receivers=len(self.ads.sessions), urgent=state.urgent, causes=len(causes),
            why="; ".join(causes[:5]),
        )  # fmt: skip
        if first:
            self.ads.published_first()

    def _look_at(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due < float("inf"):
            self._timer = self.loop.call_at(due, self._due)

    def _due(self) -> None:
        self._timer = None
        self._publish()

    def _look(self) -> None:
        """Reports into the module, and what it believes now."""
        now = self.loop.time()
        for name in self.ledger.sweep(self.engine.known, now):
            self.log.info("receiver_gone", receiver=name, text="its part of the demand is free")
        sums = self.ledger.take(now)
        if sums:
            self.engine.give(Reported(sums))  # type: ignore[arg-type]  # an event that this service adds
        self.ads.sweep()
        if self.catalog.states or self.engine.balancer.up:
            self.pace.changed(now)
            self._publish()
        self.loop.call_later(max(LOOK, PER_BOX * len(self.addresses)), self._look)

    def _report(self) -> None:
        ages = sorted(self.ads.ages)
        self.ads.ages.clear()
        cuts = quantiles(ages, n=100, method="inclusive") if len(ages) > 1 else [0.0] * 99
        pump = self.ads.pump
        self.log.info(
            "figures",
            receivers=len(self.ledger.receivers), streams=len(self.ads.sessions),
            demand_rps=round(sum(self.ledger.demand().values()), 1), boxes=len(self.addresses),
            written=pump.written, written_mb=round(pump.bytes / 1e6, 2), acks=self.ads.acks,
            refusals=self.ads.refusals,
            ack_p50_ms=round(1e3 * cuts[49], 1), ack_p99_ms=round(1e3 * cuts[98], 1),
            cut=self.ledger.cut, doubted_lists=self.panic.trips, serial=self.catalog.serial,
        )  # fmt: skip
        self.loop.call_later(REPORT, self._report)

    # Its life

    async def start(self) -> None:
        """Everything up to answering receivers; they are told nothing before there is a list."""
        config = self.config
        if config.peer_listen:
            await self.loop.create_datagram_endpoint(lambda: self.peers, local_addr=config.peer_listen)
        self.engine.start()
        if config.known:
            self.group.learn(config.known)
        self.group.start()
        self.ads.start()
        self.server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", LONGEST),
                ("grpc.so_reuseport", 0),
                ("grpc.keepalive_time_ms", 10_000),
                ("grpc.keepalive_timeout_ms", 5_000),
                ("grpc.http2.min_ping_interval_without_data_ms", 5_000),
                ("grpc.keepalive_permit_without_calls", 1),
            ]
        )
        self.server.add_generic_rpc_handlers((self.ads.handlers(),))
        at = "{}:{}".format(*config.listen)
        try:
            if self.keys:
                self.port = self.server.add_secure_port(at, self.keys.credentials())
            else:
                self.port = self.server.add_insecure_port(at)
        except RuntimeError as error:
            raise OSError(f"cannot listen at {at}: {error}") from None
        await self.server.start()
        self._look()
        self.loop.call_later(REPORT, self._report)
        where = f"{config.listen[0]}:{self.port}"
        self.log.info("ready", listen=where, tls=self.keys is not None, targets=len(self.group.servers))

    def reload(self, read: Callable[[], tuple[Config, Words]]) -> None:
        """Settings, the static list or discovery's address anew; a file of no use changes nothing."""
        try:
            config, words = read()
        except (ValueError, OSError) as error:
            for line in str(error).splitlines():
                self.log.error("config_useless", why=line)
            return
        fixed = ("listen", "peers", "zones", "kinds")
        waiting = [name for name in fixed if getattr(config, name) != getattr(self.config, name)]
        if words.service != self.words.service or (words.tls is None) is not (self.words.tls is None):
            waiting.append("control")
        if waiting:
            self.log.warning("config_waits", text="the next start is needed for " + ", ".join(waiting))
        self.engine.retune(config.settings)
        self.catalog.retune(config.settings)
        old = self.words
        self.words = msgspec.structs.replace(words, service=old.service, tls=words.tls or old.tls)
        self.pace = Pace(words.settle_ms / 1e3, words.most_ms / 1e3)
        self.panic.part, self.panic.confirm = words.panic, words.confirm_s
        if config.discovery and self.config.discovery:
            self.group.move(config.discovery)
        elif config.known and not self.config.discovery:
            self.group.learn(config.known)
        self.log.info("config_reread", targets=len(self.group.servers))
        self.pace.changed(self.loop.time(), urgent=True)
        self._publish()

    async def stop(self) -> None:
        """Streams end with a word; receivers go on by what they have, and ask elsewhere."""
        self.group.stop()
        self.peers.close()
        self.ads.stop()
        if self.server is not None:
            await self.server.stop(GRACE)

    # What operators ask

    def show(self, asked: bytes) -> bytes:
        """`{"what": "status"}`, or `{"what": "diff", "node": ..., "before": ..., "after": ...}`."""
        try:
            question = msgspec.json.decode(asked, type=dict[str, str])
            found = self._status() if question.get("what") == "status" else self._diff(question)
        except (msgspec.MsgspecError, LookupError) as error:
            found = {"error": str(error.args[0]) if error.args else "cannot be read"}
        return msgspec.json.encode(found)

    def _status(self) -> dict[str, Any]:
        now = self.loop.time()
        receivers = []
        for session in sorted(self.ads.sessions, key=lambda one: one.node.id if one.node else ""):
            if session.node is None:
                continue
            state = self.state(session.zone)
            stream = session.stream
            one = self.ledger.receivers.get(session.node.id)
            refused = {name: watch.why for watch in stream.watches.values() for name in watch.refused}
            receivers.append(
                {
                    "id": session.node.id, "zone": session.node.zone, "agent": session.node.agent,
                    "peer": session.peer, "protocol": "delta" if stream.delta else "state of the world",
                    "current": state is not None and stream.converged(state),
                    "told": stream.pushed, "refused": refused, "ack_ms": round(1e3 * session.age, 1),
                    "heard_s": round(now - session.acked_at, 1) if session.acked_at else None,
                    "rps": round(one.rate, 1) if one else 0.0, "reports": one.reports if one else 0,
                }
            )  # fmt: skip
        groups = []
        for zone, entries in sorted(self.catalog.history.items()):
            last = entries[-1]
            groups.append(
                {
                    "zone": self._zone_name(zone), "serial": last.serial,
                    "version": f"{last.number}.{last.version}", "at": last.at,
                    "boxes": len(last.assignment.boxes()), "dropped": last.assignment.dropped / 1e4,
                    "why": list(last.causes[:10]), "serials": [entry.serial for entry in entries],
                }
            )  # fmt: skip
        silent = sorted(name for name, one in self.ledger.receivers.items() if not one.streams)
        return {
            "service": self.name,
            "list": self.group.index,
            "groups": groups,
            "receivers": receivers,
            "left": silent,
        }

    def _diff(self, question: dict[str, str]) -> dict[str, Any]:
        zone = -1
        if node := question.get("node"):
            session = next((one for one in self.ads.sessions if one.node and one.node.id == node), None)
            receiver = self.ledger.receivers.get(node)
            if session is None and receiver is None:
                raise LookupError(f"no receiver {node!r} follows")
            zone = session.zone if session else receiver.zone if receiver else -1
        found = []
        for end in ("before", "after"):
            entry = self.catalog.entry(zone, question.get(end, ""))
            if entry is None:
                raise LookupError(f"{question.get(end, '')!r} is no state of that group that is kept")
            found.append(entry)
        before, after = found
        passed = [one for one in self.catalog.history[zone] if before.serial < one.serial <= after.serial]
        return {
            "before": before.serial,
            "after": after.serial,
            "differences": differences(before.assignment, after.assignment, self.config.zones),
            "causes": [{"serial": one.serial, "at": one.at, "why": list(one.causes)} for one in passed],
        }
