"""Outlier ejection: servers that fail more of their requests than the others of their service.

1. Counts of failures decay within about a second. Each router announces its own counts to its peers.
2. Once per window the failure ratio of each server is compared with that of the service's median server. A
   server far above it is ejected; the ejection time doubles with each further ejection.
3. A router that sees failures at many servers is itself faulty: its counts are ignored.
4. Servers that fail all requests are found sooner, by consecutive failures (`health.py`).
5. After its ejection time a server is on trial: for a while only the routers whose slice contains it send
   there. The first failure in a trial is announced and ends it at all routers, so that not each of them has
   to lose requests.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence

from firvane.fleet.placement.server_view import ServerView

MIN_FAILURES = 3.0  # decayed failures at all routers below which a server is no outlier
MIN_FAILURE_RATIO = 0.25  # of its requests
MEDIAN_FACTOR = 3.0  # times the median server's ratio
MIN_ANNOUNCED_FAILURES = 0.25  # decayed failures from which on a row names the server
MAX_FAILING_RATIO = 0.34  # of the servers: a router that sees failures at more of them is itself faulty
MIN_FAILING_SERVERS = 3  # and at no fewer servers than these
FIRST_EJECTION_S = 0.8
MAX_EJECTION_S = 4.0
EJECTION_RESET_S = 10.0  # without an ejection, after which the ejection time starts over
TRIAL_DURATION_S = 1.0  # only the routers whose slice contains the server send there
TRIAL_FAILURE_ANNOUNCED_S = 0.3  # longer than a window, so that the next row has it
SAME_TRIAL_S = 0.4  # after an ejection, peers' trial failures are those of the same trial


def eject_outliers(servers: Sequence[ServerView], routers: int, now: float) -> list[ServerView]:
    """Eject the outliers among a service's ready servers, and return those found now.

    Args:
        servers: The ready servers.
        routers: The number of live routers.
        now: The current time in seconds.
    """
    if len(servers) < MIN_FAILING_SERVERS:
        return []
    failures = failures_by_server(servers, now)
    if not any(count >= MIN_FAILURES for count in failures):
        return []
    successes = sum(server.outcomes.successes(now) for server in servers) * routers / len(servers)
    ratios = [count / (count + max(1.0, successes)) for count in failures]
    threshold = max(MIN_FAILURE_RATIO, MEDIAN_FACTOR * sorted(ratios)[len(ratios) // 2])
    found = list[ServerView]()
    for server, count, ratio in zip(servers, failures, ratios, strict=True):
        if count >= MIN_FAILURES and ratio >= threshold and server.outlier_until <= now:
            eject(server, now)
            found.append(server)
    return found


def failures_by_server(servers: Sequence[ServerView], now: float) -> list[float]:
    """Return the decayed failures of each server, over this router and the peers that are not faulty."""
    failing_servers = Counter(
        number for server in servers for number, load in server.peer_loads.items() if load.failures
    )
    most = max(MIN_FAILING_SERVERS, MAX_FAILING_RATIO * len(servers))
    own = [server.outcomes.failures(now) for server in servers]
    if sum(count >= MIN_ANNOUNCED_FAILURES for count in own) > most:
        own = [0.0] * len(servers)
    if not failing_servers:
        return own
    return [
        count
        + sum(
            load.failures_at(now)
            for number, load in server.peer_loads.items()
            if failing_servers[number] <= most
        )
        for server, count in zip(servers, own, strict=True)
    ]


def eject(server: ServerView, now: float) -> None:
    """Send nothing to a server for its ejection time."""
    if now - server.outlier_until > EJECTION_RESET_S:
        server.outlier_ejections = 0
    duration = min(MAX_EJECTION_S, FIRST_EJECTION_S * math.pow(2.0, server.outlier_ejections))
    server.outlier_ejected_at, server.trial_starts_at = now, now + duration
    server.outlier_until = server.trial_starts_at + (0.0 if server.in_own_slice else TRIAL_DURATION_S)
    server.outlier_ejections += 1


def record_failure(server: ServerView, sent_at: float, now: float) -> bool:
    """Record that a request sent at `sent_at` has failed; return whether this ended the server's trial."""
    if not server.trial_starts_at <= sent_at < server.trial_starts_at + TRIAL_DURATION_S:
        return False
    eject(server, now)
    server.trial_failed_at = now
    return True


def has_failed_trial(server: ServerView, now: float) -> bool:
    """Return whether a trial by this router has just failed, which the next row announces."""
    return now - server.trial_failed_at < TRIAL_FAILURE_ANNOUNCED_S


def apply_peer_trial_failure(server: ServerView, now: float) -> None:
    """Eject a server whose trial by a peer has failed."""
    if server.outlier_ejected_at + SAME_TRIAL_S <= now < server.trial_starts_at + TRIAL_DURATION_S:
        eject(server, now)
