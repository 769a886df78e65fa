"""The controller: replicated control state, the operator API, and polling of the platform's instances."""

from __future__ import annotations


class ControllerError(Exception):
    """Base class of the errors of this package."""
