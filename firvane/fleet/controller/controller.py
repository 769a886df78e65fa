"""One controller, wired: cluster agent, replication host, operators' API, poll duty, and the end."""

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
from firvane.fleet.controller.record_keeper import RecordKeeper
from firvane.fleet.controller.replicated_configuration import ReplicatedConfiguration
from firvane.fleet.controller.replication import ReplicationHost, StateMachine
from firvane.fleet.controller.service_part import ServicePart, ServiceRecord
from firvane.fleet.controller.tenant_service import TenantService
from firvane.fleet.partitions import ALL_PARTS, CONFIGURATION_PART, POLL_DUTY, part_of
from firvane.fleet.tenancy.floors import FloorsRecord

RETRY_START = 0.5  # s between attempts to listen or to open the disk
HAND_OVER_SHARE = 0.2  # of the grace
DRAIN_SHARE = 0.4  # of the grace
SUCCESSION_PATIENCE = 0.5  # s that the successors of a stopping owner may take
SUCCESSION_LOOK = 0.01  # s between looks for them
POLL_PART = part_of(POLL_DUTY)


class Controller:
    """All parts of one controller. `start` returns once the disk has been read; `stop` ends it in order."""

    def __init__(self, loop: asyncio.AbstractEventLoop, options: ControllerOptions, log: Log) -> None:
        self.loop, self.options, self.log = loop, options, log
        self.state = ConfigurationState()
        self.parts = {
            part: ServicePart(self._on_record, partial(self._on_floors, part))
            for part in ALL_PARTS
            if part != CONFIGURATION_PART
        }
        self.agent = self._make_agent()
        self.domains = FailureDomains(
            lambda: self.agent.members(Role.CONTROLLER), options.region_of_zone, options.loses_regions
        )
        self.host = self._make_host()
        self.publisher = ConfigurationPublisher(
            self.state,
            self.agent,
            loop,
            lambda: self.host.is_owner(CONFIGURATION_PART),
            lambda: self.host.is_current(CONFIGURATION_PART),
            log,
        )
        self.keeper = RecordKeeper(loop, self.host, self.agent, self.parts, self._on_restored, log)
        self.tenants = TenantService(
            options.quota,
            loop,
            self.host,
            {part: each.floors for part, each in self.parts.items()},
            lambda: self.state.version,
            options.internal,
            lambda to, payload: self.agent.send(to, Channel.TENANCY, payload),
            log,
        )
        self.tenants_version = 0  # of the configuration whose tenants are known
        self.platform = PlatformClient(loop, options.platform) if options.platform else None
        self.poller = self._make_poller()
        self.service = ConfigurationService(self.state, self.host, options.internal, log)
        api = OperatorApi(self.service, self._make_fleet_service(), self.control_address)
        self.server = HttpServer(loop, api.handle, log)

    def _make_fleet_service(self) -> FleetService:
        applied: dict[int, Callable[[], int]] = {CONFIGURATION_PART: lambda: self.state.version}
        applied |= {number: part.newest_version for number, part in self.parts.items()}
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
        groups: dict[int, StateMachine] = {CONFIGURATION_PART: configuration, **self.parts}
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
            on_owner=self._on_owner,
            log=self.log,
        )

    def _make_poller(self) -> InstancePoller | None:
        if self.platform is None:
            return None
        records = InstanceRecords(self.log)
        return InstancePoller(self.loop, self.platform, records, self._publish_instances, self.log)

    def _is_withheld(self, key: bytes) -> bool:
        """Whether an item must not be handed out, since no majority of its part was heard lately."""
        service = service_of(key)
        if service is not None:
            return not self.host.has_quorum_contact(part_of(service))
        return key == CONFIGURATION_KEY and not self.host.has_quorum_contact(CONFIGURATION_PART)

    def _publish_instances(self, item: Item) -> None:
        self.agent.publish(item)
        self.keeper.published(item)

    async def start(self) -> None:
        """Join the cluster, listen, read the disk; each is tried again until it works."""
        self.tenants.start()
        await self._until_done("cluster", self.agent.start)
        await self._until_done("operator", lambda: self.server.start(self.options.control))
        await self._until_done("replication", self.host.start)
        host, port = self.options.control
        version = recovered_version(self.state.version, self.host.unapplied(CONFIGURATION_PART))
        self.log.info("controller_started", control=f"{host}:{port}", version=version)

    async def _until_done(self, part: str, attempt: Callable[[], Awaitable[None]]) -> None:
        """Try again after every fault: a process that ends by itself helps nobody."""
        while True:
            try:
                await attempt()
                return
            except Exception:
                self.log.exception(f"{part}_not_started")
                await asyncio.sleep(RETRY_START)

    async def stop(self) -> None:
        """Hand over, finish what is under way, and leave; within the grace."""
        grace = self.options.grace
        owned = [part for part in ALL_PARTS if self.host.is_owner(part)]
        self.log.info("controller_stopping", owned=len(owned))
        try:
            await self.host.hand_over(HAND_OVER_SHARE * grace)
            await self._until_succeeded(owned)
        except Exception:
            self.log.exception("controller_drain_failed")
        self.server.stop_accepting()
        await self.server.drain(DRAIN_SHARE * grace)
        self.close()
        self.log.info("controller_stopped")

    async def _until_succeeded(self, parts: Sequence[int]) -> None:
        """Wait until others own these parts: the call to a successor may be on its way, or be lost once."""
        until = self.loop.time() + SUCCESSION_PATIENCE
        while self.loop.time() < until:
            owners = {self.host.owner(part) for part in parts}
            if not owners & {None, self.options.internal}:
                return
            await asyncio.sleep(SUCCESSION_LOOK)

    def close(self) -> None:
        """End everything at once."""
        self.tenants.close()
        self.keeper.close()
        if self.poller:
            self.poller.release()
        if self.platform:
            self.platform.close()
        self.server.close()
        self.host.close()
        self.agent.close(leave=True)

    def reload(self, seeds: tuple[Address, ...], platform: Address | None) -> None:
        """Take over what may change while the process runs."""
        self.agent.set_seeds(seeds)
        if self.platform and platform:
            self.platform.set_address(platform)
        self.log.info("settings_reloaded", seeds=len(seeds))

    def control_address(self, internal: Address) -> Address:
        """Where the operators call the controller with this internal address."""
        for member in self.agent.members(Role.CONTROLLER):
            if member.address == internal and member.control is not None:
                return member.control
        return internal[0], self.options.control[1]

    def _on_configuration(self) -> None:
        self.agent.set_applied_version(self.state.version)
        self.publisher.changed()
        self._learn_tenants(self.state.version, self.state.document)

    def _learn_tenants(self, version: int, document: bytes) -> None:
        """Take the tenants of a configuration, whichever way it has come here first."""
        if version <= self.tenants_version:
            return
        try:
            tenants = read_tenants(document)
        except ItemError as error:
            self.log.error("tenant_configuration_unreadable", version=version, reason=str(error))
            return
        self.tenants_version = version
        self.tenants.configure(tenants)

    def _on_item(self, item: Item) -> None:
        if item.key == CONFIGURATION_KEY and item.version > self.tenants_version:
            self._learn_tenants_of_item(item)
        if self.poller:
            self.poller.learn(item)
        self.keeper.published(item)

    def _learn_tenants_of_item(self, item: Item) -> None:
        try:
            self._learn_tenants(*unpack_document(item.payload))
        except ItemError as error:
            self.log.error("configuration_item_unreadable", version=item.version, reason=str(error))

    def _on_record(self, record: ServiceRecord) -> None:
        self.keeper.taken(record)

    def _on_floors(self, part: int, record: FloorsRecord) -> None:
        self.tenants.floors_committed(part, record)

    def _on_restored(self, item: Item) -> None:
        if self.poller:
            self.poller.learn(item)

    def _on_message(self, sender: Address, channel: Channel, payload: bytes) -> None:
        if channel is Channel.REPLICATION:
            self.host.receive(sender, payload)
        elif channel is Channel.TENANCY:
            self.tenants.receive(sender, payload)

    def _on_owner(self, group: int, own: bool, term: int) -> None:
        self.log.info("ownership_changed", part=group, own=own, term=term)
        self.tenants.owner_changed(group, own)
        if group == CONFIGURATION_PART and own:
            self.publisher.publish()
        elif own:
            self.keeper.store(group)
        if group == POLL_PART and self.poller:
            self._hold_poll_duty(self.poller, own, term)

    def _hold_poll_duty(self, poller: InstancePoller, own: bool, term: int) -> None:
        if own:
            poller.take_over(term)
        else:
            poller.release()
