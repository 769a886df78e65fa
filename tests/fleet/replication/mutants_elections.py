"""Mutants of elections, leases and leadership transfers."""

from __future__ import annotations

from tests.fleet.replication.mutant import mutant

ELECTIONS = (
    mutant(
        "vote before sync",
        "messages that depend on a term or a vote are sent before it is synced",
        "elections",
        range(8),
        0,
        ("replication.core", "if self.writes.synced_sequence >= self.writes.sequence:", "if self.writes:"),
        ("replication.core", "if self.writes.synced_hard_state == self.hard_state:", "if self.writes:"),
    ),
    mutant(
        "term not persisted",
        "a new term and vote are not written to the disk",
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
        "a voter votes for several candidates in one term",
        "elections",
        range(8),
        0,
        (
            "replication.voting",
            "may_grant = core.hard_state.vote in (NO_INCARNATION, sender.incarnation)",
            "may_grant = True",
        ),
    ),
    mutant(
        "vote for any log",
        "a voter votes for a candidate whose log lacks entries",
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
        "vote by log length",
        "logs are compared by length, without the term of the last entry",
        "single-entry appends",
        (0, 1, 20),
        20,
        (
            "replication.core",
            "return (last_term, last_index) >= (self.log.last_term, self.log.last_index)",
            "return last_index >= self.log.last_index",
        ),
    ),
    mutant(
        "incarnation survives disk loss",
        "a machine that has lost its disk returns as the same member and votes",
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
        "a member that was isolated deposes the leader when it rejoins",
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
        "a leader that receives a higher term adopts the term but does not step down",
        "stalled owner",
        range(6),
        0,
        ("replication.replica", 'self._step_down("higher_term", now)', "self._successor = None"),
    ),
    mutant(
        "minority elects",
        "a candidate wins with one vote less than a majority",
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
        "bootstrapped again",
        "the seed with the lowest address bootstraps the group even after it has lost its disk",
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
        "unbounded lease",
        "a lease does not expire",
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
        "lease counted from the reply",
        "a lease counts from the arrival of a reply, not from the sending of the append",
        "delayed replies",
        range(8),
        2,
        (
            "replication.leadership",
            "peer.echoed_at = max(peer.echoed_at, reply.echo)",
            "peer.echoed_at = now",
        ),
    ),
    mutant(
        "pre-vote during a lease",
        "a voter ignores that the current leader's lease may depend on it",
        "half-isolated owner",
        range(4),
        0,
        ("replication.voting", "return now < lease_vote_until", "return False"),
    ),
    mutant(
        "vote during a lease",
        "a voter handles a vote request while a leader's lease may depend on the voter",
        "stalled owner",
        (0, 1, 5, 25),
        5,
        ("replication.replica", "if not request.transfer and self.voter.follows_leader(now):", "if now < 0:"),
    ),
    mutant(
        "no abstention after a restart",
        "a restarted replica votes at once, though a lease may depend on its previous process",
        "half-isolated owner",
        (1, 3, 5, 7),
        1,
        (
            "replication.replica",
            "abstain_until = now if recovered.is_empty else now + timing.election_timeout_min_s",
            "abstain_until = now",
        ),
    ),
    mutant(
        "clock rate bound ignored",
        "a lease lasts as long as the followers' election timeout, though clock rates differ",
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
        "lease survives a transfer",
        "a leader that has sent TimeoutNow keeps its lease",
        "resigning owner",
        range(4),
        0,
        ("replication.replica", 'self._step_down("transferred", now)', "pass"),
    ),
    mutant(
        "owner before its first commit",
        "a leader is ready before an entry of its term is committed",
        "power",
        range(8),
        0,
        ("replication.leadership", "return self.core.commit_index >= self.noop_index", "return True"),
    ),
    mutant(
        "successor starts a pre-vote",
        "the successor of a transfer starts with a pre-vote like any other candidate",
        "planned stop",
        range(4),
        0,
        (
            "replication.replica",
            "self._start_candidacy(Phase.VOTE, True, now)",
            "self._start_candidacy(Phase.PRE_VOTE, False, now)",
        ),
    ),
    mutant(
        "successor rejected",
        "voters ignore the vote request of a transfer's successor, since they follow the old leader",
        "planned stop",
        range(4),
        0,
        (
            "replication.replica",
            "if not request.transfer and self.voter.follows_leader(now):",
            "if self.voter.follows_leader(now):",
        ),
    ),
)
