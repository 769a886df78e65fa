"""Configurations of the operators: validation, versions, the replicated state, and the routes of routers.

Controllers use `state`, `orders`, `checker` and `codes`. Routers use `item` and `routes`, which import none
of these.
"""

from __future__ import annotations


class ConfigurationError(Exception):
    """Base of the errors of this package."""
