"""New settings in place of those in force: who keeps which number.

Rules that hold here and nowhere else:

1. A number stands for one class, or one tenant, as long as the process lives: what is open goes on by it.
2. A class that is the same in both keeps its number. One that has changed gets a new one, and the old form
   keeps its own, so that an open flow is held to the rules it was taken under.
3. What a proxy is by its place (its number, its tier, its zone, how it hears of the list) waits for the next
   start.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from firvane.core.interface import RequestClass, Settings

PLACE = ("me", "proxies", "zone", "zones", "ask", "tick")


def merged(old: Settings, current: Iterable[int], new: Settings) -> tuple[Settings, tuple[int, ...]]:
    """Settings with the classes of both, and the numbers of the new ones; `current` are the old ones'."""
    known = {old.classes[number].name: number for number in current}
    classes, numbers = list(old.classes), list[int]()
    for cls in new.classes:
        number = known.get(cls.name)
        if number is None or classes[number] != cls:
            number = len(classes)
            classes.append(cls)
        numbers.append(number)
    named = {tenant.name: tenant for tenant in new.tenants}
    # One that is dropped keeps its number and has no share any more.
    tenants = [named.pop(t.name, replace(t, quota_share=0.0, quota_rps=0.0)) for t in old.tenants]
    tenants += named.values()
    place: dict[str, Any] = {name: getattr(old, name) for name in PLACE}
    return replace(new, classes=tuple(classes), tenants=tuple(tenants), **place), tuple(numbers)


def waits(old: Settings, new: Settings) -> list[str]:
    """What differs and has to wait for the next start."""
    return [name for name in PLACE if getattr(old, name) != getattr(new, name)]


def retired(settings: Settings, current: Iterable[int]) -> Settings:
    """The same where classes that are gone have no worth beside those that are here."""
    here = set(current)

    def of(number: int, cls: RequestClass) -> RequestClass:
        return cls if number in here else replace(cls, value=0.0)

    return replace(settings, classes=tuple(of(n, cls) for n, cls in enumerate(settings.classes)))
