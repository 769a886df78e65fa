"""The configuration as a replicated state machine that reports changes of its version."""

from __future__ import annotations

from collections.abc import Callable

from firvane.core.logs import Log
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import Result
from firvane.fleet.configuration.state import ConfigurationState


class ReplicatedConfiguration:
    """Wraps a `ConfigurationState` and calls `on_change` after each change of its version."""

    def __init__(self, state: ConfigurationState, on_change: Callable[[], None], log: Log) -> None:
        self.state = state
        self._on_change = on_change
        self._log = log

    def apply(self, index: int, payload: bytes) -> bytes:
        """Apply a committed order; reject it on an unexpected error, so that the log can go on."""
        before = self.state.version
        try:
            result = self.state.apply(index, payload)
        except Exception:
            self._log.exception("configuration_order_not_applied", index=index)
            return Result(ResultCode.UNREADABLE_RECORD, before).pack()
        self._report_change(before)
        return result

    def save(self) -> bytes:
        """Encode a snapshot of the state."""
        return self.state.save()

    def load(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot; `RecordError` if it is malformed."""
        before = self.state.version
        self.state.load(snapshot)
        self._report_change(before)

    def _report_change(self, before: int) -> None:
        if self.state.version != before:
            self._on_change()
