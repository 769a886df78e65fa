"""The options of a controller."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from msgspec import Struct, field

from firvane.core.address import Address
from firvane.fleet.tenancy.quota import QuotaRules

MIN_GROUP_SIZE = 3


class ControllerOptions(Struct, frozen=True):
    """Options of a controller. All addresses except `control` and `platform` are internal ones."""

    zone: str
    internal: Address
    control: Address  # address of the operator API
    seeds: tuple[Address, ...]
    directory: Path
    first_start: bool
    incarnation: int
    tolerated_losses: int  # disks that may be lost at the same time
    region_of_zone: Mapping[str, str]
    tolerates_region_loss: bool  # whether whole regions may be lost at the same time
    platform: Address | None
    grace_period_s: float  # from SIGTERM to SIGKILL
    quota: QuotaRules = field(default_factory=QuotaRules)

    @property
    def group_size(self) -> int:
        """The number of replicas of a group with which a majority survives the tolerated losses."""
        return max(MIN_GROUP_SIZE, 2 * self.tolerated_losses + 1)
