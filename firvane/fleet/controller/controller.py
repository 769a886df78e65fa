"""Assembles a controller: cluster agent, replication, operator API and instance poller."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

from firvane.core.address import Address
from firvane.core.logs import Log
from firvane.fleet.cluster.agent import Channel, ClusterAgent, Item, Member, Role
from firvane.fleet.configuration.item import ItemError, read_tenants, unpack_document
from firvane.fleet.configuration.recovered import recovered_version
from firvane.fleet.configuration.state import ConfigurationState
from firvane.fleet.controller.configuration_publisher import CONFIGURATION_KEY, ConfigurationPublisher
from firvane.fleet.controller.configuration_service import ConfigurationService
from firvane.fleet.controller.failure_domains import FailureDomains
from firvane.fleet.controller.fleet_service import FleetService
from firvane.fleet.controller.http_server import HttpServer
from firvane.fleet.controller.instance_poller import InstancePoller
from firvane.fleet.controller.instance_records import InstanceRecords, service_of
from firvane.fleet.controller.operator_api import OperatorApi
from firvane.fleet.controller.options import ControllerOptions
from firvane.fleet.controller.platform_client import PlatformClient
from firvane.fleet.controller.record_replicator import RecordReplicator
from firvane.fleet.controller.replicated_configuration import ReplicatedConfiguration
from firvane.fleet.controller.replication_host import ReplicationHost, StateMachine
from firvane.fleet.controller.service_partition import ServicePartition, ServiceRecord
from firvane.fleet.controller.tenant_service import TenantService
from firvane.fleet.partitions import ALL_PARTITIONS, CONFIGURATION_PARTITION, POLL_ROLE, partition_of
from firvane.fleet.tenancy.floors import FloorsRecord

START_RETRY_INTERVAL_S = 0.5  # between attempts to join the cluster, listen, or open the journals
REPLICATION_DRAIN_FRACTION = 0.2  # of the shutdown grace period
REQUEST_DRAIN_FRACTION = 0.4  # of the shutdown grace period
SUCCESSION_TIMEOUT_S = 0.5
SUCCESSION_POLL_INTERVAL_S = 0.01
POLL_PARTITION = partition_of(POLL_ROLE)


class Controller:
    """A controller. `start` joins the cluster and opens the journals; `stop` shuts down gracefully."""

    def __init__(self, loop: asyncio.AbstractEventLoop, options: ControllerOptions, log: Log) -> None:
        self.loop = loop
        self.options = options
        self.log = log
        self.state = ConfigurationState()
        self.partitions = {
            partition: ServicePartition(self._on_record, partial(self._on_floors, partition))
            for partition in ALL_PARTITIONS
            if partition != CONFIGURATION_PARTITION
        }
        self.agent = self._make_agent()
        self.domains = FailureDomains(
            lambda: self.agent.members(Role.CONTROLLER), options.region_of_zone, options.tolerates_region_loss
        )
        self.host = self._make_host()
        self.publisher = ConfigurationPublisher(
            self.state,
            self.agent,
            loop,
            lambda: self.host.is_owner(CONFIGURATION_PARTITION),
            lambda: self.host.is_current(CONFIGURATION_PARTITION),
            log,
        )
        self.replicator = RecordReplicator(
            loop, self.host, self.agent, self.partitions, self._on_restored, log
        )
        self.tenants = self._make_tenant_service()
        self.tenants_version = 0  # version of the configuration whose tenants are in force
        self.platform = PlatformClient(loop, options.platform) if options.platform else None
        self.poller = self._make_poller()
        self.service = ConfigurationService(self.state, self.host, options.internal, log)
        api = OperatorApi(self.service, self._make_fleet_service(), self.control_address)
        self.server = HttpServer(loop, api.handle, log)

    def _make_tenant_service(self) -> TenantService:
        return TenantService(
            self.options.quota,
            self.loop,
            self.host,
            {number: partition.floors for number, partition in self.partitions.items()},
            lambda: self.state.version,
            self.options.internal,
            lambda to, payload: self.agent.send(to, Channel.TENANCY, payload),
            self.log,
        )

    def _make_fleet_service(self) -> FleetService:
        applied: dict[int, Callable[[], int]] = {CONFIGURATION_PARTITION: lambda: self.state.version}
        applied |= {number: partition.newest_version for number, partition in self.partitions.items()}
        return FleetService(
            self.options.internal, self.agent, self.host, applied, self.control_address, self.log
        )

    def _make_agent(self) -> ClusterAgent:
        options = self.options
        identity = Member(
            options.internal, Role.CONTROLLER, options.zone, options.control, options.incarnation
        )
        return ClusterAgent(
            self.loop,
            identity,
            options.seeds,
            self.log,
            on_item=self._on_item,
            on_members=lambda: None,
            on_message=self._on_message,
            is_withheld=self._is_withheld,
        )

    def _make_host(self) -> ReplicationHost:
        options = self.options
        configuration = ReplicatedConfiguration(self.state, self._on_configuration, self.log)
        groups: dict[int, StateMachine] = {CONFIGURATION_PARTITION: configuration, **self.partitions}
        return ReplicationHost(
            self.loop,
            options.internal,
            options.directory,
            groups,
            first_start=options.first_start,
            seeds=options.seeds,
            target_size=options.group_size,
            send=lambda to, payload: self.agent.send(to, Channel.REPLICATION, payload),
            candidates=lambda: [member.address for member in self.agent.members(Role.CONTROLLER)],
            domain_of=self.domains.domain_of,
            on_ownership_changed=self._on_ownership_changed,
            log=self.log,
        )

    def _make_poller(self) -> InstancePoller | None:
        if self.platform is None:
            return None
        records = InstanceRecords(self.log)
        return InstancePoller(self.loop, self.platform, records, self._publish_instances, self.log)

    def _is_withheld(self, key: bytes) -> bool:
        """Whether to withhold an item, because a majority of its partition was not reached recently."""
        service = service_of(key)
        if service is not None:
            return not self.host.has_quorum_contact(partition_of(service))
        return key == CONFIGURATION_KEY and not self.host.has_quorum_contact(CONFIGURATION_PARTITION)

    def _publish_instances(self, item: Item) -> None:
        self.agent.publish(item)
        self.replicator.on_published(item)

    async def start(self) -> None:
        """Join the cluster, listen, and open the journals; each step is retried until it succeeds."""
        self.tenants.start()
        await self._retry_until_success("cluster", self.agent.start)
        await self._retry_until_success("operator", lambda: self.server.start(self.options.control))
        await self._retry_until_success("replication", self.host.start)
        host, port = self.options.control
        version = recovered_version(self.state.version, self.host.unapplied(CONFIGURATION_PARTITION))
        self.log.info("controller_started", control=f"{host}:{port}", version=version)

    async def _retry_until_success(self, component: str, attempt: Callable[[], Awaitable[None]]) -> None:
        """Retry `attempt` after any error until it succeeds: a controller must not exit on its own."""
        while True:
            try:
                await attempt()
            except Exception:  # logged for the operator, whatever the cause
                self.log.exception(f"{component}_not_started")
                await asyncio.sleep(START_RETRY_INTERVAL_S)
            else:
                return

    async def stop(self) -> None:
        """Transfer leaderships, finish pending requests, and leave the cluster, within the grace period."""
        grace_period_s = self.options.grace_period_s
        owned = [partition for partition in ALL_PARTITIONS if self.host.is_owner(partition)]
        self.log.info("controller_stopping", owned=len(owned))
        try:
            await self.host.drain(REPLICATION_DRAIN_FRACTION * grace_period_s)
            await self._wait_for_successors(owned)
        except Exception:
            self.log.exception("controller_drain_failed")
        self.server.stop_accepting()
        await self.server.drain(REQUEST_DRAIN_FRACTION * grace_period_s)
        self.close()
        self.log.info("controller_stopped")

    async def _wait_for_successors(self, partitions: Sequence[int]) -> None:
        """Wait for new owners of these partitions: a `TimeoutNow` may be in flight, or be lost once."""
        deadline = self.loop.time() + SUCCESSION_TIMEOUT_S
        while self.loop.time() < deadline:
            owners = {self.host.owner(partition) for partition in partitions}
            if not owners & {None, self.options.internal}:
                return
            await asyncio.sleep(SUCCESSION_POLL_INTERVAL_S)

    def close(self) -> None:
        """Close everything at once."""
        self.tenants.close()
        self.replicator.close()
        if self.poller:
            self.poller.release()
        if self.platform:
            self.platform.close()
        self.server.close()
        self.host.close()
        self.agent.close(leave=True)

    def reload(self, seeds: tuple[Address, ...], platform: Address | None) -> None:
        """Apply the settings that can change at run time."""
        self.agent.set_seeds(seeds)
        if self.platform and platform:
            self.platform.set_address(platform)
        self.log.info("settings_reloaded", seeds=len(seeds))

    def control_address(self, internal: Address) -> Address:
        """The operator API address of the controller with this internal address."""
        for member in self.agent.members(Role.CONTROLLER):
            if member.address == internal and member.control is not None:
                return member.control
        return internal[0], self.options.control[1]

    def _on_configuration(self) -> None:
        self.agent.set_applied_version(self.state.version)
        self.publisher.on_changed()
        self._configure_tenants(self.state.version, self.state.document)

    def _configure_tenants(self, version: int, document: bytes) -> None:
        """Apply the tenants of a configuration, from replication or dissemination, whichever comes first."""
        if version <= self.tenants_version:
            return
        try:
            tenants = read_tenants(document)
        except ItemError as error:
            self._log_unreadable("tenant_configuration_unreadable", version, error)
            return
        self.tenants_version = version
        self.tenants.configure(tenants)

    def _on_item(self, item: Item) -> None:
        if item.key == CONFIGURATION_KEY and item.version > self.tenants_version:
            self._configure_tenants_from_item(item)
        if self.poller:
            self.poller.merge_published(item)
        self.replicator.on_published(item)

    def _configure_tenants_from_item(self, item: Item) -> None:
        try:
            self._configure_tenants(*unpack_document(item.payload))
        except ItemError as error:
            self._log_unreadable("configuration_item_unreadable", item.version, error)

    def _log_unreadable(self, event: str, version: int, error: ItemError) -> None:
        self.log.error(event, version=version, reason=str(error))

    def _on_record(self, record: ServiceRecord) -> None:
        self.replicator.on_stored(record)

    def _on_floors(self, partition: int, record: FloorsRecord) -> None:
        self.tenants.on_floors_applied(partition, record)

    def _on_restored(self, item: Item) -> None:
        if self.poller:
            self.poller.merge_published(item)

    def _on_message(self, sender: Address, channel: Channel, payload: bytes) -> None:
        if channel is Channel.REPLICATION:
            self.host.receive(sender, payload)
        elif channel is Channel.TENANCY:
            self.tenants.receive(sender, payload)

    def _on_ownership_changed(self, group: int, owned: bool, term: int) -> None:
        self.log.info("ownership_changed", partition=group, owned=owned, term=term)
        self.tenants.on_ownership_changed(group, owned)
        if group == CONFIGURATION_PARTITION and owned:
            self.publisher.publish()
        elif owned:
            self.replicator.replicate(group)
        if group == POLL_PARTITION and self.poller:
            self._set_poll_role(self.poller, owned, term)

    def _set_poll_role(self, poller: InstancePoller, owned: bool, term: int) -> None:
        if owned:
            poller.acquire(term)
        else:
            poller.release()
