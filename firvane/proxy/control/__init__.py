"""The xDS control service: distributes the decision module's assignments to other proxies and clients."""

from __future__ import annotations


class ControlError(Exception):
    """Base of the errors of this package."""
