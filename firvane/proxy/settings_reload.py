"""Merges new settings into those in force, and keeps the indices of request classes and tenants.

Invariants:

1. An index stands for one class, or one tenant, for the lifetime of the process: open requests refer to it.
2. A class that is equal in both settings keeps its index. A changed class gets a new index, and the old form
   keeps its own, so that an open flow keeps the settings with which it was accepted.
3. Settings of the proxy's place in the deployment (its index, the number of proxies, its zone, the kind of
   discovery) change at the next start only.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from firvane.core.interface import RequestClass, Settings

RESTART_FIELDS = ("me", "proxies", "zone", "zones", "ask", "tick")


def merge_settings(old: Settings, current: Iterable[int], new: Settings) -> tuple[Settings, tuple[int, ...]]:
    """Return settings with the classes of both, and the indices of the new settings' classes.

    `current` are the indices of the classes of `old` that requests may name.
    """
    known_indices = {old.classes[index].name: index for index in current}
    classes, indices = list(old.classes), list[int]()
    for cls in new.classes:
        index = known_indices.get(cls.name)
        if index is None or classes[index] != cls:
            index = len(classes)
            classes.append(cls)
        indices.append(index)
    new_tenants = {tenant.name: tenant for tenant in new.tenants}
    # A removed tenant keeps its index and loses its quota.
    tenants = [new_tenants.pop(t.name, replace(t, quota_share=0.0, quota_rps=0.0)) for t in old.tenants]
    tenants += new_tenants.values()
    fixed: dict[str, Any] = {name: getattr(old, name) for name in RESTART_FIELDS}
    return replace(new, classes=tuple(classes), tenants=tuple(tenants), **fixed), tuple(indices)


def fields_needing_restart(old: Settings, new: Settings) -> list[str]:
    """Return the names of the changed fields that take effect only at the next start."""
    return [name for name in RESTART_FIELDS if getattr(old, name) != getattr(new, name)]


def retire_classes(settings: Settings, current: Iterable[int]) -> Settings:
    """Return the settings with the value of all classes outside `current` set to 0."""
    current_indices = set(current)

    def retire(index: int, cls: RequestClass) -> RequestClass:
        return cls if index in current_indices else replace(cls, value=0.0)

    return replace(settings, classes=tuple(retire(n, cls) for n, cls in enumerate(settings.classes)))
