"""Assembly and life cycle of a control service: discovery, decision module, xDS streams, operator API."""

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
from firvane.proxy.config.model import Control as ControlSettings
from firvane.proxy.config.proxy_config import Config
from firvane.proxy.control import stream_codec
from firvane.proxy.control.ads import MAX_REQUEST_BYTES, DiscoveryServer, Session
from firvane.proxy.control.catalog import differences
from firvane.proxy.control.certificates import TlsCredentials
from firvane.proxy.control.core import Core
from firvane.proxy.control.types import Snapshot
from firvane.proxy.limits.discovery_timing import DiscoveryBackoff
from firvane.proxy.net.endpoint_list import EndpointListReader
from firvane.proxy.net.peer_datagrams import PeerDatagrams
from firvane.proxy.net.target_group import TargetGroup

METRICS_INTERVAL_S = 5.0  # between `metrics` log events
STOP_GRACE_S = 1.0  # for streams to end before the server stops


def member_settings(config: Config, control_settings: ControlSettings) -> list[api.Settings]:
    """Return the settings of each tier member that the service counts as, in consecutive zones."""
    own = config.settings
    return [
        replace(own, me=own.me + member, zone=(own.zone + member) % own.zones)
        for member in range(control_settings.counts_as)
    ]


def _identity(peers: PeerDatagrams) -> PeerDatagrams:
    return peers


