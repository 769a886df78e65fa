"""Discovery of backends: the platform's paged list, the instance table, and the instance record codec."""

from __future__ import annotations


class DiscoveryError(Exception):
    """Base class of the errors of this package."""
