"""All parts of one control service, wired: the list, the module, what is told, and the streams."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from statistics import quantiles
from typing import Any

import grpc
import msgspec

from firvane.core import interface as api
from firvane.core import logs
from firvane.proxy.config.model import Control as Words
from firvane.proxy.config.node import Config
from firvane.proxy.control import stream_codec
from firvane.proxy.control.ads import LONGEST, Ads
from firvane.proxy.control.catalog import differences
from firvane.proxy.control.certificates import Keys
from firvane.proxy.control.core import Core
from firvane.proxy.control.types import State
from firvane.proxy.limits.discovery_timing import Pauses
from firvane.proxy.net.endpoint_list import EndpointListReader
from firvane.proxy.net.peer_datagrams import PeerDatagrams
from firvane.proxy.net.target_group import TargetGroup

REPORT = 5.0  # s from one line of figures in the log to the next
GRACE = 1.0  # s for streams to end at a stop


def places(config: Config, words: Words) -> list[api.Settings]:
    """The settings of each place that the service has in its tier: the zones in turn, from its own on."""
    own = config.settings
    return [
        replace(own, me=own.me + place, zone=(own.zone + place) % own.zones)
        for place in range(words.counts_as)
    ]


def _itself(peers: PeerDatagrams) -> PeerDatagrams:
    return peers


class Control:
    """One control service."""

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
        self.loop, self.config = loop, config
        self.name = words.service
        reader = EndpointListReader(config.zones, config.kinds)
        pauses = Pauses(0, random.Random(config.seed))
        self.group = TargetGroup(loop, config.discovery, reader, self._target, self._listed, self.log, pauses)
        self.peers = [
            PeerDatagrams(own.me, config.peers, config.peers_all, partial(self._peer, place), loop.time)
            for place, own in enumerate(places(config, words))
        ]
        self.ads = Ads(loop, self, words.report_s, self.log)
        self.core = Core(
            places(config, words), words, config.seed, config.zones, loop, self.peers, self.group, self.ads,
            wall, self.log,
        )  # fmt: skip
        self.keys = Keys(words.tls, self.log) if words.tls else None
        self.server: Any = None
        self.port = 0

    def _target(self, *told: Any) -> None:
        self.core.target(*told)

    def _listed(self, news: api.ServerList) -> None:
        self.core.listed(news)

    def _peer(self, place: int, sender: int, payload: bytes) -> None:
        self.core.engines[place].dispatch(api.PeerMessage(sender, payload))

    # What the streams need

    def zone_of(self, name: str) -> int:
        return self.core.catalog.zone_of(name)

    def state(self, zone: int) -> State | None:
        return self.core.state(zone)

    def settled_at(self, zone: int) -> float:
        return self.core.settled_at(zone)

    def come(self, name: str, zone: int) -> bool:
        return self.core.ledger.come(name, zone, self.loop.time())

    def go(self, name: str) -> None:
        self.core.ledger.go(name, self.loop.time())

    def may(self, names: frozenset[str]) -> bool:
        tls = self.core.words.tls
        return not (tls and tls.allow) or bool(names & set(tls.allow))

    def reported(self, node: stream_codec.Node, request: Any) -> None:
        parts = partial(self.core.parts, self.zone_of(node.zone))
        self.core.reported(node.id, *stream_codec.read_reports(request, self.name, self.core.names, parts))

    def _sweep(self) -> None:
        self.ads.sweep()
        self.loop.call_later(1.0, self._sweep)

    def _report(self) -> None:
        ages = sorted(self.ads.ages)
        self.ads.ages.clear()
        cuts = quantiles(ages, n=100, method="inclusive") if len(ages) > 1 else [0.0] * 99
        pump = self.ads.pump
        self.log.info(
            "figures",
            receivers=len(self.core.ledger.receivers), streams=len(self.ads.sessions),
            demand_rps=round(sum(self.core.ledger.demand().values()), 1), boxes=len(self.core.addresses),
            written=pump.written, written_mb=round(pump.bytes / 1e6, 2), acks=self.ads.acks,
            refusals=self.ads.refusals,
            ack_p50_ms=round(1e3 * cuts[49], 1), ack_p99_ms=round(1e3 * cuts[98], 1),
            cut=self.core.ledger.cut, doubted_lists=self.core.panic.trips, serial=self.core.catalog.serial,
        )  # fmt: skip
        self.loop.call_later(REPORT, self._report)

    # Its life

    async def start(self) -> None:
        """Everything up to answering receivers; they are told nothing before there is a list."""
        config = self.config
        if config.peer_listen:
            for place, peers in enumerate(self.peers):
                own = config.peer_listen if not place else config.peers[peers.me]
                await self.loop.create_datagram_endpoint(partial(_itself, peers), local_addr=own)
        self.core.start()
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
        self._sweep()
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
        old = self.core.words
        was, now = ((one.service, one.counts_as, one.tls is None) for one in (old, words))
        if was != now:
            waiting.append("control")
        if waiting:
            self.log.warning("config_waits", text="the next start is needed for " + ", ".join(waiting))
        words = msgspec.structs.replace(
            words, service=old.service, tls=words.tls or old.tls, counts_as=old.counts_as
        )
        if config.discovery and self.config.discovery:
            self.group.move(config.discovery)
        elif config.known and not self.config.discovery:
            self.group.learn(config.known)
        self.log.info("config_reread", targets=len(self.group.servers))
        self.core.retune(places(config, words), words)

    async def stop(self) -> None:
        """Streams end with a word; receivers go on by what they have, and ask elsewhere."""
        self.group.stop()
        for peers in self.peers:
            peers.close()
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
            one = self.core.ledger.receivers.get(session.node.id)
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
        for zone, entries in sorted(self.core.catalog.history.items()):
            last = entries[-1]
            groups.append(
                {
                    "zone": self.core.zone_name(zone), "serial": last.serial,
                    "version": f"{last.number}.{last.version}", "at": last.at,
                    "boxes": len(last.assignment.boxes()), "dropped": last.assignment.dropped / 1e4,
                    "why": list(last.causes[:10]), "serials": [entry.serial for entry in entries],
                }
            )  # fmt: skip
        silent = sorted(name for name, one in self.core.ledger.receivers.items() if not one.streams)
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
            receiver = self.core.ledger.receivers.get(node)
            if session is None and receiver is None:
                raise LookupError(f"no receiver {node!r} follows")
            zone = session.zone if session else receiver.zone if receiver else -1
        found = []
        for end in ("before", "after"):
            entry = self.core.catalog.entry(zone, question.get(end, ""))
            if entry is None:
                raise LookupError(f"{question.get(end, '')!r} is no state of that group that is kept")
            found.append(entry)
        before, after = found
        kept = self.core.catalog.history[zone]
        passed = [one for one in kept if before.serial < one.serial <= after.serial]
        return {
            "before": before.serial,
            "after": after.serial,
            "differences": differences(before.assignment, after.assignment, self.config.zones),
            "causes": [{"serial": one.serial, "at": one.at, "why": list(one.causes)} for one in passed],
        }
