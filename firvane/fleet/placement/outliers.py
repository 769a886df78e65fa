"""Servers that fail more of their requests than the others of their service, by what all routers see.

1. Failures fade within about a second. Each router tells its peers in its rows of its own failures.
2. Once a window, the share of failures of each server is compared with that of the service's median server.
   Far beyond it, the server is left out for a pause, which doubles each time that it comes to that again.
3. A router that sees failures at many servers has a trouble of its own: its word does not count.
4. Servers that fail all requests are found sooner, by failures in a row (`health.py`).
5. After its pause a server is on trial: for a while only the routers whose slice holds it send there. Where a
   request of theirs fails, they say so, and all routers leave the server out again: not each of them has to
   lose requests to find the same.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

from firvane.fleet.placement.server_view import Server

LEAST_FAILURES = 3.0  # faded ones of all routers together, below which nothing is said of a server
LEAST_SHARE = 0.25  # of the requests that fail
SHARE_FACTOR = 3.0  # times the median server's share that it must be as well
LEAST_TOLD = 0.25  # faded failures from which on peers are told of them
TROUBLED_SHARE = 0.34  # of the servers: a router that sees failures at more of them is itself in trouble
FEWEST_TROUBLED = 3  # servers, and at no fewer
FIRST_PAUSE, LONGEST_PAUSE = 0.8, 4.0  # s
FORGET_ROUNDS = 10.0  # s without being left out after which the pause begins anew
TRIAL_SPAN = 1.0  # s after a pause in which only the routers whose slice holds a server send there
TELL_TRIAL = 0.3  # s for which peers are told that a trial has failed: a row goes in the next window
SAME_TRIAL = 0.4  # s after being left out in which words of failed trials tell of the same one


def step(servers: Sequence[Server], routers: int, now: float) -> list[Server]:
    """Leave out the outliers among a service's ready servers; returns those that were found now."""
    if len(servers) < FEWEST_TROUBLED:
        return []
    failures = failures_by_server(servers, now)
    if not any(count >= LEAST_FAILURES for count in failures):
        return []
    successes = sum(server.outcomes.successes(now) for server in servers) * routers / len(servers)
    shares = [count / (count + max(1.0, successes)) for count in failures]
    bar = max(LEAST_SHARE, SHARE_FACTOR * sorted(shares)[len(shares) // 2])
    found = list[Server]()
    for server, count, share in zip(servers, failures, shares, strict=True):
        if count >= LEAST_FAILURES and share >= bar and server.outlier_until <= now:
            leave_out(server, now)
            found.append(server)
    return found


def failures_by_server(servers: Sequence[Server], now: float) -> list[float]:
    """Faded failures of each server, at this router and at those peers that are not in trouble themselves."""
    seen = Counter(number for server in servers for number, load in server.peers.items() if load.failures)
    most = max(FEWEST_TROUBLED, TROUBLED_SHARE * len(servers))
    own = [server.outcomes.failures(now) for server in servers]
    if sum(count >= LEAST_TOLD for count in own) > most:
        own = [0.0] * len(servers)
    if not seen:
        return own
    return [
        count + sum(load.failures_at(now) for number, load in server.peers.items() if seen[number] <= most)
        for server, count in zip(servers, own, strict=True)
    ]


def leave_out(server: Server, now: float) -> None:
    """Nothing goes to the server for a pause."""
    if now - server.outlier_until > FORGET_ROUNDS:
        server.outlier_rounds = 0
    pause = min(LONGEST_PAUSE, FIRST_PAUSE * math.pow(2.0, server.outlier_rounds))
    server.left_out_at, server.trial_from = now, now + pause
    server.outlier_until = server.trial_from + (0.0 if server.mine else TRIAL_SPAN)
    server.outlier_rounds += 1


def note_failure(server: Server, sent_at: float, now: float) -> bool:
    """A request that was sent to the server at `sent_at` has failed; whether this ends a trial."""
    if not server.trial_from <= sent_at < server.trial_from + TRIAL_SPAN:
        return False
    leave_out(server, now)
    server.trial_failed_at = now
    return True


def has_failed_trial(server: Server, now: float) -> bool:
    """Whether a trial from here has just failed, so that peers are to be told."""
    return now - server.trial_failed_at < TELL_TRIAL


def hear_failed_trial(server: Server, now: float) -> None:
    """A peer's trial of the server has failed."""
    if server.left_out_at + SAME_TRIAL <= now < server.trial_from + TRIAL_SPAN:
        leave_out(server, now)
