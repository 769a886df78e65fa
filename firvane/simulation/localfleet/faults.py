"""Which daemon is killed when: `ROLE@SECOND` read, and the victim chosen."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from firvane.simulation.localfleet.daemons import Daemon
from firvane.simulation.localfleet.layout import DaemonRole

OWNER = "owner"  # the controller that acknowledged the last order


class FaultSpecError(ValueError):
    """A trouble cannot be read, or names no daemon of the fleet."""


@dataclass(frozen=True, slots=True)
class Kill:
    """SIGKILL at `at` seconds of the load. `victim`: a role, a daemon's name, or `owner`."""

    victim: str
    at: float


def parse_kill(text: str, names: Sequence[str]) -> Kill:
    """Read `ROLE@SECOND`; `names` are those of the fleet's daemons."""
    victim, _, second = text.partition("@")
    try:
        at = float(second)
    except ValueError:
        raise FaultSpecError(f"{text!r} is not ROLE@SECOND") from None
    if victim not in (*DaemonRole, OWNER, *names):
        raise FaultSpecError(f"{victim!r} is neither router, controller, owner nor a daemon's name")
    return Kill(victim, at)


def choose_victim(kill: Kill, daemons: Sequence[Daemon], owner_host: str) -> Daemon:
    """The daemon with that name; of a role, the one that runs and has been started least often."""
    if kill.victim == OWNER:
        chosen = [daemon for daemon in daemons if daemon.node.host == owner_host]
    else:
        chosen = [daemon for daemon in daemons if kill.victim in (daemon.node.name, daemon.node.role)]
    if not chosen:
        raise FaultSpecError(f"no daemon is {kill.victim!r}")
    return min(chosen, key=lambda daemon: (not daemon.runs, daemon.starts))
