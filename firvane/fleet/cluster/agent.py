"""The cluster's interface for the programs: runs a `ClusterCore` with sockets and a single timer."""

from __future__ import annotations

import asyncio
import enum
import random
from collections.abc import Callable, Sequence

from firvane.core.address import Address
from firvane.core.logs import Log
from firvane.fleet.cluster.core import ClusterCore, Effects, KnownMember, PayloadError
from firvane.fleet.dissemination.items import Item
from firvane.fleet.dissemination.machine import never_withheld
from firvane.fleet.membership.members import Member, Role
from firvane.fleet.transport.endpoint import Endpoint

__all__ = ["Channel", "ClusterAgent", "Item", "KnownMember", "Member", "Role"]

SWEEP_INTERVAL_S = 5.0
"""Seconds between two checks for idle links."""
TIMER_TOLERANCE_S = 0.005
"""Seconds by which a timer may differ from the deadline without being rescheduled."""
_OWN_CHANNEL = 0


class Channel(enum.IntEnum):
    """The component to which a frame's payload belongs; the agent's own channel is separate."""

    REPLICATION = 1
    ROWS = 2
    TENANCY = 3


_CHANNELS = {channel.value: channel for channel in Channel}


class ClusterAgent:
    """One process as a member of the cluster. Not thread-safe: must be called in the event loop's thread."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        identity: Member,
        seeds: Sequence[Address],
        log: Log,
        *,
        on_item: Callable[[Item], None],
        on_members: Callable[[], None],
        on_message: Callable[[Address, Channel, bytes], None],
        is_withheld: Callable[[bytes], bool] = never_withheld,
    ) -> None:
        """`seeds` are internal addresses. `on_item` is called with new items from others.

        `is_withheld` returns whether the item of a key must not be offered to others at this moment.
        """
        self._loop = loop
        self._log = log
        self._on_item = on_item
        self._on_members = on_members
        self._on_message = on_message
        self._endpoint = Endpoint(loop, identity.address, self._log, self._on_payload)
        rng = random.Random(identity.incarnation)
        self._core = ClusterCore(identity, seeds, rng, loop.time(), is_withheld)
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float("inf")
        self._sweep_due = loop.time() + SWEEP_INTERVAL_S
        self._unreadable_count = 0
        self._is_started = False
        self._is_closed = False

    @property
    def identity(self) -> Member:
        """This process's identity in the cluster; its incarnation may have risen since the start."""
        return self._core.identity

    async def start(self) -> None:
        """Bind UDP and TCP on the identity's address, and announce this process.

        Raises:
            OSError: The address cannot be bound; the caller may retry.
        """
        await self._endpoint.start()
        self._is_started = True
        self._on_timer()

    def close(self, leave: bool = True) -> None:
        """Stop; with `leave`, notify other members, so that they do not have to detect a failure."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._timer is not None:
            self._timer.cancel()
        if leave and self._is_started:
            for to, payload in self._core.leave(self._loop.time()).sends:
                self._endpoint.send(to, _OWN_CHANNEL, payload)
        self._endpoint.close()

    def publish(self, item: Item) -> None:
        """Store an item and disseminate it, unless it is not newer than the stored one."""
        self._apply(self._core.publish(item, self._loop.time()))

    def send(self, to: Address, channel: Channel, payload: bytes) -> None:
        """Send a payload, best effort: it may be lost, duplicated or reordered."""
        self._endpoint.send(to, channel, payload)

    def members(self, role: Role | None = None) -> list[Member]:
        """Return the members believed live, this process included."""
        return self._core.members(role)

    def known_members(self) -> list[KnownMember]:
        """Return all known members, this process first, with those that died or left recently."""
        return self._core.known_members(self._loop.time())

    def set_applied_version(self, version: int) -> None:
        """From now on, report this version of the configuration as the one that this process applies."""
        self._core.set_applied_version(version)

    def item(self, key: bytes) -> Item | None:
        """Return the newest known item of a key, or None."""
        return self._core.item(key)

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Replace the seeds (internal addresses)."""
        self._core.set_seeds(seeds)

    def _on_payload(self, sender: Address, channel: int, payload: bytes) -> None:
        if self._is_closed:
            return
        now = self._loop.time()
        if channel == _OWN_CHANNEL:
            self._receive(sender, payload, now)
            return
        self._core.record_received(sender, now)
        known_channel = _CHANNELS.get(channel)
        if known_channel is not None:
            self._on_message(sender, known_channel, payload)

    def _receive(self, sender: Address, payload: bytes, now: float) -> None:
        try:
            effects = self._core.receive(sender, payload, now)
        except PayloadError as error:
            self._unreadable_count += 1
            if self._unreadable_count & (self._unreadable_count - 1) == 0:  # the 1st, 2nd, 4th, 8th ...
                host, port = sender
                total = self._unreadable_count
                self._log.warning(
                    "cluster_payload_unreadable", peer=f"{host}:{port}", reason=str(error), total=total
                )
            return
        self._apply(effects)

    def _on_timer(self) -> None:
        self._timer = None
        self._timer_due = float("inf")
        now = self._loop.time()
        if now >= self._sweep_due:
            self._sweep_due = now + SWEEP_INTERVAL_S
            self._endpoint.sweep()
        self._apply(self._core.tick(now))

    def _apply(self, effects: Effects) -> None:
        for to, payload in effects.sends:
            self._endpoint.send(to, _OWN_CHANNEL, payload)
        if self._is_started and not self._is_closed:
            self._set_timer()
        if effects.members_changed:
            self._on_members()
        for item in effects.learned:
            self._on_item(item)

    def _set_timer(self) -> None:
        due = self._core.deadline()
        if abs(due - self._timer_due) <= TIMER_TOLERANCE_S:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due = due
        self._timer = self._loop.call_at(due, self._on_timer)
