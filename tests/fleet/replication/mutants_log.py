"""Mutants of the replicated log, its commits, membership changes and snapshots."""

from __future__ import annotations

from tests.fleet.replication.mutant import mutant

REPLICATION = (
    mutant(
        "acknowledged before sync",
        "a follower acknowledges entries that it has not synced",
        "power",
        range(8),
        0,
        (
            "replication.follower",
            "synced = min(core.writes.synced_index, self._matched_index)",
            "synced = self._matched_index",
        ),
    ),
    mutant(
        "leader counts itself unsynced",
        "a leader counts its own entries before its disk has synced them",
        "power",
        range(8),
        0,
        (
            "replication.leadership",
            "core.writes.synced_index\n            if member == core.identity",
            "core.log.last_index\n            if member == core.identity",
        ),
    ),
    mutant(
        "commit by a minority",
        "an entry is committed once one voter less than a majority has synced it",
        "power",
        range(6),
        0,
        (
            "replication.leadership",
            "quorum_value(synced, quorum_of(len(synced)))",
            "quorum_value(synced, max(1, quorum_of(len(synced)) - 1))",
        ),
    ),
    mutant(
        "commit of an older term",
        "an entry of an older term is committed by counting replicas",
        "single-entry appends",
        range(4),
        0,
        (
            "replication.leadership",
            "if index > core.commit_index and core.log.term_at(index) == core.term:",
            "if index > core.commit_index:",
        ),
    ),
    mutant(
        "learner counted",
        "a learner counts towards the majority",
        "members",
        range(8),
        0,
        (
            "replication.leadership",
            "index = int(quorum_value(synced, quorum_of(len(synced))))",
            "voters = {member.incarnation for member in core.log.members}\n"
            "        synced += [peer.match_index for key, peer in self.peers.items() if key not in voters]\n"
            "        index = int(quorum_value(synced, quorum_of(len(voters))))",
        ),
    ),
    mutant(
        "terms not compared",
        "entries are appended after an entry whose term differs from the leader's",
        "diverging tail",
        range(4),
        0,
        (
            "replication.follower",
            "elif log.term_at(previous) != message.previous_term:",
            "elif previous < 0:",
        ),
    ),
    mutant(
        "conflicting entry kept",
        "an existing entry counts as the leader's, whatever its term",
        "diverging tail",
        range(4),
        0,
        (
            "replication.follower",
            "log.term_at(entries[matching].index) == entries[matching].term:",
            "log.term_at(entries[matching].index) is not None:",
        ),
    ),
    mutant(
        "delayed message truncates the log",
        "matching entries are replaced, and later ones removed, even if committed",
        "leases",
        range(4),
        2,
        ("replication.follower", "new_entries = entries[matching:]", "new_entries = entries"),
        ("replication.follower", "if first_index <= self.core.commit_index:", "if first_index <= 0:"),
    ),
    mutant(
        "replaced entries count as synced",
        "after a truncation, the removed entries still count as synced",
        "single-entry appends",
        range(8),
        1,
        ("replication.follower", "self.core.writes.mark_unsynced_from(first_index)", "pass"),
    ),
    mutant(
        "own tail acknowledged",
        "a follower acknowledges entries beyond those that the leader has sent",
        "single-entry appends",
        (0, 1, 3, 17),
        3,
        (
            "replication.follower",
            "synced = min(core.writes.synced_index, self._matched_index)",
            "synced = core.writes.synced_index",
        ),
    ),
    mutant(
        "commit beyond the matching log",
        "a follower commits up to the leader's commit index even where its log may not match",
        "members",
        (0, 1, 10, 34),
        10,
        (
            "replication.follower",
            "min(message.commit_index, end_index)",
            "min(message.commit_index, log.last_index)",
        ),
    ),
    mutant(
        "membership change before a commit",
        "a leader changes the members before an entry of its term is committed",
        "members",
        range(8),
        2,
        (
            "replication.leadership",
            "if not self.is_ready or core.log.members_index > core.commit_index",
            "if core.log.members_index > core.commit_index",
        ),
    ),
    mutant(
        "two membership changes at once",
        "a membership change starts before the previous one is committed",
        "members",
        range(4),
        1,
        (
            "replication.leadership",
            "core.log.members_index > core.commit_index or self.is_transferring(now):",
            "self.is_transferring(now):",
        ),
    ),
    mutant(
        "truncated membership change",
        "a membership change stays in force after its entry was truncated",
        "planned stops",
        (0, 97, 145, 151),
        97,
        (
            "replication.log",
            "self._membership_history[-1].entry_index >= index:",
            "self._membership_history[-1].entry_index >= index + (1 << 60):",
        ),
    ),
)

SNAPSHOTS = (
    mutant(
        "snapshot without its last command",
        "a snapshot's state lacks the last command that it covers",
        "power",
        range(4),
        0,
        ("replication.group", "state = self.state_machine.save()", "state = self.state_machine.save()[:-8]"),
    ),
    mutant(
        "snapshot without members",
        "a snapshot lacks the voters",
        "power",
        range(4),
        0,
        (
            "replication.replica",
            "snapshot = Snapshot(index, term, members_index, members, state)",
            "snapshot = Snapshot(index, term, 0, (), state)",
        ),
    ),
    mutant(
        "entry after a snapshot lost",
        "the first entry after a snapshot is not written with it",
        "power",
        range(4),
        0,
        (
            "replication.replica",
            "self.core.persist(now, log.after(index), snapshot)",
            "self.core.persist(now, log.after(index + 1), snapshot)",
        ),
    ),
    mutant(
        "installed snapshot keeps any tail",
        "entries after an installed snapshot are kept even if the log does not match it",
        "diverging tail",
        range(4),
        0,
        (
            "replication.log",
            "if self.term_at(snapshot.index) == snapshot.term:",
            "if self.term_at(snapshot.index) is not None:",
        ),
    ),
    mutant(
        "installed snapshot not loaded",
        "the state machine does not load an installed snapshot",
        "power",
        range(4),
        0,
        ("replication.group", "self.state_machine.load(outputs.installed.state)", "pass"),
    ),
)
