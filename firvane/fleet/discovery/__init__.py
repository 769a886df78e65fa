"""Discovery of backends: the platform's paged list, the table of instances, and their record."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base of the errors of this package."""
