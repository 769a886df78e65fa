"""Publishes the committed configuration through the cluster's dissemination.

The owner publishes a version as soon as it is applied. Every other controller does so a little later, where
the owner has not: it may have failed between commit and publication. A controller that has not heard of a
majority lately, or has just read an old state from its disk, waits until its state is known to be current.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from firvane.core.logs import Log
from firvane.fleet.cluster.agent import Item
from firvane.fleet.configuration.state import ConfigurationState

CONFIGURATION_KEY = b"configuration"
FOLLOWER_DELAY = 0.15  # s in which a version that the owner has published arrives here too
CURRENT_RETRY = 0.25  # s between looks whether the state here is known to be current


class Dissemination(Protocol):
    """What publishing needs of the cluster agent."""

    def publish(self, item: Item) -> None: ...

    def item(self, key: bytes) -> Item | None: ...


class Timers(Protocol):
    """What publishing needs of the event loop."""

    def call_later(self, delay: float, callback: Callable[[], None]) -> object: ...


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
        """`is_current` tells whether the state here was the newest of a majority lately."""
        self._state, self._agent, self._timers = state, agent, timers
        self._is_owner, self._is_current, self._log = is_owner, is_current, log
        self._is_waiting = False

    def changed(self) -> None:
        """A new version is in force here."""
        if self._is_owner():
            self.publish()
        else:
            self._timers.call_later(FOLLOWER_DELAY, self.publish)

    def publish(self) -> None:
        """Publish the version in force unless the cluster knows it, or a newer one, already."""
        version = self._state.version
        known = self._agent.item(CONFIGURATION_KEY)
        if version == 0 or (known is not None and known.version >= version):
            return
        if not self._is_current():
            self._wait_until_current()
            return
        self._agent.publish(Item(CONFIGURATION_KEY, version, self._state.item_payload()))
        self._log.info("configuration_version_published", version=version)

    def _wait_until_current(self) -> None:
        if not self._is_waiting:
            self._is_waiting = True
            self._timers.call_later(CURRENT_RETRY, self._try_again)

    def _try_again(self) -> None:
        self._is_waiting = False
        self.publish()
