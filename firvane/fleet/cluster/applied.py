"""The version of the configuration that each member applies, as the members report it. Does no I/O.

A report is a section of 9 bytes: a format version (1 byte) and the applied version (8 bytes, big-endian). It
shares a datagram with the digests that are sent to controllers, so that an operator can query any controller
for the members that still apply an older version.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable

from msgspec import Struct

from firvane.core.address import Address
from firvane.fleet.cluster.envelope import EnvelopeError
from firvane.fleet.membership.members import Member

FORMAT_VERSION = 1
_REPORT = struct.Struct(">BQ")
REPORT_BYTES = _REPORT.size


class AppliedReport(Struct, frozen=True):
    """The last report of a member, and the incarnation that sent it."""

    incarnation: int
    version: int
    received_at: float


class AppliedVersions:
    """The version that this process applies, and the last report of each live member."""

    def __init__(self) -> None:
        self.own: int | None = None
        """The version that this process applies; None before the first."""
        self._reports: dict[Address, AppliedReport] = {}

    def section(self) -> bytes | None:
        """Return this process's report, encoded; None while it applies no version."""
        return None if self.own is None else _REPORT.pack(FORMAT_VERSION, self.own)

    def receive(self, sender: Member, content: bytes, now: float) -> None:
        """Store a report.

        Raises:
            EnvelopeError: The content is not a valid report.
        """
        if len(content) != REPORT_BYTES:
            raise EnvelopeError("report has a wrong length")
        format_version, version = _REPORT.unpack(content)
        if format_version != FORMAT_VERSION:
            raise EnvelopeError(f"version {format_version} of a report is unknown")
        self._reports[sender.address] = AppliedReport(sender.incarnation, version, now)

    def report_of(self, member: Member) -> AppliedReport | None:
        """Return the last report of this incarnation of a member, or None."""
        report = self._reports.get(member.address)
        return report if report is not None and report.incarnation == member.incarnation else None

    def retain(self, addresses: Iterable[Address]) -> None:
        """Remove the reports of all members except those at `addresses`."""
        live = set(addresses)
        for address in [known for known in self._reports if known not in live]:
            del self._reports[address]
