"""Mutants of responses to callers and of the storage, and mutants that the simulation does not reveal."""

from __future__ import annotations

from tests.fleet.replication.mutant import mutant

RESPONSES = (
    mutant(
        "read without a majority",
        "a leader answers a read after its lease, without an acknowledgement by a majority",
        "isolated owner",
        (8, 12, 16, 20),
        12,
        ("replication.reads", "if now < lease_until or read.requested_at <= confirmed_at:", "if read:"),
    ),
    mutant(
        "read before the first commit",
        "a leader answers a read before an entry of its term is committed",
        "leases",
        range(3),
        0,
        (
            "replication.leadership",
            "if self.is_ready and self.reads.has_pending:",
            "if self.reads.has_pending:",
        ),
    ),
    mutant(
        "read before it is applied",
        "a replica answers a read before it has applied the read index",
        "leases",
        range(3),
        0,
        (
            "replication.group",
            "if read.index is not None and read.index <= self.applied_index:",
            "if read.index is not None:",
        ),
    ),
    mutant(
        "proposal appended twice",
        "a queued proposal is appended twice",
        "leases",
        range(3),
        0,
        (
            "replication.group",
            "queued, self._queued = self._queued, []\n"
            "            for pending in queued:\n"
            "                pending.index = self.replica.propose(pending.payload, now)",
            "queued, self._queued = self._queued, []\n"
            "            for pending in queued:\n"
            "                if pending.token % 5 == 0:\n"
            "                    self.replica.propose(pending.payload, now)\n"
            "                pending.index = self.replica.propose(pending.payload, now)",
        ),
    ),
    mutant(
        "unclear proposal rejected",
        "a proposal that was appended, and may still be committed, is reported as rejected",
        "leases",
        range(4),
        0,
        (
            "replication.group",
            "ProposalResult(ProposalStatus.UNCLEAR, owner=self._other_owner())",
            "ProposalResult(ProposalStatus.UNAVAILABLE)",
        ),
    ),
    mutant(
        "acknowledged by another entry",
        "a proposal is acknowledged when another entry is committed at its index",
        "leases",
        (0, 1, 19, 29),
        19,
        ("replication.group", "if pending.term == entry.term:", "if pending:"),
    ),
)

STORAGE = (
    mutant(
        "journal not synced",
        "a write is confirmed without a sync",
        "power",
        range(4),
        0,
        ("storage.journal", "        self._segment.sync()\n", ""),
    ),
    mutant(
        "recovered state not synced",
        "state written by a killed process counts as synced in the next process",
        "elections",
        range(8),
        3,
        ("storage.journal", "        self._open_current_segment().sync()\n", ""),
    ),
    mutant(
        "confirmed before the sync",
        "a write is confirmed before the sync that it awaits",
        "power",
        range(6),
        0,
        (
            "storage.writer",
            "            try:\n                queue.journal.sync()\n",
            "            try:\n"
            "                self._on_synced(key, queue.writes[count - 1].sequence)\n"
            "                queue.journal.sync()\n",
        ),
    ),
    mutant(
        "new segment not synced",
        "a compaction removes the old segment before the new one is synced",
        "power",
        range(6),
        0,
        (
            "storage.journal",
            "            file.write_at(0, frame)\n            file.sync()\n",
            "            file.write_at(0, frame)\n",
        ),
    ),
    mutant(
        "snapshot not synced",
        "a compaction removes the entries before the snapshot is synced",
        "power",
        range(6),
        0,
        (
            "storage.journal",
            "            file.write_at(0, encode_snapshot_file(self.identity, snapshot))\n"
            "            file.sync()\n",
            "            file.write_at(0, encode_snapshot_file(self.identity, snapshot))\n",
        ),
    ),
    mutant(
        "directory not synced",
        "a compaction does not sync the folder before it removes older files",
        "power",
        range(6),
        0,
        (
            "storage.journal",
            "        try:\n            self._files.sync_directory(self._folder)\n",
            "        try:\n            pass\n",
        ),
    ),
    mutant(
        "checksum not verified",
        "a frame is accepted whatever its checksum",
        "corruption",
        (0, 1, 11, 13),
        11,
        (
            "storage.frames",
            "return body if _checksum(identity, generation, stored_number, body) == checksum else None",
            "return body",
        ),
    ),
    mutant(
        "torn tail accepted",
        "the existing part of a truncated frame is accepted",
        "power",
        (0, 1, 11),
        1,
        (
            "storage.frames",
            "if magic != MAGIC or length > MAX_FRAME_BYTES or start + length > len(data):",
            "if magic != MAGIC or length > MAX_FRAME_BYTES:",
        ),
        (
            "storage.frames",
            "return body if _checksum(identity, generation, stored_number, body) == checksum else None",
            "checks = _checksum(identity, generation, stored_number, body) == checksum\n"
            "    return body if len(body) < length or checks else None",
        ),
    ),
    mutant(
        "corruption taken for a torn tail",
        "a segment is read up to a corrupted frame even if a valid frame follows it",
        "corruption",
        range(8),
        0,
        (
            "storage.frames",
            "if _has_later_frame(data, position + 1, identity, generation, len(frames)):",
            "if position < 0:",
        ),
    ),
    mutant(
        "snapshot checksum not verified",
        "a snapshot is accepted whatever its checksum",
        "corruption",
        range(6),
        1,
        (
            "storage.snapshot_file",
            "        or zlib.crc32(content) != checksum\n",
            "",
        ),
    ),
    mutant(
        "frames after a failed write",
        "a frame is written after the bytes that a rejected write left",
        "full",
        range(8),
        5,
        (
            "storage.journal",
            "        segment.write_at(position.end, frame)\n        self._unsynced_bytes = len(frame)\n",
            "        self._unsynced_bytes = len(frame)\n"
            "        try:\n"
            "            segment.write_at(position.end, frame)\n"
            "        except OSError:\n"
            "            position.end += len(frame)\n"
            "            raise\n",
        ),
    ),
)

UNDETECTED = (
    mutant(
        "bytes of a failed write kept",
        "the bytes that a rejected write left are not truncated, and the next frame overwrites them",
        "full",
        range(8),
        None,
        ("storage.journal", "            self._segment.truncate(self._position.end)\n", "            pass\n"),
    ),
    mutant(
        "own vote before sync",
        "a candidate counts its own vote before it is synced",
        "elections",
        range(8),
        None,
        (
            "replication.candidacy",
            "self._own_vote_write = core.writes.sequence",
            "self._own_vote_write = 0\n            self.granted.add(core.identity.incarnation)",
        ),
    ),
)
