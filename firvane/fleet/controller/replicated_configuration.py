"""The configuration as a replicated state machine, which tells when the version in force has changed."""

from __future__ import annotations

from collections.abc import Callable

from firvane.core.logs import Log
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import Result
from firvane.fleet.configuration.state import ConfigurationState


class ReplicatedConfiguration:
    """Passes everything on to a `ConfigurationState`; calls `on_change` whenever its version has changed."""

    def __init__(self, state: ConfigurationState, on_change: Callable[[], None], log: Log) -> None:
        self.state = state
        self._on_change, self._log = on_change, log

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a committed order. A fault of the code is a refusal: the replica must go on with its log."""
        before = self.state.version
        try:
            result = self.state.apply(index, payload)
        except Exception:
            self._log.exception("configuration_order_not_applied", index=index)
            return Result(ResultCode.UNREADABLE_RECORD, before).pack()
        self._tell(before)
        return result

    def save(self) -> bytes:
        """A snapshot of the state."""
        return self.state.save()

    def load(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot; `RecordError` where it is none."""
        before = self.state.version
        self.state.load(snapshot)
        self._tell(before)

    def _tell(self, before: int) -> None:
        if self.state.version != before:
            self._on_change()
