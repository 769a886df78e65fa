"""Deliberate faults of what a replica claims of the age of its state."""

from __future__ import annotations

from tests.fleet.replication.mutant import mutant

FRESHNESS = (
    mutant(
        "leader current before it has applied",
        "a leader's state counts as current while entries that are committed wait to be applied",
        "many changes",
        (1, 32),
        32,
        (
            "replication.freshness",
            "if applied_index < self._replica.commit_index:",
            "if applied_index < 0:",
        ),
    ),
    mutant(
        "contact from the answer",
        "the age of a state counts from the coming of an answer, not from the question",
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
        "contact before it is applied",
        "a state counts as current once a leader has answered, applied or not",
        "many changes",
        range(8),
        0,
        (
            "replication.freshness",
            "            if applied_index >= read.index:\n                self._current_at",
            "            if applied_index >= 0:\n                self._current_at",
        ),
    ),
    mutant(
        "contact for good",
        "a replica that was once in contact remains so",
        "long cut",
        range(6),
        0,
        ("replication.group", "return now - proven_at <= max_age_s", "return proven_at > 0.0"),
    ),
    mutant(
        "outsider's contact is a state",
        "what a replica has reached before the log was sent to it counts as its state",
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
        "a leader takes its own word for a majority's, and leads on without one",
        "long cut",
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
