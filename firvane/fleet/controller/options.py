"""The options of a controller."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from msgspec import Struct, field

from firvane.core.address import Address
from firvane.fleet.tenancy.quota import QuotaRules

MIN_GROUP_SIZE = 3


class ControllerOptions(Struct, frozen=True):
    """Options of a controller; the addresses of seeds and of this process are internal, except `control`."""

    zone: str
    internal: Address
    control: Address  # the operators' API
    seeds: tuple[Address, ...]
    directory: Path
    first_start: bool
    incarnation: int
    tolerated_losses: int  # of disks at the same time
    region_of_zone: Mapping[str, str]
    loses_regions: bool  # whether whole regions may be lost at the same time
    platform: Address | None
    grace: float  # seconds from SIGTERM to SIGKILL
    quota: QuotaRules = field(default_factory=QuotaRules)

    @property
    def group_size(self) -> int:
        """The number of replicas of a group, so that a majority survives the tolerated losses."""
        return max(MIN_GROUP_SIZE, 2 * self.tolerated_losses + 1)
