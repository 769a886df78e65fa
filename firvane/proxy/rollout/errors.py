"""The errors of this package."""

from __future__ import annotations


class RolloutError(Exception):
    """Base of all errors of `firvane.proxy.rollout`."""


class CallRejectedError(RolloutError, ValueError):
    """A call is not possible now, or not by its caller; the text is one line and is sent to the caller."""


class ControllerStoppedError(RolloutError):
    """This controller cannot go on; the text is one line. The next one goes on from the disk."""


class OwnershipLostError(ControllerStoppedError):
    """Another controller owns the rollout."""
