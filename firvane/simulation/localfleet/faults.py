"""Kills of daemons: parses `ROLE@SECOND` and selects the daemon."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from firvane.simulation.localfleet.daemons import Daemon
from firvane.simulation.localfleet.layout import DaemonRole

OWNER = "owner"  # the controller that acknowledged the last order


class FaultSpecError(ValueError):
    """A kill specification is malformed, or matches no daemon of the fleet."""


@dataclass(frozen=True, slots=True)
class Kill:
    """SIGKILL `at` seconds after the start of the load. `target`: a role, a daemon's name, or `owner`."""

    target: str
    at: float


def parse_kill(text: str, names: Sequence[str]) -> Kill:
    """Parse `ROLE@SECOND`; `names` are the names of the fleet's daemons."""
    target, _, second = text.partition("@")
    try:
        at = float(second)
    except ValueError:
        raise FaultSpecError(f"{text!r} is not ROLE@SECOND") from None
    if target not in (*DaemonRole, OWNER, *names):
        raise FaultSpecError(f"{target!r} is neither router, controller, owner nor a daemon's name")
    return Kill(target, at)


def choose_target(kill: Kill, daemons: Sequence[Daemon], owner_host: str) -> Daemon:
    """The daemon with that name; for a role, the running one with the fewest starts."""
    if kill.target == OWNER:
        candidates = [daemon for daemon in daemons if daemon.node.host == owner_host]
    else:
        candidates = [daemon for daemon in daemons if kill.target in (daemon.node.name, daemon.node.role)]
    if not candidates:
        raise FaultSpecError(f"no daemon matches {kill.target!r}")
    return min(candidates, key=lambda daemon: (not daemon.runs, daemon.starts))
