"""The errors of `firvane.proxy.rollout`."""

from __future__ import annotations


class RolloutError(Exception):
    """Base of all errors of `firvane.proxy.rollout`."""


class CallRejectedError(RolloutError, ValueError):
    """A call is rejected because of the slot's state or the caller's token.

    The text is one line and is sent to the caller.
    """


class ControllerStoppedError(RolloutError):
    """This controller cannot continue; the next one resumes from the state on disk. The text is one line."""


class OwnershipLostError(ControllerStoppedError):
    """Another controller owns the rollout."""
