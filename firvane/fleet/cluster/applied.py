"""Which version of the configuration is in force at each member, as the members report it. Does no I/O.

A report is a section of 9 bytes: a version byte and the version in force, both big-endian. It travels with
the digests that go to controllers anyway, so that an operator can ask any controller which members are
behind.
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
    """The last report of one incarnation of a member."""

    incarnation: int
    version: int
    received_at: float


class AppliedVersions:
    """The version in force here, and the last report of each live member."""

    def __init__(self) -> None:
        self.own: int | None = None
        """The version in force in this process; None before the first."""
        self._reports: dict[Address, AppliedReport] = {}

    def section(self) -> bytes | None:
        """The own report, encoded; None while nothing is in force here."""
        return None if self.own is None else _REPORT.pack(FORMAT_VERSION, self.own)

    def receive(self, sender: Member, content: bytes, now: float) -> None:
        """Store a report.

        Raises:
            EnvelopeError: The content is no report.
        """
        if len(content) != REPORT_BYTES:
            raise EnvelopeError("report has a wrong length")
        format_version, version = _REPORT.unpack(content)
        if format_version != FORMAT_VERSION:
            raise EnvelopeError(f"version {format_version} of a report is unknown")
        self._reports[sender.address] = AppliedReport(sender.incarnation, version, now)

    def report_of(self, member: Member) -> AppliedReport | None:
        """The last report of this incarnation of a member, or None."""
        report = self._reports.get(member.address)
        return report if report is not None and report.incarnation == member.incarnation else None

    def retain(self, addresses: Iterable[Address]) -> None:
        """Forget the reports of all others."""
        live = set(addresses)
        for address in [each for each in self._reports if each not in live]:
            del self._reports[address]
