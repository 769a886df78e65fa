"""A proxy: its start, periodic tasks, admin API, configuration reload and graceful shutdown."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from firvane.core import interface as api
from firvane.core import logs
from firvane.core.net.dialer import Dialer
from firvane.proxy import shutdown_timing
from firvane.proxy.admin_api import calls
from firvane.proxy.admin_api.calls import AdminCall, Call
from firvane.proxy.admin_api.lifecycle import Event, State
from firvane.proxy.config.proxy_config import Config
from firvane.proxy.config.reload import changes_needing_restart, check_open_flows, check_required_keys
from firvane.proxy.extensions import PolicyAgreement, SnapshotStore
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.limits.memory_costs import FLOW_BYTES, MB
from firvane.proxy.metrics import ProxyMeasurements
from firvane.proxy.net.resource_monitor import Usage
from firvane.proxy.proxy_parts import ProxyParts
from firvane.proxy.settings_reload import merge_settings, retire_classes
from firvane.proxy.shutdown_timing import ShutdownTiming

SNAPSHOT_LIST_TIMEOUT_S = 0.5  # wait for discovery at the start, before the stored list is used
SWEEP_INTERVAL_S = 0.1
PREVIOUS_SETTINGS_S = 5.0  # after a reload, requests by the previous settings are accepted for this time
REPORT_INTERVAL_S = 5.0  # between log lines with metrics


class Proxy(ProxyParts):
    """A proxy: its start, periodic tasks, admin API, reload and shutdown."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        *,
        wall: Callable[[], float] = time.time,
        dialer: Dialer | None = None,
        usage: Callable[[], Usage] | None = None,
        log: logs.Log | None = None,
        snapshot_store: Callable[[logs.Log], SnapshotStore] | None = None,
        policy_agreement: Callable[[Proxy], PolicyAgreement] | None = None,
    ) -> None:
        """Create a proxy; raises `OSError` if the socket that it should inherit does not exist.

        Args:
            loop: The event loop.
            config: The configuration.
            wall: Returns Unix time in s.
            dialer: Opens connections to targets; by default on sockets.
            usage: Samples the use of resources; by default of this process.
            log: The log; by default one on standard error, as configured.
            snapshot_store: Creates the store of learned estimates, if they are stored.
            policy_agreement: Creates this proxy's member of the policy consensus, if there is one.
        """
        super().__init__(
            loop,
            config,
            wall=wall,
            dialer=dialer,
            usage=usage,
            log=log,
            snapshot_store=snapshot_store,
            has_policy=policy_agreement is not None,
        )
        if policy_agreement:
            self.policy_agreement = self.limiter.policy_lease = policy_agreement(self)

    async def start(self) -> None:
        """Start the proxy and return once it is ready; cancelled if it is shut down before."""
        self.start_task = asyncio.current_task()
        try:
            await self._start()
        finally:
            self.start_task = None

    async def _start(self) -> None:
        config = self.config
        if config.ops:
            await self._open_admin_api(config.ops)
        if config.peer_listen:
            # The predecessor process and the successor of this one use the same address.
            shared = True if config.inherited is not None else None
            await self.loop.create_datagram_endpoint(
                lambda: self.peers, local_addr=config.peer_listen, reuse_port=shared
            )
        self.transports.start()
        if config.inherited is None:
            await self.acceptor.open(config.listen, self.limiter.accept)
        if self.policy_agreement:  # first, as estimates and requests depend on the policy in force
            await self.policy_agreement.start()
        self.engine.start()
        # Read again: a SIGHUP may have changed the settings since the start began.
        config = self._restore_snapshot(self.config)
        await self._wait_for_list(config)
        self.limiter.ready = True
        if config.inherited is not None:  # until now the predecessor accepted its connections
            await self.acceptor.open(config.listen, self.limiter.accept)
        self._apply_event(Event.STARTED)
        self.monitor.start()
        self._sweep(self.loop.time() + SWEEP_INTERVAL_S)
        due = self.loop.time() + REPORT_INTERVAL_S
        self.loop.call_at(due, self._report, due)
        # With port 0 the kernel chooses a port, which only the socket knows.
        host, port = self.acceptor.address()
        self._log_limits(config)
        if self.snapshot_store:
            due = self.loop.time() + config.snapshot_every
            self.loop.call_at(due, self._store_snapshot, due)
        self.log.info("ready", listen=f"{host}:{port}", targets=len(self.target_group.servers))

    async def _open_admin_api(self, address: tuple[str, int]) -> None:
        self.admin_transports.start()
        await self.admin_acceptor.open(address, lambda *kernel: self.admin_server.make_connection())
        self.log.info("ops", listen="{}:{}".format(*self.admin_acceptor.address()))

    async def _wait_for_list(self, config: Config) -> None:
        """Apply the stored endpoint list, and wait for a list from discovery if one may arrive soon."""
        if config.known:
            try:
                self.target_group.apply_list(config.known, cached=config.discovery is not None)
            except ValueError as error:
                self.log.warning("stored_list_rejected", why=str(error))
            self.config = replace(config, known=None)  # the target group has its own copy
        self.target_group.start()
        # If all proxies request the list at the same time its response may be late: don't wait for it.
        timeout = 0.0 if config.settings.ask else SNAPSHOT_LIST_TIMEOUT_S
        if not self.target_group.servers:
            await self.target_group.list_received.wait()
        elif not await self.target_group.wait_until_listed(timeout):
            self.log.warning("discovery_timed_out", targets=len(self.target_group.servers))

    def _log_limits(self, config: Config) -> None:
        bounds = self.monitor.bounds
        self.log.info(
            "limits",
            memory_mb=config.memory_mb,
            sockets=bounds.sockets,
            cores=config.cores,
            clients=bounds.clients,
            flows=bounds.flows,
            bodies_mb=round(bounds.bodies / MB, 1),
            boxes=bounds.backends,
        )

    # Snapshots of learned estimates

    def _restore_snapshot(self, config: Config) -> Config:
        """Restore the snapshot; return the configuration, with the stored list if it has none."""
        recovery = self.balancer.recovery
        store = self.snapshot_store
        restored = store.load(self.wall()) if store and recovery else None
        if not (restored and recovery):
            return config
        memory, listed = restored
        recovery.restore(memory, {name: number for number, name in enumerate(config.kinds)})
        self.log.info(
            "snapshot_restored",
            age_s=round(memory.age, 1),
            scale=round(memory.scale, 2),
            rooms=len(memory.capacities),
        )
        return config if config.known or config.discovery is None else replace(config, known=listed)

    def _snapshot(self) -> tuple[float, Callable[[], Any], api.RestoredEstimates]:
        """Return the arguments of `SnapshotStore.save`."""
        recovery, balancer = self.balancer.recovery, self.balancer
        assert recovery  # a store is created only with recovery
        return (
            self.wall(),
            self.target_group.list_formatter(),
            recovery.estimates_to_save(balancer.servers.values(), self.config.kinds),
        )

    def _store_snapshot(self, due: float) -> None:
        if self.snapshot_store and self.lifecycle.availability().serves_requests:
            self.snapshot_store.save(*self._snapshot())
            due += self.config.snapshot_every
            self.loop.call_at(due, self._store_snapshot, due)

    # The admin API

    def _handle_call(self, request: AdminCall) -> bytes:
        """Return the response to an admin API call."""
        call = request.call
        if call in calls.POLICY_CALLS:
            if self.policy_agreement is None:
                return calls.format_error("no policy is agreed on here: [policy] is not set")
            return self.policy_agreement.call(request)
        if call is Call.SHOW_STAT:
            return calls.format_block(self.collect_metrics().text())
        if call is Call.MEASURES:
            if not isinstance(self.limiter.metrics, ProxyMeasurements):
                return calls.format_error("nothing is measured here: measures is not set")
            return calls.format_block(self.limiter.metrics.text())
        if call is Call.READY:
            return self._handle_ready_call()
        if call is Call.RECOVERY:
            recovery = self.balancer.recovery
            if recovery is None:
                return calls.format_error("recovery is switched off")
            fields = recovery.status(self.engine.now())
            return calls.format_block("\n".join(f"{name} {value}" for name, value in fields.items()))
        event = Event.DRAIN if call is Call.DRAIN else Event.RESUME
        if not self._apply_event(event):
            return calls.format_error(
                f"{self.lifecycle.state.value}: too late, or too early, to {call.value}"
            )
        return calls.format_ok(self.lifecycle.state.value)

    def _handle_ready_call(self) -> bytes:
        state = self.lifecycle.state.value
        if not self.lifecycle.availability().serves_requests:
            return calls.format_error(f"{state}: no clients yet")
        if self.policy_agreement and not self.policy_agreement.may_accept():
            return calls.format_error(f"{state}, and refuses: it has no lease on the policy in force")
        return calls.format_ok(state)

    def _apply_event(self, event: Event) -> bool:
        """Change the lifecycle state by an event; return False if the current state does not permit it."""
        before = self.lifecycle.state
        if not self.lifecycle.apply(event):
            return False
        state = self.lifecycle.state
        if state is not before:
            if event is not Event.STARTED:  # logged as "ready"
                self.log.info("state", now=state.value, was=before.value)
            limiter = self.limiter
            limiter.draining = not self.lifecycle.availability().up
            limiter.closing = False
            if state is State.DRAINING:
                self.drain_started_at = self.loop.time()
                due = self.drain_started_at + shutdown_timing.LAME_DUCK_S
                self.loop.call_at(due, self._close_drained, self.drain_started_at)
        return True

    def _close_drained(self, since: float) -> None:
        """Close connections when they become idle, unless the drain that began at `since` was revoked."""
        if self.lifecycle.state is State.DRAINING and self.drain_started_at == since:
            self.limiter.closing = True

    def reload(self, read: Callable[[], Config]) -> None:
        """Apply the configuration that `read` returns; an invalid one changes nothing.

        Requests, connections and learned estimates are kept, as the targets stay the same.
        """
        try:
            config = read()
            check_required_keys(self.config, config)
            old, static = self.config, config.discovery is None
            # First, as it is the only step that can still fail: an invalid list changes nothing.
            if static and old.discovery is None:
                self.target_group.apply_list(config.known)  # a complete list: missing targets are removed
        except (ValueError, OSError) as error:
            self._reject_config(error)
            return
        self.reload_counts.taken += 1
        if config.discovery and old.discovery:
            self.target_group.set_address(config.discovery)
        at = "{}:{}".format(*config.discovery) if config.discovery else None
        self.log.info("config_reloaded", discovery=at, targets=len(self.target_group.servers))
        if waiting := changes_needing_restart(self.engine.settings, old, config):
            self.log.warning(
                "config_needs_restart", text="a restart is needed to apply " + ", ".join(waiting)
            )
        self._apply_config(old, config)

    def _reject_config(self, error: Exception) -> None:
        self.reload_counts.errors += 1
        for line in str(error).splitlines():
            self.log.error("config_rejected", why=line)

    def _apply_config(self, old: Config, config: Config) -> None:
        """Apply the settings of a reloaded configuration, unless a policy determines them."""
        if self.policy_agreement:
            if config.settings != old.settings:
                text = (
                    "settings of the file were not applied, as a policy is in force: firvane policy propose"
                )
                self.log.warning("policy_overrides_config", epoch=self.policy_agreement.epoch, text=text)
            self.config = replace(old, shape=config.shape)
            return
        if config.settings != old.settings:
            self._apply_settings(config.settings)
        # If the start has not yet applied the stored list, it applies the new one.
        known = config.known if old.known else None
        self.config = replace(old, settings=config.settings, shape=config.shape, known=known)

    def unfit_reason(self, settings: api.Settings) -> str:
        """Return why settings of a policy exceed the limits of this proxy; "" if they do not."""
        limit = max(self.config.settings.limits.max_open_requests, self.monitor.bounds.memory // FLOW_BYTES)
        return check_open_flows(settings, limit)

    def apply_policy(self, settings: api.Settings) -> None:
        """Apply the settings of a policy in force; requests by the previous settings are rejected at once."""
        self._apply_settings(settings)
        self.limiter.forget_previous_settings()

    def _apply_settings(self, settings: api.Settings) -> None:
        """Apply valid settings to new requests."""
        engine = self.engine
        engine_settings, self.classes = merge_settings(engine.settings, self.classes, settings)
        engine.apply_settings(engine_settings)
        self.limiter.apply_settings(engine_settings, self.classes)
        self.upstream_pools.apply_settings(settings.limits, settings.rules)
        self.monitor.apply_settings(settings)
        self.settings_changed_at = self.loop.time()
        changed_at = self.settings_changed_at
        self.loop.call_at(changed_at + PREVIOUS_SETTINGS_S, self._retire_settings, changed_at)
        self.log.info("settings_applied", classes=",".join(cls.name for cls in settings.classes))

    def _retire_settings(self, since: float) -> None:
        """Reject requests by the settings before the change at `since`, unless there was a later change."""
        if self.settings_changed_at == since:
            self.limiter.forget_previous_settings()
            self.engine.apply_settings(retire_classes(self.engine.settings, self.classes))

    def _sweep(self, due: float) -> None:
        """Close connections that have timed out; runs every `SWEEP_INTERVAL_S`."""
        self.monitor.record_lag(self.loop.time() - due)
        self.upstream_pools.sweep()
        self.limiter.sweep()
        self.admin_server.sweep()
        if self.limiter.closing:
            self.limiter.close_idle()
        self.loop.call_at(due + SWEEP_INTERVAL_S, self._sweep, due + SWEEP_INTERVAL_S)

    def _report(self, due: float) -> None:
        """Log the metrics; runs every `REPORT_INTERVAL_S`."""
        monitor, counts, gate = self.monitor, self.engine.event_counts, self.limiter.gate
        shed, overflowed = self.reported_rejections
        counts["turned away unseen"] = gate.shed - shed
        counts["found no turn"] = gate.overflowed - overflowed
        self.reported_rejections = gate.shed, gate.overflowed
        self.log.info(
            "figures",
            clients=len(self.limiter.connections),
            to_targets=monitor.descriptors.open[Use.TARGETS],
            dials=self.upstream_pools.dials,
            open=self.engine.unanswered,
            held_mb=round(monitor.account.used_bytes / MB, 1),
            lag_ms=round(1000 * monitor.worst_lag()),
            **({"epoch": self.policy_agreement.epoch} if self.policy_agreement else {}),
            **self.collect_metrics().fields(),
            **{name.replace(" ", "_"): n for name, n in sorted(counts.items()) if n},
        )
        self.engine.event_counts.clear()
        self.loop.call_at(due + REPORT_INTERVAL_S, self._report, due + REPORT_INTERVAL_S)

    # Shutdown

    async def drain(self) -> None:
        """Shut down gracefully: accept requests for some time, then finish those in flight.

        New clients stop connecting, but connected ones may have no other proxy, if a proxy that was restarted
        before this one is not back yet. They are served on their connections until the remaining time is
        needed to finish before the platform kills the process.
        """
        if self.start_task:  # a proxy that is not ready has no clients, and must not start to listen
            self.start_task.cancel()
        # Of the settings in force: the platform does not wait for a class that a SIGHUP has removed.
        classes = self.engine.settings.classes
        longest = max(classes[number].deadline for number in self.classes)
        timing = ShutdownTiming.begin(self.loop.time(), longest)
        successor = self.config.inherited is not None
        self._apply_event(Event.SUCCEEDED if successor else Event.TERMINATE)
        limiter = self.limiter
        limiter.drain_deadline = timing.request_deadline
        # Requests in flight may have far later deadlines.
        self.engine.shorten_deadlines(limiter.drain_deadline)
        if successor:  # new connections and peers' datagrams go to the successor from now on
            self.acceptor.close()
            self.peers.close()
        else:
            await self._accept_until(timing)
        limiter.closing = True
        while self._has_clients() and self.loop.time() < timing.close_idle_until:
            limiter.close_idle()
            await asyncio.sleep(timing.check_interval)
        # All requests have ended by now. The other connections are closed explicitly: at the exit of the
        # process those with unread input would be reset, and responses in transit would be lost.
        while self._has_clients():  # at least once, even if the loop is late
            limiter.close_or_reject()
            await asyncio.sleep(timing.check_interval)
            if self.loop.time() >= timing.close_all_until:
                break
        self._stop()

    async def _accept_until(self, timing: ShutdownTiming) -> None:
        """Accept connections while clients may not know of the shutdown, then serve the connected ones."""
        await asyncio.sleep(shutdown_timing.LAME_DUCK_S)
        while not self.acceptor.close() and self.loop.time() < timing.serve_until:
            await asyncio.sleep(0)  # connections queued beyond the limit of a turn are accepted first
        self.acceptor.set_accepting(False)  # even if connections keep arriving
        while self._has_clients() and self.loop.time() < timing.serve_until:
            await asyncio.sleep(timing.check_interval)

    def _has_clients(self) -> bool:
        """Whether a client is connected, or its connection is being set up."""
        return bool(self.limiter.connections) or self.transports.has_work()

    def _stop(self) -> None:
        if self.snapshot_store and self.target_group.known:
            self.snapshot_store.close(*self._snapshot())
        if self.policy_agreement:
            self.policy_agreement.close()
        self.target_group.stop()
        self.transports.close()
        self.admin_server.close()
        self.admin_acceptor.close()
        self.admin_transports.close()