class Control:
    """One control service."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        control_settings: ControlSettings,
        *,
        wall: Callable[[], float] = time.time,
        log: logs.Log | None = None,
    ) -> None:
        log = log or logs.make(config.log_level, config.log_format, wall=wall)
        self.log: logs.Log = log.bind(control=control_settings.service)
        self.loop, self.config = loop, config
        self.name = control_settings.service
        reader = EndpointListReader(config.zones, config.kinds)
        backoff = DiscoveryBackoff(0, random.Random(config.seed))
        self.group = TargetGroup(
            loop, config.discovery, reader, self._target, self._listed, self.log, backoff
        )
        self.peers = [
            PeerDatagrams(own.me, config.peers, config.peers_all, partial(self._peer, member), loop.time)
            for member, own in enumerate(member_settings(config, control_settings))
        ]
        self.ads = DiscoveryServer(loop, self, control_settings.report_s, self.log)
        self.core = Core(
            member_settings(config, control_settings), control_settings, config.seed, config.zones, loop,
            self.peers, self.group, self.ads,
            wall, self.log,
        )  # fmt: skip
        self.keys = TlsCredentials(control_settings.tls, self.log) if control_settings.tls else None
        self.server: Any = None
        self.port = 0

    def _target(self, *target: Any) -> None:
        self.core.set_backend_address(*target)

    def _listed(self, update: api.ServerList) -> None:
        self.core.on_server_list(update)

    def _peer(self, member: int, sender: int, payload: bytes) -> None:
        self.core.engines[member].dispatch(api.PeerMessage(sender, payload))

    # Interface for the streams (`ads.Service`)

    def zone_of(self, name: str) -> int:
        """Return the number of a zone by name."""
        return self.core.catalog.zone_of(name)

    def snapshot(self, zone: int) -> Snapshot | None:
        """Return the current snapshot for a zone."""
        return self.core.snapshot(zone)

    def snapshot_computed_at(self, zone: int) -> float:
        """Return the loop time at which the current snapshot of a zone was computed."""
        return self.core.snapshot_computed_at(zone)

    def connect(self, name: str, zone: int) -> bool:
        """Register a stream of a receiver."""
        return self.core.registry.connect(name, zone, self.loop.time())

    def disconnect(self, name: str) -> None:
        """Record the end of a receiver's stream."""
        self.core.registry.disconnect(name, self.loop.time())

    def is_allowed(self, names: frozenset[str]) -> bool:
        """Return whether the owner of a certificate with these names may use the service."""
        tls = self.core.control_settings.tls
        return not (tls and tls.allow) or bool(names & set(tls.allow))

    def on_report(self, node: stream_codec.Node, request: Any) -> None:
        """Record a load report of a receiver."""
        shares = partial(self.core.shares, self.zone_of(node.zone))
        self.core.on_report(node.id, *stream_codec.read_reports(request, self.name, self.core.names, shares))

    def _sweep(self) -> None:
        self.ads.sweep()
        self.loop.call_later(1.0, self._sweep)

    def _report(self) -> None:
        ack_delays = sorted(self.ads.ack_delays)
        self.ads.ack_delays.clear()
        cuts = quantiles(ack_delays, n=100, method="inclusive") if len(ack_delays) > 1 else [0.0] * 99
        scheduler = self.ads.scheduler
        self.log.info(
            "metrics",
            receivers=len(self.core.registry.receivers), streams=len(self.ads.sessions),
            demand_rps=round(sum(self.core.registry.demand().values()), 1), backends=len(self.core.addresses),
            written=scheduler.responses_written, written_mb=round(scheduler.bytes_written / 1e6, 2),
            acks=self.ads.acks, nacks=self.ads.nacks,
            ack_p50_ms=round(1e3 * cuts[49], 1), ack_p99_ms=round(1e3 * cuts[98], 1),
            clipped=self.core.registry.clipped, held_back_lists=self.core.panic.trips,
            serial=self.core.catalog.serial,
        )  # fmt: skip
        self.loop.call_later(METRICS_INTERVAL_S, self._report)

    # Life cycle

    async def start(self) -> None:
        """Start all components and listen; receivers get no response before the first server list."""
        config = self.config
        if config.peer_listen:
            for member, peers in enumerate(self.peers):
                own = config.peer_listen if not member else config.peers[peers.me]
                await self.loop.create_datagram_endpoint(partial(_identity, peers), local_addr=own)
        self.core.start()
        if config.known:
            self.group.apply_list(config.known)
        self.group.start()
        self.ads.start()
        self.server = grpc.aio.server(
            options=[
                ("grpc.max_receive_message_length", MAX_REQUEST_BYTES),
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
        self.loop.call_later(METRICS_INTERVAL_S, self._report)
        where = f"{config.listen[0]}:{self.port}"
        self.log.info("ready", listen=where, tls=self.keys is not None, targets=len(self.group.servers))

    def reload(self, read: Callable[[], tuple[Config, ControlSettings]]) -> None:
        """Reload the settings, the static server list and the discovery address; ignore an invalid file."""
        try:
            config, control_settings = read()
        except (ValueError, OSError) as error:
            self._log_invalid(error)
            return
        fixed = ("listen", "peers", "zones", "kinds")
        waiting = [name for name in fixed if getattr(config, name) != getattr(self.config, name)]
        old = self.core.control_settings
        was, now = ((one.service, one.counts_as, one.tls is None) for one in (old, control_settings))
        if was != now:
            waiting.append("control")
        if waiting:
            self.log.warning(
                "config_restart_required", text="a restart is required to change " + ", ".join(waiting)
            )
        control_settings = msgspec.structs.replace(
            control_settings,
            service=old.service,
            tls=control_settings.tls or old.tls,
            counts_as=old.counts_as,
        )
        if config.discovery and self.config.discovery:
            self.group.set_address(config.discovery)
        elif config.known and not self.config.discovery:
            self.group.apply_list(config.known)
        self.log.info("config_reloaded", targets=len(self.group.servers))
        self.core.apply_settings(member_settings(config, control_settings), control_settings)

    def _log_invalid(self, error: Exception) -> None:
        for line in str(error).splitlines():
            self.log.error("config_invalid", why=line)

    async def stop(self) -> None:
        """End all streams with a status; receivers keep their last snapshot and then try another service."""
        self.group.stop()
        for peers in self.peers:
            peers.close()
        self.ads.stop()
        if self.server is not None:
            await self.server.stop(STOP_GRACE_S)

    # Operator API

    def show(self, request: bytes) -> bytes:
        """Answer `{"what": "status"}`, or `{"what": "diff", "node": ..., "before": ..., "after": ...}`."""
        try:
            query = msgspec.json.decode(request, type=dict[str, str])
            answer = self._status() if query.get("what") == "status" else self._diff(query)
        except (msgspec.MsgspecError, LookupError) as error:
            answer = {"error": str(error.args[0]) if error.args else "cannot be read"}
        return msgspec.json.encode(answer)

    def _status(self) -> dict[str, Any]:
        sessions = sorted(self.ads.sessions, key=lambda session: session.node.id if session.node else "")
        receivers = [
            self._receiver_status(session, session.node) for session in sessions if session.node is not None
        ]
        groups = []
        for zone, entries in sorted(self.core.catalog.history.items()):
            last = entries[-1]
            groups.append(
                {
                    "zone": self.core.zone_name(zone), "serial": last.serial,
                    "version": f"{last.list_version}.{last.version}", "at": last.at,
                    "boxes": len(last.assignment.backends()), "dropped": last.assignment.dropped / 1e4,
                    "why": list(last.causes[:10]), "serials": [entry.serial for entry in entries],
                }
            )  # fmt: skip
        disconnected = sorted(
            name for name, receiver in self.core.registry.receivers.items() if not receiver.streams
        )
        return {
            "service": self.name,
            "list": self.group.index,
            "groups": groups,
            "receivers": receivers,
            "left": disconnected,
        }

    def _receiver_status(self, session: Session, node: stream_codec.Node) -> dict[str, Any]:
        now = self.loop.time()
        snapshot = self.snapshot(session.zone)
        stream = session.stream
        receiver = self.core.registry.receivers.get(node.id)
        refused = {
            name: subscription.nack_reason
            for subscription in stream.subscriptions.values()
            for name in subscription.rejected
        }
        return {
            "id": node.id, "zone": node.zone, "agent": node.agent,
            "peer": session.peer, "protocol": "delta" if stream.delta else "state of the world",
            "current": snapshot is not None and stream.is_converged(snapshot),
            "told": stream.responses_sent, "refused": refused, "ack_ms": round(1e3 * session.ack_delay_s, 1),
            "heard_s": round(now - session.acked_at, 1) if session.acked_at else None,
            "rps": round(receiver.rate, 1) if receiver else 0.0,
            "reports": receiver.reports if receiver else 0,
        }  # fmt: skip

    def _diff(self, query: dict[str, str]) -> dict[str, Any]:
        zone = -1
        if node := query.get("node"):
            session = next((one for one in self.ads.sessions if one.node and one.node.id == node), None)
            receiver = self.core.registry.receivers.get(node)
            if session is None and receiver is None:
                raise LookupError(f"no receiver {node!r} follows")
            zone = session.zone if session else receiver.zone if receiver else -1
        entries_found = []
        for end in ("before", "after"):
            entry = self.core.catalog.entry(zone, query.get(end, ""))
            if entry is None:
                raise LookupError(f"{query.get(end, '')!r} is no state of that group that is kept")
            entries_found.append(entry)
        before, after = entries_found
        entries = self.core.catalog.history[zone]
        passed = [one for one in entries if before.serial < one.serial <= after.serial]
        return {
            "before": before.serial,
            "after": after.serial,
            "differences": differences(before.assignment, after.assignment, self.config.zones),
            "causes": [{"serial": one.serial, "at": one.at, "why": list(one.causes)} for one in passed],
        }
