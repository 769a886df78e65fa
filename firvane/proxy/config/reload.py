"""Which changes of a reloaded configuration a running proxy can apply."""

from __future__ import annotations

from firvane.core.interface import Settings
from firvane.proxy.config.proxy_config import Config
from firvane.proxy.settings_reload import fields_needing_restart

RESTART_KEYS = ("listen", "peers", "ops")  # changes of these need a restart


def check_required_keys(old: Config, new: Config) -> None:
    """Raise `ValueError` where the new settings lack a key that the old ones have."""
    if missing := sorted(old.shape - new.shape):
        raise ValueError(f"settings: {missing[0]} is missing, and was there before")


def changes_needing_restart(settings: Settings, old: Config, new: Config) -> list[str]:
    """Return the names of the changes that need a restart; `settings` are the ones in force."""
    names = fields_needing_restart(settings, new.settings)
    names += [name for name in RESTART_KEYS if getattr(new, name) != getattr(old, name)]
    if (new.discovery is None) is not (old.discovery is None):
        names.append("kind of list")
    return names


def check_open_flows(settings: Settings, max_open: int) -> str:
    """Return why the memory limit does not allow the configured open flows; "" where it does."""
    open_flows = settings.limits.max_open_requests
    if open_flows > max_open:
        return f"limits.open_flows: is {open_flows}, but the memory limit allows {max_open}: lower it"
    return ""
