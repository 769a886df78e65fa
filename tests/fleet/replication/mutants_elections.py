"""Deliberate faults of elections, leases and hand-overs."""

from __future__ import annotations

from tests.fleet.replication.mutant import mutant

ELECTIONS = (
    mutant(
        "vote before sync",
        "a term, a vote and what follows from them are said before they are synced",
        "elections",
        range(8),
        0,
        ("replication.core", "if self.writes.synced_sequence >= self.writes.sequence:", "if self.writes:"),
        ("replication.core", "if self.writes.synced_hard_state == self.hard_state:", "if self.writes:"),
    ),
    mutant(
        "term not persisted",
        "a new term and vote are not handed to the disk",
        "elections",
        range(8),
        0,
        (
            "replication.core",
            "changed = snapshot is not None or self.hard_state != self._written_hard_state",
            "changed = snapshot is not None",
        ),
    ),
    mutant(
        "two votes in a term",
        "a voter forgets whom it has voted for",
        "elections",
        range(8),
        0,
        (
            "replication.voting",
            "may_grant = core.hard_state.vote in (NOBODY, sender.incarnation)",
            "may_grant = True",
        ),
    ),
    mutant(
        "vote for any log",
        "a candidate is elected that lacks entries",
        "power",
        (2, 7, 13, 14, 16, 17),
        2,
        (
            "replication.core",
            "return (last_term, last_index) >= (self.log.last_term, self.log.last_index)",
            "return True",
        ),
    ),
    mutant(
        "vote by length",
        "logs are compared by their length, not by the term of their last entry first",
        "one by one",
        (0, 1, 20),
        20,
        (
            "replication.core",
            "return (last_term, last_index) >= (self.log.last_term, self.log.last_index)",
            "return last_index >= self.log.last_index",
        ),
    ),
    mutant(
        "amnesiac votes",
        "a machine that has lost its disk returns as the same member, and votes",
        "members",
        (0, 1, 3, 12),
        3,
        (
            "replication.replica",
            "self.core = Core(identity, recovered, timing, uniform, now)",
            "identity = Member(identity.address, int(identity.address[0].split('.')[3]))\n"
            "        self.core = Core(identity, recovered, timing, uniform, now)",
        ),
    ),
    mutant(
        "no pre-vote",
        "a member that was cut off deposes the leader when it returns",
        "rejoining",
        range(4),
        0,
        (
            "replication.replica",
            "self._start_candidacy(Phase.PRE_VOTE, False, now)",
            "self._start_candidacy(Phase.VOTE, False, now)",
        ),
    ),
    mutant(
        "higher term ignored",
        "a leader that hears of a higher term takes the term and goes on leading",
        "stalled owner",
        range(6),
        0,
        ("replication.replica", 'self._step_down("higher_term", now)', "self._successor = None"),
    ),
    mutant(
        "minority elects",
        "one vote less than a majority is enough",
        "elections",
        range(6),
        0,
        (
            "replication.candidacy",
            "return has_own_vote and votes >= self.core.quorum",
            "return has_own_vote and votes >= self.core.quorum - 1",
        ),
    ),
    mutant(
        "founded again",
        "whoever has the lowest address founds the group, also on a disk that was lost",
        "members",
        range(8),
        1,
        (
            "replication.bootstrap",
            "if not core.may_bootstrap or len(self._members_by_seed) < len(self.seeds):",
            "if now < 0:",
        ),
        (
            "replication.bootstrap",
            "members = [self._members_by_seed[seed] for seed in self.seeds]",
            "members = list(self._members_by_seed.values())",
        ),
    ),
)

LEASES = (
    mutant(
        "lease without bound",
        "a lease does not end",
        "isolated owner",
        range(4),
        0,
        (
            "replication.leadership",
            "return self.confirmed_at(now) + self.core.timing.lease_duration_s",
            "return now + self.core.timing.lease_duration_s",
        ),
    ),
    mutant(
        "lease from the answer",
        "a lease counts from the coming of an answer, not from the sending of what it answers",
        "late answers",
        range(8),
        2,
        (
            "replication.leadership",
            "peer.echoed_at = max(peer.echoed_at, reply.echo)",
            "peer.echoed_at = now",
        ),
    ),
    mutant(
        "promise to a leader ignored",
        "a voter elects another leader while the present one may count on it",
        "half-cut owner",
        range(4),
        0,
        ("replication.voting", "return now < lease_vote_until", "return False"),
    ),
    mutant(
        "vote within a promise",
        "a request for a vote is heeded while a leader may count on the voter",
        "stalled owner",
        (0, 1, 5, 25),
        5,
        ("replication.replica", "if not request.transfer and self.voter.follows_leader(now):", "if now < 0:"),
    ),
    mutant(
        "promise forgotten by a restart",
        "a replica that starts again votes at once, though it may have promised a lease",
        "half-cut owner",
        (1, 3, 5, 7),
        1,
        (
            "replication.replica",
            "abstain_until = now if recovered.is_empty else now + timing.election_timeout_min_s",
            "abstain_until = now",
        ),
    ),
    mutant(
        "clocks taken for equal",
        "a lease ends no earlier than the followers' promise, though clocks differ",
        "isolated owner",
        (16, 20, 22, 30, 34, 38),
        16,
        (
            "replication.types",
            "return self.election_timeout_min_s / self.clock_rate_bound",
            "return self.election_timeout_min_s",
        ),
    ),
    mutant(
        "lease survives a hand-over",
        "a leader that has named its successor goes on under its lease",
        "parting owner",
        range(4),
        0,
        ("replication.replica", 'self._step_down("transferred", now)', "pass"),
    ),
    mutant(
        "owner before its own entry",
        "a leader is ready before an entry of its term is committed",
        "power",
        range(8),
        0,
        ("replication.leadership", "return self.core.commit_index >= self.noop_index", "return True"),
    ),
    mutant(
        "successor asks first",
        "a named successor stands for election like any other",
        "planned end",
        range(4),
        0,
        (
            "replication.replica",
            "self._start_candidacy(Phase.VOTE, True, now)",
            "self._start_candidacy(Phase.PRE_VOTE, False, now)",
        ),
    ),
    mutant(
        "named successor refused",
        "voters refuse a successor whom their leader has named, since they follow that leader",
        "planned end",
        range(4),
        0,
        (
            "replication.replica",
            "if not request.transfer and self.voter.follows_leader(now):",
            "if self.voter.follows_leader(now):",
        ),
    ),
)
