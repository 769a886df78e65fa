"""Publishes the committed configuration to the cluster.

The owner publishes a version as soon as it is applied. Every other controller publishes it after a delay
unless it has received the version by then, since the owner may have failed between commit and publication. A
controller without recent contact to a majority, or with old state recovered from its disk, waits until its
state is known to be current.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from firvane.core.logs import Log
from firvane.fleet.cluster.agent import Item
from firvane.fleet.configuration.state import ConfigurationState

CONFIGURATION_KEY = b"configuration"
FOLLOWER_DELAY_S = 0.15  # within which the owner's publication usually arrives
CURRENT_RETRY_INTERVAL_S = 0.25


class Dissemination(Protocol):
    """The methods of the cluster agent that the publisher uses."""

    def publish(self, item: Item) -> None:
        """Publish an item to the cluster."""

    def item(self, key: bytes) -> Item | None:
        """The newest known item of a key."""


class Timers(Protocol):
    """The method of the event loop that the publisher uses."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> object:
        """Call `callback` after `delay` seconds."""


class ConfigurationPublisher:
    """Decides when this controller publishes the configuration."""

    def __init__(
        self,
        state: ConfigurationState,
        agent: Dissemination,
        timers: Timers,
        is_owner: Callable[[], bool],
        is_current: Callable[[], bool],
        log: Log,
    ) -> None:
        """Create the publisher.

        Args:
            state: The replicated configuration.
            agent: The cluster agent.
            timers: The event loop.
            is_owner: Returns whether this controller owns the configuration partition.
            is_current: Returns whether the applied state recently held every committed entry.
            log: The log.
        """
        self._state = state
        self._agent = agent
        self._timers = timers
        self._is_owner = is_owner
        self._is_current = is_current
        self._log = log
        self._is_retry_scheduled = False

    def on_changed(self) -> None:
        """Publish a newly applied version: immediately as the owner, else after a delay."""
        if self._is_owner():
            self.publish()
        else:
            self._timers.call_later(FOLLOWER_DELAY_S, self.publish)

    def publish(self) -> None:
        """Publish the applied version, unless the cluster already has this or a newer version."""
        version = self._state.version
        published = self._agent.item(CONFIGURATION_KEY)
        if version == 0 or (published is not None and published.version >= version):
            return
        if not self._is_current():
            self._schedule_retry()
            return
        self._agent.publish(Item(CONFIGURATION_KEY, version, self._state.item_payload()))
        self._log.info("configuration_version_published", version=version)

    def _schedule_retry(self) -> None:
        if not self._is_retry_scheduled:
            self._is_retry_scheduled = True
            self._timers.call_later(CURRENT_RETRY_INTERVAL_S, self._retry)

    def _retry(self) -> None:
        self._is_retry_scheduled = False
        self.publish()
