"""What of a configuration that is read anew may be taken over while the proxy runs."""

from __future__ import annotations

from firvane.core.interface import Settings
from firvane.proxy.config.node import Config
from firvane.proxy.settings_reload import fields_needing_restart

FIXED = ("listen", "peers", "ops")  # keys that a running proxy does not take over


def check_shape(old: Config, new: Config) -> None:
    """`ValueError` where a part of the settings that was there before is missing."""
    if short := sorted(old.shape - new.shape):
        raise ValueError(f"settings: {short[0]} is missing, and was there before")


def waiting_for_start(settings: Settings, old: Config, new: Config) -> list[str]:
    """What differs and waits for the next start, by name; `settings` are those in force."""
    waiting = fields_needing_restart(settings, new.settings)
    waiting += [name for name in FIXED if getattr(new, name) != getattr(old, name)]
    if (new.discovery is None) is not (old.discovery is None):
        waiting.append("kind of list")
    return waiting


def check_open_flows(settings: Settings, most: int) -> str:
    """Why settings allow more open flows than there is memory for; "" where they do not."""
    given = settings.limits.max_open_requests
    if given > most:
        return f"limits.open_flows: is {given}, and memory here is for {most}: lower it"
    return ""
