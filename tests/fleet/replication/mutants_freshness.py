"""Mutants of the bound on the age of a replica's state."""

from __future__ import annotations

from tests.fleet.replication.mutant import mutant

FRESHNESS = (
    mutant(
        "leader current before it has applied",
        "a leader's state counts as current while committed entries are not applied yet",
        "frequent snapshots",
        (1, 32),
        32,
        (
            "replication.freshness",
            "if applied_index < self._replica.commit_index:",
            "if applied_index < 0:",
        ),
    ),
    mutant(
        "state age from the reply",
        "the age of a state counts from the reply to a read, not from its start",
        "leases",
        (5, 11, 15),
        5,
        (
            "replication.freshness",
            "self._current_at = max(self._current_at, read.started_at)",
            "self._current_at = max(self._current_at, now)",
        ),
    ),
    mutant(
        "current before it is applied",
        "a state counts as current once the leader has replied, before the read index is applied",
        "frequent snapshots",
        range(8),
        0,
        (
            "replication.freshness",
            "            if applied_index >= read.index:\n                self._current_at",
            "            if applied_index >= 0:\n                self._current_at",
        ),
    ),
    mutant(
        "contact does not expire",
        "a replica that reached a quorum once reports quorum contact for ever",
        "long isolation",
        range(6),
        0,
        ("replication.group", "return now - proven_at <= max_age_s", "return proven_at > 0.0"),
    ),
    mutant(
        "contact without the log",
        "quorum contact from before a replica received the log makes its state current",
        "members",
        range(8),
        0,
        (
            "replication.group",
            "proven_at = self.freshness.current_at(self.applied_index, now)",
            "proven_at = self.freshness.quorum_reached_at(now)",
        ),
    ),
    mutant(
        "leader in contact without a majority",
        "a leader reports quorum contact and keeps leading without a majority",
        "long isolation",
        range(6),
        1,
        (
            "replication.replica",
            '            return float("-inf")\n        return self.leadership.confirmed_at(now)',
            '            return float("-inf")\n        return now',
        ),
        (
            "replication.leadership",
            "return now - quorum_contact_at > self.core.timing.election_timeout_max_s",
            "return now - quorum_contact_at > 1e9",
        ),
    ),
)
