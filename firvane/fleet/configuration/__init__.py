"""Operators' configurations: validation, versions, replicated state, and the typed form for routers.

Controllers use `state`, `orders`, `checker` and `codes`. Routers use `item` and `routes`, which import none
of these.
"""

from __future__ import annotations


class ConfigurationError(Exception):
    """Base class of the errors of this package."""
