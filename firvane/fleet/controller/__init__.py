"""The controller: replicated control state, the operators' API, and the poll of the platform's instances."""

from __future__ import annotations


class ControllerError(Exception):
    """Base of the errors of this package."""
